package persimentry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplatform"
	"persimmonport.example/platform"
)

// loadReports reads the usage reports that earlier holders of the lease have stored.
func (e *entry) loadReports(ctx context.Context) {
	object, err := e.objects.Get(ctx, dutyKind, usageName)
	if err != nil && !errors.Is(err, persimplatform.ErrNotFound) {
		klog.InfoS("usage: earlier reports not read", "error", persimlog.ErrorText(err))
		e.unloadReports()
		return
	}
	var record persimduty.ReportRecord
	if err == nil {
		if err := json.Unmarshal(object.Spec, &record); err != nil {
			klog.ErrorS(nil, "usage: earlier reports are unreadable", "error", persimlog.ErrorText(err))
			return
		}
	}
	e.observeEra()
	e.mu.Lock()
	defer e.mu.Unlock()
	firstOpen, tenure := e.firstOpenWindow(err == nil), e.lease.Tenure()
	if e.reports.Observe(tenure, firstOpen, record, object.Revision) {
		klog.InfoS("usage: earlier reports read", "revision", object.Revision.String(), "storedIn", record.Era, "tenure", tenure,
			"completeFrom", record.CompleteFrom, "firstOpen", firstOpen, "stored", slices.Sorted(maps.Keys(record.Windows)),
			"known", slices.Sorted(maps.Keys(e.reports.Known())))
	}
}

// firstOpenWindow returns the first window that no holder of a former era can have reported, given
// whether any reports are stored. It allows for clocks that differ by up to countsSettleTime, but
// not if nothing is stored: the copy is then from the first seconds of the deployment, whose
// windows would otherwise be left out at each first start. It needs the lock of the entry.
func (e *entry) firstOpenWindow(stored bool) int64 {
	end := time.Now().Add(e.lease.FormerTenuresEnd().Sub(persimclock.Now()))
	if !stored {
		end = end.Add(-countsSettleTime)
	}
	return e.usage.Window(end)
}

// unloadReports lets the stored reports be read again.
func (e *entry) unloadReports() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.Unload()
}

const (
	// countsSettleTime is how long after the end of a window the holder waits for the
	// counts of the other hosts, hubCountsSettleTime the same where they come through up
	// to two hubs.
	countsSettleTime    = 1500 * time.Millisecond
	hubCountsSettleTime = 3 * time.Second
)

// withdrawReport lets the counts of a window that were not stored be summed anew.
func (e *entry) withdrawReport(window int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.Withdraw(window)
}

// reportUsage reports each window that has ended and is not reported yet.
func (e *entry) reportUsage(ctx context.Context) {
	e.mu.Lock()
	loaded := e.reports.Loaded(e.lease.Tenure())
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

// reportWindow does with a window what the reports decide. Counts are stored, and then known to
// other hosts, before they are reported.
func (e *entry) reportWindow(ctx context.Context, window int64) {
	e.mu.Lock()
	action, counts := e.reports.Decide(window)
	if action == persimduty.ReportSum && counts == nil {
		counts = e.usage.Sum(window)
	}
	e.mu.Unlock()
	if action == persimduty.ReportNothing || len(counts) == 0 {
		return
	}
	if action == persimduty.ReportSum {
		e.storeReport(ctx, window, counts)
		return
	}
	if e.awaitsReportCopies(window) {
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
	if err == nil {
		e.reports.Accept(window)
	}
}

// storeReport stores the counts of a window before they are reported, so that the
// next holder of the lease reports the same counts.
func (e *entry) storeReport(ctx context.Context, window int64, counts persimduty.Counts) {
	e.mu.Lock()
	record, revision := e.reports.Propose(window, counts)
	e.mu.Unlock()
	spec, err := json.Marshal(record)
	if err != nil {
		klog.ErrorS(nil, "usage: not stored", "window", window, "error", persimlog.ErrorText(err))
		return
	}
	object, err := e.objects.Write(ctx, dutyKind, platform.Object{Name: usageName, Revision: revision, Spec: spec})
	if err != nil {
		klog.InfoS("usage: not stored", "window", window, "revision", revision.String(), "error", persimlog.ErrorText(err))
		if !errors.Is(err, persimplatform.ErrUncertain) {
			e.withdrawReport(window)
		}
		e.loadReports(ctx)
		return
	}
	klog.InfoS("usage stored", "window", window, "revision", object.Revision.String(), "completeFrom", record.CompleteFrom)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.ConfirmWrite(record, object.Revision)
	e.reportsStoredAt = time.Now()
}
