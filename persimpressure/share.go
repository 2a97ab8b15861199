package persimpressure

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// spareHolders is the number of holders of a limit beyond one for each request a
	// second, so that a holder that is down or has no requests leaves little of it unused.
	spareHolders = 2
	// burstTime is the time for which a holder accumulates its share of a limit. A holder
	// can always accumulate one request.
	burstTime = 500 * time.Millisecond
	// minLimit is the rate, in requests a second, at which all hosts together ask an
	// upstream whose limit is lower whether it still names that limit.
	minLimit = 0.1
	// missedRequests is the number of requests at the rate of a limit without news of any
	// after which hosts that are no holders send in place of the holders.
	missedRequests = 4
	// minQuiet and maxQuiet bound the time without news of requests after which the first
	// host that is no holder sends one.
	minQuiet = 2 * time.Second
	maxQuiet = 10 * time.Second
	// quietStep is the additional time for each further host, in which the news of the
	// previous one's request spreads.
	quietStep = 2 * time.Second
	// takeoverDelay is the time after which a host that becomes a holder by a change of the
	// hosts or of the limit sends, since the others may learn of it later.
	takeoverDelay = time.Second
)

// effective returns the rate at which requests are sent under a limit.
func effective(limit float64) float64 { return max(limit, minLimit) }

// holderCount returns the number of hosts that hold shares of a limit. It grows with the
// limit only, so that what holders have accumulated stays below what the limit allows.
func holderCount(limit float64, hosts int) int {
	count := math.Ceil(effective(limit)) + spareHolders
	return int(min(count, float64(max(1, hosts))))
}

// hosts are the hosts among which limits are divided.
type hosts struct {
	self uint64
	// others are the hashes of the other hosts' names.
	others []uint64
}

func (h *hosts) set(self string, others []string) {
	h.self = xxhash.Sum64String(self)
	h.others = h.others[:0]
	for _, name := range others {
		h.others = append(h.others, xxhash.Sum64String(name))
	}
}

func (h *hosts) count() int { return len(h.others) + 1 }

// rank returns the place of this host in the order of an upstream's holders, by rendezvous
// hashing: hosts with the same list of hosts agree on it.
func (h *hosts) rank(upstream uint64) int {
	own := weight(upstream, h.self)
	rank := 0
	for _, other := range h.others {
		if w := weight(upstream, other); w > own || w == own && other > h.self {
			rank++
		}
	}
	return rank
}

// weight mixes two hashes.
func weight(upstream, host uint64) uint64 {
	x := upstream ^ host*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
