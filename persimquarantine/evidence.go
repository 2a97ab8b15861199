package persimquarantine

import "time"

// Evidence is what a host sends to another about crashes.
type Evidence struct {
	Crashes     []Crash
	Successes   []Success
	Quarantined []Quarantined
}

// Crash is the crash of one incarnation of an upstream, with parts of the requests that
// it left unanswered.
type Crash struct {
	Time
	Upstream uint64
	// Begun is set if the upstream had begun to answer the requests with these parts.
	Begun bool
	Parts []uint64
}

// Success is the last success of a part.
type Success struct {
	Time
	Part uint64
}

// Quarantined is a quarantined part.
type Quarantined struct {
	// Time is that of the last crash of the part.
	Time
	Part uint64
	// Doublings is the number of times that the hold was doubled.
	Doublings int
	// Probe is when a request was last let through; it is nil if none was.
	Probe *Time
}

// minSuccessCrashes is the number of crashes from which on the last success of a part is
// sent: it matters to the choice between parts that are in several.
const minSuccessCrashes = 2

// maxSuccessHops is the number of hops after which a success counts for nothing. It lets
// a part that goes on to succeed seem sound everywhere at once, and bounds by how much
// the last success of another seems to be later than it was.
const maxSuccessHops = 6

func (q *quarantine) Evidence(now time.Time) Evidence {
	q.evaluate(now)
	var e Evidence
	relevant := map[uint64]bool{}
	for _, c := range q.crashes.list {
		parts := c.parts
		if part, ok := q.explanation(c); ok {
			parts = []uint64{part}
		}
		for _, part := range parts {
			relevant[part] = relevant[part] || q.crashes.counts[part] >= minSuccessCrashes
		}
		if c.time.exportable() {
			e.Crashes = append(e.Crashes, Crash{Time: c.time.export(now), Upstream: c.upstream, Begun: c.begun, Parts: parts})
		}
	}
	for part := range q.quarantined {
		relevant[part] = true
	}
	for _, part := range q.heldParts() {
		if h := q.quarantined[part]; h.crash.exportable() {
			e.Quarantined = append(e.Quarantined, h.export(now, part))
		}
	}
	for part, several := range relevant {
		if success := q.successes.last(part); several && success.exportable() {
			e.Successes = append(e.Successes, Success{Time: success.export(now), Part: part})
		}
	}
	return e
}

func (h *hold) export(now time.Time, part uint64) Quarantined {
	exported := Quarantined{Time: h.crash.export(now), Part: part, Doublings: h.doublings}
	if h.probe.exportable() {
		probe := h.probe.export(now)
		exported.Probe = &probe
	}
	return exported
}

func (q *quarantine) Merge(now time.Time, received Evidence) {
	for _, s := range received.Successes[:min(len(received.Successes), maxSuccesses)] {
		known := q.successes.last(s.Part)
		if success := s.received(now); success.hops <= maxSuccessHops && success.at.Sub(known.at) > maxTransit {
			q.successes.record(s.Part, success)
		}
	}
	for _, c := range received.Crashes[:min(len(received.Crashes), maxCrashes)] {
		if c.Age < crashMemory {
			parts := c.Parts[:min(len(c.Parts), maxCrashParts)]
			q.crashes.add(crash{upstream: c.Upstream, time: c.received(now), learnedAt: now, begun: c.Begun, parts: parts})
		}
	}
	for _, r := range received.Quarantined[:min(len(received.Quarantined), maxQuarantined)] {
		q.mergeHold(now, r)
	}
	q.evaluate(now)
}

func (q *quarantine) mergeHold(now time.Time, r Quarantined) {
	other := hold{crash: r.received(now), doublings: min(max(0, r.Doublings), maxDoublings)}
	if r.Probe != nil {
		other.probe = r.Probe.received(now)
	}
	if h, ok := q.quarantined[r.Part]; ok && !h.released() {
		h.merge(other)
		return
	}
	if other.over(now, q.hosts) || q.successes.last(r.Part).surelyAfter(other.crash) {
		return
	}
	q.makeRoom()
	q.quarantined[r.Part] = &other
}
