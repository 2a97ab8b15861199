package persimfront

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
)

// maxBufferedBytes is the size of a response body up to which it is buffered before it is
// sent to the caller.
const maxBufferedBytes = 256 << 10

// causeBrokeOff is the cause of a response that was not whole.
const causeBrokeOff = "answer broke off"

// bufferedResponse is a response of an upstream that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends a buffered response to the caller. It returns an error if it could not be sent.
func (c *call) write(w http.ResponseWriter, response *bufferedResponse) error {
	copyHeader(w.Header(), response.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	c.writeHead(w, response.status)
	if _, err := w.Write(response.body); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// copyHeader copies the header fields that are forwarded to the caller and keeps the
// Connection field that this host has set.
func copyHeader(to, from http.Header) {
	connection := to.Get("Connection")
	for name, values := range platform.ForwardResponseHeaders(from) {
		to[name] = values
	}
	if connection != "" {
		to.Set("Connection", connection)
	}
}

// relay sends a response to the caller: a stream event by event, another response from
// a buffer, or as it arrives if it is too long for the buffer.
func (a *attempt) relay(ctx context.Context, w http.ResponseWriter, exchange *persimconn.Exchange) (attemptResult, *bufferedResponse, string) {
	response := exchange.Response
	if a.route.Kind == persimcatalog.KindStreaming && response.StatusCode < http.StatusMultipleChoices {
		return a.relayStream(ctx, w, exchange)
	}
	size := min(response.ContentLength, maxBufferedBytes+1)
	body, err := a.held.readAll(exchange, size, maxBufferedBytes)
	if errors.Is(err, errMemoryFull) || err == nil && len(body) > maxBufferedBytes {
		return a.relayUnbuffered(w, exchange, body)
	}
	if err != nil {
		exchange.Abandon()
		a.recordBreak(ctx, "response broke off", true, 0, err)
		return resultUnknown, nil, causeBrokeOff
	}
	exchange.Finish()
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	return a.deliver(w, buffered)
}

// deliver sends a buffered response to the caller. It returns a server error instead
// of sending it, since the request may be retried.
func (a *attempt) deliver(w http.ResponseWriter, response *bufferedResponse) (attemptResult, *bufferedResponse, string) {
	a.finishWithStatus(response.status)
	if isServerError(response.status) {
		return resultErrorResponse, response, causeUpstreamFailed
	}
	a.send(w, response, outcomeOK)
	return resultDone, nil, ""
}

// send sends a buffered response to the caller and records its status, or 0 if the caller
// did not get it.
func (c *call) send(w http.ResponseWriter, response *bufferedResponse, cause string) {
	if err := c.write(w, response); err != nil {
		klog.InfoS("response not sent", "request", c.id, "status", response.status, "error", persimlog.ErrorText(err))
		c.record(0, c.leftCause())
		return
	}
	c.record(response.status, cause)
}

// relayUnbuffered sends a response to the caller that is not buffered since it is too long or
// the memory is full; prefix is the part already read. A server error is dropped if the
// request is retried.
func (a *attempt) relayUnbuffered(w http.ResponseWriter, exchange *persimconn.Exchange, prefix []byte) (attemptResult, *bufferedResponse, string) {
	response := exchange.Response
	if isServerError(response.StatusCode) && a.reserveRetry() {
		exchange.Abandon()
		a.finishWithStatus(response.StatusCode)
		return resultUnknown, nil, causeUpstreamFailed
	}
	copyHeader(w.Header(), response.Header)
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	a.writeHead(w, response.StatusCode)
	a.limitWrites(w)
	_, err := io.Copy(w, io.MultiReader(bytes.NewReader(prefix), exchange))
	if err != nil {
		exchange.Abandon()
		a.finish(persimplace.OutcomeFailed)
		a.abortResponse(causeBrokeOff)
	}
	exchange.Finish()
	a.finishWithStatus(response.StatusCode)
	a.record(response.StatusCode, outcomeOK)
	return resultDone, nil, ""
}

// limitWrites lets writes to the caller fail after the deadline of the request, so that
// a caller who reads nothing does not hold the response.
func (a *attempt) limitWrites(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(a.deadline); err != nil {
		klog.V(1).InfoS("answer: no write deadline", "request", a.id, "error", persimlog.ErrorText(err))
	}
}

// abortResponse aborts the caller's connection, so that the response does not look
// complete.
func (c *call) abortResponse(cause string) {
	c.record(0, cause)
	panic(http.ErrAbortHandler)
}

// relayStream sends events to the caller as they arrive. A resumable stream that
// breaks off is resumed at another upstream.
func (a *attempt) relayStream(ctx context.Context, w http.ResponseWriter, exchange *persimconn.Exchange) (attemptResult, *bufferedResponse, string) {
	writer := &eventWriter{
		w:         w,
		control:   http.NewResponseController(w),
		writeHead: a.writeHead,
		header:    exchange.Response.Header,
		status:    exchange.Response.StatusCode,
		onSound:   a.recordSound,
		held:      &a.held,
	}
	writer.pace.record = a.recordProgress
	moved, err := a.copyStream(writer, exchange)
	for err != nil {
		exchange.Abandon()
		a.endStream(ctx, writer, moved, err)
		if ctx.Err() != nil || writer.callerGone || !a.route.Resumable || !moved && a.crashedUpstream(ctx) {
			break
		}
		resumed := a.resume(ctx, writer, moved)
		if resumed == nil {
			break
		}
		exchange = resumed
		writer.resumed = true
		writer.pace.record = nil
		moved, err = a.copyStream(writer, exchange)
	}
	if err == nil {
		finishStream(exchange, moved)
		a.recordOutput(writer)
		a.finish(persimplace.OutcomeSuccess)
		a.recordSound()
		a.record(writer.status, outcomeOK)
		return resultDone, nil, ""
	}
	if !writer.headerWritten && a.request.Context().Err() == nil {
		return resultUnknown, nil, "stream broke off before its first event"
	}
	a.abortResponse(a.abortCause(ctx, writer))
	return resultDone, nil, ""
}

// copyStream copies the events of one upstream. It reports whether the stream was broken off to
// be continued elsewhere.
func (a *attempt) copyStream(writer *eventWriter, exchange *persimconn.Exchange) (bool, error) {
	stream := a.track(exchange)
	writer.source(exchange)
	err := writer.copy(exchange)
	return a.untrack(stream), err
}

// endStream records that a stream ended early, which is no failure if it was moved.
func (a *attempt) endStream(ctx context.Context, writer *eventWriter, moved bool, err error) {
	if moved {
		a.finish(persimplace.OutcomeNeutral)
		return
	}
	a.recordBreak(ctx, "stream broke off", true, writer.events, err)
}

// finishStream releases the connection of a stream that is complete. If the stream was moved in
// the same moment, the connection is closed already.
func finishStream(exchange *persimconn.Exchange, moved bool) {
	if moved {
		exchange.Abandon()
		return
	}
	exchange.Finish()
}

// recordOutput records how long the upstream took for the events after the first one.
func (a *attempt) recordOutput(writer *eventWriter) {
	f := a.front
	catalogue, _ := f.Catalogue()
	service, ok := catalogue.Service(a.service)
	if !ok || service.Engine == nil || writer.events < 2 || writer.resumed {
		return
	}
	tokens, took := (writer.events-1)*service.Engine.TokensPerEvent, writer.lastAt.Sub(writer.firstAt)
	f.mu.Lock()
	defer f.mu.Unlock()
	placer := f.dispatcher.placer(a.service)
	if speed, _ := placer.Speed(); tokens > 0 {
		a.observed.recordPace(took/time.Duration(tokens), speed.OutputToken)
	}
	placer.RecordOutput(time.Now(), a.ticket, tokens, took)
}

// abortCause returns the cause that is logged for a stream that is aborted.
func (a *attempt) abortCause(ctx context.Context, writer *eventWriter) string {
	switch {
	case writer.callerGone || a.request.Context().Err() != nil:
		return a.leftCause()
	case ctx.Err() != nil:
		return a.endCause()
	default:
		return "stream broke off"
	}
}
