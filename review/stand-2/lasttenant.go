package main

import (
	"net/http"
	"time"
)

const (
	revokeTime = 5 * time.Second
	callTime   = 3 * time.Second
	sendPause  = 500 * time.Millisecond
)

// lastTenant takes the key of the only tenant away, by a configuration whose list of tenants is
// empty, and sends requests with that key, with a key that never was, and without one.
func lastTenant(rec *record, disturb bool) (bool, error) {
	s, err := newSystem(rec, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	for _, zone := range []string{"za", "zb", "zc"} {
		if _, err := s.addWorker("i-"+zone, orders, zone, 6); err != nil {
			return false, err
		}
	}
	s.configure(routes(), newTenant("huka270", "key-one"))
	if err := s.startHosts(); err != nil {
		return false, err
	}
	var connected, strangers, keyless []*client
	for _, h := range s.hosts {
		connected = append(connected, &client{address: h.front(), record: rec, key: "key-one"})
		strangers = append(strangers, &client{address: h.front(), record: rec, key: "key-never"})
		keyless = append(keyless, &client{address: h.front(), record: rec})
	}
	send := func(clients []*client) (ran, refused int) {
		for _, c := range clients {
			id := newID()
			a := c.do(http.MethodPost, "/order/1", id, callTime, "one piece")
			if s.runs(id) > 0 {
				ran++
			}
			if a.status == http.StatusUnauthorized {
				refused++
			}
		}
		return ran, refused
	}
	before, _ := send(connected)
	strangersBefore, refused := send(strangers)
	if before != len(s.hosts) || strangersBefore != 0 || refused != len(s.hosts) {
		return false, errUnsound
	}
	if disturb {
		s.configure(routes())
	} else {
		s.configure(routes(), newTenant("huka270", "key-one"))
	}
	acknowledged := time.Now()
	late := acknowledged.Add(revokeTime)
	held := map[string]int{}
	for time.Since(acknowledged) < revokeTime+4*time.Second {
		if time.Now().After(late) {
			ran, _ := send(connected)
			held["the key of the tenant"] += ran
			ran, _ = send(strangers)
			held["a key that never was"] += ran
			ran, _ = send(keyless)
			held["no key"] += ran
		} else {
			send(connected)
		}
		time.Sleep(sendPause)
	}
	rec.result("sent later than revoke_ms after the acknowledgement, and run: %v", held)
	if !disturb {
		if held["the key of the tenant"] == 0 {
			return false, errUnsound
		}
		return held["a key that never was"]+held["no key"] > 0, nil
	}
	s.configure(routes(), newTenant("huka270"))
	time.Sleep(revokeTime)
	ran, _ := send(connected)
	rec.result("for comparison, a tenant without keys in place of no tenant: %d run", ran)
	return held["the key of the tenant"]+held["a key that never was"]+held["no key"] > 0, nil
}
