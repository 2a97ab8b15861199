// Package persimfleet decides which hosts run: of which machine class, in which
// data centre, reclaimable or on demand. It has no clock and no I/O.
package persimfleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// An Offer is a kind of host that the platform rents out.
type Offer struct {
	Centre      string `json:"centre"`
	Machine     string `json:"machine"`
	Reclaimable bool   `json:"reclaimable"`
	// Price is paid for an hour.
	Price float64 `json:"price"`
	// Slots is the number of attempts that a host runs together.
	Slots int `json:"slots"`
}

// A Group is a group of upstreams that the fleet serves.
type Group struct {
	Name string `json:"name"`
	// Floor is the least number of slots that must survive the loss of a data centre.
	Floor int `json:"floor"`
	// Margin is the share of slots kept free above the demand.
	Margin float64 `json:"margin"`
}

// A Member is a host of the fleet.
type Member struct {
	Address     string
	Incarnation string
	Group       string
	Offer       Offer
	Leaving     bool
}

// A Refusal is a start that the platform refused.
type Refusal struct {
	Centre      string
	Machine     string
	Reclaimable bool
	At          time.Time
}

// A State is what the planner knows.
type State struct {
	Group   Group
	Offers  []Offer
	Members []Member
	// Demand is the number of slots in use or asked for.
	Demand   float64
	Refusals []Refusal
	Now      time.Time
}

// An Action says what an order does.
type Action string

// Actions of orders.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// An Order starts or stops one host.
type Order struct {
	Action Action
	Group  string
	Offer  Offer
	// Address and Incarnation name the host to stop.
	Address     string
	Incarnation string
	Cause       string
}

type config struct {
	refusalPause time.Duration
	maxStarts    int
	maxStops     int
	slack        float64
	dearness     float64
}

// An Option changes the configuration of a planner.
type Option func(*config)

// WithMaxStarts bounds the starts of one plan, which paces loads from the weight store.
func WithMaxStarts(starts int) Option { return func(c *config) { c.maxStarts = starts } }

// WithRefusalPause sets how long a refused offer is not asked for again.
func WithRefusalPause(pause time.Duration) Option {
	return func(c *config) { c.refusalPause = pause }
}

// Defaults of a planner.
const (
	DefaultRefusalPause = 5 * time.Minute
	DefaultMaxStarts    = 4
	DefaultMaxStops     = 4
	// DefaultSlack is the surplus share of slots below which nothing is stopped.
	DefaultSlack = 0.04
	// DefaultDearness is how many times dearer than the cheapest offer a host must
	// be to be replaced.
	DefaultDearness = 1.25
)

// A Planner decides on orders.
type Planner interface {
	// Plan returns the orders that bring the group to its target at the least cost.
	Plan(state State) []Order
}

type planner struct {
	config
}

// New returns a planner.
func New(opts ...Option) Planner {
	c := config{
		refusalPause: DefaultRefusalPause,
		maxStarts:    DefaultMaxStarts,
		maxStops:     DefaultMaxStops,
		slack:        DefaultSlack,
		dearness:     DefaultDearness,
	}
	for _, opt := range opts {
		opt(&c)
	}
	return &planner{config: c}
}

// slots is the capacity of each data centre.
type slots map[string]int

func (s slots) total() int {
	sum := 0
	for _, n := range s {
		sum += n
	}
	return sum
}

// surviving is the capacity that is left when the largest data centre is lost.
func (s slots) surviving() int {
	largest := 0
	for _, n := range s {
		largest = max(largest, n)
	}
	return s.total() - largest
}

func (p *planner) Plan(state State) []Order {
	need := need(state)
	have := capacity(state.Members)
	if have.surviving() < need {
		return p.starts(state, have, need)
	}
	if orders := p.stops(state, have, need); len(orders) > 0 {
		return orders
	}
	return p.replacements(state, have, need)
}

// need is the number of slots that must survive the loss of a data centre.
func need(state State) int {
	wanted := int(state.Demand*(1+state.Group.Margin) + 0.999)
	return max(wanted, state.Group.Floor)
}

func capacity(members []Member) slots {
	have := slots{}
	for _, m := range members {
		if !m.Leaving {
			have[m.Offer.Centre] += m.Offer.Slots
		}
	}
	return have
}

// starts orders the cheapest offers that add to what survives the loss of a data centre.
func (p *planner) starts(state State, have slots, need int) []Order {
	var orders []Order
	offers := p.available(state)
	for have.surviving() < need && len(orders) < p.maxStarts {
		offer, ok := p.cheapest(offers, have, need)
		if !ok {
			break
		}
		have[offer.Centre] += offer.Slots
		orders = append(orders, Order{
			Action: ActionStart,
			Group:  state.Group.Name,
			Offer:  offer,
			Cause:  fmt.Sprintf("%d slots must survive the loss of a data centre", need),
		})
	}
	return orders
}

// available leaves out offers that were refused lately.
func (p *planner) available(state State) []Offer {
	return slices.DeleteFunc(slices.Clone(state.Offers), func(o Offer) bool {
		return slices.ContainsFunc(state.Refusals, func(r Refusal) bool {
			same := r.Centre == o.Centre && r.Machine == o.Machine && r.Reclaimable == o.Reclaimable
			return same && state.Now.Sub(r.At) < p.refusalPause
		})
	})
}

// cheapest returns the offer with the lowest price a slot in a data centre that
// does not yet hold its share. When all do, the least filled one is taken.
func (p *planner) cheapest(offers []Offer, have slots, need int) (Offer, bool) {
	centres := map[string]bool{}
	for _, o := range offers {
		centres[o.Centre] = true
	}
	others := max(1, len(centres)-1)
	share := (need + others - 1) / others
	best, found := Offer{}, false
	for _, o := range offers {
		if have[o.Centre] >= share {
			continue
		}
		if !found || less(o, best) {
			best, found = o, true
		}
	}
	if found {
		return best, true
	}
	for _, o := range offers {
		emptier := have[o.Centre] < have[best.Centre]
		if !found || emptier || have[o.Centre] == have[best.Centre] && less(o, best) {
			best, found = o, true
		}
	}
	return best, found
}

func less(a, b Offer) bool {
	return cmp.Or(
		cmp.Compare(a.Price/float64(a.Slots), b.Price/float64(b.Slots)),
		cmp.Compare(a.Centre, b.Centre),
		cmp.Compare(a.Machine, b.Machine),
	) < 0
}

// dearestFirst returns the members that stay, the dearest a slot first.
func dearestFirst(members []Member) []Member {
	staying := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Leaving })
	slices.SortStableFunc(staying, func(a, b Member) int {
		return cmp.Compare(b.Offer.Price/float64(b.Offer.Slots), a.Offer.Price/float64(a.Offer.Slots))
	})
	return staying
}

// isDear reports whether an available offer is much cheaper than the member.
func (p *planner) isDear(m Member, offers []Offer) bool {
	return slices.ContainsFunc(offers, func(o Offer) bool {
		return o.Centre == m.Offer.Centre && p.dearness*o.Price/float64(o.Slots) < m.Offer.Price/float64(m.Offer.Slots)
	})
}

// stops orders the dearest hosts away that are not needed. A host that is not
// dear stays within some slack, so that a small change of demand stops nothing.
func (p *planner) stops(state State, have slots, need int) []Order {
	offers := p.available(state)
	var orders []Order
	for _, m := range dearestFirst(state.Members) {
		if len(orders) >= p.maxStops {
			break
		}
		bound := int(float64(need) * (1 + p.slack))
		if p.isDear(m, offers) {
			bound = need
		}
		have[m.Offer.Centre] -= m.Offer.Slots
		if have.surviving() < bound {
			have[m.Offer.Centre] += m.Offer.Slots
			continue
		}
		orders = append(orders, Order{
			Action: ActionStop, Group: state.Group.Name, Offer: m.Offer,
			Address: m.Address, Incarnation: m.Incarnation,
			Cause: fmt.Sprintf("%d slots are enough", need),
		})
	}
	return orders
}

// replacements starts cheaper hosts in the data centres of dear ones, which a
// later plan then stops.
func (p *planner) replacements(state State, _ slots, _ int) []Order {
	offers := p.available(state)
	var orders []Order
	for _, m := range dearestFirst(state.Members) {
		if len(orders) >= p.maxStarts || !p.isDear(m, offers) {
			break
		}
		for _, o := range offers {
			if o.Centre != m.Offer.Centre || p.dearness*o.Price/float64(o.Slots) >= m.Offer.Price/float64(m.Offer.Slots) {
				continue
			}
			orders = append(orders, Order{
				Action: ActionStart, Group: state.Group.Name, Offer: o,
				Cause: fmt.Sprintf("costs %.2f in place of %.2f", o.Price, m.Offer.Price),
			})
			break
		}
	}
	return orders
}
