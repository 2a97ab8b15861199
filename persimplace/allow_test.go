package persimplace

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// TestRequestUsesOnlyAllowedUpstreams guards against requests that reach a version which
// their assignment leaves out, also once all others are ejected or were tried.
func TestRequestUsesOnlyAllowedUpstreams(t *testing.T) {
	p := newPlacer(1, 6)
	allowed := []string{"u4", "u5"}
	request := prompt(1, 1)
	request.Allow = func(u persimcatalog.Upstream) bool { return slices.Contains(allowed, u.ID) }
	for i := range uint64(40) {
		request.Parts[1].ID = i
		choice := choose(t, p, start, request)
		require.Contains(t, allowed, choice.Upstream.ID)
		p.StartAttempt(start, request, choice)
	}
	t.Run("tried", func(t *testing.T) {
		request.Exclude = allowed
		_, ok := p.Choose(start, request)
		require.False(t, ok)
	})
	t.Run("ejected", func(t *testing.T) {
		request.Exclude = nil
		for range ejectionFailures {
			p.EndAttempt(start, p.StartAttempt(start, request, Choice{Upstream: makeUpstreams(6)[4]}), OutcomeFailed)
		}
		require.Equal(t, "u5", choose(t, p, start, request).Upstream.ID)
	})
}

// TestEjectionIsLimitedAmongAllowedUpstreams guards against a version whose upstreams are all
// ejected at once since there are as many of another version.
func TestEjectionIsLimitedAmongAllowedUpstreams(t *testing.T) {
	p, ok := newPlacer(1, 6).(*placer)
	require.True(t, ok)
	require.Equal(t, 3, p.maxEjected(Request{}))
	require.Equal(t, 1, p.maxEjected(Request{Allow: func(u persimcatalog.Upstream) bool { return u.ID < "u2" }}))
}
