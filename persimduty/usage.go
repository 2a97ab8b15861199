package persimduty

import "time"

// retainedWindows is the number of past windows whose counts are retained; a window
// must be reported within two windows of its end.
const retainedWindows = 5

// Counts holds the number of requests that started in a window, by organisation.
type Counts map[string]int64

// Usage counts the requests of each window on this host and on other hosts. It is
// not safe for concurrent use.
type Usage interface {
	// Count records a request that started at the given time.
	Count(at time.Time, organisation string)
	// Local returns the counts of this host, by window.
	Local() map[int64]Counts
	// ObserveRemote replaces the counts of the given windows from a source, which is
	// one incarnation of another host.
	ObserveRemote(source string, windows map[int64]Counts)
	// ForgetRemote deletes the counts of all sources.
	ForgetRemote()
	// Window returns the number of the window that contains the given time.
	Window(at time.Time) int64
	// Sum returns the counts of a window, summed over all hosts.
	Sum(window int64) Counts
}

type usage struct {
	windowLength time.Duration
	local        map[int64]Counts
	remote       map[string]map[int64]Counts
}

// NewUsage returns an empty Usage with windows of the given length.
func NewUsage(windowLength time.Duration) Usage {
	return &usage{windowLength: windowLength, local: map[int64]Counts{}, remote: map[string]map[int64]Counts{}}
}

func (u *usage) Window(at time.Time) int64 { return at.UnixNano() / int64(u.windowLength) }

func (u *usage) Count(at time.Time, organisation string) {
	window := u.Window(at)
	counts, ok := u.local[window]
	if !ok {
		counts = Counts{}
		u.local[window] = counts
		prune(u.local, window)
	}
	counts[organisation]++
}

func (u *usage) Local() map[int64]Counts { return u.local }

func (u *usage) ObserveRemote(source string, windows map[int64]Counts) {
	stored, ok := u.remote[source]
	if !ok {
		stored = map[int64]Counts{}
		u.remote[source] = stored
	}
	for window, counts := range windows {
		stored[window] = counts
		prune(stored, window)
	}
}

func (u *usage) ForgetRemote() { clear(u.remote) }

// prune deletes the windows that are too old to be reported.
func prune(windows map[int64]Counts, newest int64) {
	pruneBefore(windows, newest-retainedWindows)
}

func (u *usage) Sum(window int64) Counts {
	sum := Counts{}
	addCounts(sum, u.local[window])
	for _, windows := range u.remote {
		addCounts(sum, windows[window])
	}
	return sum
}

func addCounts(sum, counts Counts) {
	for organisation, count := range counts {
		sum[organisation] += count
	}
}
