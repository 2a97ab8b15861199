package persimsoak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const poisonTestPeriod = time.Minute

// newPoisonedSystem returns a system without processes in which the deadly part has
// crashed upstreams at the start of its period, and that start.
func newPoisonedSystem() (*system, time.Time) {
	s := &system{hosts: []*host{{}}, upstreams: newUpstreams(persimstand.NewStore(), 1)}
	s.checker = newChecker(s)
	start := time.Now().Add(-poisonTestPeriod)
	s.upstreams.poison.period = interval{from: start, until: start.Add(poisonTestPeriod)}
	for range knownAfterCrashes {
		s.upstreams.poison.crashes = append(s.upstreams.poison.crashes, start)
	}
	return s, start
}

// addStreams adds streams that were sent at a moment.
func (s *system) addStreams(count int, at time.Time, deadly bool, status int) {
	for range count {
		o := outcome{
			id: fmt.Sprint(len(s.checker.outcomes)), path: persimstand.StreamPath, sent: at, ended: at,
			status: status, complete: true, deadly: deadly,
		}
		s.checker.outcomes = append(s.checker.outcomes, o)
		s.upstreams.executions.record(o.id, execution{at: at})
	}
}

func TestFewLateDeadlyRequestsAreAllowed(t *testing.T) {
	s, start := newPoisonedSystem()
	s.addStreams(100, start, true, http.StatusBadGateway)
	s.addStreams(maxLateDeadly, start.Add(poisonTestPeriod/2), true, http.StatusBadGateway)
	s.checker.checkPoison()
	require.Empty(t, s.checker.violations)
	s.addStreams(1, start.Add(poisonTestPeriod/2), true, http.StatusBadGateway)
	s.checker.checkPoison()
	require.Len(t, s.checker.violations, 1)
}

func TestSoundStreamsMustBeServedBesideDeadlyOnes(t *testing.T) {
	s, start := newPoisonedSystem()
	s.addStreams(minComparedStreams, start.Add(-time.Second), false, http.StatusOK)
	s.addStreams(minComparedStreams, start.Add(poisonTestPeriod/2), false, http.StatusOK)
	s.checker.checkPoison()
	require.Empty(t, s.checker.violations)
	s.addStreams(minComparedStreams+1, start.Add(poisonTestPeriod/2), false, http.StatusServiceUnavailable)
	s.checker.checkPoison()
	require.Len(t, s.checker.violations, 1)
}

func TestLastPartIsNotDeadly(t *testing.T) {
	p := &poison{}
	end := p.begin()
	request := func(parts string) *http.Request {
		return &http.Request{Header: http.Header{
			http.CanonicalHeaderKey(platform.HeaderTokenCount): {"310,80"}, http.CanonicalHeaderKey(platform.HeaderPrefixHash): {parts},
		}}
	}
	require.True(t, p.killedBy(request(fmt.Sprintf("%x:250,1:60", deadlyPart))))
	require.False(t, p.killedBy(request(fmt.Sprintf("1:250,%x:60", deadlyPart))))
	end()
	require.False(t, p.killedBy(request(fmt.Sprintf("%x:250,1:60", deadlyPart))))
}

func TestPoisonLeavesTheOtherEventsOfAPlan(t *testing.T) {
	plain, poisoned := NewPlan(1, 0, defaultLength), NewPlan(1, 0, defaultLength)
	poisoned.AddPoison()
	poisoned.AddPoison()
	var others []Event
	for _, event := range poisoned.Events {
		if event.Kind != KindPoison {
			others = append(others, event)
		}
	}
	require.Equal(t, plain.Events, others)
	require.Len(t, poisoned.Events, len(plain.Events)+1)
}
