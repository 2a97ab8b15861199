package persimentry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimengine"
	"persimmonport.example/persimwire"
)

// TestCapacityEvidenceIsEncoded guards against evidence that other hosts read differently,
// and against messages longer than the design note says.
func TestCapacityEvidenceIsEncoded(t *testing.T) {
	evidence := persimengine.Evidence{}
	for upstream := range uint64(persimengine.MaxCells / 2) {
		for index := range 2 {
			evidence[persimengine.Cell{Upstream: upstream << 40, Index: index + 9}] = persimengine.Tally{Weight: 4000, Sum: -2100}
		}
	}
	encoded := encodeCapacityEvidence(evidence)
	require.Equal(t, evidence, decodeCapacityEvidence(encoded))
	size := proto.Size(&persimwire.Exchange{Evidence: encoded})
	require.LessOrEqual(t, size, len(evidence)/2*14+len(evidence)*6)
}

// TestBadCapacityEvidenceIsLeftOut guards against numbers that no host observes.
func TestBadCapacityEvidenceIsLeftOut(t *testing.T) {
	for name, cells := range map[string][]int32{
		"index too large": {int32(persimengine.CellCount), 10, 0},
		"negative index":  {-1, 10, 0},
		"no weight":       {0, 0, 0},
		"negative weight": {0, -10, 0},
		"sum too large":   {0, 10, 1000},
		"incomplete":      {0, 10},
	} {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, decodeCapacityEvidence([]*persimwire.UpstreamEvidence{{Upstream: 1, Cells: cells}}))
		})
	}
}
