package persimfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	// cheapUtilisation is the share of their time that reclaimable upstreams should
	// work while all are there: what is left of them when one data centre after the
	// other goes still carries most of the load.
	cheapUtilisation = 0.2
	// fullUtilisation is the share beyond which upstreams on demand are ordered;
	// above it, requests that come in clumps wait too long.
	fullUtilisation = 0.4
	// alarmUtilisation is the share that upstreams on demand alone would work during
	// an alarm: when the remaining reclaimable ones go as well, they carry the load
	// until others have started.
	alarmUtilisation = 0.7
	// alarmTime is how long after a reclaim the next one is expected.
	alarmTime = 12 * time.Second
	// refusalPause is the time after which a refused order is made again.
	refusalPause = 1500 * time.Millisecond
	// repeatPause is the time after which an order that shows no effect is made
	// again, beyond the time that an upstream needs to start.
	repeatPause = 2 * time.Second
	// holdTime is how long upstreams on demand are kept after they were last needed.
	holdTime = 4 * time.Second
	// prefillPerSecond is the number of prompt tokens that an upstream reads in a
	// second, outputPerSecond the tokens that it generates beside that.
	prefillPerSecond = 100_000
	outputPerSecond  = 60_000
	// peakFall is the time in which the planned load falls by two thirds.
	peakFall = 15 * time.Second
)

// A Load is the work that arrives for a service, for each second: prompt tokens
// that are not cached, and tokens to generate.
type Load struct {
	Tokens float64
	Output float64
}

// Work returns the number of upstreams that the load keeps busy all the time.
func (l Load) Work() float64 {
	return l.Tokens/prefillPerSecond + l.Output/outputPerSecond
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

// held is the largest number of upstreams on demand that was wanted lately.
type held struct {
	count int
	at    time.Time
}

type upstreamPlanner struct {
	orders map[Stock]placed
	holds  map[string]held
	// first is the number of upstreams that were there before any work was seen.
	first int
	known time.Time
	// peak is the work that is planned for; it rises at once and falls slowly.
	peak   float64
	peakAt time.Time
	// alarm is when the last reclaim was seen.
	alarm time.Time
}

// NewUpstreamPlanner returns a planner that has ordered nothing, of a host that has
// known upstreams since a time.
func NewUpstreamPlanner(known time.Time) UpstreamPlanner {
	return &upstreamPlanner{orders: map[Stock]placed{}, holds: map[string]held{}, known: known}
}

// follow returns the work to plan for. Before any was seen, it is what the
// upstreams that are there are taken to be meant for.
func (p *upstreamPlanner) follow(now time.Time, work float64, upstreams int) float64 {
	if p.peak == 0 && work == 0 {
		if len(p.orders) == 0 {
			p.first = max(p.first, upstreams)
		}
		return float64(p.first) * fullUtilisation
	}
	fallen := p.peak * math.Exp(-now.Sub(p.peakAt).Seconds()/peakFall.Seconds())
	if p.peakAt.IsZero() {
		fallen = float64(p.first) * fullUtilisation
	}
	p.peak = max(work, fallen)
	p.peakAt = now
	return p.peak
}

// settleTime is how long the upstreams are looked at before anything is ordered:
// when all start together, entries come up to three seconds and a heartbeat late.
const settleTime = 4500 * time.Millisecond

func (p *upstreamPlanner) Plan(now time.Time, scaling persimcatalog.Scaling, upstreams []persimcatalog.Upstream, load Load) []UpstreamOrder {
	centres := sortedCentres(scaling)
	if len(centres) == 0 {
		return nil
	}
	work := p.follow(now, load.Work(), len(upstreams))
	if now.Sub(p.known) < settleTime || len(upstreams) == 0 {
		return nil
	}
	stock := count(upstreams)
	p.watchReclaims(now, upstreams, stock)
	wanted := p.wantCheap(scaling, centres, work)
	p.wantOnDemand(now, scaling, centres, stock, wanted, work)
	return p.changes(now, scaling, wanted, stock)
}

// watchReclaims notices data centres whose reclaimable upstreams leave although
// they were ordered.
func (p *upstreamPlanner) watchReclaims(now time.Time, upstreams []persimcatalog.Upstream, stock map[Stock]int) {
	for _, upstream := range upstreams {
		kind := Stock{Centre: upstream.Centre, Reclaimable: true}
		if upstream.Reclaimable && upstream.Leaving && stock[kind] == 0 && p.orders[kind].count > 0 {
			p.alarm = now
		}
	}
}

func count(upstreams []persimcatalog.Upstream) map[Stock]int {
	stock := map[Stock]int{}
	for _, upstream := range upstreams {
		if !upstream.Leaving {
			stock[Stock{Centre: upstream.Centre, Reclaimable: upstream.Reclaimable}]++
		}
	}
	return stock
}

// sortedCentres returns the data centres, cheapest first.
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

// wantCheap spreads reclaimable upstreams over the data centres.
func (p *upstreamPlanner) wantCheap(scaling persimcatalog.Scaling, centres []string, work float64) map[Stock]int {
	wanted := map[Stock]int{}
	share := int(math.Ceil(work / cheapUtilisation / float64(len(centres))))
	for _, centre := range centres {
		wanted[Stock{Centre: centre, Reclaimable: true}] = min(max(share, scaling.Min), scaling.Max)
	}
	return wanted
}

// wantOnDemand adds upstreams on demand for what the reclaimable ones lack, where
// they are cheapest.
func (p *upstreamPlanner) wantOnDemand(now time.Time, scaling persimcatalog.Scaling, centres []string, stock, wanted map[Stock]int, work float64) {
	missing := int(math.Ceil(work / fullUtilisation))
	for _, centre := range centres {
		missing -= p.expected(now, scaling, Stock{Centre: centre, Reclaimable: true}, stock)
	}
	if !p.alarm.IsZero() && now.Sub(p.alarm) < alarmTime {
		missing = max(missing, int(math.Ceil(work/alarmUtilisation)))
	}
	need := p.divide(now, scaling, centres, stock, max(0, missing))
	for _, centre := range centres {
		cheap := Stock{Centre: centre, Reclaimable: true}
		room := max(0, scaling.Max-p.expected(now, scaling, cheap, stock))
		kind := Stock{Centre: centre}
		wanted[kind] = min(p.hold(now, centre, need[centre]), room)
		wanted[cheap] = min(wanted[cheap], scaling.Max-wanted[kind])
	}
}

// divide spreads upstreams on demand over the data centres: first where some are,
// then where they are cheapest.
func (p *upstreamPlanner) divide(now time.Time, scaling persimcatalog.Scaling, centres []string, stock map[Stock]int, missing int) map[string]int {
	need := map[string]int{}
	for _, centre := range centres {
		need[centre] = min(missing, stock[Stock{Centre: centre}])
		missing -= need[centre]
	}
	for _, centre := range centres {
		room := scaling.Max - p.expected(now, scaling, Stock{Centre: centre, Reclaimable: true}, stock) - need[centre]
		more := min(missing, max(0, room))
		need[centre] += more
		missing -= more
	}
	return need
}

// expected is the number of upstreams of a kind that are there or about to start.
func (p *upstreamPlanner) expected(now time.Time, scaling persimcatalog.Scaling, kind Stock, stock map[Stock]int) int {
	order, ok := p.orders[kind]
	starting := ok && !order.refused && now.Sub(order.at) < scaling.Boot+repeatPause
	if starting && p.peak > 0 {
		return max(stock[kind], order.count)
	}
	return stock[kind]
}

// hold keeps a number that was wanted under load for a while.
func (p *upstreamPlanner) hold(now time.Time, centre string, need int) int {
	known := p.holds[centre]
	if need >= known.count || now.Sub(known.at) > holdTime || p.peak == 0 {
		p.holds[centre] = held{count: need, at: now}
		return need
	}
	return known.count
}

func (p *upstreamPlanner) changes(now time.Time, scaling persimcatalog.Scaling, wanted, stock map[Stock]int) []UpstreamOrder {
	var orders []UpstreamOrder
	for kind, count := range wanted {
		if p.due(now, scaling, kind, count, stock[kind]) {
			orders = append(orders, UpstreamOrder{Stock: kind, Count: count})
		}
	}
	slices.SortFunc(orders, func(a, b UpstreamOrder) int {
		return cmp.Or(cmp.Compare(a.Count-stock[a.Stock], b.Count-stock[b.Stock]), cmp.Compare(a.Centre, b.Centre))
	})
	return orders
}

// due reports whether to order a count of a kind of which there are some.
func (p *upstreamPlanner) due(now time.Time, scaling persimcatalog.Scaling, kind Stock, count, there int) bool {
	last, ordered := p.orders[kind]
	if !ordered {
		return count != there
	}
	if last.refused {
		return count != there && now.Sub(last.at) >= refusalPause
	}
	if last.count == count {
		return count != there && now.Sub(last.at) > scaling.Boot+repeatPause
	}
	// Fewer reclaimable upstreams are ordered only when many are spare, since a
	// load that comes and goes would make them start and stop.
	if kind.Reclaimable && count < last.count && count > last.count-cheapSlack && there >= count {
		return false
	}
	return true
}

// cheapSlack is the number of reclaimable upstreams that may be spare in a data centre.
const cheapSlack = 2

func (p *upstreamPlanner) Ordered(now time.Time, order UpstreamOrder) {
	p.orders[order.Stock] = placed{count: order.Count, at: now}
}

func (p *upstreamPlanner) Refused(now time.Time, order UpstreamOrder) {
	p.orders[order.Stock] = placed{count: order.Count, at: now, refused: true}
}
