package persimmonport

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"persimmonport.example/persimflight"

	"persimmonport.example/persimwire"
)

const (
	handoverTimeout  = 2 * time.Second
	handoverInterval = 250 * time.Millisecond
	drainMargin      = time.Second
	closeWait        = 500 * time.Millisecond
	handoverBatch    = 64
)

// drain fails readiness, keeps accepting for the balancer's lag, hands requests
// over and ends when nothing is left or the notice runs out.
func (h *host) drain(ctx context.Context) {
	klog.Infof("drain: started")
	end := time.Now().Add(h.settings.Drain.Notice.Std() - drainMargin)
	h.announce()
	h.spread()
	pause(ctx, h.settings.Drain.Lag.Std())
	h.refusing.Store(true)
	for time.Now().Before(end) && ctx.Err() == nil {
		left := h.handOver(ctx)
		if left == 0 && h.relays.Load() == 0 && h.calls.Load() == 0 {
			break
		}
		pause(ctx, handoverInterval)
	}
	close(h.closed)
	pause(ctx, closeWait)
	klog.Infof("drain: finished with %d open streams and %d open calls", h.relays.Load(), h.calls.Load())
}

// handOver moves owned requests to other hosts and returns how many are left.
func (h *host) handOver(ctx context.Context) int {
	byTarget := map[string][]*persimflight.Flight{}
	left := 0
	for _, f := range h.flights.Owned() {
		target := h.handoverTarget(f)
		if h.isCallInProgress(f) || target == "" {
			left++
			continue
		}
		byTarget[target] = append(byTarget[target], f)
	}
	for target, flights := range byTarget {
		for len(flights) > 0 {
			batch := flights[:min(handoverBatch, len(flights))]
			flights = flights[len(batch):]
			left += h.handOverTo(ctx, target, batch)
		}
	}
	return left
}

// isCallInProgress reports a call of a plain service that has not ended; its
// connection cannot move.
func (h *host) isCallInProgress(f *persimflight.Flight) bool {
	state := f.State(time.Now())
	return state.GetKind() == persimwire.FlightKind_FLIGHT_KIND_CALL && !isOver(state.GetPhase())
}

// handoverTarget prefers the holder of the replica, which fences this host.
func (h *host) handoverTarget(f *persimflight.Flight) string {
	if replica := f.Replica(); replica != "" && h.canHoldReplica(replica) {
		return replica
	}
	return h.pickReplica("")
}

// handOverTo freezes requests and sends them to their next owner. Requests that
// it did not take return to this host.
func (h *host) handOverTo(ctx context.Context, target string, flights []*persimflight.Flight) int {
	row, ok := h.members.Host(target)
	if !ok {
		return len(flights)
	}
	request := &persimwire.HandoverRequest{From: h.name()}
	for _, f := range flights {
		if state, ok := h.flights.Freeze(f.ID(), target, time.Now()); ok {
			request.Flights = append(request.Flights, state)
		}
	}
	bounded, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	resp, err := h.links.Client(row.GetAddress()).Handover(bounded, connect.NewRequest(request))
	if err != nil {
		klog.Warningf("drain: host %s did not take %d requests: %v", target, len(request.GetFlights()), err)
		h.links.Reset(row.GetAddress())
		return h.thaw(ctx, row, request.GetFlights())
	}
	return h.thawRest(request.GetFlights(), resp.Msg.GetTaken())
}

func (h *host) thawRest(states []*persimwire.Flight, taken []string) int {
	gone := map[string]bool{}
	for _, id := range taken {
		gone[id] = true
	}
	left := 0
	for _, state := range states {
		if !gone[state.GetId()] {
			h.returnFlight(state.GetId(), "")
			left++
		}
	}
	return left
}

// thaw returns requests whose handover got no answer, but for those that the
// target now owns.
func (h *host) thaw(ctx context.Context, row *persimwire.HostRow, states []*persimwire.Flight) int {
	left := 0
	for _, state := range states {
		resp, err := h.locate(ctx, row, state.GetOrganisation(), state.GetId())
		if err == nil && resp.GetOwner() {
			continue
		}
		h.returnFlight(state.GetId(), row.GetName())
		left++
	}
	return left
}

func (h *host) returnFlight(id, avoid string) {
	f, ok := h.flights.Thaw(id)
	if !ok {
		return
	}
	f.SetReplica(h.pickReplica(avoid))
	h.continueFlight(f)
}
