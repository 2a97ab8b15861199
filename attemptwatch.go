package persimmonport

import (
	"context"
	"sync"

	"persimmonport.example/persimupstream"
)

// maxKeptCaches bounds the caches that wait for their next attempt.
const maxKeptCaches = 1024

// attemptWatch cancels the attempts on an upstream that is reclaimed.
type attemptWatch struct {
	mu      sync.Mutex
	next    int
	cancels map[string]map[int]context.CancelCauseFunc
	caches  map[string]persimupstream.Cache
}

func newAttemptWatch() *attemptWatch {
	return &attemptWatch{
		cancels: map[string]map[int]context.CancelCauseFunc{},
		caches:  map[string]persimupstream.Cache{},
	}
}

// watch returns a context that ends when the upstream is reclaimed.
func (a *attemptWatch) watch(ctx context.Context, address string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	id := a.next
	if a.cancels[address] == nil {
		a.cancels[address] = map[int]context.CancelCauseFunc{}
	}
	a.cancels[address][id] = cancel
	return ctx, func() {
		cancel(nil)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.cancels[address], id)
		if len(a.cancels[address]) == 0 {
			delete(a.cancels, address)
		}
	}
}

// reclaim cancels the attempts on an upstream.
func (a *attemptWatch) reclaim(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, cancel := range a.cancels[address] {
		cancel(errReclaimed)
	}
}

func (a *attemptWatch) keepCache(job string, cache persimupstream.Cache) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.caches) < maxKeptCaches {
		a.caches[job] = cache
	}
}

func (a *attemptWatch) takeCache(job string) (persimupstream.Cache, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cache, ok := a.caches[job]
	delete(a.caches, job)
	return cache, ok
}
