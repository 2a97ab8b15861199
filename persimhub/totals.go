package persimhub

import "time"

// Totals are counters that only grow, by organisation.
type Totals map[string]float64

// anchorAfter is the time after which a source that stays behind the others counts from
// the total that they have reached: it knows less than they do and would else add
// nothing once they are gone.
const anchorAfter = 2 * time.Second

// follower follows totals that several sources report. Each source counts from its own
// start, may know less than the others and is as old as its last report; the total
// follows whichever is ahead.
type follower struct {
	totals  Totals
	sources map[string]*source
}

type source struct {
	reportedAt time.Time
	// offsets is what is subtracted from the source's values, by organisation.
	offsets Totals
	// behindSince is when the source was first behind, by organisation.
	behindSince map[string]time.Time
}

func newFollower() *follower { return &follower{totals: Totals{}, sources: map[string]*source{}} }

// observe records the values of a source and returns by how much the totals have grown.
// A source counts from the totals that are known when it is first heard; the values of
// the first one are taken as they are if adopt is set.
func (f *follower) observe(now time.Time, name string, values Totals, adopt bool) Totals {
	s, ok := f.sources[name]
	if !ok {
		s = f.addSource(name, values, adopt && len(f.totals) == 0)
	}
	s.reportedAt = now
	grown := Totals{}
	for organisation, value := range values {
		total := f.totals[organisation]
		ahead := value - s.offsets[organisation] - total
		if ahead > 0 {
			f.totals[organisation] = total + ahead
			grown[organisation] = ahead
		}
		s.anchor(now, organisation, ahead)
	}
	f.forget(now)
	return grown
}

func (f *follower) addSource(name string, values Totals, adopt bool) *source {
	s := &source{offsets: Totals{}, behindSince: map[string]time.Time{}}
	f.sources[name] = s
	if adopt {
		return s
	}
	for organisation, value := range values {
		s.offsets[organisation] = value
	}
	s.offsets.subtract(f.totals)
	return s
}

// anchor records whether the source is behind and lets it count from the total if it
// has been so for anchorAfter.
func (s *source) anchor(now time.Time, organisation string, ahead float64) {
	if ahead >= 0 {
		delete(s.behindSince, organisation)
		return
	}
	since, behind := s.behindSince[organisation]
	if !behind {
		s.behindSince[organisation] = now
		return
	}
	if now.Sub(since) >= anchorAfter {
		s.offsets[organisation] += ahead
		delete(s.behindSince, organisation)
	}
}

// sourceTTL is the time without a report after which a source is forgotten; what it
// counted meanwhile is lost then.
const sourceTTL = 10 * time.Minute

func (f *follower) forget(now time.Time) {
	for name, s := range f.sources {
		if now.Sub(s.reportedAt) > sourceTTL {
			delete(f.sources, name)
		}
	}
}
