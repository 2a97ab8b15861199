package persimrouter

import (
	"time"
)

// A Status describes an upstream to an operator and states why it is not used.
type Status struct {
	Upstream
	Usable   bool
	Cause    string
	InFlight int
	// Latency is the mean latency between tokens.
	Latency time.Duration
}

func (r *router) Status(now time.Time) []Status {
	statuses := make([]Status, len(r.sorted))
	for i, s := range r.sorted {
		statuses[i] = Status{
			Upstream: s.Upstream,
			Usable:   !s.ejected,
			Cause:    s.cause(now),
			InFlight: s.inFlight,
			Latency:  time.Duration(s.interTokenLatency.valueAt(now) * float64(time.Second)),
		}
	}
	return statuses
}

func (s *upstreamState) cause(now time.Time) string {
	if !s.ejected {
		return ""
	}
	if s.failures >= failuresToEject {
		return "ejected: repeated failures"
	}
	return "ejected: slow against its group since " + now.Sub(s.ejectedAt).Round(time.Second).String()
}
