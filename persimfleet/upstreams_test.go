package persimfleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

var fleetStart = time.Unix(1_000_000, 0)

var testScaling = persimcatalog.Scaling{
	Min: 1, Max: 12, Boot: 4 * time.Second, ReclaimablePrice: 0.15,
	CentrePrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1.0},
}

// simulatedPlatform starts and reclaims upstreams in simulated time.
type simulatedPlatform struct {
	planner           UpstreamPlanner
	ready             map[CapacityPool]int
	pending           []pendingStart
	leaving           map[CapacityPool]int
	refuseReclaimable bool
	orders            int
}

// pendingStart is a number of upstreams that become ready at a time.
type pendingStart struct {
	CapacityPool
	at    time.Time
	count int
}

func newSimulatedPlatform() *simulatedPlatform {
	return &simulatedPlatform{planner: NewUpstreamPlanner(fleetStart), leaving: map[CapacityPool]int{}, ready: map[CapacityPool]int{{Centre: "a"}: 6, {Centre: "b"}: 6, {Centre: "c"}: 6}}
}

func (s *simulatedPlatform) upstreams() []persimcatalog.Upstream {
	var list []persimcatalog.Upstream
	for pool, count := range s.ready {
		for range count {
			list = append(list, persimcatalog.Upstream{Centre: pool.Centre, Reclaimable: pool.Reclaimable})
		}
	}
	for pool, count := range s.leaving {
		for range count {
			list = append(list, persimcatalog.Upstream{Centre: pool.Centre, Reclaimable: true, Leaving: true})
		}
	}
	return list
}

func (s *simulatedPlatform) total() int {
	total := 0
	for _, count := range s.ready {
		total += count
	}
	return total
}

func (s *simulatedPlatform) step(now time.Time, load Load) {
	starting := s.pending[:0]
	for _, start := range s.pending {
		if now.Before(start.at) {
			starting = append(starting, start)
			continue
		}
		s.ready[start.CapacityPool] += start.count
	}
	s.pending = starting
	for _, order := range s.planner.Plan(now, testScaling, s.upstreams(), load) {
		s.orders++
		s.placeOrder(now, order)
	}
}

func (s *simulatedPlatform) placeOrder(now time.Time, order UpstreamOrder) {
	expected := s.ready[order.CapacityPool]
	for _, start := range s.pending {
		if start.CapacityPool == order.CapacityPool {
			expected += start.count
		}
	}
	if order.Count <= expected {
		s.ready[order.CapacityPool] = min(s.ready[order.CapacityPool], order.Count)
		s.planner.RecordAccepted(now, order)
		return
	}
	if order.Reclaimable && s.refuseReclaimable {
		s.planner.RecordRefused(now, order)
		return
	}
	s.pending = append(s.pending, pendingStart{CapacityPool: order.CapacityPool, at: now.Add(testScaling.Boot), count: order.Count - expected})
	s.planner.RecordAccepted(now, order)
}

// run steps the planner every 300 ms and calls each with the time since fleetStart.
func (s *simulatedPlatform) run(start, length time.Duration, load Load, each func(time.Duration)) {
	for at := start; at < start+length; at += 300 * time.Millisecond {
		s.step(fleetStart.Add(at), load)
		if each != nil {
			each(at)
		}
	}
}

// reclaim marks the reclaimable upstreams of a data centre as leaving.
func (s *simulatedPlatform) reclaim(centre string) {
	pool := CapacityPool{Centre: centre, Reclaimable: true}
	s.leaving[pool] = s.ready[pool]
	s.ready[pool] = 0
}

// steadyLoad keeps four upstreams fully busy.
var steadyLoad = Load{Busy: 4}

func TestFleetKeepsCapacityBeforeTraffic(t *testing.T) {
	s := newSimulatedPlatform()
	s.run(0, 10*time.Second, Load{}, func(time.Duration) {
		require.GreaterOrEqual(t, s.total(), 18)
	})
	require.Zero(t, s.ready[CapacityPool{Centre: "a"}], "reclaimable upstreams have taken over")
}

// TestFleetReplacesWhatLimitedUpstreamsDoNotTake guards against a service that stays short of
// capacity while some of its upstreams take few requests.
func TestFleetReplacesWhatLimitedUpstreamsDoNotTake(t *testing.T) {
	counts := map[float64]int{}
	for _, limited := range []float64{0, 3} {
		s := newSimulatedPlatform()
		s.run(0, 30*time.Second, Load{Busy: 1, Limited: limited}, nil)
		counts[limited] = s.total()
	}
	require.GreaterOrEqual(t, counts[3], counts[0]+3)
}

func TestLimitedShare(t *testing.T) {
	require.InDelta(t, 0, LimitedShare(1, 0), 0, "the rate is not known")
	require.InDelta(t, 0, LimitedShare(100, 10), 0)
	require.InDelta(t, 1, LimitedShare(0, 10), 0)
	require.InDelta(t, 0.5, LimitedShare(reclaimableUtilisation*5, 10), 1e-9)
}

func TestFleetWaitsForLateEntries(t *testing.T) {
	s := newSimulatedPlatform()
	complete := s.ready
	s.ready = map[CapacityPool]int{{Centre: "a"}: 1}
	s.run(0, 3*time.Second, Load{}, nil)
	s.ready = complete
	s.run(3*time.Second, 9*time.Second, Load{}, func(time.Duration) {
		require.GreaterOrEqual(t, s.total(), 18)
	})
}

func TestLaterHolderOrdersAtOnce(t *testing.T) {
	s := newSimulatedPlatform()
	s.planner = NewUpstreamPlanner(fleetStart.Add(-time.Minute))
	s.step(fleetStart, Load{Busy: 12})
	require.NotZero(t, s.orders)
}

func TestFleetSurvivesReclaimsInTurn(t *testing.T) {
	s := newSimulatedPlatform()
	s.run(0, 10*time.Second, Load{}, nil)
	s.run(10*time.Second, 10*time.Second, steadyLoad, nil)
	s.refuseReclaimable = true
	countAtMaxUtilisation := int(steadyLoad.Busy/maxUtilisation) - 1
	countAtReserveUtilisation := int(steadyLoad.Busy/onDemandReserveUtilisation) - 1
	for i, centre := range []string{"a", "b", "c"} {
		s.reclaim(centre)
		start := 20*time.Second + time.Duration(i)*6*time.Second
		s.run(start, 6*time.Second, steadyLoad, func(at time.Duration) {
			require.GreaterOrEqual(t, s.total(), countAtReserveUtilisation, "%v after the start", at)
			if at > start+testScaling.Boot+time.Second {
				require.GreaterOrEqual(t, s.total(), countAtMaxUtilisation, "%v after the start", at)
			}
		})
		s.leaving = map[CapacityPool]int{}
	}
	s.refuseReclaimable = false
	s.run(38*time.Second, 40*time.Second, steadyLoad, nil)
	for _, centre := range []string{"a", "b", "c"} {
		require.Zero(t, s.ready[CapacityPool{Centre: centre}], "on demand in %s", centre)
		require.NotZero(t, s.ready[CapacityPool{Centre: centre, Reclaimable: true}])
	}
}

func TestFleetComesDown(t *testing.T) {
	s := newSimulatedPlatform()
	s.run(0, 20*time.Second, steadyLoad, nil)
	full := s.total()
	s.run(20*time.Second, 2*time.Minute, Load{Busy: 0.4}, nil)
	require.Less(t, s.total(), full/2)
	require.GreaterOrEqual(t, s.total(), 3, "at least the minimum of each data centre")
}

func TestFleetDoesNotOscillate(t *testing.T) {
	s := newSimulatedPlatform()
	s.run(0, 20*time.Second, steadyLoad, nil)
	s.orders = 0
	s.run(20*time.Second, time.Minute, steadyLoad, nil)
	require.LessOrEqual(t, s.orders, 6)
}

func TestFleetRespectsMaximum(t *testing.T) {
	s := newSimulatedPlatform()
	s.run(0, 30*time.Second, Load{Busy: 500}, func(time.Duration) {
		for _, centre := range []string{"a", "b", "c"} {
			require.LessOrEqual(t, s.ready[CapacityPool{Centre: centre}]+s.ready[CapacityPool{Centre: centre, Reclaimable: true}], testScaling.Max)
		}
	})
}

// TestOnDemandUpstreamsAreReplacedAtTheMaximum guards against on-demand upstreams that stay
// after reclaims, since they take all the room that their data centres have.
func TestOnDemandUpstreamsAreReplacedAtTheMaximum(t *testing.T) {
	load := Load{Busy: 16}
	onDemand := func(s *simulatedPlatform) int {
		return s.ready[CapacityPool{Centre: "a"}] + s.ready[CapacityPool{Centre: "b"}] + s.ready[CapacityPool{Centre: "c"}]
	}
	s := newSimulatedPlatform()
	s.run(0, 30*time.Second, load, nil)
	s.refuseReclaimable = true
	for i, centre := range []string{"a", "b"} {
		s.reclaim(centre)
		s.run(time.Duration(30+6*i)*time.Second, 3*time.Second, load, nil)
		s.leaving = map[CapacityPool]int{}
		s.run(time.Duration(33+6*i)*time.Second, 3*time.Second, load, nil)
	}
	s.run(42*time.Second, 14*time.Second, load, nil)
	require.GreaterOrEqual(t, onDemand(s), 2*testScaling.Max-2*probeRoom)
	s.refuseReclaimable = false
	s.run(56*time.Second, 40*time.Second, load, func(at time.Duration) {
		require.GreaterOrEqual(t, float64(s.total()), load.Busy, "%v after the start", at)
	})
	require.Zero(t, onDemand(s))
	require.Equal(t, 3*testScaling.Max, s.total())
}

// TestNothingIsReleasedDuringARollout guards against orders that release the upstreams which
// still carry the traffic.
func TestNothingIsReleasedDuringARollout(t *testing.T) {
	for keepAll, want := range map[bool]int{false: 6, true: 0} {
		planner := NewUpstreamPlanner(fleetStart)
		var upstreams []persimcatalog.Upstream
		for range 8 {
			for centre := range testScaling.CentrePrices {
				upstreams = append(upstreams, persimcatalog.Upstream{Centre: centre, Reclaimable: true}, persimcatalog.Upstream{Centre: centre})
			}
		}
		orders := planner.Plan(fleetStart.Add(2*initialOrderDelay), testScaling, upstreams, Load{Busy: 0.5, KeepAll: keepAll})
		require.Len(t, orders, want)
	}
}
