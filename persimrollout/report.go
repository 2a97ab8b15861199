package persimrollout

// Side is one of the two sides that are compared.
type Side int

// Sides of a rollout.
const (
	// SideAny means that there is no rollout to choose a side for.
	SideAny Side = iota
	// SideCurrent is the side of the version in use. Versions beside it that no order names get
	// no requests and belong to no side.
	SideCurrent
	// SideTarget is the side of the order's target.
	SideTarget
)

// Report is what a host tells the lease holder of the rollout of one service.
type Report struct {
	Service, Target string
	Revision        int64
	// Phase is the phase that the host acts on: PhaseNone while its news of an observing or
	// shifting rollout is too old.
	Phase Phase
	// OnOld is the number of requests in progress at other versions than the target.
	OnOld int
	// Counts only grow while the host runs.
	Counts []Count
}

// Count is what a host has counted on one side, route and data centre since the order.
type Count struct {
	Side          Side
	Route, Centre string
	// Upstream is the hash of the upstream's incarnation on the side of the target, else zero.
	Upstream uint64
	// Begun is the number of requests sent, Ended that of those with a result that counts,
	// Failed that of those that failed.
	Begun, Ended, Failed int64
	// First holds the times to the first byte, Pace those between output tokens.
	First, Pace Histogram
}
