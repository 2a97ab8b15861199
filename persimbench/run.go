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
	// policyInterval is the interval of periodic policy runs and the least interval between
	// decisions of the ideal policy.
	policyInterval = 20 * time.Millisecond
	// requeueDelay is the time until a request that the policy refused to requeue is
	// offered again.
	requeueDelay = 250 * time.Millisecond
	// initialBackoff is the wait of a refused caller. It doubles with each retry, at most
	// maxBackoffDoublings times.
	initialBackoff      = 500 * time.Millisecond
	maxBackoffDoublings = 4
	defaultDrain        = time.Minute
	slotsPerWorker      = 16
	// reclaimNotice is the time from a reclaim notice to the end of the workers.
	reclaimNotice = 10 * time.Second
	// migrationMargin is the time before the end of the notice at which the remaining
	// attempts are moved.
	migrationMargin = 2 * time.Second
	// hostChoiceStream selects the PCG stream that assigns requests to hosts.
	hostChoiceStream = 99
)

func itoa(n int) string { return strconv.Itoa(n) }

// Policies to compare.
const (
	PolicyBaseline PolicyName = "baseline"
	PolicyAdaptive PolicyName = "adaptive"
	PolicyIdeal    PolicyName = "ideal"
)

// PolicyName names a policy to compare.
type PolicyName string

// Scenario configures a simulation.
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
	// ReportLag is the interval of load reports and their age on delivery.
	ReportLag time.Duration
	// RetryRefused makes callers retry refused requests after the advised time.
	RetryRefused bool
	// CancelAtDeadline cancels requests that pass their deadline.
	CancelAtDeadline bool
	// Faults are injected during the run.
	Faults []Fault
	// Drain is the time after Duration in which requests may finish.
	Drain time.Duration
	// GreedyFactor is the rate of additional requests from the first organisation as a
	// multiple of the regular arrival rate; 0 adds none.
	GreedyFactor float64
}

// Fault changes the state of some workers at a time of the run.
type Fault struct {
	At time.Duration
	// Workers is the number of affected workers, counted from the first.
	Workers int
	Kind    FaultKind
	// SlowFactor multiplies the processing times of the workers.
	SlowFactor float64
}

// FaultKind is the kind of a fault.
type FaultKind int

// Kinds of faults. FaultReclaim and FaultReclaimExport give notice of the end of the
// workers; with the latter they export their KV caches.
const (
	FaultSlow FaultKind = iota
	FaultCrash
	FaultRecover
	FaultReclaim
	FaultReclaimExport
)

// DefaultScenario returns the Consorzio's deployment at 80 % load.
func DefaultScenario(policy PolicyName) Scenario {
	return Scenario{
		Policy:           policy,
		Profile:          persimprofile.DefaultProfile().WithName("bench").WithWeights(1, 2),
		Seed:             1,
		Hosts:            8,
		Workers:          12,
		Mix:              DefaultMix(),
		Load:             0.8,
		Duration:         5 * time.Minute,
		ReportLag:        time.Second,
		CancelAtDeadline: true,
		Drain:            defaultDrain,
	}
}

// simulation is the state of a running scenario.
type simulation struct {
	scenario        Scenario
	profile         persimprofile.Profile
	clock           *clock
	hostRNG         *rand.Rand
	workerByAddress map[string]*worker
	workers         []*worker
	hosts           []*entryHost
	stats           *stats
	generator       *requestGenerator
	greedyGenerator *requestGenerator
}

// Simulate runs a scenario and returns its result.
func Simulate(s Scenario) Result {
	sim := newSimulation(s)
	end := sim.clock.now.Add(s.Duration)
	sim.scheduleArrivals(end, sim.generator, s.arrivalRate())
	if s.GreedyFactor > 0 {
		sim.scheduleArrivals(end, sim.greedyGenerator, s.arrivalRate()*s.GreedyFactor)
	}
	for _, fault := range s.Faults {
		sim.clock.after(fault.At, func() { sim.applyFault(fault) })
	}
	sim.clock.every(policyInterval, end.Add(s.Drain), func() {
		for _, e := range sim.distinctHosts() {
			e.runPolicy()
		}
	})
	sim.clock.every(s.ReportLag, end.Add(s.Drain), sim.deliverReports)
	sim.clock.runUntil(end.Add(s.Drain))
	return sim.stats.result(s)
}

// requestCapacity returns the requests per second that full workers complete.
func (s Scenario) requestCapacity() float64 {
	return float64(s.Workers*slotsPerWorker) / s.Mix.meanServiceTime().Seconds()
}

// arrivalRate returns the requests per second that callers send.
func (s Scenario) arrivalRate() float64 { return s.Load * s.requestCapacity() }

func newSimulation(s Scenario) *simulation {
	sim := &simulation{
		scenario:        s,
		profile:         s.Profile,
		clock:           newClock(),
		hostRNG:         rand.New(rand.NewPCG(s.Seed, hostChoiceStream)),
		workerByAddress: map[string]*worker{},
		stats:           newStats(),
	}
	sim.generator = &requestGenerator{mix: s.Mix, rng: rand.New(rand.NewPCG(s.Seed, 1))}
	greedyMix := s.Mix
	greedyMix.OrganisationWeights = []float64{1}
	sim.greedyGenerator = &requestGenerator{mix: greedyMix, rng: rand.New(rand.NewPCG(s.Seed, 2)), serial: 1 << 30}
	var upstreams []persimrouter.Upstream
	for i := range s.Workers {
		w := &worker{address: "w" + itoa(i), clock: sim.clock, slots: slotsPerWorker, slowFactor: 1, stats: sim.stats}
		sim.workerByAddress[w.address] = w
		sim.workers = append(sim.workers, w)
		upstreams = append(upstreams, persimrouter.Upstream{Address: w.address, Incarnation: "1"})
	}
	sim.addHosts(upstreams)
	return sim
}

// addHosts adds the entry hosts. The ideal policy has one host in all places, since its
// decisions are global.
func (sim *simulation) addHosts(upstreams []persimrouter.Upstream) {
	var shared persimpolicy.Policy
	for i := range sim.scenario.Hosts {
		policy := shared
		if policy == nil {
			policy = sim.newPolicy(i)
			policy.SetUpstreams(upstreams)
		}
		if sim.scenario.Policy == PolicyIdeal {
			shared = policy
			if i > 0 {
				sim.hosts = append(sim.hosts, sim.hosts[0])
				continue
			}
		} else {
			policy.SetHosts(sim.scenario.Hosts)
		}
		sim.hosts = append(sim.hosts, &entryHost{
			sim: sim, policy: policy, requests: map[string]*request{}, attempts: map[string]*attempt{},
			attemptsByRequest: map[string][]*attempt{}, exportedCaches: map[string]bool{},
		})
	}
}

func (sim *simulation) newPolicy(host int) persimpolicy.Policy {
	switch sim.scenario.Policy {
	case PolicyBaseline:
		return persimpolicy.NewBaseline()
	case PolicyIdeal:
		return newIdealPolicy(sim)
	default:
		return persimpolicy.New(
			persimpolicy.WithHost("entry-"+itoa(host)),
			persimpolicy.WithRandom(rand.New(rand.NewPCG(sim.scenario.Seed, uint64(host)))))
	}
}

// distinctHosts returns the entry hosts without repetition.
func (sim *simulation) distinctHosts() []*entryHost {
	if sim.scenario.Policy == PolicyIdeal {
		return sim.hosts[:1]
	}
	return sim.hosts
}

// scheduleArrivals submits requests to random hosts as a Poisson process until end.
func (sim *simulation) scheduleArrivals(end time.Time, generator *requestGenerator, rate float64) {
	var arrive func()
	arrive = func() {
		if sim.clock.now.After(end) {
			return
		}
		request := generator.next(sim.clock.now)
		sim.stats.recordArrival(request)
		sim.hosts[sim.hostRNG.IntN(len(sim.hosts))].submit(request)
		sim.clock.after(time.Duration(generator.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	sim.clock.after(0, arrive)
}

// scheduleRetry submits a refused request again as a new one, as callers do, after the
// advised time or the backoff, whichever is longer.
func (sim *simulation) scheduleRetry(original *request, refusal persimpolicy.Refusal) {
	wait := max(refusal.RetryAfter, initialBackoff<<min(original.retries, maxBackoffDoublings))
	sim.clock.after(wait, func() {
		if sim.clock.now.After(original.deadline) {
			return
		}
		retry := *original
		retry.retries++
		retry.id = original.id + "+" + itoa(retry.retries)
		retry.refused = false
		retry.endedAt = time.Time{}
		sim.hosts[sim.hostRNG.IntN(len(sim.hosts))].submit(&retry)
	})
}

// deliverReports passes the load sampled at the previous call to all policies, which gives
// the reports their lag, and samples the load for the next call.
func (sim *simulation) deliverReports() {
	for _, w := range sim.workers {
		if w.lastReport.Slots > 0 && !w.down {
			for _, e := range sim.distinctHosts() {
				report := w.lastReport
				report.Age = sim.scenario.ReportLag
				e.policy.Report(sim.clock.now, w.address, report)
			}
		}
		w.lastReport = w.loadReport()
	}
}

func (sim *simulation) applyFault(f Fault) {
	if f.Kind == FaultReclaim || f.Kind == FaultReclaimExport {
		sim.reclaimWorkers(sim.workers[:f.Workers], f.Kind == FaultReclaimExport)
		return
	}
	for _, w := range sim.workers[:f.Workers] {
		switch f.Kind {
		case FaultSlow:
			w.slowFactor = f.SlowFactor
		case FaultCrash:
			w.down = true
			sim.failAttempts(w)
		case FaultRecover:
			w.down = false
			w.slowFactor = 1
		default:
		}
	}
}

// sortedAttempts returns the attempts in the order of their identifiers, so that runs are
// repeatable.
func (e *entryHost) sortedAttempts() []*attempt {
	attempts := make([]*attempt, 0, len(e.attempts))
	for _, a := range e.attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return attempts
}

// failAttempts fails all attempts on a worker.
func (sim *simulation) failAttempts(w *worker) {
	for _, e := range sim.distinctHosts() {
		for _, a := range e.sortedAttempts() {
			if a.worker == w {
				a.fail()
			}
		}
	}
}

// reclaimWorkers removes workers from the policies when the notice arrives and moves the
// remaining attempts shortly before it ends.
func (sim *simulation) reclaimWorkers(workers []*worker, exportsCache bool) {
	for _, w := range workers {
		w.leaving = true
	}
	var remaining []persimrouter.Upstream
	for _, w := range sim.workers {
		if !w.leaving {
			remaining = append(remaining, persimrouter.Upstream{Address: w.address, Incarnation: "1"})
		}
	}
	for _, e := range sim.distinctHosts() {
		e.policy.SetUpstreams(remaining)
	}
	sim.clock.after(reclaimNotice-migrationMargin, func() {
		for _, w := range workers {
			w.down = true
			for _, e := range sim.distinctHosts() {
				e.migrateAttempts(w, exportsCache)
			}
		}
	})
}
