package persimrouter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// An AttemptSpec describes one attempt to the router.
type AttemptSpec struct {
	// Attempt identifies the attempt.
	Attempt string
	// Prefix is the hash of the prompt's prefix; attempts with equal prefixes share
	// cached prefill. Zero means no affinity.
	Prefix uint64
	// Prefill is the time to compute the prompt where it is not cached.
	Prefill time.Duration
	// Expected is the expected service time.
	Expected time.Duration
	Long     bool
	// CostWeight and WaitWeight come from the profile.
	CostWeight float64
	WaitWeight float64
	// Avoid lists addresses that the attempt must not use.
	Avoid []string
}

// A Router chooses upstreams. It is not safe for concurrent use.
type Router interface {
	// SetUpstreams replaces the set of upstreams and keeps the observed state of
	// those that stay.
	SetUpstreams(upstreams []Upstream)
	// SetHosts sets the number of entry hosts that share the upstreams.
	SetHosts(hosts int)
	// Choose returns the best upstream for an attempt, or false when none has capacity.
	Choose(now time.Time, spec AttemptSpec) (Upstream, bool)
	// Probe returns an ejected upstream that is due for a probe, a second attempt of
	// a job that also runs elsewhere. The upstream is readmitted when the probe
	// delivers the first token before the other attempt.
	Probe(now time.Time, spec AttemptSpec) (Upstream, bool)
	// Start counts an attempt as sent.
	Start(now time.Time, spec AttemptSpec, address string)
	// Progress records tokens of an attempt; the first ones record the time to the first token.
	Progress(now time.Time, attempt, address string, tokens int, first bool)
	// End removes an attempt; failed reports whether the upstream caused it to fail.
	End(now time.Time, attempt, address string, failed bool)
	// MarkLong counts a running attempt as long.
	MarkLong(attempt, address string)
	// Report records a load report of an upstream.
	Report(now time.Time, address string, report Report)
	// UpdateEjections updates which upstreams are ejected.
	UpdateEjections(now time.Time)
	// Load estimates the number of attempts in all upstreams, from all hosts.
	Load(now time.Time) float64
	// Slots returns the number of attempts that the host may have in progress.
	Slots() int
	// Status returns the observed state of each upstream.
	Status(now time.Time) []Status
}

type router struct {
	config
	entryHosts int
	states     map[string]*upstreamState
	// sorted holds the upstreams in the order of their addresses.
	sorted          []*upstreamState
	specs           map[string]AttemptSpec
	startedAt       map[string]time.Time
	candidateBuffer []*upstreamState
}

// New returns a router without upstreams.
func New(opts ...Option) Router {
	c := config{
		shortReserve:    DefaultShortReserve,
		slowRatio:       DefaultSlowRatio,
		maxEjectedShare: DefaultMaxEjectedShare,
		probeDelay:      DefaultProbeDelay,
		loadBound:       DefaultLoadBound,
		subsetSize:      DefaultSubsetSize,
		random:          rand.New(rand.NewPCG(1, 2)),
	}
	for _, opt := range opts {
		opt(&c)
	}
	return &router{
		config:     c,
		entryHosts: 1,
		states:     map[string]*upstreamState{},
		specs:      map[string]AttemptSpec{},
		startedAt:  map[string]time.Time{},
	}
}

func (r *router) SetHosts(hosts int) { r.entryHosts = max(1, hosts) }

func (r *router) SetUpstreams(upstreams []Upstream) {
	kept := map[string]*upstreamState{}
	for _, upstream := range r.selectSubset(upstreams) {
		known, ok := r.states[upstream.Address]
		if !ok || known.Incarnation != upstream.Incarnation {
			known = newUpstreamState(upstream)
		}
		kept[upstream.Address] = known
	}
	r.states = kept
	r.sorted = r.sorted[:0]
	for _, s := range kept {
		r.sorted = append(r.sorted, s)
	}
	slices.SortFunc(r.sorted, func(a, b *upstreamState) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
}

// selectSubset keeps the upstreams that rank highest for this host by rendezvous
// hashing, so that each upstream is used by about the same number of hosts.
func (r *router) selectSubset(upstreams []Upstream) []Upstream {
	if len(upstreams) <= r.subsetSize {
		return upstreams
	}
	ranked := slices.Clone(upstreams)
	slices.SortFunc(ranked, func(a, b Upstream) int {
		hashA := xxhash.Sum64String(r.host + "\x00" + a.Address)
		hashB := xxhash.Sum64String(r.host + "\x00" + b.Address)
		if hashA > hashB {
			return -1
		}
		return 1
	})
	return ranked[:r.subsetSize]
}

func (r *router) Load(now time.Time) float64 {
	total := 0.0
	for _, s := range r.sorted {
		total += s.load(now)
	}
	return total
}

func (r *router) meanLoad(now time.Time) float64 {
	return r.Load(now) / float64(max(1, len(r.sorted)))
}

func (r *router) Slots() int {
	total := 0
	for _, s := range r.sorted {
		if !s.ejected {
			total += max(1, s.slots()/r.entryHosts)
		}
	}
	return total
}
