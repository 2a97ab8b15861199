package persimrollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// during restricts a fault to a time after the order.
func during(begin, length time.Duration, f fault) fault {
	return func(s *simulation, r *request) (bool, float64) {
		since := s.now.Sub(s.orderAt)
		if s.orderAt.IsZero() || since < begin || since >= begin+length {
			return false, 1
		}
		return f(s, r)
	}
}

// inCentre restricts a fault to one data centre.
func inCentre(centre string, f fault) fault {
	return func(s *simulation, r *request) (bool, float64) {
		if r.result.Upstream.Centre != centre {
			return false, 1
		}
		return f(s, r)
	}
}

// common are faults that meet both versions alike.
var common = map[string]fault{
	"centre fails":                during(2*time.Second, 3*time.Second, inCentre("dc1", failing(0.8))),
	"centre fails always":         inCentre("dc1", failing(0.8)),
	"centre is slow":              during(2*time.Second, 3*time.Second, inCentre("dc0", slower(6))),
	"centre fails while shifting": during(9500*time.Millisecond, 3*time.Second, inCentre("dc1", failing(0.8))),
	"slow network":                during(3*time.Second, 3*time.Second, slower(5)),
	"half fail":                   during(3*time.Second, 2*time.Second, failing(0.5)),
}

// A rollback because of a fault that meets the old version alike.
func TestCommonFaultCausesNoRollback(t *testing.T) {
	for name, site := range testSites() {
		for kind, f := range common {
			for seed := range seeds(site) {
				t.Run(fmt.Sprint(name, "/", kind, " seed ", seed), func(t *testing.T) {
					t.Parallel()
					sim := newSimulation(seed, site)
					sim.common = f
					rollout(sim)
					requireCompleted(t, sim)
				})
			}
		}
	}
}

// A rollback because of one bad upstream of the new version, whichever it is.
func TestOneBadUpstreamCausesNoRollback(t *testing.T) {
	for name, site := range testSites() {
		for kind, f := range map[string]fault{"fails": failing(1), "fails at times": failing(0.3), "slow": slower(4)} {
			for place := range 4 {
				t.Run(fmt.Sprint(name, "/", kind, " ", place), func(t *testing.T) {
					t.Parallel()
					sim := newSimulation(uint64(place), site)
					sim.fault = func(s *simulation, r *request) (bool, float64) {
						if r.result.Upstream.ID != fmt.Sprintf("%s-%d", testNew, place) {
							return false, 1
						}
						return f(s, r)
					}
					rollout(sim)
					requireCompleted(t, sim)
				})
			}
		}
	}
}

// A rollback because of a burst of requests.
func TestBurstCausesNoRollback(t *testing.T) {
	for name, site := range testSites() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(1, site)
			sim.run(testWarmup)
			sim.order(testNew, sim.duration)
			sim.run(3 * time.Second)
			sim.rate *= 4
			sim.run(3 * time.Second)
			sim.rate /= 4
			sim.run(sim.duration)
			requireCompleted(t, sim)
		})
	}
}

// A host that sends to the target without news of the lease holder, or to nobody.
func TestHostWithoutNewsStopsCanaryTraffic(t *testing.T) {
	for name, site := range testSites() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site.duration = time.Minute
			sim := newSimulation(1, site)
			sim.run(testWarmup)
			sim.order(testNew, sim.duration)
			sim.run(6 * time.Second)
			cut := sim.hosts[len(sim.hosts)-1]
			cut.cut = true
			cutAt := sim.now
			sim.run(10 * time.Second)
			for _, r := range sim.sent {
				if r.host == cut && r.sentAt.Sub(cutAt) > FreshTime+testTick {
					require.Equal(t, testOld, r.result.Upstream.Version)
				}
			}
			require.Zero(t, sim.unserved)
		})
	}
}

// phases are the moments at which the lease holder is lost, after the order.
var phases = map[string]time.Duration{
	"at the order": 50 * time.Millisecond, "observing": 3 * time.Second, "before shifting": 8900 * time.Millisecond,
	"shifting": 9700 * time.Millisecond, "before the end": 10700 * time.Millisecond, "completed": 13 * time.Second,
}

// requireOneDecision checks that the state of an order never changes once it is final.
func requireOneDecision(t *testing.T, s *simulation) {
	t.Helper()
	for i, status := range s.statuses[1:] {
		require.Equal(t, StateActive, s.statuses[i].State, "%v after %v", status, s.statuses[i])
	}
	final := map[Phase]bool{}
	for _, change := range s.changes {
		require.False(t, final[PhaseCompleted] && change.To != PhaseCompleted, "%+v", s.changes)
		require.False(t, final[PhaseRolledBack] && change.To != PhaseRolledBack, "%+v", s.changes)
		final[change.To] = true
	}
}

// A successor of the lease holder that does not continue, or changes what was decided.
func TestSuccessorContinues(t *testing.T) {
	for name, site := range testSites() {
		for phase, at := range phases {
			for _, bad := range []bool{false, true} {
				t.Run(fmt.Sprint(name, "/", phase, " bad ", bad), func(t *testing.T) {
					t.Parallel()
					sim := newSimulation(1, site)
					if bad {
						sim.fault = failing(1)
					}
					sim.run(testWarmup)
					sim.order(testNew, sim.duration)
					sim.run(at * sim.duration / (12 * time.Second))
					sim.loseHolder()
					sim.run(sim.duration + testAfter)
					requireOneDecision(t, sim)
					require.Zero(t, sim.lost)
					require.Zero(t, sim.unserved)
					if bad {
						require.Equal(t, StateRolledBack, sim.state(), "%+v", sim.changes)
						return
					}
					require.Equal(t, StateCompleted, sim.state(), "%+v", sim.changes)
				})
			}
		}
	}
}

// A frozen lease holder that still decides when another one has the lease.
func TestFormerHolderIsSilent(t *testing.T) {
	sim := newSimulation(1, small)
	sim.run(testWarmup)
	sim.order(testNew, sim.duration)
	sim.run(time.Second)
	former, formerHost := sim.controller, sim.holder
	sim.hold(sim.hosts[1])
	sim.run(2 * time.Second)
	sim.holder, formerHost = formerHost, sim.holder
	fleet := sim.fleet()
	sim.holder = formerHost
	require.Equal(t, Decision{}, former.Decide(sim.now, fleet))
}
