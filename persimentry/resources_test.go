package persimentry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimsettings"
)

// TestResourcesFitTheHost guards against shares that exceed the memory or the descriptors of
// a host together.
func TestResourcesFitTheHost(t *testing.T) {
	for name, deployment := range map[string]persimsettings.Deployment{
		"smallest":        {MemoryBytes: 136 << 20, Descriptors: 2870},
		"larger":          {MemoryBytes: 284 << 20, Descriptors: 4100},
		"few descriptors": {MemoryBytes: 284 << 20, Descriptors: 300},
	} {
		t.Run(name, func(t *testing.T) {
			r := newResources(deployment)
			require.Positive(t, r.callerConnections)
			sockets := r.callerConnections + r.upstreamConnections + 2*r.operatorConnections
			require.Less(t, sockets, deployment.Descriptors-fileDescriptors)
			memory := r.body + r.spare + r.unread + int64(r.callerConnections)*connectionBytes
			require.Less(t, memory, int64(0.65*float64(deployment.MemoryBytes)))
			require.Greater(t, r.body, int64(2*4<<20), "two of the longest bodies")
		})
	}
}

// TestUnknownResourcesAreNotLimited covers settings without limits.
func TestUnknownResourcesAreNotLimited(t *testing.T) {
	r := newResources(persimsettings.Deployment{})
	require.Zero(t, r.callerConnections)
	require.Zero(t, r.upstreamConnections)
	require.Positive(t, r.body)
	require.Positive(t, r.spare)
}
