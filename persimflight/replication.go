package persimflight

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimwire"
)

// Update is one batch of changes that an owner sends to a replica holder.
type Update struct {
	Flights    []*persimwire.Flight
	Progress   []*persimwire.Progress
	sentStates map[string]sentState
}

// sentState is the state of a flight that the holder has once it has applied an update.
type sentState struct {
	tokens  int
	isFinal bool
}

// Empty reports whether there is nothing to send.
func (u Update) Empty() bool { return len(u.Flights) == 0 && len(u.Progress) == 0 }

// SetReplica sets the replica holder; an empty name means no replica.
func (f *Flight) SetReplica(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replica == name {
		return
	}
	f.replica = name
	f.forgetConfirmations()
	f.recordChange()
}

// forgetConfirmations records that the replica holder holds nothing of the request.
func (f *Flight) forgetConfirmations() {
	f.replicated = false
	f.replicatedTokens = 0
	f.replicatedFinal = false
}

// appendTo adds the changes that the holder lacks to the update: the complete state
// if it does not hold the request yet, otherwise the progress since the last
// confirmation.
func (f *Flight) appendTo(update *Update, holder string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleOwner || !f.dirty || f.replica != holder {
		return
	}
	f.dirty = false
	tokens := f.state.GetTokens()
	update.sentStates[f.id] = sentState{tokens: len(tokens), isFinal: IsFinalPhase(f.state.GetPhase())}
	if !f.replicated {
		update.Flights = append(update.Flights, f.snapshot(now))
		return
	}
	update.Progress = append(update.Progress, &persimwire.Progress{
		Id:       f.state.GetId(),
		Epoch:    f.state.GetEpoch(),
		Offset:   int64(f.replicatedTokens),
		Tokens:   slices.Clone(tokens[f.replicatedTokens:]),
		Phase:    f.state.GetPhase(),
		Attempt:  f.state.GetAttempt(),
		Upstream: f.state.GetUpstream(),
		Stream:   f.state.GetStream(),
		Answer:   f.state.GetAnswer(),
		Refusal:  f.state.GetRefusal(),
	})
}

func (f *Flight) confirmReplicated(sent sentState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicated = true
	f.replicatedTokens = max(f.replicatedTokens, sent.tokens)
	f.replicatedFinal = sent.isFinal
	if sent.tokens > f.releasedTokens {
		f.releasedTokens = sent.tokens
	}
	f.wakeWaiters()
}

// requeue marks the flight to be sent again, as complete state if the holder does
// not have it.
func (f *Flight) requeue(missing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if missing {
		f.forgetConfirmations()
	}
	f.markDirty()
}

// finalStateReplicated reports whether the holder has the final state of the request
// or there is no replica.
func (f *Flight) finalStateReplicated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicatedFinal || f.replica == ""
}

// markMoved records that another host owns the request and stops it on this one.
func (f *Flight) markMoved(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.markMovedLocked(host)
}

func (f *Flight) markMovedLocked(host string) {
	if f.role == RoleMoved {
		return
	}
	if f.role == RoleOwner {
		close(f.stopped)
	}
	f.role = RoleMoved
	f.movedTo = host
	f.endedAt = time.Now()
	f.wakeWaiters()
}

// beginHandover ends the ownership and returns the state from which the next owner
// continues.
func (f *Flight) beginHandover(host string, now time.Time) (*persimwire.Flight, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleOwner {
		return nil, false
	}
	state := f.snapshot(now)
	f.markMovedLocked(host)
	return state, true
}

// cancelHandover makes this host the owner again after a failed handover. It raises
// the epoch by two, above that of a target host that may have accepted the request.
func (f *Flight) cancelHandover(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleMoved {
		return false
	}
	f.role = RoleReplica
	f.movedTo = ""
	f.state.Epoch++
	f.endedAt = time.Time{}
	return f.promoteLocked(host)
}

// applyProgress applies the owner's progress to the replica. Tokens that the
// replica already holds are skipped.
func (f *Flight) applyProgress(p *persimwire.Progress) persimwire.RejectionCause {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.role != RoleReplica || p.GetEpoch() < f.state.GetEpoch() {
		return persimwire.RejectionCause_REJECTION_CAUSE_OWNED
	}
	held := int64(len(f.state.GetTokens()))
	if p.GetOffset() > held {
		return persimwire.RejectionCause_REJECTION_CAUSE_UNKNOWN
	}
	overlap := min(held-p.GetOffset(), int64(len(p.GetTokens())))
	f.state.Tokens = append(f.state.Tokens, p.GetTokens()[overlap:]...)
	f.releasedTokens = len(f.state.GetTokens())
	f.state.Phase = p.GetPhase()
	f.state.Attempt = p.GetAttempt()
	f.state.Upstream = p.GetUpstream()
	f.state.Stream = p.GetStream()
	f.state.Answer = p.GetAnswer()
	f.state.Refusal = p.GetRefusal()
	if IsFinalPhase(p.GetPhase()) {
		f.endedAt = time.Now()
	}
	f.wakeWaiters()
	return persimwire.RejectionCause_REJECTION_CAUSE_UNSPECIFIED
}

// replaceState replaces the complete state by one that the owner sent. It returns
// false when the epoch shows that the sender is no longer the owner.
func (f *Flight) replaceState(state *persimwire.Flight, now time.Time) bool {
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
		close(f.stopped)
	}
	f.role = RoleReplica
	f.state = proto.CloneOf(state)
	f.deadline = now.Add(state.GetRemaining().AsDuration())
	f.releasedTokens = len(state.GetTokens())
	if IsFinalPhase(state.GetPhase()) {
		f.endedAt = now
	}
	f.wakeWaiters()
	return true
}

// promote makes the host the owner of a request of which it holds a replica.
func (f *Flight) promote(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.promoteLocked(host)
}

func (f *Flight) promoteLocked(host string) bool {
	if f.role != RoleReplica {
		return false
	}
	f.role = RoleOwner
	f.stopped = make(chan struct{})
	f.state.Epoch++
	f.state.Owner = host
	f.state.Path = append(f.state.Path, host)
	f.replica = ""
	f.forgetConfirmations()
	f.recordChange()
	return true
}
