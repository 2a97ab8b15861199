package persimmonport

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimmember"
	"persimmonport.example/persimwire"
)

const (
	locateTimeout  = 800 * time.Millisecond
	locateInterval = 200 * time.Millisecond
	// locatePatience is how long a host looks for an accepted request that no
	// reachable host owns.
	locatePatience = 15 * time.Second
	// maxLocate bounds the hosts that are asked for one request.
	maxLocate = 16
	// isolationCheck is how long a stream may rest before the host checks whether
	// it is isolated.
	isolationCheck = 2 * time.Second
)

// send passes one event to the caller.
type send func(*persimwire.StreamEvent) error

// errIsolated reports that this host makes no progress because it reaches nobody.
var errIsolated = errors.New("host is isolated")

// errEnded reports that the stream has come to its end marker.
var errEnded = errors.New("stream has ended")

// relay streams a request to its caller, wherever the request is, until the end
// marker, a refusal, or the end of this host.
func (h *host) relay(ctx context.Context, organisation string, request *persimwire.ResumeRequest, out send) *persimwire.Refusal {
	h.relays.Add(1)
	defer h.relays.Add(-1)
	offset := int(request.GetOffset())
	prefix := request.GetPrefix()
	counted := func(event *persimwire.StreamEvent) error {
		if err := out(event); err != nil {
			return err
		}
		if piece := event.GetPiece(); piece != nil {
			offset = int(piece.GetOffset()) + 1
			prefix = nil
		}
		if event.GetEnd() != nil {
			return errEnded
		}
		return nil
	}
	giveUp := time.Now().Add(locatePatience)
	for {
		before := offset
		refusal, err := h.relayOnce(ctx, organisation, request.GetId(), offset, prefix, counted)
		switch {
		case errors.Is(err, errEnded):
			return nil
		case refusal != nil:
			refusal.Id = request.GetId()
			return refusal
		case errors.Is(err, errIsolated):
			sendMoved(out, request.GetId(), offset)
			return nil
		case ctx.Err() != nil:
			return unknown(persimwire.Reason_REASON_CANCELLED, "the caller has left")
		case h.isClosed():
			sendMoved(out, request.GetId(), offset)
			return nil
		}
		if offset > before {
			giveUp = time.Now().Add(locatePatience)
		}
		if time.Now().After(giveUp) {
			return unknown(persimwire.Reason_REASON_NOT_FOUND, "no host knows the request")
		}
		pause(ctx, locateInterval)
	}
}

// sendMoved tells the caller to resume at another host.
func sendMoved(out send, id string, offset int) {
	moved := &persimwire.Moved{Id: id, Offset: int64(offset)}
	_ = out(&persimwire.StreamEvent{Event: &persimwire.StreamEvent_Moved{Moved: moved}})
}

func (h *host) isClosed() bool {
	select {
	case <-h.closed:
		return true
	default:
		return false
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// relayOnce streams from this host if it owns the request, else from the host that does.
func (h *host) relayOnce(ctx context.Context, organisation, id string, offset int, prefix []byte, out send) (*persimwire.Refusal, error) {
	f, err := h.flights.Get(id)
	if err == nil && f.Organisation() == organisation {
		role, movedTo := f.Role()
		if role == persimflight.RoleOwner {
			return h.relayOwned(ctx, f, offset, prefix, out)
		}
		return h.relayRemote(ctx, organisation, id, offset, prefix, movedTo, out)
	}
	return h.relayRemote(ctx, organisation, id, offset, prefix, "", out)
}

// relayOwned streams a request that this host owns until it ends or moves.
func (h *host) relayOwned(ctx context.Context, f *persimflight.Flight, offset int, prefix []byte, out send) (*persimwire.Refusal, error) {
	for {
		view, err := f.View(offset, prefix)
		if err != nil {
			return viewRefusal(err), nil
		}
		prefix = nil
		for i, token := range view.Tokens {
			piece := &persimwire.Piece{Offset: int64(offset + i), Text: token, Attempt: int32(view.Attempt)}
			if err := out(&persimwire.StreamEvent{Event: &persimwire.StreamEvent_Piece{Piece: piece}}); err != nil {
				return nil, err
			}
		}
		offset += len(view.Tokens)
		switch {
		case view.Role != persimflight.RoleOwner:
			return nil, nil
		case view.Phase == persimwire.Phase_PHASE_FAILED:
			return cloneRefusal(view.Refusal), nil
		case view.Whole:
			return nil, out(&persimwire.StreamEvent{Event: &persimwire.StreamEvent_End{End: f.End()}})
		}
		select {
		case <-view.Changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-h.closed:
			return nil, nil
		case <-time.After(isolationCheck):
			if !h.isCurrent() {
				return nil, errIsolated
			}
		}
	}
}

func cloneRefusal(r *persimwire.Refusal) *persimwire.Refusal {
	return &persimwire.Refusal{
		Outcome:    r.GetOutcome(),
		Reason:     r.GetReason(),
		Message:    r.GetMessage(),
		RetryAfter: r.GetRetryAfter(),
	}
}

func viewRefusal(err error) *persimwire.Refusal {
	if errors.Is(err, persimflight.ErrPrefix) {
		return notRun(persimwire.Reason_REASON_INVALID, "the text before the offset differs from the answer")
	}
	return notRun(persimwire.Reason_REASON_INVALID, "the offset lies beyond the answer")
}

// relayRemote streams from the host that owns the request. When no host owns it,
// the holder of a replica is asked to take it over.
func (h *host) relayRemote(ctx context.Context, organisation, id string, offset int, prefix []byte, movedTo string, out send) (*persimwire.Refusal, error) {
	rows := h.candidates(id, movedTo)
	for _, take := range []bool{false, true} {
		if take && h.takeOver(ctx, organisation, id, offset) {
			return nil, nil
		}
		for _, row := range rows {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			refusal, err := h.follow(ctx, row, organisation, id, offset, prefix, take, out)
			if !isUnknown(refusal, err) {
				return refusal, err
			}
		}
	}
	return nil, nil
}

// isUnknown reports that a host does not own the request or did not answer.
func isUnknown(refusal *persimwire.Refusal, err error) bool {
	if refusal != nil {
		return refusal.GetReason() == persimwire.Reason_REASON_NOT_FOUND
	}
	return err != nil && !errors.Is(err, errEnded) && !errors.Is(err, context.Canceled)
}

// candidates orders the hosts that may own a request: where it went, whom its
// identifier names, then the others.
func (h *host) candidates(id, movedTo string) []*persimwire.HostRow {
	names := append([]string{movedTo}, hostsOf(id)...)
	var rows []*persimwire.HostRow
	for _, name := range names {
		row, ok := h.members.Host(name)
		if ok && name != h.name() && !contains(rows, name) {
			rows = append(rows, row)
		}
	}
	for _, row := range persimmember.Rank(id, h.members.Peers()) {
		if len(rows) < maxLocate && !contains(rows, row.GetName()) {
			rows = append(rows, row)
		}
	}
	return rows
}

func contains(rows []*persimwire.HostRow, name string) bool {
	return slices.ContainsFunc(rows, func(row *persimwire.HostRow) bool { return row.GetName() == name })
}

// follow streams a request from another host. A stream on which nothing comes at
// first is given up; later silence is found by the link's heartbeats.
func (h *host) follow(ctx context.Context, row *persimwire.HostRow, organisation, id string, offset int, prefix []byte, take bool, out send) (*persimwire.Refusal, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(2*locateTimeout, cancel)
	defer watchdog.Stop()
	stream, err := h.links.Client(row.GetAddress()).Follow(ctx, connect.NewRequest(&persimwire.FollowRequest{
		Id: id, Organisation: organisation, Offset: int64(offset), Prefix: prefix, Take: take,
	}))
	if err != nil {
		return nil, silentLink(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Stop()
		if stream.Msg().GetEvent() == nil {
			continue
		}
		if err := out(stream.Msg()); err != nil {
			return nil, err
		}
	}
	if refusal, ok := RefusalOf(stream.Err()); ok {
		return refusal, nil
	}
	if stream.Err() != nil {
		klog.V(1).Infof("relay: stream of %s from %s ended: %v", id, row.GetName(), stream.Err())
		return nil, silentLink(stream.Err())
	}
	return nil, nil
}

var errSilentLink = errors.New("the other host did not answer")

// silentLink keeps the watchdog's cancellation apart from that of the caller.
func silentLink(err error) error {
	if connect.CodeOf(err) == connect.CodeCanceled {
		return errSilentLink
	}
	return err
}

// takeOver makes this host the owner of a request of which it holds a replica,
// unless the owner still answers. A replica that lacks the caller's tokens is
// not continued.
func (h *host) takeOver(ctx context.Context, organisation, id string, offset int) bool {
	f, err := h.flights.Get(id)
	if err != nil || f.Organisation() != organisation {
		return false
	}
	if role, _ := f.Role(); role != persimflight.RoleReplica {
		return role == persimflight.RoleOwner
	}
	state := f.State(time.Now())
	if offset > len(state.GetTokens()) || h.ownerAnswers(ctx, state) || ctx.Err() != nil {
		return false
	}
	taken, ok := h.flights.Take(id)
	if !ok {
		return false
	}
	klog.Infof("relay: took request %s over from %s", id, state.GetOwner())
	h.metrics.Count("takeovers")
	taken.SetReplica(h.pickReplica(state.GetOwner()))
	h.continueFlight(taken)
	return true
}

// ownerAnswers reports whether the recorded owner still owns the request.
func (h *host) ownerAnswers(ctx context.Context, state *persimwire.Flight) bool {
	row, ok := h.members.Host(state.GetOwner())
	if !ok || row.GetState() == persimwire.HostState_HOST_STATE_DEAD {
		return false
	}
	resp, err := h.locate(ctx, row, state.GetOrganisation(), state.GetId())
	return err == nil && resp.GetOwner()
}

func (h *host) locate(ctx context.Context, row *persimwire.HostRow, organisation, id string) (*persimwire.LocateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	resp, err := h.links.Client(row.GetAddress()).Locate(ctx, connect.NewRequest(&persimwire.LocateRequest{
		Id: id, Organisation: organisation,
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// find returns the state of a request, from its owner if that answers, else from a replica.
func (h *host) find(ctx context.Context, organisation, id string) (*persimwire.Flight, bool) {
	var replica *persimwire.Flight
	f, err := h.flights.Get(id)
	movedTo := ""
	if err == nil && f.Organisation() == organisation {
		role, to := f.Role()
		movedTo = to
		if role == persimflight.RoleOwner {
			return f.State(time.Now()), true
		}
		if role == persimflight.RoleReplica {
			replica = f.State(time.Now())
		}
	}
	for _, row := range h.candidates(id, movedTo) {
		resp, err := h.locate(ctx, row, organisation, id)
		if err != nil || !resp.GetKnown() {
			continue
		}
		if resp.GetOwner() {
			return resp.GetFlight(), true
		}
		if replica == nil {
			replica = resp.GetFlight()
		}
	}
	return replica, replica != nil
}

// status reports the state of a request.
func (h *host) status(ctx context.Context, organisation, id string) (*persimwire.StatusResponse, *persimwire.Refusal) {
	state, ok := h.find(ctx, organisation, id)
	if !ok {
		return nil, unknown(persimwire.Reason_REASON_NOT_FOUND, "no host knows the request")
	}
	return statusOf(state), nil
}

func statusOf(state *persimwire.Flight) *persimwire.StatusResponse {
	replica := ""
	if hosts := hostsOf(state.GetId()); hosts != nil {
		replica = hosts[1]
	}
	return &persimwire.StatusResponse{
		Id:      state.GetId(),
		Phase:   state.GetPhase(),
		Tokens:  int64(len(state.GetTokens())),
		Host:    state.GetOwner(),
		Replica: replica,
		Path:    state.GetPath(),
	}
}
