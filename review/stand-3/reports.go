package main

import (
	"fmt"
	"syscall"
	"time"
)

// windowLength is the bound window_s.
const windowLength = 5 * time.Second

// windowOf returns the number of the window that contains a time.
func windowOf(at time.Time) int64 { return at.UnixNano() / int64(windowLength) }

func windowStart(window int64) time.Time { return time.Unix(0, window*int64(windowLength)) }

// reports kills all processes but that of the holder within a window and lets the store come back, once that
// window was reported, from a copy that was made before the report.
func reports(d *deployment, trouble bool) ([]string, error) {
	const (
		settle  = 10 * time.Second
		away    = time.Second
		observe = 20 * time.Second
	)
	time.Sleep(settle)
	window := windowOf(time.Now()) + 1
	time.Sleep(time.Until(windowStart(window).Add(2 * time.Second)))
	holder, ok := d.currentLease()
	if !ok {
		return nil, fmt.Errorf("no holder after %s", settle)
	}
	d.record.tell("holder of the duties: %s with fence %d", holder.Holder, holder.Fence)
	for _, p := range d.processes {
		if p.name == holder.Holder {
			continue
		}
		p.signal(syscall.SIGKILL)
		d.record.tell("%s is killed", p.name)
		go func() {
			p.wait()
			time.Sleep(time.Second)
			if err := p.start(); err != nil {
				d.record.tell("%s: %v", p.name, err)
			}
		}()
	}
	time.Sleep(time.Until(windowStart(window + 1).Add(500 * time.Millisecond)))
	copied := d.store.snapshot()
	reported := func() bool {
		for _, call := range d.cloud.list() {
			if call.window == window && call.status == 200 {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(8 * time.Second); !reported(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("window %d was not reported", window)
		}
	}
	d.record.tell("window %d was reported", window)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		d.drill(copied, away)
	}
	time.Sleep(observe)
	last, _ := d.currentLease()
	d.record.tell("holder of the duties: %s with fence %d", last.Holder, last.Fence)
	return checkOne(d.cloud.list()), nil
}
