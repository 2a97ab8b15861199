package persimplace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimengine"
)

// missed returns the share of the requests that were late, slow or refused.
func (f *fleet) missed() float64 {
	return float64(f.late+f.slow+f.refused) / float64(f.sent+f.refused)
}

const fleetMachines = 30

// playEngines offers engines of 64 slots 80 % of what they can serve, after change has
// changed some of them.
func playEngines(seed uint64, hosts int, learning bool, change func(f *fleet)) *fleet {
	f := newFleet(seed, hosts, fleetMachines, 64, learning)
	f.chunks, f.tokens, f.target = 1, 300, 1200*time.Millisecond
	change(f)
	f.offer(0.8)
	f.play(20 * time.Second)
	f.play(20 * time.Second)
	f.countUnfinished()
	return f
}

// compare returns the shares of missed requests without and with learned capacities, over
// some seeds.
func compare(hosts int, change func(f *fleet)) (before, after float64) {
	const seeds = 3
	for seed := range uint64(seeds) {
		before += playEngines(seed, hosts, false, change).missed() / seeds
		after += playEngines(seed, hosts, true, change).missed() / seeds
	}
	return before, after
}

// raceDetector is set in builds with the race detector.
var raceDetector bool

// fleetSizes returns the numbers of hosts. The large fleets run only without the race
// detector, which slows them down several times; the Makefile runs both.
func fleetSizes() []int {
	if raceDetector {
		return []int{7}
	}
	return []int{7, 80, 300}
}

func forFleets(t *testing.T, test func(t *testing.T, hosts int)) {
	t.Helper()
	t.Parallel()
	for _, hosts := range fleetSizes() {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			test(t, hosts)
		})
	}
}

// TestKneeIsNotOverloaded guards against requests that are late because every third engine
// slows down at a third of its slots and hosts load it like the others.
func TestKneeIsNotOverloaded(t *testing.T) {
	forFleets(t, func(t *testing.T, hosts int) {
		before, after := compare(hosts, func(f *fleet) {
			for i := 0; i < len(f.machines); i += 3 {
				f.machines[i].knee = 64.0 / 3
			}
		})
		t.Logf("missed %.4f before, %.4f after", before, after)
		require.LessOrEqual(t, after, before/4)
	})
}

// TestSlowEnginesGetLess guards against engines that are three times slower and loaded like
// the others.
func TestSlowEnginesGetLess(t *testing.T) {
	forFleets(t, func(t *testing.T, hosts int) {
		before, after := compare(hosts, func(f *fleet) {
			for i := 0; i < len(f.machines); i += 4 {
				f.machines[i].speed = 3
			}
		})
		t.Logf("missed %.4f before, %.4f after", before, after)
		require.Less(t, after, 0.95*before)
	})
}

// TestEqualEnginesAreServedAsBefore guards against noise that is taken for differences.
func TestEqualEnginesAreServedAsBefore(t *testing.T) {
	forFleets(t, func(t *testing.T, hosts int) {
		before, after := compare(hosts, func(*fleet) {})
		t.Logf("missed %.4f before, %.4f after", before, after)
		require.LessOrEqual(t, after, before+0.01)
	})
}

// TestReportedNoiseIsServedAsBefore guards against disturbances that engines report
// themselves and that are gone before they could be learned.
func TestReportedNoiseIsServedAsBefore(t *testing.T) {
	forFleets(t, func(t *testing.T, hosts int) {
		before, after := compare(hosts, func(f *fleet) { f.noisy = 0.15 })
		t.Logf("missed %.4f before, %.4f after", before, after)
		require.LessOrEqual(t, after, before+0.01)
	})
}

// TestChoicesWithoutDifferencesAreTheSame replays a sequence: upstreams whose estimates are
// close to the prior are chosen as without them.
func TestChoicesWithoutDifferencesAreTheSame(t *testing.T) {
	// The choices of the placer before it learned capacities, in the same sequence.
	const recorded = "50761354027652435704256401354123470536704573217031672530624706372543205467504627502765316035270152406132540751426741653425736217341270145320136751275637064206125734625041524375432760275361254105370524"
	for _, learning := range []bool{false, true} {
		t.Run(fmt.Sprint("learning ", learning), func(t *testing.T) {
			capacities := persimengine.NewCapacities(1)
			if !learning {
				capacities = unlearned{capacities}
			}
			require.Equal(t, recorded, replay(New(WithCapacities(capacities))))
		})
	}
}

// replay sends requests to upstreams that respond in nearly the usual time and returns the
// digits of the upstreams chosen.
func replay(p Placer) string {
	p.SetUpstreams(makeUpstreams(8))
	chosen := ""
	var tickets []*Ticket
	for i := range 200 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		request := Request{Tokens: 1000 + 10*(i%7), Parts: []Part{{ID: uint64(i), Tokens: 1000 + 10*(i%7)}}}
		choice, _ := p.Choose(now, request)
		chosen += choice.Upstream.ID[1:]
		tickets = append(tickets, p.StartAttempt(now, request, choice))
		if i >= 3 {
			ended := tickets[i-3]
			p.RecordResponse(now, ended)
			p.EndAttempt(now, ended, OutcomeSuccess)
		}
	}
	return chosen
}

// TestLimitedUpstreams guards against slow upstreams that operators don't see.
func TestLimitedUpstreams(t *testing.T) {
	const count, samples = 10, 200
	capacities := persimengine.NewCapacities(1)
	p := New(WithCapacities(capacities))
	p.SetUpstreams(makeUpstreams(count))
	observe := func(from time.Time, slowRatio float64) time.Time {
		at := from
		for i := range samples * count {
			at = at.Add(time.Millisecond)
			upstream := makeUpstreams(count)[i%count]
			ratio := 1.0
			if i%count == 0 {
				ratio = slowRatio
			}
			capacities.Observe(at, persimengine.Sample{Upstream: upstream.Hash(), Work: persimengine.WorkOutput, Load: 0.2, Ratio: ratio})
		}
		choose(t, p, at, prompt(1, 1))
		return at
	}
	at := observe(start, 3)
	limited := p.Limited()
	require.Len(t, limited, 1)
	require.Equal(t, "u0", limited[0].Upstream.ID)
	require.Greater(t, limited[0].Slowdown, 2.0)
	observe(at.Add(time.Minute), 1)
	require.Empty(t, p.Limited())
}
