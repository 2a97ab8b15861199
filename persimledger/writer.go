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
	retryWait = 50 * time.Millisecond
	maxBatch  = 512
)

type counters struct {
	reads  atomic.Int64
	writes atomic.Int64
	early  atomic.Int64
}

func (c *counters) snapshot() Counts {
	return Counts{Reads: c.reads.Load(), Writes: c.writes.Load(), Early: c.early.Load()}
}

type result struct {
	claim  *persimwire.Claim
	closed bool
}

type operation struct {
	claim  *persimwire.Claim
	settle bool
	// local marks an operation that another host has forwarded.
	local  bool
	ctx    context.Context
	cancel context.CancelFunc
	done   chan result
}

func newOperation(ctx context.Context, claim *persimwire.Claim) *operation {
	return &operation{claim: claim, ctx: ctx, cancel: func() {}, done: make(chan result, 1)}
}

func (o *operation) wait(ctx context.Context) (result, error) {
	select {
	case r := <-o.done:
		return r, nil
	case <-ctx.Done():
		return result{}, ErrUnclaimed
	}
}

func (o *operation) finish(r result) {
	o.done <- r
	o.cancel()
}

// A writer commits the operations of one slice, one batch at a time.
type writer struct {
	ledger *ledger
	slice  string
	ring   chan *operation

	cached *persimwire.Slice
	object persimplatform.Object
	// written is the time of the last write.
	written time.Time
}

func newWriter(l *ledger, slice string) *writer {
	return &writer{ledger: l, slice: slice, ring: make(chan *operation, ringLength)}
}

func (w *writer) run() {
	idle := time.NewTimer(writerIdle)
	defer idle.Stop()
	for {
		idle.Reset(writerIdle)
		select {
		case <-w.ledger.ctx.Done():
			return
		case op := <-w.ring:
			_ = sleep(w.ledger.ctx, w.ledger.interval-time.Since(w.written))
			w.commit(w.collect(op))
		case <-idle.C:
			if w.ledger.retire(w) {
				return
			}
		}
	}
}

// collect gathers waiting operations. Outcomes wait for others to join them; claims do not.
func (w *writer) collect(first *operation) []*operation {
	batch := []*operation{first}
	urgent := !first.settle
	delay := time.NewTimer(w.ledger.delay)
	defer delay.Stop()
	for len(batch) < maxBatch {
		if urgent {
			select {
			case op := <-w.ring:
				batch = append(batch, op)
				continue
			default:
				return batch
			}
		}
		select {
		case op := <-w.ring:
			batch = append(batch, op)
			urgent = !op.settle
		case <-delay.C:
			return batch
		case <-w.ledger.ctx.Done():
			return batch
		}
	}
	return batch
}

func (w *writer) commit(batch []*operation) {
	if !w.ledger.early {
		w.cached = nil
	}
	batch = w.answerEarly(batch)
	batch = w.forward(batch)
	for {
		batch = dropExpired(batch)
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
		if sleep(w.ledger.ctx, retryWait) != nil {
			return
		}
	}
}

// answerEarly finishes claims whose key is known to be claimed by another claimant.
func (w *writer) answerEarly(batch []*operation) []*operation {
	if w.cached == nil {
		return batch
	}
	rest := batch[:0]
	for _, op := range batch {
		known := find(w.cached, op.claim.GetKey())
		if op.settle || known == nil || known.GetToken() == op.claim.GetToken() {
			rest = append(rest, op)
			continue
		}
		w.ledger.counts.early.Add(1)
		op.finish(result{claim: known})
	}
	return rest
}

func (w *writer) forward(batch []*operation) []*operation {
	if w.ledger.forwarder == nil {
		return batch
	}
	var rest, remote []*operation
	for _, op := range batch {
		if op.settle || op.local {
			rest = append(rest, op)
			continue
		}
		remote = append(remote, op)
	}
	if len(remote) == 0 {
		return rest
	}
	claims := make([]*persimwire.Claim, len(remote))
	for i, op := range remote {
		claims[i] = op.claim
	}
	inForce, ok := w.ledger.forwarder.Forward(w.ledger.ctx, w.slice, claims)
	if !ok || len(inForce) != len(remote) {
		return append(rest, remote...)
	}
	for i, op := range remote {
		op.finish(result{claim: inForce[i]})
	}
	return rest
}

func dropExpired(batch []*operation) []*operation {
	rest := batch[:0]
	for _, op := range batch {
		if op.ctx.Err() == nil {
			rest = append(rest, op)
		}
	}
	return rest
}

func (w *writer) commitOnce(batch []*operation) error {
	if w.cached == nil {
		if err := w.load(); err != nil {
			return trace.Wrap(err)
		}
	}
	next, results := apply(w.cached, batch)
	if next != nil {
		if err := w.store(next); err != nil {
			w.cached = nil
			return trace.Wrap(err)
		}
	}
	for i, op := range batch {
		op.finish(results[i])
	}
	return nil
}

func (w *writer) load() error {
	object, slice, err := w.ledger.read(w.ledger.ctx, w.slice)
	if err != nil {
		return trace.Wrap(err)
	}
	w.object = object
	w.cached = slice
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
	w.written = time.Now()
	stored, err := w.ledger.store.Put(ctx, w.object.WithValue(value))
	if err != nil {
		return trace.Wrap(err)
	}
	w.object = stored
	w.cached = next
	return nil
}

// apply returns the slice after the operations, or nil when nothing changes, and
// the claim in force for each operation.
func apply(slice *persimwire.Slice, batch []*operation) (*persimwire.Slice, []result) {
	results := make([]result, len(batch))
	next := proto.CloneOf(slice)
	changed := false
	for i, op := range batch {
		known := find(next, op.claim.GetKey())
		switch {
		case next.GetClosed():
			results[i].closed = true
			continue
		case known == nil && !op.settle:
			known = proto.CloneOf(op.claim)
			next.Claims = append(next.Claims, known)
			changed = true
		case op.settle && settles(known, op.claim):
			known.State = op.claim.GetState()
			changed = true
		}
		results[i].claim = known
	}
	if !changed {
		return nil, results
	}
	return next, results
}

func settles(known, outcome *persimwire.Claim) bool {
	return known.GetToken() == outcome.GetToken() && known.GetState() == persimwire.ClaimState_CLAIM_STATE_CLAIMED
}

func find(slice *persimwire.Slice, key []byte) *persimwire.Claim {
	for _, claim := range slice.GetClaims() {
		if bytes.Equal(claim.GetKey(), key) {
			return claim
		}
	}
	return nil
}

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
