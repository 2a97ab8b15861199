package persimquarantine

import "time"

const (
	// maxTransit is the longest time that a message between hosts takes. The times
	// in it seem to be later by up to as much.
	maxTransit = 700 * time.Millisecond
	// maxHops is the number of hosts after which a time is not passed on, so that none can
	// go round for ever and seem new each time.
	maxHops = 16
)

// stamp is a time as this host knows it. The zero value means never.
type stamp struct {
	at time.Time
	// hops is the number of messages that brought the time here.
	hops int
}

// earliest returns the earliest that the time can have been.
func (s stamp) earliest() time.Time { return s.at.Add(-time.Duration(s.hops) * maxTransit) }

// surelyAfter reports whether the time is later than another, however long messages took.
func (s stamp) surelyAfter(other stamp) bool { return s.earliest().After(other.at) }

// later returns the received time if it is surely later, or else the known one: the same
// time received on another path must not replace it.
func (s stamp) later(received stamp) stamp {
	if received.surelyAfter(s) {
		return received
	}
	return s
}

// earlier returns a time that is known from both, as exactly as either knows it.
func (s stamp) earlier(received stamp) stamp {
	if received.at.Before(s.at) {
		s.at = received.at
	}
	s.hops = min(s.hops, received.hops)
	return s
}

// Time is a time in the past as one host sends it to another.
type Time struct {
	Age time.Duration
	// Hops is the number of messages that brought it to the sender.
	Hops int
}

func (s stamp) export(now time.Time) Time { return Time{Age: now.Sub(s.at), Hops: s.hops} }

// exportable reports whether the time may be passed on.
func (s stamp) exportable() bool { return !s.at.IsZero() && s.hops < maxHops }

// received returns the time as received now.
func (t Time) received(now time.Time) stamp {
	return stamp{at: now.Add(-max(0, t.Age)), hops: min(max(0, t.Hops), maxHops-1) + 1}
}
