package persimbench

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimrouter"
)

const (
	decideInterval = 20 * time.Millisecond
	retryPause     = 250 * time.Millisecond
	// firstBackoff doubles with each try of a refused caller.
	firstBackoff    = 500 * time.Millisecond
	maxBackoffSteps = 4
	drainTime       = time.Minute
	defaultSlots    = 16
	// noticeTime is the time from a reclaim notice to the end of the workers.
	noticeTime    = 10 * time.Second
	migrateMargin = 2 * time.Second
	seedStream    = 99
)

func itoa(n int) string { return strconv.Itoa(n) }

// Policies to compare.
const (
	PolicyBaseline PolicyName = "baseline"
	PolicyAdaptive PolicyName = "adaptive"
	PolicyIdeal    PolicyName = "ideal"
)

// A PolicyName names a policy to compare.
type PolicyName string

// A Scenario describes one run.
type Scenario struct {
	Policy  PolicyName
	Profile persimprofile.Profile
	Seed    uint64
	Hosts   int
	Workers int
	Mix     Mix
	// Load is the offered load as a share of the capacity.
	Load     float64
	Duration time.Duration
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// Retry makes callers repeat refused requests after the advised time.
	Retry bool
	// Cancel ends requests at their deadline.
	Cancel bool
	// Faults happen during the run.
	Faults []Fault
	// Drain is the time after the last arrival in which requests may finish.
	Drain time.Duration
	// Greedy multiplies the requests of the first organisation.
	Greedy float64
}

// A Fault changes workers at a time of the run.
type Fault struct {
	At time.Duration
	// Workers is the number of workers that the fault concerns, from the first on.
	Workers int
	Kind    FaultKind
	// Slow multiplies the times of the workers.
	Slow float64
}

// A FaultKind says what a fault does.
type FaultKind int

// Kinds of faults.
const (
	FaultSlow FaultKind = iota
	FaultDie
	FaultReturn
	FaultReclaim
	FaultReclaimExport
)

// DefaultScenario returns the Consorzio's deployment at 80 % load.
func DefaultScenario(policy PolicyName) Scenario {
	return Scenario{
		Policy:    policy,
		Profile:   persimprofile.DefaultProfile().WithName("bench").WithWeights(1, 2),
		Seed:      1,
		Hosts:     8,
		Workers:   12,
		Mix:       DefaultMix(),
		Load:      0.8,
		Duration:  5 * time.Minute,
		ReportLag: time.Second,
		Cancel:    true,
		Drain:     drainTime,
	}
}

// run is one scenario in progress.
type run struct {
	scenario Scenario
	profile  persimprofile.Profile
	clock    *clock
	random   *rand.Rand
	workers  map[string]*worker
	order    []*worker
	entries  []*entry
	stats    *stats
	source   *generator
	greedy   *generator
}

// Run runs a scenario and returns what it has shown.
func Run(s Scenario) Result {
	r := newRun(s)
	end := r.clock.now.Add(s.Duration)
	r.scheduleArrivals(end, r.source, s.rate())
	if s.Greedy > 0 {
		r.scheduleArrivals(end, r.greedy, s.rate()*s.Greedy)
	}
	for _, fault := range s.Faults {
		r.clock.after(fault.At, func() { r.apply(fault) })
	}
	r.clock.every(decideInterval, end.Add(s.Drain), func() {
		for _, e := range r.distinct() {
			e.decide()
		}
	})
	r.clock.every(s.ReportLag, end.Add(s.Drain), r.report)
	r.clock.run(end.Add(s.Drain))
	return r.stats.result(s)
}

// capacity is the number of requests that the workers finish in a second when full.
func (s Scenario) capacity() float64 {
	return float64(s.Workers*defaultSlots) / s.Mix.serviceTime().Seconds()
}

func (s Scenario) rate() float64 { return s.Load * s.capacity() }

func newRun(s Scenario) *run {
	r := &run{
		scenario: s,
		profile:  s.Profile,
		clock:    newClock(),
		random:   rand.New(rand.NewPCG(s.Seed, seedStream)),
		workers:  map[string]*worker{},
		stats:    newStats(),
	}
	r.source = &generator{mix: s.Mix, random: rand.New(rand.NewPCG(s.Seed, 1))}
	greedy := s.Mix
	greedy.Organisations = []float64{1}
	r.greedy = &generator{mix: greedy, random: rand.New(rand.NewPCG(s.Seed, 2)), serial: 1 << 30}
	var upstreams []persimrouter.Upstream
	for i := range s.Workers {
		w := &worker{address: "w" + itoa(i), clock: r.clock, slots: defaultSlots, slow: 1, stats: r.stats}
		r.workers[w.address] = w
		r.order = append(r.order, w)
		upstreams = append(upstreams, persimrouter.Upstream{Address: w.address, Incarnation: "1"})
	}
	r.addEntries(upstreams)
	return r
}

func (r *run) addEntries(upstreams []persimrouter.Upstream) {
	var shared persimpolicy.Policy
	for i := range r.scenario.Hosts {
		policy := shared
		if policy == nil {
			policy = r.newPolicy(i)
			policy.SetUpstreams(upstreams)
		}
		if r.scenario.Policy == PolicyIdeal {
			shared = policy
			if i > 0 {
				r.entries = append(r.entries, r.entries[0])
				continue
			}
		} else {
			policy.SetHosts(r.scenario.Hosts)
		}
		r.entries = append(r.entries, &entry{
			run: r, policy: policy, requests: map[string]*request{}, streams: map[string]*stream{},
			byJob: map[string][]*stream{}, caches: map[string]bool{},
		})
	}
}

func (r *run) newPolicy(host int) persimpolicy.Policy {
	switch r.scenario.Policy {
	case PolicyBaseline:
		return persimpolicy.NewBaseline()
	case PolicyIdeal:
		return newIdeal(r)
	default:
		return persimpolicy.New(
			persimpolicy.WithHost("entry-"+itoa(host)),
			persimpolicy.WithRandom(rand.New(rand.NewPCG(r.scenario.Seed, uint64(host)))))
	}
}

// distinct returns the entries without repetition.
func (r *run) distinct() []*entry {
	if r.scenario.Policy == PolicyIdeal {
		return r.entries[:1]
	}
	return r.entries
}

func (r *run) scheduleArrivals(end time.Time, source *generator, rate float64) {
	var next func()
	next = func() {
		if r.clock.now.After(end) {
			return
		}
		request := source.next(r.clock.now)
		r.stats.arrived(request)
		r.entries[r.random.IntN(len(r.entries))].offer(request)
		r.clock.after(time.Duration(source.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	r.clock.after(0, next)
}

// retryLater repeats a refused request as a new one, as callers do.
func (r *run) retryLater(old *request, refusal persimpolicy.Refusal) {
	wait := max(refusal.RetryAfter, firstBackoff<<min(old.tries, maxBackoffSteps))
	r.clock.after(wait, func() {
		if r.clock.now.After(old.deadline) {
			return
		}
		again := *old
		again.tries++
		again.id = old.id + "+" + itoa(again.tries)
		again.refused = false
		again.ended = time.Time{}
		r.entries[r.random.IntN(len(r.entries))].offer(&again)
	})
}

// report hands the load of the last interval to all policies, which makes reports lag.
func (r *run) report() {
	for _, w := range r.order {
		if w.report.Slots > 0 && !w.dead {
			for _, e := range r.distinct() {
				report := w.report
				report.Age = r.scenario.ReportLag
				e.policy.Report(r.clock.now, w.address, report)
			}
		}
		w.report = w.snapshot()
	}
}

func (r *run) apply(f Fault) {
	if f.Kind == FaultReclaim || f.Kind == FaultReclaimExport {
		r.reclaim(r.order[:f.Workers], f.Kind == FaultReclaimExport)
		return
	}
	for _, w := range r.order[:f.Workers] {
		switch f.Kind {
		case FaultSlow:
			w.slow = f.Slow
		case FaultDie:
			w.dead = true
			r.failAll(w)
		case FaultReturn:
			w.dead = false
			w.slow = 1
		default:
		}
	}
}

func (e *entry) sorted() []*stream {
	streams := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		streams = append(streams, s)
	}
	slices.SortFunc(streams, func(a, b *stream) int {
		if a.attempt < b.attempt {
			return -1
		}
		return 1
	})
	return streams
}

func (r *run) failAll(w *worker) {
	for _, e := range r.distinct() {
		for _, s := range e.sorted() {
			if s.worker == w {
				s.fail()
			}
		}
	}
}

// reclaim takes workers from the policies at the notice, and moves the streams
// that are left shortly before its end.
func (r *run) reclaim(workers []*worker, exports bool) {
	for _, w := range workers {
		w.leaving = true
	}
	var left []persimrouter.Upstream
	for _, w := range r.order {
		if !w.leaving {
			left = append(left, persimrouter.Upstream{Address: w.address, Incarnation: "1"})
		}
	}
	for _, e := range r.distinct() {
		e.policy.SetUpstreams(left)
	}
	r.clock.after(noticeTime-migrateMargin, func() {
		for _, w := range workers {
			w.dead = true
			for _, e := range r.distinct() {
				e.migrate(w, exports)
			}
		}
	})
}
