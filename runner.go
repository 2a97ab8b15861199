package persimmonport

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimupstream"
	"persimmonport.example/persimwire"
)

var (
	errUnknownHost = errors.New("host is not a member")
	errReclaimed   = errors.New("upstream is reclaimed")
	errSuperseded  = errors.New("another attempt was first")
)

const (
	// prefixBytes is the length of the prompt prefix that is hashed for routing.
	prefixBytes = 256
	// bytesPerToken estimates the number of prompt tokens from the prompt's length.
	bytesPerToken       = 4
	cancelStreamTimeout = time.Second
	retryDelay          = 250 * time.Millisecond
)

// Causes for which tokens are computed again.
const (
	recomputedReclaim = "reclaim"
	recomputedRetry   = "retry"
	recomputedHedge   = "hedge"
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	dispatch persimpolicy.Dispatch
	err      error
}

// modelRunner runs one model request until it is done, refused or moved to another host.
type modelRunner struct {
	host      *host
	flight    *persimflight.Flight
	job       persimpolicy.Job
	scheduler *scheduler
	sub       *subscription
	results   chan attemptResult
	// avoided lists the upstreams on which attempts have failed, oldest first.
	avoided []string
	// attemptCount is the number of attempts that may have run, without hedges.
	attemptCount int

	mu                sync.Mutex
	lastAttemptNumber int
	// winner is the attempt whose tokens are released, or "".
	winner string
	// cancels maps each running attempt to its cancel function.
	cancels     map[string]context.CancelCauseFunc
	lastTokenAt time.Time
	// hasTokens is set once the request has received a token.
	hasTokens bool
	// ran is set once an attempt may have run.
	ran bool
	// continued is set if the request had another owner before, at which an attempt may have
	// run before its first token.
	continued bool
	// cacheHandle is the handle of the cache last exported from a reclaimed upstream, or "".
	cacheHandle string
}

func (h *host) newJob(state *persimwire.Flight, profile persimprofile.Profile, deadline time.Time) persimpolicy.Job {
	prefix := state.GetPrompt()[:min(len(state.GetPrompt()), prefixBytes)]
	return persimpolicy.Job{
		ID:             state.GetId(),
		Organisation:   state.GetOrganisation(),
		Service:        state.GetService(),
		Profile:        profile,
		Prefix:         xxhash.Sum64String(prefix),
		PromptTokens:   len(state.GetPrompt()) / bytesPerToken,
		MaxTokens:      int(state.GetMaxTokens()),
		ReleasedTokens: len(state.GetTokens()),
		Arrived:        time.Now(),
		Deadline:       deadline,
	}
}

func (h *host) newModelRunner(f *persimflight.Flight, job persimpolicy.Job, sched *scheduler, sub *subscription) *modelRunner {
	return &modelRunner{
		host:        h,
		flight:      f,
		job:         job,
		scheduler:   sched,
		sub:         sub,
		results:     make(chan attemptResult, dispatchBuffer),
		cancels:     map[string]context.CancelCauseFunc{},
		lastTokenAt: time.Now(),
	}
}

// continueFlight runs a model request that this host has taken over or resumed.
func (h *host) continueFlight(f *persimflight.Flight) {
	state := f.State(time.Now())
	if state.GetKind() != persimwire.FlightKind_FLIGHT_KIND_MODEL || persimflight.IsFinalPhase(state.GetPhase()) {
		return
	}
	service, profile, ok := h.catalogue.Current().Service(state.GetService())
	if !ok {
		f.Refuse(unknownOutcomeRefusal(persimwire.Reason_REASON_NOT_FOUND, "the service is no longer configured"))
		return
	}
	sched := h.schedulers.get(service.Group)
	job := h.newJob(state, profile, f.Deadline())
	r := h.newModelRunner(f, job, sched, sched.register(job))
	r.lastAttemptNumber = int(state.GetAttempt())
	r.ran = state.GetUpstream() != ""
	r.continued = true
	r.hasTokens = len(state.GetTokens()) > 0
	go r.continueFrom(state)
}

// continueFrom attaches to the engine's stream if it still runs, otherwise starts
// another attempt after the tokens that were already released.
func (r *modelRunner) continueFrom(state *persimwire.Flight) {
	ctx, cancel := r.requestContext()
	defer cancel()
	if state.GetStream() != "" && r.attach(ctx, state) {
		r.scheduler.close(r.job.ID)
		return
	}
	if r.requeue(true, recomputedReclaim) {
		r.run()
		return
	}
	r.scheduler.close(r.job.ID)
	r.refuse(persimwire.Reason_REASON_DEADLINE, "the deadline passed during the handover")
}

// attach reads a running stream of an engine and reports whether no further
// attempt is needed: the stream was complete, or the request has moved away.
func (r *modelRunner) attach(ctx context.Context, state *persimwire.Flight) bool {
	attemptNumber := r.nextAttemptNumber()
	if !r.flight.BeginAttempt(attemptNumber, state.GetUpstream(), state.GetStream()) {
		return true
	}
	ctx, unregister := r.host.activeAttempts.register(ctx, state.GetUpstream())
	defer unregister()
	from := len(state.GetTokens())
	emitted := from
	limit := newAnswerLimit(state, r.host.settings.Limits.MaxTokens)
	_, err := r.host.engine.Attach(ctx, state.GetUpstream(), state.GetStream(), from, func(index int, text string) error {
		if err := r.keepToken(limit, attemptNumber, index, text); err != nil {
			return err
		}
		emitted = index + 1
		return nil
	})
	if err == nil {
		return r.flight.Finish(attemptNumber, emitted)
	}
	return errors.Is(err, errSuperseded)
}

func (r *modelRunner) nextAttemptNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAttemptNumber++
	return r.lastAttemptNumber
}

// recordEnd records the duration and the outcome of a request that ended on this host.
func (h *host) recordEnd(f *persimflight.Flight, job persimpolicy.Job) {
	state := f.State(time.Now())
	if !persimflight.IsFinalPhase(state.GetPhase()) {
		return
	}
	outcome := "done"
	if state.GetRefusal() != nil {
		outcome = strings.ToLower(strings.TrimPrefix(state.GetRefusal().GetOutcome().String(), "OUTCOME_"))
	}
	h.metrics.Request(job.Organisation, string(job.Profile.Class), outcome, time.Since(job.Arrived))
}

// requestContext returns a context that ends at the deadline or when the host no
// longer owns the request.
func (r *modelRunner) requestContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(r.host.requestCtx, r.flight.Deadline())
	stopped := r.flight.Stopped()
	go func() {
		select {
		case <-stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// run starts the attempts that the policy dispatches and handles their results.
func (r *modelRunner) run() {
	ctx, cancel := r.requestContext()
	defer cancel()
	defer r.scheduler.close(r.job.ID)
	defer r.host.recordEnd(r.flight, r.job)
	inFlight := 0
	for {
		select {
		case d := <-r.sub.dispatches:
			inFlight++
			if !d.Hedge {
				r.attemptCount++
			}
			go r.attempt(ctx, d)
		case refusal := <-r.sub.refusals:
			if inFlight == 0 {
				r.refuseByPolicy(refusal)
				return
			}
		case result := <-r.results:
			inFlight--
			if r.handleResult(result, inFlight) {
				r.cancelAll(errSuperseded)
				r.drainResults(inFlight)
				return
			}
		case <-ctx.Done():
			r.cancelAll(ctx.Err())
			r.drainResults(inFlight)
			r.refuse(persimwire.Reason_REASON_DEADLINE, "the caller's patience has ended")
			return
		}
	}
}

func (r *modelRunner) drainResults(inFlight int) {
	for range inFlight {
		result := <-r.results
		r.scheduler.endAttempt(result.dispatch.Attempt, persimpolicy.ResultCancelled)
	}
}

func (r *modelRunner) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel(cause)
	}
}

// handleResult records the end of an attempt and reports whether the request has ended.
func (r *modelRunner) handleResult(result attemptResult, inFlight int) bool {
	attempt := result.dispatch.Attempt
	switch {
	case result.err == nil:
		r.scheduler.endAttempt(attempt, persimpolicy.ResultDone)
		return true
	case errors.Is(result.err, errSuperseded):
		r.scheduler.endAttempt(attempt, persimpolicy.ResultCancelled)
		return false
	case errors.Is(result.err, errReclaimed):
		r.scheduler.endAttempt(attempt, persimpolicy.ResultCancelled)
		return inFlight == 0 && !r.retry(result, true)
	case errors.Is(result.err, persimupstream.ErrRejected):
		r.scheduler.endAttempt(attempt, persimpolicy.ResultCancelled)
		r.refuse(persimwire.Reason_REASON_INVALID, "the engine rejected the request")
		return true
	default:
		r.scheduler.endAttempt(attempt, persimpolicy.ResultFailed)
		return inFlight == 0 && !r.retry(result, false)
	}
}

// retry queues another attempt. If none is possible it refuses the request and
// returns false. A forced retry, after a reclaim, is limited neither by the number of
// attempts nor by the retry budget.
func (r *modelRunner) retry(result attemptResult, forced bool) bool {
	address := result.dispatch.Upstream.Address
	klog.V(1).Infof("runner: attempt %s on %s ended: %v", result.dispatch.Attempt, address, result.err)
	cause := recomputedRetry
	if forced {
		cause = recomputedReclaim
		r.exportCache(result.dispatch)
	}
	if errors.Is(result.err, persimupstream.ErrNotRun) || !r.host.hasRecentContact() {
		// The attempt does not count: it has not run, or the host is isolated and
		// leaves the request to the holder of its replica.
		r.attemptCount--
	}
	if r.attemptCount >= r.job.Profile.MaxAttempts && !forced {
		r.refuse(persimwire.Reason_REASON_UPSTREAM, "no attempts are left")
		return false
	}
	r.avoid(address)
	if r.requeue(forced, cause) {
		return true
	}
	if time.Until(r.flight.Deadline()) < retryDelay {
		r.refuse(persimwire.Reason_REASON_UPSTREAM, "the upstream failed and no time is left")
		return false
	}
	r.requeueLater(cause)
	return true
}

// avoid excludes an upstream from the next attempts. It drops the oldest exclusions
// so that never all upstreams of the group are excluded.
func (r *modelRunner) avoid(address string) {
	if slices.Contains(r.avoided, address) {
		return
	}
	r.avoided = append(r.avoided, address)
	if extra := len(r.avoided) + 1 - len(r.scheduler.status()); extra > 0 {
		r.avoided = r.avoided[min(extra, len(r.avoided)):]
	}
}

// requeueLater retries requeue until the retry budget permits another attempt or
// the deadline passes; an accepted request is not refused for lack of budget.
func (r *modelRunner) requeueLater(cause string) {
	time.AfterFunc(retryDelay, func() {
		role, _ := r.flight.Role()
		expired := time.Now().After(r.flight.Deadline())
		if expired || role != persimflight.RoleOwner || r.requeue(false, cause) {
			return
		}
		r.requeueLater(cause)
	})
}

// requeue queues another attempt after the released tokens and reports whether the
// policy permits it. It also records the tokens that the attempt computes again.
func (r *modelRunner) requeue(forced bool, cause string) bool {
	state := r.flight.State(time.Now())
	r.mu.Lock()
	r.winner = ""
	recomputes := r.cacheHandle == "" && r.ran
	r.mu.Unlock()
	r.job = r.job.WithReleasedTokens(len(state.GetTokens())).WithAvoid(r.avoided...)
	if recomputes {
		r.host.metrics.RecomputedTokens(cause, r.job.PromptTokens+r.job.ReleasedTokens)
	}
	return r.scheduler.requeue(r.job, forced)
}

func (r *modelRunner) refuseByPolicy(refusal persimpolicy.Refusal) {
	wire := policyRefusal(refusal)
	if r.mayHaveRun() {
		wire.Outcome = persimwire.Outcome_OUTCOME_UNKNOWN
	}
	r.flight.Refuse(wire)
}

func (r *modelRunner) mayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran || r.continued
}

// refuse ends the request. Its outcome is "not run" only if no attempt may have run.
func (r *modelRunner) refuse(reason persimwire.Reason, message string) {
	if r.mayHaveRun() {
		r.flight.Refuse(unknownOutcomeRefusal(reason, message))
		return
	}
	r.flight.Refuse(notRunRefusal(reason, message))
}
