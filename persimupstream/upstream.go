// Package persimupstream sends attempts to model engines and to plain services.
package persimupstream

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// Errors of an attempt; callers test for them with errors.Is.
var (
	// ErrNotRun reports that the upstream has provably not run the request.
	ErrNotRun = errors.New("upstream: refused before running")
	// ErrBroken reports a stream that ended before its end marker, or an answer
	// that did not come. Whether the request ran is unknown.
	ErrBroken = errors.New("upstream: connection broken")
	// ErrSilent reports a connection on which nothing came within the bound.
	ErrSilent = errors.New("upstream: connection silent")
	// ErrGone reports a stream that the engine does not know.
	ErrGone = errors.New("upstream: unknown stream")
	// ErrRejected reports a request that the upstream judged wrong.
	ErrRejected = errors.New("upstream: request rejected")
)

// Headers of requests and answers.
const (
	// HeaderFence carries the fencing number of the host that sends.
	HeaderFence = "X-Fence"
	// HeaderKey carries the caller's key to a plain service.
	HeaderKey = "X-Request-Key"
	// HeaderNotRun marks an answer of an upstream that has not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderIncarnation carries the incarnation of the upstream's process.
	HeaderIncarnation = "X-Incarnation"
)

// Defaults of clients.
const (
	DefaultDialTimeout   = time.Second
	DefaultFirstTimeout  = 10 * time.Second
	DefaultSilence       = 3 * time.Second
	DefaultReportTimeout = time.Second
	maxAnswerBytes       = 4 << 20
	maxLineBytes         = 1 << 20
	idleConnections      = 64
)

type config struct {
	dial      time.Duration
	first     time.Duration
	silence   time.Duration
	transport http.RoundTripper
}

// An Option changes the configuration of a client.
type Option func(*config)

// WithDialTimeout bounds the set-up of a connection.
func WithDialTimeout(timeout time.Duration) Option { return func(c *config) { c.dial = timeout } }

// WithFirstTimeout bounds the time to the first token of an attempt.
func WithFirstTimeout(timeout time.Duration) Option { return func(c *config) { c.first = timeout } }

// WithSilence bounds the time between two tokens of an attempt.
func WithSilence(silence time.Duration) Option { return func(c *config) { c.silence = silence } }

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *config) { c.transport = transport }
}

func newConfig(opts []Option) config {
	c := config{dial: DefaultDialTimeout, first: DefaultFirstTimeout, silence: DefaultSilence}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// newClient returns an HTTP client and its clean-up function.
func newClient(c config) (*http.Client, func()) {
	if c.transport != nil {
		return &http.Client{Transport: c.transport}, func() {}
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: c.dial}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

// sendError turns a failure to send into the layer's errors.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotRun
	}
	return ErrBroken
}

func statusError(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.Header.Get(HeaderNotRun) != "":
		return ErrNotRun
	case resp.StatusCode == http.StatusNotFound:
		return ErrGone
	case resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError:
		return ErrRejected
	default:
		return ErrBroken
	}
}
