package persimmonport

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

const (
	loadPollInterval = time.Second
	// maxLoadPolls is the maximum number of upstreams polled for their load per interval.
	maxLoadPolls = 32
)

// loadLoop polls the load of the upstreams in turn, at most maxLoadPolls per interval.
func (h *host) loadLoop(ctx context.Context) {
	next := 0
	runEvery(ctx, loadPollInterval, func(ctx context.Context) {
		var tasks []func()
		for _, sched := range h.schedulers.all() {
			for _, status := range sched.status() {
				tasks = append(tasks, func() { h.pollLoad(ctx, sched, status.Address, status.Incarnation) })
			}
		}
		for range min(len(tasks), maxLoadPolls) {
			next = (next + 1) % len(tasks)
			go tasks[next]()
		}
	})
}

func (h *host) pollLoad(ctx context.Context, sched *scheduler, address, incarnation string) {
	load, err := h.engine.Load(ctx, address)
	if err != nil {
		return
	}
	if load.Incarnation != "" && load.Incarnation != incarnation {
		klog.Infof("upstream: %s is now incarnation %s", address, load.Incarnation)
		if h.members.MarkLeaving(address, incarnation, time.Now()) {
			h.evacuateUpstream(address)
			h.triggerExchange()
		}
		return
	}
	sched.report(address, load.Report())
}

// evacuateUpstream stops scheduling on a leaving upstream and moves its attempts.
func (h *host) evacuateUpstream(address string) {
	h.schedulers.update()
	h.activeAttempts.cancelUpstream(address)
}
