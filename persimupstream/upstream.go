// Package persimupstream sends attempts to model engines and calls to plain services,
// the upstreams that are not model engines.
package persimupstream

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"persimmonport.example/persimresponse"
)

// Errors of an attempt; callers test for them with errors.Is.
var (
	// ErrNotRun guarantees that the upstream has not run the request.
	ErrNotRun = errors.New("upstream: refused before running")
	// ErrBroken reports a stream that ended before its end marker, or a missing,
	// incomplete or failed response. Whether the request ran is unknown.
	ErrBroken = errors.New("upstream: connection broken")
	// ErrSilent reports a connection on which no token arrived within the timeout.
	ErrSilent = errors.New("upstream: connection silent")
	// ErrUnknownStream reports a stream that the engine does not know.
	ErrUnknownStream = errors.New("upstream: unknown stream")
	// ErrRejected reports a request that the upstream rejected as invalid.
	ErrRejected = errors.New("upstream: request rejected")
)

// Headers of requests and responses.
const (
	// HeaderFence carries the fencing token of the sending host.
	HeaderFence = "X-Fence"
	// HeaderIdempotencyKey carries the caller's idempotency key to a plain service.
	HeaderIdempotencyKey = "X-Request-Key"
	// HeaderNotRun marks a response of an upstream that has not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderIncarnation carries the incarnation of the upstream's process.
	HeaderIncarnation = "X-Incarnation"
	// HeaderAttempt identifies one request on a connection. Upstreams repeat it in the
	// response, so that a response written for an earlier request is not taken for it.
	HeaderAttempt = "X-Attempt"
)

// Defaults of clients.
const (
	DefaultDialTimeout       = time.Second
	DefaultFirstTokenTimeout = 10 * time.Second
	DefaultSilenceTimeout    = 3 * time.Second
	// DefaultCallTimeout is the timeout of the engine calls other than Generate and
	// Attach.
	DefaultCallTimeout = time.Second
	maxBodyBytes       = 4 << 20
	// maxLineBytes limits a line of an event stream, which holds one token.
	maxLineBytes = 64 << 10
	// maxHeadBytes limits the head of a response.
	maxHeadBytes        = 64 << 10
	maxIdleConnsPerHost = 64
)

type config struct {
	dialTimeout       time.Duration
	firstTokenTimeout time.Duration
	silenceTimeout    time.Duration
	transport         http.RoundTripper
}

// An Option changes the configuration of a client.
type Option func(*config)

// WithDialTimeout sets the timeout for opening a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(c *config) { c.dialTimeout = timeout }
}

// WithFirstTokenTimeout sets the timeout for the first token of an attempt.
func WithFirstTokenTimeout(timeout time.Duration) Option {
	return func(c *config) { c.firstTokenTimeout = timeout }
}

// WithSilenceTimeout sets the timeout between two tokens of an attempt.
func WithSilenceTimeout(timeout time.Duration) Option {
	return func(c *config) { c.silenceTimeout = timeout }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *config) { c.transport = transport }
}

func newConfig(opts []Option) config {
	c := config{dialTimeout: DefaultDialTimeout, firstTokenTimeout: DefaultFirstTokenTimeout, silenceTimeout: DefaultSilenceTimeout}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// newClient returns an HTTP client and a function that closes its idle connections.
func newClient(c config) (*http.Client, func()) {
	if c.transport != nil {
		return &http.Client{Transport: c.transport}, func() {}
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		// The default allows 10 MB.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	client := &http.Client{Transport: persimresponse.NewTransport(transport, &net.Dialer{Timeout: c.dialTimeout})}
	return client, client.CloseIdleConnections
}

// classifySendError returns ErrNotRun when no connection could be opened, and
// ErrBroken for any other failure to send.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotRun
	}
	return ErrBroken
}

// exchange is one request to an upstream and what is known of its connection.
type exchange struct {
	id string
	// reused is set if the connection has carried an earlier request.
	reused bool
}

// identify gives a request an id and returns its exchange.
func identify(req *http.Request) (*http.Request, *exchange) {
	e := &exchange{id: strconv.FormatUint(rand.Uint64(), 16)}
	req.Header.Set(HeaderAttempt, e.id)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { e.reused = info.Reused }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace)), e
}

// belongs reports whether a response certainly answers the request: it repeats the id or is
// the first one on its connection.
func (e *exchange) belongs(resp *http.Response) bool {
	id := resp.Header.Get(HeaderAttempt)
	return id == e.id || id == "" && !e.reused
}

// foreign reports whether a response answers another request.
func (e *exchange) foreign(resp *http.Response) bool {
	id := resp.Header.Get(HeaderAttempt)
	return id != "" && id != e.id
}

// classifyStatus returns the error that a response stands for, or nil. It reads the body of
// a response that stands for an error, since one that breaks off says nothing about the request.
func (e *exchange) classifyStatus(resp *http.Response) error {
	if e.foreign(resp) {
		return ErrBroken
	}
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	if _, err := readBody(resp); err != nil {
		return err
	}
	switch {
	case resp.Header.Get(HeaderNotRun) != "" && e.belongs(resp):
		return ErrNotRun
	case resp.Header.Get(HeaderNotRun) != "":
		return ErrBroken
	case resp.StatusCode == http.StatusNotFound:
		return ErrUnknownStream
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		return ErrRejected
	default:
		return ErrBroken
	}
}
