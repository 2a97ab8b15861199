package persimledger

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimplatform"
	"persimmonport.example/persimwire"
)

const (
	retryDelay         = 50 * time.Millisecond
	maxBatchOperations = 512
)

type counters struct {
	reads     atomic.Int64
	writes    atomic.Int64
	cacheHits atomic.Int64
}

func (c *counters) snapshot() Counts {
	return Counts{Reads: c.reads.Load(), Writes: c.writes.Load(), CacheHits: c.cacheHits.Load()}
}

// result is the claim in force after an operation. closed is true if the slice is
// closed, since its keys have expired.
type result struct {
	claim  *persimwire.Claim
	closed bool
}

// operation is a claim or an outcome that waits to be committed to a slice.
type operation struct {
	claim     *persimwire.Claim
	isOutcome bool
	// forwarded is true for an operation that another host has forwarded; it is not
	// forwarded again.
	forwarded bool
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan result
}

func newOperation(ctx context.Context, claim *persimwire.Claim) *operation {
	return &operation{claim: claim, ctx: ctx, cancel: func() {}, done: make(chan result, 1)}
}

func (o *operation) wait(ctx context.Context) (result, error) {
	select {
	case r := <-o.done:
		return r, nil
	case <-ctx.Done():
		return result{}, ErrNotGranted
	}
}

func (o *operation) complete(r result) {
	o.done <- r
	o.cancel()
}

// writer commits the operations of one slice, one batch at a time.
type writer struct {
	ledger *ledger
	slice  string
	queue  chan *operation

	cachedSlice *persimwire.Slice
	object      persimplatform.Object
	lastWrite   time.Time
}

func newWriter(l *ledger, slice string) *writer {
	return &writer{ledger: l, slice: slice, queue: make(chan *operation, queueLength)}
}

func (w *writer) run() {
	idleTimer := time.NewTimer(writerIdleTimeout)
	defer idleTimer.Stop()
	for {
		idleTimer.Reset(writerIdleTimeout)
		select {
		case <-w.ledger.ctx.Done():
			return
		case op := <-w.queue:
			_ = sleep(w.ledger.ctx, w.ledger.minWriteInterval-time.Since(w.lastWrite))
			w.commit(w.collect(op))
		case <-idleTimer.C:
			if w.ledger.removeIdle(w) {
				return
			}
		}
	}
}

// collect returns a batch of queued operations. A batch of outcomes waits up to the
// batch delay for more operations; a claim is committed at once.
func (w *writer) collect(first *operation) []*operation {
	batch := []*operation{first}
	urgent := !first.isOutcome
	delayTimer := time.NewTimer(w.ledger.batchDelay)
	defer delayTimer.Stop()
	for len(batch) < maxBatchOperations {
		if urgent {
			select {
			case op := <-w.queue:
				batch = append(batch, op)
				continue
			default:
				return batch
			}
		}
		select {
		case op := <-w.queue:
			batch = append(batch, op)
			urgent = !op.isOutcome
		case <-delayTimer.C:
			return batch
		case <-w.ledger.ctx.Done():
			return batch
		}
	}
	return batch
}

func (w *writer) commit(batch []*operation) {
	if !w.ledger.cacheAnswers {
		w.cachedSlice = nil
	}
	batch = w.answerFromCache(batch)
	batch = w.forward(batch)
	for {
		batch = dropCancelled(batch)
		if len(batch) == 0 {
			return
		}
		err := w.commitOnce(batch)
		if err == nil {
			return
		}
		if errors.Is(err, persimplatform.ErrConflict) {
			continue
		}
		if sleep(w.ledger.ctx, retryDelay) != nil {
			return
		}
	}
}

// answerFromCache completes the claims whose key another claimant holds according to
// the cached slice. It returns the other operations.
func (w *writer) answerFromCache(batch []*operation) []*operation {
	if w.cachedSlice == nil {
		return batch
	}
	remaining := batch[:0]
	for _, op := range batch {
		existing := findClaim(w.cachedSlice, op.claim.GetKey())
		if op.isOutcome || existing == nil || existing.GetToken() == op.claim.GetToken() {
			remaining = append(remaining, op)
			continue
		}
		w.ledger.counts.cacheHits.Add(1)
		op.complete(result{claim: existing})
	}
	return remaining
}

// forward sends the claims of a batch to the preferred writer of the slice. It returns
// the operations that this host must commit.
func (w *writer) forward(batch []*operation) []*operation {
	if w.ledger.forwarder == nil {
		return batch
	}
	var local, remote []*operation
	for _, op := range batch {
		if op.isOutcome || op.forwarded {
			local = append(local, op)
			continue
		}
		remote = append(remote, op)
	}
	if len(remote) == 0 {
		return local
	}
	claims := make([]*persimwire.Claim, len(remote))
	for i, op := range remote {
		claims[i] = op.claim
	}
	inForce, ok := w.ledger.forwarder.Forward(w.ledger.ctx, w.slice, claims)
	if !ok || len(inForce) != len(remote) {
		return append(local, remote...)
	}
	for i, op := range remote {
		op.complete(result{claim: inForce[i]})
	}
	return local
}

func dropCancelled(batch []*operation) []*operation {
	remaining := batch[:0]
	for _, op := range batch {
		if op.ctx.Err() == nil {
			remaining = append(remaining, op)
		}
	}
	return remaining
}

func (w *writer) commitOnce(batch []*operation) error {
	if w.cachedSlice == nil {
		if err := w.load(); err != nil {
			return trace.Wrap(err)
		}
	}
	next, results := applyOperations(w.cachedSlice, batch)
	if next != nil {
		if err := w.store(next); err != nil {
			w.cachedSlice = nil
			return trace.Wrap(err)
		}
	}
	for i, op := range batch {
		op.complete(results[i])
	}
	return nil
}

func (w *writer) load() error {
	object, slice, err := w.ledger.read(w.ledger.ctx, w.slice)
	if err != nil {
		return trace.Wrap(err)
	}
	w.object = object
	w.cachedSlice = slice
	return nil
}

func (w *writer) store(next *persimwire.Slice) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(w.ledger.ctx, persimplatform.DefaultCallTimeout)
	defer cancel()
	w.ledger.counts.writes.Add(1)
	w.lastWrite = time.Now()
	stored, err := w.ledger.store.Put(ctx, w.object.WithValue(value))
	if err != nil {
		return trace.Wrap(err)
	}
	w.object = stored
	w.cachedSlice = next
	return nil
}

// applyOperations returns the slice after the operations, or nil if they change
// nothing, and the claim in force for each operation.
func applyOperations(slice *persimwire.Slice, batch []*operation) (*persimwire.Slice, []result) {
	results := make([]result, len(batch))
	next := proto.CloneOf(slice)
	changed := false
	for i, op := range batch {
		existing := findClaim(next, op.claim.GetKey())
		switch {
		case next.GetClosed():
			results[i].closed = true
			continue
		case existing == nil && !op.isOutcome:
			existing = proto.CloneOf(op.claim)
			next.Claims = append(next.Claims, existing)
			changed = true
		case op.isOutcome && recordsOutcome(existing, op.claim):
			existing.State = op.claim.GetState()
			changed = true
		}
		results[i].claim = existing
	}
	if !changed {
		return nil, results
	}
	return next, results
}

func recordsOutcome(existing, outcome *persimwire.Claim) bool {
	return existing.GetToken() == outcome.GetToken() && existing.GetState() == persimwire.ClaimState_CLAIM_STATE_CLAIMED
}

func findClaim(slice *persimwire.Slice, key []byte) *persimwire.Claim {
	for _, claim := range slice.GetClaims() {
		if bytes.Equal(claim.GetKey(), key) {
			return claim
		}
	}
	return nil
}

// closeSlice replaces a stored slice by a closed one without claims, so that its keys
// stay expired.
func (l *ledger) closeSlice(ctx context.Context, name string) error {
	object, err := l.store.Get(ctx, name)
	if errors.Is(err, persimplatform.ErrNotFound) {
		object = persimplatform.Object{Name: name}
	} else if err != nil {
		return trace.Wrap(err)
	}
	value, err := proto.Marshal(&persimwire.Slice{Closed: true})
	if err != nil {
		return trace.Wrap(err)
	}
	if bytes.Equal(value, object.Value) {
		return nil
	}
	_, err = l.store.Put(ctx, object.WithValue(value))
	return trace.Wrap(err)
}

func sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
