// Package persimplatform is a client for the platform: its object API, the calls of
// the duties, its list of hosts and its cloud API.
package persimplatform

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// MaxValueBytes is the largest value that an object of a Store may hold; its stored
// encoding, base64 in JSON, is a third larger.
const MaxValueBytes = MaxObjectBytes/4*3 - 1024

// Object is a versioned value stored at the platform.
type Object struct {
	Name string
	// Version is the ordinal of the revision that was read, or zero for an object not yet
	// created.
	Version uint64
	Value   []byte
}

// WithValue returns a copy of the object with the value.
func (o Object) WithValue(value []byte) Object {
	o.Value = value
	return o
}

// WithVersion returns a copy of the object with the version.
func (o Object) WithVersion(version uint64) Object {
	o.Version = version
	return o
}

// Store reads and conditionally writes objects.
type Store interface {
	// Get returns the object, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, name string) (Object, error)
	// GetNewer returns the object if its version differs from the given one, and
	// reports whether it does. It returns ErrNotFound or ErrUnavailable.
	GetNewer(ctx context.Context, name string, version uint64) (Object, bool, error)
	// Put writes the object if its stored version is unchanged; version zero creates
	// it. It returns the stored object, or ErrConflict, ErrUncertain, ErrThrottled,
	// ErrTooLarge or ErrUnavailable.
	Put(ctx context.Context, object Object) (Object, error)
	// Await waits until the version of the object is above after and returns the
	// object, or ErrUnavailable if the context's deadline passes first.
	Await(ctx context.Context, name string, after uint64) (Object, error)
}

// watchWait is how long the platform holds a watch request without changes.
const watchWait = 25 * time.Second

// store stores values as platform objects of one kind.
type store struct {
	objects Objects
	kind    string
}

// NewStore returns a Store that keeps its values in objects of a kind.
func NewStore(objects Objects, kind string) Store { return &store{objects: objects, kind: kind} }

// EncodeValue returns the platform object that holds a value.
func EncodeValue(o Object) (platform.Object, error) {
	spec, err := json.Marshal(o.Value)
	return platform.Object{Name: o.Name, Revision: persimrevision.FromOrdinal(int64(o.Version)), Spec: spec}, trace.Wrap(err)
}

// DecodeValue returns the value that a platform object holds.
func DecodeValue(o platform.Object) (Object, error) {
	var value []byte
	if err := json.Unmarshal(o.Spec, &value); err != nil {
		return Object{}, trace.Wrap(ErrUnavailable, "object %s holds no value: %v", o.Name, err)
	}
	return Object{Name: o.Name, Version: uint64(o.Revision.Ordinal()), Value: value}, nil
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
	return object.WithVersion(uint64(stored.Revision.Ordinal())), nil
}

func (s *store) Await(ctx context.Context, name string, after uint64) (Object, error) {
	revision := persimrevision.FromOrdinal(int64(after))
	for {
		if revision == (persimrevision.Revision{}) {
			object, err := s.Get(ctx, name)
			if err == nil && object.Version > after {
				return object, nil
			}
			if err != nil && !errors.Is(err, ErrNotFound) {
				return Object{}, err
			}
		}
		changes, err := s.objects.Watch(ctx, s.kind, revision, watchWait)
		if errors.Is(err, ErrExpired) && revision != (persimrevision.Revision{}) {
			revision = persimrevision.Revision{}
			continue
		}
		if err != nil {
			return Object{}, err
		}
		for _, object := range changes.Objects {
			if object.Name == name && uint64(object.Revision.Ordinal()) > after {
				return DecodeValue(object)
			}
		}
		revision = changes.Revision
	}
}
