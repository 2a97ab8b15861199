package persimfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDemandIsSeenFromTheStart plays a load that begins at once: the fleet is
// planned for it, and upstreams take seconds to start.
func TestDemandIsSeenFromTheStart(t *testing.T) {
	const (
		each = 1000.0
		gap  = 10 * time.Millisecond
		rate = each * float64(time.Second) / float64(gap)
	)
	d := newDesk(testBounds)
	for at := time.Duration(0); at < 30*time.Second; at += gap {
		now := time.Unix(1000, 0).Add(at)
		d.count(now, "s", Demand{Tokens: each})
		if at >= demandStart {
			require.InEpsilon(t, rate, d.demands(now)["s"].Tokens, 0.1, "after %v", at)
		}
	}
}
