package persimbench

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimfleet"
)

const (
	dayStep       = 5 * time.Minute
	daySteps      = int(24 * time.Hour / dayStep)
	warmSteps     = 40
	waveLength    = 6
	waveChance    = 0.02
	fleetSlots    = 16
	onDemandPrice = 4.0
	spotPrice     = 1.2
	fleetMargin   = 0.1
	priceSwing    = 0.4
)

// A DayResult is what a fleet costs over a day.
type DayResult struct {
	Cost float64
	// Short is the share of steps with fewer slots than the demand.
	Short float64
}

// day is a day of demand, prices and reclaim waves.
type day struct {
	demand []float64
	prices [][]float64
	// wave holds the data centre whose reclaimable hosts are taken back, or -1.
	wave []int
}

func newDay(seed uint64, peak float64) day {
	random := rand.New(rand.NewPCG(seed, 5))
	d := day{}
	wave, left := -1, 0
	for step := range daySteps {
		angle := 2 * math.Pi * float64(step) / float64(daySteps)
		d.demand = append(d.demand, peak*(0.6-0.4*math.Cos(angle)))
		var prices []float64
		for centre := range 3 {
			swing := 1 + priceSwing*math.Sin(angle*2+float64(centre)*2)
			prices = append(prices, spotPrice*swing)
		}
		d.prices = append(d.prices, prices)
		if left == 0 {
			wave = -1
			if random.Float64() < waveChance {
				wave, left = random.IntN(3), waveLength
			}
		} else {
			left--
		}
		d.wave = append(d.wave, wave)
	}
	return d
}

func centreName(i int) string { return "centre-" + itoa(i) }

// offersAt returns the offers of a step; a wave leaves no reclaimable hosts in its centre.
func (d day) offersAt(step int) []persimfleet.Offer {
	var offers []persimfleet.Offer
	for centre := range 3 {
		offers = append(offers, persimfleet.Offer{Centre: centreName(centre), Machine: "a", Price: onDemandPrice, Slots: fleetSlots})
		if d.wave[step] == centre {
			continue
		}
		offers = append(offers, persimfleet.Offer{
			Centre: centreName(centre), Machine: "a", Reclaimable: true, Price: d.prices[step][centre], Slots: fleetSlots,
		})
	}
	return offers
}

// runFleet runs the planner over a day; starts take one step.
func (d day) runFleet() DayResult {
	planner := persimfleet.New(persimfleet.WithMaxStarts(8))
	var members []persimfleet.Member
	var result DayResult
	serial := 0
	short := 0
	for step := range warmSteps {
		for _, o := range d.plan(planner, members, 0) {
			members = carryOut(members, o, "warm-"+itoa(step)+"-"+itoa(len(members)))
		}
	}
	for step := range daySteps {
		members = d.reclaim(members, step)
		have := 0
		for i, m := range members {
			members[i].Offer.Price = d.priceOf(m.Offer, step)
			result.Cost += members[i].Offer.Price * dayStep.Hours()
			have += m.Offer.Slots
		}
		if float64(have) < d.demand[step] {
			short++
		}
		for _, o := range d.plan(planner, members, step) {
			serial++
			members = carryOut(members, o, itoa(serial))
		}
	}
	result.Short = share(short, daySteps)
	return result
}

func (d day) plan(planner persimfleet.Planner, members []persimfleet.Member, step int) []persimfleet.Order {
	return planner.Plan(persimfleet.State{
		Group:   persimfleet.Group{Name: "oracolo", Margin: fleetMargin},
		Offers:  d.offersAt(step),
		Members: members,
		Demand:  d.demand[step],
	})
}

func carryOut(members []persimfleet.Member, o persimfleet.Order, address string) []persimfleet.Member {
	if o.Action == persimfleet.ActionStart {
		return append(members, persimfleet.Member{Address: address, Offer: o.Offer})
	}
	var kept []persimfleet.Member
	for _, m := range members {
		if m.Address != o.Address {
			kept = append(kept, m)
		}
	}
	return kept
}

func (d day) reclaim(members []persimfleet.Member, step int) []persimfleet.Member {
	if d.wave[step] < 0 {
		return members
	}
	var kept []persimfleet.Member
	for _, m := range members {
		if !m.Offer.Reclaimable || m.Offer.Centre != centreName(d.wave[step]) {
			kept = append(kept, m)
		}
	}
	return kept
}

func (d day) priceOf(offer persimfleet.Offer, step int) float64 {
	if !offer.Reclaimable {
		return onDemandPrice
	}
	for centre := range 3 {
		if offer.Centre == centreName(centre) {
			return d.prices[step][centre]
		}
	}
	return 0
}

// ideal is the cost of the cheapest hosts of each step that survive the loss of a
// data centre, with demand and prices known and without any delay.
func (d day) ideal() float64 {
	cost := 0.0
	for step := range daySteps {
		need := int(math.Ceil(d.demand[step] * (1 + fleetMargin) / fleetSlots))
		best := math.Inf(1)
		for first := range need + 1 {
			for second := range need + 1 {
				third := max(0, need-first, need-second)
				if first+second < need {
					third = max(third, need-min(first, second))
				}
				if surviving(first, second, third) < need {
					continue
				}
				best = min(best, d.hostsCost([]int{first, second, third}, step))
			}
		}
		cost += best * dayStep.Hours()
	}
	return cost
}

func surviving(hosts ...int) int {
	total, largest := 0, 0
	for _, n := range hosts {
		total += n
		largest = max(largest, n)
	}
	return total - largest
}

func (d day) hostsCost(hosts []int, step int) float64 {
	cost := 0.0
	for centre, n := range hosts {
		price := d.prices[step][centre]
		if d.wave[step] == centre {
			price = onDemandPrice
		}
		cost += float64(n) * price
	}
	return cost
}

// onDemand is the cost of the ideal schedule without reclaimable hosts.
func (d day) onDemand() float64 {
	cost := 0.0
	for step := range daySteps {
		need := math.Ceil(d.demand[step] * (1 + fleetMargin) / fleetSlots)
		cost += 3 * math.Ceil(need/2) * onDemandPrice * dayStep.Hours()
	}
	return cost
}

const (
	fleetSeeds = 20
	fleetPeak  = 0.7
)

// FleetMeasures runs the planner over some days and compares its cost.
func FleetMeasures(d Deployment) []Measure {
	peak := fleetPeak * float64(d.Workers*fleetSlots)
	var cost, ideal, onDemand, short float64
	for seed := range uint64(fleetSeeds) {
		today := newDay(seed, peak)
		result := today.runFleet()
		cost += result.Cost
		short += result.Short / fleetSeeds
		ideal += today.ideal()
		onDemand += today.onDemand()
	}
	return []Measure{
		{Name: d.Name + ": cost of a day / ideal schedule", Unit: "x", Baseline: onDemand / ideal, Now: cost / ideal, Ideal: 1, Target: 1.1},
		{Name: d.Name + ": cost of a day / all on demand", Unit: "x", Baseline: 1, Now: cost / onDemand, Ideal: ideal / onDemand, Target: 0.5},
		{Name: d.Name + ": steps of the day short of slots", Unit: "%", Baseline: 0, Now: 100 * short, Ideal: 0, Target: 0},
	}
}
