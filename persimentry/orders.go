package persimentry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimengine"
	"persimmonport.example/persimfleet"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplatform"
)

// orderUpstreams places the orders that the planner of each scaled service proposes.
func (e *entry) orderUpstreams(ctx context.Context) {
	catalogue, ok := e.front.Catalogue()
	if !ok {
		return
	}
	localDemand := e.front.Demand()
	for _, name := range slices.Sorted(maps.Keys(catalogue.Services())) {
		service, _ := catalogue.Service(name)
		if service.Scaling != nil {
			e.orderForService(ctx, service, localDemand)
		}
	}
}

// orderForService plans the upstreams of one service and places the orders.
func (e *entry) orderForService(ctx context.Context, service persimcatalog.Service, localDemand map[string]persimfront.Demand) {
	active := e.rolloutActive(service.Name)
	e.mu.Lock()
	planner, ok := e.planners[service.Name]
	if !ok {
		planner = persimfleet.NewUpstreamPlanner(e.rosterState.firstRead)
		e.planners[service.Name] = planner
	}
	load := e.totalLoad(service.Name, localDemand)
	upstreams := e.roster.Upstreams()[service.Name]
	load.Limited = missingCapacity(e.front.Limits(upstreams), localDemand[service.Name])
	load.KeepAll = active
	upstreams = e.front.Carrying(upstreams)
	orders := planner.Plan(time.Now(), *service.Scaling, upstreams, load)
	e.mu.Unlock()
	for _, order := range orders {
		if !e.placeOrder(ctx, service.Name, planner, order, load, localDemand[service.Name].Speed) {
			return
		}
	}
}

// missingCapacity returns the number of upstreams that are missing since others limit the
// requests that they take. The demand of this host tells how many requests keep one busy.
func missingCapacity(limits []float64, demand persimfront.Demand) float64 {
	if demand.Busy <= 0 {
		return 0
	}
	missing := 0.0
	for _, limit := range limits {
		missing += persimfleet.LimitedShare(limit, demand.Requests/demand.Busy)
	}
	return missing
}

// placeOrder sends one order to the platform and reports whether the next order may
// be placed.
func (e *entry) placeOrder(ctx context.Context, service string, planner persimfleet.UpstreamPlanner, order persimfleet.UpstreamOrder, load persimfleet.Load, speed persimengine.Speed) bool {
	fence, held := e.heldFence()
	if !held {
		return false
	}
	err := e.duties.OrderUpstreams(ctx, persimplatform.Fence{Holder: e.deployment.Host, Token: fence}, persimplatform.UpstreamOrder{
		Service: service, Centre: order.Centre, Count: order.Count, Reclaimable: order.Reclaimable,
	})
	klog.InfoS("upstreams ordered", "service", service, "centre", order.Centre, "count", order.Count,
		"reclaimable", order.Reclaimable, "work", load.Busy, "limited", load.Limited, "promptToken", speed.PromptToken, "outputToken", speed.OutputToken, "fence", fence, "error", persimlog.ErrorText(err))
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		planner.RecordAccepted(time.Now(), order)
		return true
	}
	planner.RecordRefused(time.Now(), order)
	return !errors.Is(err, persimplatform.ErrConflict) || order.Reclaimable
}

// totalLoad sums the demand for a service on this host and on all others, as far as it
// was received within peerStateTTL.
func (e *entry) totalLoad(service string, localDemand map[string]persimfront.Demand) persimfleet.Load {
	sum := persimfleet.Load{Busy: localDemand[service].Busy}
	if e.usesHubs() {
		sum.Busy += e.follower.Busy(time.Now())[service]
		return sum
	}
	for _, p := range e.peers {
		if time.Since(p.lastHeard) > peerStateTTL {
			continue
		}
		sum.Busy += p.demand[service].Busy
	}
	return sum
}
