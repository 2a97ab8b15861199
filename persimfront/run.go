package persimfront

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
)

// end says how an attempt ended.
type end int

const (
	// endDone means that the caller has its answer, or that its connection is broken off.
	endDone end = iota
	// endNotRun means that the upstream did not run the request.
	endNotRun
	// endUnknown means that the upstream may have run it and nothing reached the caller.
	endUnknown
	// endAnswered means that the upstream failed it with an answer that is kept.
	endAnswered
)

// silenceFactor and silenceMin say after which wait, against what was expected, a
// request that may be repeated is sent elsewhere. Each host adds to the wait, since
// the more there are, the less one hears of an upstream.
const (
	silenceFactor  = 3
	silenceMin     = 350 * time.Millisecond
	silencePerHost = 10 * time.Millisecond
	// maxUnreached is the number of upstreams that may turn out not to be reachable
	// for one request. Nothing is sent to them, so they are no attempts.
	maxUnreached = 4
	// minLeft is the least time in which another attempt makes sense.
	minLeft = 60 * time.Millisecond
)

// run sends the request to one upstream after the other until there is a final answer.
func (c *call) run(ctx context.Context, w http.ResponseWriter) {
	mayHaveRun := false
	var kept *answer
	cause := ""
	for c.attempts < c.route.MaxAttempts && c.unreached < maxUnreached {
		if c.attempts > c.repeats && !c.mayRepeat() {
			break
		}
		c.repeats = c.attempts
		choice, refused := c.choose()
		if refused != nil {
			cause = refused.cause
			if c.attempts == 0 {
				c.refund()
				c.refuse(w, *refused)
				return
			}
			break
		}
		ended, failed, why := c.attempt(ctx, w, choice)
		cause = why
		if ended == endDone {
			return
		}
		mayHaveRun = mayHaveRun || ended != endNotRun
		if failed != nil {
			kept = failed
		}
		if ctx.Err() != nil || mayHaveRun && !c.route.Repeatable() {
			break
		}
	}
	c.giveUp(ctx, w, kept, mayHaveRun, cause)
}

func (c *call) giveUp(ctx context.Context, w http.ResponseWriter, kept *answer, mayHaveRun bool, cause string) {
	switch {
	case c.request.Context().Err() != nil:
		c.record(0, "caller left")
		panic(http.ErrAbortHandler)
	case kept != nil:
		kept.write(w)
		c.record(kept.status, "upstream failed")
	case ctx.Err() != nil:
		c.refuse(w, refusal{status: http.StatusGatewayTimeout, cause: "time is over: " + cause})
	case mayHaveRun:
		c.refuse(w, refusal{status: http.StatusBadGateway, cause: cause})
	default:
		c.refund()
		c.refuse(w, refusal{status: http.StatusServiceUnavailable, cause: cause, wait: minRetry})
	}
}

// mayRepeat takes another attempt from the budget, where there is time for one.
func (c *call) mayRepeat() bool {
	if time.Until(c.until) < minLeft {
		return false
	}
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.desk.budget(c.service).Withdraw(time.Now())
}

// choose returns an upstream, or a refusal where the request cannot be served in time.
func (c *call) choose() (persimplace.Choice, *refusal) {
	f := c.front
	now := time.Now()
	c.need.Avoid = c.avoid
	f.mu.Lock()
	defer f.mu.Unlock()
	choice, ok := f.desk.place(c.service).Choose(now, c.need)
	if !ok {
		return choice, &refusal{status: http.StatusServiceUnavailable, cause: "no upstream", wait: maxRetry}
	}
	allowed := min(c.until.Sub(now), c.allowed())
	first := c.attempts+c.unreached == 0
	if first {
		f.desk.count(now, c.service, Demand{Tokens: float64(choice.Read)})
	}
	if first && choice.Expected > allowed {
		f.desk.count(now, c.service, Demand{Refused: 1})
		return choice, &refusal{
			status: http.StatusServiceUnavailable, cause: "upstreams are full", wait: choice.Expected - allowed,
		}
	}
	return choice, nil
}

// allowed is how long the first answer may take for the request to be worth sending.
func (c *call) allowed() time.Duration {
	if c.route.Target <= 0 || c.need.Tokens == 0 {
		return c.route.Timeout
	}
	return time.Duration(float64(c.route.Target) * lateShare)
}

func (c *call) attempt(ctx context.Context, w http.ResponseWriter, choice persimplace.Choice) (end, *answer, string) {
	c.upstream = choice.Upstream.ID
	c.avoid = append(c.avoid, choice.Upstream.ID)
	f := c.front
	conn, err := f.pool.Get(ctx, choice.Upstream.Address)
	if err != nil {
		c.unreached++
		c.note(choice.Upstream, persimplace.OutcomeUnreached, choice)
		return endNotRun, nil, "upstream not reached"
	}
	c.attempts++
	f.mu.Lock()
	ticket := f.desk.place(c.service).Send(time.Now(), c.need, choice)
	f.mu.Unlock()
	a := &attempt{call: c, ticket: ticket, upstream: choice.Upstream}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := a.watchSilence(cancel, choice.Expected)
	exchange, err := persimconn.Send(ctx, conn, c.upstreamRequest(ctx, choice.Upstream))
	stop()
	if err != nil {
		return a.failedSend(err)
	}
	if !a.phase.CompareAndSwap(phaseWaiting, phaseAnswered) {
		exchange.Abandon()
		return a.failedSend(persimconn.ErrUnknown)
	}
	return a.answered(ctx, w, exchange)
}

// note records an attempt that sent nothing.
func (c *call) note(upstream persimcatalog.Upstream, outcome persimplace.Outcome, choice persimplace.Choice) {
	f := c.front
	f.pool.Forget(upstream.Address)
	f.mu.Lock()
	defer f.mu.Unlock()
	place := f.desk.place(c.service)
	now := time.Now()
	place.End(now, place.Send(now, c.need, choice), outcome)
}

// Phases of an attempt: of an answer and a decision to send the request
// elsewhere, the first one counts.
const (
	phaseWaiting int32 = iota
	phaseAnswered
	phaseMoved
)

// An attempt is one sending of a call.
type attempt struct {
	*call
	ticket   *persimplace.Ticket
	upstream persimcatalog.Upstream
	phase    atomic.Int32
}

// watchSilence gives the attempt up when nothing is heard of the upstream for long
// and the request may be sent elsewhere. It returns the function that ends the watch.
func (a *attempt) watchSilence(cancel context.CancelFunc, expected time.Duration) func() {
	if !a.route.Repeatable() || a.attempts >= a.route.MaxAttempts {
		return func() {}
	}
	wait := max(silenceFactor*expected, a.front.silence())
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
			if time.Until(a.until) < wait/2 {
				return
			}
			if a.silent() && a.phase.CompareAndSwap(phaseWaiting, phaseMoved) {
				cancel()
				return
			}
		}
	}()
	return stop
}

// silence is the shortest time without a word after which an upstream counts as silent.
func (f *front) silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return silenceMin + time.Duration(f.desk.hosts)*silencePerHost
}

func (a *attempt) silent() bool {
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.desk.place(a.service).Silent(a.ticket)
}

func (a *attempt) end(outcome persimplace.Outcome) {
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.desk.place(a.service).End(time.Now(), a.ticket, outcome)
}

// begin records that the request runs at the upstream.
func (a *attempt) begin(now time.Time) {
	f := a.front
	f.mu.Lock()
	f.desk.place(a.service).Begin(now, a.ticket)
	f.mu.Unlock()
	a.countBegun()
}

// countBegun counts the request in the usage of its organisation, once.
func (c *call) countBegun() {
	if c.begun {
		return
	}
	c.begun = true
	if c.organisation != "" && c.front.counter != nil {
		c.front.counter.Count(time.Now(), c.organisation)
	}
}

func (a *attempt) failedSend(err error) (end, *answer, string) {
	if errors.Is(err, persimconn.ErrNotSent) {
		a.end(persimplace.OutcomeLeft)
		return endNotRun, nil, "not sent"
	}
	if a.request.Context().Err() != nil {
		a.end(persimplace.OutcomeLeft)
		return endUnknown, nil, "caller left"
	}
	a.end(persimplace.OutcomeFailed)
	a.countBegun()
	cause := "connection broke"
	if a.phase.Load() == phaseMoved {
		cause = "upstream is silent"
	}
	klog.V(1).InfoS("attempt: no answer", "request", a.id, "upstream", a.upstream.ID, "cause", cause, "error", persimlog.Cause(err))
	return endUnknown, nil, cause
}

// answered looks at the head of an answer and passes on what may be passed on.
func (a *attempt) answered(ctx context.Context, w http.ResponseWriter, exchange *persimconn.Exchange) (end, *answer, string) {
	response := exchange.Response
	a.report(response)
	if id := response.Header.Get(platform.HeaderRequestID); id != a.id {
		exchange.Abandon()
		a.end(persimplace.OutcomeFailed)
		a.countBegun()
		return endUnknown, nil, "answer of another request"
	}
	if response.Header.Get(platform.HeaderNotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest {
		a.drainBody(exchange)
		a.end(persimplace.OutcomeFull)
		return endNotRun, nil, "upstream refused"
	}
	if response.Header.Get(platform.HeaderSignature) == "" || response.Header.Get("Content-Encoding") != "" {
		exchange.Abandon()
		a.end(persimplace.OutcomeFailed)
		a.countBegun()
		return endUnknown, nil, "answer without signature"
	}
	a.begin(time.Now())
	return a.relay(ctx, w, exchange)
}

func (a *attempt) report(response *http.Response) {
	load, ok := platform.DecodeLoad(response.Header.Get(platform.HeaderLoad))
	if !ok {
		return
	}
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	f.desk.place(a.service).Report(time.Now(), persimplace.Hash(a.upstream.ID), persimplace.Report{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown,
	})
}

// targetURL returns the URL whose request line is the caller's, unchanged.
func (c *call) targetURL(address string) *url.URL {
	return &url.URL{Scheme: "http", Host: address, Opaque: c.target}
}
