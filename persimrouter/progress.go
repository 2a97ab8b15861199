package persimrouter

import (
	"time"
)

func (r *router) Start(now time.Time, spec AttemptSpec, address string) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	s.inFlight++
	if spec.Long {
		s.inFlightLong++
	}
	if s.ejected {
		s.probeAttempt = spec.Attempt
	}
	s.lastProgress[spec.Attempt] = now
	r.specs[spec.Attempt] = spec
	r.startedAt[spec.Attempt] = now
}

func (r *router) Progress(now time.Time, attempt, address string, tokens int, first bool) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	last, running := s.lastProgress[attempt]
	if !running {
		return
	}
	s.lastProgress[attempt] = now
	if s.probeAttempt == attempt {
		s.readmit()
	}
	if first {
		s.timeToFirstToken.observe(now, now.Sub(r.startedAt[attempt]))
		return
	}
	if tokens > 0 {
		s.interTokenLatency.observe(now, now.Sub(last)/time.Duration(tokens))
	}
}

func (r *router) End(now time.Time, attempt, address string, failed bool) {
	spec := r.specs[attempt]
	delete(r.specs, attempt)
	delete(r.startedAt, attempt)
	s, ok := r.states[address]
	if !ok {
		return
	}
	if _, running := s.lastProgress[attempt]; !running {
		return
	}
	delete(s.lastProgress, attempt)
	s.inFlight--
	if spec.Long {
		s.inFlightLong--
	}
	if s.probeAttempt == attempt {
		s.failProbe(now)
	}
	if !failed {
		s.failures = 0
		return
	}
	s.failures++
	s.lastFailed = now
}

func (r *router) MarkLong(attempt, address string) {
	spec, ok := r.specs[attempt]
	s, known := r.states[address]
	if !ok || !known || spec.Long {
		return
	}
	spec.Long = true
	r.specs[attempt] = spec
	s.inFlightLong++
}

func (r *router) Report(now time.Time, address string, report Report) {
	s, ok := r.states[address]
	if !ok {
		return
	}
	s.report = report
	s.reportedAt = now
	s.inFlightAtReport = s.inFlight
}
