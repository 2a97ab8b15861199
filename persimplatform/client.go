package persimplatform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"
)

// Defaults of a client.
const (
	DefaultCallTimeout    = 2 * time.Second
	DefaultReadsPerSecond = 100
	DefaultWritesPerSec   = 40
	burstSeconds          = 2
	idleConnections       = 8
	idleTimeout           = 30 * time.Second
	// untagged stands for the tag of a resource that has none.
	untagged         = "untagged"
	maxResponseBytes = 4 << 20
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

// A Platform is a Store and a Cloud.
type Platform interface {
	Store
	Cloud
}

type client struct {
	config
	base    string
	http    *http.Client
	readBy  *rate.Limiter
	writeBy *rate.Limiter

	mu   sync.Mutex
	list taggedList
}

// taggedList is the list of hosts last read, with its entity tag.
type taggedList struct {
	tag   string
	hosts []Host
}

// New returns a client of the platform at the base URL and its clean-up function.
func New(base string, opts ...Option) (Platform, func()) {
	c := config{
		callTimeout: DefaultCallTimeout,
		reads:       DefaultReadsPerSecond,
		writes:      DefaultWritesPerSec,
	}
	for _, opt := range opts {
		opt(&c)
	}
	p := &client{
		config:  c,
		base:    base,
		http:    &http.Client{Transport: c.roundTripper()},
		readBy:  rate.NewLimiter(c.reads, burst(c.reads)),
		writeBy: rate.NewLimiter(c.writes, burst(c.writes)),
	}
	return p, p.http.CloseIdleConnections
}

func (c config) roundTripper() http.RoundTripper {
	if c.transport != nil {
		return c.transport
	}
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: c.callTimeout}).DialContext,
		MaxIdleConnsPerHost:   idleConnections,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: c.callTimeout,
	}
}

func burst(limit rate.Limit) int {
	return max(1, int(limit*burstSeconds))
}

// An Envelope is the wire form of an object, in the manner of a Kubernetes resource.
type Envelope struct {
	Metadata Metadata `json:"metadata"`
	Spec     Spec     `json:"spec"`
}

// Metadata names an object and its version.
type Metadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Spec holds the value of an object.
type Spec struct {
	Value []byte `json:"value"`
}

// An Event is one line of a watch.
type Event struct {
	Type   EventType `json:"type"`
	Object Envelope  `json:"object"`
}

// EventType is the kind of a watch event.
type EventType string

// Kinds of watch events.
const (
	EventModified EventType = "MODIFIED"
	EventBookmark EventType = "BOOKMARK"
)

func (e Envelope) object() (Object, error) {
	version, err := strconv.ParseUint(e.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return Object{}, trace.BadParameter("platform sent version %q", e.Metadata.ResourceVersion)
	}
	return Object{Name: e.Metadata.Name, Version: version, Value: e.Spec.Value}, nil
}

// NewEnvelope returns the wire form of an object.
func NewEnvelope(o Object) Envelope {
	e := Envelope{Metadata: Metadata{Name: o.Name}, Spec: Spec{Value: o.Value}}
	if o.Version > 0 {
		e.Metadata.ResourceVersion = strconv.FormatUint(o.Version, 10)
	}
	return e
}

func objectPath(name string) string {
	return "/apis/persimmonport.example/v1/objects/" + url.PathEscape(name)
}

func (c *client) Get(ctx context.Context, name string) (Object, error) {
	var e Envelope
	if err := c.read(ctx, objectPath(name), &e); err != nil {
		return Object{}, trace.Wrap(err)
	}
	return e.object()
}

func (c *client) GetNewer(ctx context.Context, name string, version uint64) (Object, bool, error) {
	var e Envelope
	tag, err := c.readTagged(ctx, objectPath(name), versionTag(version), &e)
	if err != nil {
		return Object{}, false, trace.Wrap(err)
	}
	if tag == "" {
		return Object{}, false, nil
	}
	object, err := e.object()
	return object, true, trace.Wrap(err)
}

// versionTag is the entity tag of an object's version.
func versionTag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

func (c *client) Put(ctx context.Context, object Object) (Object, error) {
	if len(object.Value) > MaxValueBytes {
		return Object{}, trace.Wrap(ErrTooLarge)
	}
	method := http.MethodPut
	if object.Version == 0 {
		method = http.MethodPost
	}
	var e Envelope
	if err := c.write(ctx, method, objectPath(object.Name), NewEnvelope(object), &e); err != nil {
		return Object{}, trace.Wrap(err)
	}
	return e.object()
}

func (c *client) Await(ctx context.Context, name string, after uint64) (Object, error) {
	if !c.readBy.Allow() {
		return Object{}, trace.Wrap(ErrThrottled)
	}
	query := "?watch=true&resourceVersion=" + strconv.FormatUint(after, 10)
	resp, err := c.send(ctx, http.MethodGet, objectPath(name)+query, nil)
	if err != nil {
		return Object{}, trace.Wrap(ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp.StatusCode); err != nil {
		return Object{}, trace.Wrap(err)
	}
	return awaitEvent(resp.Body, after)
}

func awaitEvent(body io.Reader, after uint64) (Object, error) {
	lines := json.NewDecoder(body)
	for {
		var event Event
		if err := lines.Decode(&event); err != nil {
			return Object{}, trace.Wrap(ErrUnavailable)
		}
		if event.Type != EventModified {
			continue
		}
		object, err := event.Object.object()
		if err != nil {
			return Object{}, trace.Wrap(err)
		}
		if object.Version > after {
			return object, nil
		}
	}
}

func (c *client) Hosts(ctx context.Context) ([]Host, error) {
	c.mu.Lock()
	known := c.list
	c.mu.Unlock()
	var hosts []Host
	tag, err := c.readTagged(ctx, "/cloud/v1/hosts", known.tag, &hosts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if tag == "" {
		return known.hosts, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = taggedList{tag: tag, hosts: hosts}
	return hosts, nil
}

func (c *client) Notices(ctx context.Context) ([]Notice, error) {
	var notices []Notice
	err := c.read(ctx, "/cloud/v1/notices", &notices)
	return notices, trace.Wrap(err)
}

func (c *client) Start(ctx context.Context, order StartOrder) (Host, error) {
	var host Host
	err := c.write(ctx, http.MethodPost, "/cloud/v1/start", order, &host)
	return host, trace.Wrap(err)
}

func (c *client) Stop(ctx context.Context, order StopOrder) error {
	return trace.Wrap(c.write(ctx, http.MethodPost, "/cloud/v1/stop", order, nil))
}

func (c *client) read(ctx context.Context, path string, into any) error {
	_, err := c.readTagged(ctx, path, "", into)
	return err
}

// readTagged reads a resource unless its entity tag is the given one. It returns
// the tag of what was read, or an empty one when nothing has changed.
func (c *client) readTagged(ctx context.Context, path, tag string, into any) (string, error) {
	if !c.readBy.Allow() {
		return "", ErrThrottled
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	resp, err := c.sendTagged(ctx, http.MethodGet, path, tag, nil)
	if err != nil {
		return "", ErrUnavailable
	}
	if resp.StatusCode == http.StatusNotModified {
		_ = resp.Body.Close()
		return "", nil
	}
	if err := decode(resp, into); err != nil {
		if isDecision(err) {
			return "", err
		}
		return "", ErrUnavailable
	}
	return cmp.Or(resp.Header.Get("ETag"), untagged), nil
}

func (c *client) write(ctx context.Context, method, path string, body, into any) error {
	if !c.writeBy.Allow() {
		return ErrThrottled
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	payload, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.send(ctx, method, path, payload)
	if err != nil {
		return writeError(err)
	}
	err = decode(resp, into)
	if err == nil || isDecision(err) {
		return err
	}
	return ErrUncertain
}

func writeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUncertain
}

func (c *client) send(ctx context.Context, method, path string, payload []byte) (*http.Response, error) {
	return c.sendTagged(ctx, method, path, "", payload)
}

func (c *client) sendTagged(ctx context.Context, method, path, tag string, payload []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(payload))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	// An answer whose connection timed out must not be retried by the transport.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return nil, trace.Wrap(err)
	}
	return resp, nil
}

func decode(resp *http.Response, into any) error {
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into)
}

func statusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	case status == http.StatusInsufficientStorage:
		return ErrRefused
	default:
		return ErrUncertain
	}
}

func isDecision(err error) bool {
	for _, decision := range []error{ErrNotFound, ErrConflict, ErrThrottled, ErrTooLarge, ErrRefused, ErrUnavailable} {
		if errors.Is(err, decision) {
			return true
		}
	}
	return false
}
