package persimflight

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimwire"
)

// An Update is what a host sends to the holder of its replicas at one time.
type Update struct {
	Flights  []*persimwire.Flight
	Progress []*persimwire.Progress
	marks    map[string]mark
}

// mark is the state that the holder has once it has taken an update.
type mark struct {
	tokens int
	final  bool
}

// Empty reports whether there is nothing to send.
func (u Update) Empty() bool { return len(u.Flights) == 0 && len(u.Progress) == 0 }

// SetReplica chooses the holder of the replica; an empty name means that there is none.
func (f *Flight) SetReplica(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica == name {
		return
	}
	f.replica = name
	f.known = false
	f.sent = 0
	f.sentAll = false
	f.notify()
}

// collect adds what the replica lacks to the update.
func (f *Flight) collect(update *Update, holder string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleOwner || !f.dirty || f.replica != holder {
		return
	}
	f.dirty = false
	tokens := f.state.GetTokens()
	update.marks[f.id] = mark{tokens: len(tokens), final: isFinal(f.state.GetPhase())}
	if !f.known {
		update.Flights = append(update.Flights, f.snapshot(now))
		return
	}
	update.Progress = append(update.Progress, &persimwire.Progress{
		Id:       f.state.GetId(),
		Epoch:    f.state.GetEpoch(),
		Offset:   int64(f.sent),
		Tokens:   slices.Clone(tokens[f.sent:]),
		Phase:    f.state.GetPhase(),
		Attempt:  f.state.GetAttempt(),
		Upstream: f.state.GetUpstream(),
		Stream:   f.state.GetStream(),
		Answer:   f.state.GetAnswer(),
		Refusal:  f.state.GetRefusal(),
	})
}

func (f *Flight) confirm(m mark) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = true
	f.sent = max(f.sent, m.tokens)
	f.sentAll = m.final
	if m.tokens > f.released {
		f.released = m.tokens
	}
	f.wake()
}

// retry marks the flight to be sent again, from its start when the holder lacks it.
func (f *Flight) retry(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost {
		f.known = false
		f.sent = 0
	}
	f.mark()
}

// settled reports whether the holder has the final state of the request.
func (f *Flight) settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sentAll || f.replica == ""
}

// moveTo ends the host's ownership in favour of another host.
func (f *Flight) moveTo(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role == RoleMoved {
		return
	}
	if f.role == RoleOwner {
		close(f.stop)
	}
	f.role = RoleMoved
	f.movedTo = host
	f.ended = time.Now()
	f.wake()
}

// freeze ends the ownership and returns the state that the next owner continues.
func (f *Flight) freeze(host string, now time.Time) (*persimwire.Flight, bool) {
	f.mu.Lock()
	if f.role != RoleOwner {
		f.mu.Unlock()
		return nil, false
	}
	state := f.snapshot(now)
	f.mu.Unlock()
	f.moveTo(host)
	return state, true
}

// thaw returns a frozen request to its former owner. Its epoch passes that of the
// host that may have received it.
func (f *Flight) thaw(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleMoved {
		return false
	}
	f.role = RoleReplica
	f.movedTo = ""
	f.state.Epoch++
	f.ended = time.Time{}
	return f.takeLocked(host)
}

// absorb joins an owner's progress into the replica.
func (f *Flight) absorb(p *persimwire.Progress) persimwire.RejectionCause {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleReplica || p.GetEpoch() < f.state.GetEpoch() {
		return persimwire.RejectionCause_REJECTION_CAUSE_OWNED
	}
	held := int64(len(f.state.GetTokens()))
	if p.GetOffset() > held {
		return persimwire.RejectionCause_REJECTION_CAUSE_UNKNOWN
	}
	skip := min(held-p.GetOffset(), int64(len(p.GetTokens())))
	f.state.Tokens = append(f.state.Tokens, p.GetTokens()[skip:]...)
	f.released = len(f.state.GetTokens())
	f.state.Phase = p.GetPhase()
	f.state.Attempt = p.GetAttempt()
	f.state.Upstream = p.GetUpstream()
	f.state.Stream = p.GetStream()
	f.state.Answer = p.GetAnswer()
	f.state.Refusal = p.GetRefusal()
	if isFinal(p.GetPhase()) {
		f.ended = time.Now()
	}
	f.wake()
	return persimwire.RejectionCause_REJECTION_CAUSE_UNSPECIFIED
}

// restate replaces the whole state of a replica by a newer one of its owner.
func (f *Flight) restate(state *persimwire.Flight, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := state.GetEpoch() > f.state.GetEpoch()
	if f.role == RoleOwner && !newer || state.GetEpoch() < f.state.GetEpoch() {
		return false
	}
	if f.role == RoleMoved && !newer {
		return false
	}
	if f.role == RoleOwner {
		close(f.stop)
	}
	f.role = RoleReplica
	f.state = proto.CloneOf(state)
	f.deadline = now.Add(state.GetRemaining().AsDuration())
	f.released = len(state.GetTokens())
	if isFinal(state.GetPhase()) {
		f.ended = now
	}
	f.wake()
	return true
}

// take makes the host the owner of a request that it held a replica of.
func (f *Flight) take(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.takeLocked(host)
}

func (f *Flight) takeLocked(host string) bool {
	if f.role != RoleReplica {
		return false
	}
	f.role = RoleOwner
	f.stop = make(chan struct{})
	f.state.Epoch++
	f.state.Owner = host
	f.state.Path = append(f.state.Path, host)
	f.replica = ""
	f.known = false
	f.sent = 0
	f.sentAll = false
	f.notify()
	return true
}
