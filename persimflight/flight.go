// Package persimflight keeps the accepted requests of one host and the replicas
// that it holds for others.
//
// Tokens become visible to the caller once a replica holds them. A replica that
// has taken a request over refuses the former owner's updates, so only one of
// them can release further tokens.
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
	// ErrFull reports that the table holds no more requests.
	ErrFull = errors.New("flight: table is full")
	// ErrUnknown reports that the table does not hold the request.
	ErrUnknown = errors.New("flight: unknown request")
	// ErrOffset reports an offset beyond the released tokens of a finished request,
	// or beyond what a replica holds.
	ErrOffset = errors.New("flight: offset out of range")
	// ErrPrefix reports that the caller holds another text than the one released.
	ErrPrefix = errors.New("flight: text before the offset differs")
)

// A Role is the part that a host plays for a request.
type Role int

// Roles of a host.
const (
	RoleOwner Role = iota + 1
	RoleReplica
	RoleMoved
)

// A Flight is one accepted request on one host. It is safe for concurrent use.
type Flight struct {
	id           string
	organisation string
	key          string
	marker       marker

	mu       sync.Mutex
	state    *persimwire.Flight
	role     Role
	deadline time.Time
	ended    time.Time
	released int
	replica  string
	movedTo  string
	sent     int
	sentAll  bool
	known    bool
	dirty    bool
	changed  chan struct{}
	stop     chan struct{}
}

// A marker learns which flights have news for the holder of their replica.
type marker interface {
	mark(holder string, f *Flight)
}

// A View is a snapshot of a flight from one offset on.
type View struct {
	Tokens  []string
	Offset  int
	Phase   persimwire.Phase
	Attempt int
	Role    Role
	MovedTo string
	Refusal *persimwire.Refusal
	// Whole is true when the view reaches the end of a finished answer.
	Whole bool
	// Changed is closed at the next change.
	Changed <-chan struct{}
}

func newFlight(state *persimwire.Flight, role Role, m marker, now time.Time) *Flight {
	return &Flight{
		id:           state.GetId(),
		organisation: state.GetOrganisation(),
		key:          string(state.GetKey()),
		marker:       m,
		state:        state,
		role:         role,
		deadline:     now.Add(state.GetRemaining().AsDuration()),
		released:     len(state.GetTokens()),
		changed:      make(chan struct{}),
		stop:         make(chan struct{}),
	}
}

// ID returns the request's identifier.
func (f *Flight) ID() string { return f.id }

// Organisation returns the organisation that the request belongs to.
func (f *Flight) Organisation() string { return f.organisation }

// Deadline returns the end of the caller's patience.
func (f *Flight) Deadline() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadline
}

// Stopped returns a channel that is closed when the host no longer runs the request.
func (f *Flight) Stopped() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stop
}

// State returns a copy of the whole state, with all generated tokens.
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

// Role returns the host's part and, for a moved request, the new owner.
func (f *Flight) Role() (Role, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.role, f.movedTo
}

// Replica returns the name of the host that holds the replica.
func (f *Flight) Replica() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica
}

// Begin records the start of an attempt and reports whether the host still owns the request.
func (f *Flight) Begin(attempt int, upstream, stream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleOwner || isFinal(f.state.GetPhase()) {
		return false
	}
	f.state.Attempt = int32(attempt)
	f.state.Upstream = upstream
	f.state.Stream = stream
	f.state.Phase = persimwire.Phase_PHASE_RUNNING
	f.notify()
	return true
}

// Append adds the token at an offset and reports whether it was taken. A token
// of another attempt or at another offset is dropped.
func (f *Flight) Append(attempt, offset int, token string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.role == RoleOwner && int(f.state.GetAttempt()) == attempt
	if !current || isFinal(f.state.GetPhase()) || offset != len(f.state.GetTokens()) {
		return false
	}
	f.state.Tokens = append(f.state.Tokens, token)
	f.notify()
	return true
}

// Finish records the whole answer of an attempt and reports whether it was taken.
func (f *Flight) Finish(attempt, tokens int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.role == RoleOwner && int(f.state.GetAttempt()) == attempt
	if !current || isFinal(f.state.GetPhase()) || tokens != len(f.state.GetTokens()) {
		return false
	}
	f.end(persimwire.Phase_PHASE_DONE)
	return true
}

// Answer records the answer of a plain service.
func (f *Flight) Answer(body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleOwner || isFinal(f.state.GetPhase()) {
		return false
	}
	f.state.Answer = body
	f.end(persimwire.Phase_PHASE_DONE)
	return true
}

// Refuse ends the request without an answer and reports whether it was still open.
func (f *Flight) Refuse(refusal *persimwire.Refusal) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleOwner || isFinal(f.state.GetPhase()) {
		return false
	}
	f.state.Refusal = refusal
	f.end(persimwire.Phase_PHASE_FAILED)
	return true
}

func (f *Flight) end(phase persimwire.Phase) {
	f.state.Phase = phase
	f.ended = time.Now()
	f.notify()
}

func isFinal(phase persimwire.Phase) bool {
	return phase == persimwire.Phase_PHASE_DONE || phase == persimwire.Phase_PHASE_FAILED
}

// notify marks the flight for its replica, or releases its tokens when it has none.
func (f *Flight) notify() {
	f.mark()
	if f.replica == "" {
		f.released = len(f.state.GetTokens())
	}
	f.wake()
}

func (f *Flight) mark() {
	f.dirty = true
	if f.replica != "" {
		f.marker.mark(f.replica, f)
	}
}

// Await waits until a replica holds the request or until it has none. It reports
// whether a replica holds it.
func (f *Flight) Await(ctx context.Context) bool {
	for {
		f.mu.Lock()
		known, replica, changed := f.known, f.replica, f.changed
		f.mu.Unlock()
		if known || replica == "" {
			return known
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// AwaitSettled waits until the replica holds the final state or the context ends.
func (f *Flight) AwaitSettled(ctx context.Context) {
	for {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		if f.settled() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Flight) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// View returns the released tokens from an offset on. It returns ErrOffset for
// an offset that this host cannot serve and ErrPrefix when prefix is not empty
// and differs from the hash of the text before the offset.
func (f *Flight) View(offset int, prefix []byte) (View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tokens := f.state.GetTokens()
	if offset < 0 || offset > len(tokens) {
		return View{}, ErrOffset
	}
	if len(prefix) > 0 && !bytes.Equal(prefix, digest(tokens[:offset])) {
		return View{}, ErrPrefix
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
	if offset < f.released {
		view.Tokens = slices.Clone(tokens[offset:f.released])
	}
	view.Whole = view.Phase == persimwire.Phase_PHASE_DONE && f.released == len(tokens)
	return view, nil
}

// End returns the end marker of a finished answer.
func (f *Flight) End() *persimwire.End {
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
