package persimfleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	// reclaimableUtilisation is the target utilisation of the reclaimable upstreams
	// while none is reclaimed. It is low so that those left when data centres are
	// reclaimed one after another still carry most of the load.
	reclaimableUtilisation = 0.23
	// maxUtilisation is the utilisation above which on-demand upstreams are ordered,
	// since bursts of requests would then wait too long.
	maxUtilisation = 0.46
	// onDemandReserveUtilisation is the utilisation that the on-demand upstreams alone
	// would have during the reclaim window: if the remaining reclaimable ones are
	// reclaimed too, they carry the load until others have started.
	onDemandReserveUtilisation = 0.8
	// reclaimWindow is the time after a reclaim during which another is expected.
	reclaimWindow = 12 * time.Second
	// refusalRetryDelay is the time after which a refused order is repeated.
	refusalRetryDelay = 1500 * time.Millisecond
	// orderRetryDelay is the time, in addition to the boot time of an upstream, after
	// which an order without effect is repeated.
	orderRetryDelay = 2 * time.Second
	// onDemandScaleDownDelay is how long on-demand upstreams are kept after they were
	// last needed.
	onDemandScaleDownDelay = 4 * time.Second
	// peakDecayTime is the time in which the planned load decays by two thirds.
	peakDecayTime = 15 * time.Second
)

// Load is the work that arrives for a service.
type Load struct {
	// Busy is the number of upstreams that the work keeps fully busy.
	Busy float64
	// Limited is the number of upstreams that are missing since others limit the requests
	// that they take.
	Limited float64
	// KeepAll is set while no order may reduce the number of upstreams, as during a rollout.
	KeepAll bool
}

// LimitedShare returns the share of an upstream that is missing since it takes only limit
// requests a second, where rate is the number of requests that keep one fully busy.
func LimitedShare(limit, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(0, 1-limit/(rate*reclaimableUtilisation))
}

// CapacityPool identifies the upstreams of a service in one data centre that are
// either all reclaimable or all on demand.
type CapacityPool struct {
	Centre      string
	Reclaimable bool
}

// UpstreamOrder requests a number of upstreams of one capacity pool.
type UpstreamOrder struct {
	CapacityPool
	Count int
}

// UpstreamPlanner decides how many upstreams of a service to order. It is not safe
// for concurrent use.
//
// It assumes that reclaimable upstreams are cheap, that they are reclaimed a whole
// data centre at a time, one data centre after another, and that none can be started
// for a while afterwards.
type UpstreamPlanner interface {
	// Plan returns the orders to place now.
	Plan(now time.Time, scaling persimcatalog.Scaling, upstreams []persimcatalog.Upstream, load Load) []UpstreamOrder
	// RecordAccepted records that the platform accepted an order.
	RecordAccepted(now time.Time, order UpstreamOrder)
	// RecordRefused records that the platform refused an order.
	RecordRefused(now time.Time, order UpstreamOrder)
}

// pastOrder is the last order for a capacity pool and its result.
type pastOrder struct {
	count   int
	at      time.Time
	refused bool
}

// onDemandPeak is the largest recently required number of on-demand upstreams in a
// data centre.
type onDemandPeak struct {
	count int
	at    time.Time
}

type upstreamPlanner struct {
	orders        map[CapacityPool]pastOrder
	onDemandPeaks map[string]onDemandPeak
	// initialCount is the number of upstreams that existed before the first load.
	initialCount int
	knownSince   time.Time
	// peak is the load to plan for, as a number of busy upstreams. It rises at once
	// and decays exponentially.
	peak          float64
	peakUpdatedAt time.Time
	// lastReclaim is the time at which the last reclaim was detected.
	lastReclaim time.Time
	supply      reclaimableSupply
}

// NewUpstreamPlanner returns a planner without past orders, for a host that has known
// the upstreams since knownSince.
func NewUpstreamPlanner(knownSince time.Time) UpstreamPlanner {
	return &upstreamPlanner{orders: map[CapacityPool]pastOrder{}, onDemandPeaks: map[string]onDemandPeak{}, knownSince: knownSince}
}

// updatePeak returns the load to plan for, as a number of busy upstreams. Before the
// first load, it is the load that puts the existing upstreams at maxUtilisation.
func (p *upstreamPlanner) updatePeak(now time.Time, busy float64, upstreams int) float64 {
	if p.peak == 0 && busy == 0 {
		if len(p.orders) == 0 {
			p.initialCount = max(p.initialCount, upstreams)
		}
		return float64(p.initialCount) * maxUtilisation
	}
	decayed := p.peak * math.Exp(-now.Sub(p.peakUpdatedAt).Seconds()/peakDecayTime.Seconds())
	if p.peakUpdatedAt.IsZero() {
		decayed = float64(p.initialCount) * maxUtilisation
	}
	p.peak = max(busy, decayed)
	p.peakUpdatedAt = now
	return p.peak
}

// initialOrderDelay is how long the upstreams are observed before the first order:
// when all start together, their entries arrive up to three seconds and a heartbeat
// late.
const initialOrderDelay = 4500 * time.Millisecond

func (p *upstreamPlanner) Plan(now time.Time, scaling persimcatalog.Scaling, upstreams []persimcatalog.Upstream, load Load) []UpstreamOrder {
	centres := centresByPrice(scaling)
	if len(centres) == 0 {
		return nil
	}
	peak := p.updatePeak(now, load.Busy, len(upstreams))
	if now.Sub(p.knownSince) < initialOrderDelay || len(upstreams) == 0 {
		return nil
	}
	current := countByPool(upstreams)
	p.supply.observe(current)
	p.detectReclaims(now, upstreams, current)
	desired := p.desiredReclaimable(scaling, centres, peak, load.Limited)
	wanted := maps.Clone(desired)
	p.addOnDemand(now, scaling, centres, current, desired, peak, load.Limited)
	if p.lastReclaim.IsZero() || now.Sub(p.lastReclaim) >= reclaimWindow {
		p.replaceOnDemand(scaling, current, wanted, desired, peak)
	}
	if load.KeepAll {
		p.dropReductions(desired, current)
	}
	return p.pendingOrders(now, scaling, desired, current)
}

// dropReductions removes the pools of which fewer upstreams are desired than exist or were
// ordered.
func (p *upstreamPlanner) dropReductions(desired, current map[CapacityPool]int) {
	maps.DeleteFunc(desired, func(pool CapacityPool, count int) bool {
		last, ok := p.orders[pool]
		return count < current[pool] || ok && !last.refused && count < last.count
	})
}

// detectReclaims records a reclaim when all reclaimable upstreams of a data centre
// are leaving although some are ordered.
func (p *upstreamPlanner) detectReclaims(now time.Time, upstreams []persimcatalog.Upstream, current map[CapacityPool]int) {
	for _, upstream := range upstreams {
		pool := CapacityPool{Centre: upstream.Centre, Reclaimable: true}
		if upstream.Reclaimable && upstream.Leaving && current[pool] == 0 && p.orders[pool].count > 0 {
			p.lastReclaim = now
			p.supply.refused = true
		}
	}
}

// countByPool returns the number of upstreams that are not leaving, by capacity pool.
func countByPool(upstreams []persimcatalog.Upstream) map[CapacityPool]int {
	counts := map[CapacityPool]int{}
	for _, upstream := range upstreams {
		if !upstream.Leaving {
			counts[CapacityPool{Centre: upstream.Centre, Reclaimable: upstream.Reclaimable}]++
		}
	}
	return counts
}

// centresByPrice returns the data centres by ascending price.
func centresByPrice(scaling persimcatalog.Scaling) []string {
	centres := make([]string, 0, len(scaling.CentrePrices))
	for centre := range scaling.CentrePrices {
		centres = append(centres, centre)
	}
	slices.SortFunc(centres, func(a, b string) int {
		return cmp.Or(cmp.Compare(scaling.CentrePrices[a], scaling.CentrePrices[b]), cmp.Compare(a, b))
	})
	return centres
}

// desiredReclaimable spreads reclaimable upstreams evenly over the data centres.
func (p *upstreamPlanner) desiredReclaimable(scaling persimcatalog.Scaling, centres []string, peak, limited float64) map[CapacityPool]int {
	desired := map[CapacityPool]int{}
	share := int(math.Ceil((peak/reclaimableUtilisation + limited) / float64(len(centres))))
	for _, centre := range centres {
		desired[CapacityPool{Centre: centre, Reclaimable: true}] = min(max(share, scaling.Min), scaling.Max)
	}
	return desired
}

// addOnDemand adds on-demand upstreams for the load that the reclaimable ones do not
// cover, in the cheapest data centres.
func (p *upstreamPlanner) addOnDemand(now time.Time, scaling persimcatalog.Scaling, centres []string, current, desired map[CapacityPool]int, peak, limited float64) {
	missing := int(math.Ceil(peak/maxUtilisation + limited))
	for _, centre := range centres {
		missing -= p.expectedCount(now, scaling, CapacityPool{Centre: centre, Reclaimable: true}, current)
	}
	if !p.lastReclaim.IsZero() && now.Sub(p.lastReclaim) < reclaimWindow {
		missing = max(missing, int(math.Ceil(peak/onDemandReserveUtilisation)))
	}
	counts := p.spreadOnDemand(now, scaling, centres, current, max(0, missing))
	for _, centre := range centres {
		reclaimable := CapacityPool{Centre: centre, Reclaimable: true}
		headroom := max(0, scaling.Max-p.expectedCount(now, scaling, reclaimable, current))
		onDemand := CapacityPool{Centre: centre}
		desired[onDemand] = min(p.delayScaleDown(now, centre, counts[centre]), headroom)
		desired[reclaimable] = min(desired[reclaimable], scaling.Max-desired[onDemand])
	}
}

// spreadOnDemand assigns on-demand upstreams to data centres: first to those that
// already have some, then to the cheapest.
func (p *upstreamPlanner) spreadOnDemand(now time.Time, scaling persimcatalog.Scaling, centres []string, current map[CapacityPool]int, missing int) map[string]int {
	counts := map[string]int{}
	for _, centre := range centres {
		counts[centre] = min(missing, current[CapacityPool{Centre: centre}])
		missing -= counts[centre]
	}
	for _, centre := range centres {
		headroom := scaling.Max - p.expectedCount(now, scaling, CapacityPool{Centre: centre, Reclaimable: true}, current) - counts[centre]
		added := min(missing, max(0, headroom))
		counts[centre] += added
		missing -= added
	}
	return counts
}

// expectedCount returns the number of upstreams of a pool that exist or, under load,
// are starting.
func (p *upstreamPlanner) expectedCount(now time.Time, scaling persimcatalog.Scaling, pool CapacityPool, current map[CapacityPool]int) int {
	order, ok := p.orders[pool]
	starting := ok && !order.refused && now.Sub(order.at) < scaling.Boot+orderRetryDelay
	if starting && p.peak > 0 {
		return max(current[pool], order.count)
	}
	return current[pool]
}

// delayScaleDown keeps the largest number required under load for
// onDemandScaleDownDelay.
func (p *upstreamPlanner) delayScaleDown(now time.Time, centre string, required int) int {
	previous := p.onDemandPeaks[centre]
	if required >= previous.count || now.Sub(previous.at) > onDemandScaleDownDelay || p.peak == 0 {
		p.onDemandPeaks[centre] = onDemandPeak{count: required, at: now}
		return required
	}
	return previous.count
}

// pendingOrders returns the orders to place now, those that release the most upstreams
// first.
func (p *upstreamPlanner) pendingOrders(now time.Time, scaling persimcatalog.Scaling, desired, current map[CapacityPool]int) []UpstreamOrder {
	var orders []UpstreamOrder
	for pool, count := range desired {
		if p.shouldOrder(now, scaling, pool, count, current[pool]) {
			orders = append(orders, UpstreamOrder{CapacityPool: pool, Count: count})
		}
	}
	slices.SortFunc(orders, func(a, b UpstreamOrder) int {
		return cmp.Or(cmp.Compare(a.Count-current[a.CapacityPool], b.Count-current[b.CapacityPool]), cmp.Compare(a.Centre, b.Centre))
	})
	return orders
}

// shouldOrder reports whether to order count upstreams of a pool that has current
// upstreams now.
func (p *upstreamPlanner) shouldOrder(now time.Time, scaling persimcatalog.Scaling, pool CapacityPool, count, current int) bool {
	last, ordered := p.orders[pool]
	if !ordered {
		return count != current
	}
	if last.refused {
		return count != current && now.Sub(last.at) >= refusalRetryDelay
	}
	if last.count == count {
		return count != current && now.Sub(last.at) > scaling.Boot+orderRetryDelay
	}
	// A small reduction of reclaimable upstreams is not ordered, since a fluctuating
	// load would keep starting and stopping them.
	if pool.Reclaimable && count < last.count && count > last.count-minReclaimableScaleDown && current >= count {
		return false
	}
	return true
}

// minReclaimableScaleDown is the smallest reduction of the reclaimable upstreams in a
// data centre that is ordered while enough of them exist.
const minReclaimableScaleDown = 2

func (p *upstreamPlanner) RecordAccepted(now time.Time, order UpstreamOrder) {
	p.supply.recordAccepted(order)
	p.orders[order.CapacityPool] = pastOrder{count: order.Count, at: now}
}

func (p *upstreamPlanner) RecordRefused(now time.Time, order UpstreamOrder) {
	p.supply.recordRefused(order)
	p.orders[order.CapacityPool] = pastOrder{count: order.Count, at: now, refused: true}
}
