package persimbench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMeasuresAreMet checks the targets of make bench on shorter runs.
func TestMeasuresAreMet(t *testing.T) {
	if raceEnabled {
		t.Skip("figures in virtual time do not depend on the race detector")
	}
	for _, d := range Deployments() {
		for _, m := range Measures(d, 100*time.Second) {
			t.Run(m.Name, func(t *testing.T) {
				require.True(t, m.Met(), "now %.3f%s, target %.3f%s", m.Current, m.Unit, m.Target, m.Unit)
			})
		}
	}
}

func TestRunsAreRepeatable(t *testing.T) {
	s := DefaultScenario(PolicyAdaptive)
	s.Duration = 10 * time.Second
	require.Equal(t, Simulate(s), Simulate(s))
}

func TestJain(t *testing.T) {
	require.InDelta(t, 1, Jain([]float64{3, 3, 3}), 1e-9)
	require.InDelta(t, 0.25, Jain([]float64{1, 0, 0, 0}), 1e-9)
	require.Zero(t, Jain(nil))
}
