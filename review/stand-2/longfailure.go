package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failingShare is the share of the requests that a worker fails: x of srv_grey.
	failingShare = 0.4
	// failureBytes is the size of the body of such an answer.
	failureBytes = 300 << 10
	// calmTime is the time before and after the failures, failingTime that of the failures:
	// for_s of srv_grey.
	calmTime      = 2 * time.Second
	failingTime   = 4 * time.Second
	longFailPause = 100 * time.Millisecond
)

// longFailure lets one of three workers fail a part of its orders after it has run them, with
// status 503 and a long body, and without X-Not-Executed. The clients repeat an order after a
// promise only, as their page says.
func longFailure(rec *record, disturb bool) (bool, error) {
	s, err := newSystem(rec, 3)
	if err != nil {
		return false, err
	}
	defer s.close()
	var mu sync.Mutex
	runsOfOrder := map[string]int{}
	var failing atomic.Bool
	for i, zone := range []string{"za", "zb", "zc"} {
		w, err := s.addWorker("i-"+zone, orders, zone, 6)
		if err != nil {
			return false, err
		}
		w.answer = func(conn net.Conn, j *job) bool {
			mu.Lock()
			runsOfOrder[string(j.body)]++
			mu.Unlock()
			if !failing.Load() || i > 0 || rand.Float64() >= failingShare {
				return w.sound(conn, j)
			}
			w.run(j)
			time.Sleep(workTime)
			body := strings.Repeat("e", failureBytes)
			_, err := io.WriteString(conn, headOf(j, http.StatusServiceUnavailable, len(body))+body)
			return err == nil
		}
	}
	s.configure(routes(), newTenant("huka270", "key-one"))
	if err := s.startHosts(); err != nil {
		return false, err
	}
	end := time.Now().Add(2*calmTime + failingTime)
	time.AfterFunc(calmTime, func() { failing.Store(disturb) })
	time.AfterFunc(calmTime+failingTime, func() { failing.Store(false) })
	untrue, served := 0, 0
	var clients sync.WaitGroup
	for n := range 6 {
		c := &client{address: s.hosts[n%len(s.hosts)].front(), record: rec, key: "key-one"}
		clients.Go(func() {
			defer c.close()
			for k := 0; time.Now().Before(end); k++ {
				order := fmt.Sprintf("order %d of client %d", k, n)
				for range 2 {
					id := newID()
					a := c.do(http.MethodPost, "/order/1", id, callTime, order)
					promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
					mu.Lock()
					if promised && s.runs(id) > 0 {
						untrue++
					}
					if a.status == http.StatusOK {
						served++
					}
					mu.Unlock()
					if !promised {
						break
					}
				}
				time.Sleep(longFailPause)
			}
		})
	}
	clients.Wait()
	if served == 0 {
		return false, errUnsound
	}
	doubled := 0
	for _, runs := range runsOfOrder {
		if runs > 1 {
			doubled++
		}
	}
	rec.result("answered 503 or 429 though run: %d; orders run twice: %d; served: %d", untrue, doubled, served)
	return untrue > 0, nil
}
