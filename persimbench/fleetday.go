package persimbench

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimfleet"
)

const (
	// stepDuration is the time between two runs of the planner.
	stepDuration = 5 * time.Minute
	stepsPerDay  = int(24 * time.Hour / stepDuration)
	// warmupSteps is the number of planner runs that build the fleet for the first step.
	warmupSteps = 40
	// reclaimWaveSteps is the number of steps that a reclaim wave lasts after its first.
	reclaimWaveSteps       = 6
	reclaimWaveProbability = 0.02
	slotsPerHost           = 16
	// onDemandPrice and spotPrice are prices of a host per hour.
	onDemandPrice = 4.0
	spotPrice     = 1.2
	// capacityMargin is the spare capacity as a share of the demand.
	capacityMargin = 0.1
	// priceAmplitude is the relative amplitude of the spot price over a day.
	priceAmplitude = 0.4
)

// DayResult is the cost of a fleet over a day and how well it met the demand.
type DayResult struct {
	Cost float64
	// ShortfallShare is the share of steps with fewer slots than the demand.
	ShortfallShare float64
}

// dayTrace is a synthetic trace of a day: the demand in slots, the spot prices and the
// reclaim waves of each step.
type dayTrace struct {
	demand []float64
	// prices holds the spot price of each step and data centre.
	prices [][]float64
	// reclaimedCentre holds the data centre whose reclaimable hosts are taken back, or -1.
	reclaimedCentre []int
}

// newDayTrace returns the trace of a seed. The demand follows a cosine between 20 %
// and 100 % of the peak.
func newDayTrace(seed uint64, peak float64) dayTrace {
	rng := rand.New(rand.NewPCG(seed, 5))
	d := dayTrace{}
	reclaimed, remaining := -1, 0
	for step := range stepsPerDay {
		phase := 2 * math.Pi * float64(step) / float64(stepsPerDay)
		d.demand = append(d.demand, peak*(0.6-0.4*math.Cos(phase)))
		var prices []float64
		for centre := range 3 {
			factor := 1 + priceAmplitude*math.Sin(phase*2+float64(centre)*2)
			prices = append(prices, spotPrice*factor)
		}
		d.prices = append(d.prices, prices)
		if remaining == 0 {
			reclaimed = -1
			if rng.Float64() < reclaimWaveProbability {
				reclaimed, remaining = rng.IntN(3), reclaimWaveSteps
			}
		} else {
			remaining--
		}
		d.reclaimedCentre = append(d.reclaimedCentre, reclaimed)
	}
	return d
}

func centreName(i int) string { return "centre-" + itoa(i) }

// offersAt returns the offers of a step; during a reclaim wave its data centre offers no
// reclaimable hosts.
func (d dayTrace) offersAt(step int) []persimfleet.Offer {
	var offers []persimfleet.Offer
	for centre := range 3 {
		offers = append(offers, persimfleet.Offer{Centre: centreName(centre), Machine: "a", Price: onDemandPrice, Slots: slotsPerHost})
		if d.reclaimedCentre[step] == centre {
			continue
		}
		offers = append(offers, persimfleet.Offer{
			Centre: centreName(centre), Machine: "a", Reclaimable: true, Price: d.prices[step][centre], Slots: slotsPerHost,
		})
	}
	return offers
}

// simulatePlanner runs the planner over a day. A host that is started becomes available
// one step later.
func (d dayTrace) simulatePlanner() DayResult {
	planner := persimfleet.New(persimfleet.WithMaxStarts(8))
	var members []persimfleet.Member
	var result DayResult
	serial := 0
	shortSteps := 0
	for step := range warmupSteps {
		for _, order := range d.plan(planner, members, 0) {
			members = applyOrder(members, order, "warm-"+itoa(step)+"-"+itoa(len(members)))
		}
	}
	for step := range stepsPerDay {
		members = d.reclaim(members, step)
		slots := 0
		for i, m := range members {
			members[i].Offer.Price = d.priceOf(m.Offer, step)
			result.Cost += members[i].Offer.Price * stepDuration.Hours()
			slots += m.Offer.Slots
		}
		if float64(slots) < d.demand[step] {
			shortSteps++
		}
		for _, order := range d.plan(planner, members, step) {
			serial++
			members = applyOrder(members, order, itoa(serial))
		}
	}
	result.ShortfallShare = share(shortSteps, stepsPerDay)
	return result
}

func (d dayTrace) plan(planner persimfleet.Planner, members []persimfleet.Member, step int) []persimfleet.Order {
	return planner.Plan(persimfleet.State{
		Group:   persimfleet.Group{Name: "oracolo", Margin: capacityMargin},
		Offers:  d.offersAt(step),
		Members: members,
		Demand:  d.demand[step],
	})
}

// applyOrder returns the members after a start or stop order.
func applyOrder(members []persimfleet.Member, order persimfleet.Order, address string) []persimfleet.Member {
	if order.Action == persimfleet.ActionStart {
		return append(members, persimfleet.Member{Address: address, Offer: order.Offer})
	}
	var remaining []persimfleet.Member
	for _, m := range members {
		if m.Address != order.Address {
			remaining = append(remaining, m)
		}
	}
	return remaining
}

// reclaim returns the members that remain after the reclaim wave of a step.
func (d dayTrace) reclaim(members []persimfleet.Member, step int) []persimfleet.Member {
	if d.reclaimedCentre[step] < 0 {
		return members
	}
	var remaining []persimfleet.Member
	for _, m := range members {
		if !m.Offer.Reclaimable || m.Offer.Centre != centreName(d.reclaimedCentre[step]) {
			remaining = append(remaining, m)
		}
	}
	return remaining
}

func (d dayTrace) priceOf(offer persimfleet.Offer, step int) float64 {
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

// idealCost returns the cost of the cheapest hosts for each step that meet the demand
// even after the loss of a data centre, with demand and prices known in advance and
// without start delays.
func (d dayTrace) idealCost() float64 {
	cost := 0.0
	for step := range stepsPerDay {
		required := int(math.Ceil(d.demand[step] * (1 + capacityMargin) / slotsPerHost))
		cheapest := math.Inf(1)
		for first := range required + 1 {
			for second := range required + 1 {
				third := max(0, required-first, required-second)
				if first+second < required {
					third = max(third, required-min(first, second))
				}
				if hostsAfterCentreLoss(first, second, third) < required {
					continue
				}
				cheapest = min(cheapest, d.stepCost([]int{first, second, third}, step))
			}
		}
		cost += cheapest * stepDuration.Hours()
	}
	return cost
}

// hostsAfterCentreLoss returns the number of hosts left after the loss of the largest
// data centre.
func hostsAfterCentreLoss(hosts ...int) int {
	total, largest := 0, 0
	for _, n := range hosts {
		total += n
		largest = max(largest, n)
	}
	return total - largest
}

// stepCost returns the hourly cost of the hosts in each data centre at a step, on demand
// where a reclaim wave leaves no reclaimable hosts.
func (d dayTrace) stepCost(hosts []int, step int) float64 {
	cost := 0.0
	for centre, n := range hosts {
		price := d.prices[step][centre]
		if d.reclaimedCentre[step] == centre {
			price = onDemandPrice
		}
		cost += float64(n) * price
	}
	return cost
}

// onDemandCost returns the cost of the ideal schedule without reclaimable hosts.
func (d dayTrace) onDemandCost() float64 {
	cost := 0.0
	for step := range stepsPerDay {
		required := math.Ceil(d.demand[step] * (1 + capacityMargin) / slotsPerHost)
		cost += 3 * math.Ceil(required/2) * onDemandPrice * stepDuration.Hours()
	}
	return cost
}

const (
	traceCount = 20
	// peakDemandShare is the peak demand as a share of the slots of a deployment.
	peakDemandShare = 0.7
)

// FleetMeasures compares the cost of the planner over several day traces with the ideal
// and the on-demand cost.
func FleetMeasures(d Deployment) []Measure {
	peak := peakDemandShare * float64(d.Workers*slotsPerHost)
	var cost, ideal, onDemand, shortfall float64
	for seed := range uint64(traceCount) {
		trace := newDayTrace(seed, peak)
		result := trace.simulatePlanner()
		cost += result.Cost
		shortfall += result.ShortfallShare / traceCount
		ideal += trace.idealCost()
		onDemand += trace.onDemandCost()
	}
	return []Measure{
		{Name: d.Name + ": cost of a day / ideal schedule", Unit: "x", Baseline: onDemand / ideal, Current: cost / ideal, Ideal: 1, Target: 1.1},
		{Name: d.Name + ": cost of a day / all on demand", Unit: "x", Baseline: 1, Current: cost / onDemand, Ideal: ideal / onDemand, Target: 0.5},
		{Name: d.Name + ": steps of the day short of slots", Unit: "%", Baseline: 0, Current: 100 * shortfall, Ideal: 0, Target: 0},
	}
}
