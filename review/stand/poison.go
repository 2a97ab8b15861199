package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deadlyPeriod is the time between two requests with the deadly part.
	deadlyPeriod = 15500 * time.Millisecond
	// deadlyRequests is their number.
	deadlyRequests = 6
)

func modelCatalogue() map[string]any {
	ask := route("ask", "/ask/", "streaming", 3000, 2)
	ask["resumable"] = true
	spec := route("spec", "/spec/", "streaming", 15000, 1)
	for _, r := range []map[string]any{ask, spec} {
		r["service"], r["sticky"], r["gap_aim_ms"] = "model", true, 500
	}
	return map[string]any{
		"version": 2, "routes": []map[string]any{ask, spec},
		"services": []map[string]any{{"name": "model", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 905886, "kv_bytes": 327680, "link_mbps": 550000.0, "moves": true, "backups": true,
				"stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "huka270", "api_keys": []string{apiKey}, "priority": 1, "rate_per_s": 0, "burst": 0}},
	}
}

// prompt sends one request for a generation on a new connection and returns its status.
func prompt(address, path, id, parts string, tokens int) (int, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Count: %d,48\r\nX-Prefix-Hash: %s\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: %s\r\nContent-Length: 5\r\n\r\nhello",
		path, caseHost, id, tokens, parts, apiKey)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// poisonCase sends, besides sound requests, one request in deadlyPeriod with a part that
// crashes workers, to the machines in turn. Without trouble that part is harmless.
func poisonCase(d *deployment, trouble bool) bool {
	d.store.put("config", "main", modelCatalogue())
	events := &engineEvents{}
	var engines []*engine
	for range 8 {
		engines = append(engines, d.addEngine(events, trouble, os.Getenv("BEGINS") == "1"))
	}
	for range 3 {
		d.addMachine("z").start()
	}
	d.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var next, served, failed, cut atomic.Int64
	for i, m := range d.machines {
		for k := range 6 {
			clients.Go(func() {
				for !done(stop) {
					n := next.Add(1)
					id := fmt.Sprintf("p%07d", n)
					parts := fmt.Sprintf("5c1e07a2:512,%08x:1800,%08x:300", 0x1000+(int(n)%24), 0x2000000+int(n))
					path := []string{"/ask/1", "/spec/1"}[k%2]
					status, err := prompt(m.front(), path, id, parts, 2612)
					switch {
					case status == 200 && err == nil:
						served.Add(1)
					case status == 200:
						cut.Add(1)
						d.record.line("%s: sound %s %s is cut off: %v", m.name, path, id, err)
					default:
						failed.Add(1)
						d.record.line("%s: sound %s: status %d %v", m.name, id, status, err)
					}
					time.Sleep(time.Duration(150+10*i+7*k) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	for n := range deadlyRequests {
		m := d.machines[n%len(d.machines)]
		id := fmt.Sprintf("deadly-%d", n+1)
		parts := fmt.Sprintf("5c1e07a2:512,%s:400,%08x:1800,%08x:300", deadlyPart, 0x1000+(7*n)%24, 0x3000000+n)
		d.record.line("%s: %s is sent with the deadly part", m.name, id)
		clients.Go(func() {
			status, err := prompt(m.front(), "/ask/1", id, parts, 3012)
			d.record.line("%s: %s: status %d %v", m.name, id, status, err)
		})
		time.Sleep(deadlyPeriod)
	}
	close(stop)
	clients.Wait()
	for _, e := range engines {
		close(e.stop)
	}
	events.mu.Lock()
	defer events.mu.Unlock()
	d.record.say("sound requests: %d served, %d cut off, %d failed", served.Load(), cut.Load(), failed.Load())
	d.record.say("%d crashes, %d requests with the deadly part reached workers", len(events.crashes), len(events.arrivals))
	return lateArrivals(d, events) > 3
}
