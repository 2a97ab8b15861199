package persimmonport

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimwire"
)

// takeOver makes this host the owner of a request whose replica it holds, unless
// the current owner responds. A replica with fewer tokens than the caller has
// received is not continued.
func (h *host) takeOver(ctx context.Context, organisation, id string, offset int) bool {
	f, ok := h.flightOf(organisation, id)
	if !ok {
		return false
	}
	if role, _ := f.Role(); role != persimflight.RoleReplica {
		return role == persimflight.RoleOwner
	}
	state := f.State(time.Now())
	if offset > len(state.GetTokens()) || h.ownerResponds(ctx, state) || ctx.Err() != nil {
		return false
	}
	promoted, ok := h.flights.Promote(id)
	if !ok {
		return false
	}
	klog.Infof("relay: took over request %s from %s", id, state.GetOwner())
	h.metrics.Count("takeovers")
	promoted.SetReplica(h.pickReplica(state.GetOwner()))
	h.continueFlight(promoted)
	return true
}

// ownerResponds reports whether the recorded owner confirms that it owns the request.
func (h *host) ownerResponds(ctx context.Context, state *persimwire.Flight) bool {
	row, ok := h.members.Host(state.GetOwner())
	if !ok || row.GetState() == persimwire.HostState_HOST_STATE_DEAD {
		return false
	}
	resp, err := h.locate(ctx, row, state.GetOrganisation(), state.GetId())
	return err == nil && resp.GetOwner()
}
