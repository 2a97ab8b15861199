package persimfront

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimmetric"
)

// gauges keeps the gauges that a front sets.
type gauges struct {
	persimmetric.Metrics
	values map[string]float64
}

func (g *gauges) Gauge(name string, value float64) { g.values[name] = value }

// TestSlowUpstreamsAreCounted guards against learned capacities that operators can't see.
func TestSlowUpstreamsAreCounted(t *testing.T) {
	metrics := &gauges{values: map[string]float64{}}
	New(WithMetrics(metrics)).SharedState()
	require.Contains(t, metrics.values, "upstreams_slow")
}
