package persimentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimplace"
	"persimmonport.example/persimwire"
)

// TestPlacementsOnTheWire guards against placements of others that every host sends on, and
// against malformed ones.
func TestPlacementsOnTheWire(t *testing.T) {
	parts := []persimplace.Part{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}}
	placements := []persimplace.Placement{
		{Parts: parts, Upstream: 7, At: time.Now().Add(-time.Second), Own: true},
		{Parts: parts, Upstream: 8, At: time.Now()},
	}
	t.Run("a host sends its own", func(t *testing.T) {
		decoded := decodePlacements(encodePlacements(placements, false))
		require.Len(t, decoded, 1)
		require.Equal(t, uint64(7), decoded[0].Upstream)
		require.Equal(t, parts, decoded[0].Parts)
		require.InDelta(t, time.Second, time.Since(decoded[0].At), float64(100*time.Millisecond))
		require.False(t, decoded[0].Own)
	})
	t.Run("a hub sends all", func(t *testing.T) {
		require.Len(t, decodePlacements(encodePlacements(placements, true)), 2)
	})
	t.Run("parts without lengths are left out", func(t *testing.T) {
		require.Empty(t, decodePlacements([]*persimwire.PromptPlacement{{Upstream: 7, Parts: []uint64{1, 2}, Tokens: []uint32{1}}}))
	})
}
