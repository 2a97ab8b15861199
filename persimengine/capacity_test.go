package persimengine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

const (
	testUpstreams = 60
	// testRate is the number of samples a second of each upstream, at all hosts together.
	testRate = 10
	testTick = 100 * time.Millisecond
	// testExchange is the interval at which a host tells its evidence and hears that of the
	// others.
	testExchange = 500 * time.Millisecond
)

// evidenceFleet plays hosts that each see a part of the samples.
type evidenceFleet struct {
	random *rand.Rand
	now    time.Time
	hosts  []Capacities
	cut    map[int]bool
	told   map[int]Evidence
	total  Evidence
	// work, load and ratio describe the samples of an upstream at a time.
	work  Work
	load  func() float64
	ratio func(upstream int, at time.Duration, load float64) float64
}

// newEvidenceFleet returns hosts whose upstreams all work as usual.
func newEvidenceFleet(hosts int) *evidenceFleet {
	f := &evidenceFleet{
		random: rand.New(rand.NewPCG(uint64(hosts), 1)), now: start, cut: map[int]bool{}, told: map[int]Evidence{}, total: Evidence{}, work: WorkOutput,
		ratio: func(int, time.Duration, float64) float64 { return 1 },
	}
	f.load = func() float64 { return 0.1 + 0.8*f.random.Float64() }
	for host := range hosts {
		f.addHost(uint64(host))
	}
	return f
}

func (f *evidenceFleet) addHost(seed uint64) {
	c := NewCapacities(seed)
	keys := make([]uint64, testUpstreams)
	for i := range keys {
		keys[i] = uint64(i)
	}
	c.SetUpstreams(keys)
	f.hosts = append(f.hosts, c)
}

// play runs the fleet with samples that vary by a quarter.
func (f *evidenceFleet) play(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(testTick) {
		for upstream := range testUpstreams {
			if f.random.Float64() < testRate*testTick.Seconds() {
				load := f.load()
				ratio := f.ratio(upstream, f.now.Sub(start), load) * (0.75 + 0.5*f.random.Float64())
				f.hosts[f.random.IntN(len(f.hosts))].Observe(f.now, Sample{Upstream: uint64(upstream), Work: f.work, Load: load, Ratio: ratio})
			}
		}
		for host, c := range f.hosts {
			if (f.now.Sub(start)+time.Duration(host)*testTick)%testExchange == 0 && !f.cut[host] {
				f.exchange(host, c)
			}
			c.Refresh(f.now)
		}
	}
}

func (f *evidenceFleet) exchange(host int, c Capacities) {
	f.total.Add(f.told[host], -1)
	others := Evidence{}
	others.Add(f.total, 1)
	c.SetOthers(f.now, "*", others)
	f.told[host] = c.Evidence(f.now)
	f.total.Add(f.told[host], 1)
}

// requireFactor requires a factor of an upstream at nine of ten hosts that are not cut off.
func (f *evidenceFleet) requireFactor(t *testing.T, upstream uint64, low, high float64) {
	t.Helper()
	within, all := 0, 0
	for host, c := range f.hosts {
		if f.cut[host] {
			continue
		}
		all++
		if got := c.Capacity(upstream).Factor(f.work); got >= low && got <= high {
			within++
		}
	}
	require.GreaterOrEqual(t, within*10, all*9, "factor %v from %v to %v at %d of %d hosts", f.hosts[0].Capacity(upstream), low, high, within, all)
}

// requireSlots requires the number of requests that an upstream with 64 slots takes well at
// nine of ten hosts.
func (f *evidenceFleet) requireSlots(t *testing.T, upstream uint64, low, high int) {
	t.Helper()
	within := 0
	for _, c := range f.hosts {
		if got := c.Capacity(upstream).Slots(64); got >= low && got <= high {
			within++
		}
	}
	require.GreaterOrEqual(t, within*10, len(f.hosts)*9, "from %d to %d of 64 slots at %d of %d hosts", low, high, within, len(f.hosts))
}

// raceDetector is set in builds with the race detector.
var raceDetector bool

// fleetSizes returns the numbers of hosts. The large fleets run only without the race
// detector, which slows them down several times; the Makefile runs both.
func fleetSizes() []int {
	if raceDetector {
		return []int{7}
	}
	return []int{7, 80, 300}
}

func forAllSizes(t *testing.T, test func(t *testing.T, f *evidenceFleet)) {
	t.Helper()
	for _, hosts := range fleetSizes() {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) { test(t, newEvidenceFleet(hosts)) })
	}
}

// slowOne returns the ratios of upstreams of which the first is slow for a time.
func slowOne(from, to time.Duration) func(int, time.Duration, float64) float64 {
	return func(upstream int, at time.Duration, _ float64) float64 {
		if upstream == 0 && at >= from && at < to {
			return 3
		}
		return 1
	}
}

// TestSpeedOfEachUpstreamIsLearned guards against hosts that treat a slow upstream like the
// others, or the others like a slow one.
func TestSpeedOfEachUpstreamIsLearned(t *testing.T) {
	for work := range workCount {
		t.Run(fmt.Sprint("work ", work), func(t *testing.T) {
			forAllSizes(t, func(t *testing.T, f *evidenceFleet) {
				f.work = work
				f.ratio = slowOne(0, time.Hour)
				f.play(8 * time.Second)
				f.requireFactor(t, 0, 2, 3.2)
				f.requireFactor(t, 1, 1, 1)
			})
		})
	}
}

// TestSlowdownAndItsEndAreFollowed guards against estimates that outlast what they tell of.
func TestSlowdownAndItsEndAreFollowed(t *testing.T) {
	forAllSizes(t, func(t *testing.T, f *evidenceFleet) {
		f.ratio = slowOne(10*time.Second, 20*time.Second)
		f.play(10 * time.Second)
		f.requireFactor(t, 0, 1, 1)
		f.play(4 * time.Second)
		f.requireFactor(t, 0, 1.5, 3)
		f.play(6 * time.Second)
		f.requireFactor(t, 0, 2, 3)
		f.play(8 * time.Second)
		f.requireFactor(t, 0, 1, 1)
	})
}

// TestNoiseIsNotSpeed guards against disturbances that move to other upstreams every 600 ms
// and are learned as if they stayed.
func TestNoiseIsNotSpeed(t *testing.T) {
	forAllSizes(t, func(t *testing.T, f *evidenceFleet) {
		f.ratio = func(upstream int, at time.Duration, _ float64) float64 {
			random := rand.New(rand.NewPCG(uint64(at/(600*time.Millisecond)), uint64(upstream)))
			if random.Float64() < 0.15 {
				return 2.5
			}
			return 1
		}
		wrong, all := 0, 0
		for range 20 {
			f.play(2 * time.Second)
			for upstream := range uint64(testUpstreams) {
				all++
				if factor := f.hosts[0].Capacity(upstream).Factor(f.work); factor > 1.5 || factor < 1/1.5 {
					wrong++
				}
			}
		}
		require.Less(t, wrong*50, all, "estimates off by half: %d of %d", wrong, all)
	})
}

// kneeAt returns ratios that grow with the square of the load above a knee.
func kneeAt(knee float64, upstreams int) func(int, time.Duration, float64) float64 {
	return func(upstream int, _ time.Duration, load float64) float64 {
		if over := load / knee; upstream < upstreams && over > 1 {
			return over * over
		}
		return 1
	}
}

// TestKneeIsFound guards against upstreams that are loaded up to their slots although they
// slow down at a third of them, be it one of them or all.
func TestKneeIsFound(t *testing.T) {
	for _, count := range []int{1, testUpstreams} {
		t.Run(fmt.Sprint(count, " upstreams"), func(t *testing.T) {
			forAllSizes(t, func(t *testing.T, f *evidenceFleet) {
				f.ratio = kneeAt(1.0/3, count)
				f.play(10 * time.Second)
				f.requireSlots(t, 0, 16, 32)
				if count == 1 {
					require.Equal(t, 64, f.hosts[0].Capacity(1).Slots(64))
				}
			})
		})
	}
	t.Run("steps that take longer with each request are none", func(t *testing.T) {
		f := newEvidenceFleet(7)
		f.ratio = func(_ int, _ time.Duration, load float64) float64 { return 1 + 2*load }
		f.play(10 * time.Second)
		for upstream := range uint64(testUpstreams) {
			require.Equal(t, 64, f.hosts[0].Capacity(upstream).Slots(64))
		}
	})
	t.Run("forgotten without samples", func(t *testing.T) {
		f := newEvidenceFleet(7)
		f.ratio = kneeAt(1.0/3, 1)
		f.play(10 * time.Second)
		f.load = func() float64 { return 0.2 }
		f.play(12 * time.Second)
		require.Less(t, f.hosts[0].Capacity(0).Slots(64), 64)
		f.play(25 * time.Second)
		require.Equal(t, 64, f.hosts[0].Capacity(0).Slots(64))
	})
}

// TestEstimateWithoutSamplesDecays guards against an upstream that gets no requests because
// of what it was, and against hosts that all return to it at once.
func TestEstimateWithoutSamplesDecays(t *testing.T) {
	f := newEvidenceFleet(80)
	f.ratio = slowOne(0, time.Hour)
	f.play(10 * time.Second)
	returned := map[time.Duration]int{}
	for after := time.Duration(0); after < 20*time.Second; after += time.Second {
		now := f.now.Add(after)
		for host, c := range f.hosts {
			c.SetOthers(now, "*", f.total)
			c.Refresh(now)
			if c.Capacity(0) == PriorCapacity {
				returned[after]++
			}
			f.told[host] = c.Evidence(now)
		}
		f.total = Evidence{}
		for _, told := range f.told {
			f.total.Add(told, 1)
		}
	}
	require.Zero(t, returned[time.Second])
	require.Equal(t, 80, returned[19*time.Second], "returned by second: %v", returned)
	first := time.Second
	for returned[first] == 0 {
		first += time.Second
	}
	require.Less(t, returned[first+time.Second], 80, "returned by second: %v", returned)
}

// TestIncarnationStartsFromPrior guards against estimates that pass to the next process at
// an address.
func TestIncarnationStartsFromPrior(t *testing.T) {
	f := newEvidenceFleet(1)
	f.ratio = slowOne(0, time.Hour)
	f.play(10 * time.Second)
	require.NotEqual(t, PriorCapacity, f.hosts[0].Capacity(0))
	f.hosts[0].SetUpstreams([]uint64{1, 2, 1000})
	f.hosts[0].Refresh(f.now.Add(time.Second))
	require.Equal(t, PriorCapacity, f.hosts[0].Capacity(1000))
	require.Equal(t, PriorCapacity, f.hosts[0].Capacity(0))
}

// TestHostThatJoinsKnowsWhatOthersKnow guards against a host that has to see for itself.
func TestHostThatJoinsKnowsWhatOthersKnow(t *testing.T) {
	f := newEvidenceFleet(80)
	f.ratio = slowOne(0, time.Hour)
	f.play(8 * time.Second)
	f.addHost(1000)
	f.play(time.Second)
	require.Greater(t, f.hosts[80].Capacity(0).Factor(WorkOutput), 1.8)
}

// TestHostsThatAreCutOffUseTheirOwn guards against evidence that stays after its host is
// gone, and against a host that knows nothing without the others.
func TestHostsThatAreCutOffUseTheirOwn(t *testing.T) {
	f := newEvidenceFleet(7)
	f.ratio = slowOne(0, time.Hour)
	f.play(8 * time.Second)
	for host := range f.hosts {
		f.cut[host] = true
	}
	f.ratio = slowOne(0, 0)
	f.play(25 * time.Second)
	require.Equal(t, PriorCapacity, f.hosts[0].Capacity(0), "the others' evidence of a slow upstream is old")
	f.ratio = slowOne(0, time.Hour)
	f.play(20 * time.Second)
	require.Greater(t, f.hosts[0].Capacity(0).Factor(WorkOutput), 1.25)
}

// TestEvidenceIsBounded guards against messages that grow with the number of upstreams.
func TestEvidenceIsBounded(t *testing.T) {
	c := NewCapacities(1)
	keys := make([]uint64, 1000)
	for i := range keys {
		keys[i] = uint64(i)
	}
	c.SetUpstreams(keys)
	for i := range keys {
		for range 1 + i%2 {
			c.Observe(start, Sample{Upstream: uint64(i), Work: WorkPlain, Load: 0.5, Ratio: 1})
		}
	}
	evidence := c.Evidence(start)
	require.Len(t, evidence, MaxCells)
	require.Contains(t, evidence, Cell{Upstream: 1, Index: int(WorkPlain)*bandCount + 3}, "of the heavier half")
}
