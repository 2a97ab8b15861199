package persimplace

import (
	"math"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimengine"
)

// maxOverdue is the number of samples that one attempt without a response gives.
const maxOverdue = 4

// maxLoadChange is the change of the load, as a share of the slots, up to which a time up
// to the first byte is recorded.
const maxLoadChange = 0.25

const (
	// limitedCandidates is the mean number of limited upstreams among which a request chooses
	// when all are limited. It bounds the requests of one of them to that multiple of the mean.
	limitedCandidates = 3
	// excludedPenalty is added to the time of those that are no candidates. They are still
	// chosen where there is no other.
	excludedPenalty = time.Minute
)

// freshReport is the age up to which a report is that of the response being recorded.
const freshReport = 20 * time.Millisecond

// WithCapacities sets the estimator of the capacity of each upstream.
func WithCapacities(capacities persimengine.Capacities) Option {
	return func(c *config) { c.capacities = capacities }
}

// LimitedUpstream is an upstream with the number of requests that it takes well and the
// duration of its work relative to that of the others.
type LimitedUpstream struct {
	Upstream persimcatalog.Incarnation
	Slots    int
	Slowdown float64
}

func (p *placer) Limited() []LimitedUpstream {
	var limited []LimitedUpstream
	for _, s := range p.sorted {
		if !s.capacity.Limited() {
			continue
		}
		slowdown := 1.0
		for _, work := range []persimengine.Work{persimengine.WorkPrefill, persimengine.WorkOutput, persimengine.WorkPlain} {
			slowdown = max(slowdown, s.capacity.Factor(work))
		}
		limited = append(limited, LimitedUpstream{Upstream: s.Incarnation, Slots: s.capacity.Slots(max(1, s.Slots)), Slowdown: slowdown})
	}
	return limited
}

// work returns the kind of work before the first byte of a response.
func (r Request) work() persimengine.Work {
	if r.Tokens == 0 {
		return persimengine.WorkPlain
	}
	return persimengine.WorkPrefill
}

// setCapacities passes the incarnations of the upstreams to the estimator.
func (p *placer) setCapacities() {
	keys := make([]uint64, len(p.sorted))
	for i, s := range p.sorted {
		keys[i] = s.key
	}
	p.capacities.SetUpstreams(keys)
}

func (p *placer) refreshCapacities(now time.Time) {
	if !p.capacities.Refresh(now) {
		return
	}
	for _, s := range p.sorted {
		s.capacity = p.capacities.Capacity(s.key)
		p.observeOverdue(now, s)
	}
}

// observeOverdue takes samples from attempts without a response each time that their age
// doubles, as an upstream that works very slowly would otherwise give none for long.
func (p *placer) observeOverdue(now time.Time, s *upstreamState) {
	for _, t := range s.pending {
		due := time.Duration(float64(t.usual)*s.slowdown(now)) << (t.overdue + 1)
		if t.usual > 0 && t.overdue < maxOverdue && now.Sub(t.sentAt) > due {
			t.overdue++
			p.observeWait(now, t, float64(now.Sub(t.sentAt))/float64(t.usual))
		}
	}
}

// observeResponse records the time to the first byte relative to the usual one at the
// slowdown that the response reports.
func (p *placer) observeResponse(now time.Time, t *Ticket) {
	if t.usual > 0 {
		p.observeWait(now, t, float64(now.Sub(t.sentAt))/(float64(t.usual)*t.state.slowdown(now)))
	}
}

// observeWait records the time of an attempt up to its first byte, unless it may have
// waited for a slot or the load has changed too much for the time to tell of it.
func (p *placer) observeWait(now time.Time, t *Ticket, ratio float64) {
	load := p.loadShare(now, t.state)
	if max(load, t.load) <= 1 && math.Abs(load-t.load) <= maxLoadChange {
		p.observe(now, t, t.request.work(), (load+t.load)/2, ratio)
	}
}

func (p *placer) RecordOutput(now time.Time, t *Ticket, tokens int, took time.Duration) {
	if !t.progressed {
		p.observeOutput(now, t, tokens, took)
	}
	p.model.ObserveOutput(tokens, took)
}

func (p *placer) RecordProgress(now time.Time, t *Ticket, tokens int, took time.Duration) {
	t.progressed = true
	p.observeOutput(now, t, tokens, took)
}

func (p *placer) observeOutput(now time.Time, t *Ticket, tokens int, took time.Duration) {
	if usual := p.model.Speed().OutputToken * time.Duration(tokens); usual > 0 {
		p.observe(now, t, persimengine.WorkOutput, p.loadShare(now, t.state), float64(took)/float64(usual))
	}
}

func (p *placer) observe(now time.Time, t *Ticket, work persimengine.Work, load, ratio float64) {
	p.capacities.Observe(now, persimengine.Sample{Upstream: t.state.key, Work: work, Load: load, Ratio: ratio})
}

// penalty returns what is added in comparisons to the expected time at a limited upstream,
// given the delay that each request adds and the time that one runs. Requests count as if
// the slots were that few, and those beyond them delay all others. It is no part of the
// expected time, so that no request is refused for it.
//
// Loads of other hosts are known late, so all hosts would send to such an upstream at once
// when it seems free. Each request therefore considers only a few of them.
func (p *placer) penalty(s *upstreamState, load PeerLoad, perRequest, run time.Duration) time.Duration {
	slots := max(1, s.Slots)
	well := s.capacity.Slots(slots)
	penalty := time.Duration(load.Requests*(slots-well)) * perRequest
	if over := min(load.Requests+1, slots) - well; over > 0 {
		penalty += time.Duration(over) * run
	}
	penalty /= time.Duration(well)
	if p.random.Float64()*float64(len(p.sorted)) >= limitedCandidates {
		penalty += excludedPenalty
	}
	return penalty
}

// load returns the load with the chosen request, as a share of the slots.
func (c Choice) load() float64 { return float64(c.Requests+1) / float64(max(1, c.Upstream.Slots)) }

// loadShare returns the requests at an upstream as a share of its slots, from the report
// of the response being recorded if it has one.
func (p *placer) loadShare(now time.Time, s *upstreamState) float64 {
	requests := s.report.Running + s.report.Waiting
	if now.Sub(s.reportedAt) > freshReport {
		requests = p.load(now, s).Requests
	}
	return float64(requests) / float64(max(1, s.Slots))
}

func (p *placer) Evidence(now time.Time) persimengine.Evidence { return p.capacities.Evidence(now) }

func (p *placer) SetPeerEvidence(now time.Time, host string, evidence persimengine.Evidence) {
	p.capacities.SetOthers(now, host, evidence)
}
