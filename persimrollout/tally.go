package persimrollout

import (
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	// maxCounts bounds the counts of one order at one host. Routes, data centres and upstreams
	// beyond it are counted together.
	maxCounts = 1024
	// warmupTime is the time after an upstream was first seen in which its times don't count.
	warmupTime = time.Second
)

// stratum is a part of the requests that is counted apart.
type stratum struct {
	side          Side
	route, centre string
	upstream      uint64
}

func (c Count) stratum() stratum {
	return stratum{side: c.Side, route: c.Route, centre: c.Centre, upstream: c.Upstream}
}

// tally counts the results of one order.
type tally struct {
	counts []*Count
	index  map[stratum]*Count
}

// count returns the count of a stratum and creates it on first use.
func (t *tally) count(s stratum) *Count {
	if count, ok := t.index[s]; ok {
		return count
	}
	if t.index == nil {
		t.index = map[stratum]*Count{}
	}
	if rest := (stratum{side: s.side}); len(t.counts) >= maxCounts && s != rest {
		return t.count(rest)
	}
	count := &Count{Side: s.side, Route: s.route, Centre: s.centre, Upstream: s.upstream}
	t.counts = append(t.counts, count)
	t.index[s] = count
	return count
}

// list returns a copy of the counts in the order of their creation.
func (t *tally) list() []Count {
	list := make([]Count, 0, len(t.counts))
	for _, count := range t.counts {
		list = append(list, *count)
	}
	return list
}

// count returns the count to which a request at an upstream belongs, or false if the request
// says nothing of a rollout.
func (s *service) count(route string, upstream persimcatalog.Upstream) (*Count, bool) {
	if !s.active() {
		return nil, false
	}
	key := stratum{side: s.side(upstream.Version), route: route, centre: upstream.Centre}
	switch key.side {
	case SideAny:
		return nil, false
	case SideTarget:
		key.upstream = upstream.Hash()
	}
	return s.tally.count(key), true
}

// timed reports whether the times of a result count.
func (s *service) timed(now time.Time, result Result) bool {
	if result.Cold {
		return false
	}
	if s.side(result.Upstream.Version) != SideTarget {
		return true
	}
	at, ok := s.seenAt[result.Upstream.Incarnation]
	return ok && now.Sub(at) >= warmupTime
}

// add counts a result. A request that timed out counts in the slowest bucket; the times of
// failures say nothing, as many fail at once.
func (c *Count) add(result Result, timed bool) {
	c.Ended++
	if result.Outcome == OutcomeFailed {
		c.Failed++
		return
	}
	if !timed {
		return
	}
	switch {
	case result.Outcome == OutcomeTimeout:
		c.First[Buckets-1]++
	case result.FirstExpected > 0:
		c.First[bucket(result.First, result.FirstExpected)]++
	}
	if result.PaceExpected > 0 {
		c.Pace[bucket(result.Pace, result.PaceExpected)]++
	}
}
