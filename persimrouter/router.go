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
	DefaultReserve   = 0.25
	DefaultSlowRatio = 3.0
	DefaultEjectable = 0.34
	DefaultProbation = 2 * time.Second
	DefaultBound     = 1.25
	DefaultSubset    = 64

	minSilence     = time.Second
	minSamples     = 2
	failuresToDrop = 3
	// choices is the number of upstreams that are compared for one attempt.
	choices = 3
)

type config struct {
	host      string
	reserve   float64
	slowRatio float64
	ejectable float64
	probation time.Duration
	bound     float64
	subset    int
	random    *rand.Rand
}

// An Option changes the configuration of a router.
type Option func(*config)

// WithHost names the entry host, which decides its subset of a large group.
func WithHost(host string) Option { return func(c *config) { c.host = host } }

// WithReserve sets the share of slots that only short work may use.
func WithReserve(share float64) Option { return func(c *config) { c.reserve = share } }

// WithSlowRatio sets how many times slower than the group's median a slow upstream is.
func WithSlowRatio(ratio float64) Option { return func(c *config) { c.slowRatio = ratio } }

// WithEjectable sets the largest share of a group that may be ejected.
func WithEjectable(share float64) Option { return func(c *config) { c.ejectable = share } }

// WithSubset sets the largest number of upstreams that the host uses.
func WithSubset(size int) Option { return func(c *config) { c.subset = size } }

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(c *config) { c.random = random } }

// A Need is what one attempt asks of an upstream.
type Need struct {
	// Attempt names the attempt.
	Attempt string
	// Prefix is the hash of the prompt's head; equal heads share cached work.
	Prefix uint64
	// Prefill is the time to compute the prompt where it is not cached.
	Prefill time.Duration
	// Expected is the service time that is expected.
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
	// SetUpstreams replaces the set of upstreams and keeps what is known of those that stay.
	SetUpstreams(upstreams []Upstream)
	// SetHosts sets the number of entry hosts that share the upstreams.
	SetHosts(hosts int)
	// Choose returns the best upstream for an attempt, or false when none has room.
	Choose(now time.Time, need Need) (Upstream, bool)
	// Probe returns an ejected upstream that is due for a second attempt of a job
	// that runs elsewhere. If the second attempt is first, the upstream is readmitted.
	Probe(now time.Time, need Need) (Upstream, bool)
	// Start counts an attempt as sent.
	Start(now time.Time, need Need, address string)
	// Progress records tokens of an attempt; the first ones record the time to the first token.
	Progress(now time.Time, attempt, address string, tokens int, first bool)
	// End removes an attempt; failed says whether the upstream was at fault.
	End(now time.Time, attempt, address string, failed bool)
	// Reclassify counts a running attempt as long.
	Reclassify(attempt, address string)
	// Report records what an upstream said about its load.
	Report(now time.Time, address string, report Report)
	// Observe updates which upstreams are ejected.
	Observe(now time.Time)
	// Load estimates the attempts in all upstreams, from all hosts.
	Load(now time.Time) float64
	// Slots returns the number of attempts that the host may have in progress.
	Slots() int
	// Status returns what is known of each upstream.
	Status(now time.Time) []Status
}

// A Status tells an operator why an upstream is or is not used.
type Status struct {
	Upstream
	Usable   bool
	Cause    string
	InFlight int
	Latency  time.Duration
}

type router struct {
	config
	hosts   int
	states  map[string]*state
	order   []*state
	needs   map[string]Need
	started map[string]time.Time
	scratch []*state
}

// New returns a router without upstreams.
func New(opts ...Option) Router {
	c := config{
		reserve:   DefaultReserve,
		slowRatio: DefaultSlowRatio,
		ejectable: DefaultEjectable,
		probation: DefaultProbation,
		bound:     DefaultBound,
		subset:    DefaultSubset,
		random:    rand.New(rand.NewPCG(1, 2)),
	}
	for _, opt := range opts {
		opt(&c)
	}
	return &router{
		config:  c,
		hosts:   1,
		states:  map[string]*state{},
		needs:   map[string]Need{},
		started: map[string]time.Time{},
	}
}

func (r *router) SetHosts(hosts int) { r.hosts = max(1, hosts) }

func (r *router) SetUpstreams(upstreams []Upstream) {
	kept := map[string]*state{}
	for _, upstream := range r.pickSubset(upstreams) {
		known, ok := r.states[upstream.Address]
		if !ok || known.Incarnation != upstream.Incarnation {
			known = newState(upstream)
		}
		kept[upstream.Address] = known
	}
	r.states = kept
	r.order = r.order[:0]
	for _, s := range kept {
		r.order = append(r.order, s)
	}
	slices.SortFunc(r.order, func(a, b *state) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
}

// pickSubset keeps the upstreams that rank highest for this host, so that each
// upstream is used by about the same number of hosts.
func (r *router) pickSubset(upstreams []Upstream) []Upstream {
	if len(upstreams) <= r.subset {
		return upstreams
	}
	ranked := slices.Clone(upstreams)
	slices.SortFunc(ranked, func(a, b Upstream) int {
		first := xxhash.Sum64String(r.host + "\x00" + a.Address)
		second := xxhash.Sum64String(r.host + "\x00" + b.Address)
		if first > second {
			return -1
		}
		return 1
	})
	return ranked[:r.subset]
}

// limit returns the number of attempts that this host may have in an upstream.
func (r *router) limit(s *state, median float64, now time.Time) int {
	share := float64(s.slots()) / float64(r.hosts)
	own := s.gap.fresh(now)
	if own > 0 && median > 0 && own > 1.5*median {
		share *= 1.5 * median / own
	}
	return max(1, int(share+0.5))
}

// hasRoom reports whether the upstream has room for an attempt of this host: its
// share of the slots and, when borrowing, its share of those that a late report
// shows as free.
func (r *router) hasRoom(s *state, need Need, median float64, borrow bool, now time.Time) bool {
	if s.ejected {
		return false
	}
	limit := r.limit(s, median, now)
	if borrow {
		free := max(0, float64(s.slots())-s.load(now))
		limit += int(free / float64(r.hosts))
	}
	if !need.Long {
		return s.own < limit
	}
	longLimit := max(1, int(float64(limit)*(1-r.reserve)+0.5))
	return s.own < limit && s.ownLong < longLimit
}

func (r *router) Choose(now time.Time, need Need) (Upstream, bool) {
	median := r.medianGap(now)
	candidates := r.candidates(now, need, median, false)
	if len(candidates) == 0 {
		candidates = r.candidates(now, need, median, true)
	}
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	mean := r.meanLoad(now)
	best := candidates[0]
	bestScore := r.score(best, need, median, mean, now)
	for _, s := range candidates[1:] {
		if score := r.score(s, need, median, mean, now); score < bestScore {
			best = s
			bestScore = score
		}
	}
	return best.Upstream, true
}

// candidates returns the upstream that should have the prefix cached and some
// others at random, of those that have room. Slots of other hosts are borrowed
// only when no own share is free, since hosts that read the same late report
// would crowd one upstream.
func (r *router) candidates(now time.Time, need Need, median float64, borrow bool) []*state {
	r.scratch = r.scratch[:0]
	home := ""
	if need.Prefix != 0 {
		home = r.home(need.Prefix)
	}
	for _, s := range r.order {
		if slices.Contains(need.Avoid, s.Address) || !r.hasRoom(s, need, median, borrow, now) {
			continue
		}
		r.scratch = append(r.scratch, s)
		if s.Address == home {
			last := len(r.scratch) - 1
			r.scratch[0], r.scratch[last] = r.scratch[last], r.scratch[0]
		}
	}
	for i := 1; i < min(len(r.scratch), choices); i++ {
		pick := i + r.random.IntN(len(r.scratch)-i)
		r.scratch[i], r.scratch[pick] = r.scratch[pick], r.scratch[i]
	}
	return r.scratch[:min(len(r.scratch), choices)]
}

// score estimates the seconds until the attempt would finish, plus the weighted
// cost of computing its prompt again.
func (r *router) score(s *state, need Need, median, mean float64, now time.Time) float64 {
	slowness := 1.0
	if own := s.gap.fresh(now); own > 0 && median > 0 {
		slowness = max(1, own/median)
	}
	load := s.load(now)
	occupancy := load / float64(s.slots())
	service := need.Expected.Seconds() * slowness * (1 + occupancy)
	if occupancy >= 1 {
		service += need.Expected.Seconds() * slowness * (occupancy - 0.9)
	}
	prefill := 0.0
	if !r.hasAffinity(s, need.Prefix, load, mean) {
		prefill = need.Prefill.Seconds()
	}
	jitter := r.random.Float64() * 0.01 * need.Expected.Seconds()
	return need.WaitWeight*(service+prefill*slowness) + need.CostWeight*prefill + jitter
}

// hasAffinity reports whether the upstream is the one that should have the
// prefix cached and carries no more than its bounded load.
func (r *router) hasAffinity(s *state, prefix uint64, load, mean float64) bool {
	if prefix == 0 || load > r.bound*mean+1 {
		return false
	}
	return s.Address == r.home(prefix)
}

func (r *router) home(prefix uint64) string {
	head := strconv.FormatUint(prefix, 16)
	best := ""
	var weight uint64
	for _, s := range r.order {
		w := xxhash.Sum64String(head + "\x00" + s.Address)
		if best == "" || w > weight {
			best = s.Address
			weight = w
		}
	}
	return best
}

func (r *router) Load(now time.Time) float64 {
	total := 0.0
	for _, s := range r.order {
		total += s.load(now)
	}
	return total
}

func (r *router) meanLoad(now time.Time) float64 {
	return r.Load(now) / float64(max(1, len(r.order)))
}

func (r *router) Start(now time.Time, need Need, address string) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	s.own++
	if need.Long {
		s.ownLong++
	}
	if s.ejected {
		s.probing = need.Attempt
	}
	s.oldest[need.Attempt] = now
	r.needs[need.Attempt] = need
	r.started[need.Attempt] = now
}

func (r *router) Progress(now time.Time, attempt, address string, tokens int, first bool) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	since, running := s.oldest[attempt]
	if !running {
		return
	}
	s.oldest[attempt] = now
	if s.probing == attempt {
		s.readmit()
	}
	if first {
		s.first.add(now, now.Sub(r.started[attempt]))
		return
	}
	if tokens > 0 {
		s.gap.add(now, now.Sub(since)/time.Duration(tokens))
	}
}

func (r *router) End(now time.Time, attempt, address string, failed bool) {
	need := r.needs[attempt]
	delete(r.needs, attempt)
	delete(r.started, attempt)
	s, ok := r.states[address]
	if !ok {
		return
	}
	if _, running := s.oldest[attempt]; !running {
		return
	}
	delete(s.oldest, attempt)
	s.own--
	if need.Long {
		s.ownLong--
	}
	if s.probing == attempt {
		s.endProbe(now)
	}
	if !failed {
		s.failures = 0
		return
	}
	s.failures++
	s.lastFailed = now
}

func (r *router) Reclassify(attempt, address string) {
	need, ok := r.needs[attempt]
	s, known := r.states[address]
	if !ok || !known || need.Long {
		return
	}
	need.Long = true
	r.needs[attempt] = need
	s.ownLong++
}

func (r *router) Report(now time.Time, address string, report Report) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	s.report = report
	s.reportAt = now
	s.ownAtTime = s.own
}

func (r *router) Slots() int {
	total := 0
	for _, s := range r.order {
		if !s.ejected {
			total += max(1, s.slots()/r.hosts)
		}
	}
	return total
}

func (r *router) Status(now time.Time) []Status {
	statuses := make([]Status, len(r.order))
	for i, s := range r.order {
		statuses[i] = Status{
			Upstream: s.Upstream,
			Usable:   !s.ejected,
			Cause:    s.cause(now),
			InFlight: s.own,
			Latency:  time.Duration(s.gap.fresh(now) * float64(time.Second)),
		}
	}
	return statuses
}

func (s *state) cause(now time.Time) string {
	if !s.ejected {
		return ""
	}
	if s.failures >= failuresToDrop {
		return "ejected: repeated failures"
	}
	return "ejected: slow against its group since " + now.Sub(s.ejectedAt).Round(time.Second).String()
}
