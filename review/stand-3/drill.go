package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// lease is what the system keeps of its duties' holder in the store, as far as this case reads
// it: to know whom the platform stops.
type lease struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

// currentLease returns the newest object of the system's kinds that names a holder.
func (d *deployment) currentLease() (lease, bool) {
	o, ok := d.store.get("persimduties", "lease")
	var l lease
	if !ok || json.Unmarshal(o.Spec, &l) != nil {
		return lease{}, false
	}
	return l, l.Holder != ""
}

// drill stops the machine that performs the duties, as planned work, and then lets the store come
// back from a copy that was made before that.
func drill(d *deployment, trouble bool) ([]string, error) {
	const (
		settle  = 12 * time.Second
		away    = time.Second
		observe = 25 * time.Second
	)
	time.Sleep(settle)
	first, ok := d.currentLease()
	if !ok {
		return nil, fmt.Errorf("no holder after %s", settle)
	}
	copied := d.store.snapshot()
	d.record.tell("holder of the duties: %s with fence %d; SIGTERM", first.Holder, first.Fence)
	stopped := d.process(first.Holder)
	restarted := make(chan error, 1)
	go func() { restarted <- stopped.stopAndStart(8*time.Second, 500*time.Millisecond) }()
	// The next holder has acted.
	acted := func() bool {
		for _, call := range d.cloud.list() {
			if call.holder != first.Holder && call.fence > first.Fence {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(15 * time.Second); !acted(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("no new holder acted")
		}
	}
	second, _ := d.currentLease()
	d.record.tell("holder of the duties: %s with fence %d", second.Holder, second.Fence)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.drill(copied, away)
	}
	time.Sleep(observe)
	if err := <-restarted; err != nil {
		return nil, err
	}
	last, _ := d.currentLease()
	d.record.tell("holder of the duties: %s with fence %d", last.Holder, last.Fence)
	return checkOne(d.cloud.list()), nil
}

// drill lets the store be away for a moment and come back from a copy. What the operator and the
// workers wrote is written again.
func (d *deployment) drill(copied copyOf, away time.Duration) {
	d.store.setAway(true)
	d.record.tell("the store is away")
	time.Sleep(away)
	d.store.restore(copied)
	d.operatorWrites()
	for _, w := range d.workers {
		w.register()
	}
	d.store.setAway(false)
	d.record.tell("the store is back from a copy that is %.1f s old", time.Since(copied.at).Seconds())
}
