package persimadmit

import (
	"math"
	"time"
)

const (
	// tallyWindow is the time over which work is averaged, minTallyWindow the shortest time
	// that work which has just begun is averaged over.
	tallyWindow    = 2 * time.Second
	minTallyWindow = 500 * time.Millisecond
)

// Work is what a request asks of an upstream, in tokens.
type Work struct {
	Prefill, Output float64
}

// Tally averages the work that arrives at one host for one service. It is not safe for
// concurrent use.
type Tally struct {
	sums    map[Key]Work
	fadedAt time.Time
	// requests is the number of requests in the sums.
	requests float64
	// activeSince is when work began to arrive.
	activeSince time.Time
}

// NewTally returns a tally without work.
func NewTally() *Tally { return &Tally{sums: map[Key]Work{}} }

// Add counts the work of a request.
func (t *Tally) Add(now time.Time, key Key, work Work) {
	t.fade(now)
	if len(t.sums) == 0 {
		t.activeSince = now
	}
	t.requests++
	sum := t.sums[key]
	sum.Prefill += work.Prefill
	sum.Output += work.Output
	t.sums[key] = sum
}

// fade reduces the sums, and drops those of which a thousandth of a token is left.
func (t *Tally) fade(now time.Time) {
	elapsed := now.Sub(t.fadedAt)
	if elapsed <= 0 {
		return
	}
	t.fadedAt = now
	factor := math.Exp(-elapsed.Seconds() / tallyWindow.Seconds())
	t.requests *= factor
	for key, sum := range t.sums {
		sum.Prefill *= factor
		sum.Output *= factor
		t.sums[key] = sum
		if sum.Prefill+sum.Output < 1e-3 {
			delete(t.sums, key)
		}
	}
}

// Loads returns the number of upstreams that the work keeps busy, given how many a number of
// prompt tokens and of generated tokens a second do. Upstreams are busy with prompts or with
// output, whichever is more in sum.
func (t *Tally) Loads(now time.Time, busy func(prefill, output float64) float64) Loads {
	t.fade(now)
	active := max(now.Sub(t.activeSince), minTallyWindow).Seconds() / tallyWindow.Seconds()
	scale := 1 / (tallyWindow.Seconds() * (1 - math.Exp(-active)))
	var total Work
	for _, sum := range t.sums {
		total.Prefill += sum.Prefill
		total.Output += sum.Output
	}
	prefillBinds := busy(total.Prefill, 0) >= busy(0, total.Output)
	loads := make(Loads, len(t.sums))
	for key, sum := range t.sums {
		if prefillBinds {
			loads[key] = busy(sum.Prefill*scale, 0)
			continue
		}
		loads[key] = busy(0, sum.Output*scale)
	}
	return loads
}

// Certainty returns the factor by which the average is to be multiplied so that the true one is
// most likely not below it: few requests come in a time by chance.
func (t *Tally) Certainty(now time.Time) float64 {
	t.fade(now)
	return max(0, 1-1/math.Sqrt(max(t.requests, 1)))
}
