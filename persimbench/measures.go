package persimbench

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

// A Measure compares the policies on one figure.
type Measure struct {
	Name string
	// Unit is shown behind the figures.
	Unit     string
	Baseline float64
	Now      float64
	Ideal    float64
	Target   float64
	// AtLeast says that the figure must reach the target, else it must not exceed it.
	AtLeast bool
}

// Met reports whether the present figure meets the target.
func (m Measure) Met() bool {
	if m.AtLeast {
		return m.Now >= m.Target
	}
	return m.Now <= m.Target
}

// policies runs a figure for the three policies.
func policies(figure func(PolicyName) float64) (baseline, now, ideal float64) {
	return figure(PolicyBaseline), figure(PolicyAdaptive), figure(PolicyIdeal)
}

func newMeasure(name, unit string, target float64, atLeast bool, figure func(PolicyName) float64) Measure {
	baseline, now, ideal := policies(figure)
	return Measure{Name: name, Unit: unit, Baseline: baseline, Now: now, Ideal: ideal, Target: target, AtLeast: atLeast}
}

// A Deployment is one of the users' deployments of today.
type Deployment struct {
	Name    string
	Workers int
	Hosts   int
	// CostWeight and WaitWeight are those of the users' profile.
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

// Measures runs all measures of one deployment.
func Measures(d Deployment, duration time.Duration) []Measure {
	figures := []func() Measure{
		func() Measure { return d.shortBehindLong(duration) },
		func() Measure { return d.longIsServed(duration) },
		func() Measure { return d.slowedTail(duration) },
		func() Measure { return d.hedgedTokens(duration) },
		func() Measure { return d.recomputedWithoutFault(duration) },
		func() Measure { return d.recomputedInReclaim(duration, FaultReclaim, 0.01) },
		func() Measure { return d.recomputedInReclaim(duration, FaultReclaimExport, 0) },
		func() Measure { return d.overloadGoodput(duration) },
		func() Measure { return d.recovery(duration) },
		func() Measure { return d.fairness(duration) },
		func() Measure { return d.greedyNeighbour(duration) },
	}
	measures := make([]Measure, len(figures))
	var running sync.WaitGroup
	for i, figure := range figures {
		running.Go(func() {
			measures[i] = figure()
			measures[i].Name = d.Name + ": " + measures[i].Name
		})
	}
	running.Wait()
	return append(measures, FleetMeasures(d)...)
}

func (d Deployment) shortBehindLong(duration time.Duration) Measure {
	return newMeasure("short p99 wait, 30% long / none", "x", 1.3, false, func(p PolicyName) float64 {
		mixed := d.scenario(p, duration)
		alone := mixed
		alone.Mix.LongShare = 0
		alone.Mix.StragglerShare = 0
		return Run(mixed).ShortFirst.P99.Seconds() / Run(alone).ShortFirst.P99.Seconds()
	})
}

func (d Deployment) longIsServed(duration time.Duration) Measure {
	return newMeasure("longest wait of long work", "s", DefaultMix().LongPatience.Seconds()/2, false, func(p PolicyName) float64 {
		return Run(d.scenario(p, duration)).LongFirst.Max.Seconds()
	})
}

const slowedLoad = 0.6

func (d Deployment) slowed(p PolicyName, duration time.Duration, slow float64) Result {
	s := d.scenario(p, duration)
	s.Load = slowedLoad
	s.Faults = []Fault{{At: duration / 4, Workers: d.Workers / 5, Kind: FaultSlow, Slow: slow}}
	return Run(s)
}

func (d Deployment) slowedTail(duration time.Duration) Measure {
	return newMeasure("p99 first token, a fifth slowed 10x / none", "x", 1.5, false, func(p PolicyName) float64 {
		return d.slowed(p, duration, 10).ShortFirst.P99.Seconds() / d.slowed(p, duration, 1).ShortFirst.P99.Seconds()
	})
}

func (d Deployment) hedgedTokens(duration time.Duration) Measure {
	return newMeasure("extra tokens by hedges, a fifth slowed", "%", 2, false, func(p PolicyName) float64 {
		return 100 * d.slowed(p, duration, 10).Hedged
	})
}

func (d Deployment) recomputedWithoutFault(duration time.Duration) Measure {
	return newMeasure("tokens computed twice, no fault", "%", 0.5, false, func(p PolicyName) float64 {
		result := Run(d.scenario(p, duration))
		return 100 * (result.Recomputed + result.Hedged)
	})
}

func (d Deployment) recomputedInReclaim(duration time.Duration, kind FaultKind, target float64) Measure {
	name := "tokens computed twice, data centre reclaimed"
	if kind == FaultReclaimExport {
		name += ", export"
	}
	return newMeasure(name, "%", 100*target, false, func(p PolicyName) float64 {
		s := d.scenario(p, duration)
		s.Load = slowedLoad
		s.Faults = []Fault{{At: duration / 2, Workers: d.Workers / 3, Kind: kind}}
		return 100 * Run(s).Recomputed
	})
}

func (d Deployment) overloadGoodput(duration time.Duration) Measure {
	return newMeasure("goodput at 3 times capacity", "%", 90, true, func(p PolicyName) float64 {
		s := d.scenario(p, duration)
		s.Load = 3
		s.Retry = true
		s.Mix.StragglerShare = 0
		return 100 * Run(s).Goodput(duration/4, duration) / s.TokenCapacity()
	})
}

const (
	outageLength   = 60 * time.Second
	outageRun      = 2 * time.Minute
	recoveryTime   = 10 * time.Second
	recoveryWindow = 20 * time.Second
)

// recovery compares what becomes of the requests that arrive from 10 s after the
// end of an outage on with the same requests without an outage.
func (d Deployment) recovery(duration time.Duration) Measure {
	return newMeasure("goodput 10 s after a 60 s outage / none", "%", 90, true, func(p PolicyName) float64 {
		s := d.scenario(p, max(duration, outageRun))
		s.Retry = true
		s.Drain = s.Mix.LongPatience
		start := outageLength / 2
		from := start + outageLength + recoveryTime
		plain := Run(s).GoodputOfArrivals(from, from+recoveryWindow)
		s.Faults = []Fault{
			{At: start, Workers: d.Workers, Kind: FaultDie},
			{At: start + outageLength, Workers: d.Workers, Kind: FaultReturn},
		}
		return 100 * Run(s).GoodputOfArrivals(from, from+recoveryWindow) / plain
	})
}

// fairness is Jain's index of the organisations' tokens at equal demand in overload.
func (d Deployment) fairness(duration time.Duration) Measure {
	return newMeasure("Jain's index of organisations in overload", "", 0.95, true, func(p PolicyName) float64 {
		s := d.scenario(p, duration)
		s.Load = 3
		s.Mix.StragglerShare = 0
		s.Mix.Organisations = []float64{8, 6, 4, 4, 4}
		result := Run(s)
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

// greedyNeighbour compares the waiting of a modest organisation with and without
// a neighbour that sends three times the capacity.
func (d Deployment) greedyNeighbour(duration time.Duration) Measure {
	return newMeasure("refused to others, a greedy organisation at 3x", "%", 1, false, func(p PolicyName) float64 {
		s := d.scenario(p, duration)
		s.Load = 0.4
		s.Mix.StragglerShare = 0
		s.Greedy = 6
		result := Run(s)
		offered, done := 0, 0
		for name, o := range result.ByOrganisation {
			if name != "org-0" {
				offered += o.Offered
				done += o.Done
			}
		}
		return 100 * (1 - share(done, offered))
	})
}

// Table returns the measures as aligned text.
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
			format(m.Baseline, m.Unit), format(m.Now, m.Unit), format(m.Ideal, m.Unit), bound+format(m.Target, m.Unit), met)
	}
	return b.String()
}

func format(value float64, unit string) string {
	return fmt.Sprintf("%.2f%s", value, unit)
}
