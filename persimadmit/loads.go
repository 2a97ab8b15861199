package persimadmit

import (
	"cmp"
	"maps"
	"slices"
)

// Key names the requests of one organisation and priority.
type Key struct {
	Rank         int
	Organisation string
	// Rest is set for the sum of the smallest organisations, which have no names.
	Rest bool
}

// Loads is the work that arrives, in upstreams that it keeps busy.
type Loads map[Key]float64

// negligible is the work below which a load counts as none: sums that are added and subtracted
// leave such a remainder.
const negligible = 1e-9

// Add adds loads a number of times, which may be negative, and drops those that are gone.
func (l Loads) Add(other Loads, times float64) {
	for key, busy := range other {
		sum := l[key] + busy*times
		if sum < negligible {
			delete(l, key)
			continue
		}
		l[key] = sum
	}
}

// Bounded returns at most count loads and one more for each rank, in which the smallest are
// summed up.
func (l Loads) Bounded(count int) Loads {
	if len(l) <= count {
		return l
	}
	keys := slices.SortedFunc(maps.Keys(l), func(a, b Key) int {
		return cmp.Or(cmp.Compare(l[b], l[a]), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation))
	})
	bounded := make(Loads, count)
	for i, key := range keys {
		if i >= count {
			key = Key{Rank: key.Rank, Rest: true}
		}
		bounded[key] += l[keys[i]]
	}
	return bounded
}

// Total returns the sum of all loads.
func (l Loads) Total() float64 {
	total := 0.0
	for _, busy := range l {
		total += busy
	}
	return total
}
