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
	settleWait = 500 * time.Millisecond
	lookupWait = 2 * time.Second
	// freshKey is the age up to which a key counts as sent for the first time.
	freshKey     = 2 * time.Second
	pollInterval = 50 * time.Millisecond
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

// caller runs one call of a plain service.
type caller struct {
	host      *host
	flight    *persimflight.Flight
	job       persimpolicy.Job
	scheduler *scheduler
	ticket    *ticket
	message   *persimwire.CallRequest
	once      bool
	// mayRepeat is set when the key may have been sent before.
	mayRepeat bool
	arrived   time.Time
	// retention is how long the other hosts remember a finished call.
	retention time.Duration
	claim     persimledger.Claim
	claimed   bool
	tries     int
	// duplicate is set when the answer is that of an earlier call with the same key.
	duplicate atomic.Bool
}

func (h *host) call(ctx context.Context, organisation string, msg *persimwire.CallRequest) (*persimwire.CallResponse, *persimwire.Refusal) {
	h.calls.Add(1)
	defer h.calls.Add(-1)
	service, profile, refusal := h.checkCall(msg)
	if refusal != nil {
		return nil, refusal
	}
	c := &caller{
		host:      h,
		message:   msg,
		once:      service.RunsOnce(msg.GetMethod()),
		arrived:   time.Now(),
		retention: profile.Retention.Std(),
	}
	if refusal := c.identify(organisation); refusal != nil {
		return nil, refusal
	}
	deadline := time.Now().Add(patienceOf(msg.GetPatience(), profile))
	state := c.state(organisation, profile, deadline)
	f, fresh, refusal := c.begin(state, service, profile, deadline)
	if refusal != nil {
		return c.verified(ctx, organisation, refusal)
	}
	if !fresh {
		return h.joinCall(ctx, f, c.claim)
	}
	go c.run()
	return h.awaitCall(ctx, f, &c.duplicate)
}

// begin queues a call, or returns the call with the same key that this host runs.
func (c *caller) begin(state *persimwire.Flight, service persimprofile.Service, profile persimprofile.Profile, deadline time.Time) (*persimflight.Flight, bool, *persimwire.Refusal) {
	if refusal := c.host.checkOpen(); refusal != nil {
		return nil, false, refusal
	}
	f, fresh, err := c.host.flights.Add(state, "")
	if err != nil {
		return nil, false, withRetryAfter(notRun(persimwire.Reason_REASON_OVERLOADED, "too many requests in progress"), time.Second)
	}
	if !fresh {
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
		refusal = notRun(persimwire.Reason_REASON_INVALID, "method is missing or too long")
	case len(msg.GetBody()) > h.settings.Limits.Body:
		refusal = notRun(persimwire.Reason_REASON_INVALID, "body is too long")
	case len(msg.GetKey()) > maxNameBytes:
		refusal = notRun(persimwire.Reason_REASON_KEY, "key is too long")
	case msg.GetPatience() != nil && msg.GetPatience().AsDuration() <= 0:
		refusal = notRun(persimwire.Reason_REASON_DEADLINE, "patience has already ended")
	}
	return service, profile, refusal
}

// identify checks the key of a call that must run at most once.
func (c *caller) identify(organisation string) *persimwire.Refusal {
	if !c.once {
		return nil
	}
	content := append([]byte(c.message.GetMethod()+"\x00"), c.message.GetBody()...)
	claim, err := persimledger.NewClaim(organisation, c.message.GetService(), c.message.GetKey(), content)
	if err != nil {
		return notRun(persimwire.Reason_REASON_KEY, "the key must be a UUID of version 7")
	}
	c.claim = claim
	c.mayRepeat = c.message.GetRepeated() || time.Since(claim.Issued) > freshKey
	return nil
}

func (c *caller) state(organisation string, profile persimprofile.Profile, deadline time.Time) *persimwire.Flight {
	state := &persimwire.Flight{
		Id:           newID(c.host.name(), c.host.pickReplica("")),
		Organisation: organisation,
		Kind:         persimwire.FlightKind_FLIGHT_KIND_CALL,
		Service:      c.message.GetService(),
		Remaining:    durationpb.New(time.Until(deadline)),
		Phase:        persimwire.Phase_PHASE_QUEUED,
		Retention:    durationpb.New(profile.Retention.Std()),
	}
	if c.once {
		state.Key = c.claim.Key[:]
		state.Body = c.claim.Body[:]
		c.claim = c.claim.WithClaimant(rand.Uint64(), state.GetId())
	}
	return state
}

func (c *caller) admit(f *persimflight.Flight, state *persimwire.Flight, service persimprofile.Service, profile persimprofile.Profile, deadline time.Time) *persimwire.Refusal {
	c.flight = f
	c.scheduler = c.host.schedulers.get(service.Group)
	c.job = c.host.newJob(state, profile, deadline)
	c.job.MaxTokens = 1
	c.job.Unrepeatable = c.once
	t, refusal := c.scheduler.offer(c.job)
	if refusal != nil {
		return refusal
	}
	c.ticket = t
	if c.once {
		f.SetReplica(hostsOf(f.ID())[1])
	}
	return nil
}

// awaitCall waits for the end of a call that this host runs.
func (h *host) awaitCall(ctx context.Context, f *persimflight.Flight, duplicate *atomic.Bool) (*persimwire.CallResponse, *persimwire.Refusal) {
	for {
		view, err := f.View(0, nil)
		if err != nil {
			return nil, unknown(persimwire.Reason_REASON_NOT_FOUND, "the request has gone")
		}
		state := f.State(time.Now())
		switch view.Phase {
		case persimwire.Phase_PHASE_DONE:
			if !duplicate.Load() {
				wait, cancel := context.WithTimeout(ctx, settleWait)
				f.AwaitSettled(wait)
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
			return nil, unknown(persimwire.Reason_REASON_CANCELLED, "the caller has left")
		case <-h.closed:
			moved := unknown(persimwire.Reason_REASON_DRAINING, "the host is shutting down; ask again with the same key")
			moved.Id = f.ID()
			return nil, moved
		}
	}
}

// joinCall gives a duplicate the answer of the first call with its key.
func (h *host) joinCall(ctx context.Context, f *persimflight.Flight, claim persimledger.Claim) (*persimwire.CallResponse, *persimwire.Refusal) {
	state := f.State(time.Now())
	if string(state.GetBody()) != string(claim.Body[:]) {
		return nil, notRun(persimwire.Reason_REASON_KEY, "the key was used with another body")
	}
	var duplicate atomic.Bool
	duplicate.Store(true)
	return h.awaitCall(ctx, f, &duplicate)
}

// run waits for an upstream, claims the call if it must run at most once, and sends it.
func (c *caller) run() {
	defer c.scheduler.close(c.job.ID)
	defer c.host.recordEnd(c.flight, c.job)
	ctx, cancel := context.WithDeadline(c.host.work, c.flight.Deadline())
	defer cancel()
	for {
		select {
		case d := <-c.ticket.starts:
			if c.attempt(ctx, d) {
				return
			}
		case refusal := <-c.ticket.refused:
			c.refuseNotRun(policyRefusal(refusal))
			return
		case <-ctx.Done():
			c.refuseNotRun(notRun(persimwire.Reason_REASON_DEADLINE, "the caller's patience has ended"))
			return
		}
	}
}

// refuseNotRun ends a call of which nothing was sent, or whose upstreams all refused it.
func (c *caller) refuseNotRun(refusal *persimwire.Refusal) {
	if c.claimed {
		c.host.ledger.Settle(c.claim.WithState(persimledger.StateNotRun))
		c.flight.Refuse(refusal)
		return
	}
	defer c.host.flights.Drop(c.flight.ID())
	ctx, cancel := context.WithTimeout(c.host.work, lookupWait)
	defer cancel()
	response, refusal := c.verified(ctx, c.job.Organisation, refusal)
	if refusal != nil {
		c.flight.Refuse(refusal)
		return
	}
	c.duplicate.Store(true)
	c.flight.Answer(response.GetBody())
}

// attempt makes one attempt and reports whether the call is over.
func (c *caller) attempt(ctx context.Context, d persimpolicy.Dispatch) bool {
	if c.once && !c.claimed && !c.obtainClaim(ctx, d) {
		return true
	}
	c.tries++
	c.flight.Begin(c.tries, d.Upstream.Address, "")
	body, err := c.host.service.Do(ctx, d.Upstream.Address, persimupstream.Call{
		Method: c.message.GetMethod(),
		Body:   c.message.GetBody(),
		Key:    c.message.GetKey(),
	})
	switch {
	case err == nil:
		c.scheduler.progress(d.Attempt)
		c.scheduler.end(d.Attempt, persimpolicy.ResultDone)
		c.settle(persimledger.StateDone)
		c.flight.Answer(body)
		return true
	case errors.Is(err, persimupstream.ErrNotRun):
		c.scheduler.end(d.Attempt, persimpolicy.ResultFailed)
		return c.again(d, true)
	case errors.Is(err, persimupstream.ErrRejected):
		c.scheduler.end(d.Attempt, persimpolicy.ResultCancelled)
		c.settle(persimledger.StateDone)
		c.flight.Refuse(unknown(persimwire.Reason_REASON_INVALID, "the service rejected the call"))
		return true
	default:
		c.scheduler.end(d.Attempt, persimpolicy.ResultFailed)
		return c.again(d, false)
	}
}

func (c *caller) settle(state persimledger.State) {
	if c.once {
		c.host.ledger.Settle(c.claim.WithState(state))
	}
}

// again queues another attempt and reports whether the call is over instead. A
// call that must run at most once is repeated only if it has provably not run.
func (c *caller) again(d persimpolicy.Dispatch, notRunYet bool) bool {
	if c.once && !notRunYet {
		c.flight.Refuse(unknown(persimwire.Reason_REASON_UPSTREAM, "the service did not answer"))
		return true
	}
	c.job = c.job.WithAvoid(d.Upstream.Address)
	if c.tries < c.job.Profile.MaxAttempts && c.scheduler.requeue(c.job, false) {
		return false
	}
	if notRunYet && (c.once || c.tries == 1) {
		c.refuseNotRun(notRun(persimwire.Reason_REASON_UPSTREAM, "no upstream took the call"))
		return true
	}
	c.flight.Refuse(unknown(persimwire.Reason_REASON_UPSTREAM, "the service did not answer"))
	return true
}

// obtainClaim claims the call at the ledger and reports whether it may be sent.
func (c *caller) obtainClaim(ctx context.Context, d persimpolicy.Dispatch) bool {
	inForce, err := c.host.ledger.Claim(ctx, c.claim)
	if err != nil {
		c.scheduler.end(d.Attempt, persimpolicy.ResultCancelled)
		c.refuseNotRun(claimRefusal(err))
		return false
	}
	if !inForce.GrantedTo(c.claim) {
		c.scheduler.end(d.Attempt, persimpolicy.ResultCancelled)
		c.concede(ctx, inForce)
		return false
	}
	c.claimed = true
	if ctx.Err() != nil {
		c.scheduler.end(d.Attempt, persimpolicy.ResultCancelled)
		c.refuseNotRun(notRun(persimwire.Reason_REASON_DEADLINE, "the caller's patience has ended"))
		return false
	}
	return true
}

func claimRefusal(err error) *persimwire.Refusal {
	switch {
	case errors.Is(err, persimledger.ErrExpired):
		return unknown(persimwire.Reason_REASON_KEY, "the key is older than the retention window")
	case errors.Is(err, persimledger.ErrFuture):
		return notRun(persimwire.Reason_REASON_KEY, "the time of the key lies in the future")
	default:
		return withRetryAfter(notRun(persimwire.Reason_REASON_STORE, "the platform did not confirm the claim in time"), time.Second)
	}
}

// concede answers a call whose key another claimant holds.
func (c *caller) concede(ctx context.Context, inForce persimledger.Claim) {
	defer c.host.flights.Drop(c.flight.ID())
	if !inForce.SameBody(c.claim) {
		c.flight.Refuse(notRun(persimwire.Reason_REASON_KEY, "the key was used with another body"))
		return
	}
	if state, ok := c.host.awaitElsewhere(ctx, c.job.Organisation, inForce.ID); ok {
		c.adoptAnswer(state)
		return
	}
	klog.V(1).Infof("call: no host holds the answer of %s", inForce.ID)
	c.flight.Refuse(claimOutcome(inForce.State))
}

func (c *caller) adoptAnswer(state *persimwire.Flight) {
	c.duplicate.Store(true)
	if state.GetPhase() == persimwire.Phase_PHASE_DONE {
		c.flight.Answer(state.GetAnswer())
		return
	}
	c.flight.Refuse(cloneRefusal(state.GetRefusal()))
}
