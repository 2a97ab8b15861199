package persimledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimplatform"
	"persimmonport.example/persimwire"
)

// Defaults of a ledger.
const (
	// DefaultSlices is the number of slices per span.
	DefaultSlices       = 16
	DefaultSliceSpan    = 10 * time.Minute
	DefaultRetention    = 24 * time.Hour
	DefaultMaxClockSkew = 5 * time.Minute
	// DefaultBatchDelay is how long a batch of outcomes waits for more operations.
	DefaultBatchDelay = 200 * time.Millisecond

	// queueLength is the maximum number of operations that wait for one slice.
	queueLength       = 1024
	writerIdleTimeout = 30 * time.Second
	// outcomeTimeout is how long the ledger tries to record an outcome.
	outcomeTimeout = 10 * time.Minute
)

// Store reads objects and writes them conditionally on their version.
type Store interface {
	Get(ctx context.Context, name string) (persimplatform.Object, error)
	Put(ctx context.Context, object persimplatform.Object) (persimplatform.Object, error)
}

// Forwarder sends claims to the preferred writer of their slice.
type Forwarder interface {
	// Forward returns the claims in force, in the order of the given claims. It
	// returns false when this host is the preferred writer or the other host failed.
	Forward(ctx context.Context, slice string, claims []*persimwire.Claim) ([]*persimwire.Claim, bool)
}

// Ledger grants claims and records their outcomes.
type Ledger interface {
	// Claim returns the claim in force for the key. The claimant may send its call if
	// and only if the claim in force is granted to it. The errors are ErrNotGranted,
	// ErrKeyExpired, ErrKeyInFuture and ErrQueueFull; after any of them the claimant
	// must not send.
	Claim(ctx context.Context, claim Claim) (Claim, error)
	// Lookup reads the claim in force for the key and reports whether there is one.
	// It returns ErrKeyExpired, or ErrNotGranted when the platform did not answer.
	Lookup(ctx context.Context, claim Claim) (Claim, bool, error)
	// RecordOutcome records the outcome of a granted claim in the background.
	RecordOutcome(claim Claim)
	// CommitForwarded commits claims of one slice that another host has forwarded.
	CommitForwarded(ctx context.Context, slice string, claims []*persimwire.Claim) ([]*persimwire.Claim, error)
	// Prune closes the slices of the span that has just left the retention window.
	// It closes one span a call, so it must be called at least once in each span.
	Prune(ctx context.Context, now time.Time) error
	// Counts returns the numbers of platform calls made so far.
	Counts() Counts
}

// Counts holds the numbers of platform calls of a ledger.
type Counts struct {
	Reads  int64
	Writes int64
	// CacheHits is the number of duplicates answered without a platform call.
	CacheHits int64
}

type config struct {
	slicesPerSpan    int
	sliceSpan        time.Duration
	retention        time.Duration
	maxClockSkew     time.Duration
	batchDelay       time.Duration
	cacheAnswers     bool
	minWriteInterval time.Duration
	forwarder        Forwarder
}

// Option configures a ledger.
type Option func(*config)

// WithSlices sets the number of slices per span; all hosts must use the same.
func WithSlices(slices int) Option { return func(c *config) { c.slicesPerSpan = slices } }

// WithSliceSpan sets the time span covered by one slice; all hosts must use the same.
func WithSliceSpan(span time.Duration) Option { return func(c *config) { c.sliceSpan = span } }

// WithRetention sets how long keys are retained.
func WithRetention(retention time.Duration) Option {
	return func(c *config) { c.retention = retention }
}

// WithMinWriteInterval sets the minimum time between two writes of one slice. A longer
// interval lets more claims share a write.
func WithMinWriteInterval(interval time.Duration) Option {
	return func(c *config) { c.minWriteInterval = interval }
}

// WithCachedAnswers sets whether a duplicate is answered from a cached claim, without
// a platform call. Claims are never withdrawn, so a cached answer is correct.
func WithCachedAnswers(enabled bool) Option { return func(c *config) { c.cacheAnswers = enabled } }

// WithForwarder sets the forwarder that sends claims to the preferred writer of their
// slice.
func WithForwarder(f Forwarder) Option { return func(c *config) { c.forwarder = f } }

type ledger struct {
	config
	store Store
	ctx   context.Context

	mu      sync.Mutex
	writers map[string]*writer
	counts  counters
}

// New returns a ledger over a store, and a function that stops its writers.
func New(store Store, opts ...Option) (Ledger, func()) {
	c := config{
		slicesPerSpan: DefaultSlices,
		sliceSpan:     DefaultSliceSpan,
		retention:     DefaultRetention,
		maxClockSkew:  DefaultMaxClockSkew,
		batchDelay:    DefaultBatchDelay,
		cacheAnswers:  true,
	}
	for _, opt := range opts {
		opt(&c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &ledger{config: c, store: store, ctx: ctx, writers: map[string]*writer{}}
	return l, cancel
}

func (l *ledger) Counts() Counts {
	return l.counts.snapshot()
}

func (l *ledger) Claim(ctx context.Context, claim Claim) (Claim, error) {
	now := time.Now()
	if claim.Issued.Before(now.Add(-l.retention)) {
		return Claim{}, trace.Wrap(ErrKeyExpired)
	}
	if claim.Issued.After(now.Add(l.maxClockSkew)) {
		return Claim{}, trace.Wrap(ErrKeyInFuture)
	}
	op := newOperation(ctx, ToWire(claim))
	if err := l.enqueue(claim.sliceName(l.slicesPerSpan, l.sliceSpan), op); err != nil {
		return Claim{}, trace.Wrap(err)
	}
	result, err := op.wait(ctx)
	if err != nil {
		l.RecordOutcome(claim.WithState(StateNotRun))
		return Claim{}, trace.Wrap(err)
	}
	return l.claimInForce(claim, result)
}

func (l *ledger) Lookup(ctx context.Context, claim Claim) (Claim, bool, error) {
	if claim.Issued.Before(time.Now().Add(-l.retention)) {
		return Claim{}, false, trace.Wrap(ErrKeyExpired)
	}
	_, slice, err := l.read(ctx, claim.sliceName(l.slicesPerSpan, l.sliceSpan))
	if err != nil {
		return Claim{}, false, trace.Wrap(ErrNotGranted)
	}
	if slice.GetClosed() {
		return Claim{}, false, trace.Wrap(ErrKeyExpired)
	}
	existing := findClaim(slice, claim.Key[:])
	if existing == nil {
		return Claim{}, false, nil
	}
	inForce := FromWire(existing)
	inForce.Issued = claim.Issued
	return inForce, true, nil
}

// read returns the stored slice, or an empty one if it is not yet stored.
func (l *ledger) read(ctx context.Context, name string) (persimplatform.Object, *persimwire.Slice, error) {
	ctx, cancel := context.WithTimeout(ctx, persimplatform.DefaultCallTimeout)
	defer cancel()
	l.counts.reads.Add(1)
	object, err := l.store.Get(ctx, name)
	if errors.Is(err, persimplatform.ErrNotFound) {
		return persimplatform.Object{Name: name}, &persimwire.Slice{}, nil
	}
	if err != nil {
		return object, nil, trace.Wrap(err)
	}
	slice := &persimwire.Slice{}
	if err := proto.Unmarshal(object.Value, slice); err != nil {
		return object, nil, trace.BadParameter("slice %s: %v", name, err)
	}
	return object, slice, nil
}

func (l *ledger) claimInForce(claim Claim, result result) (Claim, error) {
	if result.closed {
		return Claim{}, trace.Wrap(ErrKeyExpired)
	}
	inForce := FromWire(result.claim)
	inForce.Issued = claim.Issued
	return inForce, nil
}

func (l *ledger) RecordOutcome(claim Claim) {
	ctx, cancel := context.WithTimeout(l.ctx, outcomeTimeout)
	op := newOperation(ctx, ToWire(claim))
	op.isOutcome = true
	op.cancel = cancel
	if err := l.enqueue(claim.sliceName(l.slicesPerSpan, l.sliceSpan), op); err != nil {
		cancel()
	}
}

func (l *ledger) CommitForwarded(ctx context.Context, slice string, claims []*persimwire.Claim) ([]*persimwire.Claim, error) {
	ops := make([]*operation, len(claims))
	for i, claim := range claims {
		ops[i] = newOperation(ctx, claim)
		ops[i].forwarded = true
		if err := l.enqueue(slice, ops[i]); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	inForce := make([]*persimwire.Claim, len(claims))
	for i, op := range ops {
		result, err := op.wait(ctx)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if result.closed {
			return nil, trace.Wrap(ErrKeyExpired)
		}
		inForce[i] = result.claim
	}
	return inForce, nil
}

func (l *ledger) enqueue(slice string, op *operation) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, ok := l.writers[slice]
	if !ok {
		w = newWriter(l, slice)
		l.writers[slice] = w
		go w.run()
	}
	select {
	case w.queue <- op:
		return nil
	default:
		return ErrQueueFull
	}
}

// removeIdle removes an idle writer. It returns false when an operation has been
// queued in the meantime.
func (l *ledger) removeIdle(w *writer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(w.queue) > 0 {
		return false
	}
	delete(l.writers, w.slice)
	return true
}

func (l *ledger) Prune(ctx context.Context, now time.Time) error {
	start := now.Add(-l.retention - l.maxClockSkew - 2*l.sliceSpan).Truncate(l.sliceSpan)
	var errs []error
	for shard := range l.slicesPerSpan {
		if err := l.closeSlice(ctx, formatSliceName(start, shard)); err != nil {
			errs = append(errs, err)
		}
	}
	return trace.NewAggregate(errs...)
}
