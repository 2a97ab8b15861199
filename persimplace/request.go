package persimplace

import (
	"time"

	"persimmonport.example/persimcatalog"
)

// Part is a section of a prompt that several requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request describes a request to be placed.
type Request struct {
	// Parts is the whole prompt in order; the last part is not shared.
	Parts []Part
	// Tokens is the length of the prompt, or zero for a plain service.
	Tokens int
	// Urgent marks requests that the engine admits before others.
	Urgent bool
	Centre string
	// Spread is the difference in expected time that is left to chance. It is useful where the
	// loads of other hosts change faster than they are told.
	Spread time.Duration
	// Exclude lists the ids of upstreams already tried for the request.
	Exclude []string
	// Allow reports whether the request may use an upstream; nil allows all.
	Allow func(persimcatalog.Upstream) bool
}

// allows reports whether the request may use an upstream that is not leaving.
func (r Request) allows(s *upstreamState) bool {
	return !s.Leaving && (r.Allow == nil || r.Allow(s.Upstream))
}

// SharedParts returns the parts that other requests may share: all but the last.
func (r Request) SharedParts() []Part { return r.Parts[:max(0, len(r.Parts)-1)] }

// Choice is an upstream with the expected time to the first response byte.
type Choice struct {
	Upstream persimcatalog.Upstream
	Expected time.Duration
	// PrefillTokens is the number of prompt tokens that are assumed not to be cached at the
	// upstream.
	PrefillTokens int
	// Requests is the estimated number of requests at the upstream.
	Requests int
	// pendingTokens is the number of prompt tokens that are expected to be prefilled before
	// those of this request. Measurable is set if the time to the first byte tells the speed
	// of the engine.
	pendingTokens int
	measurable    bool
	// usual is the expected time at an upstream that works as usual, or zero if the time
	// does not tell how fast it works.
	usual time.Duration
	// penalty is added to the expected time in comparisons.
	penalty time.Duration
	// PassedOver is the number of better upstreams that take no requests now. Wait is set
	// where there is no other: it is the shortest time until one of them does.
	PassedOver int
	Wait       time.Duration
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeSuccess Outcome = iota
	// OutcomeFailed is a fault of the upstream.
	OutcomeFailed
	// OutcomeConnectFailed is a failure to connect.
	OutcomeConnectFailed
	// OutcomeRejected is a rejection before the request ran.
	OutcomeRejected
	// OutcomeNeutral is an end that says nothing about the health of the upstream,
	// such as a cancellation by the caller.
	OutcomeNeutral
)

// Ticket is the record of one attempt at an upstream.
type Ticket struct {
	state         *upstreamState
	request       Request
	prefillTokens int
	sentAt        time.Time
	expected      time.Duration
	// pendingTokens were to be prefilled before those of this request.
	pendingTokens int
	measurable    bool
	usual         time.Duration
	// load is the load of the upstream when the attempt started, as a share of its slots.
	load float64
	// overdue is the number of samples taken while the first byte was overdue, progressed
	// is set once progress was recorded.
	overdue    int
	progressed bool
	responded  bool
	ended      bool
}
