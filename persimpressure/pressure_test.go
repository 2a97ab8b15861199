package persimpressure

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// later is a time after testStart.
var later = testStart.Add(time.Millisecond)

func newTestPressure() Pressure {
	p := New()
	p.SetUpstreams(testStart, []persimcatalog.Incarnation{testUpstream})
	return p
}

func kinds(changes []Change) []ChangeKind {
	var list []ChangeKind
	for _, change := range changes {
		list = append(list, change.Kind)
	}
	return list
}

func requireOpen(t *testing.T, p Pressure, at time.Time, upstream persimcatalog.Incarnation) {
	t.Helper()
	_, open := p.Check(at, upstream.Hash())
	require.True(t, open)
}

func requireClosed(t *testing.T, p Pressure, at time.Time, upstream persimcatalog.Incarnation, wait time.Duration) {
	t.Helper()
	got, open := p.Check(at, upstream.Hash())
	require.False(t, open)
	require.Equal(t, wait, got)
}

func TestUpstreamThatLeavesIsClosedUntilItsNextIncarnation(t *testing.T) {
	p := newTestPressure()
	require.Equal(t, []ChangeKind{ChangeLeaving}, kinds(p.Record(testStart, testStart, testUpstream, Signals{Leaving: true})))
	require.Empty(t, p.Record(later, later, testUpstream, Signals{LimitState: LimitAbsent}), "a response from before")
	requireClosed(t, p, testStart.Add(time.Hour), testUpstream, 0)
	next := persimcatalog.Incarnation{ID: testUpstream.ID, Born: testUpstream.Born + 1}
	p.SetUpstreams(testStart, []persimcatalog.Incarnation{next})
	requireOpen(t, p, testStart, next)
	requireClosed(t, p, testStart, testUpstream, 0)
}

func TestUpstreamIsClosedForTheTimeThatItAsksFor(t *testing.T) {
	tests := map[string]struct {
		waits []time.Duration
		want  time.Duration
	}{
		"a second":           {waits: []time.Duration{time.Second}, want: time.Second},
		"longer":             {waits: []time.Duration{time.Second, 3 * time.Second}, want: 3 * time.Second},
		"shorter afterwards": {waits: []time.Duration{3 * time.Second, time.Second}, want: 3 * time.Second},
		"a year":             {waits: []time.Duration{365 * 24 * time.Hour}, want: maxWait},
		"for ever":           {waits: []time.Duration{math.MaxInt64}, want: maxWait},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestPressure()
			for _, wait := range tt.waits {
				p.Record(testStart, testStart, testUpstream, Signals{Wait: wait})
			}
			require.Equal(t, 1, p.Counts(testStart).Waiting)
			requireClosed(t, p, testStart, testUpstream, tt.want)
			require.Empty(t, p.Expire(testStart))
			requireOpen(t, p, testStart.Add(tt.want), testUpstream)
			require.Equal(t, []ChangeKind{ChangeWaitEnd}, kinds(p.Expire(testStart.Add(tt.want))))
		})
	}
}

func TestMalformedHeadersAreReportedOnceAndChangeNothing(t *testing.T) {
	p := newTestPressure()
	p.Record(testStart, testStart, testUpstream, Signals{LimitState: LimitNamed, Limit: 2})
	malformed := Signals{Malformed: []string{"a"}}
	require.Equal(t, []ChangeKind{ChangeMalformed}, kinds(p.Record(testStart, testStart, testUpstream, malformed)))
	for range 100 {
		require.Empty(t, p.Record(testStart, testStart, testUpstream, malformed))
	}
	limit, named := p.Limit(testUpstream.Hash())
	require.True(t, named)
	require.InDelta(t, 2, limit, 0)
}

func TestInvalidLimitsChangeNothing(t *testing.T) {
	for _, limit := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		p := newTestPressure()
		require.Empty(t, p.Record(testStart, testStart, testUpstream, Signals{LimitState: LimitNamed, Limit: limit}))
		require.Empty(t, p.Merge(testStart, []News{{Upstream: testUpstream.Hash(), Named: true, Limit: limit, Version: 1}}))
		requireOpen(t, p, testStart, testUpstream)
	}
}

func TestHugeLimitIsNoLimit(t *testing.T) {
	p := newTestPressure()
	p.SetHosts(testStart, "a", []string{"b", "c"})
	p.Record(testStart, testStart, testUpstream, Signals{LimitState: LimitNamed, Limit: math.MaxFloat64})
	requireOpen(t, p, testStart.Add(time.Millisecond), testUpstream)
}

// TestAnswerToAnotherRequestEndsNoLimit guards against a limit that ends at all hosts since a
// faulty upstream repeats a response from before.
func TestAnswerToAnotherRequestEndsNoLimit(t *testing.T) {
	p := newTestPressure()
	p.Record(testStart, testStart, testUpstream, Signals{LimitState: LimitNamed, Limit: 2})
	require.Empty(t, p.Record(later, later, testUpstream, Signals{LimitState: LimitAbsent}.WithoutEnd()))
	_, named := p.Limit(testUpstream.Hash())
	require.True(t, named)
}

// TestResponseFromBeforeALimitDoesNotEndIt guards against a limit that ends at all hosts since
// a response came late that was written before it began.
func TestResponseFromBeforeALimitDoesNotEndIt(t *testing.T) {
	p := newTestPressure()
	began := testStart.Add(5 * time.Second)
	p.Record(began, testStart, testUpstream, Signals{LimitState: LimitNamed, Limit: 2})
	require.Empty(t, p.Record(began.Add(time.Second), testStart, testUpstream, Signals{LimitState: LimitAbsent}))
	_, named := p.Limit(testUpstream.Hash())
	require.True(t, named)
	sent := began.Add(time.Millisecond)
	require.Equal(t, []ChangeKind{ChangeLimitEnd}, kinds(p.Record(began.Add(time.Second), sent, testUpstream, Signals{LimitState: LimitAbsent})))
}

// TestNewsThatGoesRoundDoesNotSeemNew guards against an old limit that returns from a host
// that was cut off while it ended.
func TestNewsThatGoesRoundDoesNotSeemNew(t *testing.T) {
	p := newTestPressure()
	p.Record(testStart, testStart, testUpstream, Signals{LimitState: LimitNamed, Limit: 2})
	old := p.News(testStart)
	require.Equal(t, []ChangeKind{ChangeLimitEnd}, kinds(p.Record(later, later, testUpstream, Signals{LimitState: LimitAbsent})))
	require.Empty(t, p.Merge(testStart.Add(time.Minute), old))
	requireOpen(t, p, testStart.Add(time.Minute), testUpstream)
}

func TestMemoryIsBoundedByTheListOfUpstreams(t *testing.T) {
	p, ok := newTestPressure().(*pressure)
	require.True(t, ok)
	now := testStart
	for i := range 1000 {
		incarnation := persimcatalog.Incarnation{ID: "u", Born: int64(i)}
		p.SetUpstreams(now, []persimcatalog.Incarnation{incarnation})
		p.Record(now, now, incarnation, Signals{LimitState: LimitNamed, Limit: 1, Leaving: true, Wait: time.Hour})
		now = now.Add(time.Second)
	}
	require.LessOrEqual(t, len(p.upstreams), int(unlistedTime/time.Second)+2)
	require.LessOrEqual(t, len(p.asking), len(p.upstreams))
}
