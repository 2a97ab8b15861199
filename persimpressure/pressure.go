// Package persimpressure keeps what upstreams ask hosts for in their responses: a limit on
// the requests that all hosts together send, a time without requests, or no more requests.
//
// It is built for upstreams in need, at any number of hosts: a limit may allow less than one
// request a second and host, begins while requests are in progress at all hosts, changes and
// ends, and hosts restart or can't reach each other meanwhile. Sums of what hosts have sent
// come too late for that. A few hosts hold the right to send, in fixed shares, and all hosts
// choose the same ones by rendezvous hashing; the others send to other upstreams. Hosts tell
// each other of limits, so that each knows of one that it has not been told itself and of
// its end. It reads no clock and does no I/O.
package persimpressure

import (
	"math"
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	// maxWait bounds the time without requests that an upstream may ask for.
	maxWait = 10 * time.Minute
	// unlistedTime is how long what an upstream asks for is kept after it is missing in the
	// list of upstreams, to which it may return.
	unlistedTime = time.Minute
)

// Pressure decides whether upstreams take requests, by what they have asked for. Upstreams
// are named by the hash of their incarnation. It is not safe for concurrent use.
type Pressure interface {
	// SetHosts replaces the names of this host and of the others.
	SetHosts(now time.Time, self string, others []string)
	// SetUpstreams replaces the upstreams.
	SetUpstreams(now time.Time, upstreams []persimcatalog.Incarnation)
	// Record records what an upstream asks for in a response to a request that was sent at
	// sentAt.
	Record(now, sentAt time.Time, upstream persimcatalog.Incarnation, signals Signals) []Change
	// Check returns how long an upstream takes no request of this host and false, or true if
	// it takes one now. The time is zero if the upstream takes none ever again.
	Check(now time.Time, upstream uint64) (time.Duration, bool)
	// Take counts a request that is about to be sent, Return one that was not sent.
	Take(now time.Time, upstream uint64)
	Return(upstream uint64)
	// Expire returns the waits that have ended since the last call.
	Expire(now time.Time) []Change
	// News returns what the other hosts are to know.
	News(now time.Time) []News
	// Merge adds what another host tells.
	Merge(now time.Time, received []News) []Change
	// Limit returns the limit of an upstream, in requests a second, if it names one.
	Limit(upstream uint64) (float64, bool)
	// Counts returns the number of upstreams that ask for something.
	Counts(now time.Time) Counts
}

// Counts is the number of upstreams that ask for something.
type Counts struct {
	Limited int
	Leaving int
	Waiting int
}

// upstream is what one incarnation of an upstream asks for.
type upstream struct {
	persimcatalog.Incarnation
	key     uint64
	limit   limit
	leaving bool
	// waitUntil is zero once the end of a wait was reported.
	waitUntil time.Time
	// malformed are the headers that were reported as malformed.
	malformed map[string]bool
	// unlistedAt is when the upstream was first missing in the list, or zero.
	unlistedAt time.Time
}

type pressure struct {
	hosts     hosts
	upstreams map[uint64]*upstream
	// asking are the upstreams that ask for something or did so lately.
	asking map[uint64]*upstream
}

// New returns a Pressure without hosts and upstreams.
func New() Pressure {
	return &pressure{upstreams: map[uint64]*upstream{}, asking: map[uint64]*upstream{}}
}

func (p *pressure) SetHosts(now time.Time, self string, others []string) {
	p.hosts.set(self, others)
	for key, s := range p.asking {
		if s.limit.named {
			s.limit.divide(now, &p.hosts, key, false)
		}
	}
}

func (p *pressure) SetUpstreams(now time.Time, upstreams []persimcatalog.Incarnation) {
	listed := make(map[uint64]bool, len(upstreams))
	for _, incarnation := range upstreams {
		listed[p.upstream(incarnation).key] = true
	}
	for key, s := range p.upstreams {
		if listed[key] {
			s.unlistedAt = time.Time{}
			continue
		}
		if s.unlistedAt.IsZero() {
			s.unlistedAt = now
		}
		if now.Sub(s.unlistedAt) > unlistedTime {
			delete(p.upstreams, key)
			delete(p.asking, key)
		}
	}
}

// upstream returns the state of an incarnation and creates it on first use.
func (p *pressure) upstream(incarnation persimcatalog.Incarnation) *upstream {
	key := incarnation.Hash()
	s, ok := p.upstreams[key]
	if !ok {
		s = &upstream{Incarnation: incarnation, key: key}
		p.upstreams[key] = s
	}
	return s
}

func (p *pressure) Record(now, sentAt time.Time, incarnation persimcatalog.Incarnation, signals Signals) []Change {
	s := p.upstream(incarnation)
	changes := s.recordMalformed(signals.Malformed)
	if signals.Leaving && !s.leaving {
		s.leaving = true
		p.asking[s.key] = s
		changes = append(changes, Change{Kind: ChangeLeaving, Upstream: incarnation})
	}
	if change, ok := p.recordWait(now, s, signals.Wait); ok {
		changes = append(changes, change)
	}
	if change, ok := p.recordLimit(now, sentAt, s, signals); ok {
		changes = append(changes, change)
	}
	return changes
}

// maxMalformed is the number of different malformed headers that are reported of an upstream.
const maxMalformed = 8

func (s *upstream) recordMalformed(headers []string) []Change {
	var changes []Change
	for _, header := range headers {
		if s.malformed[header] || len(s.malformed) >= maxMalformed {
			continue
		}
		if s.malformed == nil {
			s.malformed = map[string]bool{}
		}
		s.malformed[header] = true
		changes = append(changes, Change{Kind: ChangeMalformed, Upstream: s.Incarnation, Header: header})
	}
	return changes
}

// recordWait extends the time without requests.
func (p *pressure) recordWait(now time.Time, s *upstream, wait time.Duration) (Change, bool) {
	until := now.Add(min(wait, maxWait))
	if wait <= 0 || !until.After(s.waitUntil) {
		return Change{}, false
	}
	waited := s.waitUntil.After(now)
	s.waitUntil = until
	p.asking[s.key] = s
	return Change{Kind: ChangeWait, Upstream: s.Incarnation, Wait: until.Sub(now)}, !waited
}

// recordLimit records what a response says of the limit. A response to a request from before
// the limit was known may be older than the limit and does not end it.
func (p *pressure) recordLimit(now, sentAt time.Time, s *upstream, signals Signals) (Change, bool) {
	l := &s.limit
	named := signals.LimitState == LimitNamed
	if signals.LimitState == LimitUnknown || named && !validLimit(signals.Limit) {
		return Change{}, false
	}
	if l.version > 0 {
		l.hear(now, 0)
	}
	if named == l.named && (!named || signals.Limit == l.perSecond) {
		return Change{}, false
	}
	if !named && !sentAt.After(l.beganAt) {
		return Change{}, false
	}
	l.version++
	l.hear(now, 0)
	return p.setLimit(now, s, named, signals.Limit)
}

func (p *pressure) setLimit(now time.Time, s *upstream, named bool, perSecond float64) (Change, bool) {
	l := &s.limit
	if named == l.named && (!named || perSecond == l.perSecond) {
		return Change{}, false
	}
	l.set(now, named, perSecond, &p.hosts, s.key)
	p.asking[s.key] = s
	if !named {
		return Change{Kind: ChangeLimitEnd, Upstream: s.Incarnation}, true
	}
	return Change{Kind: ChangeLimit, Upstream: s.Incarnation, Limit: perSecond, Held: l.holder()}, true
}

func validLimit(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 1) }

func (p *pressure) Check(now time.Time, upstream uint64) (time.Duration, bool) {
	s, ok := p.asking[upstream]
	if !ok {
		return 0, true
	}
	if s.leaving {
		return 0, false
	}
	wait := max(0, s.waitUntil.Sub(now))
	if s.limit.named {
		wait = max(wait, s.limit.wait(now))
	}
	return wait, wait == 0
}

func (p *pressure) Take(now time.Time, upstream uint64) {
	if s, ok := p.asking[upstream]; ok && s.limit.named {
		s.limit.take(now)
	}
}

func (p *pressure) Return(upstream uint64) {
	s, ok := p.asking[upstream]
	if ok && s.limit.named && s.limit.holder() {
		s.limit.level = min(s.limit.level+1, s.limit.burst())
	}
}

func (p *pressure) Expire(now time.Time) []Change {
	var changes []Change
	for key, s := range p.asking {
		if !s.waitUntil.IsZero() && !s.waitUntil.After(now) {
			s.waitUntil = time.Time{}
			changes = append(changes, Change{Kind: ChangeWaitEnd, Upstream: s.Incarnation})
		}
		ended := !s.limit.named && now.Sub(s.limit.changedAt) > endNewsTime
		if ended && !s.leaving && s.waitUntil.IsZero() {
			delete(p.asking, key)
		}
	}
	return changes
}

func (p *pressure) Limit(upstream uint64) (float64, bool) {
	s, ok := p.asking[upstream]
	if !ok || !s.limit.named {
		return 0, false
	}
	return s.limit.perSecond, true
}

func (p *pressure) Counts(now time.Time) Counts {
	var counts Counts
	for _, s := range p.asking {
		if s.limit.named {
			counts.Limited++
		}
		if s.leaving {
			counts.Leaving++
		}
		if s.waitUntil.After(now) {
			counts.Waiting++
		}
	}
	return counts
}
