package persimfront

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimlog"
)

const (
	// crashCheckDelay is the time between a break and the check whether the upstream has
	// crashed, in which the other requests on it break as well.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout limits the time of the check.
	crashCheckTimeout = 500 * time.Millisecond
	// maxUnanswered is the number of requests that are kept of one crash.
	maxUnanswered = 64
	// eventsWhenSound is the number of events after which a response is taken to go on. A
	// request whose response ended earlier may have crashed its upstream.
	eventsWhenSound = 3
)

// unanswered is a request that an upstream has not answered.
type unanswered struct {
	// parts are the ids of the prompt parts that other requests may share.
	parts []uint64
	// begun is set if the upstream had begun to respond.
	begun bool
}

// breaks are the requests that broke off at one upstream, until it is known whether the
// upstream has crashed.
type breaks struct {
	requests []unanswered
	// checked is closed once crashed is known.
	checked chan struct{}
	crashed bool
}

// crashWatch distinguishes crashes of upstreams from responses that break off for other reasons:
// an upstream that has crashed refuses connections.
type crashWatch struct {
	pool persimconn.Pool
	// onCrash is called with the requests that a crash left unanswered.
	onCrash func(upstream persimcatalog.Upstream, requests []unanswered)

	mu      sync.Mutex
	pending map[persimcatalog.Incarnation]*breaks
}

func newCrashWatch(pool persimconn.Pool, onCrash func(persimcatalog.Upstream, []unanswered)) *crashWatch {
	return &crashWatch{pool: pool, onCrash: onCrash, pending: map[persimcatalog.Incarnation]*breaks{}}
}

// recordBreak records that a request broke off at an upstream. It returns the check whether
// the upstream has crashed.
func (w *crashWatch) recordBreak(upstream persimcatalog.Upstream, request unanswered) *breaks {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, ok := w.pending[upstream.Incarnation]
	if !ok {
		b = &breaks{checked: make(chan struct{})}
		w.pending[upstream.Incarnation] = b
		time.AfterFunc(crashCheckDelay, func() { w.check(upstream, b) })
	}
	if len(b.requests) < maxUnanswered {
		b.requests = append(b.requests, request)
	}
	return b
}

// check reports the requests that broke off if the upstream has crashed.
func (w *crashWatch) check(upstream persimcatalog.Upstream, b *breaks) {
	crashed := w.refusesConnections(upstream.Address)
	w.mu.Lock()
	delete(w.pending, upstream.Incarnation)
	w.mu.Unlock()
	klog.InfoS("upstream checked after a break", "upstream", upstream.ID, "born", upstream.Born, "crashed", crashed, "requests", len(b.requests))
	if crashed {
		w.onCrash(upstream, b.requests)
	}
	b.crashed = crashed
	close(b.checked)
}

// wait waits for the check and reports whether the upstream has crashed.
func (b *breaks) wait(ctx context.Context) bool {
	select {
	case <-b.checked:
		return b.crashed
	case <-ctx.Done():
		return false
	}
}

func (w *crashWatch) refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := w.pool.Get(ctx, address)
	if err != nil {
		klog.V(1).InfoS("upstream not reached after a break", "address", address, "error", persimlog.ErrorText(err))
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	conn.Release(0)
	return false
}

// recordCrash records the crash of an upstream as evidence against the prompt parts of the
// requests that it left unanswered.
func (f *front) recordCrash(upstream persimcatalog.Upstream, requests []unanswered) {
	if f.metrics != nil {
		f.metrics.Count("upstream_crashes")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, request := range requests {
		f.dispatcher.quarantine.RecordCrash(now, upstream.Hash(), request.parts, request.begun)
	}
}

// sharedPartIDs returns the ids of the prompt parts that other requests may share.
func (c *call) sharedPartIDs() []uint64 {
	shared := c.placement.SharedParts()
	ids := make([]uint64, len(shared))
	for i, part := range shared {
		ids[i] = part.ID
	}
	return ids
}

// checkCrash has it checked whether the upstream has crashed, unless the response has gone
// on for some events.
func (a *attempt) checkCrash(begun bool, events int) {
	parts := a.sharedPartIDs()
	if len(parts) == 0 || events >= eventsWhenSound {
		return
	}
	begun = begun && events == 0
	check := a.front.crashWatch.recordBreak(a.upstream, unanswered{parts: parts, begun: begun})
	if begun {
		a.crashCheck = check
	}
}

// crashedUpstream reports whether an upstream crashed as it began to respond to the request,
// which is then the likely cause and must not be sent to another upstream. It waits for the
// check after a break.
func (c *call) crashedUpstream(ctx context.Context) bool {
	return c.crashCheck != nil && c.crashCheck.wait(ctx)
}

// recordSound records that the response to the request goes on, so that none of its prompt
// parts crashes upstreams.
func (a *attempt) recordSound() {
	parts := a.sharedPartIDs()
	if len(parts) == 0 {
		return
	}
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.quarantine.RecordSuccess(time.Now(), parts)
}

// checkQuarantine returns a refusal if the request contains a prompt part that crashes
// upstreams. The caller must hold the lock of the front.
func (c *call) checkQuarantine(now time.Time) *refusal {
	part, wait, blocked := c.front.dispatcher.quarantine.Check(now, c.sharedPartIDs())
	if !blocked {
		return nil
	}
	klog.InfoS("request has a quarantined prompt part", "request", c.id, "part", strconv.FormatUint(part, 16), "wait", wait)
	return &refusal{status: http.StatusServiceUnavailable, cause: "prompt part crashes upstreams", retryDelay: wait, longDelay: true}
}

// logQuarantine logs the prompt parts that were quarantined or released since the last call.
// The caller must hold the lock of the front.
func (d *dispatcher) logQuarantine(quarantined map[uint64]bool) {
	for part := range quarantined {
		if !d.quarantined[part] {
			klog.InfoS("prompt part quarantined", "part", strconv.FormatUint(part, 16))
		}
	}
	for part := range d.quarantined {
		if !quarantined[part] {
			klog.InfoS("prompt part released", "part", strconv.FormatUint(part, 16))
		}
	}
	d.quarantined = quarantined
}
