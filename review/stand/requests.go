package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// counter numbers the requests of a case.
var counter atomic.Int64

// ask sends one short request with a key on a new connection.
func ask(address, method, target, key string) (string, answer) {
	id := fmt.Sprintf("q%06d", counter.Add(1))
	c := &client{key: key}
	defer c.close()
	a, _ := c.do(address, method, target, id, 3*time.Second, nil, 0)
	return id, a
}

// ranAt returns the worker that ran a request, or nil.
func ranAt(workers []*worker, id string) (*worker, run) {
	for _, w := range workers {
		if r, ok := w.ran(id); ok {
			return w, r
		}
	}
	return nil, run{}
}

// targetCase adds a route for all paths of a host, as the operator may at any time, and asks
// for paths below it. Without trouble the route isn't added.
func targetCase(d *deployment, trouble bool) bool {
	pack := route("pack", "/pack/", "idempotent", 3000, 2)
	d.store.put("config", "main", catalogue(2, []map[string]any{pack}))
	var workers []*worker
	for range 3 {
		workers = append(workers, d.addWorker("orders", "z", 6, func(*http.Request) time.Duration { return 60 * time.Millisecond }))
	}
	for range 3 {
		d.addMachine("z").start()
	}
	d.awaitReady()
	targets := []string{"/pack/7?size=24", "/pack//7", "/stock/7?size=24", "/stock//7/", "//stock/7?size=24"}
	changed := 0
	for round := range 6 {
		if round == 1 && trouble {
			d.store.put("config", "main", catalogue(4, []map[string]any{pack, route("rest", "/", "idempotent", 3000, 2)}))
			d.record.say("the operator adds a route with the prefix /")
			time.Sleep(4 * time.Second)
		}
		for _, m := range d.machines {
			for _, target := range targets {
				id, a := ask(m.front(), "GET", target, apiKey)
				w, r := ranAt(workers, id)
				if w == nil {
					d.record.line("round %d: %s: GET %s: status %d %v, not run", round+1, m.name, target, a.status, a.err)
					continue
				}
				d.record.line("round %d: %s: GET %s: status %d, run as %s %s", round+1, m.name, target, a.status, r.method, r.target)
				if r.target != target {
					changed++
					d.record.say("UNASKED: %s: the client asked GET %s, the worker %s ran %s %s", id, target, w.id, r.method, r.target)
				}
			}
		}
	}
	return changed > 0
}

// keysCase takes keys away: without trouble all keys of one of two tenants, with trouble
// those of the last tenant, which leaves with them.
func keysCase(d *deployment, trouble bool) bool {
	const otherKey, unknownKey = "other0123456789abcde", "never0123456789abcde"
	routes := []map[string]any{route("order", "/order/", "non_idempotent", 3000, 1)}
	tenant := func(name string, keys ...string) map[string]any {
		return map[string]any{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 0, "burst": 0}
	}
	configuration := func(version int, tenants ...map[string]any) map[string]any {
		c := catalogue(version, routes)
		c["tenants"] = append([]map[string]any{}, tenants...)
		return c
	}
	before := []map[string]any{tenant("huka270", apiKey)}
	after := []map[string]any{}
	if !trouble {
		before = append(before, tenant("puhu251", otherKey))
		after = append(after, tenant("puhu251", otherKey))
	}
	d.store.put("config", "main", configuration(2, before...))
	var workers []*worker
	for range 3 {
		workers = append(workers, d.addWorker("orders", "z", 6, func(*http.Request) time.Duration { return 60 * time.Millisecond }))
	}
	for range 3 {
		d.addMachine("z").start()
	}
	d.awaitReady()
	served := 0
	for range 5 {
		for _, m := range d.machines {
			if _, a := ask(m.front(), "POST", "/order/1", apiKey); a.status == 200 {
				served++
			}
			if id, a := ask(m.front(), "POST", "/order/1", unknownKey); a.status != http.StatusUnauthorized {
				d.record.say("%s: an unknown key got status %d before the change", id, a.status)
			}
		}
	}
	d.record.say("before the change: %d of 15 orders with the key served", served)
	d.store.put("config", "main", configuration(5, after...))
	acknowledged := time.Now()
	d.record.say("a version without the key of huka270 is acknowledged; tenants: %d", len(after))
	time.Sleep(6 * time.Second)
	broken := 0
	for range 10 {
		for _, m := range d.machines {
			for _, key := range []string{apiKey, unknownKey} {
				sent := time.Since(acknowledged)
				id, a := ask(m.front(), "POST", "/order/1", key)
				w, _ := ranAt(workers, id)
				d.record.line("%s: %s with the key %s, sent %.1f s after the acknowledgement: status %d", m.name, id, key, sent.Seconds(), a.status)
				if w != nil {
					broken++
					d.record.line("BROKEN: the worker %s ran %s", w.id, id)
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.record.say("CONFIG, ROUTE: %d of 60 orders with a key that was taken away or never given ran", broken)
	return broken > 0
}
