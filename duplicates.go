package persimmonport

import (
	"context"
	"time"

	"persimmonport.example/persimledger"
	"persimmonport.example/persimwire"
)

// verified returns a refusal that says "not run" only if no other request with
// the same key can have run; otherwise the answer to that request.
func (c *caller) verified(ctx context.Context, organisation string, refusal *persimwire.Refusal) (*persimwire.CallResponse, *persimwire.Refusal) {
	fresh := !c.mayRepeat && time.Since(c.arrived) <= freshKey
	if !c.once || fresh || refusal.GetOutcome() != persimwire.Outcome_OUTCOME_NOT_RUN {
		return nil, refusal
	}
	inForce, found, err := c.host.ledger.Lookup(ctx, c.claim)
	switch {
	case err != nil:
		return c.verifiedByPeers(ctx, organisation, refusal)
	case !found || inForce.Token == c.claim.Token:
		return nil, refusal
	case !inForce.SameBody(c.claim):
		return nil, notRun(persimwire.Reason_REASON_KEY, "the key was used with another body")
	}
	return c.answerOf(ctx, organisation, inForce.ID, claimOutcome(inForce.State))
}

// verifiedByPeers asks the other hosts in place of the ledger. Their memory covers
// a key that was new when it came to this host.
func (c *caller) verifiedByPeers(ctx context.Context, organisation string, refusal *persimwire.Refusal) (*persimwire.CallResponse, *persimwire.Refusal) {
	id, all := c.host.findKey(ctx, c.claim.Key[:], c.claim.ID)
	if id != "" {
		return c.answerOf(ctx, organisation, id, unknown(refusal.GetReason(), refusal.GetMessage()))
	}
	forgotten := time.Since(c.arrived) > c.retention
	if c.mayRepeat || forgotten || !all || !c.host.isCurrent() {
		refusal.Outcome = persimwire.Outcome_OUTCOME_UNKNOWN
	}
	return nil, refusal
}

// answerOf returns the answer of another request with the same key, or a refusal
// when no host holds it.
func (c *caller) answerOf(ctx context.Context, organisation, id string, otherwise *persimwire.Refusal) (*persimwire.CallResponse, *persimwire.Refusal) {
	state, ok := c.host.awaitElsewhere(ctx, organisation, id)
	switch {
	case !ok:
		return nil, otherwise
	case state.GetPhase() != persimwire.Phase_PHASE_DONE:
		return nil, cloneRefusal(state.GetRefusal())
	default:
		return &persimwire.CallResponse{Id: state.GetId(), Body: state.GetAnswer(), Duplicate: true}, nil
	}
}

func claimOutcome(state persimledger.State) *persimwire.Refusal {
	switch state {
	case persimledger.StateDone:
		return alreadyRun("the call has run; its answer is no longer held")
	case persimledger.StateNotRun:
		return notRun(persimwire.Reason_REASON_KEY, "the call with this key was not run; use a new key")
	default:
		return unknown(persimwire.Reason_REASON_KEY, "a call with this key was sent; its outcome is unknown")
	}
}

// awaitElsewhere waits for the end of a call that another host runs, and returns
// its final state if some host holds it.
func (h *host) awaitElsewhere(ctx context.Context, organisation, id string) (*persimwire.Flight, bool) {
	for ctx.Err() == nil {
		state, ok := h.find(ctx, organisation, id)
		if !ok {
			return nil, false
		}
		if isOver(state.GetPhase()) {
			return state, true
		}
		if !h.ownerAnswers(ctx, state) && state.GetOwner() != h.name() {
			return nil, false
		}
		pause(ctx, pollInterval)
	}
	return nil, false
}
