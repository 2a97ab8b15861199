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
	"persimmonport.example/platform"
)

// reports are the windows that were or may have been reported, as stored.
type reports struct {
	Windows  map[int64]persimduty.Counts `json:"windows"`
	revision int64
	known    bool
	// sent are the windows that the platform took from this host.
	sent map[int64]bool
}

func (e *entry) readReports(ctx context.Context) {
	object, err := e.objects.Get(ctx, dutyKind, usageName)
	if err != nil && !errors.Is(err, persimplatform.ErrNotFound) {
		klog.InfoS("usage: earlier reports not read", "error", persimlog.Cause(err))
		e.mu.Lock()
		e.reported.known = false
		e.mu.Unlock()
		return
	}
	stored := reports{Windows: map[int64]persimduty.Counts{}}
	if err == nil {
		if err := json.Unmarshal(object.Spec, &stored); err != nil {
			klog.ErrorS(nil, "usage: earlier reports are unreadable", "error", persimlog.Cause(err))
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported.Windows = stored.Windows
	e.reported.revision = object.Revision
	e.reported.known = true
}

const (
	// settle is the time after a window's end in which hosts tell their counts.
	settle = 1500 * time.Millisecond
	// keptReports is the number of windows whose reports are stored.
	keptReports = 8
)

// reportUsage reports each window that is over and not reported yet.
func (e *entry) reportUsage(ctx context.Context) {
	e.mu.Lock()
	known := e.reported.known
	newest := e.usage.Window(time.Now().Add(-settle)) - 1
	e.mu.Unlock()
	if !known {
		e.readReports(ctx)
		return
	}
	late := int64(e.deployment.Bounds.UsageLate / e.deployment.Bounds.UsageWindow)
	for window := newest - late; window <= newest; window++ {
		e.reportWindow(ctx, window)
	}
}

func (e *entry) reportWindow(ctx context.Context, window int64) {
	e.mu.Lock()
	counts, stored := e.reported.Windows[window]
	sent := e.reported.sent[window]
	if !stored {
		counts = e.usage.Sum(window)
	}
	e.mu.Unlock()
	if sent || len(counts) == 0 {
		return
	}
	if !stored && !e.storeReport(ctx, window, counts) {
		return
	}
	fence, held := e.held()
	if !held {
		return
	}
	err := e.calls.ReportUsage(ctx, persimplatform.Fence{Holder: e.deployment.Host, Number: fence}, window, counts)
	klog.InfoS("usage reported", "window", window, "fence", fence, "counts", counts, "error", persimlog.Cause(err))
	e.mu.Lock()
	defer e.mu.Unlock()
	if errors.Is(err, persimplatform.ErrFenced) {
		e.lease.Invalidate()
		return
	}
	if err != nil {
		return
	}
	if e.reported.sent == nil {
		e.reported.sent = map[int64]bool{}
	}
	e.reported.sent[window] = true
	maps.DeleteFunc(e.reported.sent, func(old int64, _ bool) bool { return old < window-2*keptReports })
}

// storeReport stores the counts of a window before they are reported, so that
// whoever comes next reports the same.
func (e *entry) storeReport(ctx context.Context, window int64, counts persimduty.Counts) bool {
	e.mu.Lock()
	next := reports{Windows: maps.Clone(e.reported.Windows)}
	revision := e.reported.revision
	e.mu.Unlock()
	next.Windows[window] = counts
	maps.DeleteFunc(next.Windows, func(old int64, _ persimduty.Counts) bool { return old < window-keptReports })
	spec, err := json.Marshal(next)
	if err != nil {
		klog.ErrorS(nil, "usage: not stored", "window", window, "error", persimlog.Cause(err))
		return false
	}
	object, err := e.objects.Write(ctx, dutyKind, platform.Object{Name: usageName, Revision: revision, Spec: spec})
	if err != nil {
		klog.InfoS("usage: not stored", "window", window, "error", persimlog.Cause(err))
		e.readReports(ctx)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported.Windows = next.Windows
	e.reported.revision = object.Revision
	return true
}
