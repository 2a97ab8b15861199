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
	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// maintainLease reads, acquires and renews the lease of the duties.
func (e *entry) maintainLease(ctx context.Context) {
	var lastRead time.Time
	store := &dependency{name: "store, lease"}
	every(ctx, leaseInterval, func(ctx context.Context) {
		e.observeEra()
		_, held := e.heldFence()
		if !held && !e.mayHoldLease() {
			return
		}
		due := !held && e.renewalOverdue() || e.leaseOutdated()
		if due && time.Since(lastRead) >= leaseReadInterval {
			lastRead = time.Now()
			store.observe(e.readLease(ctx))
		}
		e.acquireOrRenewLease(ctx)
	})
}

// observeEra passes the newest era of the store to the lease.
func (e *entry) observeEra() {
	era := e.objects.Era()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.ObserveEra(era.SeenAt, era.Era)
}

// leaseOutdated reports whether the store has come back from an older copy since the lease was
// read.
func (e *entry) leaseOutdated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Outdated()
}

// mayHoldLease reports whether this host is to acquire a free lease, once it knows the
// other hosts. In a large deployment only the hubs do, to which the counts of all hosts
// come.
func (e *entry) mayHoldLease() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.listedAt.IsZero() && (!e.usesHubs() || e.isHub())
}

const (
	// immediateAcquireMemory is the memory, in bytes, from which on a host acquires a
	// free lease without delay.
	immediateAcquireMemory = 512 << 20
	// maxAcquireDelay is the delay as memory approaches zero. Hosts with little memory
	// wait because the holder receives the state of all hosts, for which small machines
	// are too slow.
	maxAcquireDelay = time.Second
)

// acquireDelay returns how long a host with the given memory leaves a free lease to
// other hosts.
func acquireDelay(memory int64) time.Duration {
	if memory <= 0 || memory >= immediateAcquireMemory {
		return 0
	}
	return time.Duration(float64(maxAcquireDelay) * (1 - float64(memory)/immediateAcquireMemory))
}

// readLeaseFraction is the fraction of the lease duration after which a host that has
// observed no renewal reads the lease from the store.
const readLeaseFraction = 0.6

// renewalOverdue reports whether no change of the lease was observed for
// readLeaseFraction of its duration.
func (e *entry) renewalOverdue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	sinceChange := e.lease.SinceLastChange(persimclock.Now())
	return sinceChange >= time.Duration(float64(e.deployment.Bounds.Lease)*readLeaseFraction)
}

// heldFence returns the fencing token while this host may act as the holder.
func (e *entry) heldFence() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.Held(persimclock.Now())
}

// readLease reads the lease from the store and creates it if there is none.
func (e *entry) readLease(ctx context.Context) error {
	object, err := e.objects.Get(ctx, dutyKind, leaseName)
	if errors.Is(err, persimplatform.ErrNotFound) {
		return e.createLease(ctx, object.Revision)
	}
	if err != nil {
		return err
	}
	return e.observeLease(object)
}

// createLease stores a lease without a holder, so that it can be acquired by a
// conditional update.
func (e *entry) createLease(ctx context.Context, missingAt persimrevision.Revision) error {
	e.mu.Lock()
	record := e.lease.Initial(missingAt.Era)
	e.mu.Unlock()
	spec, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	object, err := e.objects.Write(ctx, dutyKind, platform.Object{Name: leaseName, Revision: missingAt, Spec: spec})
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
	outdated := e.lease.Outdated()
	e.lease.Observe(persimclock.Now(), record, object.Revision)
	if outdated {
		_, held := e.lease.Held(persimclock.Now())
		klog.InfoS("lease read in a new era", "revision", object.Revision.String(), "holder", record.Holder, "fence", record.Fence,
			"acquiredIn", record.Era, "released", record.Released, "held", held)
	}
	return nil
}

// acquireOrRenewLease writes the lease if it can be acquired or is due for renewal. A
// draining host does neither. A host that becomes the holder reads the stored usage
// reports.
func (e *entry) acquireOrRenewLease(ctx context.Context) {
	select {
	case <-e.draining:
		return
	default:
	}
	sent := persimclock.Now()
	e.mu.Lock()
	record, revision, ok := e.lease.Propose(sent)
	previous := e.lease.Record()
	e.mu.Unlock()
	if !ok {
		return
	}
	e.writeLease(ctx, sent, record, revision)
	if _, held := e.heldFence(); held && previous.Fence != record.Fence {
		e.mu.Lock()
		tenure := e.lease.Tenure()
		e.mu.Unlock()
		klog.InfoS("lease taken", "fence", record.Fence, "era", record.Era, "revision", revision.String(), "tenure", tenure,
			"former", previous.Holder, "formerEra", previous.Era, "formerFence", previous.Fence)
		e.loadReports(ctx)
	}
}

// writeLease stores a lease record in place of a revision; sent is when the write was started. If
// the write fails, it reads the stored record.
func (e *entry) writeLease(ctx context.Context, sent persimclock.Instant, record persimduty.LeaseRecord, revision persimrevision.Revision) {
	spec, err := json.Marshal(record)
	if err != nil {
		klog.ErrorS(nil, "lease: not written", "error", persimlog.ErrorText(err))
		return
	}
	object, err := e.objects.Write(ctx, dutyKind, platform.Object{Name: leaseName, Revision: revision, Spec: spec})
	if err == nil && e.confirmLease(sent, record, object.Revision) {
		return
	}
	klog.InfoS("lease: write failed", "fence", record.Fence, "revision", revision.String(), "error", persimlog.ErrorText(err))
	if errRead := e.readLease(ctx); errRead != nil {
		klog.V(1).InfoS("lease: not read", "error", persimlog.ErrorText(errRead))
	}
}

func (e *entry) confirmLease(sent persimclock.Instant, record persimduty.LeaseRecord, revision persimrevision.Revision) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.ConfirmWrite(sent, record, revision)
}

func (e *entry) ReleaseLease(ctx context.Context) {
	e.mu.Lock()
	record, revision, ok := e.lease.Release()
	e.mu.Unlock()
	if !ok {
		return
	}
	e.writeLease(ctx, persimclock.Now(), record, revision)
	klog.InfoS("lease released", "fence", record.Fence)
}
