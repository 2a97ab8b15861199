package persimrollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

var testOrder = Order{Service: testService, Target: testNew, Revision: 3, Duration: time.Minute}

// newTestTraffic returns a Traffic with upstreams of versions, and these.
func newTestTraffic(versions map[string]int) (Traffic, map[string][]persimcatalog.Upstream) {
	byVersion := map[string][]persimcatalog.Upstream{}
	var all []persimcatalog.Upstream
	for version, count := range versions {
		for i := range count {
			u := persimcatalog.Upstream{
				Incarnation: persimcatalog.Incarnation{ID: fmt.Sprint(version, "-", i), Born: 1},
				Service:     testService, Version: version, Centre: "dc0",
			}
			byVersion[version] = append(byVersion[version], u)
			all = append(all, u)
		}
	}
	traffic := NewTraffic()
	traffic.SetUpstreams(testStart, map[string][]persimcatalog.Upstream{testService: all})
	return traffic, byVersion
}

func testNews(phase Phase, sequence int64) News {
	return News{Order: testOrder, Phase: phase, Fence: 1, Sequence: sequence}
}

// versionsAllowed returns the versions that have an allowed upstream.
func versionsAllowed(t Traffic, now time.Time, upstreams map[string][]persimcatalog.Upstream, a Assignment) map[string]int {
	allowed := map[string]int{}
	for version, list := range upstreams {
		for _, u := range list {
			if t.Allowed(now, testService, u, a) {
				allowed[version]++
			}
		}
	}
	return allowed
}

// A host that sends the requests of a phase to the wrong version.
func TestPhasesChooseTheVersion(t *testing.T) {
	current, target := Assignment{Side: SideCurrent}, Assignment{Side: SideTarget}
	for _, test := range []struct {
		name     string
		phase    Phase
		age      time.Duration
		assigned Assignment
		allowed  map[string]int
	}{
		{"no rollout", PhaseNone, 0, Assignment{}, map[string]int{testOld: 9}},
		{"observing, current", PhaseObserving, 0, current, map[string]int{testOld: 9}},
		{"observing, target", PhaseObserving, 0, target, map[string]int{testNew: 1}},
		{"observing, no news", PhaseObserving, FreshTime + 1, target, map[string]int{testOld: 9}},
		{"shifting", PhaseShifting, 0, current, map[string]int{testNew: 8}},
		{"shifting, no news", PhaseShifting, FreshTime + 1, target, map[string]int{testOld: 9}},
		{"reverting", PhaseReverting, 0, target, map[string]int{testOld: 9}},
		{"reverting, no news", PhaseReverting, time.Hour, target, map[string]int{testOld: 9}},
		{"completed, no news", PhaseCompleted, time.Hour, current, map[string]int{testNew: 8}},
		{"rolled back, no news", PhaseRolledBack, time.Hour, target, map[string]int{testOld: 9}},
	} {
		t.Run(test.name, func(t *testing.T) {
			traffic, upstreams := newTestTraffic(map[string]int{testOld: 9, testNew: 8, "v0": 3})
			news := testNews(test.phase, 1)
			news.Age, news.Closed = test.age, []string{"v0"}
			traffic.Merge(testStart, []News{news})
			require.Equal(t, test.allowed, versionsAllowed(traffic, testStart, upstreams, test.assigned))
		})
	}
}

// A request that finds no upstream although some version has one.
func TestOtherVersionServesWhereNoneIsLeft(t *testing.T) {
	for phase, versions := range map[Phase]map[string]int{
		PhaseObserving:  {testNew: 2},
		PhaseShifting:   {testOld: 2},
		PhaseReverting:  {testNew: 2},
		PhaseCompleted:  {testOld: 2},
		PhaseRolledBack: {"v0": 2},
	} {
		t.Run(phase.String(), func(t *testing.T) {
			traffic, upstreams := newTestTraffic(versions)
			news := testNews(phase, 1)
			news.Closed = []string{"v0"}
			traffic.Merge(testStart, []News{news})
			require.Equal(t, versions, versionsAllowed(traffic, testStart, upstreams, Assignment{Side: SideCurrent}))
		})
	}
}

// A host that starts during a rollout and sends all its requests to the new version.
func TestVersionInUseWithoutNews(t *testing.T) {
	traffic, upstreams := newTestTraffic(map[string]int{testOld: 4, testNew: 3})
	require.Equal(t, map[string]int{testOld: 4}, versionsAllowed(traffic, testStart, upstreams, Assignment{}))
	more := append(upstreams[testNew], persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: "x"}, Version: testNew},
		persimcatalog.Upstream{Incarnation: persimcatalog.Incarnation{ID: "y"}, Version: testNew})
	traffic.SetUpstreams(testStart, map[string][]persimcatalog.Upstream{testService: append(more, upstreams[testOld]...)})
	require.Equal(t, map[string]int{testOld: 4}, versionsAllowed(traffic, testStart, upstreams, Assignment{}), "kept")
}

// A share of samples that exceeds the bounds on exposure, or is nothing at low rates.
func TestSampledShare(t *testing.T) {
	for rate, share := range map[float64]float64{0: 0.09, 50: 0.09 + 35.0/3000, 1000: 0.09 + 35.0/60000, 0.05: 0.5} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			traffic, _ := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
			news := testNews(PhaseObserving, 1)
			news.Rate = rate
			traffic.Merge(testStart, []News{news})
			random, sampled := rand.New(rand.NewPCG(1, 1)), 0
			const requests = 100_000
			for range requests {
				hash := random.Uint64()
				a := traffic.Assign(testStart, testService, hash)
				require.Equal(t, a, traffic.Assign(testStart, testService, hash), "a retry")
				if a.Side == SideTarget {
					sampled++
				}
			}
			require.InDelta(t, share, float64(sampled)/requests, 0.005)
		})
	}
}

// Sampled upstreams that differ from host to host, or of which one gets no request.
func TestUpstreamsTakeTurns(t *testing.T) {
	used := map[string]int{}
	for second := range 6 {
		now := testStart.Add(time.Duration(second) * time.Second)
		var chosen []string
		for range 3 {
			traffic, upstreams := newTestTraffic(map[string]int{testOld: 8, testNew: 8})
			news := testNews(PhaseObserving, 1)
			news.Elapsed = now.Sub(testStart)
			traffic.Merge(now, []News{news})
			for _, u := range upstreams[testNew] {
				if traffic.Allowed(now, testService, u, Assignment{Side: SideTarget}) {
					chosen = append(chosen, u.ID)
				}
			}
		}
		require.Len(t, chosen, 3)
		require.Equal(t, chosen[0], chosen[1])
		require.Equal(t, chosen[0], chosen[2])
		used[chosen[0]]++
	}
	require.Len(t, used, minSampledUpstreams)
}

// A request that the target failed and that is sent there again.
func TestFallback(t *testing.T) {
	fallback, ok := Assignment{Side: SideTarget}.Fallback()
	require.True(t, ok)
	require.Equal(t, SideCurrent, fallback.Side)
	_, ok = fallback.Fallback()
	require.False(t, ok)
}

// News that bring an order back to an earlier phase, or are lost.
func TestMerge(t *testing.T) {
	other := testNews(PhaseObserving, 9)
	other.Order = Order{Service: testService, Target: "v3", Revision: 4, Duration: time.Minute}
	fenced := testNews(PhaseObserving, 1)
	fenced.Fence = 2
	late := other
	late.Fence = 0
	for _, test := range []struct {
		name     string
		known    News
		received News
		taken    bool
	}{
		{"later phase", testNews(PhaseObserving, 5), testNews(PhaseShifting, 6), true},
		{"later phase with an older number", testNews(PhaseShifting, 5), testNews(PhaseReverting, 2), true},
		{"earlier phase of a new lease holder", testNews(PhaseShifting, 5), fenced, false},
		{"reverting after shifting", testNews(PhaseReverting, 5), testNews(PhaseShifting, 9), false},
		{"active after completed", testNews(PhaseCompleted, 5), testNews(PhaseShifting, 9), false},
		{"active after rolled back", testNews(PhaseRolledBack, 5), fenced, false},
		{"other order", testNews(PhaseRolledBack, 5), other, true},
		{"former order", testNews(PhaseObserving, 5), late, false},
		{"older number", testNews(PhaseObserving, 5), testNews(PhaseObserving, 4), false},
		{"unknown phase", testNews(PhaseObserving, 5), testNews(17, 6), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			traffic, _ := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
			traffic.Merge(testStart, []News{test.known})
			traffic.Merge(testStart, []News{test.received})
			expected := test.known
			if test.taken {
				expected = test.received
			}
			require.Equal(t, []News{expected}, traffic.News(testStart))
		})
	}
}

// News that seem fresh again at each host that passes them on.
func TestNewsGetOlder(t *testing.T) {
	first, _ := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
	second, upstreams := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
	first.Merge(testStart, []News{testNews(PhaseShifting, 1)})
	now := testStart.Add(2 * time.Second)
	changes := second.Merge(now, first.News(now))
	require.Len(t, changes, 1)
	require.Equal(t, 2*time.Second, changes[0].Age)
	now = now.Add(FreshTime - 2*time.Second + 1)
	require.Equal(t, map[string]int{testOld: 4}, versionsAllowed(second, now, upstreams, Assignment{}))
}

// Counters that leave out results, count what says nothing, or grow without bound.
func TestReports(t *testing.T) {
	t.Run("counts", func(t *testing.T) {
		traffic, upstreams := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
		end := traffic.Begin(testStart, testService, "a", upstreams[testOld][0])
		traffic.Merge(testStart, []News{testNews(PhaseObserving, 1)})
		target := upstreams[testNew][0]
		for _, result := range []Result{
			{Outcome: OutcomeSuccess, First: 3 * time.Second, FirstExpected: time.Second},
			{Outcome: OutcomeSuccess, First: time.Second, FirstExpected: time.Second, Cold: true},
			{Outcome: OutcomeFailed, First: time.Millisecond, FirstExpected: time.Second},
			{Outcome: OutcomeTimeout},
			{Outcome: OutcomeIgnored},
		} {
			result.Service, result.Route, result.Upstream = testService, "a", target
			traffic.Begin(testStart, testService, "a", target)()
			traffic.Record(testStart.Add(warmupTime), result)
		}
		report := traffic.Reports(testStart)[0]
		require.Equal(t, 1, report.OnOld)
		count := Count{Side: SideTarget, Route: "a", Centre: "dc0", Upstream: target.Hash(), Begun: 5, Ended: 4, Failed: 1}
		count.First[unitBucket+3], count.First[Buckets-1] = 1, 1
		require.Equal(t, []Count{count}, report.Counts)
		end()
		require.Zero(t, traffic.Reports(testStart)[0].OnOld)
	})
	t.Run("times of the first second", func(t *testing.T) {
		traffic, upstreams := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
		traffic.Merge(testStart, []News{testNews(PhaseObserving, 1)})
		result := Result{Service: testService, Upstream: upstreams[testNew][0], Outcome: OutcomeSuccess, First: 1, FirstExpected: 1}
		traffic.Record(testStart.Add(warmupTime-1), result)
		require.Zero(t, traffic.Reports(testStart)[0].Counts[0].First)
	})
	t.Run("bound", func(t *testing.T) {
		traffic, upstreams := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
		traffic.Merge(testStart, []News{testNews(PhaseObserving, 1)})
		for i := range 3 * maxCounts {
			traffic.Begin(testStart, testService, fmt.Sprint(i), upstreams[testOld][0])()
		}
		counts := traffic.Reports(testStart)[0].Counts
		require.LessOrEqual(t, len(counts), maxCounts+1)
		begun := int64(0)
		for _, count := range counts {
			begun += count.Begun
		}
		require.EqualValues(t, 3*maxCounts, begun)
	})
	t.Run("final", func(t *testing.T) {
		traffic, _ := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
		traffic.Merge(testStart, []News{testNews(PhaseCompleted, 1)})
		require.Empty(t, traffic.Reports(testStart))
	})
}

// Services that are kept after they are listed no more.
func TestServicesAreForgotten(t *testing.T) {
	traffic, upstreams := newTestTraffic(map[string]int{testOld: 4, testNew: 4})
	traffic.Merge(testStart, []News{testNews(PhaseRolledBack, 1)})
	end := traffic.Begin(testStart, testService, "a", upstreams[testOld][0])
	traffic.SetUpstreams(testStart, nil)
	require.Len(t, traffic.News(testStart), 1)
	end()
	traffic.SetUpstreams(testStart, nil)
	require.Empty(t, traffic.News(testStart))
	require.Empty(t, traffic.Merge(testStart, []News{testNews(PhaseRolledBack, 2)}))
	require.Empty(t, traffic.News(testStart))
}

// Benchmarks what each request costs while a rollout is observed.
func BenchmarkRequest(b *testing.B) {
	traffic, upstreams := newTestTraffic(map[string]int{testOld: 30, testNew: 30})
	traffic.Merge(testStart, []News{testNews(PhaseObserving, 1)})
	old := upstreams[testOld][0]
	b.ReportAllocs()
	for i := range b.N {
		a := traffic.Assign(testStart, testService, uint64(i))
		for _, u := range upstreams[testOld] {
			traffic.Allowed(testStart, testService, u, a)
		}
		traffic.Begin(testStart, testService, "a", old)()
		traffic.Record(testStart, Result{Service: testService, Route: "a", Upstream: old, Outcome: OutcomeSuccess, First: 1, FirstExpected: 1})
	}
}
