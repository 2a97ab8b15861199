package persimstand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"persimmonport.example/persimupstream"
)

// EngineOrder is an order to an engine to load a model, an adapter or a version, or to
// change its role.
type EngineOrder struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
}

// CacheEvent reports that a prompt's prefix was added to or removed from an engine's
// cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prompt   string `json:"prompt"`
	Removed  bool   `json:"removed"`
}

const (
	maxCacheEvents = 64
	// eventLossInterval is the number of cache events of which one is dropped.
	eventLossInterval = 5
)

// engineOrders handles the orders to an engine and keeps its cache events.
type engineOrders struct {
	checkFence bool
	lag        time.Duration

	mu       sync.Mutex
	fence    uint64
	sequence uint64
	events   []timedCacheEvent
}

type timedCacheEvent struct {
	event      CacheEvent
	recordedAt time.Time
}

// serveOrder accepts an order, or rejects it if its fencing token is old.
func (o *engineOrders) serveOrder(w http.ResponseWriter, r *http.Request) {
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

// recordCacheEvent appends a cache event. It drops some events to simulate loss.
func (o *engineOrders) recordCacheEvent(prompt string, removed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	if o.sequence%eventLossInterval == 0 {
		return
	}
	event := CacheEvent{Sequence: o.sequence, Prompt: prompt, Removed: removed}
	o.events = append(o.events, timedCacheEvent{event: event, recordedAt: time.Now()})
	o.events = o.events[max(0, len(o.events)-maxCacheEvents):]
}

// serveCacheEvents serves the cache events that are at least as old as the lag.
func (o *engineOrders) serveCacheEvents(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, o.publishedEvents())
}

func (o *engineOrders) publishedEvents() []CacheEvent {
	o.mu.Lock()
	defer o.mu.Unlock()
	events := []CacheEvent{}
	for _, e := range o.events {
		if time.Since(e.recordedAt) >= o.lag {
			events = append(events, e.event)
		}
	}
	return events
}
