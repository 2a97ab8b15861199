package persimbench

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// Measure compares the policies on one metric.
type Measure struct {
	Name string
	// Unit is printed after the values.
	Unit     string
	Baseline float64
	// Current is the value of the policy in use.
	Current float64
	Ideal   float64
	Target  float64
	// AtLeast makes Target a lower bound; otherwise it is an upper bound.
	AtLeast bool
}

// Met reports whether the current value meets the target.
func (m Measure) Met() bool {
	if m.AtLeast {
		return m.Current >= m.Target
	}
	return m.Current <= m.Target
}

// evaluatePolicies returns the value of a measure for each of the three policies.
func evaluatePolicies(evaluate func(PolicyName) float64) (baseline, current, ideal float64) {
	return evaluate(PolicyBaseline), evaluate(PolicyAdaptive), evaluate(PolicyIdeal)
}

func newMeasure(name, unit string, target float64, atLeast bool, evaluate func(PolicyName) float64) Measure {
	baseline, current, ideal := evaluatePolicies(evaluate)
	return Measure{Name: name, Unit: unit, Baseline: baseline, Current: current, Ideal: ideal, Target: target, AtLeast: atLeast}
}

// Deployment is one of the users' current deployments.
type Deployment struct {
	Name    string
	Workers int
	Hosts   int
	// CostWeight and WaitWeight are the weights of the user's profile.
	CostWeight float64
	WaitWeight float64
}

// Deployments returns the deployments of the Consorzio and of APEM.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "consorzio", Workers: 12, Hosts: 8, CostWeight: 4, WaitWeight: 1},
		{Name: "apem", Workers: 20, Hosts: 8, CostWeight: 1, WaitWeight: 4},
	}
}

func (d Deployment) scenario(policy PolicyName, duration time.Duration) Scenario {
	s := DefaultScenario(policy)
	s.Workers = d.Workers
	s.Hosts = d.Hosts
	s.Profile = s.Profile.WithName(d.Name).WithWeights(d.CostWeight, d.WaitWeight)
	s.Duration = duration
	return s
}

// Measures evaluates all measures of a deployment.
func Measures(d Deployment, duration time.Duration) []Measure {
	tasks := []func() Measure{
		func() Measure { return d.shortTTFTUnderMixedLoad(duration) },
		func() Measure { return d.maxLongTTFT(duration) },
		func() Measure { return d.slowWorkerTTFT(duration) },
		func() Measure { return d.hedgeOverhead(duration) },
		func() Measure { return d.recomputedWithoutFault(duration) },
		func() Measure { return d.recomputedOnReclaim(duration, FaultReclaim, 0.01) },
		func() Measure { return d.recomputedOnReclaim(duration, FaultReclaimExport, 0) },
		func() Measure { return d.overloadGoodput(duration) },
		func() Measure { return d.outageRecovery(duration) },
		func() Measure { return d.fairness(duration) },
		func() Measure { return d.greedyOrganisation(duration) },
	}
	measures := make([]Measure, len(tasks))
	var wg sync.WaitGroup
	for i, task := range tasks {
		wg.Go(func() {
			measures[i] = task()
			measures[i].Name = d.Name + ": " + measures[i].Name
		})
	}
	wg.Wait()
	return append(measures, FleetMeasures(d)...)
}

// shortTTFTUnderMixedLoad compares the time to first token of short requests with that
// under a load of short requests alone.
func (d Deployment) shortTTFTUnderMixedLoad(duration time.Duration) Measure {
	return newMeasure("short p99 wait, 30% long / none", "x", 1.3, false, func(p PolicyName) float64 {
		mixed := d.scenario(p, duration)
		shortOnly := mixed
		shortOnly.Mix.LongShare = 0
		shortOnly.Mix.StragglerShare = 0
		return Simulate(mixed).ShortTTFT.P99.Seconds() / Simulate(shortOnly).ShortTTFT.P99.Seconds()
	})
}

// maxLongTTFT measures the longest time to first token of long requests; the target is
// half their patience.
func (d Deployment) maxLongTTFT(duration time.Duration) Measure {
	return newMeasure("longest wait of long work", "s", DefaultMix().LongPatience.Seconds()/2, false, func(p PolicyName) float64 {
		return Simulate(d.scenario(p, duration)).LongTTFT.Max.Seconds()
	})
}

// faultLoad is the load, as a share of the capacity, of runs with slowed or reclaimed
// workers.
const faultLoad = 0.6

// runWithSlowWorkers slows a fifth of the workers after a quarter of the run.
func (d Deployment) runWithSlowWorkers(p PolicyName, duration time.Duration, slowFactor float64) Result {
	s := d.scenario(p, duration)
	s.Load = faultLoad
	s.Faults = []Fault{{At: duration / 4, Workers: d.Workers / 5, Kind: FaultSlow, SlowFactor: slowFactor}}
	return Simulate(s)
}

func (d Deployment) slowWorkerTTFT(duration time.Duration) Measure {
	return newMeasure("p99 first token, a fifth slowed 10x / none", "x", 1.5, false, func(p PolicyName) float64 {
		return d.runWithSlowWorkers(p, duration, 10).ShortTTFT.P99.Seconds() / d.runWithSlowWorkers(p, duration, 1).ShortTTFT.P99.Seconds()
	})
}

func (d Deployment) hedgeOverhead(duration time.Duration) Measure {
	return newMeasure("extra tokens by hedges, a fifth slowed", "%", 2, false, func(p PolicyName) float64 {
		return 100 * d.runWithSlowWorkers(p, duration, 10).HedgedShare
	})
}

func (d Deployment) recomputedWithoutFault(duration time.Duration) Measure {
	return newMeasure("tokens computed twice, no fault", "%", 0.5, false, func(p PolicyName) float64 {
		result := Simulate(d.scenario(p, duration))
		return 100 * (result.RecomputedShare + result.HedgedShare)
	})
}

// recomputedOnReclaim measures the share of tokens recomputed after the reclaim of a third
// of the workers, as many as a data centre has.
func (d Deployment) recomputedOnReclaim(duration time.Duration, kind FaultKind, target float64) Measure {
	name := "tokens computed twice, data centre reclaimed"
	if kind == FaultReclaimExport {
		name += ", export"
	}
	return newMeasure(name, "%", 100*target, false, func(p PolicyName) float64 {
		s := d.scenario(p, duration)
		s.Load = faultLoad
		s.Faults = []Fault{{At: duration / 2, Workers: d.Workers / 3, Kind: kind}}
		return 100 * Simulate(s).RecomputedShare
	})
}

func (d Deployment) overloadGoodput(duration time.Duration) Measure {
	return newMeasure("goodput at 3 times capacity", "%", 90, true, func(p PolicyName) float64 {
		s := d.scenario(p, duration)
		s.Load = 3
		s.RetryRefused = true
		s.Mix.StragglerShare = 0
		return 100 * Simulate(s).Goodput(duration/4, duration) / s.TokenCapacity()
	})
}

const (
	outageDuration       = 60 * time.Second
	minOutageRunDuration = 2 * time.Minute
	recoveryDelay        = 10 * time.Second
	recoveryWindow       = 20 * time.Second
)

// outageRecovery compares the goodput of the requests that arrive in the 20 s from 10 s
// after the end of an outage with that of the same requests without an outage.
func (d Deployment) outageRecovery(duration time.Duration) Measure {
	return newMeasure("goodput 10 s after a 60 s outage / none", "%", 90, true, func(p PolicyName) float64 {
		s := d.scenario(p, max(duration, minOutageRunDuration))
		s.RetryRefused = true
		s.Drain = s.Mix.LongPatience
		start := outageDuration / 2
		from := start + outageDuration + recoveryDelay
		withoutOutage := Simulate(s).GoodputOfArrivals(from, from+recoveryWindow)
		s.Faults = []Fault{
			{At: start, Workers: d.Workers, Kind: FaultCrash},
			{At: start + outageDuration, Workers: d.Workers, Kind: FaultRecover},
		}
		return 100 * Simulate(s).GoodputOfArrivals(from, from+recoveryWindow) / withoutOutage
	})
}

// fairness measures Jain's index of the completed tokens of the organisations in overload,
// where each demands more than an equal share of the capacity.
func (d Deployment) fairness(duration time.Duration) Measure {
	return newMeasure("Jain's index of organisations in overload", "", 0.95, true, func(p PolicyName) float64 {
		s := d.scenario(p, duration)
		s.Load = 3
		s.Mix.StragglerShare = 0
		s.Mix.OrganisationWeights = []float64{8, 6, 4, 4, 4}
		result := Simulate(s)
		names := make([]string, 0, len(result.ByOrganisation))
		for name := range result.ByOrganisation {
			names = append(names, name)
		}
		sort.Strings(names)
		var shares []float64
		for _, name := range names {
			shares = append(shares, float64(result.ByOrganisation[name].Tokens))
		}
		return Jain(shares)
	})
}

// greedyOrganisation measures the share of the other organisations' requests that are not
// completed in time while org-0 brings the total load to about three times the capacity:
// 0.4 from all organisations and 0.4 * 6 from org-0 alone.
func (d Deployment) greedyOrganisation(duration time.Duration) Measure {
	return newMeasure("refused to others, a greedy organisation at 3x", "%", 1, false, func(p PolicyName) float64 {
		s := d.scenario(p, duration)
		s.Load = 0.4
		s.Mix.StragglerShare = 0
		s.GreedyFactor = 6
		result := Simulate(s)
		offered, completed := 0, 0
		for name, o := range result.ByOrganisation {
			if name != "org-0" {
				offered += o.Offered
				completed += o.Completed
			}
		}
		return 100 * (1 - share(completed, offered))
	})
}

// Table formats the measures as a text table.
func Table(measures []Measure) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%-66s %10s %10s %10s %12s  %s\n", "measure", "baseline", "now", "ideal", "target", "met")
	for _, m := range measures {
		bound := "<= "
		if m.AtLeast {
			bound = ">= "
		}
		met := "yes"
		if !m.Met() {
			met = "NO"
		}
		_, _ = fmt.Fprintf(&b, "%-66s %10s %10s %10s %12s  %s\n", m.Name,
			formatValue(m.Baseline, m.Unit), formatValue(m.Current, m.Unit), formatValue(m.Ideal, m.Unit), bound+formatValue(m.Target, m.Unit), met)
	}
	return b.String()
}

func formatValue(value float64, unit string) string {
	return fmt.Sprintf("%.2f%s", value, unit)
}
