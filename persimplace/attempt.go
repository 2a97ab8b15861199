package persimplace

import "time"

func (p *placer) StartAttempt(now time.Time, request Request, choice Choice) *Ticket {
	s, ok := p.byID[choice.Upstream.ID]
	if !ok {
		s = newUpstreamState(choice.Upstream)
		s.Upstream = choice.Upstream
	}
	t := &Ticket{state: s, request: request, prefillTokens: choice.PrefillTokens, sentAt: now, expected: choice.Expected, pendingTokens: choice.pendingTokens, measurable: choice.measurable, usual: choice.usual, load: choice.load()}
	s.addAttempt(t)
	s.cacheParts(now, request, p.cacheCapacity)
	return t
}

func (p *placer) RecordResponse(now time.Time, t *Ticket) {
	if t.responded {
		return
	}
	t.state.recordResponse(now, t)
	p.observeResponse(now, t)
	if t.measurable && t.tellsPrefill() {
		p.model.ObservePrefill(t.pendingTokens+t.prefillTokens, now.Sub(t.sentAt))
	}
	if t.request.Tokens == 0 {
		observed := now.Sub(t.sentAt)
		p.serviceTime += (observed - p.serviceTime) / 16
	}
}

// manyPending is how many times the tokens of a prompt have to be pending before it, so
// that it hardly matters how far the first of them has come.
const manyPending = 4

// tellsPrefill reports whether it is known what the upstream prefilled before the
// response: nothing else, or so much that a part more or less doesn't matter.
func (t *Ticket) tellsPrefill() bool {
	return t.pendingTokens == 0 || t.pendingTokens >= manyPending*t.prefillTokens
}

func (p *placer) Silent(t *Ticket) bool {
	return t.state.lastResponse.Before(t.sentAt) && t.state.reportedAt.Before(t.sentAt)
}

func (p *placer) EndAttempt(now time.Time, t *Ticket, outcome Outcome) {
	if t.ended {
		return
	}
	t.state.recordEnd(t)
	t.state.recordOutcome(now, outcome, p.ejectionTime)
}
