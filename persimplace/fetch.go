package persimplace

import "time"

const (
	// maxTransferTime is the time to transfer the KV cache of a token up to which prefixes
	// are transferred: a thousand tokens then take no longer than a step of an engine.
	maxTransferTime = 3 * time.Microsecond
	// minFetchTokens is the length of a shared prefix, in tokens, from which on it is
	// fetched; a shorter one is prefilled in the time that a fetch takes to begin.
	minFetchTokens = 1024
	// fetchDelay is the time that a fetch takes to begin.
	fetchDelay = 5 * time.Millisecond
)

func (p *placer) SetTransferTime(perToken time.Duration) { p.transferTime = perToken }

// transfersPrefixes reports whether upstreams fetch prefixes from each other.
func (p *placer) transfersPrefixes() bool {
	return p.transferTime > 0 && p.transferTime <= maxTransferTime
}

// transfersPrefix reports whether upstreams fetch the shared prefix of a request from each
// other.
func (p *placer) transfersPrefix(request Request) bool {
	return p.transfersPrefixes() && sharedTokens(request) >= minFetchTokens
}

// prefixHolder is the upstream that caches most of the shared prefix of a prompt, or none.
type prefixHolder struct {
	state        *upstreamState
	tokens       int
	transferTime time.Duration
}

// prefixHolder returns the upstream that is known to cache most of the shared prefix, if it
// is transferred.
func (p *placer) prefixHolder(now time.Time, request Request) prefixHolder {
	if !p.transfersPrefix(request) {
		return prefixHolder{}
	}
	holder := prefixHolder{tokens: minFetchTokens - 1, transferTime: p.transferTime}
	for _, s := range p.sorted {
		if s.Leaving || s.ejected(now) {
			continue
		}
		if cached := s.cachedPrefix(now, request); cached > holder.tokens {
			holder.state, holder.tokens = s, cached
		}
	}
	return holder
}

// fetch lets a choice fetch what the holder caches of the prefix beyond what the chosen
// upstream does, and returns the time that the transfer takes. It changes nothing if there
// is too little to fetch.
func (h prefixHolder) fetch(now time.Time, chosen *upstreamState, request Request, choice *Choice) time.Duration {
	if h.state == nil || h.state == chosen {
		return 0
	}
	fetched := h.tokens - chosen.cachedPrefix(now, request)
	if fetched < minFetchTokens {
		return 0
	}
	choice.FetchFrom = h.state.Address
	choice.PrefillTokens = max(0, choice.PrefillTokens-fetched)
	return fetchDelay + time.Duration(fetched)*h.transferTime
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
