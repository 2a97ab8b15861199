package persimentry

import (
	"time"

	"persimmonport.example/persimclock"
)

const (
	// registrationTTL is the time without a list, read by any host, after which
	// registrations may have expired: upstreams renew them every 1.2 s.
	registrationTTL = 2 * time.Second
	// reregisterGrace is how long after the store recovers upstreams that are missing
	// from the list are still used; upstreams register again within two seconds.
	reregisterGrace = 2500 * time.Millisecond
	// contactMargin is the part of Bounds.Contact that covers the time from the end of the
	// grace time to the last request that reaches a missing upstream.
	contactMargin = 250 * time.Millisecond
)

// readableSpan is a time in which the store could be read, by some host, without a gap
// longer than registrationTTL. The zero value is an unknown one.
type readableSpan struct {
	// since and until are the first and the last instant of which a list is known.
	since, until persimclock.Instant
	// returned is the earliest instant at which the outage before the span may have ended, as
	// far as it is known.
	returned persimclock.Instant
}

// joins reports whether no outage lies between two spans.
func (s readableSpan) joins(other readableSpan) bool { return s.within(other, registrationTTL) }

// within reports whether the gap between two spans is not longer than a time.
func (s readableSpan) within(other readableSpan, gap time.Duration) bool {
	return s.since.Sub(other.until) <= gap && other.since.Sub(s.until) <= gap
}

// union returns the span from the earlier start to the later end.
func (s readableSpan) union(other readableSpan) readableSpan {
	s.since = min(s.since, other.since)
	s.until = max(s.until, other.until)
	s.returned = min(s.since, max(s.returned, other.returned))
	return s
}

// outageRecord tells outages of the store, in which registrations of living upstreams may
// expire, from times in which only this host could not read it. It is not safe for
// concurrent use.
type outageRecord struct {
	// contact is the time after the return of the store, or of the path to it, from which
	// on requests must not reach upstreams that are gone; zero means no bound.
	contact time.Duration
	// quiet is the longest time between two lists of this host while no other host sends it one
	// and no read fails.
	quiet time.Duration
	// current is the latest span in which the store could be read, previous the one before
	// the latest outage, if there was one.
	current, previous readableSpan
	// failedReads is the number of reads of this host that failed since the last list, and
	// failedAt is when the last of them began.
	failedReads int
	failedAt    persimclock.Instant
}

// recordFailure records that a read of this host that began at an instant has failed.
func (o *outageRecord) recordFailure(began persimclock.Instant) {
	o.failedReads++
	o.failedAt = max(o.failedAt, began)
}

// readSpan returns the span that a list proves which was requested at an instant.
func readSpan(requested persimclock.Instant) readableSpan {
	return readableSpan{since: requested, until: requested}
}

// confirm records that the store could be read in a span, by this or another host. It
// reports whether that shows an outage.
func (o *outageRecord) confirm(span readableSpan) bool {
	expected := o.expects(span)
	o.failedReads = 0
	outage := false
	switch {
	case o.current == (readableSpan{}):
		o.current = span
	case o.current.joins(span) || expected:
		o.current = o.current.union(span)
	case span.since > o.current.until:
		outage = true
		span.returned = min(span.since, max(span.returned, o.current.until, o.failedAt))
		o.previous, o.current = o.current, span
	case o.previous != (readableSpan{}) && o.previous.joins(span):
		o.previous = o.previous.union(span)
	}
	if o.previous != (readableSpan{}) && o.previous.joins(o.current) {
		o.current = o.current.union(o.previous)
		o.previous = readableSpan{}
	}
	return outage
}

// expects reports whether this host's poll interval explains the gap before a span: others read
// for it and were cut off, so that the next list is its own first read. A read that has failed, or
// another host that knows of a return of the store in the gap, shows an outage instead.
func (o *outageRecord) expects(span readableSpan) bool {
	failed := o.failedReads > 0 || span.returned > o.current.until
	return !failed && o.current.within(span, o.quiet)
}

// longestPollInterval returns the longest time between two lists of a host that reads by itself,
// while all reads succeed. The bound is the greatest age that its copy may have.
func longestPollInterval(bound time.Duration) time.Duration {
	fraction := 0.0
	for _, of := range pollFractions {
		fraction = max(fraction, of+pollSpreadFraction)
	}
	return time.Duration(fraction*float64(bound)) + 2*stalenessCheckInterval
}

// keepsMissing reports whether upstreams that are missing in the list are kept, since they
// may not have registered again after an outage of the store.
func (o *outageRecord) keepsMissing(now persimclock.Instant) bool {
	if o.previous == (readableSpan{}) {
		return false
	}
	end := o.current.since.Add(reregisterGrace)
	if o.contact > 0 {
		end = min(end, o.current.returned.Add(o.contact-contactMargin))
	}
	return now < end
}
