package persimstand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"persimmonport.example/persimupstream"
)

// An EngineOrder tells an engine to load a model, an adapter or a version, or to
// change its role.
type EngineOrder struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
}

// A CacheEvent says that a prompt's prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prompt   string `json:"prompt"`
	Removed  bool   `json:"removed"`
}

const (
	keptEvents = 64
	// lostEvery is the number of cache events of which one is lost.
	lostEvery = 5
)

// engineOrders holds the orders and cache events of an engine.
type engineOrders struct {
	checkFence bool
	lag        time.Duration

	mu       sync.Mutex
	fence    uint64
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	event CacheEvent
	at    time.Time
}

// take carries out an order, or refuses one with an old fencing number.
func (o *engineOrders) take(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !o.accept(order) {
		w.Header().Set(persimupstream.HeaderNotRun, "true")
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	writeJSON(w, order)
}

func (o *engineOrders) accept(order EngineOrder) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkFence && order.Fence < o.fence {
		return false
	}
	o.fence = max(o.fence, order.Fence)
	return true
}

// record notes a change of the cache; some are lost.
func (o *engineOrders) record(prompt string, removed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	if o.sequence%lostEvery == 0 {
		return
	}
	event := CacheEvent{Sequence: o.sequence, Prompt: prompt, Removed: removed}
	o.events = append(o.events, timedEvent{event: event, at: time.Now()})
	o.events = o.events[max(0, len(o.events)-keptEvents):]
}

// list serves the events that are older than the lag.
func (o *engineOrders) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.published())
}

func (o *engineOrders) published() []CacheEvent {
	o.mu.Lock()
	defer o.mu.Unlock()
	events := []CacheEvent{}
	for _, e := range o.events {
		if time.Since(e.at) >= o.lag {
			events = append(events, e.event)
		}
	}
	return events
}
