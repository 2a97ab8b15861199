package persimentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimengine"
	"persimmonport.example/persimwire"
)

// TestPrefillsOnTheWire guards against speeds that are learned from malformed messages.
func TestPrefillsOnTheWire(t *testing.T) {
	prefills := map[string][]persimengine.Prefill{"s": {{Tokens: 1200, Took: 30 * time.Millisecond}, {Tokens: 9000, Took: time.Second}}}
	require.Equal(t, prefills, decodePrefills(encodePrefills(prefills)))
	require.Empty(t, decodePrefills([]*persimwire.ServicePrefills{{Service: "s", Tokens: []uint32{1}}}))
}
