package persimmonport

import (
	"context"
	"time"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimledger"
	"persimmonport.example/persimwire"
)

// confirmNotRun returns a refusal with the outcome "not run" only if no other request
// with the same key can have run. Otherwise it returns the result of that request.
func (c *callRunner) confirmNotRun(ctx context.Context, organisation string, refusal *persimwire.Refusal) (*persimwire.CallResponse, *persimwire.Refusal) {
	firstSend := !c.mayBeDuplicate && time.Since(c.received) <= maxFreshKeyAge
	if !c.atMostOnce || firstSend || refusal.GetOutcome() != persimwire.Outcome_OUTCOME_NOT_RUN {
		return nil, refusal
	}
	recorded, found, err := c.host.ledger.Lookup(ctx, c.claim)
	switch {
	case err != nil:
		return c.confirmNotRunByPeers(ctx, organisation, refusal)
	case !found || recorded.ClaimantToken == c.claim.ClaimantToken:
		return nil, refusal
	case !recorded.SameBody(c.claim):
		return nil, otherBodyRefusal()
	}
	return c.fetchAnswer(ctx, organisation, recorded.RequestID, claimStateRefusal(recorded.State))
}

// confirmNotRunByPeers queries the other hosts when the ledger is unavailable. What
// they retain is sufficient for a key that was new when this host received it.
func (c *callRunner) confirmNotRunByPeers(ctx context.Context, organisation string, refusal *persimwire.Refusal) (*persimwire.CallResponse, *persimwire.Refusal) {
	id, complete := c.host.findKey(ctx, c.claim.Key[:], c.claim.RequestID)
	if id != "" {
		return c.fetchAnswer(ctx, organisation, id, unknownOutcomeRefusal(refusal.GetReason(), refusal.GetMessage()))
	}
	expired := time.Since(c.received) > c.retention
	if c.mayBeDuplicate || expired || !complete || !c.host.hasRecentContact() {
		refusal.Outcome = persimwire.Outcome_OUTCOME_UNKNOWN
	}
	return nil, refusal
}

// fetchAnswer returns the result of another request with the same key, or fallback
// if no host holds it.
func (c *callRunner) fetchAnswer(ctx context.Context, organisation, id string, fallback *persimwire.Refusal) (*persimwire.CallResponse, *persimwire.Refusal) {
	state, ok := c.host.awaitRemoteCall(ctx, organisation, id)
	switch {
	case !ok:
		return nil, fallback
	case state.GetPhase() != persimwire.Phase_PHASE_DONE:
		return nil, cloneRefusal(state.GetRefusal())
	default:
		return &persimwire.CallResponse{Id: state.GetId(), Body: state.GetAnswer(), Duplicate: true}, nil
	}
}

func claimStateRefusal(state persimledger.State) *persimwire.Refusal {
	switch state {
	case persimledger.StateDone:
		return alreadyRunRefusal("the call has run; its answer is no longer held")
	case persimledger.StateNotRun:
		return notRunRefusal(persimwire.Reason_REASON_KEY, "the call with this key was not run; use a new key")
	default:
		return unknownOutcomeRefusal(persimwire.Reason_REASON_KEY, "a call with this key was sent; its outcome is unknown")
	}
}

// awaitRemoteCall waits until a call on another host ends and returns its final
// state, if any host holds it.
func (h *host) awaitRemoteCall(ctx context.Context, organisation, id string) (*persimwire.Flight, bool) {
	for ctx.Err() == nil {
		state, ok := h.findFlight(ctx, organisation, id)
		if !ok {
			return nil, false
		}
		if persimflight.IsFinalPhase(state.GetPhase()) {
			return state, true
		}
		if !h.ownerResponds(ctx, state) && state.GetOwner() != h.name() {
			return nil, false
		}
		pause(ctx, remotePollInterval)
	}
	return nil, false
}
