package persimentry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimduty"
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

const (
	// ampleMemory is the memory from which on a host takes a free lease at once.
	ampleMemory = 512 << 20
	// longestPatience is how long a host without memory leaves it to others: whoever
	// holds the lease hears all hosts, for which small machines are too slow.
	longestPatience = time.Second
)

// patience returns how long a host leaves a free lease to others.
func patience(memory int64) time.Duration {
	if memory <= 0 || memory >= ampleMemory {
		return 0
	}
	return time.Duration(float64(longestPatience) * (1 - float64(memory)/ampleMemory))
}

// quietShare is the part of the lease after which a host that heard of no renewal
// reads the lease itself.
const quietShare = 0.6

func (e *entry) leaseQuiet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	quiet := e.lease.SinceLastChange(persimclock.Now())
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
	spec, err := json.Marshal(persimduty.LeaseRecord{})
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
	var record persimduty.LeaseRecord
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

func (e *entry) writeLease(ctx context.Context, sent persimclock.Instant, record persimduty.LeaseRecord, revision int64) {
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
	e.lease.ConfirmWrite(sent, record, object.Revision)
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
