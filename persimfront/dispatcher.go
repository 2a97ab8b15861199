package persimfront

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"time"

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
)

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
	// limited are the upstreams that were known to have less capacity when it was last logged.
	limited map[persimcatalog.Incarnation]bool
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

// recordArrival counts a request in the retry budget of its service and charges its cost to the
// organisation's quota, if there is an organisation. Only what the quota admits is demand for
// the service: upstreams for the rest would have nothing to do.
func (d *dispatcher) recordArrival(now time.Time, service, organisation string, cost float64, demand Demand) (time.Duration, bool) {
	d.budget(now, service).RecordRequest(now)
	if organisation != "" {
		if wait, ok := d.quotaLimiter.Admit(now, organisation, cost); !ok {
			return wait, false
		}
	}
	d.addDemand(now, service, demand)
	return 0, true
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
