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

// ObjectName is the name of the catalogue's object at the platform.
const ObjectName = "catalogue"

// ErrStale reports that another operator's change came first.
var ErrStale = errors.New("catalogue: changed by another operator")

const (
	commitTries   = 14
	firstWait     = 25 * time.Millisecond
	longestWait   = 500 * time.Millisecond
	waitIncrement = 2
)

// A Store reads and conditionally writes objects.
type Store interface {
	Get(ctx context.Context, name string) (persimplatform.Object, error)
	GetNewer(ctx context.Context, name string, version uint64) (persimplatform.Object, bool, error)
	Put(ctx context.Context, object persimplatform.Object) (persimplatform.Object, error)
}

// An Edit returns the next generation of a catalogue.
type Edit func(Catalogue) (Catalogue, error)

// A Keeper holds the catalogue in force on one host.
type Keeper interface {
	// Current returns the catalogue in force.
	Current() Catalogue
	// Apply puts a catalogue in force if its generation is greater, and reports whether it did.
	Apply(Catalogue) bool
	// Refresh reads the catalogue from the platform if it has changed, and applies it.
	Refresh(ctx context.Context) error
	// Commit stores an edit of the generation base under a change identifier.
	// It returns ErrStale with the newer catalogue when another change came first.
	Commit(ctx context.Context, base uint64, id string, edit Edit) (Catalogue, error)
	// Changed returns a channel that is closed when a greater generation is in force.
	Changed() <-chan struct{}
}

type keeper struct {
	store Store
	// seen is the version of the object that Refresh last read.
	seen atomic.Uint64

	mu      sync.Mutex
	current Catalogue
	changed chan struct{}
}

// NewKeeper returns a keeper of the catalogue in a store.
func NewKeeper(store Store) Keeper {
	return &keeper{store: store, changed: make(chan struct{})}
}

func (k *keeper) Current() Catalogue {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current
}

func (k *keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

func (k *keeper) Apply(c Catalogue) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.generation <= k.current.generation {
		return false
	}
	k.current = c
	close(k.changed)
	k.changed = make(chan struct{})
	return true
}

func (k *keeper) Refresh(ctx context.Context) error {
	object, changed, err := k.store.GetNewer(ctx, ObjectName, k.seen.Load())
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
	k.Apply(c)
	k.seen.Store(object.Version)
	return nil
}

func (k *keeper) load(ctx context.Context) (persimplatform.Object, Catalogue, error) {
	object, err := k.store.Get(ctx, ObjectName)
	if errors.Is(err, persimplatform.ErrNotFound) {
		return persimplatform.Object{Name: ObjectName}, Catalogue{}, nil
	}
	if err != nil {
		return object, Catalogue{}, trace.Wrap(err)
	}
	c, err := Unmarshal(object.Value)
	return object, c, trace.Wrap(err)
}

func (k *keeper) Commit(ctx context.Context, base uint64, id string, edit Edit) (Catalogue, error) {
	var last error
	pause := firstWait
	for range commitTries {
		c, err := k.commitOnce(ctx, base, id, edit)
		if err == nil || !IsTransient(err) {
			return c, trace.Wrap(err)
		}
		last = err
		if err := sleep(ctx, pause); err != nil {
			return Catalogue{}, trace.Wrap(last)
		}
		pause = min(waitIncrement*pause, longestWait)
	}
	return Catalogue{}, trace.Wrap(last)
}

// commitOnce reads before it writes, so that it recognises a write whose answer was lost.
func (k *keeper) commitOnce(ctx context.Context, base uint64, id string, edit Edit) (Catalogue, error) {
	object, stored, err := k.load(ctx)
	if err != nil {
		return Catalogue{}, trace.Wrap(err)
	}
	k.Apply(stored)
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
	if _, err := k.store.Put(ctx, object.WithValue(value)); err != nil {
		return stored, trace.Wrap(err)
	}
	k.Apply(next)
	return next, nil
}

// IsTransient reports an error after which the same change may be tried again.
func IsTransient(err error) bool {
	return errors.Is(err, persimplatform.ErrUncertain) ||
		errors.Is(err, persimplatform.ErrConflict) ||
		errors.Is(err, persimplatform.ErrThrottled) ||
		errors.Is(err, persimplatform.ErrUnavailable)
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
