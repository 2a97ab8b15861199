package persimengine

import (
	"math"
	"slices"
	"time"
)

const (
	// refreshInterval is the time after which capacities are computed again.
	refreshInterval = 200 * time.Millisecond
	// othersTTL is how long the evidence of other hosts is used.
	othersTTL = 1500 * time.Millisecond
	// shareRise is the part of the slots by which the share that an upstream takes well
	// rises in a second.
	shareRise = 0.05
)

// Capacity is how fast an upstream works and how much it takes. It is immutable.
type Capacity struct {
	// factors are the durations of work relative to those usual for the service.
	factors [workCount]float64
	// share is the part of the slots up to which more requests give more throughput.
	share float64
	// limited is set if one of them is worse than the prior.
	limited bool
}

// PriorCapacity is that of an upstream of which nothing else is known.
var PriorCapacity = Capacity{factors: [workCount]float64{1, 1, 1}, share: 1}

// Factor returns the duration of work relative to the one usual for the service.
func (c Capacity) Factor(work Work) float64 { return c.factors[work] }

// Slots returns the number of requests that the upstream takes well, given its slots.
func (c Capacity) Slots(slots int) int {
	if c.share >= 1 {
		return slots
	}
	return max(1, int(math.Round(c.share*float64(slots))))
}

// Limited reports whether the upstream takes fewer requests well than its slots, or is
// slower than the others.
func (c Capacity) Limited() bool { return c.limited }

// Capacities estimates the capacity of each upstream of a service. It is built for
// hundreds of hosts that each see a small part of an upstream's responses. It is not
// safe for concurrent use.
type Capacities interface {
	// SetUpstreams replaces the upstreams, named by the hashes of their incarnations.
	SetUpstreams(upstreams []uint64)
	// Observe records a sample from a response to this host.
	Observe(now time.Time, sample Sample)
	// Evidence returns what this host has observed lately, at most MaxCells cells.
	Evidence(now time.Time) Evidence
	// SetOthers replaces the evidence of another host, or of several together; nil removes
	// it.
	SetOthers(now time.Time, host string, evidence Evidence)
	// Refresh computes the capacities if they are due and reports whether it did.
	Refresh(now time.Time) bool
	// Capacity returns the capacity of an upstream as of the last refresh.
	Capacity(upstream uint64) Capacity
}

// others is the evidence of other hosts, without upstreams that this host doesn't know.
type others struct {
	receivedAt time.Time
	evidence   Evidence
}

type capacities struct {
	// seed makes hosts return to a recovered upstream at different times.
	seed        uint64
	upstreams   map[uint64]*upstream
	others      map[string]others
	refreshedAt time.Time
}

// upstream is the state of one upstream.
type upstream struct {
	history  history
	pooled   [CellCount]sums
	peaks    [workCount]peak
	prior    float64
	capacity Capacity
}

// NewCapacities returns an estimator without upstreams. The seed should differ between
// hosts.
func NewCapacities(seed uint64) Capacities {
	return &capacities{seed: seed, upstreams: map[uint64]*upstream{}, others: map[string]others{}}
}

func (c *capacities) SetUpstreams(keys []uint64) {
	kept := make(map[uint64]*upstream, len(keys))
	for _, key := range keys {
		u, ok := c.upstreams[key]
		if !ok {
			u = &upstream{prior: priorWeight(c.seed ^ key), capacity: PriorCapacity}
		}
		kept[key] = u
	}
	c.upstreams = kept
}

func (c *capacities) Observe(now time.Time, sample Sample) {
	u, ok := c.upstreams[sample.Upstream]
	if !ok || !(sample.Ratio > 0) {
		return
	}
	u.history.decay(now)
	u.history.add(int(sample.Work)*bandCount+band(sample.Load), sample.Ratio)
}

func (c *capacities) Evidence(now time.Time) Evidence {
	evidence := Evidence{}
	for key, u := range c.upstreams {
		u.history.decay(now)
		for i, cell := range u.history.cells {
			if cell.weight >= minCellWeight {
				evidence[Cell{Upstream: key, Index: i}] = Tally{
					Weight: int64(math.Round(cell.weight * weightScale)), Sum: int64(math.Round(cell.sum * sumScale)),
				}
			}
		}
	}
	evidence.Trim()
	return evidence
}

func (c *capacities) SetOthers(now time.Time, host string, evidence Evidence) {
	if evidence == nil {
		delete(c.others, host)
		return
	}
	known := Evidence{}
	for cell, tally := range evidence {
		if _, ok := c.upstreams[cell.Upstream]; ok && cell.Index >= 0 && cell.Index < CellCount && tally.Weight > 0 {
			known[cell] = tally
		}
	}
	c.others[host] = others{receivedAt: now, evidence: known}
}

func (c *capacities) Refresh(now time.Time) bool {
	elapsed := now.Sub(c.refreshedAt)
	if elapsed < refreshInterval {
		return false
	}
	c.refreshedAt = now
	c.pool(now)
	var service [workCount]reference
	for work := range workCount {
		service[work] = c.reference(work)
	}
	for _, u := range c.upstreams {
		u.refresh(now, service, min(1, elapsed.Seconds()*shareRise))
	}
	return true
}

func (c *capacities) Capacity(key uint64) Capacity {
	if u, ok := c.upstreams[key]; ok {
		return u.capacity
	}
	return PriorCapacity
}

// pool adds the evidence of all hosts for each upstream.
func (c *capacities) pool(now time.Time) {
	for _, u := range c.upstreams {
		u.history.decay(now)
		u.pooled = u.history.cells
	}
	for host, o := range c.others {
		if now.Sub(o.receivedAt) > othersTTL {
			delete(c.others, host)
			continue
		}
		for cell, tally := range o.evidence {
			if u, ok := c.upstreams[cell.Upstream]; ok {
				u.pooled[cell.Index] = u.pooled[cell.Index].plus(sums{float64(tally.Weight) / weightScale, float64(tally.Sum) / sumScale})
			}
		}
	}
}

// refresh computes the capacity from the evidence of all hosts. The share of the slots
// falls at once and rises by at most a step.
func (u *upstream) refresh(now time.Time, service [workCount]reference, step float64) {
	share := 1.0
	var next Capacity
	for work := range workCount {
		cells := u.cells(work)
		best := bandCount - 1
		if work != WorkPrefill {
			best = u.peaks[work].find(now, cells)
		}
		share = min(share, bandEdges[best])
		next.factors[work] = factor(cells[:best+1], service[work], u.prior, priorBands[work])
	}
	if u.weight(WorkOutput) >= minBandWeight {
		// Steps of an engine carry prompts and tokens. The time between tokens has no waits
		// for prompts that a host does not know of.
		next.factors[WorkPrefill] = next.factors[WorkOutput]
	}
	next.share = min(share, u.capacity.share+step)
	next.limited = next.share < 1 || slices.Max(next.factors[:]) > 1
	u.capacity = next
}

// weight returns the weight of the evidence of a kind of work.
func (u *upstream) weight(work Work) float64 {
	sum := 0.0
	for _, cell := range u.cells(work) {
		sum += cell.weight
	}
	return sum
}

func (u *upstream) cells(work Work) []sums {
	return u.pooled[int(work)*bandCount : (int(work)+1)*bandCount]
}
