package persimplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

var start = time.Unix(1_000_000, 0)

const testMemory = 900_000

func newPlacer(seed uint64, count int) Placer {
	p := New(WithRandom(rand.New(rand.NewPCG(seed, 1))))
	p.SetEngine(testMemory)
	p.SetUpstreams(makeUpstreams(count))
	return p
}

func makeUpstreams(count int) []persimcatalog.Upstream {
	var list []persimcatalog.Upstream
	for i := range count {
		list = append(list, persimcatalog.Upstream{
			Incarnation: persimcatalog.Incarnation{ID: fmt.Sprintf("u%d", i)},
			Address:     fmt.Sprintf("10.0.0.%d:80", i),
			Slots:       64,
		})
	}
	return list
}

func prompt(shared uint64, own uint64) Need {
	return Need{Tokens: 12_000, Parts: []Part{{ID: 1, Tokens: 500}, {ID: 100 + shared, Tokens: 5_000}, {ID: 1_000_000 + own, Tokens: 6_500}}}
}

func choose(t *testing.T, p Placer, now time.Time, need Need) Choice {
	t.Helper()
	choice, ok := p.Choose(now, need)
	require.True(t, ok)
	return choice
}

func TestSharedPromptsMeet(t *testing.T) {
	first, second := newPlacer(1, 12), newPlacer(2, 12)
	for shared := range uint64(50) {
		one := choose(t, first, start, prompt(shared, 1)).Upstream.ID
		two := choose(t, second, start, prompt(shared, 2)).Upstream.ID
		require.Equal(t, one, two, "hosts that know nothing of each other agree on prompt %d", shared)
	}
}

func TestHotPromptSpreads(t *testing.T) {
	p := newPlacer(1, 12)
	used := map[string]int{}
	for i := range uint64(60) {
		need := prompt(7, i)
		choice := choose(t, p, start, need)
		used[choice.Upstream.ID]++
		p.Send(start, need, choice)
	}
	require.Greater(t, len(used), 6)
	for id, count := range used {
		require.LessOrEqual(t, count, 12, id)
	}
}

func TestLoadOfOtherHostsCounts(t *testing.T) {
	p := newPlacer(1, 2)
	need := prompt(1, 1)
	home := choose(t, p, start, need).Upstream.ID
	p.Peer(start, "b", map[uint64]PeerLoad{Hash(home): {Requests: 10, Normal: 120_000}})
	require.NotEqual(t, home, choose(t, p, start, need).Upstream.ID)
	t.Run("until it is old", func(t *testing.T) {
		require.Equal(t, home, choose(t, p, start.Add(2*peerFresh), need).Upstream.ID)
	})
}

func TestUrgentDoesNotWaitForNormal(t *testing.T) {
	p := newPlacer(1, 1)
	need := prompt(1, 1)
	for range 5 {
		p.Send(start, need, choose(t, p, start, need))
	}
	short := Need{Tokens: 1000, Urgent: true}
	urgent := choose(t, p, start, short).Expected
	require.Less(t, urgent, 30*time.Millisecond)
	require.Greater(t, choose(t, p, start, prompt(2, 2)).Expected, 4*urgent)
}

func TestSilentUpstreamIsAvoided(t *testing.T) {
	p := newPlacer(1, 4)
	need := prompt(1, 1)
	silent := choose(t, p, start, need)
	p.Send(start, need, silent)
	now := start.Add(silenceToPause + 2*silent.Expected + time.Millisecond)
	for range 20 {
		require.NotEqual(t, silent.Upstream.ID, choose(t, p, now, need).Upstream.ID)
	}
}

func TestUpstreamThatOthersHearIsNotSilent(t *testing.T) {
	p := newPlacer(1, 1)
	need := prompt(1, 1)
	ticket := p.Send(start, need, choose(t, p, start, need))
	require.True(t, p.Silent(ticket))
	p.Report(start.Add(time.Millisecond), Hash("u0"), Report{Running: 3, Slots: 64})
	require.False(t, p.Silent(ticket))
}

func TestFailingUpstreamIsAvoidedForAWhile(t *testing.T) {
	p := newPlacer(1, 4)
	need := prompt(1, 1)
	failing := choose(t, p, start, need)
	for range failuresToPause {
		p.End(start, p.Send(start, need, failing), OutcomeFailed)
	}
	require.NotEqual(t, failing.Upstream.ID, choose(t, p, start.Add(DefaultPause/2), need).Upstream.ID)
	require.Equal(t, failing.Upstream.ID, choose(t, p, start.Add(2*DefaultPause), need).Upstream.ID)
}

func TestUnreachedUpstreamIsAvoidedAtOnce(t *testing.T) {
	p := newPlacer(1, 4)
	need := prompt(1, 1)
	gone := choose(t, p, start, need)
	p.End(start, p.Send(start, need, gone), OutcomeUnreached)
	require.NotEqual(t, gone.Upstream.ID, choose(t, p, start.Add(DefaultPause/2), need).Upstream.ID)
	require.Equal(t, gone.Upstream.ID, choose(t, p, start.Add(2*DefaultPause), need).Upstream.ID)
}

func TestAvoidanceIsBounded(t *testing.T) {
	p := newPlacer(1, 4)
	for _, upstream := range makeUpstreams(4) {
		for range failuresToPause {
			choice := Choice{Upstream: upstream}
			p.End(start, p.Send(start, Need{Tokens: 1}, choice), OutcomeFailed)
		}
	}
	used := map[string]bool{}
	for i := range uint64(100) {
		used[choose(t, p, start, prompt(i, i)).Upstream.ID] = true
	}
	require.NotEmpty(t, used)
}

func TestLeavingUpstreamsAreNotChosen(t *testing.T) {
	p := newPlacer(1, 2)
	list := makeUpstreams(2)
	list[0] = list[0].WithLeaving()
	p.SetUpstreams(list)
	for i := range uint64(30) {
		require.Equal(t, "u1", choose(t, p, start, prompt(i, i)).Upstream.ID)
	}
	_, ok := p.Choose(start, Need{Avoid: []string{"u1"}})
	require.False(t, ok)
}

func TestSlowUpstreamGetsLess(t *testing.T) {
	p := newPlacer(1, 2)
	p.Report(start, Hash("u0"), Report{Slots: 6, Slowdown: 2.5})
	for range 20 {
		require.Equal(t, "u1", choose(t, p, start, Need{}).Upstream.ID)
	}
}

func TestEndedAttemptsLeaveNoLoad(t *testing.T) {
	p := newPlacer(1, 1)
	need := prompt(1, 1)
	begun := p.Send(start, need, choose(t, p, start, need))
	broken := p.Send(start, need, choose(t, p, start, need))
	p.Begin(start, begun)
	p.End(start, begun, OutcomeGood)
	p.End(start, begun, OutcomeGood)
	p.End(start, broken, OutcomeLeft)
	require.Empty(t, p.Loads())
}
