package persimplatform

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/platform"
)

// ErrFenced reports that a call carried a fencing number that has been overtaken.
var ErrFenced = ErrConflict

// A Fence names the holder of a duty in its calls.
type Fence struct {
	Holder string
	Number int64
}

// Duties calls the platform on behalf of the one host that holds the duties.
type Duties interface {
	// ReportUsage reports the requests of a window by organisation. It returns
	// ErrFenced, ErrThrottled, ErrUncertain or ErrUnavailable.
	ReportUsage(ctx context.Context, fence Fence, window int64, counts map[string]int64) error
	// OrderUpstreams orders a number of upstreams. ErrConflict says that a later
	// fence was seen or that none are to be had.
	OrderUpstreams(ctx context.Context, fence Fence, order UpstreamOrder) error
}

// An UpstreamOrder asks for a number of upstreams of a service in a data centre.
type UpstreamOrder struct {
	Service     string
	Centre      string
	Count       int
	Reclaimable bool
}

// DefaultDutyTimeout bounds one call of a duty.
const DefaultDutyTimeout = 1200 * time.Millisecond

type duties struct{ *client }

// NewDuties returns a client of the platform's duties at an address and its
// clean-up function.
func NewDuties(address string, opts ...Option) (Duties, func()) {
	c, cleanup := newClient("http://"+address, DefaultDutyTimeout, opts)
	return duties{c}, cleanup
}

func (d duties) ReportUsage(ctx context.Context, fence Fence, window int64, counts map[string]int64) error {
	body, err := platform.EncodeUsage(window, counts)
	if err != nil {
		return trace.Wrap(err)
	}
	return d.call(ctx, fence, platform.UsagePath, body)
}

func (d duties) OrderUpstreams(ctx context.Context, fence Fence, order UpstreamOrder) error {
	body, err := platform.EncodeScale(order.Service, order.Centre, order.Count, order.Reclaimable)
	if err != nil {
		return trace.Wrap(err)
	}
	return d.call(ctx, fence, platform.ScalePath, body)
}

func (d duties) call(ctx context.Context, fence Fence, path string, body []byte) error {
	header := http.Header{}
	platform.SetFence(header, fence.Holder, fence.Number)
	data, err := d.callWith(ctx, d.timeout, http.MethodPost, path, body, header)
	klog.V(1).InfoS("duty call", "path", path, "fence", fence.Number, "answer", string(data), "error", err)
	return err
}
