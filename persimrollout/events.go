package persimrollout

import "math"

// events returns how many results of a count are bad ones, and of how many.
type events func(Count) (bad, total float64)

func failures([]Count) events {
	return func(c Count) (float64, float64) { return float64(c.Failed), float64(c.Ended) }
}

func slowFirst(whole []Count) events {
	return slow(whole, func(c Count) Histogram { return c.First })
}

func slowPace(whole []Count) events {
	return slow(whole, func(c Count) Histogram { return c.Pace })
}

// slow returns the events of responses that take more than twice the median of the current
// version on their route, or on all routes where one has too few.
func slow(whole []Count, histogram func(Count) Histogram) events {
	var all Histogram
	routes := map[string]Histogram{}
	for _, c := range whole {
		if c.Side != SideCurrent {
			continue
		}
		h := histogram(c)
		all = all.plus(h)
		routes[c.Route] = routes[c.Route].plus(h)
	}
	return func(c Count) (float64, float64) {
		reference := routes[c.Route]
		if reference.total() < minMedian {
			reference = all
		}
		if reference.total() < minMedian {
			return 0, 0
		}
		h := histogram(c)
		return float64(h.above(reference.median() + slowBuckets)), float64(h.total())
	}
}

// row is what one stratum counts of one kind of events.
type row struct {
	stratum
	bad, total float64
}

// rows returns the rows of a side that have results.
func rows(counts []Count, side Side, pick events) []row {
	var list []row
	for _, c := range counts {
		if c.Side != side {
			continue
		}
		if bad, total := pick(c); total > 0 {
			list = append(list, row{stratum: c.stratum(), bad: bad, total: total})
		}
	}
	return list
}

func (h Histogram) plus(other Histogram) Histogram {
	for i := range Buckets {
		h[i] += other[i]
	}
	return h
}

func (h Histogram) total() uint32 { return h.above(-1) }

// above returns the number of times in the buckets above one.
func (h Histogram) above(bucket int) uint32 {
	sum := uint32(0)
	for i := bucket + 1; i < Buckets; i++ {
		sum += h[i]
	}
	return sum
}

// median returns the bucket of the median.
func (h Histogram) median() int {
	half := uint32(math.Ceil(float64(h.total()) / 2))
	sum := uint32(0)
	for i, count := range h {
		sum += count
		if sum >= half {
			return i
		}
	}
	return Buckets - 1
}
