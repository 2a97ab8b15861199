package persimengine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Work is a kind of work of an upstream.
type Work int

// Kinds of work.
const (
	// WorkPrefill is the prefill of a prompt up to the first byte of the response.
	WorkPrefill Work = iota
	// WorkOutput is the generation of output tokens.
	WorkOutput
	// WorkPlain is a request to a plain service.
	WorkPlain

	workCount
)

// bandEdges are the upper edges of the bands of load, as shares of the slots.
var bandEdges = [...]float64{0.125, 0.25, 0.375, 0.5, 0.75, 1}

const (
	bandCount = len(bandEdges)
	// CellCount is the number of cells that an upstream has.
	CellCount = int(workCount) * bandCount
	// MaxCells is the largest number of cells that a host tells others.
	MaxCells = 512
	// evidenceMemory is the time in which the weight of a sample falls to 1/e.
	evidenceMemory = 4 * time.Second
	// minCellWeight is the least weight of a cell that is told.
	minCellWeight = 0.02
	// maxLogRatio bounds the logarithm of one sample, so that a single response that was
	// held up can't outweigh many others.
	maxLogRatio = 3
	// weightScale and sumScale are the units of a Tally per unit of weight and of sum.
	weightScale = 100
	sumScale    = 100
)

// Sample is one observed duration of work at an upstream.
type Sample struct {
	// Upstream is the hash of the upstream's incarnation.
	Upstream uint64
	Work     Work
	// Load is the number of requests at the upstream as a share of its slots.
	Load float64
	// Ratio is the duration relative to the one that is usual for the service.
	Ratio float64
}

// Cell identifies the evidence of one kind of work in one band of load at an upstream.
type Cell struct {
	Upstream uint64
	// Index is less than CellCount.
	Index int
}

// Tally is the evidence of a cell. It consists of integers so that tallies of many hosts
// can be added and subtracted without rounding.
type Tally struct {
	// Weight is the weight of the samples, Sum the weighted sum of the logarithms of their
	// ratios, both in hundredths.
	Weight, Sum int64
}

// Valid reports whether samples can add up to the tally.
func (t Tally) Valid() bool {
	most := float64(t.Weight)*maxLogRatio*sumScale/weightScale + sumScale
	return t.Weight > 0 && math.Abs(float64(t.Sum)) <= most
}

// Evidence is what one or several hosts have observed of upstreams lately.
type Evidence map[Cell]Tally

// Add adds evidence a number of times, which may be -1, and drops cells without any.
func (e Evidence) Add(other Evidence, times int64) {
	for cell, tally := range other {
		sum := e[cell]
		sum.Weight += tally.Weight * times
		sum.Sum += tally.Sum * times
		if sum == (Tally{}) {
			delete(e, cell)
			continue
		}
		e[cell] = sum
	}
}

// band returns the band of a load. Loads above the slots belong to the last one.
func band(load float64) int {
	for i, edge := range bandEdges {
		if load <= edge {
			return i
		}
	}
	return bandCount - 1
}

// bandMiddle returns the load in the middle of a band.
func bandMiddle(band int) float64 {
	if band == 0 {
		return bandEdges[0] / 2
	}
	return (bandEdges[band-1] + bandEdges[band]) / 2
}

// sums is the evidence of a cell in calculations.
type sums struct{ weight, sum float64 }

func (s sums) mean() float64 { return s.sum / s.weight }

func (s sums) plus(other sums) sums { return sums{s.weight + other.weight, s.sum + other.sum} }

// history is the evidence of one upstream from this host's own responses.
type history struct {
	cells     [CellCount]sums
	decayedAt time.Time
}

// decay reduces the weights by the time since the last call.
func (h *history) decay(now time.Time) {
	elapsed := now.Sub(h.decayedAt)
	if elapsed <= 0 {
		return
	}
	h.decayedAt = now
	kept := math.Exp(-elapsed.Seconds() / evidenceMemory.Seconds())
	for i := range h.cells {
		h.cells[i].weight *= kept
		h.cells[i].sum *= kept
	}
}

func (h *history) add(cell int, ratio float64) {
	logarithm := min(max(math.Log(ratio), -maxLogRatio), maxLogRatio)
	h.cells[cell] = h.cells[cell].plus(sums{1, logarithm})
}

// Trim removes all but the MaxCells heaviest cells.
func (e Evidence) Trim() {
	if len(e) <= MaxCells {
		return
	}
	cells := make([]Cell, 0, len(e))
	for cell := range e {
		cells = append(cells, cell)
	}
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(e[b].Weight, e[a].Weight), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Index, b.Index))
	})
	for _, cell := range cells[MaxCells:] {
		delete(e, cell)
	}
}
