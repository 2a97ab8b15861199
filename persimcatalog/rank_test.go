package persimcatalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func rankedRoute(name string, priority int, target time.Duration, service string) Route {
	return Route{Name: name, Host: "h", Prefix: "/" + name, Priority: priority, Target: target, Splits: []Split{{Service: service, Weight: 1}}}
}

// TestPrecedences checks which pairs of routes may turn the order at engines round: a service
// must not become ranked by routes of other services or by looser targets.
func TestPrecedences(t *testing.T) {
	cases := map[string]struct {
		first, second Route
		pairs         int
	}{
		"above and tighter":     {rankedRoute("a", 0, time.Second, "s"), rankedRoute("b", 2, 2*time.Second, "s"), 1},
		"no target below":       {rankedRoute("a", 0, time.Second, "s"), rankedRoute("b", 2, 0, "s"), 1},
		"no target above":       {rankedRoute("a", 0, 0, "s"), rankedRoute("b", 2, time.Second, "s"), 0},
		"above and looser":      {rankedRoute("a", 0, 2*time.Second, "s"), rankedRoute("b", 2, time.Second, "s"), 0},
		"equal priority":        {rankedRoute("a", 1, time.Second, "s"), rankedRoute("b", 1, 2*time.Second, "s"), 0},
		"different services":    {rankedRoute("a", 0, time.Second, "s"), rankedRoute("b", 2, 2*time.Second, "other"), 0},
		"equal latency targets": {rankedRoute("a", 0, time.Second, "s"), rankedRoute("b", 2, time.Second, "s"), 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := New(1, []Route{tc.second, tc.first}, nil, nil, Limits{})
			require.Len(t, c.Precedences("s"), tc.pairs)
		})
	}
}

// TestRanks checks that the priority of an organisation goes before that of the route, that
// routes are told apart among organisations of one priority, and that a rank that no request
// can have takes no place in the order.
func TestRanks(t *testing.T) {
	five, one := 5, 1
	routes := []Route{rankedRoute("a", 0, time.Second, "s"), rankedRoute("b", 2, time.Second, "s")}
	plain := Organisation{Name: "plain", Keys: []string{"1"}}
	set := Organisation{Name: "set", Keys: []string{"2"}, Priority: &five}
	other := Organisation{Name: "other", Keys: []string{"3"}, Priority: &one}
	require.Equal(t, []int{0, 202}, New(1, routes, nil, nil, Limits{}).Ranks("s"))
	require.Equal(t, []int{0, 202, 500, 502}, New(1, routes, nil, []Organisation{plain, set}, Limits{}).Ranks("s"))
	require.Equal(t, []int{100, 102, 500, 502}, New(1, routes, nil, []Organisation{set, other}, Limits{}).Ranks("s"))
	anonymous := routes
	anonymous[0].Anonymous = true
	require.Equal(t, []int{0, 502}, New(1, anonymous, nil, []Organisation{set}, Limits{}).Ranks("s"))
	require.Less(t, rankedRoute("c", 1000, time.Second, "s").Rank(other), rankedRoute("a", 0, time.Second, "s").Rank(set))
}
