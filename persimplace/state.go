package persimplace

import (
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimengine"
)

// cacheTTL is how long a prompt part is assumed to stay cached without use.
const cacheTTL = 20 * time.Second

// upstreamState is the state that a placer keeps of one upstream.
type upstreamState struct {
	persimcatalog.Upstream
	// hash is the hash of the id, key that of the incarnation.
	hash       uint64
	key        uint64
	capacity   persimengine.Capacity
	ownLoad    PeerLoad
	report     Report
	reportedAt time.Time
	cache      promptCache
	// pending holds the attempts without a response, oldest first.
	pending             []*Ticket
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	lastResponse        time.Time
}

func newUpstreamState(upstream persimcatalog.Upstream) *upstreamState {
	return &upstreamState{Upstream: upstream, hash: Hash(upstream.ID), key: upstream.Hash(), capacity: persimengine.PriorCapacity, cache: promptCache{}}
}

func (s *upstreamState) addAttempt(t *Ticket) {
	s.ownLoad.Requests++
	s.pending = append(s.pending, t)
	if t.request.Urgent {
		s.ownLoad.Urgent += t.prefillTokens
		return
	}
	s.ownLoad.Normal += t.prefillTokens
}

// recordResponse records the first byte and removes the prompt from the pending load.
func (s *upstreamState) recordResponse(now time.Time, t *Ticket) {
	t.responded = true
	s.lastResponse = now
	s.removePending(t)
}

func (s *upstreamState) removePending(t *Ticket) {
	for i, candidate := range s.pending {
		if candidate == t {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			break
		}
	}
	if t.request.Urgent {
		s.ownLoad.Urgent -= t.prefillTokens
		return
	}
	s.ownLoad.Normal -= t.prefillTokens
}

func (s *upstreamState) recordEnd(t *Ticket) {
	t.ended = true
	s.ownLoad.Requests--
	if !t.responded {
		s.removePending(t)
	}
}

// recordOutcome counts consecutive failures and ejects the upstream when they reach
// the threshold, for a time that doubles with each ejection up to maxEjectionTime. After
// an ejection, one further failure ejects it again.
func (s *upstreamState) recordOutcome(now time.Time, outcome Outcome, baseTime time.Duration) {
	switch outcome {
	case OutcomeSuccess:
		s.consecutiveFailures = 0
		s.ejections = 0
	case OutcomeFailed:
		s.consecutiveFailures++
	case OutcomeConnectFailed:
		s.consecutiveFailures = max(s.consecutiveFailures+1, ejectionFailures)
	case OutcomeRejected, OutcomeNeutral:
		return
	}
	if s.consecutiveFailures < ejectionFailures || now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(min(baseTime<<s.ejections, maxEjectionTime))
	s.ejections = min(s.ejections+1, 3)
	s.consecutiveFailures = ejectionFailures - 1
}

// ejected reports whether the upstream is ejected: it failed too often, or the
// oldest pending attempt is overdue and the upstream has sent nothing since.
func (s *upstreamState) ejected(now time.Time) bool {
	if now.Before(s.ejectedUntil) {
		return true
	}
	if len(s.pending) == 0 {
		return false
	}
	oldest := s.pending[0]
	responsive := s.lastResponse.After(oldest.sentAt) || s.reportedAt.After(oldest.sentAt)
	return !responsive && now.Sub(oldest.sentAt) > 2*oldest.expected+silenceTimeout
}

// slowdown returns the reported slowdown, or 1 without a current report.
func (s *upstreamState) slowdown(now time.Time) float64 {
	if s.report.Slowdown <= 0 || now.Sub(s.reportedAt) > reportTTL {
		return 1
	}
	return s.report.Slowdown
}

// uncachedTokens estimates the prompt tokens that the upstream has to prefill.
func (s *upstreamState) uncachedTokens(now time.Time, request Request, preferred bool) int {
	uncached := request.Tokens
	prefixCached := true
	for i, part := range request.Parts {
		prefixCached = prefixCached && s.cache.contains(now, part.ID)
		if prefixCached {
			uncached -= part.Tokens
			continue
		}
		if preferred && i < len(request.Parts)-1 {
			uncached -= int(float64(part.Tokens) * assumedCachedShare)
		}
	}
	return max(0, uncached)
}

// cacheParts records that the upstream caches the parts of a request sent to it.
func (s *upstreamState) cacheParts(now time.Time, request Request, capacity int) {
	for _, part := range request.Parts {
		s.cache.touch(now, part)
	}
	s.cache.evict(now, capacity)
}

// promptCache models which prompt parts an upstream has cached.
type promptCache map[uint64]cacheEntry

type cacheEntry struct {
	tokens   int
	lastUsed time.Time
}

func (c promptCache) contains(now time.Time, id uint64) bool {
	entry, ok := c[id]
	return ok && now.Sub(entry.lastUsed) < cacheTTL
}

func (c promptCache) touch(now time.Time, part Part) {
	c[part.ID] = cacheEntry{tokens: part.Tokens, lastUsed: now}
}

// evictionThreshold is the number of parts from which old ones are evicted.
const evictionThreshold = 2048

// evict does nothing below evictionThreshold parts. It removes expired parts and,
// where the rest still exceeds the capacity or the threshold, those that were not
// used for a quarter of cacheTTL.
func (c promptCache) evict(now time.Time, capacity int) {
	if len(c) < evictionThreshold {
		return
	}
	total := 0
	for id, entry := range c {
		if now.Sub(entry.lastUsed) >= cacheTTL {
			delete(c, id)
			continue
		}
		total += entry.tokens
	}
	if total <= capacity && len(c) < evictionThreshold {
		return
	}
	for id, entry := range c {
		if now.Sub(entry.lastUsed) >= cacheTTL/4 {
			delete(c, id)
		}
	}
}
