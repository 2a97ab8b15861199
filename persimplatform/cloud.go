package persimplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// HostState is the state of a listed host.
type HostState string

// States of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// A Host is an entry of the platform's list of hosts.
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

// A Notice announces that the platform takes a host back.
type Notice struct {
	Address     string        `json:"address"`
	Incarnation string        `json:"incarnation"`
	Remaining   time.Duration `json:"remaining_ns"`
}

// A Cloud lists, starts and stops hosts.
type Cloud interface {
	// Hosts returns the platform's list, which may lag.
	Hosts(ctx context.Context) ([]Host, error)
	// Notices returns the reclaim notices in force.
	Notices(ctx context.Context) ([]Notice, error)
	// Start asks for a host. A repeated intent starts nothing new.
	Start(ctx context.Context, order StartOrder) (Host, error)
	// Stop gives a host back. Stopping an absent host is not an error.
	Stop(ctx context.Context, order StopOrder) error
}

// A StartOrder asks for one host.
type StartOrder struct {
	// Intent names the order, so that a repetition has no further effect.
	Intent      string `json:"intent"`
	Fence       uint64 `json:"fence"`
	Group       string `json:"group"`
	Centre      string `json:"centre"`
	Machine     string `json:"machine"`
	Reclaimable bool   `json:"reclaimable"`
}

// A StopOrder gives one host back.
type StopOrder struct {
	Intent      string `json:"intent"`
	Fence       uint64 `json:"fence"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// Defaults of the client that New returns.
const (
	DefaultCallTimeout    = 2 * time.Second
	DefaultReadsPerSecond = 100
	DefaultWritesPerSec   = 40
)

// ValueKind is the kind of the objects behind a Platform's store.
const ValueKind = "persimvalues"

// A Platform is a Store and a Cloud.
type Platform interface {
	Store
	Cloud
}

type joined struct {
	Store
	Cloud
}

// New returns a client of the platform at the base URL and its clean-up function.
func New(base string, opts ...Option) (Platform, func()) {
	defaults := []Option{WithRates(DefaultReadsPerSecond, DefaultWritesPerSec)}
	c, cleanup := newClient(base, DefaultCallTimeout, append(defaults, opts...))
	return joined{Store: NewStore(objects{c}, ValueKind), Cloud: cloud{c}}, cleanup
}

// cloud speaks the cloud API, which has no published form: its paths are those of
// the stand-in.
type cloud struct{ *client }

func (c cloud) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.exchange(ctx, http.MethodGet, "/cloud/v1/hosts", nil, &hosts)
	return hosts, err
}

func (c cloud) Notices(ctx context.Context) ([]Notice, error) {
	var notices []Notice
	err := c.exchange(ctx, http.MethodGet, "/cloud/v1/notices", nil, &notices)
	return notices, err
}

func (c cloud) Start(ctx context.Context, order StartOrder) (Host, error) {
	var host Host
	err := c.exchange(ctx, http.MethodPost, "/cloud/v1/start", order, &host)
	return host, err
}

func (c cloud) Stop(ctx context.Context, order StopOrder) error {
	return c.exchange(ctx, http.MethodPost, "/cloud/v1/stop", order, nil)
}

// exchange makes a call and decodes the answer, if there is a place for it.
func (c cloud) exchange(ctx context.Context, method, path string, request, into any) error {
	var body []byte
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return trace.Wrap(err)
		}
		body = encoded
	}
	data, err := c.call(ctx, method, path, body)
	if err != nil || into == nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return trace.Wrap(unknownOutcome(method), "%s %s: %v", method, path, err)
	}
	return nil
}
