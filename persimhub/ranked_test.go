package persimhub

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimadmit"
)

// rankedReport returns the report of a host with work of one organisation.
func rankedReport(organisation string, busy float64) Report {
	return Report{
		Incarnation: "1", Admitted: Totals{},
		Ranked: Ranked{"s": persimadmit.Loads{{Rank: 2, Organisation: organisation}: busy}},
	}
}

// TestRankedDemandOfOthers checks that each host is told the work of all others by organisation
// and priority: what is missing or counted twice shifts the shares of all organisations.
func TestRankedDemandOfOthers(t *testing.T) {
	key := func(organisation string) persimadmit.Key { return persimadmit.Key{Rank: 2, Organisation: organisation} }
	hub, far := New(testStart, "hub", time.Second), New(testStart, "far", time.Second)
	hub.ObserveHost(testStart, "h1", rankedReport("a", 1))
	hub.ObserveHost(testStart, "h2", rankedReport("a", 2))
	far.ObserveHost(testStart, "h3", rankedReport("b", 4))
	hub.ObserveCentre(testStart, "far", far.CentreSum(testStart))
	require.Equal(t, Ranked{"s": {key("a"): 2, key("b"): 4}}, hub.Others(testStart, "h1", false).Ranked)
	require.Equal(t, Ranked{"s": {key("a"): 3}}, hub.CentreSum(testStart).Ranked)

	hub.ObserveHost(testStart, "h2", rankedReport("c", 5))
	require.Equal(t, Ranked{"s": {key("c"): 5, key("b"): 4}}, hub.Others(testStart, "h1", false).Ranked, "after a change")
	later := testStart.Add(hostTTL + time.Second)
	require.Empty(t, hub.Others(later, "h1", false).Ranked, "after all are silent")
}

// TestRankedDemandIsBounded checks that a sum does not grow with the number of organisations, and
// loses none of their work.
func TestRankedDemandIsBounded(t *testing.T) {
	hub := New(testStart, "hub", time.Second)
	const organisations = 5000
	for i := range organisations {
		hub.ObserveHost(testStart, fmt.Sprintf("h%d", i%300), rankedReport(fmt.Sprint(i), 1))
		hub.ObserveHost(testStart, fmt.Sprintf("g%d", i), rankedReport(fmt.Sprint(i), 1))
	}
	ranked := hub.CentreSum(testStart).Ranked["s"]
	require.LessOrEqual(t, len(ranked), maxRankedLoads+1)
	require.InDelta(t, organisations+300, ranked.Total(), 1e-6)
}
