package persimrollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sent returns the number of requests that a version got from a time on.
func (s *simulation) sentTo(version string, from time.Time) int {
	count := 0
	for _, r := range s.sent {
		if r.result.Upstream.Version == version && !r.sentAt.Before(from) {
			count++
		}
	}
	return count
}

// An order that can't be carried out and has no clear end, or moves traffic.
func TestOrderIsRefused(t *testing.T) {
	for name, object := range map[string]Object{
		"duration zero":     {Order: Order{Target: testNew}},
		"duration negative": {Order: Order{Target: testNew, Duration: -time.Second}},
		"duration huge":     {Order: Order{Target: testNew, Duration: MaxDuration + 1}},
		"empty target":      {Order: Order{Duration: time.Minute}},
		"unreadable":        {Problem: "the spec is no object"},
		"version in use":    {Order: Order{Target: testOld}},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, small)
			sim.run(testWarmup)
			object.Service, object.Revision = testService, 7
			sim.object = &object
			sim.read()
			sim.run(5 * time.Second)
			require.Equal(t, []Status{{State: StateRolledBack, Target: object.Target}}, sim.statuses)
			require.NotEmpty(t, sim.cause())
			require.Len(t, sim.changes, 1)
			require.Zero(t, sim.sentTo(testNew, testStart))
			require.Zero(t, sim.unserved)
		})
	}
}

// A refused order that is written in place of another and leaves that one active.
func TestRefusedOrderEndsTheFormerOne(t *testing.T) {
	sim := newSimulation(1, small)
	sim.run(testWarmup)
	sim.order(testNew, time.Minute)
	sim.run(5 * time.Second)
	sim.order("v3", 0)
	sim.run(2 * time.Second)
	require.Equal(t, Status{State: StateRolledBack, Target: "v3"}, sim.object.Status)
	from := sim.now
	sim.run(5 * time.Second)
	require.Zero(t, sim.sentTo(testNew, from))
	require.False(t, sim.active)
}

// A target without upstreams that keeps the rollout active or the traffic unserved.
func TestTargetWithoutUpstreams(t *testing.T) {
	sim := newSimulation(1, small)
	sim.order("v3", sim.duration)
	sim.run(sim.duration)
	require.Equal(t, StateRolledBack, sim.state())
	require.GreaterOrEqual(t, sim.statusAt.Sub(sim.orderAt), time.Duration(upstreamsBy*float64(sim.duration)))
	require.Zero(t, sim.unserved)
}

// Too few upstreams of the target that get the whole traffic.
func TestTooFewUpstreams(t *testing.T) {
	site := small
	site.targets = 1
	sim := newSimulation(1, site)
	rollout(sim)
	require.Equal(t, StateRolledBack, sim.state())
	require.Contains(t, sim.cause(), "too few upstreams")
}

// Upstreams of the target that start after the order and are not waited for.
func TestUpstreamsStartLate(t *testing.T) {
	site := small
	site.targets = 0
	sim := newSimulation(1, site)
	sim.order(testNew, sim.duration)
	sim.run(4 * time.Second)
	sim.addUpstreams(testNew, 4)
	sim.run(sim.duration)
	requireCompleted(t, sim)
}

// A service that the configuration does not have and that stays active.
func TestServiceIsNotConfigured(t *testing.T) {
	sim := newSimulation(1, small)
	sim.unconfigured = true
	rollout(sim)
	require.Equal(t, StateRolledBack, sim.state())
	require.Contains(t, sim.cause(), "configuration")
}

// A replaced order whose target still gets requests, or whose successor does not start.
func TestOrderIsReplaced(t *testing.T) {
	sim := newSimulation(1, small)
	sim.addUpstreams("v3", 4)
	sim.order(testNew, sim.duration)
	sim.run(5 * time.Second)
	sim.order("v3", sim.duration)
	sim.run(2 * time.Second)
	from := sim.now
	sim.run(sim.duration)
	require.Equal(t, Status{State: StateCompleted, Target: "v3"}, sim.object.Status)
	require.Zero(t, sim.sentTo(testNew, from))
	require.Positive(t, sim.sentTo("v3", from))
}

// The same object written again that starts the order anew.
func TestOrderIsWrittenTwice(t *testing.T) {
	t.Run("active", func(t *testing.T) {
		sim := newSimulation(1, small)
		sim.order(testNew, sim.duration)
		sim.run(5 * time.Second)
		began := sim.orderAt
		sim.order(testNew, sim.duration)
		sim.run(sim.duration)
		require.Equal(t, StateCompleted, sim.state())
		require.LessOrEqual(t, sim.statusAt.Sub(began), sim.duration)
	})
	for _, bad := range []bool{false, true} {
		t.Run("final", func(t *testing.T) {
			sim := newSimulation(1, small)
			if bad {
				sim.fault = failing(1)
			}
			rollout(sim)
			state := sim.state()
			sim.order(testNew, sim.duration)
			// The operator's write can leave out the status.
			sim.object.Status = Status{}
			sim.read()
			sim.run(sim.duration)
			require.Equal(t, state, sim.state())
			require.Equal(t, state, sim.statuses[len(sim.statuses)-1].State)
			require.NotContains(t, sim.statuses[2:], Status{State: StateActive, Target: testNew})
		})
	}
}

// A removed order whose target still gets requests, or whose record stays for ever.
func TestOrderIsRemoved(t *testing.T) {
	sim := newSimulation(1, small)
	sim.order(testNew, time.Minute)
	sim.run(5 * time.Second)
	sim.remove()
	sim.run(2 * time.Second)
	from := sim.now
	sim.run(10 * time.Second)
	require.Zero(t, sim.sentTo(testNew, from))
	require.NotNil(t, sim.record, "the target is closed while its upstreams are listed")
	sim.upstreams[testService] = sim.upstreams[testService][:small.olds]
	sim.announceUpstreams()
	sim.run(time.Second)
	require.Nil(t, sim.record)
	require.Zero(t, sim.unserved)
}

// A removed order that is written again and not carried out.
func TestRemovedOrderIsWrittenAgain(t *testing.T) {
	sim := newSimulation(1, small)
	sim.order(testNew, time.Minute)
	sim.run(5 * time.Second)
	sim.remove()
	sim.run(time.Second)
	sim.order(testNew, sim.duration)
	sim.run(sim.duration)
	requireCompleted(t, sim)
}

// A version that was replaced and is ordered again, but stays closed.
func TestClosedVersionIsOrderedAgain(t *testing.T) {
	sim := newSimulation(1, small)
	sim.fault = failing(1)
	rollout(sim)
	require.Equal(t, StateRolledBack, sim.state())
	sim.fault = nil
	sim.addUpstreams("v3", 4)
	sim.order("v3", sim.duration)
	sim.run(time.Second)
	sim.order(testNew, sim.duration)
	sim.run(sim.duration)
	requireCompleted(t, sim)
}

// A final state that is announced although the store does not have it.
func TestStoreIsDown(t *testing.T) {
	for name, f := range map[string]fault{"good": nil, "bad": failing(1)} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, small)
			sim.fault = f
			sim.run(testWarmup)
			sim.order(testNew, sim.duration)
			sim.run(time.Second)
			sim.storeDown = true
			sim.run(sim.duration + testAfter)
			require.Equal(t, StateActive, sim.state())
			for _, change := range sim.changes {
				require.False(t, change.To.Final(), "%+v", change)
			}
			from := sim.now
			sim.run(2 * time.Second)
			if f != nil {
				require.Zero(t, sim.sentTo(testNew, from))
			} else {
				require.Zero(t, sim.sentTo(testOld, from))
			}
			sim.storeDown = false
			sim.read()
			sim.run(2 * time.Second)
			require.NotEqual(t, StateActive, sim.state())
			require.Zero(t, sim.lost)
		})
	}
}

// All hosts that restart at once and begin the order anew.
func TestAllHostsRestart(t *testing.T) {
	sim := newSimulation(1, small)
	sim.order(testNew, sim.duration)
	sim.run(5 * time.Second)
	for _, h := range sim.hosts {
		sim.start(h)
	}
	sim.hold(sim.hosts[2])
	sim.run(sim.duration)
	require.Equal(t, StateCompleted, sim.state())
	require.LessOrEqual(t, sim.statusAt.Sub(sim.orderAt), sim.duration)
}

// A decided order that begins anew where nothing but its status is left.
func TestRecordIsLost(t *testing.T) {
	for name, f := range map[string]fault{"completed": nil, "rolled back": failing(1)} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, small)
			sim.fault = f
			rollout(sim)
			state := sim.state()
			for _, h := range sim.hosts {
				sim.start(h)
			}
			sim.record = nil
			sim.hold(sim.hosts[2])
			sim.run(sim.duration)
			require.Equal(t, state, sim.state())
			require.NotContains(t, sim.statuses[2:], Status{State: StateActive, Target: testNew})
			require.Equal(t, state, sim.hosts[0].News(sim.now)[0].Phase.state())
		})
	}
}

// A completion that does not wait for a host that is alive, or for requests in progress.
func TestCompletionWaits(t *testing.T) {
	t.Run("requests in progress", func(t *testing.T) {
		site := small
		site.runTime = 3 * time.Second
		site.duration = 20 * time.Second
		sim := newSimulation(1, site)
		rollout(sim)
		requireCompleted(t, sim)
	})
	t.Run("stream beyond the deadline", func(t *testing.T) {
		sim := newSimulation(1, small)
		sim.run(testWarmup)
		end := sim.hosts[3].Begin(sim.now, testService, "route-0", sim.upstreams[testService][0])
		sim.order(testNew, sim.duration)
		sim.run(2 * sim.duration)
		require.Equal(t, StateActive, sim.state())
		end()
		sim.run(2 * time.Second)
		require.Equal(t, StateCompleted, sim.state())
	})
	t.Run("host that does not report", func(t *testing.T) {
		sim := newSimulation(1, small)
		sim.run(testWarmup)
		sim.order(testNew, sim.duration)
		sim.run(9 * time.Second)
		mute := sim.hosts[5]
		mute.reportAt = sim.now.Add(time.Hour)
		for range 100 {
			mute.heardAt = sim.now
			sim.run(100 * time.Millisecond)
		}
		require.Equal(t, StateActive, sim.state())
		sim.run(2 * FreshTime)
		require.Equal(t, StateCompleted, sim.state())
	})
	t.Run("host that is silent", func(t *testing.T) {
		sim := newSimulation(1, small)
		sim.run(testWarmup)
		sim.order(testNew, sim.duration)
		sim.run(5 * time.Second)
		sim.hosts[5].down = true
		sim.run(sim.duration)
		requireCompleted(t, sim)
	})
}
