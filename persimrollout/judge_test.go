package persimrollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testCounts returns counts of both sides, of which the target has failures at three upstreams.
func testCounts(route string, current, currentFailed, target, targetFailed int64) []Count {
	counts := []Count{{Side: SideCurrent, Route: route, Centre: "dc0", Ended: current, Failed: currentFailed}}
	for upstream := range uint64(3) {
		counts = append(counts, Count{
			Side: SideTarget, Route: route, Centre: "dc0", Upstream: upstream + 1, Ended: target / 3, Failed: targetFailed / 3,
		})
	}
	return counts
}

func newTestMetrics(counts ...[]Count) *metrics {
	m := &metrics{}
	for _, list := range counts {
		for _, c := range list {
			m.add(c)
		}
	}
	return m
}

var testCircumstances = circumstances{upstreams: 4}

// A route with few requests whose failures the others hide, or failures of a route where the
// current version fails as often.
func TestRoutesAreJudgedAlone(t *testing.T) {
	busy := testCounts("busy", 90_000, 360, 9000, 36)
	for name, test := range map[string]struct {
		rare []Count
		bad  bool
	}{
		"good":         {testCounts("rare", 600, 3, 60, 0), false},
		"bad":          {testCounts("rare", 600, 3, 60, 18), true},
		"both failing": {testCounts("rare", 600, 180, 60, 18), false},
	} {
		t.Run(name, func(t *testing.T) {
			verdict := newTestMetrics(busy, test.rare).verdict(testStart.Add(time.Minute), testStart, testCircumstances)
			if !test.bad {
				require.Empty(t, verdict)
				return
			}
			require.Contains(t, verdict, `"rare"`)
		})
	}
}

// A shift of all requests to a version that is probably bad.
func TestDoubtPreventsTheShift(t *testing.T) {
	doubtful := newTestMetrics(testCounts("a", 600, 3, 105, 6))
	require.Empty(t, doubtful.verdict(testStart.Add(time.Minute), testStart, testCircumstances))
	require.NotEmpty(t, doubtful.doubt(testCircumstances))
	require.Empty(t, newTestMetrics(testCounts("a", 600, 3, 105, 3)).doubt(testCircumstances))
}

// Parts of the time that are lost, or kept without bound.
func TestSnapshotsGetSparse(t *testing.T) {
	m := newTestMetrics(testCounts("a", 600, 3, 60, 0))
	const last = 100_000 * time.Second
	for at := time.Duration(0); at <= last; at += time.Second {
		m.snapshot(testStart.Add(at))
	}
	require.LessOrEqual(t, len(m.snapshots), 40)
	for length := 2 * time.Second; length < last/2; length *= 2 {
		found := false
		for _, s := range m.snapshots {
			age := testStart.Add(last).Sub(s.at)
			found = found || age >= length/2 && age <= 2*length
		}
		require.True(t, found, "%v", length)
	}
}

// A median or a bucket that is off by one.
func TestHistogram(t *testing.T) {
	for took, place := range map[time.Duration]int{
		time.Second: unitBucket, 1400 * time.Millisecond: unitBucket, 1500 * time.Millisecond: unitBucket + 1,
		2 * time.Second: unitBucket + 2, 999 * time.Millisecond: unitBucket - 1, 0: 0, time.Hour: Buckets - 1,
	} {
		require.Equal(t, place, bucket(took, time.Second), "%v", took)
	}
	require.Equal(t, 5, Histogram{5: 3, 9: 2}.median())
	require.EqualValues(t, 2, Histogram{5: 3, 9: 2}.above(5))
}

// Counters of a host that restarted, or of another order, that are counted wrongly.
func TestObserve(t *testing.T) {
	c := NewController(testService, 1).(*controller)
	c.SetObject(testStart, &Object{Order: testOrder})
	c.SetRecord(testStart, nil)
	c.Decide(testStart, Fleet{Configured: true})
	report := func(begun int64) Report {
		return Report{Service: testService, Target: testNew, Revision: 3, Counts: []Count{{Side: SideCurrent, Begun: begun}}}
	}
	total := func() int64 { return c.metrics.counts[0].Begun }
	c.Observe(testStart, "h", "1", report(5))
	c.Observe(testStart, "h", "1", report(7))
	require.EqualValues(t, 7, total())
	c.Observe(testStart, "h", "1", report(6))
	require.EqualValues(t, 7, total(), "an older report")
	c.Observe(testStart, "h", "1", report(7))
	require.EqualValues(t, 7, total(), "the same one again")
	c.Observe(testStart, "h", "2", report(3))
	require.EqualValues(t, 10, total(), "a restarted host")
	other := report(50)
	other.Revision = 4
	c.Observe(testStart, "h", "2", other)
	require.EqualValues(t, 10, total(), "another order")
}
