package persimfleet

import "persimmonport.example/persimcatalog"

const (
	// replacedShare is the share of a data centre's maximum that is replaced at a time. What
	// is being replaced is missing until the new upstreams have started.
	replacedShare = 0.25
	// probeRoom is the number of upstreams of a data centre that are left for reclaimable
	// ones while none can be started, so that an order tells when they can.
	probeRoom = 1
)

// reclaimableSupply tells whether reclaimable upstreams can be started at present.
type reclaimableSupply struct {
	current map[CapacityPool]int
	// refused is set from a reclaim or a refused order of reclaimable upstreams until an order
	// of more than there are is accepted.
	refused bool
}

func (s *reclaimableSupply) observe(current map[CapacityPool]int) { s.current = current }

func (s *reclaimableSupply) recordAccepted(order UpstreamOrder) {
	if order.Reclaimable && order.Count > s.current[order.CapacityPool] {
		s.refused = false
	}
}

func (s *reclaimableSupply) recordRefused(order UpstreamOrder) {
	if order.Reclaimable {
		s.refused = true
	}
}

// replaceOnDemand reduces the on-demand upstreams of data centres in which they leave no
// room for the reclaimable ones that are wanted, step by step: the limit of a data centre
// holds for both kinds together, so that on-demand upstreams ordered during a reclaim would
// otherwise stay for as long as the load does.
func (p *upstreamPlanner) replaceOnDemand(scaling persimcatalog.Scaling, current, wanted, desired map[CapacityPool]int, peak float64) {
	step := probeRoom
	if !p.supply.refused {
		step = max(probeRoom, int(replacedShare*float64(scaling.Max)))
	}
	released := 0
	reduced := map[CapacityPool]int{}
	total := 0
	for pool, count := range current {
		total += count
		if pool.Reclaimable || count == 0 {
			continue
		}
		reclaimable := CapacityPool{Centre: pool.Centre, Reclaimable: true}
		target := min(wanted[reclaimable], current[reclaimable]+step)
		limit := max(0, scaling.Max-target)
		if desired[pool] <= limit {
			continue
		}
		released += max(0, min(count, desired[pool])-limit)
		reduced[pool] = limit
	}
	// The upstreams that remain must carry the load meanwhile.
	if float64(total-released) < peak {
		return
	}
	for pool, limit := range reduced {
		reclaimable := CapacityPool{Centre: pool.Centre, Reclaimable: true}
		desired[pool] = limit
		desired[reclaimable] = min(wanted[reclaimable], scaling.Max-limit)
	}
}
