// Package persimduty decides which host holds the duties and what it reports.
package persimduty

import (
	"time"

	"persimmonport.example/persimclock"
)

// A Record is the lease as it lies in the store.
type Record struct {
	Holder string `json:"holder"`
	// Incarnation tells starts of the holder apart.
	Incarnation string `json:"incarnation"`
	// Fence is the holder's fencing number, which grows with each change of holder.
	Fence int64 `json:"fence"`
	// Beat grows with each renewal.
	Beat int64 `json:"beat"`
	// Released says that the holder gave the lease up.
	Released bool `json:"released"`
	// Former is the holder before this one.
	Former string `json:"former"`
}

const (
	// renewShare is the part of the lease after which it is renewed.
	renewShare = 0.3
	// holdShare is the part of the lease for which a renewal lets the holder act;
	// it is well below one, since others start to count only when they see it.
	holdShare = 0.7
)

// A Lease decides when to take, renew and use the lease. It is not safe for
// concurrent use.
type Lease interface {
	// Observe takes over the record in the store and its revision.
	Observe(now persimclock.Instant, record Record, revision int64)
	// Heard takes over a later beat of the lease that another host told of.
	Heard(now persimclock.Instant, holder string, fence, beat int64)
	// Latest returns the holder, fencing number and beat that were last seen or
	// heard of.
	Latest() (holder string, fence, beat int64)
	// Quiet returns the time since the record was last seen to change.
	Quiet(now persimclock.Instant) time.Duration
	// Propose returns the record to write at a revision, if one is due.
	Propose(now persimclock.Instant) (Record, int64, bool)
	// Written takes over a record that was written at the host's own proposal;
	// sent is when the call began.
	Written(sent persimclock.Instant, record Record, revision int64)
	// Held returns the fencing number while the host may act.
	Held(now persimclock.Instant) (int64, bool)
	// SetPatience sets how long the host leaves a free lease to others.
	SetPatience(patience time.Duration)
	// Lose stops the host from acting until it takes the lease anew.
	Lose()
	// Release returns the record to write at a revision to give the lease up.
	Release() (Record, int64, bool)
	// Record returns the record last seen.
	Record() Record
}

type lease struct {
	host        string
	incarnation string
	length      time.Duration

	patience time.Duration
	known    bool
	record   Record
	revision int64
	seen     persimclock.Instant
	renewed  persimclock.Instant
	holds    bool
	// heardHolder, heardFence and heardBeat are the latest that other hosts told of.
	heardHolder string
	heardFence  int64
	heardBeat   int64
}

// NewLease returns the state of a host that has not read the lease yet.
func NewLease(host, incarnation string, length time.Duration) Lease {
	return &lease{host: host, incarnation: incarnation, length: length}
}

func (l *lease) Observe(now persimclock.Instant, record Record, revision int64) {
	if l.known && revision <= l.revision {
		return
	}
	l.known = true
	l.record = record
	l.revision = revision
	l.seen = now
	if !l.mine() {
		l.holds = false
	}
}

func (l *lease) Heard(now persimclock.Instant, holder string, fence, beat int64) {
	later := fence > l.heardFence || fence == l.heardFence && beat > l.heardBeat
	if !l.known || !later || fence < l.record.Fence || fence == l.record.Fence && beat <= l.record.Beat {
		return
	}
	l.heardHolder = holder
	l.heardFence = fence
	l.heardBeat = beat
	l.seen = now
}

func (l *lease) Latest() (string, int64, int64) {
	if l.heardFence > l.record.Fence || l.heardFence == l.record.Fence && l.heardBeat > l.record.Beat {
		return l.heardHolder, l.heardFence, l.heardBeat
	}
	return l.record.Holder, l.record.Fence, l.record.Beat
}

func (l *lease) Quiet(now persimclock.Instant) time.Duration {
	if !l.known {
		return l.length
	}
	return now.Sub(l.seen)
}

func (l *lease) mine() bool {
	return l.record.Holder == l.host && l.record.Incarnation == l.incarnation && !l.record.Released
}

func (l *lease) Propose(now persimclock.Instant) (Record, int64, bool) {
	if !l.known {
		return Record{}, 0, false
	}
	if l.mine() && l.holds {
		if now.Sub(l.renewed) < time.Duration(float64(l.length)*renewShare) {
			return Record{}, 0, false
		}
		next := l.record
		next.Beat++
		return next, l.revision, true
	}
	if !l.free(now) {
		return Record{}, 0, false
	}
	return Record{
		Holder:      l.host,
		Incarnation: l.incarnation,
		Fence:       l.record.Fence + 1,
		Former:      l.record.Holder,
	}, l.revision, true
}

// free reports whether another host may take the lease. A host that held it
// before the one that gave it up waits, so that two hosts do not take turns
// within one lease.
func (l *lease) free(now persimclock.Instant) bool {
	waited := now.Sub(l.seen)
	if waited > l.length+l.patience {
		return true
	}
	open := l.record.Holder == "" ||
		l.record.Released && l.record.Former != l.host && l.record.Holder != l.host
	return open && waited >= l.patience
}

func (l *lease) SetPatience(patience time.Duration) { l.patience = patience }

func (l *lease) Written(sent persimclock.Instant, record Record, revision int64) {
	l.known = true
	l.record = record
	l.revision = revision
	l.seen = sent
	l.renewed = sent
	l.holds = l.mine()
}

func (l *lease) Held(now persimclock.Instant) (int64, bool) {
	if !l.holds || now.Sub(l.renewed) > time.Duration(float64(l.length)*holdShare) {
		return 0, false
	}
	return l.record.Fence, true
}

func (l *lease) Lose() { l.holds = false }

func (l *lease) Release() (Record, int64, bool) {
	if !l.mine() || !l.holds {
		return Record{}, 0, false
	}
	l.holds = false
	next := l.record
	next.Beat++
	next.Released = true
	return next, l.revision, true
}

func (l *lease) Record() Record { return l.record }
