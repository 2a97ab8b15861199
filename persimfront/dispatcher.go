package persimfront

import (
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimengine"
	"persimmonport.example/persimmetric"
	"persimmonport.example/persimplace"
	"persimmonport.example/persimpressure"
	"persimmonport.example/persimquarantine"
	"persimmonport.example/persimquota"
	"persimmonport.example/persimretry"
	"persimmonport.example/persimrollout"
	"persimmonport.example/persimsettings"
)

const (
	// quotaOverdraftShare is the share of the permitted quota slack that all hosts
	// together use as overdraft. The rest covers admissions that they learn of late.
	quotaOverdraftShare = 0.9
	// retryBudgetShare is the share of the permitted retries that all hosts together use.
	retryBudgetShare = 0.7
	// targetTolerance is the multiple of the route's target latency up to which the
	// expected time to the first response is accepted.
	targetTolerance = 1.25
	// retryAfterJitter is the largest share by which Retry-After is extended at random,
	// so that callers do not return together.
	retryAfterJitter = 0.5
	// minRetryAfter and maxRetryAfter limit Retry-After before jitter is added.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// demandWindow is the time over which demand is averaged, minDemandWindow the
	// shortest time that demand which has just started is averaged over.
	demandWindow    = 3 * time.Second
	minDemandWindow = time.Second
)

// Demand is the work for a service that arrives at a host, per second.
type Demand struct {
	// PrefillTokens is the number of prompt tokens that an upstream has to prefill because
	// it is not expected to have them cached.
	PrefillTokens float64
	// OutputTokens is the number of tokens that may be generated.
	OutputTokens float64
	// Refused is the number of requests that no upstream was expected to serve in time.
	Refused  float64
	Requests float64
	// Busy is the number of upstreams that the work keeps busy.
	Busy float64
	// Speed is the speed of the service's engines, or zero where it was not learned here.
	Speed persimengine.Speed
	// Ranked is the part of Busy of each organisation and priority, for services whose
	// configuration allows them to be ranked.
	Ranked persimadmit.Loads
}

func (d Demand) scaled(factor float64) Demand {
	d.PrefillTokens *= factor
	d.OutputTokens *= factor
	d.Refused *= factor
	d.Requests *= factor
	return d
}

// dispatcher holds the quotas, placers, retry budgets and demand averages that all
// requests share. It is not safe for concurrent use.
type dispatcher struct {
	bounds       persimsettings.Bounds
	quotaLimiter persimquota.Limiter
	placers      map[string]persimplace.Placer
	// usable are the upstreams of all services that take requests.
	usable    map[persimcatalog.Incarnation]bool
	budgets   map[string]persimretry.Window
	demand    map[string]Demand
	decayedAt time.Time
	// activeSince is the time of the first demand after a pause of more than
	// demandWindow, lastCounted that of the latest.
	activeSince time.Time
	lastCounted time.Time
	hostCount   int
	// observedHosts are the other hosts if each of them is observed.
	observedHosts []string
	quarantine    persimquarantine.Quarantine
	pressure      persimpressure.Pressure
	// rollouts is nil where the deployment has none.
	rollouts persimrollout.Traffic
	// streams are the streams in progress that another upstream can continue.
	streams   map[*movableStream]struct{}
	metrics   persimmetric.Metrics
	admission *admission
	// quarantined are the prompt parts that were quarantined when it was last logged.
	quarantined map[uint64]bool
}

func newDispatcher(bounds persimsettings.Bounds) *dispatcher {
	return &dispatcher{
		bounds:       bounds,
		quotaLimiter: persimquota.New(persimquota.WithOverdraft(bounds.QuotaSlack * quotaOverdraftShare)),
		placers:      map[string]persimplace.Placer{},
		budgets:      map[string]persimretry.Window{},
		demand:       map[string]Demand{},
		hostCount:    1,
		quarantine:   persimquarantine.New(),
		pressure:     persimpressure.New(),
		streams:      map[*movableStream]struct{}{},
		admission:    newAdmission(),
	}
}

func (d *dispatcher) setCatalogue(now time.Time, catalogue persimcatalog.Catalogue) {
	quotas := map[string]persimcatalog.Quota{}
	for name, organisation := range catalogue.Organisations() {
		quotas[name] = organisation.Quota
	}
	d.quotaLimiter.SetQuotas(now, quotas)
	for name, service := range catalogue.Services() {
		capacity := 0
		if service.Engine != nil {
			capacity = service.Engine.KVCapacityTokens
		}
		d.placer(name).SetCacheCapacity(capacity)
	}
	d.admission.setCatalogue(catalogue)
}

// placer returns the placer of a service and creates it on first use.
func (d *dispatcher) placer(service string) persimplace.Placer {
	placer, ok := d.placers[service]
	if !ok {
		placer = persimplace.New(
			persimplace.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), 1))),
			persimplace.WithGate(d.pressure),
			persimplace.WithCapacities(persimengine.NewCapacities(rand.Uint64())))
		d.placers[service] = placer
	}
	return placer
}

func (d *dispatcher) setUpstreams(now time.Time, upstreams map[string][]persimcatalog.Upstream) {
	for name, placer := range d.placers {
		placer.SetUpstreams(upstreams[name])
	}
	for name, list := range upstreams {
		d.placer(name).SetUpstreams(list)
	}
	d.pressure.SetUpstreams(now, incarnations(upstreams))
	d.usable = usable(upstreams)
	if d.rollouts != nil {
		d.rollouts.SetUpstreams(now, upstreams)
	}
}

// usable returns the incarnations of the upstreams that are not leaving.
func usable(upstreams map[string][]persimcatalog.Upstream) map[persimcatalog.Incarnation]bool {
	all := map[persimcatalog.Incarnation]bool{}
	for _, list := range upstreams {
		for _, upstream := range list {
			if !upstream.Leaving {
				all[upstream.Incarnation] = true
			}
		}
	}
	return all
}

// incarnations returns the incarnations of all upstreams.
func incarnations(upstreams map[string][]persimcatalog.Upstream) []persimcatalog.Incarnation {
	var all []persimcatalog.Incarnation
	for _, list := range upstreams {
		for _, upstream := range list {
			all = append(all, upstream.Incarnation)
		}
	}
	return all
}

// allOthers is the host name under which placers keep the loads of all other hosts
// together.
const allOthers = "*"

func (d *dispatcher) setHosts(now time.Time, hosts []string) {
	d.divideBudgets(len(hosts) + 1)
	d.quotaLimiter.SetHosts(now, hosts)
	d.forgetLoads(now, allOthers)
	d.observedHosts = hosts
}

func (d *dispatcher) setHostCount(now time.Time, hosts int) {
	d.divideBudgets(hosts + 1)
	d.quotaLimiter.SetHostCount(now, hosts)
	d.forgetLoads(now, d.observedHosts...)
	d.observedHosts = nil
}

// divideBudgets divides the retry budgets and the probes of quarantined prompt parts among
// a number of hosts.
func (d *dispatcher) divideBudgets(hosts int) {
	d.hostCount = hosts
	d.admission.hostCount = hosts
	d.quarantine.SetHosts(hosts)
	for _, budget := range d.budgets {
		budget.SetHosts(hosts)
	}
}

func (d *dispatcher) forgetLoads(now time.Time, hosts ...string) {
	for _, placer := range d.placers {
		for _, host := range hosts {
			placer.SetPeerLoads(now, host, nil)
			placer.SetPeerEvidence(now, host, nil)
		}
	}
	for _, host := range hosts {
		delete(d.admission.others, host)
	}
}

// observeOthers records the summed state of all other hosts.
func (d *dispatcher) observeOthers(now, at time.Time, hosts int, state SharedState) {
	d.quotaLimiter.ObserveSum(now, at, hosts, state.Admitted)
	for _, placer := range d.placers {
		placer.SetPeerLoads(now, allOthers, state.Loads)
		placer.SetPeerEvidence(now, allOthers, state.Evidence)
	}
	d.admission.observe(at, allOthers, hosts, state.Ranked)
}

func (d *dispatcher) recordReports(reports map[uint64]persimplace.TimedReport) {
	for _, placer := range d.placers {
		for upstream, report := range reports {
			placer.RecordReport(report.At, upstream, report.Report)
		}
	}
}

// observe records the state that another host sent.
func (d *dispatcher) observe(now time.Time, host, incarnation string, state SharedState) {
	d.quotaLimiter.Observe(now, now, host, incarnation, state.Admitted)
	for _, placer := range d.placers {
		placer.SetPeerLoads(now, host, state.Loads)
		placer.SetPeerEvidence(now, host, state.Evidence)
	}
	d.admission.observe(now, host, 1, state.Ranked)
	d.recordReports(state.Reports)
}

func (d *dispatcher) sharedState(now time.Time) SharedState {
	state := SharedState{
		Loads:    map[uint64]persimplace.PeerLoad{},
		Reports:  map[uint64]persimplace.TimedReport{},
		Evidence: persimengine.Evidence{},
		Admitted: d.quotaLimiter.Admitted(),
		Crashes:  d.crashEvidence(now),
		Pressure: d.pressure.News(now),
	}
	for _, placer := range d.placers {
		maps.Copy(state.Loads, placer.OwnLoads())
		maps.Copy(state.Reports, placer.Reports(now))
		maps.Copy(state.Evidence, placer.Evidence(now))
	}
	state.Evidence.Trim()
	return state
}

// crashEvidence returns what is known of prompt parts that crash upstreams.
func (d *dispatcher) crashEvidence(now time.Time) persimquarantine.Evidence {
	evidence := d.quarantine.Evidence(now)
	quarantined := make(map[uint64]bool, len(evidence.Quarantined))
	for _, part := range evidence.Quarantined {
		quarantined[part.Part] = true
	}
	d.logQuarantine(quarantined)
	return evidence
}

// budget returns the retry budget of a service and creates it on first use.
func (d *dispatcher) budget(now time.Time, service string) persimretry.Window {
	budget, ok := d.budgets[service]
	if !ok {
		budget = persimretry.NewWindow(now,
			persimretry.WithRatio(d.bounds.RetryRatio*retryBudgetShare),
			persimretry.WithSlack(d.bounds.RetrySlack*retryBudgetShare),
			persimretry.WithLength(max(time.Second, d.bounds.RetryWindow)))
		budget.SetHosts(d.hostCount)
		d.budgets[service] = budget
	}
	return budget
}

// admit counts a request in the retry budget of its service and charges its cost to the
// organisation's quota, if there is an organisation. Only what the quota admits is demand for
// the service: upstreams for the rest would have nothing to do.
func (d *dispatcher) admit(now time.Time, service, organisation string, cost float64, demand Demand) (time.Duration, bool) {
	d.budget(now, service).RecordRequest(now)
	if organisation != "" {
		if wait, ok := d.quotaLimiter.Admit(now, organisation, cost); !ok {
			return wait, false
		}
	}
	d.addDemand(now, service, demand)
	return 0, true
}

// addDemand adds to the demand average of a service.
func (d *dispatcher) addDemand(now time.Time, service string, demand Demand) {
	d.decay(now)
	if now.Sub(d.lastCounted) > demandWindow {
		d.activeSince = now
	}
	d.lastCounted = now
	demand = demand.scaled(1 / demandWindow.Seconds())
	sum := d.demand[service]
	sum.PrefillTokens += demand.PrefillTokens
	sum.OutputTokens += demand.OutputTokens
	sum.Refused += demand.Refused
	sum.Requests += demand.Requests
	d.demand[service] = sum
}

// decay reduces the sums so that demand fades out over demandWindow.
func (d *dispatcher) decay(now time.Time) {
	elapsed := now.Sub(d.decayedAt)
	if elapsed <= 0 {
		return
	}
	d.decayedAt = now
	factor := max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
	for name, sum := range d.demand {
		d.demand[name] = sum.scaled(factor)
	}
}

// demandRates returns the demand per second, by service.
func (d *dispatcher) demandRates(now time.Time) map[string]Demand {
	d.decay(now)
	rates := make(map[string]Demand, len(d.demand))
	for name, sum := range d.demand {
		rate := sum.scaled(d.biasCorrection(now))
		rate.Busy = d.placer(name).Busy(rate.PrefillTokens, rate.OutputTokens)
		if speed, learned := d.placer(name).Speed(); learned {
			rate.Speed = speed
		}
		rate.Ranked = d.admission.ownLoads(now, name, d.placer(name).Busy).Bounded(maxRankedLoads)
		rates[name] = rate
	}
	return rates
}

// assumeSpeeds takes over the speeds that another host has learned, for services whose
// speed this host has not learned itself.
func (d *dispatcher) assumeSpeeds(demand map[string]Demand) {
	for name, peer := range demand {
		if placer, ok := d.placers[name]; ok && peer.Speed != (persimengine.Speed{}) {
			placer.AssumeSpeed(peer.Speed)
		}
	}
}

func (d *dispatcher) takePrefills() map[string][]persimengine.Prefill {
	taken := map[string][]persimengine.Prefill{}
	for name, placer := range d.placers {
		if prefills := placer.TakePrefills(); len(prefills) > 0 {
			taken[name] = prefills
		}
	}
	return taken
}

func (d *dispatcher) recordPrefills(prefills map[string][]persimengine.Prefill) {
	for name, list := range prefills {
		if placer, ok := d.placers[name]; ok {
			placer.RecordPrefills(list)
		}
	}
}

// biasCorrection returns the factor that corrects the average, which is too low
// while requests have arrived for less than demandWindow.
func (d *dispatcher) biasCorrection(now time.Time) float64 {
	active := max(now.Sub(d.activeSince), minDemandWindow)
	return 1 / (1 - math.Exp(-active.Seconds()/demandWindow.Seconds()))
}

// withJitter extends a delay by a random share.
func withJitter(delay time.Duration) time.Duration {
	return delay + time.Duration(rand.Float64()*retryAfterJitter*float64(delay))
}

// hashID returns the hash of a request's id by which the route's traffic split picks
// a service.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
