package persimrouter

import (
	"slices"
	"time"
)

// Observe ejects upstreams that are slow against their group or that fail, the
// worst first and never more than the ejectable share, and readmits recovered ones.
func (r *router) Observe(now time.Time) {
	median := r.medianGap(now)
	firstMedian := r.median(now, func(s *state) float64 { return s.first.fresh(now) })
	r.readmitUnprobed(now)
	suspects := r.suspects(now, median, firstMedian)
	allowed := int(r.ejectable*float64(len(r.order))) - r.countEjected()
	for _, s := range suspects[:min(len(suspects), max(0, allowed))] {
		s.eject(now, r.probation)
	}
}

func (r *router) countEjected() int {
	count := 0
	for _, s := range r.order {
		if s.ejected {
			count++
		}
	}
	return count
}

// readmitUnprobed returns upstreams that no job could probe for a long time.
func (r *router) readmitUnprobed(now time.Time) {
	for _, s := range r.order {
		if s.ejected && s.probes == 0 && s.own == 0 && now.Sub(s.ejectedAt) > longestProbeWait {
			s.readmit()
		}
	}
}

func (r *router) Probe(now time.Time, need Need) (Upstream, bool) {
	for _, s := range r.order {
		due := s.ejected && s.probing == "" && !now.Before(s.probeAt)
		if due && s.own < s.slots() && !slices.Contains(need.Avoid, s.Address) {
			return s.Upstream, true
		}
	}
	return Upstream{}, false
}

func (r *router) suspects(now time.Time, median, firstMedian float64) []*state {
	var found []*state
	for _, s := range r.order {
		if !s.ejected && r.badness(s, now, median, firstMedian) > 1 {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *state) int {
		first, second := r.badness(a, now, median, firstMedian), r.badness(b, now, median, firstMedian)
		if first > second {
			return -1
		}
		return 1
	})
	return found
}

// badness is above one for an upstream that should be ejected.
func (r *router) badness(s *state, now time.Time, median, firstMedian float64) float64 {
	if s.failures >= failuresToDrop {
		return float64(s.failures)
	}
	worst := 0.0
	if median > 0 && s.gap.samples >= minSamples {
		worst = max(worst, s.gap.fresh(now)/(r.slowRatio*median))
	}
	if firstMedian > 0 {
		tolerated := max(r.slowRatio*(firstMedian+median), minSilence.Seconds())
		worst = max(worst, s.silence(now).Seconds()/tolerated)
	}
	return worst
}

func (r *router) medianGap(now time.Time) float64 {
	return r.median(now, func(s *state) float64 { return s.gap.fresh(now) })
}

func (r *router) median(_ time.Time, value func(*state) float64) float64 {
	values := make([]float64, 0, len(r.order))
	for _, s := range r.order {
		if v := value(s); v > 0 {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
