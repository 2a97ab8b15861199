package persimplace

import "time"

const (
	// maxTransferTime is the time to transfer the KV cache of a token up to which parts of a
	// prompt are fetched: a thousand tokens then take no longer than a step of an engine.
	maxTransferTime = 3 * time.Microsecond
	// minFetchTokens is the length of the shared parts, in tokens, from which on they are
	// fetched; shorter ones are prefilled in the time that a fetch takes to begin.
	minFetchTokens = 512
)

func (p *placer) SetTransferTime(perToken time.Duration) { p.transferTime = perToken }

// withFetch returns a choice with the upstream from which the shared parts of the prompt are
// fetched, if that is faster than to prefill them again. The choice itself does not depend on
// it, so that requests still gather at the upstream that caches their prefix.
func (p *placer) withFetch(now time.Time, request Request, choice Choice, preferred *upstreamState) Choice {
	if p.transferTime <= 0 || p.transferTime > maxTransferTime {
		return choice
	}
	chosen, ok := p.byID[choice.Upstream.ID]
	if !ok || sharedTokens(request)-chosen.cachedPrefix(now, request) < minFetchTokens {
		return choice
	}
	source := p.prefixHolder(now, request, chosen)
	if source == nil && preferred != chosen {
		source = preferred
	}
	if source == nil || source.ejected(now) {
		return choice
	}
	choice.FetchFrom = source.Address
	choice.PrefillTokens = min(choice.PrefillTokens, chosen.uncachedTokens(now, request, true))
	// How much the source has cached is not known well enough to learn from the time.
	choice.measurable = false
	return choice
}

// prefixHolder returns the upstream to which this host lately sent the longest part of the
// shared prefix, if that is enough to fetch it.
func (p *placer) prefixHolder(now time.Time, request Request, chosen *upstreamState) *upstreamState {
	var holder *upstreamState
	longest := minFetchTokens - 1
	for _, s := range p.sorted {
		if s == chosen || s.Leaving {
			continue
		}
		if cached := s.cachedPrefix(now, request); cached > longest {
			holder, longest = s, cached
		}
	}
	return holder
}

// sharedTokens returns the length of the parts that other requests may share.
func sharedTokens(request Request) int {
	sum := 0
	for _, part := range request.SharedParts() {
		sum += part.Tokens
	}
	return sum
}

// cachedPrefix returns the number of tokens of the shared prefix that the upstream is known
// to cache.
func (s *upstreamState) cachedPrefix(now time.Time, request Request) int {
	sum := 0
	for _, part := range request.SharedParts() {
		if !s.cache.contains(now, part.ID) {
			break
		}
		sum += part.Tokens
	}
	return sum
}
