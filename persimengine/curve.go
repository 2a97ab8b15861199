package persimengine

import (
	"math"
	"slices"
	"time"
)

const (
	// meanPriorWeight is the number of samples by whose weight an estimate is drawn to the
	// prior. That of a host differs from it by up to half.
	meanPriorWeight = 6
	// minFactor and maxFactor bound the factor, so that no upstream gets all requests or
	// none.
	minFactor = 0.4
	maxFactor = 4
	// sampleDeviation is the assumed standard deviation of a sample's logarithm, and
	// significance the number of standard errors by which throughput has to fall.
	sampleDeviation = 0.4
	significance    = 1
	// minFall is the logarithm of the factor by which throughput has to fall in any case:
	// bursts of prompts make requests and the time between tokens rise together.
	minFall = 0.45
	// minBandWeight is the least weight of a band whose time is compared.
	minBandWeight = 2
	// peakMemory is how long the time in the band with the most throughput is remembered
	// after more load gave less throughput. Requests that stay above that band tell nothing
	// of it.
	peakMemory = 10 * time.Second
)

// priorBands are the logarithms of the factors up to which an upstream is taken as usual, by
// kind of work. Times to the first byte depend on prompts of other hosts that are not known
// in time.
var priorBands = [workCount]float64{WorkPrefill: 0.47, WorkOutput: 0.4, WorkPlain: 0.4}

// priorWeight returns the weight of the prior for a hash of host and upstream.
func priorWeight(hash uint64) float64 {
	hash *= 0x9e3779b97f4a7c15
	return meanPriorWeight * (0.5 + float64(hash>>40)/float64(1<<24))
}

// reference is the usual logarithm of the duration of work at a service, by band of load
// from the lowest known one on.
type reference struct {
	lowest int
	means  [bandCount]float64
}

// reference returns the medians over the upstreams. A band in which fewer than half of
// them were seen has the value of the next lower one, since only those that are slow may
// have come there.
func (c *capacities) reference(work Work) reference {
	seen := 0
	var bands [bandCount][]float64
	for _, u := range c.upstreams {
		known := false
		for i, cell := range u.cells(work) {
			if cell.weight >= 1 {
				known = true
				bands[i] = append(bands[i], cell.mean())
			}
		}
		if known {
			seen++
		}
	}
	r := reference{lowest: bandCount}
	for i, means := range bands {
		switch {
		case len(means) > 0 && 2*len(means) >= seen:
			r.means[i] = lowerMedian(means)
			r.lowest = min(r.lowest, i)
		case i > 0:
			r.means[i] = r.means[i-1]
		}
	}
	return r
}

// lowerMedian returns the median, the lower one of two; it sorts the values.
func lowerMedian(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// factor returns the duration of work relative to that of the service in the same bands,
// or 1 if it is close to the prior.
func factor(cells []sums, service reference, prior, priorBand float64) float64 {
	var total sums
	for i := service.lowest; i < len(cells); i++ {
		total = total.plus(sums{cells[i].weight, cells[i].sum - cells[i].weight*service.means[i]})
	}
	logarithm := total.sum / (total.weight + prior)
	if math.Abs(logarithm) <= priorBand {
		return 1
	}
	return min(max(math.Exp(logarithm), minFactor), maxFactor)
}

// peak is the band of the most throughput with its evidence.
type peak struct {
	band int
	cell sums
	// until is the time up to which it is remembered.
	until time.Time
}

// find returns the band with the most throughput below the lowest band in which more load
// gave less of it, or the last band if there is none.
func (p *peak) find(now time.Time, cells []sums) int {
	best := peak{until: now.Add(peakMemory)}
	bestLog := math.Inf(-1)
	for i, cell := range cells {
		if cell.weight < minBandWeight && i == p.band && now.Before(p.until) {
			cell = p.cell
		}
		if cell.weight < minBandWeight {
			continue
		}
		throughput := math.Log(bandMiddle(i)) - cell.mean()
		margin := significance * sampleDeviation * math.Sqrt(1/cell.weight+1/max(best.cell.weight, minBandWeight))
		if throughput+margin+minFall < bestLog {
			*p = best
			return best.band
		}
		if throughput > bestLog {
			best.band, best.cell, bestLog = i, cell, throughput
		}
	}
	return bandCount - 1
}
