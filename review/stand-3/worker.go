package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	workTime  = 20 * time.Millisecond
	slots     = 16
)

// worker is a worker of a plain service. It registers itself in the store.
type worker struct {
	id, address, service string
	born                 int64
	store                *store
	record               *record

	mu       sync.Mutex
	sequence int64
	// runs counts the requests that began to run, by id; tenants are those of the runs.
	runs map[string]int
	// ran are the tenants of all runs, by the time at which they began.
	ran []ranRequest
}

type ranRequest struct {
	at     time.Time
	tenant string
}

func newWorker(s *store, r *record, ip, id, service string) (*worker, error) {
	w := &worker{id: id, service: service, born: time.Now().UnixMilli(), store: s, record: r, runs: map[string]int{}}
	_, address, err := serve(ip, w)
	w.address = address
	return w, err
}

// register writes the entry of the worker.
func (w *worker) register() {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": zoneName, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	w.store.put("servers", w.id, entry)
}

// beat registers the worker as long as the store is not away.
func (w *worker) beat(stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		w.store.mu.Lock()
		away := w.store.away
		w.store.mu.Unlock()
		if !away {
			w.register()
		}
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	header := rw.Header()
	header.Set("X-Server-Load", fmt.Sprintf("1,0,%d,100", slots))
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		header.Set("X-Request-Id", id)
		header.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	w.runs[id]++
	w.ran = append(w.ran, ranRequest{at: time.Now(), tenant: r.Header.Get("X-Tenant")})
	w.mu.Unlock()
	w.record.add("worker %s runs %s of tenant %s", w.id, id, r.Header.Get("X-Tenant"))
	time.Sleep(workTime)
	header.Set("X-Request-Id", id)
	header.Set("X-Response-Seal", w.id+"."+id)
	header.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(rw, "done %s\n", id)
}
