// Package persimupstream sends attempts to model engines and calls to plain services,
// the upstreams that are not model engines.
package persimupstream

import (
	"errors"
	"net"
	"net/http"
	"time"
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
)

// Defaults of clients.
const (
	DefaultDialTimeout       = time.Second
	DefaultFirstTokenTimeout = 10 * time.Second
	DefaultSilenceTimeout    = 3 * time.Second
	// DefaultCallTimeout is the timeout of the engine calls other than Generate and
	// Attach.
	DefaultCallTimeout  = time.Second
	maxBodyBytes        = 4 << 20
	maxLineBytes        = 1 << 20
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
		DialContext:         (&net.Dialer{Timeout: c.dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
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

// classifyStatus returns the error that the status and headers of a response stand
// for, or nil.
func classifyStatus(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.Header.Get(HeaderNotRun) != "":
		return ErrNotRun
	case resp.StatusCode == http.StatusNotFound:
		return ErrUnknownStream
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		return ErrRejected
	default:
		return ErrBroken
	}
}
