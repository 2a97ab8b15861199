package persimentry

import "context"

// reportUsageLoop reports usage while the host holds the lease.
func (e *entry) reportUsageLoop(ctx context.Context) {
	if e.deployment.ReportsUsage {
		e.whileLeaseHeld(ctx, e.reportUsage)
	}
}

// orderUpstreamsLoop orders upstreams while the host holds the lease. It is a loop of
// its own, so that usage reports that wait for the platform do not delay orders.
func (e *entry) orderUpstreamsLoop(ctx context.Context) {
	if e.deployment.OrdersUpstreams {
		e.whileLeaseHeld(ctx, e.orderUpstreams)
	}
}

// whileLeaseHeld calls fn at dutyInterval while the host holds the lease.
func (e *entry) whileLeaseHeld(ctx context.Context, fn func(context.Context)) {
	every(ctx, dutyInterval, func(ctx context.Context) {
		if _, held := e.heldFence(); held {
			fn(ctx)
		}
	})
}
