package persimfront

import (
	"context"
	"errors"
	"net/http"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimplace"
)

// attemptResult is the result of an attempt as seen by the retry loop.
type attemptResult int

const (
	// resultDone means that the caller has its response or that its connection was
	// aborted.
	resultDone attemptResult = iota
	// resultNotRun means that the upstream did not run the request.
	resultNotRun
	// resultUnknown means that the upstream may have run the request and that nothing
	// was sent to the caller.
	resultUnknown
	// resultErrorResponse means that the upstream responded with a server error, which
	// is kept and sent to the caller if no other attempt succeeds.
	resultErrorResponse
)

// A repeatable request whose upstream stays silent is sent to another one after
// silenceFactor times the expected wait, but no earlier than after minSilence plus
// silencePerHost for each host, up to maxSilence: the more hosts there are, the less
// often each one hears from an upstream, but hubs pass on what others hear.
const (
	silenceFactor  = 3
	minSilence     = 350 * time.Millisecond
	silencePerHost = 10 * time.Millisecond
	maxSilence     = time.Second
	// maxConnectFailures is the number of upstreams that may be unreachable for one
	// request. Nothing is sent to them, so they do not count as attempts.
	maxConnectFailures = 4
	// causeUpstreamFailed is the cause of a server error of an upstream.
	causeUpstreamFailed = "upstream failed"
	// minRetryTime is the time before the deadline below which a retry is not worthwhile.
	minRetryTime = 60 * time.Millisecond
)

// forward sends the request to one upstream after another until there is a final
// response.
func (c *call) forward(ctx context.Context, w http.ResponseWriter) {
	var errorResponse *bufferedResponse
	cause := ""
	for c.attempts < c.route.MaxAttempts && c.connectFailures < maxConnectFailures {
		if !c.mayRetry() {
			break
		}
		choice, refused := c.chooseUpstream()
		if refused != nil {
			cause = refused.cause
			if c.attempts == 0 {
				c.refund()
				c.refuse(w, *refused)
				return
			}
			break
		}
		result, response, attemptCause := c.sendAttempt(ctx, w, choice)
		cause = attemptCause
		if result == resultDone {
			return
		}
		if response != nil {
			errorResponse = response
		}
		if ctx.Err() != nil || c.mayHaveRun() && !c.route.Repeatable() || c.crashedUpstream(ctx) {
			break
		}
	}
	c.respondError(ctx, w, errorResponse, cause)
}

// respondError responds after the attempts have failed: with the last server error
// of an upstream if there is one, otherwise with a refusal. It aborts the connection
// if the caller has left.
func (c *call) respondError(ctx context.Context, w http.ResponseWriter, errorResponse *bufferedResponse, cause string) {
	switch {
	case c.request.Context().Err() != nil:
		c.record(0, c.leftCause())
		panic(http.ErrAbortHandler)
	case errorResponse != nil:
		c.send(w, errorResponse, causeUpstreamFailed)
	case ctx.Err() != nil && (c.mayHaveRun() || c.front.aborted.Err() == nil):
		c.refuse(w, refusal{status: http.StatusGatewayTimeout, cause: c.endCause() + ": " + cause})
	case c.mayHaveRun():
		c.refuse(w, refusal{status: http.StatusBadGateway, cause: cause})
	default:
		c.refund()
		c.refuse(w, refusal{status: http.StatusServiceUnavailable, cause: cause, retryDelay: max(minRetryAfter, c.wait()), longDelay: true})
	}
}

// wait returns the time until an upstream takes a request that none has run, or zero if one
// does now.
func (c *call) wait() time.Duration {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c.placement.Exclude = nil
	choice, ok := c.chooseAs(time.Now(), c.version.assignment)
	if ok {
		return 0
	}
	return choice.Wait
}

// endCause returns why a request was ended by this host.
func (c *call) endCause() string {
	if c.front.aborted.Err() != nil {
		return "host stops"
	}
	return "time is over"
}

// mayRetry reports whether another attempt may begin. One that follows an attempt is a retry,
// which is counted in the budget once.
func (c *call) mayRetry() bool {
	if c.attempts == c.retriedAttempts {
		return true
	}
	if !c.withdrawRetry() {
		return false
	}
	c.retriedAttempts = c.attempts
	return true
}

// reserveRetry counts a retry before it is known to be needed. It reports false if the request
// may not be sent to another upstream.
func (c *call) reserveRetry() bool {
	return c.route.Repeatable() && c.attempts < c.route.MaxAttempts && c.mayRetry()
}

// withdrawRetry counts a retry in the budget. It reports false if the budget is
// used up or too little time is left.
func (c *call) withdrawRetry() bool {
	if time.Until(c.deadline) < minRetryTime {
		return false
	}
	f := c.front
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.budget(now, c.service).Withdraw(now)
}

// chooseUpstream returns an upstream, or a refusal if no upstream can serve the
// request in time.
func (c *call) chooseUpstream() (persimplace.Choice, *refusal) {
	f := c.front
	if f.upstreamsTooOld() {
		return persimplace.Choice{}, &refusal{status: http.StatusServiceUnavailable, cause: "list of upstreams is old", retryDelay: minRetryAfter}
	}
	now := time.Now()
	c.placement.Exclude = c.tried
	f.mu.Lock()
	defer f.mu.Unlock()
	if refused := c.checkQuarantine(now); refused != nil {
		return persimplace.Choice{}, refused
	}
	maxWait := min(c.deadline.Sub(now), c.maxExpectedWait())
	choice, ok := c.place(now, maxWait)
	c.countPassedOver(choice)
	if !ok {
		return choice, refusalWithoutUpstream(choice)
	}
	firstAttempt := c.attempts+c.connectFailures == 0
	if firstAttempt {
		f.dispatcher.addDemand(now, c.service, Demand{PrefillTokens: float64(choice.PrefillTokens)})
		if refused := c.checkShare(now, choice, maxWait); refused != nil {
			return choice, refused
		}
	}
	if firstAttempt && choice.Expected > maxWait {
		f.dispatcher.addDemand(now, c.service, Demand{Refused: 1})
		return choice, &refusal{
			status: http.StatusServiceUnavailable, cause: causeFull, retryDelay: choice.Expected - maxWait,
		}
	}
	f.dispatcher.pressure.Take(now, choice.Upstream.Hash())
	return choice, nil
}

// refusalWithoutUpstream returns the refusal of a request for which there is no upstream.
func refusalWithoutUpstream(choice persimplace.Choice) *refusal {
	if choice.Wait > 0 {
		return &refusal{status: http.StatusServiceUnavailable, cause: "upstreams ask to wait", retryDelay: choice.Wait, longDelay: true}
	}
	return &refusal{status: http.StatusServiceUnavailable, cause: "no upstream", retryDelay: maxRetryAfter}
}

// countPassedOver counts a request for which upstreams that ask for it were left out.
func (c *call) countPassedOver(choice persimplace.Choice) {
	c.passedOver += choice.PassedOver
	if choice.PassedOver > 0 && c.front.metrics != nil {
		c.front.metrics.Count("requests_sent_elsewhere")
	}
}

// maxExpectedWait returns the expected time to the first response beyond which the
// request is refused rather than sent.
func (c *call) maxExpectedWait() time.Duration {
	if c.route.Target <= 0 || c.placement.Tokens == 0 {
		return c.route.Timeout
	}
	return time.Duration(float64(c.route.Target) * targetTolerance)
}

// sendAttempt sends the request to the chosen upstream and relays a valid response. It
// returns the result, a server error to send if no other attempt succeeds, and the cause
// of a failure.
func (c *call) sendAttempt(ctx context.Context, w http.ResponseWriter, choice persimplace.Choice) (attemptResult, *bufferedResponse, string) {
	conn, cause := c.connect(ctx, choice)
	if conn == nil {
		return resultNotRun, nil, cause
	}
	f := c.front
	if f.metrics != nil {
		f.metrics.UpstreamsAge(f.rosterProof.age(persimclock.Now()))
	}
	a, started := c.start(choice)
	if !started {
		c.withdraw(conn, choice)
		return resultNotRun, nil, causeWithdrawn
	}
	defer a.endUnobserved()
	c.attempts++
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := a.watchSilence(cancel, choice.Expected)
	exchange, err := c.exchange(ctx, conn, choice.Upstream, c.upstreamRequest(ctx, choice.Upstream))
	stop()
	if err != nil {
		return a.handleSendError(err)
	}
	if !a.phase.CompareAndSwap(phaseWaiting, phaseResponded) {
		exchange.Abandon()
		return a.handleSendError(persimconn.ErrUnknown)
	}
	return a.handleResponse(ctx, w, exchange)
}

// connect returns a connection to the chosen upstream, or nil and the cause if nothing may be
// sent to it. The list of upstreams may have changed or grown old while the host connected.
func (c *call) connect(ctx context.Context, choice persimplace.Choice) (*persimconn.Conn, string) {
	c.upstream = choice.Upstream.ID
	c.tried = append(c.tried, choice.Upstream.ID)
	f := c.front
	conn, err := f.pool.Get(ctx, choice.Upstream.Address)
	if errors.Is(err, persimconn.ErrTooManyConns) {
		c.connectFailures++
		c.returnUnsent(choice)
		return nil, "connections to upstreams are used up"
	}
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		c.returnUnsent(choice)
		return nil, "canceled while connecting"
	}
	if err != nil {
		c.connectFailures++
		c.recordConnectFailure(choice.Upstream, persimplace.OutcomeConnectFailed, choice)
		return nil, "upstream not reached"
	}
	cause := ""
	switch {
	case f.upstreamsTooOld():
		cause = "list of upstreams is old"
	case !f.takesRequests(choice.Upstream.Incarnation):
		cause = "upstream left"
	default:
		return conn, ""
	}
	c.withdraw(conn, choice)
	return nil, cause
}

// causeWithdrawn is the cause of an attempt that ends before it is sent since a rollout has
// withdrawn the upstream's version.
const causeWithdrawn = "version was withdrawn"

// withdraw gives back a connection to the chosen upstream on which nothing was sent.
func (c *call) withdraw(conn *persimconn.Conn, choice persimplace.Choice) {
	conn.Release(0)
	c.returnUnsent(choice)
	c.connectFailures++
}

// takesRequests reports whether the list holds an upstream that is not leaving.
func (f *front) takesRequests(upstream persimcatalog.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.usable[upstream]
}

// returnUnsent takes back that a request is sent to the chosen upstream.
func (c *call) returnUnsent(choice persimplace.Choice) {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.pressure.Return(choice.Upstream.Hash())
}

// recordConnectFailure closes the idle connections to an upstream that could not be
// connected to and records the failure with the placer.
func (c *call) recordConnectFailure(upstream persimcatalog.Upstream, outcome persimplace.Outcome, choice persimplace.Choice) {
	f := c.front
	f.pool.CloseIdle(upstream.Address)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.pressure.Return(choice.Upstream.Hash())
	placer := f.dispatcher.placer(c.service)
	now := time.Now()
	placer.EndAttempt(now, placer.StartAttempt(now, c.placement, choice), outcome)
}
