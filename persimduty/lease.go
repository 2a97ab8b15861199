// Package persimduty implements the lease that elects the host which performs the
// duties of a deployment (reporting usage and ordering upstreams), and the request
// counts that this host reports.
package persimduty

import (
	"time"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimrevision"
)

// LeaseRecord is the lease as stored.
type LeaseRecord struct {
	Holder string `json:"holder"`
	// Incarnation identifies one start of the holder's process.
	Incarnation string `json:"incarnation"`
	// Fence is the holder's fencing token, incremented with each change of holder.
	Fence int64 `json:"fence"`
	// Heartbeat is incremented with each renewal.
	Heartbeat int64 `json:"beat"`
	// Released reports whether the holder released the lease before it expired.
	Released bool `json:"released"`
	// PreviousHolder is the holder before this one.
	PreviousHolder string `json:"former"`
}

const (
	// renewAfterFraction is the fraction of the lease duration after which the holder
	// renews the lease.
	renewAfterFraction = 0.3
	// holdFraction is the fraction of the lease duration for which a renewal lets the
	// holder act; it is well below 1, since other hosts measure expiry only from the
	// time at which they observe the renewal.
	holdFraction = 0.7
)

// Lease decides when this host acquires, renews and uses the lease. It performs no
// I/O and is not safe for concurrent use.
type Lease interface {
	// Observe records the stored lease and its revision.
	Observe(now persimclock.Instant, record LeaseRecord, revision persimrevision.Revision)
	// ObserveHeartbeat records a newer renewal that another host reported.
	ObserveHeartbeat(now persimclock.Instant, holder string, fence, heartbeat int64)
	// Latest returns the holder, fencing token and heartbeat of the newest renewal
	// that was read from the store or reported by another host.
	Latest() (holder string, fence, heartbeat int64)
	// SinceLastChange returns the time since the lease was last observed to change.
	SinceLastChange(now persimclock.Instant) time.Duration
	// Propose returns the record to write and the revision it replaces, if the lease
	// can be acquired or is due for renewal.
	Propose(now persimclock.Instant) (LeaseRecord, persimrevision.Revision, bool)
	// ConfirmWrite records that a proposed record was written; sent is when the write
	// was started.
	ConfirmWrite(sent persimclock.Instant, record LeaseRecord, revision persimrevision.Revision)
	// Held returns the fencing token while this host may act as the holder.
	Held(now persimclock.Instant) (int64, bool)
	// SetAcquireDelay sets how long this host leaves a free lease to other hosts.
	SetAcquireDelay(delay time.Duration)
	// Invalidate stops this host from acting until it acquires the lease again.
	Invalidate()
	// Release returns the record that releases the lease and the revision it
	// replaces, if this host holds the lease.
	Release() (LeaseRecord, persimrevision.Revision, bool)
	// Record returns the record that was last read or written.
	Record() LeaseRecord
}

type lease struct {
	host        string
	incarnation string
	duration    time.Duration

	acquireDelay time.Duration
	observed     bool
	record       LeaseRecord
	revision     persimrevision.Revision
	lastChange   persimclock.Instant
	lastRenewal  persimclock.Instant
	holding      bool
	// reportedHolder, reportedFence and reportedHeartbeat are the newest renewal that
	// other hosts reported.
	reportedHolder    string
	reportedFence     int64
	reportedHeartbeat int64
}

// NewLease returns the lease state of a host that has not read the lease yet.
func NewLease(host, incarnation string, duration time.Duration) Lease {
	return &lease{host: host, incarnation: incarnation, duration: duration}
}

func (l *lease) Observe(now persimclock.Instant, record LeaseRecord, revision persimrevision.Revision) {
	if l.observed && revision.Number <= l.revision.Number {
		return
	}
	l.observed = true
	l.record = record
	l.revision = revision
	l.lastChange = now
	if !l.ownsRecord() {
		l.holding = false
	}
}

func (l *lease) ObserveHeartbeat(now persimclock.Instant, holder string, fence, heartbeat int64) {
	newer := fence > l.reportedFence || fence == l.reportedFence && heartbeat > l.reportedHeartbeat
	if !l.observed || !newer || fence < l.record.Fence || fence == l.record.Fence && heartbeat <= l.record.Heartbeat {
		return
	}
	l.reportedHolder = holder
	l.reportedFence = fence
	l.reportedHeartbeat = heartbeat
	l.lastChange = now
}

func (l *lease) Latest() (string, int64, int64) {
	if l.reportedFence > l.record.Fence || l.reportedFence == l.record.Fence && l.reportedHeartbeat > l.record.Heartbeat {
		return l.reportedHolder, l.reportedFence, l.reportedHeartbeat
	}
	return l.record.Holder, l.record.Fence, l.record.Heartbeat
}

func (l *lease) SinceLastChange(now persimclock.Instant) time.Duration {
	if !l.observed {
		return l.duration
	}
	return now.Sub(l.lastChange)
}

func (l *lease) ownsRecord() bool {
	return l.record.Holder == l.host && l.record.Incarnation == l.incarnation && !l.record.Released
}

func (l *lease) Propose(now persimclock.Instant) (LeaseRecord, persimrevision.Revision, bool) {
	if !l.observed {
		return LeaseRecord{}, persimrevision.Revision{}, false
	}
	if l.ownsRecord() && l.holding {
		if now.Sub(l.lastRenewal) < time.Duration(float64(l.duration)*renewAfterFraction) {
			return LeaseRecord{}, persimrevision.Revision{}, false
		}
		next := l.record
		next.Heartbeat++
		return next, l.revision, true
	}
	if !l.canAcquire(now) {
		return LeaseRecord{}, persimrevision.Revision{}, false
	}
	return LeaseRecord{
		Holder:         l.host,
		Incarnation:    l.incarnation,
		Fence:          l.record.Fence + 1,
		PreviousHolder: l.record.Holder,
	}, l.revision, true
}

// canAcquire reports whether this host may acquire the lease now. A released lease
// stays closed until it expires to the host that released it and to the holder
// before that one, so that two hosts do not alternate within one lease duration.
func (l *lease) canAcquire(now persimclock.Instant) bool {
	elapsed := now.Sub(l.lastChange)
	if elapsed > l.duration+l.acquireDelay {
		return true
	}
	vacant := l.record.Holder == "" ||
		l.record.Released && l.record.PreviousHolder != l.host && l.record.Holder != l.host
	return vacant && elapsed >= l.acquireDelay
}

func (l *lease) SetAcquireDelay(delay time.Duration) { l.acquireDelay = delay }

func (l *lease) ConfirmWrite(sent persimclock.Instant, record LeaseRecord, revision persimrevision.Revision) {
	l.observed = true
	l.record = record
	l.revision = revision
	l.lastChange = sent
	l.lastRenewal = sent
	l.holding = l.ownsRecord()
}

func (l *lease) Held(now persimclock.Instant) (int64, bool) {
	if !l.holding || now.Sub(l.lastRenewal) > time.Duration(float64(l.duration)*holdFraction) {
		return 0, false
	}
	return l.record.Fence, true
}

func (l *lease) Invalidate() { l.holding = false }

func (l *lease) Release() (LeaseRecord, persimrevision.Revision, bool) {
	if !l.ownsRecord() || !l.holding {
		return LeaseRecord{}, persimrevision.Revision{}, false
	}
	l.holding = false
	next := l.record
	next.Heartbeat++
	next.Released = true
	return next, l.revision, true
}

func (l *lease) Record() LeaseRecord { return l.record }
