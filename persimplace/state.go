package persimplace

import (
	"time"

	"persimmonport.example/persimcatalog"
)

// cacheTime is how long a part is taken to stay cached without use.
const cacheTime = 20 * time.Second

// state is what is known of one upstream.
type state struct {
	persimcatalog.Upstream
	hash       uint64
	own        PeerLoad
	report     Report
	reportedAt time.Time
	parts      cache
	// waiting holds attempts without a first answer, oldest first.
	waiting  []*Ticket
	failures int
	pauses   int
	until    time.Time
	answered time.Time
}

func newState(id string) *state { return &state{hash: Hash(id), parts: cache{}} }

func (s *state) add(t *Ticket) {
	s.own.Requests++
	s.waiting = append(s.waiting, t)
	if t.need.Urgent {
		s.own.Urgent += t.read
		return
	}
	s.own.Normal += t.read
}

// begin takes the prompt of an attempt off what is still to be read.
func (s *state) begin(now time.Time, t *Ticket) {
	t.begun = true
	s.answered = now
	s.settle(t)
}

func (s *state) settle(t *Ticket) {
	for i, waiting := range s.waiting {
		if waiting == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	if t.need.Urgent {
		s.own.Urgent -= t.read
		return
	}
	s.own.Normal -= t.read
}

func (s *state) end(t *Ticket) {
	t.ended = true
	s.own.Requests--
	if !t.begun {
		s.settle(t)
	}
}

// judge counts failures in a row and avoids the upstream after some, longer each time.
func (s *state) judge(now time.Time, outcome Outcome, pause time.Duration) {
	switch outcome {
	case OutcomeGood:
		s.failures = 0
		s.pauses = 0
	case OutcomeFailed:
		s.failures++
	case OutcomeUnreached:
		s.failures = max(s.failures+1, failuresToPause)
	case OutcomeFull, OutcomeLeft:
		return
	}
	if s.failures < failuresToPause || now.Before(s.until) {
		return
	}
	s.until = now.Add(min(pause<<s.pauses, maxPause))
	s.pauses = min(s.pauses+1, 3)
	s.failures = failuresToPause - 1
}

// paused reports whether the upstream is avoided: it failed too often, or it owes
// a first answer and has sent none since.
func (s *state) paused(now time.Time) bool {
	if now.Before(s.until) {
		return true
	}
	if len(s.waiting) == 0 {
		return false
	}
	oldest := s.waiting[0]
	heard := s.answered.After(oldest.sent) || s.reportedAt.After(oldest.sent)
	return !heard && now.Sub(oldest.sent) > 2*oldest.expected+silenceToPause
}

func (s *state) slowdown(now time.Time) float64 {
	if s.report.Slowdown <= 0 || now.Sub(s.reportedAt) > loadFresh {
		return 1
	}
	return s.report.Slowdown
}

// unread returns the prompt tokens that the upstream has to read.
func (s *state) unread(now time.Time, need Need, home bool) int {
	unread := need.Tokens
	known := true
	for i, part := range need.Parts {
		known = known && s.parts.holds(now, part.ID)
		if known {
			unread -= part.Tokens
			continue
		}
		if home && i < len(need.Parts)-1 {
			unread -= int(float64(part.Tokens) * presumed)
		}
	}
	return max(0, unread)
}

func (s *state) remember(now time.Time, need Need, memory int) {
	for _, part := range need.Parts {
		s.parts.use(now, part)
	}
	s.parts.trim(now, memory)
}

// A cache follows which parts of prompts an upstream has read.
type cache map[uint64]cached

type cached struct {
	tokens int
	used   time.Time
}

func (c cache) holds(now time.Time, id uint64) bool {
	entry, ok := c[id]
	return ok && now.Sub(entry.used) < cacheTime
}

func (c cache) use(now time.Time, part Part) {
	c[part.ID] = cached{tokens: part.Tokens, used: now}
}

// trimAt is the number of parts beyond which old ones are dropped.
const trimAt = 2048

// trim drops parts that are old, and the older half where they exceed the memory.
func (c cache) trim(now time.Time, memory int) {
	if len(c) < trimAt {
		return
	}
	sum := 0
	for id, entry := range c {
		if now.Sub(entry.used) >= cacheTime {
			delete(c, id)
			continue
		}
		sum += entry.tokens
	}
	if sum <= memory && len(c) < trimAt {
		return
	}
	for id, entry := range c {
		if now.Sub(entry.used) >= cacheTime/4 {
			delete(c, id)
		}
	}
}
