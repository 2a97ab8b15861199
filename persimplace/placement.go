package persimplace

import (
	"slices"
	"time"
)

const (
	// placementTTL is how long hosts pass on a placement. Each host hears from a hub of its
	// data centre more often.
	placementTTL = 1500 * time.Millisecond
	// maxPlacements is the number of placements that a host keeps to pass on.
	maxPlacements = 512
)

// Placement tells that a prompt with a shared prefix was sent to an upstream, which caches
// the prefix from then on.
type Placement struct {
	// Parts are the shared parts in order.
	Parts []Part
	// Upstream is the hash of the upstream's id.
	Upstream uint64
	At       time.Time
	// Own is set if this host placed the request.
	Own bool
}

// placementLog holds the latest placements, oldest first.
type placementLog []Placement

func (l *placementLog) add(now time.Time, placement Placement) {
	l.expire(now)
	if len(*l) >= maxPlacements {
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, placement)
}

func (l *placementLog) expire(now time.Time) {
	*l = slices.DeleteFunc(*l, func(p Placement) bool { return now.Sub(p.At) > placementTTL })
}

func (p *placer) recordPlacement(now time.Time, s *upstreamState, request Request) {
	if p.transfersPrefix(request) {
		p.placements.add(now, Placement{Parts: request.SharedParts(), Upstream: s.hash, At: now, Own: true})
	}
}

func (p *placer) Placements(now time.Time) []Placement {
	p.placements.expire(now)
	return slices.Clone(p.placements)
}

func (p *placer) RecordPlacements(now time.Time, placements []Placement) {
	if !p.transfersPrefixes() {
		return
	}
	for _, placement := range placements {
		s, ok := p.byHash[placement.Upstream]
		if !ok || now.Sub(placement.At) > placementTTL || s.hasPlacement(placement) {
			continue
		}
		for _, part := range placement.Parts {
			s.cache.touch(placement.At, part)
		}
		s.cache.evict(now, p.cacheCapacity)
		placement.Own = false
		p.placements.add(now, placement)
	}
}

// hasPlacement reports whether the upstream is known to have cached the parts at the time of
// a placement, as is one that comes by another way.
func (s *upstreamState) hasPlacement(placement Placement) bool {
	for _, part := range placement.Parts {
		if entry, ok := s.cache[part.ID]; !ok || entry.lastUsed.Before(placement.At.Add(-placementPrecision)) {
			return false
		}
	}
	return true
}

// placementPrecision covers the rounding of ages and the way of a message: a placement that
// comes again seems to be this much younger at most.
const placementPrecision = 200 * time.Millisecond
