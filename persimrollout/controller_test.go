package persimrollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// newTestController returns a Controller that has begun testOrder, and its fleet of one host.
func newTestController() (*controller, Fleet) {
	c := NewController(testService, 1).(*controller)
	c.SetObject(testStart, &Object{Order: testOrder})
	c.SetRecord(testStart, nil)
	fleet := Fleet{Configured: true, Hosts: []Host{{Name: "h", Incarnation: "1", Registered: true}}}
	for _, version := range []string{testOld, testNew} {
		for range 4 {
			fleet.Upstreams = append(fleet.Upstreams, persimcatalog.Upstream{Version: version})
		}
	}
	c.Decide(testStart, fleet)
	return c, fleet
}

// testReport returns a report on testOrder.
func testReport(phase Phase, counts ...Count) Report {
	return Report{Service: testService, Target: testNew, Revision: testOrder.Revision, Phase: phase, Counts: counts}
}

// A shift that is announced before its record is written, or never while the store is down.
func TestRecordIsWrittenBeforeShifting(t *testing.T) {
	for _, written := range []bool{false, true} {
		c, fleet := newTestController()
		now := testStart.Add(testOrder.Duration - time.Second)
		decision := c.Decide(now, fleet)
		require.Equal(t, PhaseObserving, decision.News.Phase)
		require.Equal(t, PhaseShifting, decision.Record.Phase)
		expected := PhaseObserving
		if written {
			c.SetRecord(now, decision.Record)
			expected = PhaseShifting
		}
		require.Equal(t, expected, c.Decide(now.Add(recordTimeout/2), fleet).News.Phase)
		require.Equal(t, PhaseShifting, c.Decide(now.Add(recordTimeout), fleet).News.Phase)
	}
}

// A shift of all requests to a version that is probably bad, but not as surely as a rollback
// at any other time needs.
func TestDoubtPreventsTheShift(t *testing.T) {
	for failed, phase := range map[int64]Phase{3: PhaseShifting, 9: PhaseReverting} {
		c, fleet := newTestController()
		now := testStart.Add(testOrder.Duration / 2)
		c.Observe(now, "h", "1", testReport(PhaseObserving, testCounts("a", 600, 3, 150, failed)...))
		require.Equal(t, PhaseObserving, c.Decide(now, fleet).News.Phase)
		now = testStart.Add(testOrder.Duration - time.Second)
		c.Decide(now, fleet)
		require.Equal(t, phase, c.Decide(now.Add(recordTimeout), fleet).News.Phase, "%d failed", failed)
	}
}

// The rate of requests that is too low until all hosts have told theirs.
func TestRate(t *testing.T) {
	c, fleet := newTestController()
	fleet.Hosts = append(fleet.Hosts, Host{Name: "i", Incarnation: "1", Registered: true})
	for second := range 3 {
		now := testStart.Add(time.Duration(second) * time.Second)
		c.Observe(now, "h", "1", testReport(PhaseObserving, Count{Side: SideCurrent, Begun: int64(10 * second)}))
		require.Zero(t, c.Decide(now, fleet).News.Rate)
	}
	for second := 3; second < 5; second++ {
		now := testStart.Add(time.Duration(second) * time.Second)
		c.Observe(now, "i", "1", testReport(PhaseObserving, Count{Side: SideCurrent, Begun: int64(5 * second)}))
	}
	require.InDelta(t, 15, c.Decide(testStart.Add(4*time.Second), fleet).News.Rate, 0.1)
}

// Counters of a host that restarted, or of another order, that are counted wrongly.
func TestObserve(t *testing.T) {
	c, _ := newTestController()
	report := func(begun int64) Report { return testReport(PhaseObserving, Count{Side: SideCurrent, Begun: begun}) }
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
