package persimplatform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"persimmonport.example/persimresponse"
	"persimmonport.example/platform"
)

const (
	dialTimeout        = 400 * time.Millisecond
	maxIdleConnections = 8
	idleTimeout        = 30 * time.Second
	maxResponseBytes   = 4 << 20
	// maxResponseHeaderBytes limits the head of a response.
	maxResponseHeaderBytes = 64 << 10
	// burstSeconds is the burst of the rate limiters, in seconds of their rate.
	burstSeconds = 2
)

type config struct {
	callTimeout time.Duration
	reads       rate.Limit
	writes      rate.Limit
	token       string
	transport   http.RoundTripper
	observe     func(call string)
}

// Option configures a client.
type Option func(*config)

// WithCallTimeout limits the time of each call; a watch takes its wait in addition.
func WithCallTimeout(timeout time.Duration) Option {
	return func(c *config) { c.callTimeout = timeout }
}

// WithRates limits the reads and writes per second of this host.
func WithRates(reads, writes float64) Option {
	return func(c *config) {
		c.reads = rate.Limit(reads)
		c.writes = rate.Limit(writes)
	}
}

// WithToken sets the bearer token that each call sends.
func WithToken(token string) Option {
	return func(c *config) { c.token = token }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *config) { c.transport = transport }
}

// WithObserver sets a function that is told the method and the kind of each call.
func WithObserver(observe func(call string)) Option {
	return func(c *config) { c.observe = observe }
}

// client is the HTTP client behind all interfaces of this package.
type client struct {
	base    string
	timeout time.Duration
	token   string
	http    *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	observe func(call string)
}

// newClient returns a client for the platform at the base URL and a function that
// closes its idle connections. Without WithRates, calls are not rate-limited.
func newClient(base string, timeout time.Duration, opts []Option) (*client, func()) {
	c := config{callTimeout: timeout, reads: rate.Inf, writes: rate.Inf, transport: newTransport(), observe: func(string) {}}
	for _, opt := range opts {
		opt(&c)
	}
	created := &client{
		base:    base,
		timeout: c.callTimeout,
		token:   c.token,
		http:    &http.Client{Transport: c.transport},
		reads:   rate.NewLimiter(c.reads, burst(c.reads)),
		writes:  rate.NewLimiter(c.writes, burst(c.writes)),
		observe: c.observe,
	}
	return created, created.http.CloseIdleConnections
}

func newTransport() http.RoundTripper {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The default allows 10 MB.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return persimresponse.NewTransport(transport, &net.Dialer{Timeout: dialTimeout})
}

func burst(limit rate.Limit) int {
	if limit == rate.Inf {
		return 0
	}
	return max(1, int(limit*burstSeconds))
}

// response is what a call returned. Its parts may also be present beside an error.
type response struct {
	header http.Header
	body   []byte
}

// call sends one request within the default timeout and returns the response, or an error of
// this package.
func (c *client) call(ctx context.Context, method, path string, body []byte) (response, error) {
	return c.callWithin(ctx, c.timeout, method, path, body, http.Header{})
}

// callWithin is call with an explicit timeout and request headers.
func (c *client) callWithin(ctx context.Context, timeout time.Duration, method, path string, body []byte, header http.Header) (response, error) {
	if !c.limiter(method).Allow() {
		return response{}, trace.Wrap(ErrThrottled)
	}
	c.observe(callName(method, path))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx, method, path, body, header)
	if err != nil {
		return response{}, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return response{}, trace.Wrap(transportError(method, err), "%s %s: %v", method, req.URL.Path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	received := response{header: resp.Header}
	if err != nil {
		return received, trace.Wrap(transportError(method, err), "%s %s: %v", method, req.URL.Path, err)
	}
	if len(data) > maxResponseBytes {
		return received, trace.Wrap(outcomeUnknownError(method), "%s %s: response too long", method, req.URL.Path)
	}
	received.body = data
	if statusErr := statusError(method, resp.StatusCode); statusErr != nil {
		return received, trace.Wrap(statusErr)
	}
	return received, nil
}

// callName returns the method and the kind of a call, without the object's name.
func callName(method, path string) string {
	path, _, _ = strings.Cut(path, "?")
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, platform.ObjectsPath), "/")
	if kind == "" {
		kind = strings.Trim(path, "/")
	}
	return method + " " + kind
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
	// Without GetBody, the transport cannot rewind the body and does not retry the call.
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
