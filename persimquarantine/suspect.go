package persimquarantine

import (
	"cmp"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes after which a part is quarantined that
	// never succeeded, if the answer to a request with it had begun in all of them.
	crashesToQuarantine = 3
	// crashesAfterSuccess is the same for a part that is known to have succeeded before, if
	// they were at momentsToQuarantine moments: upstreams that all crash at once leave no
	// request that could clear a sound part.
	crashesAfterSuccess = 5
	// momentsToQuarantine is the number of moments after which a part is quarantined.
	momentsToQuarantine = 3
	// momentsAfterSuccess is the same for a part that is known to have succeeded before: one
	// that two crashing parts share reaches it after one of them.
	momentsAfterSuccess = 5
	// settleTime is the time after which a host that learned of a crash has received what
	// the others know of it, and of successes before and after it. A crash counts from then on:
	// until the request that caused it is known, a sound part seems to be in more crashes.
	settleTime = 1400 * time.Millisecond
)

// moments counts the moments of crashes, which are added in the order of time.
type moments struct {
	count int
	// began is when the last one began.
	began time.Time
}

func (m *moments) add(at time.Time) {
	if m.count == 0 || !sameMoment(m.began, at) {
		m.count++
		m.began = at
	}
}

// suspect is a part with the crashes that it may have caused since its last success.
type suspect struct {
	part        uint64
	lastSuccess time.Time
	// asked is the number of requests with the part since the first crash.
	asked int
	// begun is the number of crashes in which the answer to a request with the part had
	// begun, settled that of the crashes that have reached all hosts by now.
	begun, settled               int
	begunMoments, settledMoments moments
}

func (s *suspect) count(c crash, settled bool) {
	if c.begun {
		s.begun++
		s.begunMoments.add(c.time.at)
	}
	if settled {
		s.settled++
		s.settledMoments.add(c.time.at)
	}
}

// compareSuspects orders suspects, the likeliest first. A part that succeeded before comes
// after all that never did: one that crashing parts share is in more crashes than each of
// them. Of two that always came together, fewer requests have the one that is later in the
// prompt.
func compareSuspects(a, b *suspect) int {
	return cmp.Or(cmp.Compare(a.succeeded(), b.succeeded()), cmp.Compare(b.begun, a.begun),
		cmp.Compare(b.settledMoments.count, a.settledMoments.count), a.lastSuccess.Compare(b.lastSuccess),
		cmp.Compare(b.settled, a.settled), cmp.Compare(a.asked, b.asked), cmp.Compare(a.part, b.part))
}

// succeeded returns 1 if the part is known to have succeeded.
func (s *suspect) succeeded() int {
	if s.lastSuccess.IsZero() {
		return 0
	}
	return 1
}

// enough reports whether the crashes suffice to quarantine the part.
func (s *suspect) enough() bool {
	if s.lastSuccess.IsZero() {
		return s.begun >= crashesToQuarantine || s.settledMoments.count >= momentsToQuarantine
	}
	return s.begun >= crashesAfterSuccess && s.begunMoments.count >= momentsToQuarantine ||
		s.settledMoments.count >= momentsAfterSuccess
}

// suspect returns the part to quarantine next, or false if there is none.
func (q *quarantine) suspect(now time.Time) (uint64, bool) {
	suspects := map[uint64]*suspect{}
	for _, c := range q.crashes.list {
		if _, ok := q.explanation(c); ok {
			continue
		}
		settled := now.Sub(c.learnedAt) >= settleTime
		for _, part := range c.parts {
			s, ok := suspects[part]
			if !ok {
				s = &suspect{part: part, lastSuccess: q.successes.last(part).at, asked: q.asked[part]}
				suspects[part] = s
			}
			if c.time.at.After(s.lastSuccess) {
				s.count(c, settled)
			}
		}
	}
	var likeliest *suspect
	for _, s := range suspects {
		if s.enough() && (likeliest == nil || compareSuspects(s, likeliest) < 0) {
			likeliest = s
		}
	}
	if likeliest == nil {
		return 0, false
	}
	return likeliest.part, true
}

// explanation returns a quarantined part that was on the crashed upstream, or false if
// there is none.
func (q *quarantine) explanation(c crash) (uint64, bool) {
	for _, part := range q.heldParts() {
		if c.has(part) {
			return part, true
		}
	}
	return 0, false
}
