// Package persimplatform reaches the platform: its object API, its list of
// hosts and its cloud API.
package persimplatform

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that an object may hold.
const MaxValueBytes = 1 << 20

// Errors that a Store returns; callers test for them with errors.Is.
var (
	// ErrNotFound reports that no object has the name.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict reports that the object is at another version.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUncertain reports that a write may or may not have taken effect.
	ErrUncertain = errors.New("platform: write outcome unknown")
	// ErrUnavailable reports that the platform did not serve the call.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrThrottled reports that the call exceeded a rate limit and had no effect.
	ErrThrottled = errors.New("platform: rate limit exceeded")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
)

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

// HostState is the state of a listed host.
type HostState string

// States of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// A Host is an entry of the platform's list of hosts.
type Host struct {
	Name        string    `json:"name"`
	Address     string    `json:"address"`
	Incarnation string    `json:"incarnation"`
	Group       string    `json:"group"`
	Centre      string    `json:"centre"`
	Machine     string    `json:"machine"`
	Reclaimable bool      `json:"reclaimable"`
	State       HostState `json:"state"`
}

// A Notice announces that the platform takes a host back.
type Notice struct {
	Address     string        `json:"address"`
	Incarnation string        `json:"incarnation"`
	Remaining   time.Duration `json:"remaining_ns"`
}

// A Cloud lists, starts and stops hosts.
type Cloud interface {
	// Hosts returns the platform's list, which may lag.
	Hosts(ctx context.Context) ([]Host, error)
	// Notices returns the reclaim notices in force.
	Notices(ctx context.Context) ([]Notice, error)
	// Start asks for a host. A repeated intent starts nothing new.
	Start(ctx context.Context, order StartOrder) (Host, error)
	// Stop gives a host back. Stopping an absent host is not an error.
	Stop(ctx context.Context, order StopOrder) error
}

// A StartOrder asks for one host.
type StartOrder struct {
	// Intent names the order, so that a repetition has no further effect.
	Intent      string `json:"intent"`
	Fence       uint64 `json:"fence"`
	Group       string `json:"group"`
	Centre      string `json:"centre"`
	Machine     string `json:"machine"`
	Reclaimable bool   `json:"reclaimable"`
}

// A StopOrder gives one host back.
type StopOrder struct {
	Intent      string `json:"intent"`
	Fence       uint64 `json:"fence"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// ErrRefused reports that the cloud API did not start a host.
var ErrRefused = errors.New("platform: start refused")
