package persimplatform

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/platform"
)

// ErrFenced reports that the fencing token of a call is older than one already seen.
var ErrFenced = ErrConflict

// Fence names the holder of the duties and its fencing token, sent with each call.
type Fence struct {
	Holder string
	Token  int64
}

// Duties makes the platform calls that are reserved to the single host that holds the
// lease.
type Duties interface {
	// ReportUsage reports the request counts of a window by organisation. It returns
	// ErrFenced, ErrThrottled, ErrUncertain or ErrUnavailable.
	ReportUsage(ctx context.Context, fence Fence, window int64, counts map[string]int64) error
	// OrderUpstreams orders a number of upstreams. It returns ErrConflict if a later
	// fencing token was seen or no upstream is available.
	OrderUpstreams(ctx context.Context, fence Fence, order UpstreamOrder) error
}

// UpstreamOrder requests a number of upstreams of a service in a data centre.
type UpstreamOrder struct {
	Service     string
	Centre      string
	Count       int
	Reclaimable bool
}

// DefaultDutyTimeout limits one call of Duties.
const DefaultDutyTimeout = 1200 * time.Millisecond

type duties struct{ *client }

// NewDuties returns a Duties client for an address and a function that closes its idle
// connections.
func NewDuties(address string, opts ...Option) (Duties, func()) {
	c, cleanup := newClient("http://"+address, DefaultDutyTimeout, opts)
	return duties{c}, cleanup
}

func (d duties) ReportUsage(ctx context.Context, fence Fence, window int64, counts map[string]int64) error {
	body, err := platform.EncodeUsage(window, counts)
	if err != nil {
		return trace.Wrap(err)
	}
	return d.post(ctx, fence, platform.UsagePath, body)
}

func (d duties) OrderUpstreams(ctx context.Context, fence Fence, order UpstreamOrder) error {
	body, err := platform.EncodeScale(order.Service, order.Centre, order.Count, order.Reclaimable)
	if err != nil {
		return trace.Wrap(err)
	}
	return d.post(ctx, fence, platform.ScalePath, body)
}

func (d duties) post(ctx context.Context, fence Fence, path string, body []byte) error {
	header := http.Header{}
	platform.SetFence(header, fence.Holder, fence.Token)
	received, err := d.callWithin(ctx, d.timeout, http.MethodPost, path, body, header)
	klog.V(1).InfoS("duty call", "path", path, "fence", fence.Token, "answer", string(received.body), "error", err)
	return err
}
