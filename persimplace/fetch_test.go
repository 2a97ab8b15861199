package persimplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// placeUntilOther places requests with the same prefix until an upstream is chosen that
// differs from the first one, and returns the first choice and that one.
func placeUntilOther(t *testing.T, p Placer) (Choice, Choice) {
	t.Helper()
	first := choose(t, p, start, prompt(1, 1))
	p.StartAttempt(start, prompt(1, 1), first)
	for i := range uint64(40) {
		choice := choose(t, p, start, prompt(1, 2+i))
		if choice.Upstream.ID != first.Upstream.ID {
			return first, choice
		}
		p.StartAttempt(start, prompt(1, 2+i), choice)
	}
	require.Fail(t, "no other upstream was chosen")
	return Choice{}, Choice{}
}

func newFetchingPlacer(seed uint64, perToken time.Duration) Placer {
	p := newPlacer(seed, 4)
	p.SetTransferTime(perToken)
	return p
}

// TestSharedPrefixIsFetched guards against prompts that are prefilled again beside an
// upstream that has them cached, and against fetches that take longer than that.
func TestSharedPrefixIsFetched(t *testing.T) {
	t.Run("fast link", func(t *testing.T) {
		first, other := placeUntilOther(t, newFetchingPlacer(1, time.Microsecond))
		require.Empty(t, first.FetchFrom, "nothing is cached elsewhere")
		require.Equal(t, first.Upstream.Address, other.FetchFrom)
		require.Equal(t, prompt(1, 1).Parts[2].Tokens, other.PrefillTokens, "only the last part is prefilled")
	})
	for name, perToken := range map[string]time.Duration{"no transfer": 0, "slow link": maxTransferTime + 1} {
		t.Run(name, func(t *testing.T) {
			_, other := placeUntilOther(t, newFetchingPlacer(1, perToken))
			require.Empty(t, other.FetchFrom)
		})
	}
	t.Run("not from an upstream that leaves", func(t *testing.T) {
		p := newFetchingPlacer(1, time.Microsecond)
		first, _ := placeUntilOther(t, p)
		upstreams := makeUpstreams(4)
		for i := range upstreams {
			upstreams[i].Leaving = upstreams[i].ID == first.Upstream.ID
		}
		p.SetUpstreams(upstreams)
		require.Empty(t, choose(t, p, start, prompt(1, 99)).FetchFrom)
	})
	t.Run("not from an ejected upstream", func(t *testing.T) {
		p := newFetchingPlacer(1, time.Microsecond)
		first, _ := placeUntilOther(t, p)
		for range ejectionFailures {
			p.EndAttempt(start, p.StartAttempt(start, prompt(2, 98), first), OutcomeFailed)
		}
		require.Empty(t, choose(t, p, start, prompt(1, 99)).FetchFrom)
	})
	t.Run("no prompt", func(t *testing.T) {
		require.Empty(t, choose(t, newFetchingPlacer(1, time.Microsecond), start, Request{}).FetchFrom)
	})
}

// TestPlacementsOfOtherHosts guards against prefixes that one host of many prefills again,
// since it sees only a small part of the requests.
func TestPlacementsOfOtherHosts(t *testing.T) {
	one, two := newFetchingPlacer(1, time.Microsecond), newFetchingPlacer(2, time.Microsecond)
	first := choose(t, one, start, prompt(1, 1))
	one.StartAttempt(start, prompt(1, 1), first)
	later := start.Add(300 * time.Millisecond)
	placements := one.Placements(later)
	require.Len(t, placements, 1)
	require.True(t, placements[0].Own)
	two.RecordPlacements(later, placements)
	choice := choose(t, two, later, prompt(1, 2))
	require.True(t, choice.Upstream.ID == first.Upstream.ID || choice.FetchFrom == first.Upstream.Address)
	t.Run("they are told from its own", func(t *testing.T) {
		require.Len(t, two.Placements(later), 1)
		require.False(t, two.Placements(later)[0].Own)
	})
	t.Run("one that comes again is not passed on longer", func(t *testing.T) {
		two.RecordPlacements(later, placements)
		require.Len(t, two.Placements(later), 1)
		require.Empty(t, two.Placements(start.Add(placementTTL+time.Millisecond)))
	})
	t.Run("their number is bounded", func(t *testing.T) {
		for i := range uint64(2 * maxPlacements) {
			one.StartAttempt(later, prompt(i, i), choose(t, one, later, prompt(i, i)))
		}
		require.Len(t, one.Placements(later), maxPlacements)
	})
	t.Run("none where prefixes are not transferred", func(t *testing.T) {
		p := newPlacer(1, 4)
		p.StartAttempt(start, prompt(1, 1), choose(t, p, start, prompt(1, 1)))
		require.Empty(t, p.Placements(start))
	})
}
