package persimmonport

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"k8s.io/klog/v2"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimledger"
	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimupstream"
	"persimmonport.example/persimwire"
)

const (
	// finalReplicationTimeout bounds how long a finished call waits for its replica to hold
	// the final state.
	finalReplicationTimeout = 500 * time.Millisecond
	// lookupTimeout bounds the check for an earlier call with the same key.
	lookupTimeout = 2 * time.Second
	// maxFreshKeyAge is the age up to which a key counts as sent for the first time.
	maxFreshKeyAge = 2 * time.Second
	// remotePollInterval is the time between two queries for a call on another host.
	remotePollInterval = 50 * time.Millisecond
)

func (c callerService) Call(ctx context.Context, req *connect.Request[persimwire.CallRequest]) (*connect.Response[persimwire.CallResponse], error) {
	organisation, refusal := c.host.identities.organisation(req.Header())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	response, refusal := c.host.call(ctx, organisation, req.Msg)
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	return connect.NewResponse(response), nil
}

// callRunner runs one call to a plain service, that is, one other than a model.
type callRunner struct {
	host       *host
	flight     *persimflight.Flight
	job        persimpolicy.Job
	scheduler  *scheduler
	sub        *subscription
	request    *persimwire.CallRequest
	atMostOnce bool
	// mayBeDuplicate is set when an earlier call may have used the key.
	mayBeDuplicate bool
	received       time.Time
	// retention is how long the other hosts keep a finished call.
	retention    time.Duration
	claim        persimledger.Claim
	claimed      bool
	attemptCount int
	// mayHaveRun is set once a service may have run the call.
	mayHaveRun bool
	// duplicate is set when the answer comes from an earlier call with the same key.
	duplicate atomic.Bool
}

func (h *host) call(ctx context.Context, organisation string, msg *persimwire.CallRequest) (*persimwire.CallResponse, *persimwire.Refusal) {
	h.openCalls.Add(1)
	defer h.openCalls.Add(-1)
	service, profile, refusal := h.checkCall(msg)
	if refusal != nil {
		return nil, refusal
	}
	c := &callRunner{
		host:       h,
		request:    msg,
		atMostOnce: service.RunsAtMostOnce(msg.GetMethod()),
		received:   time.Now(),
		retention:  profile.Retention.Std(),
	}
	if refusal := c.initClaim(organisation); refusal != nil {
		return nil, refusal
	}
	deadline := time.Now().Add(effectivePatience(msg.GetPatience(), profile))
	state := c.newFlightState(organisation, profile, deadline)
	f, created, refusal := c.start(state, service, profile, deadline)
	if refusal != nil {
		ctx, cancel := h.untilClosed(ctx)
		defer cancel()
		return c.confirmNotRun(ctx, organisation, refusal)
	}
	if !created {
		return h.joinCall(ctx, f, c.claim)
	}
	go c.run()
	return h.awaitCall(ctx, f, &c.duplicate)
}

// start queues a call, or returns the call with the same key that this host
// already runs. It reports whether the call is new.
func (c *callRunner) start(state *persimwire.Flight, service persimprofile.Service, profile persimprofile.Profile, deadline time.Time) (*persimflight.Flight, bool, *persimwire.Refusal) {
	if refusal := c.host.checkAccepting(); refusal != nil {
		return nil, false, refusal
	}
	f, created, err := c.host.flights.Add(state, "")
	if err != nil {
		return nil, false, withRetryAfter(notRunRefusal(persimwire.Reason_REASON_OVERLOADED, "too many requests in progress"), time.Second)
	}
	if !created {
		return f, false, nil
	}
	if refusal := c.admit(f, state, service, profile, deadline); refusal != nil {
		c.host.flights.Drop(f.ID())
		return nil, false, refusal
	}
	return f, true, nil
}

func (h *host) checkCall(msg *persimwire.CallRequest) (persimprofile.Service, persimprofile.Profile, *persimwire.Refusal) {
	service, profile, refusal := h.checkService(msg.GetService())
	switch {
	case refusal != nil:
		return service, profile, refusal
	case msg.GetMethod() == "" || len(msg.GetMethod()) > maxNameBytes:
		refusal = notRunRefusal(persimwire.Reason_REASON_INVALID, "method is missing or too long")
	case len(msg.GetBody()) > h.settings.Limits.MaxBodyBytes:
		refusal = notRunRefusal(persimwire.Reason_REASON_INVALID, "body is too long")
	case len(msg.GetKey()) > maxNameBytes:
		refusal = notRunRefusal(persimwire.Reason_REASON_KEY, "key is too long")
	case msg.GetPatience() != nil && msg.GetPatience().AsDuration() <= 0:
		refusal = notRunRefusal(persimwire.Reason_REASON_DEADLINE, "patience has already ended")
	}
	return service, profile, refusal
}

// initClaim validates the key of a call that must run at most once and prepares
// its claim for the ledger.
func (c *callRunner) initClaim(organisation string) *persimwire.Refusal {
	if !c.atMostOnce {
		return nil
	}
	content := append([]byte(c.request.GetMethod()+"\x00"), c.request.GetBody()...)
	claim, err := persimledger.NewClaim(organisation, c.request.GetService(), c.request.GetKey(), content)
	if err != nil {
		return notRunRefusal(persimwire.Reason_REASON_KEY, "the key must be a UUID of version 7")
	}
	c.claim = claim
	c.mayBeDuplicate = c.request.GetRepeated() || time.Since(claim.Issued) > maxFreshKeyAge
	return nil
}

// newFlightState returns the initial state of a call. For a call that must run at
// most once it also makes this request the claimant.
func (c *callRunner) newFlightState(organisation string, profile persimprofile.Profile, deadline time.Time) *persimwire.Flight {
	state := &persimwire.Flight{
		Id:           newID(c.host.name(), c.host.pickReplica("")),
		Organisation: organisation,
		Kind:         persimwire.FlightKind_FLIGHT_KIND_CALL,
		Service:      c.request.GetService(),
		Remaining:    durationpb.New(time.Until(deadline)),
		Phase:        persimwire.Phase_PHASE_QUEUED,
		Retention:    durationpb.New(profile.Retention.Std()),
	}
	if c.atMostOnce {
		state.Key = c.claim.Key[:]
		state.Body = c.claim.BodyHash[:]
		c.claim = c.claim.WithClaimant(rand.Uint64(), state.GetId())
	}
	return state
}

func (c *callRunner) admit(f *persimflight.Flight, state *persimwire.Flight, service persimprofile.Service, profile persimprofile.Profile, deadline time.Time) *persimwire.Refusal {
	c.flight = f
	c.scheduler = c.host.schedulers.get(service.Group)
	c.job = c.host.newJob(state, profile, deadline)
	c.job.MaxTokens = 1
	c.job.Unrepeatable = c.atMostOnce
	sub, refusal := c.scheduler.submit(c.job)
	if refusal != nil {
		return refusal
	}
	c.sub = sub
	if c.atMostOnce {
		f.SetReplica(hostsInID(f.ID())[1])
	}
	return nil
}

// awaitCall waits until a call on this host ends, and returns its answer or refusal.
func (h *host) awaitCall(ctx context.Context, f *persimflight.Flight, duplicate *atomic.Bool) (*persimwire.CallResponse, *persimwire.Refusal) {
	for {
		view, err := f.View(0, nil)
		if err != nil {
			return nil, unknownOutcomeRefusal(persimwire.Reason_REASON_NOT_FOUND, "the request has gone")
		}
		state := f.State(time.Now())
		switch view.Phase {
		case persimwire.Phase_PHASE_DONE:
			if !duplicate.Load() {
				replicationCtx, cancel := context.WithTimeout(ctx, finalReplicationTimeout)
				f.AwaitFinalReplication(replicationCtx)
				cancel()
			}
			return &persimwire.CallResponse{Id: f.ID(), Body: state.GetAnswer(), Duplicate: duplicate.Load()}, nil
		case persimwire.Phase_PHASE_FAILED:
			refusal := cloneRefusal(state.GetRefusal())
			refusal.Id = f.ID()
			return nil, refusal
		default:
		}
		select {
		case <-view.Changed:
		case <-ctx.Done():
			return nil, unknownOutcomeRefusal(persimwire.Reason_REASON_CANCELLED, "the caller has left")
		case <-h.closed:
			moved := unknownOutcomeRefusal(persimwire.Reason_REASON_DRAINING, "the host is shutting down; ask again with the same key")
			moved.Id = f.ID()
			return nil, moved
		}
	}
}

// joinCall returns the answer of the first call with the same key to a duplicate.
func (h *host) joinCall(ctx context.Context, f *persimflight.Flight, claim persimledger.Claim) (*persimwire.CallResponse, *persimwire.Refusal) {
	state := f.State(time.Now())
	if string(state.GetBody()) != string(claim.BodyHash[:]) {
		return nil, otherBodyRefusal()
	}
	var duplicate atomic.Bool
	duplicate.Store(true)
	return h.awaitCall(ctx, f, &duplicate)
}

// run waits for an upstream, claims the call if it must run at most once, and sends it.
func (c *callRunner) run() {
	defer c.scheduler.close(c.job.ID)
	defer c.host.recordEnd(c.flight, c.job)
	ctx, cancel := context.WithDeadline(c.host.requestCtx, c.flight.Deadline())
	defer cancel()
	for {
		select {
		case d := <-c.sub.dispatches:
			if c.attempt(ctx, d) {
				return
			}
		case refusal := <-c.sub.refusals:
			c.refuse(policyRefusal(refusal))
			return
		case <-ctx.Done():
			c.refuse(notRunRefusal(persimwire.Reason_REASON_DEADLINE, "the caller's patience has ended"))
			return
		}
	}
}

// refuse refuses a call. Its outcome is "not run" only if it was not sent, or every upstream
// refused it before running it.
func (c *callRunner) refuse(refusal *persimwire.Refusal) {
	if !c.mayHaveRun {
		c.refuseNotRun(refusal)
		return
	}
	refusal.Outcome = persimwire.Outcome_OUTCOME_UNKNOWN
	c.flight.Refuse(refusal)
}

// refuseNotRun refuses a call that no upstream has run, unless another request with its key has.
func (c *callRunner) refuseNotRun(refusal *persimwire.Refusal) {
	if c.claimed {
		c.host.ledger.RecordOutcome(c.claim.WithState(persimledger.StateNotRun))
		c.flight.Refuse(refusal)
		return
	}
	defer c.host.flights.Drop(c.flight.ID())
	ctx, cancel := context.WithTimeout(c.host.requestCtx, lookupTimeout)
	defer cancel()
	response, refusal := c.confirmNotRun(ctx, c.job.Organisation, refusal)
	if refusal != nil {
		c.flight.Refuse(refusal)
		return
	}
	c.duplicate.Store(true)
	c.flight.FinishCall(response.GetBody())
}

// attempt sends the call to one upstream and reports whether the call has ended.
func (c *callRunner) attempt(ctx context.Context, d persimpolicy.Dispatch) bool {
	if c.atMostOnce && !c.claimed && !c.acquireClaim(ctx, d) {
		return true
	}
	c.attemptCount++
	c.flight.BeginAttempt(c.attemptCount, d.Upstream.Address, "")
	body, err := c.host.service.Do(ctx, d.Upstream.Address, persimupstream.Call{
		Method:         c.request.GetMethod(),
		Body:           c.request.GetBody(),
		IdempotencyKey: c.request.GetKey(),
	})
	switch {
	case err == nil:
		c.scheduler.progress(d.Attempt)
		c.scheduler.endAttempt(d.Attempt, persimpolicy.ResultDone)
		c.recordOutcome(persimledger.StateDone)
		c.flight.FinishCall(body)
		return true
	case errors.Is(err, persimupstream.ErrNotRun):
		c.scheduler.endAttempt(d.Attempt, persimpolicy.ResultFailed)
		return c.retry(d)
	case errors.Is(err, persimupstream.ErrRejected):
		c.scheduler.endAttempt(d.Attempt, persimpolicy.ResultCancelled)
		c.recordOutcome(persimledger.StateDone)
		c.flight.Refuse(unknownOutcomeRefusal(persimwire.Reason_REASON_INVALID, "the service rejected the call"))
		return true
	default:
		c.mayHaveRun = true
		c.scheduler.endAttempt(d.Attempt, persimpolicy.ResultFailed)
		return c.retry(d)
	}
}

// recordOutcome records the outcome of a call that must run at most once in the ledger.
func (c *callRunner) recordOutcome(state persimledger.State) {
	if c.atMostOnce {
		c.host.ledger.RecordOutcome(c.claim.WithState(state))
	}
}

// retry queues another attempt and returns false, or ends the call and returns
// true. A call that must run at most once is retried only if it has provably not run.
func (c *callRunner) retry(d persimpolicy.Dispatch) bool {
	c.job = c.job.WithAvoid(d.Upstream.Address)
	mayRepeat := !c.atMostOnce || !c.mayHaveRun
	if mayRepeat && c.attemptCount < c.job.Profile.MaxAttempts && c.scheduler.requeue(c.job, false) {
		return false
	}
	message := "no upstream took the call"
	if c.mayHaveRun {
		message = "the service did not answer"
	}
	c.refuse(notRunRefusal(persimwire.Reason_REASON_UPSTREAM, message))
	return true
}

// acquireClaim claims the call in the ledger and reports whether it may be sent.
func (c *callRunner) acquireClaim(ctx context.Context, d persimpolicy.Dispatch) bool {
	recorded, err := c.host.ledger.Claim(ctx, c.claim)
	if err != nil {
		c.scheduler.endAttempt(d.Attempt, persimpolicy.ResultCancelled)
		c.refuseNotRun(claimRefusal(err))
		return false
	}
	if !recorded.GrantedTo(c.claim) {
		c.scheduler.endAttempt(d.Attempt, persimpolicy.ResultCancelled)
		c.answerFromRecordedClaim(ctx, recorded)
		return false
	}
	c.claimed = true
	if ctx.Err() != nil {
		c.scheduler.endAttempt(d.Attempt, persimpolicy.ResultCancelled)
		c.refuseNotRun(notRunRefusal(persimwire.Reason_REASON_DEADLINE, "the caller's patience has ended"))
		return false
	}
	return true
}

func claimRefusal(err error) *persimwire.Refusal {
	switch {
	case errors.Is(err, persimledger.ErrKeyExpired):
		return unknownOutcomeRefusal(persimwire.Reason_REASON_KEY, "the key is older than the retention window")
	case errors.Is(err, persimledger.ErrKeyInFuture):
		return notRunRefusal(persimwire.Reason_REASON_KEY, "the time of the key lies in the future")
	default:
		return withRetryAfter(notRunRefusal(persimwire.Reason_REASON_STORE, "the platform did not confirm the claim in time"), time.Second)
	}
}

// answerFromRecordedClaim answers a call whose key another request has claimed.
func (c *callRunner) answerFromRecordedClaim(ctx context.Context, recorded persimledger.Claim) {
	defer c.host.flights.Drop(c.flight.ID())
	if !recorded.SameBody(c.claim) {
		c.flight.Refuse(otherBodyRefusal())
		return
	}
	if state, ok := c.host.awaitRemoteCall(ctx, c.job.Organisation, recorded.RequestID); ok {
		c.copyAnswer(state)
		return
	}
	klog.V(1).Infof("call: no host holds the answer of %s", recorded.RequestID)
	c.flight.Refuse(claimStateRefusal(recorded.State))
}

func (c *callRunner) copyAnswer(state *persimwire.Flight) {
	c.duplicate.Store(true)
	if state.GetPhase() == persimwire.Phase_PHASE_DONE {
		c.flight.FinishCall(state.GetAnswer())
		return
	}
	c.flight.Refuse(cloneRefusal(state.GetRefusal()))
}
