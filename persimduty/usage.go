package persimduty

import (
	"maps"
	"time"
)

// keptWindows is the number of past windows whose counts are kept; a report is
// due within two windows of the end.
const keptWindows = 5

// Counts are the requests that began in a window, by organisation.
type Counts map[string]int64

// Usage counts requests by window, here and at other hosts. It is not safe for
// concurrent use.
type Usage interface {
	// Count records a request that began at a time.
	Count(at time.Time, organisation string)
	// Own returns what was counted here, by window.
	Own() map[int64]Counts
	// Observe takes over what a host's incarnation counted.
	Observe(source string, windows map[int64]Counts)
	// Window returns the number of the window of a time.
	Window(at time.Time) int64
	// Sum returns the counts of a window over all hosts.
	Sum(window int64) Counts
}

type usage struct {
	length  time.Duration
	own     map[int64]Counts
	sources map[string]map[int64]Counts
}

// NewUsage returns a count of requests in windows of a length.
func NewUsage(length time.Duration) Usage {
	return &usage{length: length, own: map[int64]Counts{}, sources: map[string]map[int64]Counts{}}
}

func (u *usage) Window(at time.Time) int64 { return at.UnixNano() / int64(u.length) }

func (u *usage) Count(at time.Time, organisation string) {
	window := u.Window(at)
	counts, ok := u.own[window]
	if !ok {
		counts = Counts{}
		u.own[window] = counts
		forget(u.own, window)
	}
	counts[organisation]++
}

func (u *usage) Own() map[int64]Counts { return u.own }

func (u *usage) Observe(source string, windows map[int64]Counts) {
	known, ok := u.sources[source]
	if !ok {
		known = map[int64]Counts{}
		u.sources[source] = known
	}
	for window, counts := range windows {
		known[window] = counts
		forget(known, window)
	}
}

// forget drops windows that are long over.
func forget(windows map[int64]Counts, newest int64) {
	maps.DeleteFunc(windows, func(window int64, _ Counts) bool { return window < newest-keptWindows })
}

func (u *usage) Sum(window int64) Counts {
	sum := Counts{}
	add(sum, u.own[window])
	for _, windows := range u.sources {
		add(sum, windows[window])
	}
	return sum
}

func add(sum, counts Counts) {
	for organisation, count := range counts {
		sum[organisation] += count
	}
}
