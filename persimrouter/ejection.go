package persimrouter

import (
	"slices"
	"time"
)

const (
	// minSilence is the time without progress that is always tolerated.
	minSilence = time.Second
	// minLatencySamples is the number of samples from which on the latency of an
	// upstream is compared with the median.
	minLatencySamples = 2
	// failuresToEject is the number of consecutive failures that eject an upstream.
	failuresToEject = 3
)

// UpdateEjections ejects outliers, upstreams that fail or are slow relative to their
// group, worst first and up to the maximum ejected share of the group. It readmits
// upstreams that were ejected for a long time without a probe.
func (r *router) UpdateEjections(now time.Time) {
	medianLatency := r.medianInterTokenLatency(now)
	medianFirstToken := r.median(now, func(s *upstreamState) float64 { return s.timeToFirstToken.valueAt(now) })
	r.readmitUnprobed(now)
	outliers := r.outliers(now, medianLatency, medianFirstToken)
	allowed := int(r.maxEjectedShare*float64(len(r.sorted))) - r.countEjected()
	for _, s := range outliers[:min(len(outliers), max(0, allowed))] {
		s.eject(now, r.probeDelay)
	}
}

func (r *router) countEjected() int {
	count := 0
	for _, s := range r.sorted {
		if s.ejected {
			count++
		}
	}
	return count
}

// readmitUnprobed readmits upstreams that have had no probe for maxProbeInterval
// since their ejection.
func (r *router) readmitUnprobed(now time.Time) {
	for _, s := range r.sorted {
		if s.ejected && s.failedProbes == 0 && s.inFlight == 0 && now.Sub(s.ejectedAt) > maxProbeInterval {
			s.readmit()
		}
	}
}

func (r *router) Probe(now time.Time, spec AttemptSpec) (Upstream, bool) {
	for _, s := range r.sorted {
		isDue := s.ejected && s.probeAttempt == "" && !now.Before(s.nextProbeAt)
		if isDue && s.inFlight < s.slots() && !slices.Contains(spec.Avoid, s.Address) {
			return s.Upstream, true
		}
	}
	return Upstream{}, false
}

// outliers returns the upstreams that should be ejected, worst first.
func (r *router) outliers(now time.Time, medianLatency, medianFirstToken float64) []*upstreamState {
	var outliers []*upstreamState
	for _, s := range r.sorted {
		if !s.ejected && r.outlierScore(s, now, medianLatency, medianFirstToken) > 1 {
			outliers = append(outliers, s)
		}
	}
	slices.SortFunc(outliers, func(a, b *upstreamState) int {
		scoreA, scoreB := r.outlierScore(a, now, medianLatency, medianFirstToken), r.outlierScore(b, now, medianLatency, medianFirstToken)
		if scoreA > scoreB {
			return -1
		}
		return 1
	})
	return outliers
}

// outlierScore returns a score that is above one for an upstream that should be
// ejected.
func (r *router) outlierScore(s *upstreamState, now time.Time, medianLatency, medianFirstToken float64) float64 {
	if s.failures >= failuresToEject {
		return float64(s.failures)
	}
	score := 0.0
	if medianLatency > 0 && s.interTokenLatency.samples >= minLatencySamples {
		score = max(score, s.interTokenLatency.valueAt(now)/(r.slowRatio*medianLatency))
	}
	if medianFirstToken > 0 {
		tolerance := max(r.slowRatio*(medianFirstToken+medianLatency), minSilence.Seconds())
		score = max(score, s.silence(now).Seconds()/tolerance)
	}
	return score
}

func (r *router) medianInterTokenLatency(now time.Time) float64 {
	return r.median(now, func(s *upstreamState) float64 { return s.interTokenLatency.valueAt(now) })
}

// median returns the lower median of the positive values, or zero if there are none.
func (r *router) median(_ time.Time, value func(*upstreamState) float64) float64 {
	values := make([]float64, 0, len(r.sorted))
	for _, s := range r.sorted {
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
