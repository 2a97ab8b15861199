// Package persimflight holds the requests that one host has accepted and the
// replicas that it stores for other hosts.
//
// An owner releases tokens to the caller once a replica holds them. A replica
// that has been promoted to owner rejects the updates of the former owner, so
// only one of them can release further tokens.
package persimflight

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"persimmonport.example/persimwire"
)

// Errors of a table and of its flights; callers test for them with errors.Is.
var (
	// ErrFull reports that the table has reached its limit of requests.
	ErrFull = errors.New("flight: table is full")
	// ErrUnknown reports that the table does not hold the request.
	ErrUnknown = errors.New("flight: unknown request")
	// ErrOffsetOutOfRange reports an offset beyond the end of a finished answer, or
	// beyond the tokens that a replica holds.
	ErrOffsetOutOfRange = errors.New("flight: offset out of range")
	// ErrPrefixMismatch reports that the caller's text before the offset differs from the
	// released text.
	ErrPrefixMismatch = errors.New("flight: text before the offset differs")
)

// Role is the role of a host for a request.
type Role int

// Roles of a host.
const (
	RoleOwner Role = iota + 1
	RoleReplica
	RoleMoved
)

// Flight is one accepted request, in flight or retained, on one host. It is safe
// for concurrent use.
type Flight struct {
	id           string
	organisation string
	key          string
	tracker      dirtyTracker

	mu               sync.Mutex
	state            *persimwire.Flight
	role             Role
	deadline         time.Time
	endedAt          time.Time
	releasedTokens   int
	replica          string
	movedTo          string
	replicatedTokens int
	replicatedFinal  bool
	replicated       bool
	dirty            bool
	changed          chan struct{}
	stopped          chan struct{}
}

// dirtyTracker records which flights have changes that their replica holder lacks.
type dirtyTracker interface {
	markDirty(holder string, f *Flight)
}

// View is a snapshot of a flight with the released tokens from an offset on.
type View struct {
	Tokens  []string
	Offset  int
	Phase   persimwire.Phase
	Attempt int
	Role    Role
	MovedTo string
	Refusal *persimwire.Refusal
	// Complete reports whether the view reaches the end of a finished answer.
	Complete bool
	// Changed is closed at the next change of the flight.
	Changed <-chan struct{}
}

func newFlight(state *persimwire.Flight, role Role, tracker dirtyTracker, now time.Time) *Flight {
	return &Flight{
		id:             state.GetId(),
		organisation:   state.GetOrganisation(),
		key:            string(state.GetKey()),
		tracker:        tracker,
		state:          state,
		role:           role,
		deadline:       now.Add(state.GetRemaining().AsDuration()),
		releasedTokens: len(state.GetTokens()),
		changed:        make(chan struct{}),
		stopped:        make(chan struct{}),
	}
}

// ID returns the request's identifier.
func (f *Flight) ID() string { return f.id }

// Organisation returns the organisation that the request belongs to.
func (f *Flight) Organisation() string { return f.organisation }

// Deadline returns the time at which the caller stops waiting.
func (f *Flight) Deadline() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadline
}

// Stopped returns a channel that is closed when the host no longer runs the request.
func (f *Flight) Stopped() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

// State returns a copy of the complete state, including tokens that are not yet
// released.
func (f *Flight) State(now time.Time) *persimwire.Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot(now)
}

func (f *Flight) snapshot(now time.Time) *persimwire.Flight {
	state := proto.CloneOf(f.state)
	state.Remaining = durationpb.New(max(0, f.deadline.Sub(now)))
	return state
}

// Role returns the role of this host and, for a moved request, the new owner.
func (f *Flight) Role() (Role, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role, f.movedTo
}

// Replica returns the name of the host that holds the replica, or "" without one.
func (f *Flight) Replica() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica
}

// BeginAttempt records the start of an attempt. It returns false when the host no
// longer owns the request or the request has ended.
func (f *Flight) BeginAttempt(attempt int, upstream, stream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isOpen() {
		return false
	}
	f.state.Attempt = int32(attempt)
	f.state.Upstream = upstream
	f.state.Stream = stream
	f.state.Phase = persimwire.Phase_PHASE_RUNNING
	f.recordChange()
	return true
}

// Append adds the token at an offset and reports whether it was added. A token of
// another attempt or at any offset but the next is dropped.
func (f *Flight) Append(attempt, offset int, token string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isOpenFor(attempt) || offset != len(f.state.GetTokens()) {
		return false
	}
	f.state.Tokens = append(f.state.Tokens, token)
	f.recordChange()
	return true
}

// Finish marks the answer of an attempt as complete. It returns false for another
// attempt or when tokens is not the number of tokens appended.
func (f *Flight) Finish(attempt, tokens int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isOpenFor(attempt) || tokens != len(f.state.GetTokens()) {
		return false
	}
	f.setFinalPhase(persimwire.Phase_PHASE_DONE)
	return true
}

// FinishCall records the response of a call to a plain service. It returns false when
// the request has already ended or the host does not own it.
func (f *Flight) FinishCall(body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isOpen() {
		return false
	}
	f.state.Answer = body
	f.setFinalPhase(persimwire.Phase_PHASE_DONE)
	return true
}

// Refuse ends the request without an answer. It returns false when the request has
// already ended or the host does not own it.
func (f *Flight) Refuse(refusal *persimwire.Refusal) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isOpen() {
		return false
	}
	f.state.Refusal = refusal
	f.setFinalPhase(persimwire.Phase_PHASE_FAILED)
	return true
}

// isOpen reports whether the host owns the request and the request has not ended.
func (f *Flight) isOpen() bool {
	return f.role == RoleOwner && !IsFinalPhase(f.state.GetPhase())
}

// isOpenFor reports whether the request is open and the attempt is its current one.
func (f *Flight) isOpenFor(attempt int) bool {
	return f.isOpen() && int(f.state.GetAttempt()) == attempt
}

func (f *Flight) setFinalPhase(phase persimwire.Phase) {
	f.state.Phase = phase
	f.endedAt = time.Now()
	f.recordChange()
}

// IsFinalPhase reports whether a request in the phase has ended.
func IsFinalPhase(phase persimwire.Phase) bool {
	return phase == persimwire.Phase_PHASE_DONE || phase == persimwire.Phase_PHASE_FAILED
}

// recordChange queues the flight for replication and wakes waiters. Without a
// replica it releases all tokens at once.
func (f *Flight) recordChange() {
	f.markDirty()
	if f.replica == "" {
		f.releasedTokens = len(f.state.GetTokens())
	}
	f.wakeWaiters()
}

func (f *Flight) markDirty() {
	f.dirty = true
	if f.replica != "" {
		f.tracker.markDirty(f.replica, f)
	}
}

// AwaitReplica waits until the replica holder has confirmed the request, the flight has
// no replica holder or the context ends. It reports whether a replica holds the
// request.
func (f *Flight) AwaitReplica(ctx context.Context) bool {
	for {
		f.mu.Lock()
		replicated, replica, changed := f.replicated, f.replica, f.changed
		f.mu.Unlock()
		if replicated || replica == "" {
			return replicated
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// AwaitFinalReplication waits until the replica holds the final state, the flight has no
// replica holder or the context ends.
func (f *Flight) AwaitFinalReplication(ctx context.Context) {
	for {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		if f.finalStateReplicated() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Flight) wakeWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// View returns the released tokens from an offset on. It returns
// ErrOffsetOutOfRange for an offset beyond the tokens that this host holds, and
// ErrPrefixMismatch when prefix is not empty and differs from the hash of the text
// before the offset.
func (f *Flight) View(offset int, prefix []byte) (View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tokens := f.state.GetTokens()
	if offset < 0 || offset > len(tokens) {
		return View{}, ErrOffsetOutOfRange
	}
	if len(prefix) > 0 && !bytes.Equal(prefix, digest(tokens[:offset])) {
		return View{}, ErrPrefixMismatch
	}
	view := View{
		Offset:  offset,
		Phase:   f.state.GetPhase(),
		Attempt: int(f.state.GetAttempt()),
		Role:    f.role,
		MovedTo: f.movedTo,
		Refusal: f.state.GetRefusal(),
		Changed: f.changed,
	}
	if offset < f.releasedTokens {
		view.Tokens = slices.Clone(tokens[offset:f.releasedTokens])
	}
	view.Complete = view.Phase == persimwire.Phase_PHASE_DONE && f.releasedTokens == len(tokens)
	return view, nil
}

// EndEvent returns the final stream event of a finished answer, with its length and hash.
func (f *Flight) EndEvent() *persimwire.End {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := strings.Join(f.state.GetTokens(), "")
	sum := sha256.Sum256([]byte(text))
	return &persimwire.End{
		Tokens:   int64(len(f.state.GetTokens())),
		Bytes:    int64(len(text)),
		Sha256:   sum[:],
		Attempts: f.state.GetAttempt(),
	}
}

// Digest returns the SHA-256 of the joined tokens.
func Digest(tokens []string) []byte { return digest(tokens) }

func digest(tokens []string) []byte {
	hash := sha256.New()
	for _, token := range tokens {
		hash.Write([]byte(token))
	}
	return hash.Sum(nil)
}
