package persimadmit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1_000_000, 0)

// admitted returns the share of new and returned callers that a limiter admits.
func admitted(l Limiter, k Key, returnedShare float64) (fresh, returned float64) {
	random := rand.New(rand.NewPCG(1, 1))
	var asked, got [2]float64
	for range 40_000 {
		kind := 0
		if random.Float64() < returnedShare {
			kind = 1
		}
		asked[kind]++
		if _, ok := l.Admit(testStart, "s", k.Rank, k.Organisation, random.Uint64(), kind == 1); ok {
			got[kind]++
		}
	}
	return got[0] / max(1, asked[0]), got[1] / max(1, asked[1])
}

// TestAdmitsTheShare checks that the share of a priority that fits is admitted, whatever part of
// its callers has come back, and that these are preferred.
func TestAdmitsTheShare(t *testing.T) {
	for _, returnedShare := range []float64{0, 0.2, 0.5, 0.9} {
		l := New(WithUtilisation(1))
		l.SetLoads(testStart, "s", Loads{key(0, "a"): 4, key(2, "b"): 8}, 8)
		first, _ := admitted(l, key(0, "a"), returnedShare)
		require.InDelta(t, 1, first, 1e-9)
		fresh, again := admitted(l, key(2, "b"), returnedShare)
		require.InDelta(t, 0.5, fresh*(1-returnedShare)+again*returnedShare, 0.03, "returned %v", returnedShare)
		if returnedShare > 0 {
			require.Greater(t, again, fresh)
		}
	}
}

// TestAdmitsWithoutLoads checks that a limiter that knows of no shortage refuses nothing: one
// that does would turn callers away for no reason.
func TestAdmitsWithoutLoads(t *testing.T) {
	l := New()
	require.True(t, admits(l, testStart, key(2, "b")), "no loads")
	l.SetLoads(testStart, "s", Loads{key(2, "b"): 8}, 80)
	require.True(t, admits(l, testStart, key(2, "b")), "enough capacity")
	l.SetLoads(testStart, "s", Loads{key(2, "b"): 8}, 0)
	require.False(t, admits(l, testStart, key(2, "b")), "no capacity")
	require.True(t, admits(l, testStart, key(2, "unknown")), "an organisation without work so far")
	require.True(t, admits(l, testStart.Add(loadsTTL+time.Second), key(2, "b")), "old loads")
}

func admits(l Limiter, now time.Time, k Key) bool {
	_, ok := l.Admit(now, "s", k.Rank, k.Organisation, 1, false)
	return ok
}

// TestDelayFollowsTheBacklog checks that callers are asked to stay away longer the more work is
// turned away, within bounds.
func TestDelayFollowsTheBacklog(t *testing.T) {
	previous := time.Duration(0)
	for _, busy := range []float64{9, 12, 20, 40} {
		l := New(WithUtilisation(1))
		l.SetLoads(testStart, "s", Loads{key(2, "b"): busy}, 8)
		delay := time.Duration(0)
		for hash := uint64(0); delay == 0; hash++ {
			delay, _ = l.Admit(testStart, "s", 2, "b", hash, false)
		}
		require.Greater(t, delay, previous, "work %v", busy)
		require.LessOrEqual(t, delay, maxDelay)
		previous = delay
	}
}

// TestAhead checks the share of the capacity that overtakes a priority.
func TestAhead(t *testing.T) {
	l := New()
	l.SetLoads(testStart, "s", Loads{key(0, "a"): 2, key(2, "b"): 3}, 10)
	require.InDelta(t, 0, l.Ahead(testStart, "s", 0), 1e-9)
	require.InDelta(t, 0.2, l.Ahead(testStart, "s", 2), 1e-9)
	require.InDelta(t, 0.5, l.Ahead(testStart, "s", 3), 1e-9)
	require.Zero(t, l.Ahead(testStart, "other", 3))
}

// TestReturns checks that a caller is known when it comes back, and how much too early.
func TestReturns(t *testing.T) {
	r := NewReturns()
	r.Refuse(testStart, 1, time.Second)
	early, returned := r.Check(testStart.Add(200*time.Millisecond), 1)
	require.True(t, returned)
	require.Equal(t, 800*time.Millisecond, early)
	early, returned = r.Check(testStart.Add(2*time.Second), 1)
	require.True(t, returned)
	require.Zero(t, early)
	_, returned = r.Check(testStart.Add(returnTTL+time.Second), 1)
	require.False(t, returned, "long ago")
	for i := range uint64(3 * maxReturns) {
		r.Refuse(testStart, 10+i, time.Second)
	}
	require.LessOrEqual(t, len(r.refused), maxReturns)
	_, returned = r.Check(testStart, 9+3*maxReturns)
	require.True(t, returned, "the latest one")
}

// TestLengths checks that the order is turned round only once enough prompts were seen, and not
// by averages that nearly match.
func TestLengths(t *testing.T) {
	l := NewLengths()
	observe := func(route string, tokens, count int) {
		for range count {
			l.Observe(route, tokens)
		}
	}
	observe("a", 12_000, minPrompts-1)
	observe("b", 2_400, minPrompts)
	require.False(t, l.Longer("a", "b"), "too few prompts")
	observe("a", 12_000, 1)
	require.True(t, l.Longer("a", "b"))
	require.False(t, l.Longer("b", "a"))
	observe("c", 10_000, 2*minPrompts)
	observe("d", 10_500, 2*minPrompts)
	require.False(t, l.Longer("d", "c"), "nearly equal")
	observe("a", 2_500, 20*maxPrompts)
	require.True(t, l.Longer("a", "b"), "still longer")
	observe("a", 2_000, 20*maxPrompts)
	require.False(t, l.Longer("a", "b"))
}

// TestTally checks that the work of a steady load is right from early on, and that it fades.
func TestTally(t *testing.T) {
	busy := func(prefill, output float64) float64 { return max(prefill/1000, output/100_000) }
	tally, now := NewTally(), testStart
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		tally.Add(now, key(0, "a"), Work{Prefill: 30, Output: 10})
		tally.Add(now, key(2, "b"), Work{Prefill: 10, Output: 10})
		if now.Sub(testStart) >= minTallyWindow {
			loads := tally.Loads(now, busy)
			require.InEpsilon(t, 3, loads[key(0, "a")], 0.1)
			require.InEpsilon(t, 1, loads[key(2, "b")], 0.1)
		}
	}
	require.Greater(t, tally.Certainty(now), 0.9)
	require.Empty(t, tally.Loads(now.Add(time.Minute), busy))
	require.Zero(t, tally.Certainty(now.Add(time.Minute)))
}
