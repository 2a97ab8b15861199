package persimbench

import (
	"persimmonport.example/persimpolicy"
)

// entry is a fake of an entry host that drives a policy.
type entry struct {
	run      *run
	policy   persimpolicy.Policy
	requests map[string]*request
	streams  map[string]*stream
	byJob    map[string][]*stream
	caches   map[string]bool
}

func (e *entry) offer(r *request) {
	e.requests[r.id] = r
	refusal, ok := e.policy.Offer(e.run.clock.now, r.job(e.run.profile))
	if !ok {
		e.refuse(r, refusal)
		return
	}
	e.decide()
}

func (e *entry) refuse(r *request, refusal persimpolicy.Refusal) {
	if r.refused {
		return
	}
	r.refused = true
	r.ended = e.run.clock.now
	delete(e.requests, r.id)
	e.run.stats.refused(r, refusal)
	if e.run.scenario.Retry {
		e.run.retryLater(r, refusal)
	}
}

// decide carries out what the policy wants now.
func (e *entry) decide() {
	outcome := e.policy.Next(e.run.clock.now)
	for _, refused := range outcome.Refused {
		if r, ok := e.requests[refused.Job]; ok {
			e.refuse(r, refused.Refusal)
		}
	}
	for _, start := range outcome.Starts {
		e.start(start)
	}
}

func (e *entry) start(d persimpolicy.Dispatch) {
	r, ok := e.requests[d.Job]
	if !ok {
		e.policy.End(e.run.clock.now, d.Attempt, persimpolicy.ResultCancelled)
		return
	}
	w := e.run.workers[d.Upstream.Address]
	s := &stream{
		request: r, attempt: d.Attempt, host: e, worker: w, priority: d.Priority,
		from: r.released, hedge: d.Hedge, cached: e.caches[r.id],
	}
	delete(e.caches, r.id)
	e.streams[d.Attempt] = s
	e.byJob[r.id] = append(e.byJob[r.id], s)
	w.start(s)
}

// progress takes tokens of a stream and reports whether the stream goes on. The
// first stream of a request with a token ends the others.
func (e *entry) progress(s *stream, tokens int) bool {
	now := e.run.clock.now
	if s.done == tokens {
		for _, other := range e.byJob[s.request.id] {
			if other != s && !other.ended {
				e.cancel(other)
			}
		}
	}
	e.policy.Progress(now, s.attempt, tokens)
	r := s.request
	if r.first.IsZero() {
		r.first = now
	}
	r.released = max(r.released, s.from+s.done)
	if e.run.scenario.Cancel && now.After(r.deadline) {
		e.cancel(s)
		e.refuse(r, persimpolicy.Refusal{Cause: persimpolicy.CauseDeadline})
		return false
	}
	return true
}

func (e *entry) cancel(s *stream) {
	s.worker.leave(s)
	e.forget(s)
	e.policy.End(e.run.clock.now, s.attempt, persimpolicy.ResultCancelled)
}

func (e *entry) forget(s *stream) {
	delete(e.streams, s.attempt)
	list := e.byJob[s.request.id]
	for i, other := range list {
		if other == s {
			e.byJob[s.request.id] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(e.byJob[s.request.id]) == 0 {
		delete(e.byJob, s.request.id)
	}
}

func (e *entry) finished(s *stream) {
	e.forget(s)
	e.policy.End(e.run.clock.now, s.attempt, persimpolicy.ResultDone)
	r := s.request
	r.ended = e.run.clock.now
	delete(e.requests, r.id)
	e.run.stats.finished(r)
	e.decide()
}

// failed queues another attempt of the request.
func (e *entry) failed(s *stream) {
	e.forget(s)
	now := e.run.clock.now
	e.policy.End(now, s.attempt, persimpolicy.ResultFailed)
	r := s.request
	if len(e.byJob[r.id]) > 0 || e.requests[r.id] == nil {
		return
	}
	if !e.policy.Requeue(now, r.job(e.run.profile).WithAvoid(s.worker.address), false) {
		e.run.clock.after(retryPause, func() { e.requeueLater(r) })
	}
	e.decide()
}

func (e *entry) requeueLater(r *request) {
	now := e.run.clock.now
	if e.requests[r.id] == nil {
		return
	}
	if now.After(r.deadline) {
		e.refuse(r, persimpolicy.Refusal{Cause: persimpolicy.CauseDeadline})
		return
	}
	if !e.policy.Requeue(now, r.job(e.run.profile), false) {
		e.run.clock.after(retryPause, func() { e.requeueLater(r) })
	}
	e.decide()
}

// migrate moves the streams of a reclaimed worker.
func (e *entry) migrate(w *worker, exports bool) {
	for _, s := range e.sorted() {
		if s.worker != w || s.ended {
			continue
		}
		w.leave(s)
		e.forget(s)
		e.policy.End(e.run.clock.now, s.attempt, persimpolicy.ResultCancelled)
		if exports && s.started && (s.done > 0 || s.cached) {
			e.caches[s.request.id] = true
		}
		if len(e.byJob[s.request.id]) == 0 {
			e.policy.Requeue(e.run.clock.now, s.request.job(e.run.profile), true)
		}
	}
	e.decide()
}
