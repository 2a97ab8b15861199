package persimentry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimfleet"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplatform"
	"persimmonport.example/platform"
)

// followLease reads, takes and renews the lease of the duties.
func (e *entry) followLease(ctx context.Context) {
	var read time.Time
	store := &dependency{name: "store, lease"}
	every(ctx, leaseInterval, func(ctx context.Context) {
		_, held := e.held()
		if !held && e.leaseQuiet() && time.Since(read) >= leaseReadInterval {
			read = time.Now()
			store.note(e.readLease(ctx))
		}
		e.proposeLease(ctx)
	})
}

// quietShare is the part of the lease after which a host that heard of no renewal
// reads the lease itself.
const quietShare = 0.6

func (e *entry) leaseQuiet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	quiet := e.lease.Quiet(persimclock.Now())
	return quiet >= time.Duration(float64(e.deployment.Bounds.Lease)*quietShare)
}

func (e *entry) held() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Held(persimclock.Now())
}

func (e *entry) readLease(ctx context.Context) error {
	object, err := e.objects.Get(ctx, dutyKind, leaseName)
	if errors.Is(err, persimplatform.ErrNotFound) {
		return e.createLease(ctx)
	}
	if err != nil {
		return err
	}
	return e.observeLease(object)
}

// createLease stores a lease without a holder, so that it can be taken by conditional update.
func (e *entry) createLease(ctx context.Context) error {
	spec, err := json.Marshal(persimduty.Record{})
	if err != nil {
		return trace.Wrap(err)
	}
	object, err := e.objects.Write(ctx, dutyKind, platform.Object{Name: leaseName, Spec: spec})
	if err != nil {
		return err
	}
	return e.observeLease(object)
}

func (e *entry) observeLease(object platform.Object) error {
	var record persimduty.Record
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		return trace.Wrap(err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Observe(persimclock.Now(), record, object.Revision)
	return nil
}

func (e *entry) proposeLease(ctx context.Context) {
	select {
	case <-e.leaving:
		return
	default:
	}
	sent := persimclock.Now()
	e.mu.Lock()
	record, revision, ok := e.lease.Propose(sent)
	former := e.lease.Record()
	e.mu.Unlock()
	if !ok {
		return
	}
	e.writeLease(ctx, sent, record, revision)
	if _, held := e.held(); held && former.Fence != record.Fence {
		klog.InfoS("lease taken", "fence", record.Fence, "former", former.Holder)
		e.readReports(ctx)
	}
}

func (e *entry) writeLease(ctx context.Context, sent persimclock.Instant, record persimduty.Record, revision int64) {
	spec, err := json.Marshal(record)
	if err != nil {
		klog.ErrorS(nil, "lease: not written", "error", persimlog.Cause(err))
		return
	}
	object, err := e.objects.Write(ctx, dutyKind, platform.Object{Name: leaseName, Revision: revision, Spec: spec})
	if err != nil {
		klog.InfoS("lease: write failed", "fence", record.Fence, "error", persimlog.Cause(err))
		if errRead := e.readLease(ctx); errRead != nil {
			klog.V(1).InfoS("lease: not read", "error", persimlog.Cause(errRead))
		}
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Written(sent, record, object.Revision)
}

func (e *entry) Release(ctx context.Context) {
	e.mu.Lock()
	record, revision, ok := e.lease.Release()
	e.mu.Unlock()
	if !ok {
		return
	}
	e.writeLease(ctx, persimclock.Now(), record, revision)
	klog.InfoS("lease released", "fence", record.Fence)
}

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

func (e *entry) doDuties(ctx context.Context) {
	every(ctx, dutyInterval, func(ctx context.Context) {
		if _, held := e.held(); !held {
			return
		}
		if e.deployment.ReportsUsage {
			e.reportUsage(ctx)
		}
		if e.deployment.OrdersUpstreams {
			e.orderUpstreams(ctx)
		}
	})
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
		e.lease.Lose()
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

// orderUpstreams makes the orders that the planner wants.
func (e *entry) orderUpstreams(ctx context.Context) {
	catalogue, ok := e.front.Catalogue()
	if !ok {
		return
	}
	own := e.front.Demand()
	for _, name := range slices.Sorted(maps.Keys(catalogue.Services())) {
		service, _ := catalogue.Service(name)
		if service.Scaling != nil {
			e.orderFor(ctx, service, own)
		}
	}
}

func (e *entry) orderFor(ctx context.Context, service persimcatalog.Service, own map[string]persimfront.Demand) {
	e.mu.Lock()
	planner, ok := e.planners[service.Name]
	if !ok {
		planner = persimfleet.NewUpstreamPlanner()
		e.planners[service.Name] = planner
	}
	load := e.load(service.Name, own)
	upstreams := e.roster.Upstreams()[service.Name]
	orders := planner.Plan(time.Now(), *service.Scaling, upstreams, load)
	e.mu.Unlock()
	for _, order := range orders {
		if !e.order(ctx, service.Name, planner, order, load) {
			return
		}
	}
}

// order makes one order and reports whether the duty goes on.
func (e *entry) order(ctx context.Context, service string, planner persimfleet.UpstreamPlanner, order persimfleet.UpstreamOrder, load persimfleet.Load) bool {
	fence, held := e.held()
	if !held {
		return false
	}
	err := e.calls.OrderUpstreams(ctx, persimplatform.Fence{Holder: e.deployment.Host, Number: fence}, persimplatform.UpstreamOrder{
		Service: service, Centre: order.Centre, Count: order.Count, Reclaimable: order.Reclaimable,
	})
	klog.InfoS("upstreams ordered", "service", service, "centre", order.Centre, "count", order.Count,
		"reclaimable", order.Reclaimable, "work", load.Work(), "fence", fence, "error", persimlog.Cause(err))
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		planner.Ordered(time.Now(), order)
		return true
	}
	planner.Refused(time.Now(), order)
	return !errors.Is(err, persimplatform.ErrConflict) || order.Reclaimable
}
