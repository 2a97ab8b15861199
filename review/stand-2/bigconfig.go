package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// addedRoutes is the count of big_config, which comes bigConfigs times.
	addedRoutes   = 1400
	bigConfigs    = 3
	bigConfigGap  = 3 * time.Second
	configApply   = 2 * time.Second
	routeTimeout  = 3 * time.Second
	answerSlack   = 500 * time.Millisecond
	askPause      = 50 * time.Millisecond
	judgedTime    = 12 * time.Second
	maxValueBytes = 1 << 20
	leastOverdue  = 10
)

// customerRoutes returns the routes of a number of customers, each with a quick and a long kind of
// request for the model service, with the priorities and aims of the site's two kinds.
func customerRoutes(count int) []route {
	var list []route
	for k := range count {
		r := newRoute(fmt.Sprintf("c%d", k), fmt.Sprintf("/c%d/", k), "streaming", model, routeTimeout, 2)
		r["resumable"] = true
		if k%2 == 1 {
			r["priority"], r["target_latency_ms"] = 1, 800
		} else {
			r["priority"], r["target_latency_ms"] = 0, 500
		}
		list = append(list, r)
	}
	return list
}

// askTally counts the requests that were unanswered at their route's timeout, and those of them
// that had no answer half a second later.
type askTally struct {
	mu                              sync.Mutex
	sent, served, overdue, answered int
}

func (t *askTally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.status == http.StatusOK && a.complete {
		t.served++
	}
	if a.took <= routeTimeout {
		return
	}
	t.overdue++
	if a.status != 0 && a.took <= routeTimeout+answerSlack {
		t.answered++
	}
}

// bigConfig lets the configuration grow by many routes, below the size that the store takes.
func bigConfig(rec *record, disturb bool) (bool, error) {
	s, err := newSystem(rec, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range 6 {
		w, err := s.addWorker(fmt.Sprintf("i-%d", i), model, []string{"za", "zb", "zc"}[i%3], 64)
		if err != nil {
			return false, err
		}
		w.answer = w.stream
	}
	base := routes()
	base[2]["timeout_ms"], base[2]["priority"] = routeTimeout.Milliseconds(), 0
	base[3]["target_latency_ms"] = 800
	s.configure(base, newTenant("huka270", "key-one"))
	if err := s.startHosts(); err != nil {
		return false, err
	}
	before, after := &askTally{}, &askTally{}
	s.ask(before, 3*time.Second)
	for n := range bigConfigs {
		list := base
		if disturb {
			list = append(append([]route{}, base...), customerRoutes((n+1)*addedRoutes)...)
		}
		if data, err := json.Marshal(list); err != nil || len(data) > maxValueBytes-1<<10 {
			return false, fmt.Errorf("the configuration has %d bytes: %w", len(data), err)
		}
		s.configure(list, newTenant("huka270", "key-one"))
		time.Sleep(bigConfigGap)
	}
	s.ask(after, judgedTime)
	ready := 0
	for _, h := range s.hosts {
		if h.ready() {
			ready++
		}
		rec.result("machine %s: %s", h.name, h.mostMemory())
	}
	rec.result("before: %d sent, %d served, %d unanswered at timeout_ms", before.sent, before.served, before.overdue)
	rec.result("after: %d sent, %d served, %d unanswered at timeout_ms, %d of these answered half a second later; %d of 3 machines ready",
		after.sent, after.served, after.overdue, after.answered, ready)
	if before.served != before.sent {
		return false, errUnsound
	}
	return after.overdue >= leastOverdue && 2*(after.overdue-after.answered) > after.overdue, nil
}

// ask sends requests to all machines for a time and waits for their answers.
func (s *system) ask(tally *askTally, length time.Duration) {
	var asking sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(askPause) {
		for _, h := range s.hosts {
			asking.Go(func() {
				c := &client{address: h.front(), record: s.record, key: "key-one"}
				defer c.close()
				id := newID()
				tally.add(c.do(http.MethodPost, "/ask/1", id, routeTimeout, "a question",
					"X-Model: m", "X-Token-Count: 1460,80", "X-Prefix-Hash: 5c1e07a2:800,"+id+":250"))
			})
		}
	}
	asking.Wait()
}

// stream runs the request and answers it with a short stream of events.
func (w *worker) stream(conn net.Conn, j *job) bool {
	w.run(j)
	time.Sleep(20 * time.Millisecond)
	var events strings.Builder
	for n := 1; n <= 4; n++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s-%d\n\n", n, j.id, n)
	}
	head := strings.Replace(headOf(j, http.StatusOK, events.Len()), "X-Server-Load", "Content-Type: text/event-stream\r\nX-Server-Load", 1)
	_, err := io.WriteString(conn, head+events.String())
	return err == nil
}
