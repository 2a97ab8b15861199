package persimplace

import "time"

// spread returns the difference in expected time that is left to chance. It falls with the part
// of the prompt that the upstream has cached, so that chance does not outweigh the cache.
func (r Request) spread(choice Choice) time.Duration {
	if r.Tokens == 0 {
		return jitter
	}
	return max(jitter, r.Spread*time.Duration(choice.PrefillTokens)/time.Duration(r.Tokens))
}
