package persimplatform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"
)

const (
	dialTimeout      = 400 * time.Millisecond
	idleConnections  = 8
	idleTimeout      = 30 * time.Second
	maxResponseBytes = 4 << 20
	// burstSeconds is the time whose calls may be made at once.
	burstSeconds = 2
)

type config struct {
	callTimeout time.Duration
	reads       rate.Limit
	writes      rate.Limit
	token       string
	transport   http.RoundTripper
}

// An Option changes the configuration of a client.
type Option func(*config)

// WithCallTimeout bounds each call except a watch.
func WithCallTimeout(timeout time.Duration) Option {
	return func(c *config) { c.callTimeout = timeout }
}

// WithRates bounds the reads and writes per second of this host.
func WithRates(reads, writes float64) Option {
	return func(c *config) {
		c.reads = rate.Limit(reads)
		c.writes = rate.Limit(writes)
	}
}

// WithToken sends a bearer token with each call.
func WithToken(token string) Option {
	return func(c *config) { c.token = token }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *config) { c.transport = transport }
}

// client makes the calls of all interfaces of this package.
type client struct {
	base    string
	timeout time.Duration
	token   string
	http    *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
}

// newClient returns a client of the platform at the base URL and its clean-up
// function. Without WithRates, calls are not limited.
func newClient(base string, timeout time.Duration, opts []Option) (*client, func()) {
	c := config{callTimeout: timeout, reads: rate.Inf, writes: rate.Inf, transport: newTransport()}
	for _, opt := range opts {
		opt(&c)
	}
	built := &client{
		base:    base,
		timeout: c.callTimeout,
		token:   c.token,
		http:    &http.Client{Transport: c.transport},
		reads:   rate.NewLimiter(c.reads, burst(c.reads)),
		writes:  rate.NewLimiter(c.writes, burst(c.writes)),
	}
	return built, built.http.CloseIdleConnections
}

func newTransport() http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func burst(limit rate.Limit) int {
	if limit == rate.Inf {
		return 0
	}
	return max(1, int(limit*burstSeconds))
}

// call makes one call within the timeout and returns the answer's body, or an
// error of this package.
func (c *client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return c.callWith(ctx, c.timeout, method, path, body, http.Header{})
}

func (c *client) callWith(ctx context.Context, timeout time.Duration, method, path string, body []byte, header http.Header) ([]byte, error) {
	if !c.limiter(method).Allow() {
		return nil, trace.Wrap(ErrThrottled)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, body, header)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return nil, trace.Wrap(lostAnswer(method, err), "%s %s: %v", method, req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if refused := statusError(method, resp.StatusCode); refused != nil {
		return data, trace.Wrap(refused)
	}
	if err != nil {
		return nil, trace.Wrap(lostAnswer(method, err), "%s %s: %v", method, req.URL.Path, err)
	}
	return data, nil
}

func (c *client) limiter(method string) *rate.Limiter {
	if method == http.MethodGet {
		return c.reads
	}
	return c.writes
}

func (c *client) request(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Without a way to read the body again, the transport does not repeat the call.
	req.GetBody = nil
	req.Header = header
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}
