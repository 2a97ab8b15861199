package persimadmit

import (
	"maps"
	"slices"
)

// portion is the part of the capacity that goes to one organisation or the rest of them.
type portion struct {
	key  Key
	busy float64
	// floor is the least that it gets, weight the number of organisations.
	floor  float64
	weight float64
}

// at returns what the portion gets if no organisation gets more than a level.
func (p portion) at(level float64) float64 { return min(max(level*p.weight, p.floor), p.busy) }

// allocate divides the capacity among loads: by rank, then evenly among the organisations of a
// rank. Each load keeps a share of what it would get if all were cut alike. The first priority
// is not excepted: upstreams serve strictly by priority, so that a share which is given out on
// top of what they can do would never be served.
func allocate(loads Loads, capacity, floor float64) Loads {
	total := loads.Total()
	if total <= capacity {
		return loads
	}
	kept := floor * max(0, capacity) / total
	byRank := map[int][]portion{}
	for key, busy := range loads {
		byRank[key.Rank] = append(byRank[key.Rank], portion{key: key, busy: busy, floor: kept * busy, weight: 1})
	}
	left := max(0, capacity) - kept*total
	allocation := make(Loads, len(loads))
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		portions := byRank[rank]
		asked := 0.0
		for _, p := range portions {
			asked += p.busy
		}
		given := min(asked*(1-kept), left)
		left -= given
		setRestWeight(portions)
		level := fairLevel(portions, asked*kept+given)
		for _, p := range portions {
			allocation[p.key] = p.at(level)
		}
	}
	return allocation
}

// setRestWeight estimates the number of organisations in the rest, each of which is no larger
// than the smallest one that has a name.
func setRestWeight(portions []portion) {
	smallest := 0.0
	for _, p := range portions {
		if !p.key.Rest && (smallest == 0 || p.busy < smallest) {
			smallest = p.busy
		}
	}
	for i, p := range portions {
		if p.key.Rest && smallest > 0 {
			portions[i].weight = max(1, p.busy/smallest)
		}
	}
}

// levelSteps is the number of halvings by which a level is found.
const levelSteps = 50

// fairLevel returns the most that one organisation gets, so that all together get an amount.
func fairLevel(portions []portion, amount float64) float64 {
	low, high := 0.0, 0.0
	for _, p := range portions {
		high = max(high, p.busy)
	}
	for range levelSteps {
		level := (low + high) / 2
		sum := 0.0
		for _, p := range portions {
			sum += p.at(level)
		}
		if sum > amount {
			high = level
			continue
		}
		low = level
	}
	return high
}
