package persimentry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimduty"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// storedReports holds the counts of the windows that were or may have been reported,
// as stored.
type storedReports struct {
	Windows  map[int64]persimduty.Counts `json:"windows"`
	revision persimrevision.Revision
	loaded   bool
	// accepted holds the windows that the platform accepted from this host.
	accepted map[int64]bool
}

// loadReports reads the usage reports that earlier holders of the lease have stored.
func (e *entry) loadReports(ctx context.Context) {
	object, err := e.objects.Get(ctx, dutyKind, usageName)
	if err != nil && !errors.Is(err, persimplatform.ErrNotFound) {
		klog.InfoS("usage: earlier reports not read", "error", persimlog.ErrorText(err))
		e.mu.Lock()
		e.reports.loaded = false
		e.mu.Unlock()
		return
	}
	stored := storedReports{Windows: map[int64]persimduty.Counts{}}
	if err == nil {
		if err := json.Unmarshal(object.Spec, &stored); err != nil {
			klog.ErrorS(nil, "usage: earlier reports are unreadable", "error", persimlog.ErrorText(err))
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.Windows = stored.Windows
	e.reports.revision = object.Revision
	e.reports.loaded = true
}

const (
	// countsSettleTime is how long after the end of a window the holder waits for the
	// counts of the other hosts, hubCountsSettleTime the same where they come through up
	// to two hubs.
	countsSettleTime    = 1500 * time.Millisecond
	hubCountsSettleTime = 3 * time.Second
	// retainedReports is the number of windows whose reports stay stored.
	retainedReports = 8
)

// reportUsage reports each window that has ended and is not reported yet.
func (e *entry) reportUsage(ctx context.Context) {
	e.mu.Lock()
	loaded := e.reports.loaded
	settle := countsSettleTime
	if e.usesHubs() {
		settle = hubCountsSettleTime
	}
	newest := e.usage.Window(time.Now().Add(-settle)) - 1
	e.mu.Unlock()
	if !loaded {
		e.loadReports(ctx)
		return
	}
	reportableWindows := int64(e.deployment.Bounds.UsageLate / e.deployment.Bounds.UsageWindow)
	for window := newest - reportableWindows; window <= newest; window++ {
		e.reportWindow(ctx, window)
	}
}

// reportWindow reports the counts of a window unless they were accepted already. Counts
// that are stored are reported unchanged.
func (e *entry) reportWindow(ctx context.Context, window int64) {
	e.mu.Lock()
	counts, stored := e.reports.Windows[window]
	accepted := e.reports.accepted[window]
	if !stored {
		counts = e.usage.Sum(window)
	}
	e.mu.Unlock()
	if accepted || len(counts) == 0 {
		return
	}
	if !stored && !e.storeReport(ctx, window, counts) {
		return
	}
	fence, held := e.heldFence()
	if !held {
		return
	}
	err := e.duties.ReportUsage(ctx, persimplatform.Fence{Holder: e.deployment.Host, Token: fence}, window, counts)
	klog.InfoS("usage reported", "window", window, "fence", fence, "counts", counts, "error", persimlog.ErrorText(err))
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(err, persimplatform.ErrFenced) {
		e.lease.Invalidate(fence)
		return
	}
	if err != nil {
		return
	}
	if e.reports.accepted == nil {
		e.reports.accepted = map[int64]bool{}
	}
	e.reports.accepted[window] = true
	maps.DeleteFunc(e.reports.accepted, func(old int64, _ bool) bool { return old < window-2*retainedReports })
}

// storeReport stores the counts of a window before they are reported, so that the
// next holder of the lease reports the same counts.
func (e *entry) storeReport(ctx context.Context, window int64, counts persimduty.Counts) bool {
	e.mu.Lock()
	next := storedReports{Windows: maps.Clone(e.reports.Windows)}
	revision := e.reports.revision
	e.mu.Unlock()
	next.Windows[window] = counts
	maps.DeleteFunc(next.Windows, func(old int64, _ persimduty.Counts) bool { return old < window-retainedReports })
	spec, err := json.Marshal(next)
	if err != nil {
		klog.ErrorS(nil, "usage: not stored", "window", window, "error", persimlog.ErrorText(err))
		return false
	}
	object, err := e.objects.Write(ctx, dutyKind, platform.Object{Name: usageName, Revision: revision, Spec: spec})
	if err != nil {
		klog.InfoS("usage: not stored", "window", window, "error", persimlog.ErrorText(err))
		e.loadReports(ctx)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.Windows = next.Windows
	e.reports.revision = object.Revision
	return true
}
