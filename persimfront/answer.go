package persimfront

import (
	"net/http"

	"k8s.io/klog/v2"

	"persimmonport.example/persimconn"
	"persimmonport.example/persimplace"
)

// impliesNotRun reports whether a status tells the caller that the request did not run and
// never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayHaveRun reports whether an upstream may have run the request.
func (c *call) mayHaveRun() bool { return c.possibleRuns > 0 }

// truthful reports whether the caller may get a status: one that implies that the request did
// not run is untrue once an upstream may have run it.
func (c *call) truthful(status int) bool { return !impliesNotRun(status) || !c.mayHaveRun() }

// writeHead sends the status and the header of a response to the caller. Every response to a
// request that was admitted goes through it. An untrue status is not sent: the connection is
// aborted, which says nothing about a run.
func (c *call) writeHead(w http.ResponseWriter, status int) {
	if !c.truthful(status) {
		klog.ErrorS(nil, "response denies a run", "request", c.id, "status", status, "attempts", c.attempts)
		c.abortResponse("response denies a run")
	}
	w.WriteHeader(status)
}

// withhold drops a response whose status is untrue. It closes the connection unless the rest of the
// response is short.
func (a *attempt) withhold(exchange *persimconn.Exchange) (attemptResult, *bufferedResponse, string) {
	kept := exchange.Discard() == nil
	klog.InfoS("response withheld", "request", a.id, "upstream", a.upstream.ID, "born", a.upstream.Born,
		"status", exchange.Response.StatusCode, "connectionKept", kept)
	if a.front.metrics != nil {
		a.front.metrics.Count("responses_withheld")
	}
	a.finish(persimplace.OutcomeFailed)
	return resultUnknown, nil, "upstream refused a request that it may have run"
}

// isServerError reports whether a response of an upstream is a server error, after which the
// request is retried if it may run more than once.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// finishWithStatus records the end of an attempt whose response is sound but for its status, and
// goes to the caller or is dropped for a retry.
func (a *attempt) finishWithStatus(status int) {
	if isServerError(status) {
		a.finish(persimplace.OutcomeFailed)
		return
	}
	a.finish(persimplace.OutcomeSuccess)
	a.recordSound()
}
