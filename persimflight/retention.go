package persimflight

import (
	"time"
)

// Bounds on how long a table keeps requests that have ended on their host.
const (
	// DefaultMovedRetention is how long a host remembers the new owner of a moved request.
	DefaultMovedRetention = 5 * time.Minute
	// replicaGrace is how long a replica is kept beyond the owner's retention.
	replicaGrace = 10 * time.Second
)

func (t *table) Acknowledge(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.flights[id]
	if !ok || !f.finished() {
		return
	}
	t.remove(id, f)
}

func (f *Flight) finished() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return IsFinalPhase(f.state.GetPhase())
}

func (t *table) Evict(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, f := range t.flights {
		if f.expired(now) {
			t.remove(id, f)
		}
	}
}

func (f *Flight) expired(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	retention := f.state.GetRetention().AsDuration()
	if f.role == RoleMoved {
		return now.Sub(f.endedAt) > DefaultMovedRetention
	}
	if f.role == RoleReplica {
		retention += replicaGrace
	}
	if IsFinalPhase(f.state.GetPhase()) {
		return now.Sub(f.endedAt) > retention
	}
	return now.Sub(f.deadline) > retention
}
