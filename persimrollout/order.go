package persimrollout

import (
	"slices"
	"time"
)

// MaxDuration is the longest duration of an order.
const MaxDuration = 24 * time.Hour

// Order asks that the traffic of a service be moved to one version.
type Order struct {
	Service, Target string
	// Revision is the revision of the operator's object when the order was first read.
	Revision int64
	Duration time.Duration
}

// same reports whether both are the same order, whatever else the object says.
func (o Order) same(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Revision == other.Revision
}

// Phase is a step of a rollout.
type Phase int

// Phases of a rollout. The last phase of each of the two paths is final.
const (
	// PhaseNone means that there is no order.
	PhaseNone Phase = iota
	// PhaseObserving sends a sample of the requests to the target.
	PhaseObserving
	// PhaseShifting sends all new requests to the target.
	PhaseShifting
	// PhaseReverting sends no new request to the target.
	PhaseReverting
	// PhaseCompleted means that all traffic is at the target and the other versions leave.
	PhaseCompleted
	// PhaseRolledBack means that the target takes no requests any more.
	PhaseRolledBack
)

var phaseNames = [...]string{"none", "observing", "shifting", "reverting", "completed", "rolled_back"}

// String returns the name of the phase in log lines.
func (p Phase) String() string {
	if !p.valid() {
		return "unknown"
	}
	return phaseNames[p]
}

// Final reports whether no other phase of the same order follows.
func (p Phase) Final() bool { return p == PhaseCompleted || p == PhaseRolledBack }

func (p Phase) valid() bool { return p >= PhaseNone && p <= PhaseRolledBack }

// follows reports whether the phase comes after another one of the same order.
func (p Phase) follows(other Phase) bool { return !other.Final() && p > other }

// State is the state of a rollout as the operator reads it.
type State string

// States of a rollout.
const (
	StateActive     State = "active"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// state returns the state that operators read in a phase.
func (p Phase) state() State {
	switch p {
	case PhaseCompleted:
		return StateCompleted
	case PhaseRolledBack:
		return StateRolledBack
	default:
		return StateActive
	}
}

// Status is the status of the operator's object.
type Status struct {
	State  State
	Target string
}

// Object is the operator's object as it stands in the store.
type Object struct {
	// Order is what the object asks for, with the object's own revision.
	Order
	// Problem tells why the spec cannot be read, or is empty.
	Problem string
	// Status is zero if none was written yet.
	Status Status
}

// Record is what outlasts all hosts of a rollout, an object in the store.
type Record struct {
	Order
	Phase Phase
	Start time.Time
	// Closed are the versions that take no requests.
	Closed []string
	// Removed is set if the operator removed or replaced the order before it was completed.
	Removed bool
	// Fence is the fencing token of the lease under which the record was written.
	Fence int64
}

// says reports whether a record says the same, whoever wrote it. The start is stored in
// milliseconds.
func (r Record) says(other Record) bool {
	return r.same(other.Order) && r.Duration == other.Duration && r.Phase == other.Phase && r.Removed == other.Removed &&
		r.Start.UnixMilli() == other.Start.UnixMilli() && slices.Equal(r.Closed, other.Closed)
}

// Change is a change of a rollout, for the log.
type Change struct {
	Order
	From, To Phase
	// Cause tells why the lease holder changed the phase; it is empty at other hosts.
	Cause string
	// Age is the time since the lease holder decided the change.
	Age   time.Duration
	Fence int64
}
