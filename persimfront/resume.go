package persimfront

import (
	"context"
	"net/http"
	"strings"

	"k8s.io/klog/v2"

	"persimmonport.example/persimconn"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
)

// resume sends the request to another upstream, which continues the stream after its last
// event. It returns nil if that is not possible. The retry of a stream that was moved is counted
// already.
func (a *attempt) resume(ctx context.Context, stream *eventWriter, moved bool) *persimconn.Exchange {
	if a.attempts >= a.route.MaxAttempts || !moved && !a.withdrawRetry() {
		return nil
	}
	choice, conn := a.chooseAnother(ctx)
	if conn == nil {
		return nil
	}
	next, started := a.start(choice)
	if !started {
		a.withdraw(conn, choice)
		klog.InfoS("stream not resumed", "request", a.id, "upstream", choice.Upstream.ID, "cause", causeWithdrawn)
		return nil
	}
	a.attempts++
	a.ticket, a.upstream, a.observed = next.ticket, next.upstream, next.observed
	req := a.upstreamRequest(ctx, choice.Upstream)
	if stream.lastID != "" {
		req.Header.Set(platform.HeaderEventID, stream.lastID)
	}
	exchange, err := a.exchange(ctx, conn, choice.Upstream, req)
	if err != nil {
		a.recordBreak(ctx, "connection broke", false, 0, err)
		return nil
	}
	if !a.continues(exchange.Response, stream.header) {
		klog.InfoS("stream not resumed", "request", a.id, "upstream", choice.Upstream.ID, "status", exchange.Response.StatusCode)
		exchange.Abandon()
		a.finish(persimplace.OutcomeFailed)
		return nil
	}
	klog.InfoS("stream resumed", "request", a.id, "upstream", choice.Upstream.ID, "after", stream.lastID)
	return exchange
}

// chooseAnother returns an upstream that can be reached, and a connection to it, or nil if
// there is none.
func (a *attempt) chooseAnother(ctx context.Context) (persimplace.Choice, *persimconn.Conn) {
	for a.connectFailures < maxConnectFailures && ctx.Err() == nil {
		choice, refused := a.chooseUpstream()
		if refused != nil {
			klog.InfoS("stream not resumed", "request", a.id, "cause", refused.cause)
			return choice, nil
		}
		conn, cause := a.connect(ctx, choice)
		if conn != nil {
			return choice, conn
		}
		klog.InfoS("stream not resumed yet", "request", a.id, "upstream", choice.Upstream.ID, "cause", cause)
	}
	return persimplace.Choice{}, nil
}

// continues reports whether a response can continue a stream that began with a header. A
// response of another type is no part of the stream, whatever its status.
func (a *attempt) continues(response *http.Response, began http.Header) bool {
	return response.StatusCode == http.StatusOK && response.Header.Get(platform.HeaderRequestID) == a.id &&
		producedByUpstream(response.Header) && mediaType(response.Header) == mediaType(began)
}

// producedByUpstream reports whether a response is signed and its body unaltered.
func producedByUpstream(header http.Header) bool {
	return header.Get(platform.HeaderSignature) != "" && header.Get("Content-Encoding") == ""
}

// mediaType returns the type of a response's body without its parameters.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}
