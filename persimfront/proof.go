package persimfront

import (
	"sync/atomic"
	"time"

	"persimmonport.example/persimclock"
)

const (
	// sendMargin is the part of the drain bound that covers the way of a request from the
	// check to the upstream.
	sendMargin = 200 * time.Millisecond
	// slowRead is the time after which a read of the list that has not ended counts as
	// failing.
	slowRead = 400 * time.Millisecond
)

// rosterProof tells how current the list of upstreams is. An old list is used only while
// the store can't be read: then no upstream's leaving is acknowledged either.
type rosterProof struct {
	// confirmedAt is the persimclock.Instant at which the list was last the newest one,
	// readSince that at which a read that has not ended was started, and failedAt that at
	// which the last one was started, if it failed; each may be zero.
	confirmedAt atomic.Int64
	readSince   atomic.Int64
	failedAt    atomic.Int64
}

func (p *rosterProof) confirm(at persimclock.Instant) {
	for {
		current := p.confirmedAt.Load()
		if int64(at) <= current || p.confirmedAt.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

func (p *rosterProof) beginRead(at persimclock.Instant) { p.readSince.Store(int64(at)) }

func (p *rosterProof) endRead(err error) {
	began := p.readSince.Swap(0)
	if err == nil {
		began = 0
	}
	p.failedAt.Store(began)
}

// age returns the time since the list was last confirmed, or zero if it never was.
func (p *rosterProof) age(now persimclock.Instant) time.Duration {
	at := p.confirmedAt.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(persimclock.Instant(at))
}

// failedSinceProof reports whether a read that was started after the list was confirmed has
// failed. An earlier failure says nothing of the store now: another host could read it.
func (p *rosterProof) failedSinceProof() bool { return p.failedAt.Load() > p.confirmedAt.Load() }

// tooOld reports whether the list must not be used, given the time within which a
// leaving upstream must get no more requests; zero means no bound.
func (p *rosterProof) tooOld(now persimclock.Instant, bound time.Duration) bool {
	if bound <= 0 || p.age(now) <= bound-sendMargin || p.failedSinceProof() {
		return false
	}
	since := p.readSince.Load()
	return since == 0 || now.Sub(persimclock.Instant(since)) <= slowRead
}
