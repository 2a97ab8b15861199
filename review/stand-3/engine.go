package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// engineEvents is the number of events of a stream, of which each takes engineStep.
	engineEvents  = 4
	enginePrefill = 30 * time.Millisecond
	engineStep    = 10 * time.Millisecond
	engineSlots   = 64
	// crashTime is how long a worker that has crashed is away, lapseTime when its entry is removed:
	// three heartbeats.
	crashTime = 2500 * time.Millisecond
	lapseTime = 3 * heartbeat
)

// engine is a model worker. It crashes as it begins to write an answer on a prompt with the deadly
// part, if there is one: no byte of the answer leaves it.
type engine struct {
	fleet *engines
	id    string
	born  int64

	server   *http.Server
	listener net.Listener
	stop     chan struct{}

	mu       sync.Mutex
	sequence int64
	dead     bool
	conns    map[net.Conn]bool
}

// engines are the workers of the model service.
type engines struct {
	store  *store
	record *record
	ip     string
	// deadly is the part that crashes workers, or empty.
	deadly string

	mu      sync.Mutex
	number  int
	alive   map[string]*engine
	ended   bool
	crashes []time.Time
	// arrived are the times at which requests with the watched part reached workers.
	watched string
	arrived []time.Time
}

// start starts a worker as a new incarnation with a new id.
func (f *engines) start() error {
	f.mu.Lock()
	f.number++
	number := f.number
	f.mu.Unlock()
	listener, err := net.Listen("tcp4", f.ip+":0")
	if err != nil {
		return err
	}
	e := &engine{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x5a000000+number), born: time.Now().UnixMilli(), listener: listener,
		stop: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	e.server = &http.Server{Handler: e, ConnState: e.onConn}
	go func() { _ = e.server.Serve(listener) }()
	f.mu.Lock()
	f.alive[e.id] = e
	f.mu.Unlock()
	go e.beat()
	return nil
}

func (e *engine) onConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	}
}

func (e *engine) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		e.sequence++
		entry := map[string]any{
			"service": "kit-model", "address": e.listener.Addr().String(), "zone": zoneName, "version": "v1",
			"slots": engineSlots, "state": "ready", "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
			"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		}
		dead := e.dead
		e.mu.Unlock()
		if !dead {
			e.fleet.store.put("servers", e.id, entry)
		}
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}

// crash ends the worker as the kernel ends a process that has crashed: its port refuses
// connections, its connections are reset. It is back later as another incarnation.
func (e *engine) crash() {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	e.dead = true
	_ = e.listener.Close()
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	e.mu.Unlock()
	close(e.stop)
	f := e.fleet
	f.mu.Lock()
	delete(f.alive, e.id)
	f.crashes = append(f.crashes, time.Now())
	count := len(f.crashes)
	f.mu.Unlock()
	f.record.tell("worker %s crashes (crash %d)", e.id, count)
	time.AfterFunc(lapseTime, func() { f.store.remove("servers", e.id) })
	time.AfterFunc(crashTime, func() {
		f.mu.Lock()
		ended := f.ended
		f.mu.Unlock()
		if ended {
			return
		}
		if err := f.start(); err != nil {
			f.record.tell("worker not started: %v", err)
		}
	})
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Server-Load", fmt.Sprintf("1,0,%d,100", engineSlots))
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		header.Set("X-Request-Id", id)
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f := e.fleet
	parts := r.Header.Get("X-Prefix-Hash")
	if f.watched != "" && hasPart(parts, f.watched) {
		f.mu.Lock()
		f.arrived = append(f.arrived, time.Now())
		f.mu.Unlock()
		f.record.tell("request %s with part %s reaches worker %s", id, f.watched, e.id)
	}
	time.Sleep(enginePrefill)
	if f.deadly != "" && hasPart(parts, f.deadly) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	header.Set("X-Request-Id", id)
	header.Set("X-Response-Seal", e.id+"."+id)
	header.Set("X-Weight-Versions", "1")
	header.Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.WriteHeader(http.StatusOK)
	for i := first; i <= engineEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(engineStep)
	}
}

// hasPart reports whether a prompt has a part that is not its last one.
func hasPart(prefix, part string) bool {
	entries := strings.Split(prefix, ",")
	for _, entry := range entries[:len(entries)-1] {
		if name, _, _ := strings.Cut(entry, ":"); name == part {
			return true
		}
	}
	return false
}
