// Package persimfleet plans the capacity of a fleet: the machine class, the data
// centre and the purchase type (reclaimable or on demand) of each host or upstream.
// It reads no clock and does no I/O.
package persimfleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Offer is a type of host that the platform rents out, with its price.
type Offer struct {
	Centre      string `json:"centre"`
	Machine     string `json:"machine"`
	Reclaimable bool   `json:"reclaimable"`
	// Price is the price per hour.
	Price float64 `json:"price"`
	// Slots is the number of attempts that a host runs concurrently.
	Slots int `json:"slots"`
}

// Group holds the capacity targets of a group of upstreams.
type Group struct {
	Name string `json:"name"`
	// Floor is the minimum number of slots that must survive the loss of a data centre.
	Floor int `json:"floor"`
	// Margin is the headroom above the demand, as a fraction of the demand.
	Margin float64 `json:"margin"`
}

// Member is a running host of the fleet.
type Member struct {
	Address     string
	Incarnation string
	Group       string
	Offer       Offer
	Leaving     bool
}

// Refusal records a start that the platform refused.
type Refusal struct {
	Centre      string
	Machine     string
	Reclaimable bool
	At          time.Time
}

// State is the input of a plan.
type State struct {
	Group   Group
	Offers  []Offer
	Members []Member
	// Demand is the number of slots in use or requested.
	Demand   float64
	Refusals []Refusal
	Now      time.Time
}

// Action is the kind of an order.
type Action string

// Kinds of orders.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// Order starts or stops one host.
type Order struct {
	Action Action
	Group  string
	Offer  Offer
	// Address and Incarnation identify the host to stop.
	Address     string
	Incarnation string
	Cause       string
}

type config struct {
	refusalPause          time.Duration
	maxStarts             int
	maxStops              int
	surplusTolerance      float64
	replacementPriceRatio float64
}

// Option configures a planner.
type Option func(*config)

// WithMaxStarts limits the starts of one plan, which bounds the concurrent loads
// from the weight store.
func WithMaxStarts(starts int) Option { return func(c *config) { c.maxStarts = starts } }

// WithRefusalPause sets how long a refused offer is excluded from plans.
func WithRefusalPause(pause time.Duration) Option {
	return func(c *config) { c.refusalPause = pause }
}

// Defaults of a planner.
const (
	// DefaultRefusalPause is how long a refused offer is excluded from plans.
	DefaultRefusalPause = 5 * time.Minute
	// DefaultMaxStarts and DefaultMaxStops limit the orders of one plan.
	DefaultMaxStarts = 4
	DefaultMaxStops  = 4
	// DefaultSurplusTolerance is the fraction of surplus slots up to which no host
	// is stopped.
	DefaultSurplusTolerance = 0.04
	// DefaultReplacementPriceRatio is the ratio of a host's price per slot to that
	// of an offer in its data centre above which the host is replaced.
	DefaultReplacementPriceRatio = 1.25
)

// Planner computes the orders for a group of hosts.
type Planner interface {
	// Plan returns the orders that move the group to its target at the lowest cost.
	Plan(state State) []Order
}

type planner struct {
	config
}

// New returns a Planner configured by the options.
func New(opts ...Option) Planner {
	c := config{
		refusalPause:          DefaultRefusalPause,
		maxStarts:             DefaultMaxStarts,
		maxStops:              DefaultMaxStops,
		surplusTolerance:      DefaultSurplusTolerance,
		replacementPriceRatio: DefaultReplacementPriceRatio,
	}
	for _, opt := range opts {
		opt(&c)
	}
	return &planner{config: c}
}

// centreSlots maps each data centre to its number of slots.
type centreSlots map[string]int

func (c centreSlots) total() int {
	total := 0
	for _, n := range c {
		total += n
	}
	return total
}

// surviving returns the number of slots left after the loss of the largest data centre.
func (c centreSlots) surviving() int {
	largest := 0
	for _, n := range c {
		largest = max(largest, n)
	}
	return c.total() - largest
}

func (p *planner) Plan(state State) []Order {
	required := requiredSlots(state)
	capacity := capacityByCentre(state.Members)
	if capacity.surviving() < required {
		return p.planStarts(state, capacity, required)
	}
	if orders := p.planStops(state, capacity, required); len(orders) > 0 {
		return orders
	}
	return p.planReplacements(state, capacity, required)
}

// requiredSlots returns the number of slots that must survive the loss of a data centre.
func requiredSlots(state State) int {
	wanted := int(state.Demand*(1+state.Group.Margin) + 0.999)
	return max(wanted, state.Group.Floor)
}

// capacityByCentre returns the slots of the members that are not leaving.
func capacityByCentre(members []Member) centreSlots {
	capacity := centreSlots{}
	for _, m := range members {
		if !m.Leaving {
			capacity[m.Offer.Centre] += m.Offer.Slots
		}
	}
	return capacity
}

// planStarts orders the cheapest offers that raise the capacity surviving the loss
// of a data centre.
func (p *planner) planStarts(state State, capacity centreSlots, required int) []Order {
	var orders []Order
	offers := p.availableOffers(state)
	for capacity.surviving() < required && len(orders) < p.maxStarts {
		offer, ok := p.selectOffer(offers, capacity, required)
		if !ok {
			break
		}
		capacity[offer.Centre] += offer.Slots
		orders = append(orders, Order{
			Action: ActionStart,
			Group:  state.Group.Name,
			Offer:  offer,
			Cause:  fmt.Sprintf("%d slots must survive the loss of a data centre", required),
		})
	}
	return orders
}

// availableOffers returns the offers that were not refused within the refusal pause.
func (p *planner) availableOffers(state State) []Offer {
	return slices.DeleteFunc(slices.Clone(state.Offers), func(o Offer) bool {
		return slices.ContainsFunc(state.Refusals, func(r Refusal) bool {
			sameOffer := r.Centre == o.Centre && r.Machine == o.Machine && r.Reclaimable == o.Reclaimable
			return sameOffer && state.Now.Sub(r.At) < p.refusalPause
		})
	})
}

// selectOffer returns the offer with the lowest price per slot in a data centre that
// is below its share of the required slots. If every data centre has its share, it
// returns the cheapest offer of the data centre with the fewest slots.
func (p *planner) selectOffer(offers []Offer, capacity centreSlots, required int) (Offer, bool) {
	centres := map[string]bool{}
	for _, o := range offers {
		centres[o.Centre] = true
	}
	otherCentres := max(1, len(centres)-1)
	share := (required + otherCentres - 1) / otherCentres
	best, found := Offer{}, false
	for _, o := range offers {
		if capacity[o.Centre] >= share {
			continue
		}
		if !found || cheaperPerSlot(o, best) {
			best, found = o, true
		}
	}
	if found {
		return best, true
	}
	for _, o := range offers {
		lessFilled := capacity[o.Centre] < capacity[best.Centre]
		if !found || lessFilled || capacity[o.Centre] == capacity[best.Centre] && cheaperPerSlot(o, best) {
			best, found = o, true
		}
	}
	return best, found
}

// cheaperPerSlot orders offers by price per slot; equal prices are ordered by data centre
// and machine class.
func cheaperPerSlot(a, b Offer) bool {
	return cmp.Or(
		cmp.Compare(a.Price/float64(a.Slots), b.Price/float64(b.Slots)),
		cmp.Compare(a.Centre, b.Centre),
		cmp.Compare(a.Machine, b.Machine),
	) < 0
}

// byDescendingPrice returns the members that are not leaving, by descending price per slot.
func byDescendingPrice(members []Member) []Member {
	remaining := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Leaving })
	slices.SortStableFunc(remaining, func(a, b Member) int {
		return cmp.Compare(b.Offer.Price/float64(b.Offer.Slots), a.Offer.Price/float64(a.Offer.Slots))
	})
	return remaining
}

// isOverpriced reports whether an offer in the member's data centre is cheaper by more
// than the replacement price ratio.
func (p *planner) isOverpriced(m Member, offers []Offer) bool {
	return slices.ContainsFunc(offers, func(o Offer) bool {
		return o.Centre == m.Offer.Centre && p.replacementPriceRatio*o.Price/float64(o.Slots) < m.Offer.Price/float64(m.Offer.Slots)
	})
}

// planStops stops surplus hosts, the most expensive first. A host that is not
// overpriced is kept within the surplus tolerance, so that a small change of demand
// stops no host.
func (p *planner) planStops(state State, capacity centreSlots, required int) []Order {
	offers := p.availableOffers(state)
	var orders []Order
	for _, m := range byDescendingPrice(state.Members) {
		if len(orders) >= p.maxStops {
			break
		}
		minimum := int(float64(required) * (1 + p.surplusTolerance))
		if p.isOverpriced(m, offers) {
			minimum = required
		}
		capacity[m.Offer.Centre] -= m.Offer.Slots
		if capacity.surviving() < minimum {
			capacity[m.Offer.Centre] += m.Offer.Slots
			continue
		}
		orders = append(orders, Order{
			Action: ActionStop, Group: state.Group.Name, Offer: m.Offer,
			Address: m.Address, Incarnation: m.Incarnation,
			Cause: fmt.Sprintf("%d slots are enough", required),
		})
	}
	return orders
}

// planReplacements starts cheaper hosts in the data centres of overpriced ones,
// which a later plan then stops.
func (p *planner) planReplacements(state State, _ centreSlots, _ int) []Order {
	offers := p.availableOffers(state)
	var orders []Order
	for _, m := range byDescendingPrice(state.Members) {
		if len(orders) >= p.maxStarts || !p.isOverpriced(m, offers) {
			break
		}
		for _, o := range offers {
			if o.Centre != m.Offer.Centre || p.replacementPriceRatio*o.Price/float64(o.Slots) >= m.Offer.Price/float64(m.Offer.Slots) {
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
