package persimpressure

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizes are the numbers of hosts of the deployments in use.
var sizes = []int{1, 3, 7, 62, 295}

// allowed returns the number of requests that an upstream with a limit may get in a window.
func allowed(limit float64) float64 { return 1.5*limit*testWindow.Seconds() + 5 }

// named lets an upstream begin to name a limit and returns the time from which it binds.
func (d *deployment) named(limit float64) time.Time {
	d.limit = limit
	return d.now.Add(testContact)
}

func requireLimitKept(t *testing.T, d *deployment, from time.Time, limit float64) {
	t.Helper()
	require.LessOrEqual(t, float64(d.mostInWindow(from)), allowed(limit))
}

// requireLimitUsed requires that most of a limit was used since a time.
func requireLimitUsed(t *testing.T, d *deployment, from time.Time, limit float64) {
	t.Helper()
	require.GreaterOrEqual(t, float64(d.arrived(from)), 0.6*limit*d.now.Sub(from).Seconds())
}

func forEachSize(t *testing.T, test func(t *testing.T, hosts int, limit float64)) {
	t.Helper()
	for _, hosts := range sizes {
		for _, limit := range []float64{0.25, 1, 1.4, 2.5, 20} {
			t.Run(fmt.Sprintf("%d hosts, %g a second", hosts, limit), func(t *testing.T) { test(t, hosts, limit) })
		}
	}
}

// testLoad is the number of requests for the upstream that a host has in a second.
func testLoad(hosts int, limit float64) float64 { return max(2, 3*limit/float64(hosts)) }

func TestHostsTogetherKeepALimit(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, limit float64) {
		d := newDeployment(1, hosts, testLoad(hosts, limit))
		d.run(5 * time.Second)
		from := d.named(limit)
		d.run(60 * time.Second)
		requireLimitKept(t, d, from, limit)
		requireLimitUsed(t, d, from, limit)
	})
}

func TestLimitIsKeptWhileHostsRestart(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, limit float64) {
		d := newDeployment(2, hosts, testLoad(hosts, limit))
		d.run(5 * time.Second)
		from := d.named(limit)
		d.run(5 * time.Second)
		for i := range 50 {
			d.start(d.hosts[i%hosts])
			d.run(time.Second)
		}
		requireLimitKept(t, d, from, limit)
	})
}

func TestLimitIsKeptWhileHostsCannotReachEachOther(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, limit float64) {
		d := newDeployment(3, hosts, testLoad(hosts, limit))
		d.run(5 * time.Second)
		from := d.named(limit)
		d.run(5 * time.Second)
		for round := range 4 {
			for i := round % 2; i < hosts; i += 2 {
				d.setCut(d.hosts[i], true)
			}
			d.run(6 * time.Second)
			for _, h := range d.hosts {
				if h.cut {
					d.setCut(h, false)
				}
			}
			d.run(6 * time.Second)
		}
		requireLimitKept(t, d, from, limit)
		requireLimitUsed(t, d, from, limit)
	})
}

func TestLimitThatIsLoweredIsKept(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, limit float64) {
		d := newDeployment(4, hosts, testLoad(hosts, 4*limit))
		d.run(5 * time.Second)
		d.named(4 * limit)
		d.run(10 * time.Second)
		from := d.named(limit)
		d.run(20 * time.Second)
		requireLimitKept(t, d, from, limit)
		requireLimitUsed(t, d, from, limit)
	})
}

func TestHostsUseALimitThatIsRaised(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, limit float64) {
		d := newDeployment(5, hosts, testLoad(hosts, 4*limit))
		d.run(5 * time.Second)
		d.named(limit)
		d.run(10 * time.Second)
		from := d.named(4 * limit).Add(time.Duration(4 / limit * float64(time.Second)))
		d.run(40 * time.Second)
		requireLimitKept(t, d, from, 4*limit)
		requireLimitUsed(t, d, from, 4*limit)
	})
}

// TestAllHostsLearnThatALimitHasEnded guards against hosts that go on leaving an upstream
// out since they send it no request that would tell them.
func TestAllHostsLearnThatALimitHasEnded(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, limit float64) {
		d := newDeployment(6, hosts, testLoad(hosts, limit))
		d.run(5 * time.Second)
		d.named(limit)
		d.run(20 * time.Second)
		d.limit = -1
		d.run(5*time.Second + time.Duration(4/limit*float64(time.Second)))
		for _, h := range d.hosts {
			_, limited := h.Limit(testUpstream.Hash())
			require.False(t, limited, h.name)
		}
	})
}

// TestLimitEndsAtAHostThatReachesNoOther guards against a host that is alone and holds no
// share of a limit: it has to ask by itself.
func TestLimitEndsAtAHostThatReachesNoOther(t *testing.T) {
	for _, hosts := range []int{7, 62} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			d := newDeployment(7, hosts, 2)
			d.named(1)
			d.run(20 * time.Second)
			for _, h := range d.hosts {
				d.setCut(h, true)
			}
			d.limit = -1
			d.run(maxQuiet + time.Duration(hosts)*quietStep)
			for _, h := range d.hosts {
				_, limited := h.Limit(testUpstream.Hash())
				require.False(t, limited, h.name)
			}
		})
	}
}

// holds reports whether the host holds a share of the limit.
func (h *testHost) holds(t *testing.T) bool {
	t.Helper()
	p, ok := h.Pressure.(*pressure)
	require.True(t, ok)
	return p.upstreams[testUpstream.Hash()].limit.holder()
}

// TestOtherHostsSendWhereTheHoldersHaveNothingToSend guards against a limit that nobody uses
// since the few hosts that hold it have no callers.
func TestOtherHostsSendWhereTheHoldersHaveNothingToSend(t *testing.T) {
	for _, hosts := range []int{7, 62, 295} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			const limit = 1
			d := newDeployment(8, hosts, 2)
			d.run(5 * time.Second)
			from := d.named(limit)
			d.run(5 * time.Second)
			for _, h := range d.hosts {
				if h.holds(t) {
					h.load = 0
				}
			}
			idle := d.now
			d.run(60 * time.Second)
			requireLimitKept(t, d, from, limit)
			require.Positive(t, d.arrived(idle))
		})
	}
}

// TestLimitIsKeptWhileHostsKnowDifferentHosts guards against more holders than a limit
// allows, since hosts learn of others at different times.
func TestLimitIsKeptWhileHostsKnowDifferentHosts(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, limit float64) {
		d := newDeployment(10, hosts, testLoad(hosts, limit))
		d.run(5 * time.Second)
		from := d.named(limit)
		for range 10 {
			for _, h := range d.hosts {
				var others []string
				for _, other := range d.hosts {
					if other != h && d.random.Float64() < 0.9 {
						others = append(others, other.name)
					}
				}
				h.SetHosts(d.now, h.name, others)
			}
			d.run(6 * time.Second)
		}
		requireLimitKept(t, d, from, limit)
	})
}

// TestUpstreamThatTakesNothingIsAskedAgain guards against an upstream with a limit of zero
// that is never asked whether it still names it.
func TestUpstreamThatTakesNothingIsAskedAgain(t *testing.T) {
	for _, hosts := range sizes {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			d := newDeployment(9, hosts, 2)
			d.run(5 * time.Second)
			from := d.named(0)
			d.run(60 * time.Second)
			requireLimitKept(t, d, from, 0)
			d.limit = -1
			d.run(30 * time.Second)
			for _, h := range d.hosts {
				_, limited := h.Limit(testUpstream.Hash())
				require.False(t, limited, h.name)
			}
		})
	}
}
