package persimentry

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shares of a bound after which a host reads the store itself. The hubs read first
// and the others learn from them, so that calls do not grow with the hosts; a host
// that learns nothing reads in time, and not all in the same moment.
const (
	hubPollShare   = 0.3
	otherPollShare = 0.5
	pollSpread     = 0.1
)

// pollAge returns the age beyond which a host reads the store itself, from the bound
// within which it must know what is there; hub tells whether it reads for the others.
func pollAge(host string, hub bool, bound time.Duration) time.Duration {
	if hub {
		return time.Duration(float64(bound) * hubPollShare)
	}
	spread := float64(xxhash.Sum64String(host)) / math.MaxUint64
	return time.Duration(float64(bound) * (otherPollShare + pollSpread*spread))
}

// pollAge returns the age beyond which this host reads the store itself.
func (e *entry) pollAge(bound time.Duration) time.Duration {
	return pollAge(e.deployment.Host, e.rankedHub(), bound)
}
