package persimpressure

import "time"

// limit is the limit that an upstream names and this host's share of it.
type limit struct {
	named     bool
	perSecond float64
	// version counts the changes of the limit that hosts have seen. Of two hosts, the one
	// with the greater version knows more.
	version uint64
	// heardAt is when a request to the upstream was last sent or answered, at this or
	// another host, and hops the number of messages that brought that here.
	heardAt time.Time
	hops    int
	// beganAt is when this host learned that the upstream names a limit, changedAt when of
	// the last change.
	beganAt   time.Time
	changedAt time.Time

	// rank is the place of this host among all, holders the number of holders, of which it
	// is one if its rank is lower.
	rank    int
	holders int
	// level is the number of requests that this host may send as of refilledAt.
	level      float64
	refilledAt time.Time
}

func (l *limit) holder() bool { return l.rank < l.holders }

// rate returns the requests a second of one holder.
func (l *limit) rate() float64 { return effective(l.perSecond) / float64(l.holders) }

// burst returns the number of requests that a holder accumulates at most.
func (l *limit) burst() float64 { return max(1, l.rate()*burstTime.Seconds()) }

// set replaces the limit.
func (l *limit) set(now time.Time, named bool, perSecond float64, h *hosts, upstream uint64) {
	began := named && !l.named
	if l.named && l.holder() {
		l.refill(now)
	}
	l.named, l.perSecond = named, perSecond
	l.changedAt = now
	if !named {
		return
	}
	if l.heardAt.IsZero() {
		l.heardAt, l.hops = now, maxHops
	}
	if began {
		l.beganAt, l.holders = now, 0
	}
	l.divide(now, h, upstream, began)
}

// divide determines this host's share again. Holders of a limit that has just begun start in
// the order of their ranks, one after another at the rate of the limit.
func (l *limit) divide(now time.Time, h *hosts, upstream uint64, began bool) {
	held := l.holders > 0 && l.holder()
	if held {
		l.refill(now)
	}
	l.rank = h.rank(upstream)
	l.holders = holderCount(l.perSecond, h.count())
	if !l.holder() {
		return
	}
	if held {
		l.level = min(l.level, l.burst())
		return
	}
	l.level = 1 - float64(l.rank+1)/float64(l.holders)
	l.refilledAt = now
	if !began {
		l.level = min(l.level, 0)
		l.refilledAt = now.Add(takeoverDelay)
	}
}

func (l *limit) refill(now time.Time) {
	elapsed := now.Sub(l.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	l.refilledAt = now
	l.level = min(l.level+elapsed*l.rate(), l.burst())
}

// wait returns how long no request may be sent, or zero.
func (l *limit) wait(now time.Time) time.Duration {
	if !l.holder() {
		return l.deputyWait(now)
	}
	l.refill(now)
	if l.level >= 1 {
		return 0
	}
	return seconds((1-l.level)/l.rate()) + max(0, l.refilledAt.Sub(now))
}

// quiet returns the time without news after which this host, which is no holder, sends one
// request: the holders may be down or have nothing to send, and the limit may have ended.
func (l *limit) quiet() time.Duration {
	first := min(max(seconds(missedRequests/effective(l.perSecond)), minQuiet), maxQuiet)
	return first + time.Duration(l.rank-l.holders)*quietStep
}

// deputyWait returns the wait of a host that is no holder. The wait that it names is the
// time in which the upstream takes its next request from another host, if that is shorter
// than the time until this host may send one.
func (l *limit) deputyWait(now time.Time) time.Duration {
	own := l.quiet() - now.Sub(l.heardAt)
	if own <= 0 {
		return 0
	}
	return min(own, seconds(1/effective(l.perSecond)))
}

// take counts a request that is sent.
func (l *limit) take(now time.Time) {
	if l.holder() {
		l.level--
	}
	l.hear(now, 0)
}

// hear records when a request was last sent or answered.
func (l *limit) hear(at time.Time, hops int) {
	if at.After(l.heardAt) {
		l.heardAt, l.hops = at, hops
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
