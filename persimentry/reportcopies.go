package persimentry

import (
	"maps"
	"slices"
	"time"

	"persimmonport.example/persimduty"
	"persimmonport.example/persimwire"
)

const (
	// reportCopies is the number of other hosts that know the counts of a window before they
	// are reported, if so many are in touch: the store may lose them.
	reportCopies = 3
	// reportCopyTime is how long the holder of the lease waits for that.
	reportCopyTime = time.Second
)

// addReports adds to a message the reported counts that the receiver lacks. It needs the lock of
// the entry.
func (e *entry) addReports(state *persimwire.Exchange, receiver string) {
	known := e.reports.Known()
	state.KnownUsageReports = slices.Sorted(maps.Keys(known))
	receiverKnows := e.peers[receiver].knownReports
	maps.DeleteFunc(known, func(window int64, _ persimduty.Counts) bool { return receiverKnows[window] })
	state.UsageReports = encodeWindows(known)
}

// decodeKnownReports returns the windows whose reported counts the sender of a message knows.
func decodeKnownReports(received *persimwire.Exchange) map[int64]bool {
	known := make(map[int64]bool, len(received.GetKnownUsageReports()))
	for _, window := range received.GetKnownUsageReports() {
		known[window] = true
	}
	return known
}

// awaitsReportCopies reports whether the report of a window is to wait until more hosts know its
// counts.
func (e *entry) awaitsReportCopies(window int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportsStoredAt) > reportCopyTime {
		return false
	}
	inTouch, copies := 0, 0
	for _, p := range e.peers {
		if time.Since(p.lastHeard) > reportCopyTime {
			continue
		}
		inTouch++
		if p.knownReports[window] {
			copies++
		}
	}
	return copies < min(inTouch, reportCopies)
}
