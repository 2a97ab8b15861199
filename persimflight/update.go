package persimflight

import (
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimwire"
)

// markDirty records that a flight has changes that its replica holder lacks.
func (t *table) markDirty(holder string, f *Flight) {
	t.dirtyMu.Lock()
	flights, ok := t.dirty[holder]
	if !ok {
		flights = map[*Flight]struct{}{}
		t.dirty[holder] = flights
	}
	flights[f] = struct{}{}
	t.dirtyMu.Unlock()
	t.notify(holder)
}

// takeDirty removes and returns the flights with changes for a holder.
func (t *table) takeDirty(holder string) map[*Flight]struct{} {
	t.dirtyMu.Lock()
	defer t.dirtyMu.Unlock()
	flights := t.dirty[holder]
	delete(t.dirty, holder)
	return flights
}

func (t *table) Collect(holder string, now time.Time) Update {
	update := Update{sentStates: map[string]sentState{}}
	for f := range t.takeDirty(holder) {
		f.appendTo(&update, holder, now)
	}
	return update
}

func (t *table) Confirm(update Update, rejections []*persimwire.Rejection, holder string) {
	causes := map[string]persimwire.RejectionCause{}
	for _, r := range rejections {
		causes[r.GetId()] = r.GetCause()
	}
	for id, sent := range update.sentStates {
		f, err := t.Get(id)
		if err != nil {
			continue
		}
		switch causes[id] {
		case persimwire.RejectionCause_REJECTION_CAUSE_OWNED:
			if f.Replica() == holder {
				f.markMoved(holder)
			}
		case persimwire.RejectionCause_REJECTION_CAUSE_UNKNOWN:
			f.requeue(true)
		case persimwire.RejectionCause_REJECTION_CAUSE_FULL:
			f.SetReplica("")
		default:
			f.confirmReplicated(sent)
		}
	}
}

func (t *table) Requeue(update Update) {
	for id := range update.sentStates {
		if f, err := t.Get(id); err == nil {
			f.requeue(false)
		}
	}
}

func (t *table) ApplyUpdate(request *persimwire.ReplicateRequest, now time.Time) []*persimwire.Rejection {
	var rejections []*persimwire.Rejection
	reject := func(id string, cause persimwire.RejectionCause) {
		rejections = append(rejections, &persimwire.Rejection{Id: id, Cause: cause})
	}
	for _, state := range request.GetFlights() {
		if cause := t.applyState(state, now); cause != persimwire.RejectionCause_REJECTION_CAUSE_UNSPECIFIED {
			reject(state.GetId(), cause)
		}
	}
	for _, p := range request.GetProgress() {
		f, err := t.Get(p.GetId())
		if err != nil {
			reject(p.GetId(), persimwire.RejectionCause_REJECTION_CAUSE_UNKNOWN)
			continue
		}
		if cause := f.applyProgress(p); cause != persimwire.RejectionCause_REJECTION_CAUSE_UNSPECIFIED {
			reject(p.GetId(), cause)
		}
	}
	for _, id := range request.GetFinished() {
		t.Acknowledge(id)
	}
	return rejections
}

func (t *table) applyState(state *persimwire.Flight, now time.Time) persimwire.RejectionCause {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing, ok := t.flights[state.GetId()]; ok {
		if existing.replaceState(state, now) {
			return persimwire.RejectionCause_REJECTION_CAUSE_UNSPECIFIED
		}
		return persimwire.RejectionCause_REJECTION_CAUSE_OWNED
	}
	if len(t.flights) >= 2*t.limit {
		return persimwire.RejectionCause_REJECTION_CAUSE_FULL
	}
	f := newFlight(proto.CloneOf(state), RoleReplica, t, now)
	if IsFinalPhase(state.GetPhase()) {
		f.endedAt = now
	}
	t.insert(f)
	return persimwire.RejectionCause_REJECTION_CAUSE_UNSPECIFIED
}
