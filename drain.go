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
	// drainSafetyMargin is the time before the end of the notice at which a drain ends.
	drainSafetyMargin = time.Second
	// closeGracePeriod is the time in which open streams tell their callers to
	// resume at another host.
	closeGracePeriod = 500 * time.Millisecond
	// handoverBatch is the maximum number of requests in one handover.
	handoverBatch = 64
)

// drain shuts the host down gracefully. Readiness fails at once, but the host still
// accepts requests for the lag of the load balancer. Then it hands its requests over,
// until none is left or the notice period ends.
func (h *host) drain(ctx context.Context) {
	klog.Infof("drain: started")
	end := time.Now().Add(h.settings.Drain.Notice.Std() - drainSafetyMargin)
	h.announceSelf()
	h.triggerExchange()
	pause(ctx, h.settings.Drain.Lag.Std())
	h.rejectingNew.Store(true)
	handoverCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for handoverCtx.Err() == nil {
		remaining := h.handOver(handoverCtx)
		if remaining == 0 && h.openStreams.Load() == 0 && h.openCalls.Load() == 0 {
			break
		}
		pause(handoverCtx, handoverInterval)
	}
	close(h.closed)
	pause(ctx, closeGracePeriod)
	klog.Infof("drain: finished with %d open streams and %d open calls", h.openStreams.Load(), h.openCalls.Load())
}

// handOver moves owned requests to other hosts and returns how many remain.
func (h *host) handOver(ctx context.Context) int {
	byTarget := map[string][]*persimflight.Flight{}
	remaining := 0
	for _, f := range h.flights.Owned() {
		target := h.handoverTarget(f)
		if h.isBeingAccepted(f) || h.isCallInProgress(f) || target == "" {
			remaining++
			continue
		}
		byTarget[target] = append(byTarget[target], f)
	}
	for target, flights := range byTarget {
		for len(flights) > 0 {
			batch := flights[:min(handoverBatch, len(flights))]
			flights = flights[len(batch):]
			remaining += h.handOverTo(ctx, target, batch)
		}
	}
	return remaining
}

// isBeingAccepted reports whether the host has neither accepted nor refused a request yet.
// It is not handed over, since it may still be refused as not run.
func (h *host) isBeingAccepted(f *persimflight.Flight) bool {
	_, ok := h.accepting.Load(f.ID())
	return ok
}

// isCallInProgress reports whether a request is an unfinished call to a plain
// service. It is not handed over, since its connection cannot move.
func (h *host) isCallInProgress(f *persimflight.Flight) bool {
	state := f.State(time.Now())
	return state.GetKind() == persimwire.FlightKind_FLIGHT_KIND_CALL && !persimflight.IsFinalPhase(state.GetPhase())
}

// handoverTarget returns the host to hand a request to, or "". The holder of the
// replica is preferred, since as the new owner it rejects updates from this host.
func (h *host) handoverTarget(f *persimflight.Flight) string {
	if replica := f.Replica(); replica != "" && h.canHoldReplica(replica) {
		return replica
	}
	return h.pickReplica("")
}

// handOverTo stops requests on this host and sends them to their next owner. Requests
// that the next owner does not accept continue on this host. It returns their number.
func (h *host) handOverTo(ctx context.Context, target string, flights []*persimflight.Flight) int {
	row, ok := h.members.Host(target)
	if !ok || ctx.Err() != nil {
		return len(flights)
	}
	request := &persimwire.HandoverRequest{From: h.name()}
	for _, f := range flights {
		if state, ok := h.flights.BeginHandover(f.ID(), target, time.Now()); ok {
			request.Flights = append(request.Flights, state)
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	resp, err := h.links.Client(row.GetAddress()).Handover(callCtx, connect.NewRequest(request))
	if err != nil {
		klog.Warningf("drain: host %s did not take %d requests: %v", target, len(request.GetFlights()), err)
		h.links.Reset(row.GetAddress())
		return h.resumeUnconfirmed(ctx, row, request.GetFlights())
	}
	return h.resumeRejected(request.GetFlights(), resp.Msg.GetTaken())
}

// resumeRejected continues the requests that the target did not accept.
func (h *host) resumeRejected(states []*persimwire.Flight, taken []string) int {
	accepted := map[string]bool{}
	for _, id := range taken {
		accepted[id] = true
	}
	remaining := 0
	for _, state := range states {
		if !accepted[state.GetId()] {
			h.resumeOwnership(state.GetId(), "")
			remaining++
		}
	}
	return remaining
}

// resumeUnconfirmed continues the requests whose handover was not answered, except
// those that the target now owns.
func (h *host) resumeUnconfirmed(ctx context.Context, row *persimwire.HostRow, states []*persimwire.Flight) int {
	remaining := 0
	for _, state := range states {
		resp, err := h.locate(ctx, row, state.GetOrganisation(), state.GetId())
		if err == nil && resp.GetOwner() {
			continue
		}
		h.resumeOwnership(state.GetId(), row.GetName())
		remaining++
	}
	return remaining
}

// resumeOwnership cancels the handover of a request and continues the request on this
// host, with a replica on a host other than avoid.
func (h *host) resumeOwnership(id, avoid string) {
	f, ok := h.flights.CancelHandover(id)
	if !ok {
		return
	}
	f.SetReplica(h.pickReplica(avoid))
	h.continueFlight(f)
}
