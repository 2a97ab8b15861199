package persimfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDemandRateFromTheStart checks that the rate of a load that starts abruptly is
// right from minDemandWindow on, not only after the averaging window. The fleet is
// sized by it, and upstreams take seconds to start.
func TestDemandRateFromTheStart(t *testing.T) {
	const (
		tokensPerRequest = 1000.0
		interval         = 10 * time.Millisecond
		rate             = tokensPerRequest * float64(time.Second) / float64(interval)
	)
	d := newDispatcher(testBounds)
	for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += interval {
		now := time.Unix(1000, 0).Add(elapsed)
		d.addDemand(now, "s", Demand{PrefillTokens: tokensPerRequest})
		if elapsed >= minDemandWindow {
			require.InEpsilon(t, rate, d.demandRates(now)["s"].PrefillTokens, 0.1, "after %v", elapsed)
		}
	}
}
