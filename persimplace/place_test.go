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

const testCacheCapacity = 900_000

func newPlacer(seed uint64, count int) Placer {
	p := New(WithRandom(rand.New(rand.NewPCG(seed, 1))))
	p.SetCacheCapacity(testCacheCapacity)
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

func prompt(shared uint64, private uint64) Request {
	return Request{Tokens: 12_000, Parts: []Part{{ID: 1, Tokens: 500}, {ID: 100 + shared, Tokens: 5_000}, {ID: 1_000_000 + private, Tokens: 6_500}}}
}

func choose(t *testing.T, p Placer, now time.Time, request Request) Choice {
	t.Helper()
	choice, ok := p.Choose(now, request)
	require.True(t, ok)
	return choice
}

func TestHostsAgreeOnUpstreamForSharedPrefix(t *testing.T) {
	first, second := newPlacer(1, 12), newPlacer(2, 12)
	for shared := range uint64(50) {
		one := choose(t, first, start, prompt(shared, 1)).Upstream.ID
		two := choose(t, second, start, prompt(shared, 2)).Upstream.ID
		require.Equal(t, one, two, "hosts without shared state agree on prompt %d", shared)
	}
}

func TestPopularPrefixSpreadsOverUpstreams(t *testing.T) {
	p := newPlacer(1, 12)
	used := map[string]int{}
	for i := range uint64(60) {
		request := prompt(7, i)
		choice := choose(t, p, start, request)
		used[choice.Upstream.ID]++
		p.StartAttempt(start, request, choice)
	}
	require.Greater(t, len(used), 6)
	for id, count := range used {
		require.LessOrEqual(t, count, 12, id)
	}
}

func TestPeerLoadAffectsChoice(t *testing.T) {
	p := newPlacer(1, 2)
	request := prompt(1, 1)
	preferred := choose(t, p, start, request).Upstream.ID
	p.SetPeerLoads(start, "b", map[uint64]PeerLoad{Hash(preferred): {Requests: 10, Normal: 120_000}})
	require.NotEqual(t, preferred, choose(t, p, start, request).Upstream.ID)
	t.Run("until it expires", func(t *testing.T) {
		require.Equal(t, preferred, choose(t, p, start.Add(2*peerLoadTTL), request).Upstream.ID)
	})
}

func TestUrgentDoesNotWaitForNormal(t *testing.T) {
	p := newPlacer(1, 1)
	request := prompt(1, 1)
	for range 5 {
		p.StartAttempt(start, request, choose(t, p, start, request))
	}
	urgentRequest := Request{Tokens: 1000, Urgent: true}
	urgent := choose(t, p, start, urgentRequest).Expected
	require.Less(t, urgent, 30*time.Millisecond)
	require.Greater(t, choose(t, p, start, prompt(2, 2)).Expected, 4*urgent)
}

func TestSilentUpstreamIsEjected(t *testing.T) {
	p := newPlacer(1, 4)
	request := prompt(1, 1)
	silent := choose(t, p, start, request)
	p.StartAttempt(start, request, silent)
	now := start.Add(silenceTimeout + 2*silent.Expected + time.Millisecond)
	for range 20 {
		require.NotEqual(t, silent.Upstream.ID, choose(t, p, now, request).Upstream.ID)
	}
}

func TestUpstreamThatOthersHearIsNotSilent(t *testing.T) {
	p := newPlacer(1, 1)
	request := prompt(1, 1)
	ticket := p.StartAttempt(start, request, choose(t, p, start, request))
	require.True(t, p.Silent(ticket))
	p.RecordReport(start.Add(time.Millisecond), Hash("u0"), Report{Running: 3, Slots: 64})
	require.False(t, p.Silent(ticket))
}

func TestFailingUpstreamIsEjectedTemporarily(t *testing.T) {
	p := newPlacer(1, 4)
	request := prompt(1, 1)
	failing := choose(t, p, start, request)
	for range ejectionFailures {
		p.EndAttempt(start, p.StartAttempt(start, request, failing), OutcomeFailed)
	}
	require.NotEqual(t, failing.Upstream.ID, choose(t, p, start.Add(DefaultEjectionTime/2), request).Upstream.ID)
	require.Equal(t, failing.Upstream.ID, choose(t, p, start.Add(2*DefaultEjectionTime), request).Upstream.ID)
}

func TestUnreachedUpstreamIsAvoidedAtOnce(t *testing.T) {
	p := newPlacer(1, 4)
	request := prompt(1, 1)
	unreachable := choose(t, p, start, request)
	p.EndAttempt(start, p.StartAttempt(start, request, unreachable), OutcomeConnectFailed)
	require.NotEqual(t, unreachable.Upstream.ID, choose(t, p, start.Add(DefaultEjectionTime/2), request).Upstream.ID)
	require.Equal(t, unreachable.Upstream.ID, choose(t, p, start.Add(2*DefaultEjectionTime), request).Upstream.ID)
}

func TestEjectedShareIsBounded(t *testing.T) {
	p := newPlacer(1, 4)
	for _, upstream := range makeUpstreams(4) {
		for range ejectionFailures {
			choice := Choice{Upstream: upstream}
			p.EndAttempt(start, p.StartAttempt(start, Request{Tokens: 1}, choice), OutcomeFailed)
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
	_, ok := p.Choose(start, Request{Exclude: []string{"u1"}})
	require.False(t, ok)
}

func TestSlowUpstreamIsNotChosen(t *testing.T) {
	p := newPlacer(1, 2)
	p.RecordReport(start, Hash("u0"), Report{Slots: 6, Slowdown: 2.5})
	for range 20 {
		require.Equal(t, "u1", choose(t, p, start, Request{}).Upstream.ID)
	}
}

func TestEndedAttemptsLeaveNoLoad(t *testing.T) {
	p := newPlacer(1, 1)
	request := prompt(1, 1)
	responded := p.StartAttempt(start, request, choose(t, p, start, request))
	aborted := p.StartAttempt(start, request, choose(t, p, start, request))
	p.RecordResponse(start, responded)
	p.EndAttempt(start, responded, OutcomeSuccess)
	p.EndAttempt(start, responded, OutcomeSuccess)
	p.EndAttempt(start, aborted, OutcomeNeutral)
	require.Empty(t, p.OwnLoads())
}
