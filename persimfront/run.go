package persimfront

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
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
	// minRetryTime is the time before the deadline below which a retry is not worthwhile.
	minRetryTime = 60 * time.Millisecond
)

// forward sends the request to one upstream after another until there is a final
// response.
func (c *call) forward(ctx context.Context, w http.ResponseWriter) {
	mayHaveRun := false
	var errorResponse *bufferedResponse
	cause := ""
	for c.attempts < c.route.MaxAttempts && c.connectFailures < maxConnectFailures {
		if c.attempts > c.retriedAttempts && !c.mayRetry() {
			break
		}
		c.retriedAttempts = c.attempts
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
		mayHaveRun = mayHaveRun || result != resultNotRun
		if response != nil {
			errorResponse = response
		}
		if ctx.Err() != nil || mayHaveRun && !c.route.Repeatable() || c.crashedUpstream(ctx) {
			break
		}
	}
	c.respondError(ctx, w, errorResponse, mayHaveRun, cause)
}

// respondError responds after the attempts have failed: with the last server error
// of an upstream if there is one, otherwise with a refusal. It aborts the connection
// if the caller has left.
func (c *call) respondError(ctx context.Context, w http.ResponseWriter, errorResponse *bufferedResponse, mayHaveRun bool, cause string) {
	switch {
	case c.request.Context().Err() != nil:
		c.record(0, c.leftCause())
		panic(http.ErrAbortHandler)
	case errorResponse != nil:
		c.send(w, errorResponse, "upstream failed")
	case ctx.Err() != nil && (mayHaveRun || c.front.aborted.Err() == nil):
		c.refuse(w, refusal{status: http.StatusGatewayTimeout, cause: c.endCause() + ": " + cause})
	case mayHaveRun:
		c.refuse(w, refusal{status: http.StatusBadGateway, cause: cause})
	default:
		c.refund()
		c.refuse(w, refusal{status: http.StatusServiceUnavailable, cause: cause, retryDelay: minRetryAfter})
	}
}

// endCause returns why a request was ended by this host.
func (c *call) endCause() string {
	if c.front.aborted.Err() != nil {
		return "host stops"
	}
	return "time is over"
}

// mayRetry counts a retry in the budget. It reports false if the budget is
// used up or too little time is left.
func (c *call) mayRetry() bool {
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
	choice, ok := f.dispatcher.placer(c.service).Choose(now, c.placement)
	if !ok {
		return choice, &refusal{status: http.StatusServiceUnavailable, cause: "no upstream", retryDelay: maxRetryAfter}
	}
	maxWait := min(c.deadline.Sub(now), c.maxExpectedWait())
	firstAttempt := c.attempts+c.connectFailures == 0
	if firstAttempt {
		f.dispatcher.addDemand(now, c.service, Demand{PrefillTokens: float64(choice.PrefillTokens)})
	}
	if firstAttempt && choice.Expected > maxWait {
		f.dispatcher.addDemand(now, c.service, Demand{Refused: 1})
		return choice, &refusal{
			status: http.StatusServiceUnavailable, cause: "upstreams are full", retryDelay: choice.Expected - maxWait,
		}
	}
	return choice, nil
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
	c.upstream = choice.Upstream.ID
	c.tried = append(c.tried, choice.Upstream.ID)
	f := c.front
	conn, err := f.pool.Get(ctx, choice.Upstream.Address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return resultNotRun, nil, "canceled while connecting"
	}
	if err != nil {
		c.connectFailures++
		c.recordConnectFailure(choice.Upstream, persimplace.OutcomeConnectFailed, choice)
		return resultNotRun, nil, "upstream not reached"
	}
	// The host may have stood still while it connected.
	if f.upstreamsTooOld() {
		conn.Release(0)
		c.connectFailures++
		return resultNotRun, nil, "list of upstreams is old"
	}
	if f.metrics != nil {
		f.metrics.UpstreamsAge(f.rosterProof.age(persimclock.Now()))
	}
	c.attempts++
	f.mu.Lock()
	ticket := f.dispatcher.placer(c.service).StartAttempt(time.Now(), c.placement, choice)
	f.mu.Unlock()
	a := &attempt{call: c, ticket: ticket, upstream: choice.Upstream}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := a.watchSilence(cancel, choice.Expected)
	exchange, err := persimconn.Send(ctx, conn, c.upstreamRequest(ctx, choice.Upstream))
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

// recordConnectFailure closes the idle connections to an upstream that could not be
// connected to and records the failure with the placer.
func (c *call) recordConnectFailure(upstream persimcatalog.Upstream, outcome persimplace.Outcome, choice persimplace.Choice) {
	f := c.front
	f.pool.CloseIdle(upstream.Address)
	f.mu.Lock()
	defer f.mu.Unlock()
	placer := f.dispatcher.placer(c.service)
	now := time.Now()
	placer.EndAttempt(now, placer.StartAttempt(now, c.placement, choice), outcome)
}

// Phases of an attempt. The response and the decision to abandon a silent upstream
// race: whichever leaves phaseWaiting first wins.
const (
	phaseWaiting int32 = iota
	phaseResponded
	phaseAbandoned
)

// attempt is one transmission of a call to an upstream.
type attempt struct {
	*call
	ticket   *persimplace.Ticket
	upstream persimcatalog.Upstream
	phase    atomic.Int32
}

// watchSilence cancels the attempt if the upstream stays silent and the request may
// be sent to another one. It returns a function that stops the watch.
func (a *attempt) watchSilence(cancel context.CancelFunc, expected time.Duration) func() {
	if !a.route.Repeatable() || a.attempts >= a.route.MaxAttempts {
		return func() {}
	}
	wait := max(silenceFactor*expected, a.front.silenceTimeout())
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(wait)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if time.Until(a.deadline) < wait/2 {
				return
			}
			if a.silent() && a.phase.CompareAndSwap(phaseWaiting, phaseAbandoned) {
				cancel()
				return
			}
		}
	}()
	return stop
}

// silenceTimeout returns the shortest time after which an upstream that sends nothing
// counts as silent.
func (f *front) silenceTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return min(minSilence+time.Duration(f.dispatcher.hostCount)*silencePerHost, maxSilence)
}

// silent reports whether the upstream has sent neither a response nor a load report
// since the attempt started.
func (a *attempt) silent() bool {
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.placer(a.service).Silent(a.ticket)
}

// finish records the end of the attempt with the placer.
func (a *attempt) finish(outcome persimplace.Outcome) {
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.placer(a.service).EndAttempt(time.Now(), a.ticket, outcome)
}

// recordResponse records the first response byte with the placer and counts the request
// in the usage of its organisation.
func (a *attempt) recordResponse(now time.Time) {
	f := a.front
	f.mu.Lock()
	f.dispatcher.placer(a.service).RecordResponse(now, a.ticket)
	f.mu.Unlock()
	a.countUsage()
}

// countUsage counts the request once in the usage of its organisation.
func (c *call) countUsage() {
	if c.usageCounted {
		return
	}
	c.usageCounted = true
	if c.organisation != "" && c.front.counter != nil {
		c.front.counter.Count(time.Now(), c.organisation)
	}
}

// handleSendError records an attempt without a response. The request counts in the usage
// if the upstream may have run it.
func (a *attempt) handleSendError(err error) (attemptResult, *bufferedResponse, string) {
	if errors.Is(err, persimconn.ErrNotSent) {
		a.finish(persimplace.OutcomeNeutral)
		return resultNotRun, nil, "not sent"
	}
	if a.request.Context().Err() != nil {
		a.finish(persimplace.OutcomeNeutral)
		return resultUnknown, nil, "caller left"
	}
	a.countUsage()
	cause := "connection broke"
	if a.phase.Load() == phaseAbandoned {
		cause = "upstream is silent"
	}
	a.finish(persimplace.OutcomeFailed)
	a.logBreak(cause, 0, err)
	if a.phase.Load() != phaseAbandoned && time.Now().Before(a.deadline) {
		a.checkCrash(false, 0)
	}
	return resultUnknown, nil, cause
}

// recordBreak records that a response broke off, which had begun or not. It is the upstream's failure unless the
// deadline has passed or the caller has gone.
func (a *attempt) recordBreak(ctx context.Context, cause string, begun bool, events int, err error) {
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		a.finish(persimplace.OutcomeNeutral)
		return
	}
	a.finish(persimplace.OutcomeFailed)
	a.logBreak(cause, events, err)
	a.checkCrash(begun, events)
}

// logBreak logs an attempt that broke off, with the prompt parts that other requests may
// share and the number of events that had come.
func (a *attempt) logBreak(cause string, events int, err error) {
	klog.InfoS("attempt broke off", "request", a.id, "upstream", a.upstream.ID, "born", a.upstream.Born, "cause", cause,
		"events", events, "parts", formatParts(a.placement.SharedParts()), "error", persimlog.ErrorText(err))
}

// formatParts returns the ids of prompt parts as callers send them.
func formatParts(parts []persimplace.Part) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = strconv.FormatUint(part.ID, 16)
	}
	return strings.Join(ids, ",")
}

// handleResponse checks the response header and relays the response if it is valid.
func (a *attempt) handleResponse(ctx context.Context, w http.ResponseWriter, exchange *persimconn.Exchange) (attemptResult, *bufferedResponse, string) {
	response := exchange.Response
	a.reportLoad(response)
	if id := response.Header.Get(platform.HeaderRequestID); id != a.id {
		exchange.Abandon()
		a.finish(persimplace.OutcomeFailed)
		a.countUsage()
		return resultUnknown, nil, "answer of another request"
	}
	if response.Header.Get(platform.HeaderNotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		if !exchange.Discard() {
			klog.V(1).InfoS("attempt: connection closed after a rejection", "request", a.id, "upstream", a.upstream.ID)
		}
		a.finish(persimplace.OutcomeRejected)
		return resultNotRun, nil, "upstream refused"
	}
	if response.Header.Get(platform.HeaderSignature) == "" || response.Header.Get("Content-Encoding") != "" {
		exchange.Abandon()
		a.finish(persimplace.OutcomeFailed)
		a.countUsage()
		return resultUnknown, nil, "answer without signature"
	}
	a.recordResponse(time.Now())
	return a.relay(ctx, w, exchange)
}

// reportLoad passes the load report in a response header to the placer.
func (a *attempt) reportLoad(response *http.Response) {
	load, ok := platform.DecodeLoad(response.Header.Get(platform.HeaderLoad))
	if !ok {
		return
	}
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.placer(a.service).RecordReport(time.Now(), persimplace.Hash(a.upstream.ID), persimplace.Report{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown,
	})
}

// targetURL returns a URL that keeps the caller's request target unchanged.
func (c *call) targetURL(address string) *url.URL {
	return &url.URL{Scheme: "http", Host: address, Opaque: c.requestTarget}
}
