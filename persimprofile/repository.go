package persimprofile

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"persimmonport.example/persimplatform"
)

// ObjectName is the name of the platform object that stores the catalogue.
const ObjectName = "catalogue"

// ErrStale reports that another operator's change was stored after the generation on
// which the edit is based.
var ErrStale = errors.New("catalogue: changed by another operator")

const (
	maxCommitAttempts = 14
	initialBackoff    = 25 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	backoffFactor     = 2
)

// Store reads and conditionally writes objects.
type Store interface {
	Get(ctx context.Context, name string) (persimplatform.Object, error)
	GetNewer(ctx context.Context, name string, version uint64) (persimplatform.Object, bool, error)
	Put(ctx context.Context, object persimplatform.Object) (persimplatform.Object, error)
}

// Edit returns the next generation of a catalogue.
type Edit func(Catalogue) (Catalogue, error)

// Repository caches the current catalogue on one host and commits changes to its store.
type Repository interface {
	// Current returns the current catalogue.
	Current() Catalogue
	// Apply makes a catalogue the current one if its generation is greater, and reports
	// whether it did.
	Apply(Catalogue) bool
	// Refresh reads the catalogue from the store if it has changed, and applies it.
	Refresh(ctx context.Context) error
	// Commit stores an edit of the generation base under a change identifier and
	// retries transient errors; a change that is already stored is not repeated. If
	// the stored generation is newer than base, it returns ErrStale and the newer
	// catalogue.
	Commit(ctx context.Context, base uint64, id string, edit Edit) (Catalogue, error)
	// Changed returns a channel that is closed when a newer generation is applied.
	Changed() <-chan struct{}
}

type repository struct {
	store Store
	// lastReadVersion is the version of the object that Refresh last read.
	lastReadVersion atomic.Uint64

	mu      sync.Mutex
	current Catalogue
	changed chan struct{}
}

// NewRepository returns a Repository for the catalogue in a store.
func NewRepository(store Store) Repository {
	return &repository{store: store, changed: make(chan struct{})}
}

func (r *repository) Current() Catalogue {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

func (r *repository) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *repository) Apply(c Catalogue) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.generation <= r.current.generation {
		return false
	}
	r.current = c
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

func (r *repository) Refresh(ctx context.Context) error {
	object, changed, err := r.store.GetNewer(ctx, ObjectName, r.lastReadVersion.Load())
	if errors.Is(err, persimplatform.ErrNotFound) {
		return nil
	}
	if err != nil || !changed {
		return trace.Wrap(err)
	}
	c, err := Unmarshal(object.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	r.Apply(c)
	r.lastReadVersion.Store(object.Version)
	return nil
}

// read returns the stored object and its catalogue, or an object without a version and
// an empty catalogue if none is stored.
func (r *repository) read(ctx context.Context) (persimplatform.Object, Catalogue, error) {
	object, err := r.store.Get(ctx, ObjectName)
	if errors.Is(err, persimplatform.ErrNotFound) {
		return persimplatform.Object{Name: ObjectName}, Catalogue{}, nil
	}
	if err != nil {
		return object, Catalogue{}, trace.Wrap(err)
	}
	c, err := Unmarshal(object.Value)
	return object, c, trace.Wrap(err)
}

func (r *repository) Commit(ctx context.Context, base uint64, id string, edit Edit) (Catalogue, error) {
	var lastErr error
	backoff := initialBackoff
	for range maxCommitAttempts {
		c, err := r.tryCommit(ctx, base, id, edit)
		if err == nil || !IsTransient(err) {
			return c, trace.Wrap(err)
		}
		lastErr = err
		if err := sleep(ctx, backoff); err != nil {
			return Catalogue{}, trace.Wrap(lastErr)
		}
		backoff = min(backoffFactor*backoff, maxBackoff)
	}
	return Catalogue{}, trace.Wrap(lastErr)
}

// tryCommit makes one attempt. It reads before it writes, so that it recognises an
// earlier write whose response was lost.
func (r *repository) tryCommit(ctx context.Context, base uint64, id string, edit Edit) (Catalogue, error) {
	object, stored, err := r.read(ctx)
	if err != nil {
		return Catalogue{}, trace.Wrap(err)
	}
	r.Apply(stored)
	if stored.HasChange(id) {
		return stored, nil
	}
	if stored.generation < base {
		return stored, trace.Wrap(persimplatform.ErrConflict)
	}
	if stored.generation > base {
		return stored, trace.Wrap(ErrStale)
	}
	next, err := edit(stored)
	if err != nil {
		return stored, trace.Wrap(err)
	}
	value, err := Marshal(next)
	if err != nil {
		return stored, trace.Wrap(err)
	}
	if _, err := r.store.Put(ctx, object.WithValue(value)); err != nil {
		return stored, trace.Wrap(err)
	}
	r.Apply(next)
	return next, nil
}

// IsTransient reports whether the same change may be retried after an error.
func IsTransient(err error) bool {
	return errors.Is(err, persimplatform.ErrUncertain) ||
		errors.Is(err, persimplatform.ErrConflict) ||
		errors.Is(err, persimplatform.ErrThrottled) ||
		errors.Is(err, persimplatform.ErrUnavailable)
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
