package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clients send orders to processes that are ready, at a steady rate, with new connections.
type clients struct {
	record    *record
	processes []*process
	keys      []string

	ready    sync.Map
	sent     atomic.Int64
	answered atomic.Int64
	next     atomic.Int64
}

// watchReady asks each process once a second whether it is ready, as the platform does.
func (c *clients) watchReady(stop <-chan struct{}) {
	for _, p := range c.processes {
		go func() {
			for {
				c.ready.Store(p.name, p.ready())
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
}

func (c *clients) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range c.processes {
			if is, ok := c.ready.Load(p.name); ok && is.(bool) {
				ready++
			}
		}
		if ready == len(c.processes) {
			return true
		}
	}
	return false
}

// run sends a request each interval until it is stopped.
func (c *clients) run(interval time.Duration, stop <-chan struct{}, done *sync.WaitGroup) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		var ready []*process
		for _, p := range c.processes {
			if is, ok := c.ready.Load(p.name); ok && is.(bool) {
				ready = append(ready, p)
			}
		}
		if len(ready) == 0 {
			continue
		}
		p := ready[rand.IntN(len(ready))]
		done.Add(1)
		go func() {
			defer done.Done()
			c.send(p)
		}()
	}
}

func (c *clients) send(p *process) {
	number := c.next.Add(1)
	id := fmt.Sprintf("%016x", uint64(number)*0x9e3779b97f4a7c15)
	request, err := http.NewRequest(http.MethodPost, "http://"+p.front()+"/orders/1", bytes.NewReader([]byte("order "+id)))
	if err != nil {
		return
	}
	request.Host = hostName
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("X-Api-Key", c.keys[number%int64(len(c.keys))])
	c.sent.Add(1)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.record.add("client: %s to %s: %v", id, p.name, err)
		return
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	c.record.add("client: %s to %s: %d %q %v", id, p.name, response.StatusCode, bytes.TrimSpace(data), err)
	if err == nil && response.StatusCode == http.StatusOK {
		c.answered.Add(1)
	}
}
