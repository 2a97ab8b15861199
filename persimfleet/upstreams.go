package persimfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	// DefaultUtilisation is the share of their time that upstreams should work; the
	// rest keeps first answers on time when requests come in clumps.
	DefaultUtilisation = 0.3
	// reclaimRefusalPause is the time after which a refused order is made again.
	reclaimRefusalPause = 2 * time.Second
	// repeatPause is the time after which an order that shows no effect is made again,
	// beyond the time that an upstream needs to start.
	repeatPause = 2 * time.Second
	// releasePause is the time for which upstreams on demand are kept after they
	// were last needed.
	releasePause = 4 * time.Second
	// prefillPerSecond and outputPerSecond are the prompt tokens that an upstream
	// reads and the tokens that it generates in a second, each alone.
	prefillPerSecond = 100_000
	outputPerSecond  = 16_000
	// unreadShare is the part of prompts that is not cached.
	unreadShare = 0.65
)

// A Load is the work that arrives for a service, for each second.
type Load struct {
	Tokens float64
	Output float64
}

// Work returns the number of upstreams that the load keeps busy all the time.
func (l Load) Work() float64 {
	return l.Tokens*unreadShare/prefillPerSecond + l.Output/outputPerSecond
}

// A Stock is a kind of upstreams of a service.
type Stock struct {
	Centre      string
	Reclaimable bool
}

// An UpstreamOrder asks for a number of upstreams of one kind.
type UpstreamOrder struct {
	Stock
	Count int
}

// An UpstreamPlanner decides how many upstreams of a service to order. It is not
// safe for concurrent use.
//
// It answers this load: reclaimable upstreams are cheap and go a whole data centre
// at a time, one data centre after the other, and none are to be had for a while.
type UpstreamPlanner interface {
	// Plan returns the orders to make now.
	Plan(now time.Time, scaling persimcatalog.Scaling, upstreams []persimcatalog.Upstream, load Load) []UpstreamOrder
	// Ordered records that the platform took an order.
	Ordered(now time.Time, order UpstreamOrder)
	// Refused records that the platform refused an order.
	Refused(now time.Time, order UpstreamOrder)
}

type placed struct {
	count   int
	at      time.Time
	refused bool
}

type upstreamPlanner struct {
	utilisation float64
	orders      map[Stock]placed
	// needed is when upstreams on demand were last needed, by data centre.
	needed map[string]time.Time
	// peak is the load that is planned for; it rises at once and falls slowly.
	peak   float64
	peakAt time.Time
}

// NewUpstreamPlanner returns a planner that has ordered nothing.
func NewUpstreamPlanner() UpstreamPlanner {
	return &upstreamPlanner{
		utilisation: DefaultUtilisation,
		orders:      map[Stock]placed{},
		needed:      map[string]time.Time{},
	}
}

// peakFall is the time in which the planned load falls by two thirds.
const peakFall = 12 * time.Second

func (p *upstreamPlanner) follow(now time.Time, work float64) float64 {
	fallen := p.peak * math.Exp(-now.Sub(p.peakAt).Seconds()/peakFall.Seconds())
	if p.peakAt.IsZero() {
		fallen = 0
	}
	p.peak = max(work, fallen)
	p.peakAt = now
	return p.peak
}

func (p *upstreamPlanner) Plan(now time.Time, scaling persimcatalog.Scaling, upstreams []persimcatalog.Upstream, load Load) []UpstreamOrder {
	centres := sortedCentres(scaling)
	if len(centres) == 0 {
		return nil
	}
	stock := map[Stock]int{}
	for _, upstream := range upstreams {
		if !upstream.Leaving {
			stock[Stock{Centre: upstream.Centre, Reclaimable: upstream.Reclaimable}]++
		}
	}
	need := p.need(now, load, len(centres))
	wanted := p.want(now, scaling, centres, stock, need)
	return p.changes(now, scaling, wanted, stock)
}

// minNeed is the least number of upstreams for each data centre.
const minNeed = 1

func (p *upstreamPlanner) need(now time.Time, load Load, centres int) int {
	work := p.follow(now, load.Work())
	return max(int(math.Ceil(work/p.utilisation)), minNeed*centres)
}

func sortedCentres(scaling persimcatalog.Scaling) []string {
	centres := make([]string, 0, len(scaling.CentrePrices))
	for centre := range scaling.CentrePrices {
		centres = append(centres, centre)
	}
	slices.SortFunc(centres, func(a, b string) int {
		return cmp.Or(cmp.Compare(scaling.CentrePrices[a], scaling.CentrePrices[b]), cmp.Compare(a, b))
	})
	return centres
}

// want returns how many upstreams of each kind should be there. Reclaimable ones
// are held so that what is left carries the load when a data centre goes; what is
// missing is ordered on demand, where it is cheapest.
func (p *upstreamPlanner) want(now time.Time, scaling persimcatalog.Scaling, centres []string, stock map[Stock]int, need int) map[Stock]int {
	wanted := map[Stock]int{}
	cheap := 0
	share := perCentre(need, len(centres))
	for _, centre := range centres {
		kind := Stock{Centre: centre, Reclaimable: true}
		wanted[kind] = min(max(share, scaling.Min), scaling.Max)
		cheap += stock[kind]
	}
	missing := need - cheap
	for _, centre := range centres {
		kind := Stock{Centre: centre}
		room := max(0, scaling.Max-max(stock[Stock{Centre: centre, Reclaimable: true}], 0))
		count := min(max(0, missing), room)
		missing -= count
		if count > 0 {
			p.needed[centre] = now
		}
		if count < stock[kind] && now.Sub(p.needed[centre]) < releasePause {
			count = min(stock[kind], room)
		}
		wanted[kind] = count
		if free := scaling.Max - count; wanted[Stock{Centre: centre, Reclaimable: true}] > free {
			wanted[Stock{Centre: centre, Reclaimable: true}] = free
		}
	}
	return wanted
}

// perCentre is the number of upstreams in a data centre with which the others
// carry the load when one goes.
func perCentre(need, centres int) int {
	if centres < 2 {
		return need
	}
	return (need + centres - 2) / (centres - 1)
}

func (p *upstreamPlanner) changes(now time.Time, scaling persimcatalog.Scaling, wanted, stock map[Stock]int) []UpstreamOrder {
	var orders []UpstreamOrder
	for kind, count := range wanted {
		last, ordered := p.orders[kind]
		if !ordered && count == stock[kind] {
			continue
		}
		if ordered && last.refused && now.Sub(last.at) < reclaimRefusalPause {
			continue
		}
		settled := now.Sub(last.at) > scaling.Boot+repeatPause
		if ordered && !last.refused && last.count == count && (count == stock[kind] || !settled) {
			continue
		}
		orders = append(orders, UpstreamOrder{Stock: kind, Count: count})
	}
	slices.SortFunc(orders, func(a, b UpstreamOrder) int {
		return cmp.Or(cmp.Compare(a.Centre, b.Centre), cmp.Compare(b.Count, a.Count))
	})
	return orders
}

func (p *upstreamPlanner) Ordered(now time.Time, order UpstreamOrder) {
	p.orders[order.Stock] = placed{count: order.Count, at: now}
}

func (p *upstreamPlanner) Refused(now time.Time, order UpstreamOrder) {
	p.orders[order.Stock] = placed{count: order.Count, at: now, refused: true}
}
