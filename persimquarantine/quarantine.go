// Package persimquarantine decides which parts of prompts crash upstreams, so that hosts
// stop sending requests that contain them.
//
// It is built for a part that crashes every upstream that begins to answer a request
// with it, while such requests arrive at any host and share all their other parts with
// sound ones. A crash leaves requests of several hosts unanswered, and each host only
// knows its own. Hosts therefore exchange which parts were on which crashed upstream and
// which were answered lately; each decides by itself from the same evidence. It reads no
// clock and does no I/O.
package persimquarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxQuarantined is the largest number of quarantined parts.
	maxQuarantined = 64
	// evaluationInterval is how often the evidence is evaluated.
	evaluationInterval = 100 * time.Millisecond
)

type config struct {
	random *rand.Rand
}

// Option changes the configuration of a Quarantine.
type Option func(*config)

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(c *config) { c.random = random } }

// Quarantine decides which parts of prompts no request may contain for now. It is not
// safe for concurrent use.
type Quarantine interface {
	// RecordCrash records the parts of a request that a crash left unanswered, and whether
	// the upstream had begun to answer it. Upstream identifies one incarnation of the
	// upstream.
	RecordCrash(now time.Time, upstream uint64, parts []uint64, begun bool)
	// RecordSuccess records that the answer to a request with these parts got going.
	RecordSuccess(now time.Time, parts []uint64)
	// Check reports whether a request is blocked, by which part and for how long. A request
	// that is not blocked may be a probe and is expected to be sent.
	Check(now time.Time, parts []uint64) (part uint64, retryAfter time.Duration, blocked bool)
	// Evidence returns what the other hosts are to know. It is empty without crashes.
	Evidence(now time.Time) Evidence
	// Merge adds the evidence of another host.
	Merge(now time.Time, received Evidence)
	// SetHosts sets the number of hosts that may send a probe.
	SetHosts(hosts int)
}

type quarantine struct {
	config
	hosts     int
	successes successes
	crashes   crashes
	// quarantined holds the quarantined parts and those released lately.
	quarantined map[uint64]*hold
	// asked counts the requests with a part since the first crash that is known.
	asked       map[uint64]int
	evaluatedAt time.Time
}

// New returns a Quarantine that knows nothing.
func New(opts ...Option) Quarantine {
	c := config{random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	for _, opt := range opts {
		opt(&c)
	}
	return &quarantine{config: c, hosts: 1, crashes: newCrashes(), quarantined: map[uint64]*hold{}}
}

func (q *quarantine) SetHosts(hosts int) { q.hosts = max(1, hosts) }

func (q *quarantine) RecordCrash(now time.Time, upstream uint64, parts []uint64, begun bool) {
	q.crashes.add(crash{upstream: upstream, time: stamp{at: now}, learnedAt: now, begun: begun, parts: parts})
	q.evaluate(now)
}

func (q *quarantine) RecordSuccess(now time.Time, parts []uint64) {
	for _, part := range parts {
		q.successes.record(part, stamp{at: now})
		if h, ok := q.quarantined[part]; ok && !h.released() {
			h.releasedAt = now
		}
	}
}

func (q *quarantine) Check(now time.Time, parts []uint64) (part uint64, retryAfter time.Duration, blocked bool) {
	q.evaluate(now)
	q.countAsked(parts)
	if len(q.quarantined) == 0 {
		return 0, 0, false
	}
	for _, candidate := range parts {
		h, ok := q.quarantined[candidate]
		if !ok || h.released() {
			continue
		}
		if wait := h.wait(now, q.hosts, q.random); wait > retryAfter {
			part, retryAfter = candidate, wait
		}
	}
	if retryAfter > 0 {
		return part, retryAfter, true
	}
	for _, candidate := range parts {
		if h, ok := q.quarantined[candidate]; ok && !h.released() {
			h.recordProbe(stamp{at: now})
		}
	}
	return 0, 0, false
}

// maxAsked is the largest number of parts of which requests are counted.
const maxAsked = 4096

// countAsked counts a request with these parts while there are crashes to explain.
func (q *quarantine) countAsked(parts []uint64) {
	if q.crashes.empty() || len(q.asked) > maxAsked {
		q.asked = nil
	}
	if q.crashes.empty() {
		return
	}
	if q.asked == nil {
		q.asked = map[uint64]int{}
	}
	for _, part := range parts {
		q.asked[part]++
	}
}

// evaluate brings the quarantined parts up to date with the evidence.
func (q *quarantine) evaluate(now time.Time) {
	if len(q.quarantined) == 0 && q.crashes.empty() || now.Sub(q.evaluatedAt) < evaluationInterval {
		return
	}
	q.evaluatedAt = now
	q.crashes.expire(now)
	q.renew()
	for part, h := range q.quarantined {
		if !h.released() && q.successes.last(part).surelyAfter(h.crash) {
			h.releasedAt = now
		}
		if h.over(now, q.hosts) {
			delete(q.quarantined, part)
		}
	}
	for {
		part, ok := q.suspect(now)
		if !ok {
			return
		}
		q.makeRoom()
		q.quarantined[part] = &hold{crash: q.crashes.last(part)}
	}
}

// renew prolongs the holds of parts that were on upstreams which crashed since.
func (q *quarantine) renew() {
	for _, part := range q.heldParts() {
		for _, c := range q.crashes.of(part) {
			q.quarantined[part].recordCrash(c.time)
		}
	}
}

// heldParts returns the quarantined parts that are not released, in order.
func (q *quarantine) heldParts() []uint64 {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(q.quarantined)), func(part uint64) bool { return q.quarantined[part].released() })
}

// makeRoom drops the quarantined part whose last crash is the oldest if there are too
// many.
func (q *quarantine) makeRoom() {
	if len(q.quarantined) < maxQuarantined {
		return
	}
	delete(q.quarantined, slices.MinFunc(slices.Sorted(maps.Keys(q.quarantined)), func(a, b uint64) int {
		return q.quarantined[a].crash.at.Compare(q.quarantined[b].crash.at)
	}))
}
