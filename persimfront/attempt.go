package persimfront

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
)

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
	// observed is nil without rollouts and once the result was recorded.
	observed *observed
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
	now := time.Now()
	f.dispatcher.placer(a.service).EndAttempt(now, a.ticket, outcome)
	a.endObserved(now, outcome)
}

// recordResponse records the first response byte with the placer and counts the request
// in the usage of its organisation.
func (a *attempt) recordResponse(now time.Time) {
	f := a.front
	f.mu.Lock()
	f.dispatcher.placer(a.service).RecordResponse(now, a.ticket)
	f.mu.Unlock()
	a.observed.recordFirst(now)
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
	if errors.Is(err, errMemoryFull) {
		// The memory is used up by others; the upstream has not failed.
		a.finish(persimplace.OutcomeNeutral)
		return resultUnknown, nil, causeNoHeadMemory
	}
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
		return a.handleRejection(ctx, exchange)
	}
	if !producedByUpstream(response.Header) {
		exchange.Abandon()
		a.finish(persimplace.OutcomeFailed)
		a.countUsage()
		return resultUnknown, nil, "answer without signature"
	}
	a.recordResponse(time.Now())
	a.observed.recordStatus(response.StatusCode)
	if !a.truthful(response.StatusCode) {
		return a.withhold(exchange)
	}
	return a.relay(ctx, w, exchange)
}

// handleRejection records that the upstream has not run the request. A rejection that breaks off
// says nothing.
func (a *attempt) handleRejection(ctx context.Context, exchange *persimconn.Exchange) (attemptResult, *bufferedResponse, string) {
	err := exchange.Discard()
	if errors.Is(err, persimconn.ErrUnknown) {
		a.countUsage()
		a.recordBreak(ctx, "rejection broke off", true, 0, err)
		return resultUnknown, nil, causeBrokeOff
	}
	if err != nil {
		klog.V(1).InfoS("attempt: connection closed after a rejection", "request", a.id, "upstream", a.upstream.ID, "error", persimlog.ErrorText(err))
	}
	a.finish(persimplace.OutcomeRejected)
	a.possibleRuns--
	return resultNotRun, nil, "upstream refused"
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

// forwardable reports whether a request target names a path and can be written as it was
// read. Others are absolute ones, those of CONNECT and "*".
func forwardable(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == '\x7f' })
}
