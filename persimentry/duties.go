package persimentry

import "context"

// doReports reports usage while the host holds the lease.
func (e *entry) doReports(ctx context.Context) {
	if e.deployment.ReportsUsage {
		e.whileHolding(ctx, e.reportUsage)
	}
}

// doOrders orders upstreams while the host holds the lease. Reports that wait for
// the platform do not hold it up.
func (e *entry) doOrders(ctx context.Context) {
	if e.deployment.OrdersUpstreams {
		e.whileHolding(ctx, e.orderUpstreams)
	}
}

func (e *entry) whileHolding(ctx context.Context, do func(context.Context)) {
	every(ctx, dutyInterval, func(ctx context.Context) {
		if _, held := e.held(); held {
			do(ctx)
		}
	})
}
