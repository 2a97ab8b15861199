package persimentry

import "context"

// doDuties does the work of whoever holds the lease.
func (e *entry) doDuties(ctx context.Context) {
	every(ctx, dutyInterval, func(ctx context.Context) {
		if _, held := e.held(); !held {
			return
		}
		if e.deployment.ReportsUsage {
			e.reportUsage(ctx)
		}
		if e.deployment.OrdersUpstreams {
			e.orderUpstreams(ctx)
		}
	})
}
