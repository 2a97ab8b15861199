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
	// Era is the era of the store in which the holder acquired the lease. In a later era the
	// record is part of an older copy, and the lease may have had other holders since.
	Era persimrevision.Era `json:"era,omitempty"`
	// Fence is the holder's fencing token, which increases with each acquisition.
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
	// continueFraction is the fraction of the lease duration after a renewal within which no
	// other host has acquired the lease, with a margin for clocks of different speed.
	continueFraction = 0.9
)

// Lease decides when this host acquires, renews and uses the lease. It performs no
// I/O and is not safe for concurrent use.
//
// The store may come back from an older copy and then begins a new era. A record, a revision
// or a report of a former era is then no evidence of who holds the lease: the lease is read
// again, and only the host that held it when the era began acquires it at once. Others wait for
// the lease duration, since a holder that does not reach the store cannot know of the new era.
type Lease interface {
	// ObserveEra records that a host has seen an era of the store at an instant. The era had begun
	// by then.
	ObserveEra(seenAt persimclock.Instant, era persimrevision.Era)
	// Era returns the newest era of the store and the earliest instant at which a host is known
	// to have seen it.
	Era() (persimrevision.Era, persimclock.Instant)
	// Observe records the stored lease and its revision. What was read in a former era is
	// ignored.
	Observe(now persimclock.Instant, record LeaseRecord, revision persimrevision.Revision)
	// ObserveHeartbeat records a newer renewal that another host reported.
	ObserveHeartbeat(now persimclock.Instant, holder string, fence, heartbeat int64)
	// Latest returns the holder, fencing token and heartbeat of the newest renewal
	// that was read from the store or reported by another host.
	Latest() (holder string, fence, heartbeat int64)
	// SinceLastChange returns the time since the lease was last observed to change.
	SinceLastChange(now persimclock.Instant) time.Duration
	// Outdated reports whether the lease was last read in a former era.
	Outdated() bool
	// Initial returns the record of a lease without a holder, to be created where none is stored
	// in an era. It names the era, so that the lease is free at once, unless a host knows of a
	// former era: then the copy may be from before the lease was created.
	Initial(era persimrevision.Era) LeaseRecord
	// Propose returns the record to write and the revision it replaces, if the lease
	// can be acquired or is due for renewal.
	Propose(now persimclock.Instant) (LeaseRecord, persimrevision.Revision, bool)
	// ConfirmWrite records that a proposed record was written at a revision; sent is when the
	// write was started. It reports whether the write counts: not if it was carried out in
	// another era than that of the revision it replaced.
	ConfirmWrite(sent persimclock.Instant, record LeaseRecord, revision persimrevision.Revision) bool
	// Held returns the fencing token while this host may act as the holder.
	Held(now persimclock.Instant) (int64, bool)
	// Tenure returns the number of the current or last tenure of this host: the time in which
	// it is the only holder, also beyond the end of an era. The first one is 1.
	Tenure() int
	// FormerTenuresEnd returns the instant from which on no host acts under a lease of an era
	// before the newest one.
	FormerTenuresEnd() persimclock.Instant
	// SetAcquireDelay sets how long this host leaves a free lease to other hosts.
	SetAcquireDelay(delay time.Duration)
	// Invalidate stops this host from acting under a fencing token until it acquires the
	// lease again.
	Invalidate(fence int64)
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
	// era is the newest era of the store that this host knows. It had begun by eraSeenAt.
	era       persimrevision.Era
	eraSeenAt persimclock.Instant
	// formerEraSeen is set once this host knows of an era before the newest one.
	formerEraSeen bool
	// record is the lease as last read or written at revision.
	observed   bool
	record     LeaseRecord
	revision   persimrevision.Revision
	lastChange persimclock.Instant
	tenure     tenure
	// reportedHolder, reportedFence and reportedHeartbeat are the newest renewal that
	// other hosts reported.
	reportedHolder    string
	reportedFence     int64
	reportedHeartbeat int64
}

// tenure is a time in which this host is the only holder.
type tenure struct {
	number int
	active bool
	fence  int64
	// era is that of the last write that confirmed the tenure, which was started at renewedAt.
	era       persimrevision.Era
	renewedAt persimclock.Instant
}

// NewLease returns the lease state of a host that has not read the lease yet.
func NewLease(host, incarnation string, duration time.Duration) Lease {
	return &lease{host: host, incarnation: incarnation, duration: duration}
}

func (l *lease) fraction(f float64) time.Duration { return time.Duration(float64(l.duration) * f) }

func (l *lease) ObserveEra(seenAt persimclock.Instant, era persimrevision.Era) {
	if era > l.era || era == l.era && seenAt < l.eraSeenAt {
		l.formerEraSeen = l.formerEraSeen || l.era > 0 && l.era < era
		l.era, l.eraSeenAt = era, seenAt
	}
}

func (l *lease) Era() (persimrevision.Era, persimclock.Instant) { return l.era, l.eraSeenAt }

func (l *lease) Observe(now persimclock.Instant, record LeaseRecord, revision persimrevision.Revision) {
	l.ObserveEra(now, revision.Era)
	if revision.Era < l.era || l.observed && !revision.After(l.revision) {
		return
	}
	l.observed = true
	l.record = record
	l.revision = revision
	l.lastChange = now
	switch {
	case !l.recordIsCurrent():
		l.tenure.active = l.continuesTenure()
	case !l.ownsRecord():
		l.tenure.active = false
	case l.tenure.active:
		// The write of this record has succeeded, although its response was lost.
		l.tenure.fence = record.Fence
		l.tenure.era = revision.Era
	}
}

func (l *lease) ObserveHeartbeat(now persimclock.Instant, holder string, fence, heartbeat int64) {
	if fenceEra := persimrevision.FromOrdinal(fence).Era; fenceEra < l.era {
		l.formerEraSeen = l.formerEraSeen || fenceEra > 0
		return
	}
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

func (l *lease) Outdated() bool { return l.observed && l.revision.Era < l.era }

func (l *lease) Initial(era persimrevision.Era) LeaseRecord {
	if l.formerEraSeen {
		return LeaseRecord{}
	}
	return LeaseRecord{Era: era}
}

// recordIsCurrent reports whether the record was written in the era in which it was read.
func (l *lease) recordIsCurrent() bool { return l.record.Era == l.revision.Era }

func (l *lease) ownsRecord() bool {
	return l.recordIsCurrent() && l.record.Holder == l.host && l.record.Incarnation == l.incarnation && !l.record.Released
}

func (l *lease) Propose(now persimclock.Instant) (LeaseRecord, persimrevision.Revision, bool) {
	if !l.observed || l.Outdated() {
		return LeaseRecord{}, persimrevision.Revision{}, false
	}
	if l.ownsRecord() && l.tenure.active {
		if now.Sub(l.tenure.renewedAt) < l.fraction(renewAfterFraction) {
			return LeaseRecord{}, persimrevision.Revision{}, false
		}
		next := l.record
		next.Heartbeat++
		return next, l.revision, true
	}
	if !l.continuesTenure() && !l.canAcquire(now) {
		return LeaseRecord{}, persimrevision.Revision{}, false
	}
	return LeaseRecord{
		Holder:         l.host,
		Incarnation:    l.incarnation,
		Era:            l.revision.Era,
		Fence:          l.nextFence(),
		PreviousHolder: l.record.Holder,
	}, l.revision, true
}

// nextFence returns the fencing token of an acquisition that replaces the record at its revision.
// It needs no memory of earlier tokens: at most one write on condition of a revision succeeds in
// an era, and later eras and revisions have higher ordinals. A store that names no era never goes
// back to an older copy, so there the stored token is enough.
func (l *lease) nextFence() int64 {
	next := l.record.Fence + 1
	if l.revision.Era == 0 {
		return next
	}
	return max(next, l.revision.Ordinal())
}

// continuesTenure reports whether this host held the lease when the newest era began, and no host
// has acquired it since. In the former era others had to wait for the lease duration after the
// last renewal, and the era ended before that.
func (l *lease) continuesTenure() bool {
	return l.tenure.active && !l.recordIsCurrent() && l.revision.Era == l.era && l.tenure.era < l.era &&
		l.eraSeenAt.Sub(l.tenure.renewedAt) < l.fraction(continueFraction)
}

// canAcquire reports whether this host may acquire the lease now. A released lease
// stays closed until it expires to the host that released it and to the holder
// before that one, so that two hosts do not alternate within one lease duration. A record of a
// former era proves neither a release nor that there is no holder.
func (l *lease) canAcquire(now persimclock.Instant) bool {
	elapsed := now.Sub(l.lastChange)
	if elapsed > l.duration+l.acquireDelay {
		return true
	}
	vacant := l.record.Holder == "" ||
		l.record.Released && l.record.PreviousHolder != l.host && l.record.Holder != l.host
	return l.recordIsCurrent() && vacant && elapsed >= l.acquireDelay
}

func (l *lease) SetAcquireDelay(delay time.Duration) { l.acquireDelay = delay }

func (l *lease) ConfirmWrite(sent persimclock.Instant, record LeaseRecord, revision persimrevision.Revision) bool {
	if record.Era != revision.Era || l.observed && l.revision.Era == revision.Era && l.revision.After(revision) {
		return false
	}
	l.confirmTenure(sent, record, revision.Era)
	if revision.Era < l.era {
		// The lease was held when the era ended, and has to be read in the new one.
		return true
	}
	l.observed = true
	l.record = record
	l.revision = revision
	l.lastChange = sent
	return true
}

// confirmTenure records a write of the lease that was started at an instant.
func (l *lease) confirmTenure(sent persimclock.Instant, record LeaseRecord, era persimrevision.Era) {
	if record.Released {
		l.tenure.active = false
		return
	}
	number := l.tenure.number
	if !l.tenure.active {
		number++
	}
	l.tenure = tenure{number: number, active: true, fence: record.Fence, era: era, renewedAt: sent}
}

func (l *lease) Held(now persimclock.Instant) (int64, bool) {
	if !l.tenure.active || now.Sub(l.tenure.renewedAt) > l.fraction(holdFraction) {
		return 0, false
	}
	return l.tenure.fence, true
}

func (l *lease) Tenure() int { return l.tenure.number }

func (l *lease) FormerTenuresEnd() persimclock.Instant {
	return l.eraSeenAt.Add(l.fraction(holdFraction))
}

func (l *lease) Invalidate(fence int64) {
	if fence == l.tenure.fence {
		l.tenure.active = false
	}
}

func (l *lease) Release() (LeaseRecord, persimrevision.Revision, bool) {
	if !l.tenure.active {
		return LeaseRecord{}, persimrevision.Revision{}, false
	}
	l.tenure.active = false
	if !l.ownsRecord() || l.Outdated() {
		return LeaseRecord{}, persimrevision.Revision{}, false
	}
	next := l.record
	next.Heartbeat++
	next.Released = true
	return next, l.revision, true
}

func (l *lease) Record() LeaseRecord { return l.record }
