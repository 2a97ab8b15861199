package persimfront

import (
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimplace"
	"persimmonport.example/persimquota"
	"persimmonport.example/persimretry"
	"persimmonport.example/persimsettings"
)

const (
	// overdraftShare is the part of the permitted slack of a quota that all hosts use
	// together, so that what they learn late stays within the rest.
	overdraftShare = 0.9
	// budgetShare is the part of the permitted retries that is used.
	budgetShare = 0.7
	// lateShare is how far beyond its target a first answer may be expected.
	lateShare = 1.25
	// spread is the share by which Retry-After varies, so that callers do not return together.
	spread   = 0.5
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// demandWindow is the time over which demand is averaged, demandStart the least
	// time that counts when it has begun only now.
	demandWindow = 3 * time.Second
	demandStart  = time.Second
)

// A Demand is the work for a service that arrives at a host, for each second.
type Demand struct {
	// Tokens are prompt tokens to read, Output generated ones.
	Tokens   float64
	Output   float64
	Refused  float64
	Requests float64
}

func (d Demand) scaled(factor float64) Demand {
	d.Tokens *= factor
	d.Output *= factor
	d.Refused *= factor
	d.Requests *= factor
	return d
}

// desk holds the decisions that all requests share. It is not safe for concurrent use.
type desk struct {
	bounds  persimsettings.Bounds
	quotas  persimquota.Quotas
	places  map[string]persimplace.Placer
	budgets map[string]persimretry.Budget
	demand  map[string]Demand
	at      time.Time
	// begun and counted are when requests came first after a pause, and last.
	begun   time.Time
	counted time.Time
	hosts   int
}

func newDesk(bounds persimsettings.Bounds) *desk {
	return &desk{
		bounds:  bounds,
		quotas:  persimquota.New(persimquota.WithOverdraft(bounds.QuotaSlack * overdraftShare)),
		places:  map[string]persimplace.Placer{},
		budgets: map[string]persimretry.Budget{},
		demand:  map[string]Demand{},
		hosts:   1,
	}
}

func (d *desk) setCatalogue(now time.Time, catalogue persimcatalog.Catalogue) {
	limits := map[string]persimcatalog.Quota{}
	for name, organisation := range catalogue.Organisations() {
		limits[name] = organisation.Quota
	}
	d.quotas.SetQuotas(now, limits)
	for name, service := range catalogue.Services() {
		memory := 0
		if service.Engine != nil {
			memory = service.Engine.Memory
		}
		d.place(name).SetEngine(memory)
	}
}

func (d *desk) place(service string) persimplace.Placer {
	known, ok := d.places[service]
	if !ok {
		known = persimplace.New(persimplace.WithRandom(rand.New(rand.NewPCG(rand.Uint64(), 1))))
		d.places[service] = known
	}
	return known
}

func (d *desk) setUpstreams(upstreams map[string][]persimcatalog.Upstream) {
	for name, place := range d.places {
		place.SetUpstreams(upstreams[name])
	}
	for name, list := range upstreams {
		d.place(name).SetUpstreams(list)
	}
}

func (d *desk) setHosts(now time.Time, hosts []string) {
	d.hosts = len(hosts) + 1
	d.quotas.SetHosts(now, hosts)
}

func (d *desk) observe(now time.Time, host, incarnation string, told Told) {
	d.quotas.Observe(now, now, host, incarnation, told.Admitted)
	for _, place := range d.places {
		place.Peer(now, host, told.Loads)
		for upstream, report := range told.Reports {
			place.Report(report.At, upstream, report.Report)
		}
	}
}

func (d *desk) tell(now time.Time) Told {
	told := Told{
		Loads:    map[uint64]persimplace.PeerLoad{},
		Reports:  map[uint64]persimplace.TimedReport{},
		Admitted: d.quotas.Admitted(),
	}
	for _, place := range d.places {
		maps.Copy(told.Loads, place.Loads())
		maps.Copy(told.Reports, place.Reports(now))
	}
	return told
}

// budget returns this host's part of the retries that a service may see.
func (d *desk) budget(service string) persimretry.Budget {
	known, ok := d.budgets[service]
	if !ok {
		slack := d.bounds.RetrySlack * budgetShare / float64(max(1, d.hosts))
		seconds := max(1, d.bounds.RetryWindow.Seconds())
		known = persimretry.New(
			persimretry.WithReserve(slack/2),
			persimretry.WithCeiling(slack/2),
			persimretry.WithPerSecond(slack/2/seconds))
		d.budgets[service] = known
	}
	return known
}

// arrive counts a request for a service.
func (d *desk) arrive(now time.Time, service string, size Demand) {
	d.budget(service).Deposit(d.bounds.RetryRatio * budgetShare)
	d.count(now, service, size)
}

func (d *desk) count(now time.Time, service string, size Demand) {
	d.decay(now)
	if now.Sub(d.counted) > demandWindow {
		d.begun = now
	}
	d.counted = now
	size = size.scaled(1 / demandWindow.Seconds())
	sum := d.demand[service]
	sum.Tokens += size.Tokens
	sum.Output += size.Output
	sum.Refused += size.Refused
	sum.Requests += size.Requests
	d.demand[service] = sum
}

// decay lets what was counted fade within the window of demand.
func (d *desk) decay(now time.Time) {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return
	}
	d.at = now
	factor := max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
	for name, sum := range d.demand {
		d.demand[name] = sum.scaled(factor)
	}
}

func (d *desk) demands(now time.Time) map[string]Demand {
	d.decay(now)
	copied := make(map[string]Demand, len(d.demand))
	for name, sum := range d.demand {
		copied[name] = sum.scaled(d.missed(now))
	}
	return copied
}

// missed returns the factor by which the average is too low while requests have
// come for less than its window.
func (d *desk) missed(now time.Time) float64 {
	seen := max(now.Sub(d.begun), demandStart)
	return 1 / (1 - math.Exp(-seen.Seconds()/demandWindow.Seconds()))
}

// retryAfter returns when a caller should come back, spread around a wait.
func retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetry), maxRetry)
	return wait + time.Duration(rand.Float64()*spread*float64(wait))
}

// hashID returns the number that picks the service of a request.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
