package persimplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fetchFrom loads the upstream that caches a prefix until another one is chosen, and
// returns the two and the choice.
func fetchFrom(t *testing.T, perToken time.Duration) (Placer, Choice, Choice) {
	t.Helper()
	p := newPlacer(1, 4)
	p.SetTransferTime(perToken)
	first := choose(t, p, start, prompt(1, 1))
	for i := range uint64(40) {
		choice := choose(t, p, start, prompt(1, 2+i))
		if choice.Upstream.ID != first.Upstream.ID {
			return p, first, choice
		}
		p.StartAttempt(start, prompt(1, 2+i), choice)
	}
	require.Fail(t, "no other upstream was chosen")
	return nil, Choice{}, Choice{}
}

// TestSharedPartsAreFetched guards against prompts that are prefilled again beside an
// upstream that has them cached, and against fetches that take longer than that.
func TestSharedPartsAreFetched(t *testing.T) {
	t.Run("fast link", func(t *testing.T) {
		_, first, other := fetchFrom(t, time.Microsecond)
		require.Empty(t, first.FetchFrom, "nothing is cached elsewhere")
		require.Equal(t, first.Upstream.Address, other.FetchFrom)
	})
	t.Run("fewer tokens are left to prefill", func(t *testing.T) {
		_, _, without := fetchFrom(t, 0)
		_, _, with := fetchFrom(t, time.Microsecond)
		require.Equal(t, without.Upstream.ID, with.Upstream.ID, "the choice is the same")
		require.Less(t, with.PrefillTokens, without.PrefillTokens)
	})
	for name, perToken := range map[string]time.Duration{"no transfer": 0, "slow link": maxTransferTime + 1} {
		t.Run(name, func(t *testing.T) {
			_, _, other := fetchFrom(t, perToken)
			require.Empty(t, other.FetchFrom)
		})
	}
	t.Run("not from an upstream that leaves", func(t *testing.T) {
		p, first, _ := fetchFrom(t, time.Microsecond)
		upstreams := makeUpstreams(4)
		for i := range upstreams {
			upstreams[i].Leaving = upstreams[i].ID == first.Upstream.ID
		}
		p.SetUpstreams(upstreams)
		require.NotEqual(t, first.Upstream.Address, choose(t, p, start, prompt(1, 99)).FetchFrom)
	})
	t.Run("not from an ejected upstream", func(t *testing.T) {
		p, first, _ := fetchFrom(t, time.Microsecond)
		for range ejectionFailures {
			p.EndAttempt(start, p.StartAttempt(start, prompt(1, 98), first), OutcomeFailed)
		}
		require.NotEqual(t, first.Upstream.Address, choose(t, p, start, prompt(1, 99)).FetchFrom)
	})
	t.Run("no prompt", func(t *testing.T) {
		p, _, _ := fetchFrom(t, time.Microsecond)
		require.Empty(t, choose(t, p, start, Request{}).FetchFrom)
	})
}
