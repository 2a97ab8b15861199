package persimfront

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simLength is the measured time of a simulated load.
const simLength = 10 * time.Second

// simLoad is a load at which priorities are compared with the code without them.
type simLoad struct {
	// prepare changes a deployment and returns what happens at each tick.
	prepare func(d *deployment) func(elapsed time.Duration)
	// check checks the mechanism that the load needs.
	check func(t *testing.T, d *deployment)
}

// times returns the load of organisations whose names begin with a prefix, as a multiple of the
// normal load.
func times(prefix string, factor float64) func(string, time.Duration) float64 {
	return func(organisation string, _ time.Duration) float64 {
		if strings.HasPrefix(organisation, prefix) {
			return factor
		}
		return 1
	}
}

var simLoads = map[string]simLoad{
	"short prompts double": {
		prepare: func(d *deployment) func(time.Duration) {
			d.load = times("short", 2)
			return nil
		},
	},
	"an organisation sends six times as much in a burst": {
		prepare: func(d *deployment) func(time.Duration) {
			d.load = func(organisation string, elapsed time.Duration) float64 {
				return max(times("short", 2)(organisation, elapsed), times("short-0", 6)(organisation, elapsed))
			}
			return nil
		},
		check: requireEvenShares,
	},
	"a third of the upstreams is lost in two seconds": {
		prepare: func(d *deployment) func(time.Duration) {
			return func(elapsed time.Duration) {
				for _, e := range d.engines[:int(min(elapsed, 2*time.Second)*(simEngines/3)/(2*time.Second))] {
					if !e.lost {
						d.lose(e)
					}
				}
				if elapsed == 4*time.Second {
					d.listUpstreams()
				}
			}
		},
	},
	"hosts hear of no other": {
		prepare: func(d *deployment) func(time.Duration) {
			d.noSums = true
			d.load = times("short", 4)
			return nil
		},
		check: requireShort,
	},
	"callers repeat at once": {
		prepare: func(d *deployment) func(time.Duration) {
			d.impatient = true
			d.load = times("short", 2)
			return nil
		},
	},
}

// requireEvenShares checks that an organisation which sends more than its even share is cut, and
// the others of its priority are not.
func requireEvenShares(t *testing.T, d *deployment) {
	greedy, others := d.results["short-0"], simResult{}
	for name, r := range d.results {
		if strings.HasPrefix(name, "short-") && name != "short-0" {
			others.sent += r.sent
			others.answered += r.answered
		}
	}
	require.Greater(t, others.answeredShare(), greedy.answeredShare()+0.03, "others are served more often than the greedy organisation")
}

// requireShort checks that hosts know of the shortage.
func requireShort(t *testing.T, d *deployment) {
	short := 0
	for _, host := range d.hosts {
		if host.admission.services["s"].short {
			short++
		}
	}
	require.Greater(t, short, len(d.hosts)/2, "hosts that know of the shortage")
}

func (r simResult) answeredShare() float64 { return float64(r.answered) / float64(r.sent) }
func (r simResult) timelyShare() float64   { return float64(r.timely) / float64(r.sent) }

// TestPriorityUnderLoad checks, at each size and load, that the first priority is served better
// than by the code without priorities, that nobody starves, and that upstreams do as much work.
func TestPriorityUnderLoad(t *testing.T) {
	for name, load := range simLoads {
		for _, hosts := range []int{7, 80, 146, 300} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				t.Parallel()
				before, after := newDeployment(hosts, false), newDeployment(hosts, true)
				for _, d := range []*deployment{before, after} {
					d.run(simLength, load.prepare(d))
				}
				for _, route := range simRoutes {
					b, a := before.results[route.name], after.results[route.name]
					t.Logf("%s: in time %.2f, answered %.2f; before %.2f, %.2f", route.name, a.timelyShare(), a.answeredShare(), b.timelyShare(), b.answeredShare())
				}
				t.Logf("work %.3f of that before", float64(after.workedInTime)/float64(before.workedInTime))
				require.Greater(t, after.results["long"].timelyShare(), 3*before.results["long"].timelyShare(), "first priority in time")
				require.GreaterOrEqual(t, after.results["long"].answeredShare(), before.results["long"].answeredShare(), "first priority answered")
				require.GreaterOrEqual(t, float64(after.workedInTime), 0.98*float64(before.workedInTime), "work")
				for name, r := range after.results {
					require.GreaterOrEqual(t, r.answeredShare(), after.results["all"].answeredShare()/4, "%s answered", name)
					require.GreaterOrEqual(t, r.timelyShare(), after.results["all"].timelyShare()/4, "%s in time", name)
				}
				if load.check != nil {
					load.check(t, after)
				}
			})
		}
	}
}
