package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is a request that a worker ran.
type run struct {
	id, method, target, body string
	began, ended             time.Time
}

// worker is a sound worker of a plain service.
type worker struct {
	*deployment
	id      string
	service string
	address string
	slots   int
	// work is how long a request takes.
	work   func(r *http.Request) time.Duration
	stop   chan struct{}
	server *http.Server

	mu      sync.Mutex
	running int
	runs    map[string]*run
}

func (d *deployment) addWorker(service, zone string, slots int, work func(*http.Request) time.Duration) *worker {
	w := &worker{deployment: d, service: service, slots: slots, work: work, stop: make(chan struct{}), runs: map[string]*run{}}
	listener, server := d.serveUntilClosed("127.0.0.1:0", w)
	w.address, w.server = listener.Addr().String(), server
	w.id = "i-" + strings.ReplaceAll(w.address, ":", "-")
	born := time.Now().UnixMilli()
	go func() {
		for sequence := 1; ; sequence++ {
			d.store.put("servers", w.id, map[string]any{"service": service, "address": w.address, "zone": zone, "version": "v1",
				"slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": born})
			select {
			case <-w.stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return w
}

// exit ends the worker with what it is running.
func (w *worker) exit() { _ = w.server.Close() }

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", min(w.running, w.slots), max(0, w.running-w.slots), w.slots)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Server-Load", w.load())
	rw.Header().Set("X-Instance-Id", w.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	began := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	sum := sha256.Sum256(body)
	w.mu.Lock()
	w.running++
	w.runs[id] = &run{id: id, method: r.Method, target: r.RequestURI, body: hex.EncodeToString(sum[:8]), began: began}
	w.mu.Unlock()
	w.record.line("%s runs %s: %s %s, %d bytes", w.id, id, r.Method, r.RequestURI, len(body))
	time.Sleep(w.work(r))
	w.mu.Lock()
	w.running--
	w.runs[id].ended = time.Now()
	w.mu.Unlock()
	rw.Header().Set("X-Server-Load", w.load())
	rw.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(rw, "done %s", id)
}

// ran returns the run of a request, if the worker ran it.
func (w *worker) ran(id string) (run, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.runs[id]
	if !ok {
		return run{}, false
	}
	return *r, true
}
