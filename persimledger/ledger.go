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
	DefaultSlices    = 16
	DefaultSpan      = 10 * time.Minute
	DefaultRetention = 24 * time.Hour
	DefaultSkew      = 5 * time.Minute
	DefaultDelay     = 200 * time.Millisecond

	ringLength    = 1024
	writerIdle    = 30 * time.Second
	settleTimeout = 10 * time.Minute
)

// A Store reads and conditionally writes objects.
type Store interface {
	Get(ctx context.Context, name string) (persimplatform.Object, error)
	Put(ctx context.Context, object persimplatform.Object) (persimplatform.Object, error)
}

// A Forwarder sends claims to the host that preferably writes a slice.
type Forwarder interface {
	// Forward returns the claims in force in the order of the given ones. It
	// reports false when this host is the preferred writer or the other failed.
	Forward(ctx context.Context, slice string, claims []*persimwire.Claim) ([]*persimwire.Claim, bool)
}

// A Ledger grants claims.
type Ledger interface {
	// Claim returns the claim in force for the key. The claimant may send if and
	// only if the claim in force is granted to it. It returns ErrUnclaimed,
	// ErrExpired, ErrFuture or ErrFull; after each of them the claimant must not send.
	Claim(ctx context.Context, claim Claim) (Claim, error)
	// Lookup reads the claim in force for the key and reports whether there is one.
	// It returns ErrExpired, or ErrUnclaimed when the platform did not answer.
	Lookup(ctx context.Context, claim Claim) (Claim, bool, error)
	// Settle records the outcome of a granted claim, without waiting for the platform.
	Settle(claim Claim)
	// Commit commits claims of one slice for another host.
	Commit(ctx context.Context, slice string, claims []*persimwire.Claim) ([]*persimwire.Claim, error)
	// Prune closes the slices that have left the retention window.
	Prune(ctx context.Context, now time.Time) error
	// Counts returns the platform calls made so far.
	Counts() Counts
}

// Counts are the platform calls of a ledger.
type Counts struct {
	Reads  int64
	Writes int64
	// Early is the number of duplicates answered without a platform call.
	Early int64
}

type config struct {
	slices    int
	span      time.Duration
	retention time.Duration
	skew      time.Duration
	delay     time.Duration
	early     bool
	interval  time.Duration
	forwarder Forwarder
}

// An Option changes the configuration of a ledger.
type Option func(*config)

// WithSlices sets the number of slices in each span; all hosts must use the same.
func WithSlices(slices int) Option { return func(c *config) { c.slices = slices } }

// WithSpan sets the time covered by one slice; all hosts must use the same.
func WithSpan(span time.Duration) Option { return func(c *config) { c.span = span } }

// WithRetention sets how long a key is remembered.
func WithRetention(retention time.Duration) Option {
	return func(c *config) { c.retention = retention }
}

// WithInterval sets the least time between two writes of one slice, so that more
// claims share a write.
func WithInterval(interval time.Duration) Option {
	return func(c *config) { c.interval = interval }
}

// WithEarlyAnswers sets whether a duplicate is answered from a claim seen before,
// without a platform call. Claims are never withdrawn, so such an answer is right.
func WithEarlyAnswers(early bool) Option { return func(c *config) { c.early = early } }

// WithForwarder sends claims to the preferred writer of their slice.
func WithForwarder(f Forwarder) Option { return func(c *config) { c.forwarder = f } }

type ledger struct {
	config
	store Store
	ctx   context.Context

	mu      sync.Mutex
	writers map[string]*writer
	counts  counters
}

// New returns a ledger over a store and its clean-up function.
func New(store Store, opts ...Option) (Ledger, func()) {
	c := config{
		slices:    DefaultSlices,
		span:      DefaultSpan,
		retention: DefaultRetention,
		skew:      DefaultSkew,
		delay:     DefaultDelay,
		early:     true,
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
		return Claim{}, trace.Wrap(ErrExpired)
	}
	if claim.Issued.After(now.Add(l.skew)) {
		return Claim{}, trace.Wrap(ErrFuture)
	}
	op := newOperation(ctx, ToWire(claim))
	if err := l.enqueue(claim.slice(l.slices, l.span), op); err != nil {
		return Claim{}, trace.Wrap(err)
	}
	result, err := op.wait(ctx)
	if err != nil {
		l.Settle(claim.WithState(StateNotRun))
		return Claim{}, trace.Wrap(err)
	}
	return l.verdict(claim, result)
}

func (l *ledger) Lookup(ctx context.Context, claim Claim) (Claim, bool, error) {
	if claim.Issued.Before(time.Now().Add(-l.retention)) {
		return Claim{}, false, trace.Wrap(ErrExpired)
	}
	_, slice, err := l.read(ctx, claim.slice(l.slices, l.span))
	if err != nil {
		return Claim{}, false, trace.Wrap(ErrUnclaimed)
	}
	if slice.GetClosed() {
		return Claim{}, false, trace.Wrap(ErrExpired)
	}
	known := find(slice, claim.Key[:])
	if known == nil {
		return Claim{}, false, nil
	}
	inForce := FromWire(known)
	inForce.Issued = claim.Issued
	return inForce, true, nil
}

// read returns the stored slice; a slice that is not yet stored is empty.
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

func (l *ledger) verdict(claim Claim, result result) (Claim, error) {
	if result.closed {
		return Claim{}, trace.Wrap(ErrExpired)
	}
	inForce := FromWire(result.claim)
	inForce.Issued = claim.Issued
	return inForce, nil
}

func (l *ledger) Settle(claim Claim) {
	ctx, cancel := context.WithTimeout(l.ctx, settleTimeout)
	op := newOperation(ctx, ToWire(claim))
	op.settle = true
	op.cancel = cancel
	if err := l.enqueue(claim.slice(l.slices, l.span), op); err != nil {
		cancel()
	}
}

func (l *ledger) Commit(ctx context.Context, slice string, claims []*persimwire.Claim) ([]*persimwire.Claim, error) {
	ops := make([]*operation, len(claims))
	for i, claim := range claims {
		ops[i] = newOperation(ctx, claim)
		ops[i].local = true
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
			return nil, trace.Wrap(ErrExpired)
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
	case w.ring <- op:
		return nil
	default:
		return ErrFull
	}
}

// retire removes an idle writer; it reports false when an operation has come meanwhile.
func (l *ledger) retire(w *writer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(w.ring) > 0 {
		return false
	}
	delete(l.writers, w.slice)
	return true
}

func (l *ledger) Prune(ctx context.Context, now time.Time) error {
	start := now.Add(-l.retention - l.skew - 2*l.span).Truncate(l.span)
	var errs []error
	for part := range l.slices {
		if err := l.closeSlice(ctx, sliceName(start, part)); err != nil {
			errs = append(errs, err)
		}
	}
	return trace.NewAggregate(errs...)
}
