package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// deadlyPart is the part of prompts that crashes the worker that begins to write an answer.
const deadlyPart = "dead0001"

// engine is a worker of a language model at one address. It crashes on the deadly part and
// starts again after some seconds.
type engine struct {
	*deployment
	address string
	deadly  bool
	// begins says whether the head of the answer leaves the worker before it crashes.
	begins bool
	// down is how long the worker is away after a crash.
	down   time.Duration
	events *engineEvents
	stop   chan struct{}

	mu     sync.Mutex
	server *http.Server
	id     string
	starts int
}

// engineEvents is what all engines have seen.
type engineEvents struct {
	mu sync.Mutex
	// crashes are the times of crashes, arrivals those of requests with the deadly part.
	crashes  []time.Time
	arrivals []arrival
}

type arrival struct {
	at time.Time
	id string
}

func (d *deployment) addEngine(events *engineEvents, deadly, begins bool) *engine {
	e := &engine{deployment: d, events: events, deadly: deadly, begins: begins, down: 3 * time.Second, stop: make(chan struct{})}
	e.start("127.0.0.1:0")
	return e
}

// start starts the worker as a new incarnation.
func (e *engine) start(address string) {
	var listener net.Listener
	for {
		var err error
		if listener, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	server := &http.Server{Handler: e}
	e.mu.Lock()
	e.address = listener.Addr().String()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.address, ":", "-"), e.starts)
	e.server = server
	id := e.id
	e.mu.Unlock()
	e.deployment.mu.Lock()
	e.servers = append(e.servers, server)
	e.deployment.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	born := time.Now().UnixMilli()
	go func() {
		var last time.Time
		for {
			e.mu.Lock()
			alive := e.server == server
			e.mu.Unlock()
			if alive {
				last = time.Now()
				e.store.put("servers", id, map[string]any{"service": "model", "address": e.address, "zone": "z", "version": "v1", "slots": 64,
					"state": "ready", "cold_remaining_ms": 0, "stage": "prefill_decode", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
					"sequence": 1, "born": born})
			} else if time.Since(last) > 3600*time.Millisecond {
				e.store.remove("servers", id)
				return
			}
			select {
			case <-e.stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
}

// crash ends the worker: its connections and its port are gone at once.
func (e *engine) crash(cause string) {
	e.mu.Lock()
	server, id := e.server, e.id
	if server == nil {
		e.mu.Unlock()
		return
	}
	e.server = nil
	e.mu.Unlock()
	e.events.mu.Lock()
	e.events.crashes = append(e.events.crashes, time.Now())
	count := len(e.events.crashes)
	e.events.mu.Unlock()
	e.record.say("%s crashes on %s (crash %d)", id, cause, count)
	_ = server.Close()
	time.AfterFunc(e.down, func() {
		select {
		case <-e.stop:
		default:
			e.start(e.address)
		}
	})
}

func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	instance := e.id
	e.mu.Unlock()
	rw.Header().Set("X-Server-Load", "1,0,64,100")
	rw.Header().Set("X-Instance-Id", instance)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != instance {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	deadly := slices.ContainsFunc(strings.Split(r.Header.Get("X-Prefix-Hash"), ","), func(part string) bool {
		return strings.HasPrefix(part, deadlyPart+":")
	})
	if deadly {
		e.events.mu.Lock()
		e.events.arrivals = append(e.events.arrivals, arrival{at: time.Now(), id: id})
		e.events.mu.Unlock()
		e.record.line("%s gets %s, which has the deadly part", instance, id)
	}
	// The prompt is read before the first token.
	select {
	case <-time.After(40 * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Response-Seal", "seal-"+id)
	if deadly && e.deadly {
		if e.begins {
			rw.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(5 * time.Millisecond)
		}
		e.crash(id)
		return
	}
	count := 8
	if strings.HasPrefix(r.URL.Path, "/spec/") {
		count = 64
	}
	for event := range count {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s piece %d\n\n", event+1, id, event+1)
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-time.After(15 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}
