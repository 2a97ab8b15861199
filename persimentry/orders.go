package persimentry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimfleet"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplatform"
)

// orderUpstreams makes the orders that the planner wants.
func (e *entry) orderUpstreams(ctx context.Context) {
	catalogue, ok := e.front.Catalogue()
	if !ok {
		return
	}
	own := e.front.Demand()
	for _, name := range slices.Sorted(maps.Keys(catalogue.Services())) {
		service, _ := catalogue.Service(name)
		if service.Scaling != nil {
			e.orderFor(ctx, service, own)
		}
	}
}

func (e *entry) orderFor(ctx context.Context, service persimcatalog.Service, own map[string]persimfront.Demand) {
	e.mu.Lock()
	planner, ok := e.planners[service.Name]
	if !ok {
		planner = persimfleet.NewUpstreamPlanner(e.rosterAt.known)
		e.planners[service.Name] = planner
	}
	load := e.load(service.Name, own)
	upstreams := e.roster.Upstreams()[service.Name]
	orders := planner.Plan(time.Now(), *service.Scaling, upstreams, load)
	e.mu.Unlock()
	for _, order := range orders {
		if !e.order(ctx, service.Name, planner, order, load) {
			return
		}
	}
}

// order makes one order and reports whether the duty goes on.
func (e *entry) order(ctx context.Context, service string, planner persimfleet.UpstreamPlanner, order persimfleet.UpstreamOrder, load persimfleet.Load) bool {
	fence, held := e.held()
	if !held {
		return false
	}
	err := e.calls.OrderUpstreams(ctx, persimplatform.Fence{Holder: e.deployment.Host, Number: fence}, persimplatform.UpstreamOrder{
		Service: service, Centre: order.Centre, Count: order.Count, Reclaimable: order.Reclaimable,
	})
	klog.InfoS("upstreams ordered", "service", service, "centre", order.Centre, "count", order.Count,
		"reclaimable", order.Reclaimable, "work", load.Work(), "fence", fence, "error", persimlog.Cause(err))
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		planner.Ordered(time.Now(), order)
		return true
	}
	planner.Refused(time.Now(), order)
	return !errors.Is(err, persimplatform.ErrConflict) || order.Reclaimable
}

// load sums what arrives for a service at all hosts that were heard lately.
func (e *entry) load(service string, own map[string]persimfront.Demand) persimfleet.Load {
	sum := persimfleet.Load{Tokens: own[service].Tokens, Output: own[service].Output}
	for _, p := range e.peers {
		if time.Since(p.heard) > peerForgotten {
			continue
		}
		sum.Tokens += p.demand[service].Tokens
		sum.Output += p.demand[service].Output
	}
	return sum
}
