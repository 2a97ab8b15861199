package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which a worker renews its entry in the store.
const heartbeat = 1200 * time.Millisecond

// workTime is how long a worker works on a request.
const workTime = 60 * time.Millisecond

// job is a request as a worker received it.
type job struct {
	id     string
	head   *http.Request
	body   []byte
	worker *worker
}

// worker is a stand-in for a worker. It speaks HTTP/1.1 on plain connections, so that a case
// decides about every byte of its answers.
type worker struct {
	id, service, zone string
	slots             int
	record            *record
	store             *store
	// answer writes the answer to a request. It returns false if the connection is to be closed.
	answer func(conn net.Conn, j *job) bool

	listener net.Listener
	born     int64
	stop     chan struct{}

	mu       sync.Mutex
	runs     map[string]int
	arrivals int
	state    string
	conns    map[net.Conn]bool
}

func newWorker(s *store, rec *record, id, service, zone string, slots int) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, slots: slots, record: rec, store: s, listener: listener,
		born: time.Now().UnixMilli(), stop: make(chan struct{}), runs: map[string]int{}, state: "ready", conns: map[net.Conn]bool{},
	}
	w.answer = w.sound
	return w, nil
}

// start serves requests and registers the worker.
func (w *worker) start() {
	go w.accept()
	go func() {
		for sequence := 1; ; sequence++ {
			w.register(sequence)
			select {
			case <-w.stop:
				w.store.remove("servers", w.id)
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

func (w *worker) register(sequence int) {
	w.mu.Lock()
	state := w.state
	w.mu.Unlock()
	w.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": sequence, "born": w.born,
	})
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *worker) close() {
	_ = w.listener.Close()
	close(w.stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		head, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(head.Body)
		if err != nil {
			return
		}
		j := &job{id: head.Header.Get("X-Request-Id"), head: head, body: body, worker: w}
		w.mu.Lock()
		w.arrivals++
		w.mu.Unlock()
		w.record.printf("worker %s gets %s %s %s with X-Tenant %q", w.id, j.id, head.Method, head.RequestURI, head.Header.Values("X-Tenant"))
		if target := head.Header.Get("X-Target-Instance"); target != "" && target != w.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", j.id)
			continue
		}
		if !w.answer(conn, j) {
			return
		}
	}
}

// run records that the worker began to work on a request.
func (w *worker) run(j *job) {
	w.mu.Lock()
	w.runs[j.id]++
	n := w.runs[j.id]
	w.mu.Unlock()
	w.record.printf("worker %s runs %s (run %d of this id here)", w.id, j.id, n)
}

func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// seal returns the value of X-Response-Seal.
func seal(j *job) string { return "seal." + j.worker.id + "." + j.id }

// headOf returns the head of an answer with a length.
func headOf(j *job, status int, length int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Seal: %s\r\nX-Server-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), j.id, seal(j), j.worker.slots, length)
}

// sound runs the request and answers it with success.
func (w *worker) sound(conn net.Conn, j *job) bool {
	w.run(j)
	time.Sleep(workTime)
	body := soundBody(j.id)
	_, err := io.WriteString(conn, headOf(j, http.StatusOK, len(body))+body)
	return err == nil
}

func soundBody(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }
