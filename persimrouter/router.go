package persimrouter

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of a router.
const (
	// DefaultShortReserve is the share of slots that is reserved for short attempts.
	DefaultShortReserve = 0.25
	// DefaultSlowRatio is the ratio to the group's median latency above which an
	// upstream counts as slow.
	DefaultSlowRatio = 3.0
	// DefaultMaxEjectedShare is the largest share of a group that may be ejected.
	DefaultMaxEjectedShare = 0.34
	// DefaultProbeDelay is the time from an ejection to the first probe.
	DefaultProbeDelay = 2 * time.Second
	// DefaultLoadBound is the load, relative to the mean, up to which an upstream
	// is preferred for the prefixes it should have cached.
	DefaultLoadBound = 1.25
	// DefaultSubsetSize is the largest number of upstreams that a host uses.
	DefaultSubsetSize = 64

	// minSilence is the time without progress that is always tolerated.
	minSilence = time.Second
	// minLatencySamples is the number of samples from which on the latency of an
	// upstream is compared with the median.
	minLatencySamples = 2
	// failuresToEject is the number of consecutive failures that eject an upstream.
	failuresToEject = 3
	// maxCandidates is the number of upstreams that are compared for one attempt.
	maxCandidates = 3
)

type config struct {
	host            string
	shortReserve    float64
	slowRatio       float64
	maxEjectedShare float64
	probeDelay      time.Duration
	loadBound       float64
	subsetSize      int
	random          *rand.Rand
}

// An Option changes the configuration of a router.
type Option func(*config)

// WithHost sets the name of the entry host, which selects its subset of a large group.
func WithHost(host string) Option { return func(c *config) { c.host = host } }

// WithShortReserve sets the share of slots that is reserved for short attempts.
func WithShortReserve(share float64) Option { return func(c *config) { c.shortReserve = share } }

// WithSlowRatio sets the ratio to the group's median latency above which an
// upstream counts as slow.
func WithSlowRatio(ratio float64) Option { return func(c *config) { c.slowRatio = ratio } }

// WithMaxEjectedShare sets the largest share of a group that may be ejected.
func WithMaxEjectedShare(share float64) Option { return func(c *config) { c.maxEjectedShare = share } }

// WithSubsetSize sets the largest number of upstreams that the host uses.
func WithSubsetSize(size int) Option { return func(c *config) { c.subsetSize = size } }

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(c *config) { c.random = random } }

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

// A Status describes an upstream to an operator and states why it is not used.
type Status struct {
	Upstream
	Usable   bool
	Cause    string
	InFlight int
	// Latency is the mean latency between tokens.
	Latency time.Duration
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

// concurrencyLimit returns the number of attempts that this host may have in
// flight on an upstream. The limit of an upstream whose latency exceeds 1.5 times
// the median is reduced in proportion.
func (r *router) concurrencyLimit(s *upstreamState, medianLatency float64, now time.Time) int {
	share := float64(s.slots()) / float64(r.entryHosts)
	latency := s.interTokenLatency.valueAt(now)
	if latency > 0 && medianLatency > 0 && latency > 1.5*medianLatency {
		share *= 1.5 * medianLatency / latency
	}
	return max(1, int(share+0.5))
}

// hasCapacity reports whether the upstream has capacity for an attempt of this
// host: the host's share of the slots and, when borrowing, its share of the slots
// that the last load report shows as free.
func (r *router) hasCapacity(s *upstreamState, spec AttemptSpec, medianLatency float64, borrow bool, now time.Time) bool {
	if s.ejected {
		return false
	}
	limit := r.concurrencyLimit(s, medianLatency, now)
	if borrow {
		free := max(0, float64(s.slots())-s.load(now))
		limit += int(free / float64(r.entryHosts))
	}
	if !spec.Long {
		return s.inFlight < limit
	}
	longLimit := max(1, int(float64(limit)*(1-r.shortReserve)+0.5))
	return s.inFlight < limit && s.inFlightLong < longLimit
}

func (r *router) Choose(now time.Time, spec AttemptSpec) (Upstream, bool) {
	medianLatency := r.medianInterTokenLatency(now)
	candidates := r.candidates(now, spec, medianLatency, false)
	if len(candidates) == 0 {
		candidates = r.candidates(now, spec, medianLatency, true)
	}
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	meanLoad := r.meanLoad(now)
	best := candidates[0]
	bestScore := r.score(best, spec, medianLatency, meanLoad, now)
	for _, s := range candidates[1:] {
		if score := r.score(s, spec, medianLatency, meanLoad, now); score < bestScore {
			best = s
			bestScore = score
		}
	}
	return best.Upstream, true
}

// candidates returns the upstream that should have the prefix cached and some
// random others, of those that have capacity. Choose borrows slots of other hosts
// only when no slot of the host's own share is free, since hosts that act on the
// same delayed report would overload one upstream.
func (r *router) candidates(now time.Time, spec AttemptSpec, medianLatency float64, borrow bool) []*upstreamState {
	r.candidateBuffer = r.candidateBuffer[:0]
	preferred := ""
	if spec.Prefix != 0 {
		preferred = r.preferredAddress(spec.Prefix)
	}
	for _, s := range r.sorted {
		if slices.Contains(spec.Avoid, s.Address) || !r.hasCapacity(s, spec, medianLatency, borrow, now) {
			continue
		}
		r.candidateBuffer = append(r.candidateBuffer, s)
		if s.Address == preferred {
			end := len(r.candidateBuffer) - 1
			r.candidateBuffer[0], r.candidateBuffer[end] = r.candidateBuffer[end], r.candidateBuffer[0]
		}
	}
	for i := 1; i < min(len(r.candidateBuffer), maxCandidates); i++ {
		pick := i + r.random.IntN(len(r.candidateBuffer)-i)
		r.candidateBuffer[i], r.candidateBuffer[pick] = r.candidateBuffer[pick], r.candidateBuffer[i]
	}
	return r.candidateBuffer[:min(len(r.candidateBuffer), maxCandidates)]
}

// score returns the weighted estimate of the seconds until the attempt would
// finish, plus the weighted cost of recomputing its prompt. The lowest score wins.
func (r *router) score(s *upstreamState, spec AttemptSpec, medianLatency, meanLoad float64, now time.Time) float64 {
	slowness := 1.0
	if latency := s.interTokenLatency.valueAt(now); latency > 0 && medianLatency > 0 {
		slowness = max(1, latency/medianLatency)
	}
	load := s.load(now)
	occupancy := load / float64(s.slots())
	serviceTime := spec.Expected.Seconds() * slowness * (1 + occupancy)
	if occupancy >= 1 {
		serviceTime += spec.Expected.Seconds() * slowness * (occupancy - 0.9)
	}
	prefill := 0.0
	if !r.hasAffinity(s, spec.Prefix, load, meanLoad) {
		prefill = spec.Prefill.Seconds()
	}
	jitter := r.random.Float64() * 0.01 * spec.Expected.Seconds()
	return spec.WaitWeight*(serviceTime+prefill*slowness) + spec.CostWeight*prefill + jitter
}

// hasAffinity reports whether the upstream is the one that should have the
// prefix cached and its load is within the load bound.
func (r *router) hasAffinity(s *upstreamState, prefix uint64, load, meanLoad float64) bool {
	if prefix == 0 || load > r.loadBound*meanLoad+1 {
		return false
	}
	return s.Address == r.preferredAddress(prefix)
}

// preferredAddress returns the address of the upstream that should have the
// prefix cached, chosen by rendezvous hashing.
func (r *router) preferredAddress(prefix uint64) string {
	key := strconv.FormatUint(prefix, 16)
	best := ""
	var weight uint64
	for _, s := range r.sorted {
		w := xxhash.Sum64String(key + "\x00" + s.Address)
		if best == "" || w > weight {
			best = s.Address
			weight = w
		}
	}
	return best
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

func (r *router) Start(now time.Time, spec AttemptSpec, address string) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	s.inFlight++
	if spec.Long {
		s.inFlightLong++
	}
	if s.ejected {
		s.probeAttempt = spec.Attempt
	}
	s.lastProgress[spec.Attempt] = now
	r.specs[spec.Attempt] = spec
	r.startedAt[spec.Attempt] = now
}

func (r *router) Progress(now time.Time, attempt, address string, tokens int, first bool) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	last, running := s.lastProgress[attempt]
	if !running {
		return
	}
	s.lastProgress[attempt] = now
	if s.probeAttempt == attempt {
		s.readmit()
	}
	if first {
		s.timeToFirstToken.observe(now, now.Sub(r.startedAt[attempt]))
		return
	}
	if tokens > 0 {
		s.interTokenLatency.observe(now, now.Sub(last)/time.Duration(tokens))
	}
}

func (r *router) End(now time.Time, attempt, address string, failed bool) {
	spec := r.specs[attempt]
	delete(r.specs, attempt)
	delete(r.startedAt, attempt)
	s, ok := r.states[address]
	if !ok {
		return
	}
	if _, running := s.lastProgress[attempt]; !running {
		return
	}
	delete(s.lastProgress, attempt)
	s.inFlight--
	if spec.Long {
		s.inFlightLong--
	}
	if s.probeAttempt == attempt {
		s.failProbe(now)
	}
	if !failed {
		s.failures = 0
		return
	}
	s.failures++
	s.lastFailed = now
}

func (r *router) MarkLong(attempt, address string) {
	spec, ok := r.specs[attempt]
	s, known := r.states[address]
	if !ok || !known || spec.Long {
		return
	}
	spec.Long = true
	r.specs[attempt] = spec
	s.inFlightLong++
}

func (r *router) Report(now time.Time, address string, report Report) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	s.report = report
	s.reportedAt = now
	s.inFlightAtReport = s.inFlight
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

func (r *router) Status(now time.Time) []Status {
	statuses := make([]Status, len(r.sorted))
	for i, s := range r.sorted {
		statuses[i] = Status{
			Upstream: s.Upstream,
			Usable:   !s.ejected,
			Cause:    s.cause(now),
			InFlight: s.inFlight,
			Latency:  time.Duration(s.interTokenLatency.valueAt(now) * float64(time.Second)),
		}
	}
	return statuses
}

func (s *upstreamState) cause(now time.Time) string {
	if !s.ejected {
		return ""
	}
	if s.failures >= failuresToEject {
		return "ejected: repeated failures"
	}
	return "ejected: slow against its group since " + now.Sub(s.ejectedAt).Round(time.Second).String()
}
