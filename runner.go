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
	errLost        = errors.New("another attempt was first")
)

const (
	prefixBytes   = 256
	bytesPerToken = 4
	cancelTimeout = time.Second
	retryPause    = 250 * time.Millisecond
)

// Causes of tokens that are computed twice.
const (
	recomputedReclaim = "reclaim"
	recomputedRetry   = "retry"
	recomputedHedge   = "hedge"
)

// attemptResult is how one attempt of a runner ended.
type attemptResult struct {
	dispatch persimpolicy.Dispatch
	err      error
}

// runner runs one model request until it is done, refused or moved.
type runner struct {
	host      *host
	flight    *persimflight.Flight
	job       persimpolicy.Job
	scheduler *scheduler
	ticket    *ticket
	results   chan attemptResult
	// avoided lists the upstreams on which attempts have failed.
	avoided []string
	// tries counts the attempts that may have run, without hedges.
	tries int

	mu      sync.Mutex
	number  int
	winner  string
	cancels map[string]context.CancelCauseFunc
	last    time.Time
	// started is set once a token has come.
	started bool
	ran     bool
	cache   string
}

func (h *host) newJob(state *persimwire.Flight, profile persimprofile.Profile, deadline time.Time) persimpolicy.Job {
	head := state.GetPrompt()[:min(len(state.GetPrompt()), prefixBytes)]
	return persimpolicy.Job{
		ID:           state.GetId(),
		Organisation: state.GetOrganisation(),
		Service:      state.GetService(),
		Profile:      profile,
		Prefix:       xxhash.Sum64String(head),
		PromptTokens: len(state.GetPrompt()) / bytesPerToken,
		MaxTokens:    int(state.GetMaxTokens()),
		Done:         len(state.GetTokens()),
		Arrived:      time.Now(),
		Deadline:     deadline,
	}
}

func (h *host) newRunner(f *persimflight.Flight, job persimpolicy.Job, s *scheduler, t *ticket) *runner {
	return &runner{
		host:      h,
		flight:    f,
		job:       job,
		scheduler: s,
		ticket:    t,
		results:   make(chan attemptResult, ticketStarts),
		cancels:   map[string]context.CancelCauseFunc{},
		last:      time.Now(),
	}
}

// continueFlight runs a request that came from another host.
func (h *host) continueFlight(f *persimflight.Flight) {
	state := f.State(time.Now())
	if state.GetKind() != persimwire.FlightKind_FLIGHT_KIND_MODEL || isOver(state.GetPhase()) {
		return
	}
	service, profile, ok := h.keeper.Current().Service(state.GetService())
	if !ok {
		f.Refuse(unknown(persimwire.Reason_REASON_NOT_FOUND, "the service is no longer configured"))
		return
	}
	s := h.schedulers.get(service.Group)
	job := h.newJob(state, profile, f.Deadline())
	r := h.newRunner(f, job, s, s.adopt(job))
	r.number = int(state.GetAttempt())
	r.ran = state.GetUpstream() != ""
	r.started = len(state.GetTokens()) > 0
	go r.continueFrom(state)
}

func isOver(phase persimwire.Phase) bool {
	return phase == persimwire.Phase_PHASE_DONE || phase == persimwire.Phase_PHASE_FAILED
}

// continueFrom attaches to the engine's stream where it still runs, else starts
// another attempt from the released tokens.
func (r *runner) continueFrom(state *persimwire.Flight) {
	ctx, cancel := r.context()
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

// attach continues a running stream of an engine and reports whether it reached the end.
func (r *runner) attach(ctx context.Context, state *persimwire.Flight) bool {
	number := r.nextNumber()
	if !r.flight.Begin(number, state.GetUpstream(), state.GetStream()) {
		return true
	}
	ctx, unwatch := r.host.watchers.watch(ctx, state.GetUpstream())
	defer unwatch()
	from := len(state.GetTokens())
	emitted := from
	_, err := r.host.engine.Attach(ctx, state.GetUpstream(), state.GetStream(), from, func(index int, text string) error {
		if !r.flight.Append(number, index, text) {
			return errLost
		}
		emitted = index + 1
		r.account()
		return nil
	})
	if err == nil {
		return r.flight.Finish(number, emitted)
	}
	return errors.Is(err, errLost)
}

func (r *runner) nextNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	return r.number
}

// recordEnd records the time and the outcome of a request that ended here.
func (h *host) recordEnd(f *persimflight.Flight, job persimpolicy.Job) {
	state := f.State(time.Now())
	if !isOver(state.GetPhase()) {
		return
	}
	outcome := "done"
	if state.GetRefusal() != nil {
		outcome = strings.ToLower(strings.TrimPrefix(state.GetRefusal().GetOutcome().String(), "OUTCOME_"))
	}
	h.metrics.Request(job.Organisation, string(job.Profile.Class), outcome, time.Since(job.Arrived))
}

// context ends at the deadline or when the host no longer owns the request.
func (r *runner) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(r.host.work, r.flight.Deadline())
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

// run starts the attempts that the policy decides on and handles their ends.
func (r *runner) run() {
	ctx, cancel := r.context()
	defer cancel()
	defer r.scheduler.close(r.job.ID)
	defer r.host.recordEnd(r.flight, r.job)
	running := 0
	for {
		select {
		case d := <-r.ticket.starts:
			running++
			if !d.Hedge {
				r.tries++
			}
			go r.attempt(ctx, d)
		case refusal := <-r.ticket.refused:
			if running == 0 {
				r.refuseBy(refusal)
				return
			}
		case result := <-r.results:
			running--
			if r.handle(result, running) {
				r.cancelAll(errLost)
				r.drainResults(running)
				return
			}
		case <-ctx.Done():
			r.cancelAll(ctx.Err())
			r.drainResults(running)
			r.refuse(persimwire.Reason_REASON_DEADLINE, "the caller's patience has ended")
			return
		}
	}
}

func (r *runner) drainResults(running int) {
	for range running {
		result := <-r.results
		r.scheduler.end(result.dispatch.Attempt, persimpolicy.ResultCancelled)
	}
}

func (r *runner) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel(cause)
	}
}

// handle records the end of an attempt and reports whether the request is over.
func (r *runner) handle(result attemptResult, running int) bool {
	attempt := result.dispatch.Attempt
	switch {
	case result.err == nil:
		r.scheduler.end(attempt, persimpolicy.ResultDone)
		return true
	case errors.Is(result.err, errLost):
		r.scheduler.end(attempt, persimpolicy.ResultCancelled)
		return false
	case errors.Is(result.err, errReclaimed):
		r.scheduler.end(attempt, persimpolicy.ResultCancelled)
		return running == 0 && !r.retry(result, true)
	case errors.Is(result.err, persimupstream.ErrRejected):
		r.scheduler.end(attempt, persimpolicy.ResultCancelled)
		r.refuse(persimwire.Reason_REASON_INVALID, "the engine rejected the request")
		return true
	default:
		r.scheduler.end(attempt, persimpolicy.ResultFailed)
		return running == 0 && !r.retry(result, false)
	}
}

// retry queues another attempt; it refuses the request and reports false when there is none.
func (r *runner) retry(result attemptResult, forced bool) bool {
	address := result.dispatch.Upstream.Address
	klog.V(1).Infof("runner: attempt %s on %s ended: %v", result.dispatch.Attempt, address, result.err)
	cause := recomputedRetry
	if forced {
		cause = recomputedReclaim
		r.exportCache(result.dispatch)
	}
	if errors.Is(result.err, persimupstream.ErrNotRun) || !r.host.isCurrent() {
		// An isolated host leaves the request to the holder of its replica.
		r.tries--
	}
	if r.tries >= r.job.Profile.MaxAttempts && !forced {
		r.refuse(persimwire.Reason_REASON_UPSTREAM, "no attempts are left")
		return false
	}
	r.avoid(address)
	if r.requeue(forced, cause) {
		return true
	}
	if time.Until(r.flight.Deadline()) < retryPause {
		r.refuse(persimwire.Reason_REASON_UPSTREAM, "the upstream failed and no time is left")
		return false
	}
	r.requeueLater(cause)
	return true
}

// avoid excludes an upstream from the next attempts, but never all of the group.
func (r *runner) avoid(address string) {
	if slices.Contains(r.avoided, address) {
		return
	}
	r.avoided = append(r.avoided, address)
	if extra := len(r.avoided) + 1 - len(r.scheduler.status()); extra > 0 {
		r.avoided = r.avoided[min(extra, len(r.avoided)):]
	}
}

// requeueLater queues another attempt once the retry budget permits it. An
// accepted request waits for the budget within its deadline.
func (r *runner) requeueLater(cause string) {
	time.AfterFunc(retryPause, func() {
		role, _ := r.flight.Role()
		late := time.Now().After(r.flight.Deadline())
		if late || role != persimflight.RoleOwner || r.requeue(false, cause) {
			return
		}
		r.requeueLater(cause)
	})
}

func (r *runner) requeue(forced bool, cause string) bool {
	state := r.flight.State(time.Now())
	r.mu.Lock()
	r.winner = ""
	again := r.cache == "" && r.ran
	r.mu.Unlock()
	r.job = r.job.WithDone(len(state.GetTokens())).WithAvoid(r.avoided...)
	if again {
		r.host.metrics.Recomputed(cause, r.job.PromptTokens+r.job.Done)
	}
	return r.scheduler.requeue(r.job, forced)
}

func (r *runner) refuseBy(refusal persimpolicy.Refusal) {
	wire := policyRefusal(refusal)
	if r.mayHaveRun() {
		wire.Outcome = persimwire.Outcome_OUTCOME_UNKNOWN
	}
	r.flight.Refuse(wire)
}

func (r *runner) mayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran
}

// refuse ends the request; it says "not run" only if no attempt may have run.
func (r *runner) refuse(reason persimwire.Reason, message string) {
	if r.mayHaveRun() {
		r.flight.Refuse(unknown(reason, message))
		return
	}
	r.flight.Refuse(notRun(reason, message))
}
