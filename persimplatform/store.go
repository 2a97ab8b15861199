// Package persimplatform reaches the platform: its object API, the calls of
// duties, its list of hosts and its cloud API.
package persimplatform

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"persimmonport.example/platform"
)

// MaxValueBytes is the largest value that an object of a Store may hold; in the
// store's own form it takes a third more.
const MaxValueBytes = MaxObjectBytes/4*3 - 1024

// An Object is one versioned value at the platform.
type Object struct {
	Name string
	// Version is the version read, or zero for an object not yet created.
	Version uint64
	Value   []byte
}

// WithValue returns a copy of the object that holds value.
func (o Object) WithValue(value []byte) Object {
	o.Value = value
	return o
}

// WithVersion returns a copy of the object at version.
func (o Object) WithVersion(version uint64) Object {
	o.Version = version
	return o
}

// A Store reads and conditionally writes objects.
type Store interface {
	// Get returns the object, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, name string) (Object, error)
	// GetNewer returns the object if its version differs from the given one, and
	// reports whether it does. It returns ErrNotFound or ErrUnavailable.
	GetNewer(ctx context.Context, name string, version uint64) (Object, bool, error)
	// Put writes the object if it is still at its version; version zero creates it.
	// It returns the stored object, or ErrConflict, ErrUncertain, ErrThrottled,
	// ErrTooLarge or ErrUnavailable.
	Put(ctx context.Context, object Object) (Object, error)
	// Await returns the object once its version is above after, or ErrUnavailable
	// when none came within the context's deadline.
	Await(ctx context.Context, name string, after uint64) (Object, error)
}

// watchWait is how long the platform holds a watch without news.
const watchWait = 25 * time.Second

// store keeps values as objects of one kind.
type store struct {
	objects Objects
	kind    string
}

// NewStore returns a store of values that are objects of a kind.
func NewStore(objects Objects, kind string) Store { return &store{objects: objects, kind: kind} }

// EncodeValue returns the object of the platform that holds a value.
func EncodeValue(o Object) (platform.Object, error) {
	spec, err := json.Marshal(o.Value)
	return platform.Object{Name: o.Name, Revision: int64(o.Version), Spec: spec}, trace.Wrap(err)
}

// DecodeValue returns the value that an object of the platform holds.
func DecodeValue(o platform.Object) (Object, error) {
	var value []byte
	if err := json.Unmarshal(o.Spec, &value); err != nil {
		return Object{}, trace.Wrap(ErrUnavailable, "object %s holds no value: %v", o.Name, err)
	}
	return Object{Name: o.Name, Version: uint64(o.Revision), Value: value}, nil
}

func (s *store) Get(ctx context.Context, name string) (Object, error) {
	object, err := s.objects.Get(ctx, s.kind, name)
	if err != nil {
		return Object{}, err
	}
	return DecodeValue(object)
}

func (s *store) GetNewer(ctx context.Context, name string, version uint64) (Object, bool, error) {
	object, err := s.Get(ctx, name)
	if err != nil || object.Version == version {
		return Object{}, false, err
	}
	return object, true, nil
}

func (s *store) Put(ctx context.Context, object Object) (Object, error) {
	if len(object.Value) > MaxValueBytes {
		return Object{}, trace.Wrap(ErrTooLarge)
	}
	encoded, err := EncodeValue(object)
	if err != nil {
		return Object{}, err
	}
	stored, err := s.objects.Write(ctx, s.kind, encoded)
	if err != nil {
		return Object{}, err
	}
	return object.WithVersion(uint64(stored.Revision)), nil
}

func (s *store) Await(ctx context.Context, name string, after uint64) (Object, error) {
	revision := int64(after)
	for {
		if revision == 0 {
			object, err := s.Get(ctx, name)
			if err == nil && object.Version > after {
				return object, nil
			}
			if err != nil && !errors.Is(err, ErrNotFound) {
				return Object{}, err
			}
		}
		changes, err := s.objects.Watch(ctx, s.kind, revision, watchWait)
		if errors.Is(err, ErrExpired) && revision > 0 {
			revision = 0
			continue
		}
		if err != nil {
			return Object{}, err
		}
		for _, object := range changes.Objects {
			if object.Name == name && uint64(object.Revision) > after {
				return DecodeValue(object)
			}
		}
		revision = changes.Revision
	}
}
