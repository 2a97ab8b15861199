package persimrollout

import (
	"math"
	"time"
)

const (
	// Buckets is the number of buckets of a histogram.
	Buckets = 16
	// unitBucket is the bucket of times from the expected one to 1.41 times as long, so that
	// the buckets reach from a quarter of the expected time to 32 times that.
	unitBucket = 4
)

// Histogram counts times relative to the expected one. Each bucket reaches from its lower
// bound to 1.41 times that; the first and the last one are open.
type Histogram [Buckets]uint32

// bucket returns the bucket of a time.
func bucket(took, expected time.Duration) int {
	if took <= 0 {
		return 0
	}
	place := math.Floor(2 * math.Log2(float64(took)/float64(max(1, expected))))
	return int(min(max(0, place+unitBucket), Buckets-1))
}
