package persimbench

import (
	"persimmonport.example/persimpolicy"
)

// entryHost simulates an entry host that runs a policy.
type entryHost struct {
	sim               *simulation
	policy            persimpolicy.Policy
	requests          map[string]*request
	attempts          map[string]*attempt
	attemptsByRequest map[string][]*attempt
	// exportedCaches holds the requests whose KV cache a reclaimed worker has exported.
	exportedCaches map[string]bool
}

// submit offers a new request to the policy.
func (e *entryHost) submit(r *request) {
	e.requests[r.id] = r
	refusal, ok := e.policy.Offer(e.sim.clock.now, r.job(e.sim.profile))
	if !ok {
		e.refuse(r, refusal)
		return
	}
	e.runPolicy()
}

// refuse ends a request without an answer; its caller may retry it later.
func (e *entryHost) refuse(r *request, refusal persimpolicy.Refusal) {
	if r.refused {
		return
	}
	r.refused = true
	r.endedAt = e.sim.clock.now
	delete(e.requests, r.id)
	e.sim.stats.recordRefusal(r, refusal)
	if e.sim.scenario.RetryRefused {
		e.sim.scheduleRetry(r, refusal)
	}
}

// runPolicy asks the policy for its next decision and carries it out.
func (e *entryHost) runPolicy() {
	decision := e.policy.Next(e.sim.clock.now)
	for _, refused := range decision.Refused {
		if r, ok := e.requests[refused.Job]; ok {
			e.refuse(r, refused.Refusal)
		}
	}
	for _, start := range decision.Starts {
		e.startAttempt(start)
	}
}

// startAttempt starts an attempt on the worker that the policy has chosen.
func (e *entryHost) startAttempt(d persimpolicy.Dispatch) {
	r, ok := e.requests[d.Job]
	if !ok {
		e.policy.End(e.sim.clock.now, d.Attempt, persimpolicy.ResultCancelled)
		return
	}
	w := e.sim.workerByAddress[d.Upstream.Address]
	a := &attempt{
		request: r, id: d.Attempt, host: e, worker: w, priority: d.Priority,
		resumeOffset: r.releasedTokens, hedge: d.Hedge, cacheImported: e.exportedCaches[r.id],
	}
	delete(e.exportedCaches, r.id)
	e.attempts[d.Attempt] = a
	e.attemptsByRequest[r.id] = append(e.attemptsByRequest[r.id], a)
	w.start(a)
}

// handleTokens records tokens of an attempt and reports whether the attempt continues.
// The first attempt of a request to produce a token cancels the others.
func (e *entryHost) handleTokens(a *attempt, tokens int) bool {
	now := e.sim.clock.now
	if a.emittedTokens == tokens {
		for _, other := range e.attemptsByRequest[a.request.id] {
			if other != a && !other.ended {
				e.cancel(other)
			}
		}
	}
	e.policy.Progress(now, a.id, tokens)
	r := a.request
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = now
	}
	r.releasedTokens = max(r.releasedTokens, a.resumeOffset+a.emittedTokens)
	if e.sim.scenario.CancelAtDeadline && now.After(r.deadline) {
		e.cancel(a)
		e.refuse(r, persimpolicy.Refusal{Cause: persimpolicy.CauseDeadline})
		return false
	}
	return true
}

func (e *entryHost) cancel(a *attempt) {
	a.worker.release(a)
	e.removeAttempt(a)
	e.policy.End(e.sim.clock.now, a.id, persimpolicy.ResultCancelled)
}

// removeAttempt removes an attempt from the indexes.
func (e *entryHost) removeAttempt(a *attempt) {
	delete(e.attempts, a.id)
	attempts := e.attemptsByRequest[a.request.id]
	for i, other := range attempts {
		if other == a {
			e.attemptsByRequest[a.request.id] = append(attempts[:i:i], attempts[i+1:]...)
			break
		}
	}
	if len(e.attemptsByRequest[a.request.id]) == 0 {
		delete(e.attemptsByRequest, a.request.id)
	}
}

// handleCompletion ends the request of a completed attempt.
func (e *entryHost) handleCompletion(a *attempt) {
	e.removeAttempt(a)
	e.policy.End(e.sim.clock.now, a.id, persimpolicy.ResultDone)
	r := a.request
	r.endedAt = e.sim.clock.now
	delete(e.requests, r.id)
	e.sim.stats.recordCompletion(r)
	e.runPolicy()
}

// handleFailure requeues the request of a failed attempt unless another attempt of it
// is running.
func (e *entryHost) handleFailure(a *attempt) {
	e.removeAttempt(a)
	now := e.sim.clock.now
	e.policy.End(now, a.id, persimpolicy.ResultFailed)
	r := a.request
	if len(e.attemptsByRequest[r.id]) > 0 || e.requests[r.id] == nil {
		return
	}
	if !e.policy.Requeue(now, r.job(e.sim.profile).WithAvoid(a.worker.address), false) {
		e.sim.clock.after(requeueDelay, func() { e.retryRequeue(r) })
	}
	e.runPolicy()
}

// retryRequeue requeues a request after the policy has refused to, and repeats this
// until the policy accepts it or the deadline passes.
func (e *entryHost) retryRequeue(r *request) {
	now := e.sim.clock.now
	if e.requests[r.id] == nil {
		return
	}
	if now.After(r.deadline) {
		e.refuse(r, persimpolicy.Refusal{Cause: persimpolicy.CauseDeadline})
		return
	}
	if !e.policy.Requeue(now, r.job(e.sim.profile), false) {
		e.sim.clock.after(requeueDelay, func() { e.retryRequeue(r) })
	}
	e.runPolicy()
}

// migrateAttempts ends the attempts on a reclaimed worker and requeues their requests.
// With exportsCache, attempts that have computed their prompt keep the KV cache.
func (e *entryHost) migrateAttempts(w *worker, exportsCache bool) {
	for _, a := range e.sortedAttempts() {
		if a.worker != w || a.ended {
			continue
		}
		w.release(a)
		e.removeAttempt(a)
		e.policy.End(e.sim.clock.now, a.id, persimpolicy.ResultCancelled)
		if exportsCache && a.started && (a.emittedTokens > 0 || a.cacheImported) {
			e.exportedCaches[a.request.id] = true
		}
		if len(e.attemptsByRequest[a.request.id]) == 0 {
			e.policy.Requeue(e.sim.clock.now, a.request.job(e.sim.profile), true)
		}
	}
	e.runPolicy()
}
