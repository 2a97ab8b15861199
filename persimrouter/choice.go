package persimrouter

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates is the number of upstreams that are compared for one attempt.
const maxCandidates = 3

// concurrencyLimit returns the number of attempts that this host may have in
// flight on an upstream. The limit of an upstream whose latency exceeds 1.5 times
// the median is reduced in proportion.
func (r *router) concurrencyLimit(s *upstreamState, medianLatency float64, now time.Time) int {
	share := float64(s.slots()) / float64(r.entryHosts)
	latency := s.interTokenLatency.valueAt(now)
	if latency > 0 && medianLatency > 0 && latency > 1.5*medianLatency {
		share *= 1.5 * medianLatency / latency
	}
	return max(1, int(share+0.5))
}

// hasCapacity reports whether the upstream has capacity for an attempt of this
// host: the host's share of the slots and, when borrowing, its share of the slots
// that the last load report shows as free.
func (r *router) hasCapacity(s *upstreamState, spec AttemptSpec, medianLatency float64, borrow bool, now time.Time) bool {
	if s.ejected {
		return false
	}
	limit := r.concurrencyLimit(s, medianLatency, now)
	if borrow {
		free := max(0, float64(s.slots())-s.load(now))
		limit += int(free / float64(r.entryHosts))
	}
	if !spec.Long {
		return s.inFlight < limit
	}
	longLimit := max(1, int(float64(limit)*(1-r.shortReserve)+0.5))
	return s.inFlight < limit && s.inFlightLong < longLimit
}

func (r *router) Choose(now time.Time, spec AttemptSpec) (Upstream, bool) {
	medianLatency := r.medianInterTokenLatency(now)
	candidates := r.candidates(now, spec, medianLatency, false)
	if len(candidates) == 0 {
		candidates = r.candidates(now, spec, medianLatency, true)
	}
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	meanLoad := r.meanLoad(now)
	best := candidates[0]
	bestScore := r.score(best, spec, medianLatency, meanLoad, now)
	for _, s := range candidates[1:] {
		if score := r.score(s, spec, medianLatency, meanLoad, now); score < bestScore {
			best = s
			bestScore = score
		}
	}
	return best.Upstream, true
}

// candidates returns the upstream that should have the prefix cached and some
// random others, of those that have capacity. Choose borrows slots of other hosts
// only when no slot of the host's own share is free, since hosts that act on the
// same delayed report would overload one upstream.
func (r *router) candidates(now time.Time, spec AttemptSpec, medianLatency float64, borrow bool) []*upstreamState {
	r.candidateBuffer = r.candidateBuffer[:0]
	preferred := ""
	if spec.Prefix != 0 {
		preferred = r.preferredAddress(spec.Prefix)
	}
	for _, s := range r.sorted {
		if slices.Contains(spec.Avoid, s.Address) || !r.hasCapacity(s, spec, medianLatency, borrow, now) {
			continue
		}
		r.candidateBuffer = append(r.candidateBuffer, s)
		if s.Address == preferred {
			end := len(r.candidateBuffer) - 1
			r.candidateBuffer[0], r.candidateBuffer[end] = r.candidateBuffer[end], r.candidateBuffer[0]
		}
	}
	for i := 1; i < min(len(r.candidateBuffer), maxCandidates); i++ {
		pick := i + r.random.IntN(len(r.candidateBuffer)-i)
		r.candidateBuffer[i], r.candidateBuffer[pick] = r.candidateBuffer[pick], r.candidateBuffer[i]
	}
	return r.candidateBuffer[:min(len(r.candidateBuffer), maxCandidates)]
}

// score returns the weighted estimate of the seconds until the attempt would
// finish, plus the weighted cost of recomputing its prompt. The lowest score wins.
func (r *router) score(s *upstreamState, spec AttemptSpec, medianLatency, meanLoad float64, now time.Time) float64 {
	slowness := 1.0
	if latency := s.interTokenLatency.valueAt(now); latency > 0 && medianLatency > 0 {
		slowness = max(1, latency/medianLatency)
	}
	load := s.load(now)
	occupancy := load / float64(s.slots())
	serviceTime := spec.Expected.Seconds() * slowness * (1 + occupancy)
	if occupancy >= 1 {
		serviceTime += spec.Expected.Seconds() * slowness * (occupancy - 0.9)
	}
	prefill := 0.0
	if !r.hasAffinity(s, spec.Prefix, load, meanLoad) {
		prefill = spec.Prefill.Seconds()
	}
	jitter := r.random.Float64() * 0.01 * spec.Expected.Seconds()
	return spec.WaitWeight*(serviceTime+prefill*slowness) + spec.CostWeight*prefill + jitter
}

// hasAffinity reports whether the upstream is the one that should have the
// prefix cached and its load is within the load bound.
func (r *router) hasAffinity(s *upstreamState, prefix uint64, load, meanLoad float64) bool {
	if prefix == 0 || load > r.loadBound*meanLoad+1 {
		return false
	}
	return s.Address == r.preferredAddress(prefix)
}

// preferredAddress returns the address of the upstream that should have the
// prefix cached, chosen by rendezvous hashing.
func (r *router) preferredAddress(prefix uint64) string {
	key := strconv.FormatUint(prefix, 16)
	best := ""
	var weight uint64
	for _, s := range r.sorted {
		w := xxhash.Sum64String(key + "\x00" + s.Address)
		if best == "" || w > weight {
			best = s.Address
			weight = w
		}
	}
	return best
}
