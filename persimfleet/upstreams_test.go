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

// yard is a platform that starts and reclaims upstreams in virtual time.
type yard struct {
	planner UpstreamPlanner
	ready   map[Stock]int
	booting []boot
	leaving map[Stock]int
	dry     bool
	orders  int
}

type boot struct {
	Stock
	at    time.Time
	count int
}

func newYard() *yard {
	return &yard{planner: NewUpstreamPlanner(fleetStart), leaving: map[Stock]int{}, ready: map[Stock]int{{Centre: "a"}: 6, {Centre: "b"}: 6, {Centre: "c"}: 6}}
}

func (y *yard) upstreams() []persimcatalog.Upstream {
	var list []persimcatalog.Upstream
	for kind, count := range y.ready {
		for range count {
			list = append(list, persimcatalog.Upstream{Centre: kind.Centre, Reclaimable: kind.Reclaimable})
		}
	}
	for kind, count := range y.leaving {
		for range count {
			list = append(list, persimcatalog.Upstream{Centre: kind.Centre, Reclaimable: true, Leaving: true})
		}
	}
	return list
}

func (y *yard) total() int {
	total := 0
	for _, count := range y.ready {
		total += count
	}
	return total
}

func (y *yard) step(now time.Time, load Load) {
	left := y.booting[:0]
	for _, b := range y.booting {
		if now.Before(b.at) {
			left = append(left, b)
			continue
		}
		y.ready[b.Stock] += b.count
	}
	y.booting = left
	for _, order := range y.planner.Plan(now, testScaling, y.upstreams(), load) {
		y.orders++
		y.take(now, order)
	}
}

func (y *yard) take(now time.Time, order UpstreamOrder) {
	there := y.ready[order.Stock]
	for _, b := range y.booting {
		if b.Stock == order.Stock {
			there += b.count
		}
	}
	if order.Count <= there {
		y.ready[order.Stock] = min(y.ready[order.Stock], order.Count)
		y.planner.Ordered(now, order)
		return
	}
	if order.Reclaimable && y.dry {
		y.planner.Refused(now, order)
		return
	}
	y.booting = append(y.booting, boot{Stock: order.Stock, at: now.Add(testScaling.Boot), count: order.Count - there})
	y.planner.Ordered(now, order)
}

// run steps the planner and calls each with the time since the start.
func (y *yard) run(from, length time.Duration, load Load, each func(time.Duration)) {
	for at := from; at < from+length; at += 300 * time.Millisecond {
		y.step(fleetStart.Add(at), load)
		if each != nil {
			each(at)
		}
	}
}

// reclaim takes the reclaimable upstreams of a data centre away after a notice.
func (y *yard) reclaim(centre string) {
	kind := Stock{Centre: centre, Reclaimable: true}
	y.leaving[kind] = y.ready[kind]
	y.ready[kind] = 0
}

// busy is a load that keeps four upstreams at work all the time.
var busy = Load{Tokens: 400_000}

func TestFleetKeepsWhatIsThereBeforeTraffic(t *testing.T) {
	y := newYard()
	y.run(0, 10*time.Second, Load{}, func(time.Duration) {
		require.GreaterOrEqual(t, y.total(), 18)
	})
	require.Zero(t, y.ready[Stock{Centre: "a"}], "reclaimable upstreams have taken over")
}

func TestFleetWaitsForLateEntries(t *testing.T) {
	y := newYard()
	all := y.ready
	y.ready = map[Stock]int{{Centre: "a"}: 1}
	y.run(0, 3*time.Second, Load{}, nil)
	y.ready = all
	y.run(3*time.Second, 9*time.Second, Load{}, func(time.Duration) {
		require.GreaterOrEqual(t, y.total(), 18)
	})
}

func TestLaterHolderOrdersAtOnce(t *testing.T) {
	y := newYard()
	y.planner = NewUpstreamPlanner(fleetStart.Add(-time.Minute))
	y.step(fleetStart, Load{Tokens: 1_200_000})
	require.NotZero(t, y.orders)
}

func TestFleetSurvivesReclaimsInTurn(t *testing.T) {
	y := newYard()
	y.run(0, 10*time.Second, Load{}, nil)
	y.run(10*time.Second, 10*time.Second, busy, nil)
	y.dry = true
	enough := int(busy.Work()/fullUtilisation) - 1
	least := int(busy.Work()/alarmUtilisation) - 1
	for i, centre := range []string{"a", "b", "c"} {
		y.reclaim(centre)
		from := 20*time.Second + time.Duration(i)*6*time.Second
		y.run(from, 6*time.Second, busy, func(at time.Duration) {
			require.GreaterOrEqual(t, y.total(), least, "%v after the start", at)
			if at > from+testScaling.Boot+time.Second {
				require.GreaterOrEqual(t, y.total(), enough, "%v after the start", at)
			}
		})
		y.leaving = map[Stock]int{}
	}
	y.dry = false
	y.run(38*time.Second, 40*time.Second, busy, nil)
	for _, centre := range []string{"a", "b", "c"} {
		require.Zero(t, y.ready[Stock{Centre: centre}], "on demand in %s", centre)
		require.NotZero(t, y.ready[Stock{Centre: centre, Reclaimable: true}])
	}
}

func TestFleetComesDown(t *testing.T) {
	y := newYard()
	y.run(0, 20*time.Second, busy, nil)
	full := y.total()
	y.run(20*time.Second, 2*time.Minute, Load{Tokens: 40_000}, nil)
	require.Less(t, y.total(), full/2)
	require.GreaterOrEqual(t, y.total(), 3, "at least the minimum of each data centre")
}

func TestFleetDoesNotFlutter(t *testing.T) {
	y := newYard()
	y.run(0, 20*time.Second, busy, nil)
	y.orders = 0
	y.run(20*time.Second, time.Minute, busy, nil)
	require.LessOrEqual(t, y.orders, 6)
}

func TestFleetKeepsToLimits(t *testing.T) {
	y := newYard()
	y.run(0, 30*time.Second, Load{Tokens: 50_000_000}, func(time.Duration) {
		for _, centre := range []string{"a", "b", "c"} {
			require.LessOrEqual(t, y.ready[Stock{Centre: centre}]+y.ready[Stock{Centre: centre, Reclaimable: true}], testScaling.Max)
		}
	})
}
