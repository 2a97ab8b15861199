package persimhub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimengine"
)

// TestEvidenceOfOthersIsSummed guards against hosts that hear their own evidence again, or
// that of hosts and data centres which are gone.
func TestEvidenceOfOthersIsSummed(t *testing.T) {
	cell := persimengine.Cell{Upstream: 7, Index: 1}
	report := func(weight int64) Report {
		return Report{Incarnation: "1", Evidence: persimengine.Evidence{cell: {Weight: weight, Sum: 2 * weight}}}
	}
	h := New(testStart, "hub", testWindow)
	h.ObserveHost(testStart, "a", report(10))
	h.ObserveHost(testStart, "a", report(20))
	h.ObserveHost(testStart, "b", report(3))
	h.ObserveCentre(testStart, "other", Sum{Source: "x", Hosts: 1, Evidence: report(100).Evidence})
	require.Equal(t, int64(23), h.CentreSum(testStart).Evidence[cell].Weight)
	require.Equal(t, persimengine.Tally{Weight: 103, Sum: 206}, h.Others(testStart, "a", false).Evidence[cell])
	require.Equal(t, int64(120), h.Others(testStart, "b", false).Evidence[cell].Weight)
	later := testStart.Add(hostTTL + time.Second)
	h.ObserveHost(later, "b", report(3))
	require.Equal(t, int64(3), h.CentreSum(later).Evidence[cell].Weight)
	require.Empty(t, h.Others(later, "b", false).Evidence)
}
