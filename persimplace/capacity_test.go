package persimplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// newUpstreams returns a placer with upstreams that have nothing to do.
func newUpstreams(count int) Placer {
	var list []persimcatalog.Upstream
	for i := range count {
		list = append(list, persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: fmt.Sprint(i), Born: 1}, Slots: 4, Leaving: i == 0})
	}
	p := New()
	p.SetUpstreams(list)
	return p
}

// TestCapacity checks that upstreams that leave, fail or are slow do not count in full: shares of
// a capacity that is not there make everybody late.
func TestCapacity(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := newUpstreams(5)
	require.InDelta(t, 4, p.Capacity(now), 1e-9, "one leaves")
	p.RecordReport(now, Hash("1"), Report{Slowdown: 2})
	require.InDelta(t, 3.5, p.Capacity(now), 1e-9, "one is slow")
	choice := Choice{Upstream: persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: "2", Born: 1}}}
	p.EndAttempt(now, p.StartAttempt(now, Request{}, choice), OutcomeConnectFailed)
	require.InDelta(t, 2.5, p.Capacity(now), 1e-9, "one is not reached")
	require.InDelta(t, 4, p.Capacity(now.Add(time.Minute)), 1e-9, "later")
}

// TestSpread checks that a request with a spread may go to any upstream within it, and others to
// the best ones only.
func TestSpread(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := newUpstreams(5)
	for _, id := range []string{"2", "3", "4"} {
		choice := Choice{Upstream: persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: id, Born: 1}}, PrefillTokens: 10_000}
		p.StartAttempt(now, Request{Tokens: 10_000}, choice)
	}
	chosen := func(spread time.Duration, parts ...Part) map[string]int {
		counts := map[string]int{}
		for range 2000 {
			choice, ok := p.Choose(now, Request{Tokens: 10_000, Spread: spread, Parts: parts})
			require.True(t, ok)
			counts[choice.Upstream.ID]++
		}
		return counts
	}
	require.Len(t, chosen(0), 1)
	require.Len(t, chosen(400*time.Millisecond), 4)

	// All but an end of the prompt is cached at an upstream that has no other work.
	parts := []Part{{ID: 1, Tokens: 9900}, {ID: 2, Tokens: 100}}
	cached := Choice{Upstream: persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: "1", Born: 1}}}
	p.EndAttempt(now, p.StartAttempt(now, Request{Tokens: 10_000, Parts: parts}, cached), OutcomeSuccess)
	require.Equal(t, map[string]int{"1": 2000}, chosen(90*time.Millisecond, parts...), "the cache decides")
}
