package persimrollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// TestVersionWithoutOrderTakesNothing guards against requests to a version that was started
// beside the one in use and is not ordered yet, while the state of another order is known.
func TestVersionWithoutOrderTakesNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for phase, target := range map[Phase]string{PhaseObserving: "v9", PhaseReverting: "v2", PhaseRolledBack: "v2"} {
		t.Run(phase.String(), func(t *testing.T) {
			traffic := NewTraffic()
			var list []persimcatalog.Upstream
			for _, u := range []struct{ id, version string }{{"a", "v1"}, {"b", "v1"}, {"c", "v2"}, {"d", "v3"}, {"e", "v3"}} {
				list = append(list, persimcatalog.Upstream{
					Incarnation: persimcatalog.Incarnation{ID: u.id, Born: int64(len(list))}, Service: "s", Version: u.version,
				})
			}
			traffic.SetUpstreams(now, map[string][]persimcatalog.Upstream{"s": list})
			traffic.Merge(now, []News{{
				Order: Order{Service: "s", Target: target, Revision: 1, Duration: time.Minute}, Phase: phase, Fence: 1, Sequence: 1,
				Closed: []string{"v2"},
			}})
			assignment := traffic.Assign(now, "s", 1<<40)
			for _, u := range list {
				require.Equal(t, u.Version == "v1", traffic.Allowed(now, "s", u, assignment), u.ID)
			}
		})
	}
}

// TestCapacityOfTheVersionInUse guards against a good version that is rolled back since upstreams
// of a third version, which get no requests, count as carrying the traffic.
func TestCapacityOfTheVersionInUse(t *testing.T) {
	c := &controller{order: Order{Service: "s", Target: "v2"}, closed: []string{"v0"}}
	var fleet Fleet
	for version, count := range map[string]int{"v0": 9, "v1": 5, "v2": 4, "v3": 3} {
		for range count {
			fleet.Upstreams = append(fleet.Upstreams, persimcatalog.Upstream{Version: version})
		}
	}
	fleet.Upstreams = append(fleet.Upstreams, persimcatalog.Upstream{Version: "v1", Leaving: true})
	target, carrying := c.usable(fleet)
	require.Equal(t, 4, target)
	require.Equal(t, 5, carrying)
}
