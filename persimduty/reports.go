package persimduty

import (
	"maps"
	"slices"

	"persimmonport.example/persimrevision"
)

// retainedReports is the number of windows whose reports are retained. Hosts whose clocks are
// ahead add windows of the future, so the oldest ones are dropped by number and not by age.
const retainedReports = 16

// ReportRecord is the stored object with the counts that were reported or may have been. The
// counts of a window are stored before they are reported, so that the next holder of the lease
// repeats them unchanged.
type ReportRecord struct {
	Windows map[int64]Counts `json:"windows"`
	// Era is the era of the store in which the record was written. In a later era the record
	// is part of an older copy, and reports may be missing.
	Era persimrevision.Era `json:"era,omitempty"`
	// CompleteFrom is the first window from which on no report is missing in the record.
	CompleteFrom int64 `json:"complete,omitempty"`
}

// ReportAction is what the holder of the lease does with a window that has ended.
type ReportAction int

const (
	// ReportNothing leaves the window out: it was accepted, or it may have been reported with
	// counts that are not known.
	ReportNothing ReportAction = iota
	// ReportAgain reports the counts that were or may have been reported before.
	ReportAgain
	// ReportSum reports the sum of the counts of all hosts, which was not reported before.
	ReportSum
)

// Reports decides which counts are reported for a window, so that no two reports of one window
// differ. It performs no I/O and is not safe for concurrent use.
type Reports interface {
	// Observe takes over the record as read at a revision in a tenure of this host. If the
	// record lacks reports of former eras, firstOpen is the first window that no holder of a
	// former era can have reported. It reports whether the record counts: not if it was read
	// before another one.
	Observe(tenure int, firstOpen int64, record ReportRecord, revision persimrevision.Revision) bool
	// Loaded reports whether the record was read in a tenure.
	Loaded(tenure int) bool
	// Unload requires that the record be read again.
	Unload()
	// Merge adds the counts that another host knows to be reported or about to be.
	Merge(windows map[int64]Counts)
	// Known returns the counts that were or may have been reported, by window.
	Known() map[int64]Counts
	// Decide returns what to do with a window, and the counts for ReportAgain. With ReportSum
	// these are the counts that were proposed before, or nil.
	Decide(window int64) (ReportAction, Counts)
	// Propose returns the record to write before the counts of a window are reported, and the
	// revision that it replaces.
	Propose(window int64, counts Counts) (ReportRecord, persimrevision.Revision)
	// Withdraw records that the write of the counts that were last proposed for a window was not
	// and will not be carried out, so that they may be summed anew.
	Withdraw(window int64)
	// ConfirmWrite records that a proposed record was written at a revision.
	ConfirmWrite(record ReportRecord, revision persimrevision.Revision)
	// Accept records that the report of a window was accepted.
	Accept(window int64)
}

type reports struct {
	loaded bool
	// tenure is that in which the record was last read, revision where it was read or written.
	tenure   int
	revision persimrevision.Revision
	// completeFrom is the first window from which on no report is missing in known. It holds
	// for the tenure, also in a later era.
	completeFrom int64
	known        map[int64]Counts
	// proposed holds the counts whose write was not confirmed. The write may still be carried
	// out, so the counts are not summed anew. They are uncertain if they were proposed before
	// and not withdrawn.
	proposed  map[int64]Counts
	uncertain map[int64]bool
	accepted  map[int64]bool
}

// NewReports returns the reports of a host that knows of none.
func NewReports() Reports {
	return &reports{
		known: map[int64]Counts{}, proposed: map[int64]Counts{}, uncertain: map[int64]bool{}, accepted: map[int64]bool{},
	}
}

func (r *reports) Observe(tenure int, firstOpen int64, record ReportRecord, revision persimrevision.Revision) bool {
	if r.isBefore(revision) {
		return false
	}
	switch {
	case record.Era == revision.Era:
		r.completeFrom = record.CompleteFrom
	case tenure != r.tenure:
		r.completeFrom = firstOpen
	}
	r.add(record.Windows)
	r.tenure, r.revision, r.loaded = tenure, revision, true
	return true
}

// isBefore reports whether a revision was read before that of the record. Number zero stands for
// a record that does not exist.
func (r *reports) isBefore(revision persimrevision.Revision) bool {
	if revision.Number == 0 {
		return revision.Era < r.revision.Era
	}
	return r.revision.After(revision)
}

func (r *reports) Loaded(tenure int) bool { return r.loaded && r.tenure == tenure }

func (r *reports) Unload() { r.loaded = false }

func (r *reports) Merge(windows map[int64]Counts) { r.add(windows) }

// add adds counts of windows that are not known yet.
func (r *reports) add(windows map[int64]Counts) {
	for window, counts := range windows {
		if _, ok := r.known[window]; !ok {
			r.known[window] = counts
		}
	}
	r.completeFrom = retain(r.known, r.completeFrom)
}

// retain drops the oldest windows beyond retainedReports. It returns the first window from which
// on none is missing, given that of the windows before.
func retain(windows map[int64]Counts, completeFrom int64) int64 {
	ascending := slices.Sorted(maps.Keys(windows))
	for _, window := range ascending[:max(0, len(ascending)-retainedReports)] {
		delete(windows, window)
		completeFrom = max(completeFrom, window+1)
	}
	return completeFrom
}

func (r *reports) Known() map[int64]Counts { return maps.Clone(r.known) }

func (r *reports) Decide(window int64) (ReportAction, Counts) {
	counts, known := r.known[window]
	switch {
	case r.accepted[window]:
		return ReportNothing, nil
	case known:
		return ReportAgain, counts
	case window >= r.completeFrom:
		return ReportSum, r.proposed[window]
	default:
		return ReportNothing, nil
	}
}

func (r *reports) Propose(window int64, counts Counts) (ReportRecord, persimrevision.Revision) {
	if _, ok := r.proposed[window]; ok {
		r.uncertain[window] = true
	}
	r.proposed[window] = counts
	pruneBefore(r.proposed, window-retainedReports)
	pruneBefore(r.uncertain, window-retainedReports)
	windows := maps.Clone(r.known)
	windows[window] = counts
	completeFrom := retain(windows, r.completeFrom)
	return ReportRecord{Windows: windows, Era: r.revision.Era, CompleteFrom: completeFrom}, r.revision
}

func (r *reports) Withdraw(window int64) {
	if !r.uncertain[window] {
		delete(r.proposed, window)
	}
}

func (r *reports) ConfirmWrite(record ReportRecord, revision persimrevision.Revision) {
	if record.Era != revision.Era || r.isBefore(revision) {
		r.loaded = false
		return
	}
	r.add(record.Windows)
	r.revision = revision
}

func (r *reports) Accept(window int64) {
	r.accepted[window] = true
	pruneBefore(r.accepted, window-2*retainedReports)
}

// pruneBefore deletes the windows before one.
func pruneBefore[V any](windows map[int64]V, first int64) {
	maps.DeleteFunc(windows, func(window int64, _ V) bool { return window < first })
}
