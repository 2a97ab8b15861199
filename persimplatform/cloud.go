package persimplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// HostState is the lifecycle state of a listed host.
type HostState string

// States of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name        string    `json:"name"`
	Address     string    `json:"address"`
	Incarnation string    `json:"incarnation"`
	Group       string    `json:"group"`
	Centre      string    `json:"centre"`
	Machine     string    `json:"machine"`
	Reclaimable bool      `json:"reclaimable"`
	State       HostState `json:"state"`
}

// Notice announces that the platform will reclaim a host.
type Notice struct {
	Address     string        `json:"address"`
	Incarnation string        `json:"incarnation"`
	Remaining   time.Duration `json:"remaining_ns"`
}

// Cloud lists, starts and stops hosts.
type Cloud interface {
	// Hosts returns the platform's list of hosts, which may be stale.
	Hosts(ctx context.Context) ([]Host, error)
	// Notices returns the reclaim notices in force.
	Notices(ctx context.Context) ([]Notice, error)
	// Start starts a host. Repeating an order with the same idempotency key has no effect.
	Start(ctx context.Context, order StartOrder) (Host, error)
	// Stop releases a host. Stopping an absent host is not an error.
	Stop(ctx context.Context, order StopOrder) error
}

// StartOrder requests one host.
type StartOrder struct {
	// IdempotencyKey identifies the order: a repetition starts no second host.
	IdempotencyKey string `json:"intent"`
	Fence          uint64 `json:"fence"`
	Group          string `json:"group"`
	Centre         string `json:"centre"`
	Machine        string `json:"machine"`
	Reclaimable    bool   `json:"reclaimable"`
}

// StopOrder releases one host.
type StopOrder struct {
	IdempotencyKey string `json:"intent"`
	Fence          uint64 `json:"fence"`
	Address        string `json:"address"`
	Incarnation    string `json:"incarnation"`
}

// Defaults of the client that New returns.
const (
	DefaultCallTimeout     = 2 * time.Second
	DefaultReadsPerSecond  = 100
	DefaultWritesPerSecond = 40
)

// ValueKind is the kind of the objects in which a Platform stores values.
const ValueKind = "persimvalues"

// Platform combines a Store and a Cloud.
type Platform interface {
	Store
	Cloud
}

type platformClient struct {
	Store
	Cloud
}

// New returns a client for the platform at the base URL and a function that closes its
// idle connections.
func New(base string, opts ...Option) (Platform, func()) {
	defaults := []Option{WithRates(DefaultReadsPerSecond, DefaultWritesPerSecond)}
	c, cleanup := newClient(base, DefaultCallTimeout, append(defaults, opts...))
	return platformClient{Store: NewStore(newObjects(c), ValueKind), Cloud: cloud{c}}, cleanup
}

// cloud is a client for the cloud API, which has no published specification: its paths
// are those of the stand-in, persimstand.
type cloud struct{ *client }

func (c cloud) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.callJSON(ctx, http.MethodGet, "/cloud/v1/hosts", nil, &hosts)
	return hosts, err
}

func (c cloud) Notices(ctx context.Context) ([]Notice, error) {
	var notices []Notice
	err := c.callJSON(ctx, http.MethodGet, "/cloud/v1/notices", nil, &notices)
	return notices, err
}

func (c cloud) Start(ctx context.Context, order StartOrder) (Host, error) {
	var host Host
	err := c.callJSON(ctx, http.MethodPost, "/cloud/v1/start", order, &host)
	return host, err
}

func (c cloud) Stop(ctx context.Context, order StopOrder) error {
	return c.callJSON(ctx, http.MethodPost, "/cloud/v1/stop", order, nil)
}

// callJSON sends the JSON form of request, if any, and decodes the response body unless
// response is nil.
func (c cloud) callJSON(ctx context.Context, method, path string, request, response any) error {
	var body []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return trace.Wrap(err)
		}
		body = encoded
	}
	received, err := c.call(ctx, method, path, body)
	if err != nil || response == nil {
		return err
	}
	if err := json.Unmarshal(received.body, response); err != nil {
		return trace.Wrap(outcomeUnknownError(method), "%s %s: %v", method, path, err)
	}
	return nil
}
