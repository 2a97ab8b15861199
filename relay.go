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
	// maxLocateTime is how long a host searches for an accepted request that no
	// reachable host owns.
	maxLocateTime = 15 * time.Second
	// maxLocateHosts is the maximum number of hosts queried for one request.
	maxLocateHosts = 16
	// isolationCheckInterval is how long a stream may be idle before the host checks
	// whether it is isolated.
	isolationCheckInterval = 2 * time.Second
)

// sendFunc sends one event to the caller.
type sendFunc func(*persimwire.StreamEvent) error

// errIsolated reports that a stream makes no progress because this host reaches
// neither the platform nor other hosts.
var errIsolated = errors.New("host is isolated")

// errStreamEnded reports that the end marker of the stream was sent.
var errStreamEnded = errors.New("stream has ended")

// relay streams a request to its caller from whichever host owns it, until the end
// marker, a refusal or the shutdown of this host.
func (h *host) relay(ctx context.Context, organisation string, request *persimwire.ResumeRequest, send sendFunc) *persimwire.Refusal {
	offset := int(request.GetOffset())
	prefix := request.GetPrefix()
	trackedSend := func(event *persimwire.StreamEvent) error {
		if err := send(event); err != nil {
			return err
		}
		if piece := event.GetPiece(); piece != nil {
			offset = int(piece.GetOffset()) + 1
			prefix = nil
		}
		if event.GetEnd() != nil {
			return errStreamEnded
		}
		return nil
	}
	giveUpAt := time.Now().Add(maxLocateTime)
	for {
		startOffset := offset
		refusal, err := h.relayOnce(ctx, organisation, request.GetId(), offset, prefix, trackedSend)
		switch {
		case errors.Is(err, errStreamEnded):
			return nil
		case refusal != nil:
			refusal.Id = request.GetId()
			return refusal
		case errors.Is(err, errIsolated):
			sendMoved(send, request.GetId(), offset)
			return nil
		case ctx.Err() != nil:
			return unknownOutcomeRefusal(persimwire.Reason_REASON_CANCELLED, "the caller has left")
		case h.isClosed():
			sendMoved(send, request.GetId(), offset)
			return nil
		}
		if offset > startOffset {
			giveUpAt = time.Now().Add(maxLocateTime)
		}
		if time.Now().After(giveUpAt) {
			return unknownOutcomeRefusal(persimwire.Reason_REASON_NOT_FOUND, "no host knows the request")
		}
		pause(ctx, locateInterval)
	}
}

// sendMoved tells the caller to resume at another host.
func sendMoved(send sendFunc, id string, offset int) {
	moved := &persimwire.Moved{Id: id, Offset: int64(offset)}
	_ = send(&persimwire.StreamEvent{Event: &persimwire.StreamEvent_Moved{Moved: moved}})
}

func (h *host) isClosed() bool {
	select {
	case <-h.closed:
		return true
	default:
		return false
	}
}

// untilClosed returns a context that also ends when the drain of this host has ended.
func (h *host) untilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if h.isClosed() {
		cancel()
	}
	go func() {
		select {
		case <-h.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// flightOf returns a request of an organisation in any role of this host.
func (h *host) flightOf(organisation, id string) (*persimflight.Flight, bool) {
	f, err := h.flights.Get(id)
	if err != nil || f.Organisation() != organisation {
		return nil, false
	}
	return f, true
}

// relayOnce streams from this host if it owns the request, otherwise from the owner.
func (h *host) relayOnce(ctx context.Context, organisation, id string, offset int, prefix []byte, send sendFunc) (*persimwire.Refusal, error) {
	if f, ok := h.flightOf(organisation, id); ok {
		role, movedTo := f.Role()
		if role == persimflight.RoleOwner {
			return h.relayOwned(ctx, f, offset, prefix, send)
		}
		return h.relayRemote(ctx, organisation, id, offset, prefix, movedTo, send)
	}
	return h.relayRemote(ctx, organisation, id, offset, prefix, "", send)
}

// relayOwned streams a request that this host owns until it ends or moves away.
func (h *host) relayOwned(ctx context.Context, f *persimflight.Flight, offset int, prefix []byte, send sendFunc) (*persimwire.Refusal, error) {
	for {
		view, err := f.View(offset, prefix)
		if err != nil {
			return viewRefusal(err), nil
		}
		prefix = nil
		for i, token := range view.Tokens {
			piece := &persimwire.Piece{Offset: int64(offset + i), Text: token, Attempt: int32(view.Attempt)}
			if err := send(&persimwire.StreamEvent{Event: &persimwire.StreamEvent_Piece{Piece: piece}}); err != nil {
				return nil, err
			}
		}
		offset += len(view.Tokens)
		switch {
		case view.Role != persimflight.RoleOwner:
			return nil, nil
		case view.Phase == persimwire.Phase_PHASE_FAILED:
			return cloneRefusal(view.Refusal), nil
		case view.Complete:
			return nil, send(&persimwire.StreamEvent{Event: &persimwire.StreamEvent_End{End: f.EndEvent()}})
		}
		select {
		case <-view.Changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-h.closed:
			return nil, nil
		case <-time.After(isolationCheckInterval):
			if !h.hasRecentContact() {
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
	if errors.Is(err, persimflight.ErrPrefixMismatch) {
		return notRunRefusal(persimwire.Reason_REASON_INVALID, "the text before the offset differs from the answer")
	}
	return notRunRefusal(persimwire.Reason_REASON_INVALID, "the offset lies beyond the answer")
}

// relayRemote streams from the host that owns the request, until it ends or the drain
// of this host has ended. If no host owns it, a holder of a replica takes it over. Once it
// has sent events it tries no further host, since the offset is then out of date.
func (h *host) relayRemote(ctx context.Context, organisation, id string, offset int, prefix []byte, movedTo string, send sendFunc) (*persimwire.Refusal, error) {
	ctx, cancel := h.untilClosed(ctx)
	defer cancel()
	sent := false
	noteSend := func(event *persimwire.StreamEvent) error {
		sent = true
		return send(event)
	}
	rows := h.ownerCandidates(id, movedTo)
	for _, allowTakeover := range []bool{false, true} {
		if allowTakeover && h.takeOver(ctx, organisation, id, offset) {
			return nil, nil
		}
		for _, row := range rows {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			refusal, err := h.follow(ctx, row, organisation, id, offset, prefix, allowTakeover, noteSend)
			if sent || !shouldTryNextHost(refusal, err) {
				return refusal, err
			}
		}
	}
	return nil, nil
}

// shouldTryNextHost reports whether a host does not own the request or did not answer.
func shouldTryNextHost(refusal *persimwire.Refusal, err error) bool {
	if refusal != nil {
		return refusal.GetReason() == persimwire.Reason_REASON_NOT_FOUND
	}
	return err != nil && !errors.Is(err, errStreamEnded) && !errors.Is(err, context.Canceled)
}

// ownerCandidates returns the hosts that may own a request: first the one it moved
// to, then those named in its identifier, then the others.
func (h *host) ownerCandidates(id, movedTo string) []*persimwire.HostRow {
	names := append([]string{movedTo}, hostsInID(id)...)
	var rows []*persimwire.HostRow
	for _, name := range names {
		row, ok := h.members.Host(name)
		if ok && name != h.name() && !containsHost(rows, name) {
			rows = append(rows, row)
		}
	}
	for _, row := range persimmember.Rank(id, h.members.Peers()) {
		if len(rows) < maxLocateHosts && !containsHost(rows, row.GetName()) {
			rows = append(rows, row)
		}
	}
	return rows
}

func containsHost(rows []*persimwire.HostRow, name string) bool {
	return slices.ContainsFunc(rows, func(row *persimwire.HostRow) bool { return row.GetName() == name })
}

// follow streams a request from another host. A watchdog cancels a stream that
// delivers nothing at first; later the heartbeats of the link detect a dead peer.
func (h *host) follow(ctx context.Context, row *persimwire.HostRow, organisation, id string, offset int, prefix []byte, allowTakeover bool, send sendFunc) (*persimwire.Refusal, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(2*locateTimeout, cancel)
	defer watchdog.Stop()
	stream, err := h.links.Client(row.GetAddress()).Follow(ctx, connect.NewRequest(&persimwire.FollowRequest{
		Id: id, Organisation: organisation, Offset: int64(offset), Prefix: prefix, Take: allowTakeover,
	}))
	if err != nil {
		return nil, asPeerTimeout(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		watchdog.Stop()
		if stream.Msg().GetEvent() == nil {
			continue
		}
		if err := send(stream.Msg()); err != nil {
			return nil, err
		}
	}
	if refusal, ok := RefusalOf(stream.Err()); ok {
		return refusal, nil
	}
	if stream.Err() != nil {
		klog.V(1).Infof("relay: stream of %s from %s ended: %v", id, row.GetName(), stream.Err())
		return nil, asPeerTimeout(stream.Err())
	}
	return nil, nil
}

// errPeerTimeout reports that the watchdog cancelled a stream from another host.
var errPeerTimeout = errors.New("the other host did not answer")

// asPeerTimeout maps a cancelled stream to errPeerTimeout, so that the watchdog's
// cancellation is not taken for the caller's.
func asPeerTimeout(err error) error {
	if connect.CodeOf(err) == connect.CodeCanceled {
		return errPeerTimeout
	}
	return err
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

// findFlight returns the state of a request from its owner, or from a replica if
// the owner does not answer.
func (h *host) findFlight(ctx context.Context, organisation, id string) (*persimwire.Flight, bool) {
	var replica *persimwire.Flight
	movedTo := ""
	if f, ok := h.flightOf(organisation, id); ok {
		role, destination := f.Role()
		movedTo = destination
		if role == persimflight.RoleOwner {
			return f.State(time.Now()), true
		}
		if role == persimflight.RoleReplica {
			replica = f.State(time.Now())
		}
	}
	for _, row := range h.ownerCandidates(id, movedTo) {
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

// status returns the state of a request for its caller.
func (h *host) status(ctx context.Context, organisation, id string) (*persimwire.StatusResponse, *persimwire.Refusal) {
	state, ok := h.findFlight(ctx, organisation, id)
	if !ok {
		return nil, unknownOutcomeRefusal(persimwire.Reason_REASON_NOT_FOUND, "no host knows the request")
	}
	return statusResponse(state), nil
}

func statusResponse(state *persimwire.Flight) *persimwire.StatusResponse {
	replica := ""
	if hosts := hostsInID(state.GetId()); hosts != nil {
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
