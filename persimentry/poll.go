package persimentry

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fractions of a staleness bound after which a host reads the store itself. The hubs
// read first and the other hosts receive the result from them, so that the number of
// reads does not grow with the number of hosts. A host that receives nothing still
// reads within the bound; pollSpreadFraction spreads these reads over time.
const (
	hubPollFraction    = 0.3
	nonHubPollFraction = 0.5
	pollSpreadFraction = 0.1
)

// pollAge returns the age of its copy from which on a host reads the store itself.
// The bound is the greatest age that the copy may have; hub reports whether the host
// reads on behalf of the others.
func pollAge(host string, hub bool, bound time.Duration) time.Duration {
	if hub {
		return time.Duration(float64(bound) * hubPollFraction)
	}
	spread := float64(xxhash.Sum64String(host)) / math.MaxUint64
	return time.Duration(float64(bound) * (nonHubPollFraction + pollSpreadFraction*spread))
}

// pollAge returns the age of its copy from which on this host reads the store itself.
func (e *entry) pollAge(bound time.Duration) time.Duration {
	return pollAge(e.deployment.Host, e.ranksAsHub(), bound)
}
