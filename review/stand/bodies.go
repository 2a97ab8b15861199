package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	caseHost = "case.example"
	apiKey   = "key0123456789abcdef00"
	// maxBody is max_body_bytes of the configuration.
	maxBody = 4 << 20
	// sendRate is the rate at which a client sends a long body, in bytes a second. All
	// clients of a machine together stay below its link (1000 Mbit/s).
	sendRate = 2 << 20
	// usual is the number of clients with long bodies at a machine, more that of those that
	// come in a burst: 1.9 times the usual.
	usual = 22
	more  = 20
)

// answer is what a client got; the status is 0 if the connection ended without one.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// wait waits as long as a refusal asks for, or half a second.
func (a answer) wait() {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0.5
	}
	time.Sleep(time.Duration(seconds * float64(time.Second)))
}

// client is a client with one kept connection.
type client struct {
	// key is the client's key, or empty for apiKey.
	key    string
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request on the kept connection, or on a new one if there is none. Pace is the
// rate of the body, or 0.
func (c *client) do(address, method, path, id string, deadline time.Duration, body []byte, pace int) (a answer, kept bool) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			return answer{err: err}, false
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	}
	kept = c.used > 0
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n",
		method, path, caseHost, id, deadline.Milliseconds(), cmp.Or(c.key, apiKey), len(body))
	if _, err := c.conn.Write([]byte(head)); err != nil {
		c.close()
		return answer{err: err}, kept
	}
	if err := send(c.conn, body, pace); err != nil {
		c.close()
		return answer{err: err}, kept
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}, kept
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.close()
		return answer{err: err}, kept
	}
	if response.Close {
		c.close()
	}
	return answer{status: response.StatusCode, header: response.Header, body: data}, kept
}

// send writes a body at a rate, in pieces.
func send(w io.Writer, body []byte, pace int) error {
	const piece = 32 << 10
	started, sent := time.Now(), 0
	for sent < len(body) {
		n, err := w.Write(body[sent:min(sent+piece, len(body))])
		if err != nil {
			return err
		}
		sent += n
		if pace > 0 {
			time.Sleep(time.Until(started.Add(time.Duration(float64(sent) / float64(pace) * float64(time.Second)))))
		}
	}
	return nil
}

func catalogue(version int, routes []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "orders", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "huka270", "api_keys": []string{apiKey}, "priority": 1, "rate_per_s": 0, "burst": 0}},
	}
}

func route(name, prefix, kind string, timeout, attempts int) map[string]any {
	return map[string]any{"name": name, "host": caseHost, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 800,
		"priority": 1, "service": "orders", "max_attempts": attempts, "anonymous": false, "sticky": false, "resumable": false}
}

// bodiesCase lets more users than usual send long bodies at once and ends machines whose
// memory passes the limit, as the platform does.
func bodiesCase(d *deployment, trouble bool) bool {
	d.store.put("config", "main", catalogue(2, []map[string]any{
		route("order", "/order/", "non_idempotent", 3000, 1),
		route("spec", "/spec/", "idempotent", 15000, 2),
	}))
	var workers []*worker
	for range 4 {
		workers = append(workers, d.addWorker("orders", "z", 64, func(r *http.Request) time.Duration {
			if r.ContentLength > 1<<20 {
				return 500 * time.Millisecond
			}
			return 150 * time.Millisecond
		}))
	}
	for range 3 {
		d.addMachine("z").start()
	}
	d.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var next, served, refused, failed atomic.Int64
	var lostMu sync.Mutex
	lost := 0
	body := bytes.Repeat([]byte("0123456789abcdef"), maxBody/16)
	for _, m := range d.machines {
		clients.Go(func() { m.watchMemory(stop) })
		for range 12 {
			clients.Go(func() {
				c := &client{}
				defer c.close()
				for !done(stop) {
					id := fmt.Sprintf("o%07d", next.Add(1))
					sent := time.Now()
					a, kept := c.do(m.front(), "POST", "/order/1", id, 3*time.Second, []byte("one piece"), 0)
					switch {
					case a.status == 200:
						served.Add(1)
					case a.status != 0:
						refused.Add(1)
						a.wait()
					default:
						failed.Add(1)
						d.record.line("%s: order %s ended without an answer after %s: %v", m.name, id, time.Since(sent).Round(time.Millisecond), a.err)
						for _, w := range workers {
							if r, ok := w.ran(id); ok && kept {
								lostMu.Lock()
								lost++
								lostMu.Unlock()
								d.record.say("LOST: order %s, sent to %s on a kept connection, was run by %s at %s and its connection closed without an answer",
									id, m.name, w.id, r.began.Sub(d.record.start).Round(time.Millisecond))
							}
						}
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
	}
	upload := func(m *machine, until <-chan struct{}) {
		c := &client{}
		defer c.close()
		for !done(until) {
			id := fmt.Sprintf("s%07d", next.Add(1))
			a, _ := c.do(m.front(), "POST", "/spec/1", id, 15*time.Second, body, sendRate)
			d.record.line("%s: long body %s: status %d %v", m.name, id, a.status, a.err)
			if a.status != 200 {
				c.close()
				a.wait()
			}
		}
	}
	for _, m := range d.machines {
		for i := range usual {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 2500 * time.Millisecond / time.Duration(usual))
				upload(m, stop)
			})
		}
	}
	time.Sleep(15 * time.Second)
	for range 3 {
		if trouble {
			d.record.say("many users come at once: %d clients with long bodies a machine instead of %d", usual+more, usual)
			burstEnd := make(chan struct{})
			time.AfterFunc(3*time.Second, func() { close(burstEnd) })
			for _, m := range d.machines {
				for range more {
					clients.Go(func() { upload(m, burstEnd) })
				}
			}
		}
		time.Sleep(12 * time.Second)
	}
	close(stop)
	clients.Wait()
	ended := 0
	for _, m := range d.machines {
		d.record.say("%s: most memory %d MiB of %d, ended by itself %d times", m.name, m.peak, memoryMB, m.ends)
		if m.ends > 0 {
			ended++
		}
	}
	d.record.say("orders: %d served, %d refused, %d without an answer, %d of these run and sent on a kept connection", served.Load(), refused.Load(), failed.Load(), lost)
	return lost > 3
}

// watchMemory ends the process when its memory passes the limit, as the platform does, and
// starts it again after a short delay.
func (m *machine) watchMemory(stop <-chan struct{}) {
	for !done(stop) {
		mb := m.residentMB()
		m.peak = max(m.peak, mb)
		if mb > memoryMB {
			m.record.say("%s: %d MiB of memory in use, the limit is %d: the platform ends the process", m.name, mb, memoryMB)
			m.mu.Lock()
			exited := m.exited
			m.mu.Unlock()
			m.signal(syscall.SIGKILL)
			<-exited
			time.Sleep(time.Second)
			m.start()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func done(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
