package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// stormTime is how long requests with the deadly part come, stormDown how long a crashed
// worker is away.
const (
	stormTime = 30 * time.Second
	stormDown = 3500 * time.Millisecond
	// meanInterval is the mean time between two sound requests at a machine, and between two
	// with the deadly part, which come at random.
	meanInterval = 50 * time.Millisecond
)

// stormCase lets half of all requests of a route hold a part that crashes the worker that
// begins to answer. Without trouble that part is harmless.
func stormCase(d *deployment, trouble bool) bool {
	d.store.put("config", "main", modelCatalogue())
	events := &engineEvents{}
	var engines []*engine
	for range 12 {
		e := d.addEngine(events, trouble, false)
		e.down = stormDown
		engines = append(engines, e)
	}
	for range 3 {
		d.addMachine("z").start()
	}
	d.awaitReady()
	stop, end := make(chan struct{}), make(chan struct{})
	var clients sync.WaitGroup
	var next, served, failed, deadly atomic.Int64
	send := func(m *machine, isDeadly bool) {
		n := next.Add(1)
		id, parts, tokens := fmt.Sprintf("p%07d", n), fmt.Sprintf("5c1e07a2:512,%08x:1800,%08x:300", 0x1000+(int(n)%24), 0x2000000+int(n)), 2612
		if isDeadly {
			id, tokens = fmt.Sprintf("deadly-%d", n), 3012
			parts = fmt.Sprintf("5c1e07a2:512,%s:400,%08x:1800,%08x:300", deadlyPart, 0x1000+(int(n)%24), 0x2000000+int(n))
		}
		clients.Go(func() {
			status, err := prompt(m.front(), "/ask/1", id, parts, tokens)
			switch {
			case isDeadly:
				deadly.Add(1)
				d.record.line("%s: %s: status %d %v", m.name, id, status, err)
			case status == 200 && err == nil:
				served.Add(1)
			default:
				failed.Add(1)
			}
		})
	}
	for _, m := range d.machines {
		clients.Go(func() {
			for !done(stop) {
				send(m, false)
				time.Sleep(meanInterval)
			}
		})
	}
	time.Sleep(5 * time.Second)
	before := served.Load()
	d.record.say("requests with the deadly part begin; %d sound ones were served before, %d not", before, failed.Load())
	for _, m := range d.machines {
		clients.Go(func() {
			for !done(end) {
				send(m, true)
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanInterval)))
			}
		})
	}
	time.Sleep(stormTime)
	close(end)
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	for _, e := range engines {
		close(e.stop)
	}
	events.mu.Lock()
	defer events.mu.Unlock()
	d.record.say("sound requests: %d served, %d not; %d with the deadly part were sent", served.Load(), failed.Load(), deadly.Load())
	d.record.say("%d crashes, %d requests with the deadly part reached workers", len(events.crashes), len(events.arrivals))
	return lateArrivals(d, events) > 3
}

// lateArrivals returns the number of requests with the deadly part that reached workers later
// than contact_ms after the fifth crash.
func lateArrivals(d *deployment, events *engineEvents) int {
	if len(events.crashes) < 5 {
		return 0
	}
	late := 0
	fifth := events.crashes[4]
	for _, a := range events.arrivals {
		if a.at.After(fifth.Add(contact)) {
			late++
			if late <= 20 {
				d.record.say("BUDGET: %s, with the deadly part, reached a worker %.1f s after the fifth crash", a.id, a.at.Sub(fifth).Seconds())
			}
		}
	}
	d.record.say("%d requests with the deadly part reached workers later than contact_ms after the fifth crash", late)
	return late
}
