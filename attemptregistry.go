package persimmonport

import (
	"context"
	"sync"

	"persimmonport.example/persimupstream"
)

// maxExportedCaches is the maximum number of exported caches that are stored until
// the next attempt of their job.
const maxExportedCaches = 1024

// attemptRegistry tracks the attempts on each upstream, so that they can be cancelled
// when the upstream is reclaimed, and stores the caches exported from them.
type attemptRegistry struct {
	mu     sync.Mutex
	lastID int
	// cancels maps an upstream address to the cancel functions of its attempts.
	cancels map[string]map[int]context.CancelCauseFunc
	// caches maps a job to the cache exported from its last attempt.
	caches map[string]persimupstream.Cache
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{
		cancels: map[string]map[int]context.CancelCauseFunc{},
		caches:  map[string]persimupstream.Cache{},
	}
}

// register returns a context that is cancelled when the upstream is reclaimed, and
// a function that ends the registration.
func (a *attemptRegistry) register(ctx context.Context, address string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	id := a.lastID
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

// cancelUpstream cancels the attempts on an upstream with the cause errReclaimed.
func (a *attemptRegistry) cancelUpstream(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, cancel := range a.cancels[address] {
		cancel(errReclaimed)
	}
}

func (a *attemptRegistry) storeCache(job string, cache persimupstream.Cache) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.caches) < maxExportedCaches {
		a.caches[job] = cache
	}
}

func (a *attemptRegistry) takeCache(job string) (persimupstream.Cache, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cache, ok := a.caches[job]
	delete(a.caches, job)
	return cache, ok
}
