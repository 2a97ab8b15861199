package persimmonport

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimmember"
	"persimmonport.example/persimpeer"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimwire"
)

// peerService implements the API for other entry hosts.
type peerService struct {
	host *host
}

func (h *host) Peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(persimwire.NewPeerServiceHandler(peerService{h}, connect.WithReadMaxBytes(persimpeer.MaxMessageBytes), connect.WithCompressMinBytes(minCompressBytes)))
	return limitBodies(mux, persimpeer.MaxMessageBytes)
}

func (p peerService) Exchange(ctx context.Context, req *connect.Request[persimwire.ExchangeRequest]) (*connect.Response[persimwire.ExchangeResponse], error) {
	now := time.Now()
	msg := req.Msg
	changed := p.host.mergeDelta(persimmember.Delta{Hosts: msg.GetHosts(), Upstreams: msg.GetUpstreams()}, now)
	if changed {
		p.host.triggerExchange()
	}
	if row, ok := p.host.members.Host(msg.GetFrom()); ok {
		p.host.followGeneration(ctx, row.GetAddress(), msg.GetGeneration())
	}
	delta := p.host.changesToSend(now, msg.GetFull())
	return connect.NewResponse(&persimwire.ExchangeResponse{
		Hosts:      delta.Hosts,
		Upstreams:  delta.Upstreams,
		Digest:     delta.Digest,
		Generation: p.host.catalogue.Current().Generation(),
	}), nil
}

func (p peerService) GetCatalogue(context.Context, *connect.Request[persimwire.GetCatalogueRequest]) (*connect.Response[persimwire.GetCatalogueResponse], error) {
	return connect.NewResponse(&persimwire.GetCatalogueResponse{
		Catalogue: persimprofile.ToWire(p.host.catalogue.Current()),
	}), nil
}

func (p peerService) Replicate(_ context.Context, req *connect.Request[persimwire.ReplicateRequest]) (*connect.Response[persimwire.ReplicateResponse], error) {
	rejections := p.host.flights.ApplyUpdate(req.Msg, time.Now())
	return connect.NewResponse(&persimwire.ReplicateResponse{Rejections: rejections}), nil
}

func (p peerService) Handover(_ context.Context, req *connect.Request[persimwire.HandoverRequest]) (*connect.Response[persimwire.HandoverResponse], error) {
	response := &persimwire.HandoverResponse{}
	if p.host.isDraining() {
		return connect.NewResponse(response), nil
	}
	for _, state := range req.Msg.GetFlights() {
		f, err := p.host.flights.AcceptHandover(state, time.Now())
		if err != nil {
			continue
		}
		f.SetReplica(p.host.pickReplica(req.Msg.GetFrom()))
		p.host.continueFlight(f)
		response.Taken = append(response.Taken, state.GetId())
	}
	return connect.NewResponse(response), nil
}

func (p peerService) Locate(_ context.Context, req *connect.Request[persimwire.LocateRequest]) (*connect.Response[persimwire.LocateResponse], error) {
	response := &persimwire.LocateResponse{}
	f, ok := p.host.flightOf(req.Msg.GetOrganisation(), req.Msg.GetId())
	if !ok {
		return connect.NewResponse(response), nil
	}
	role, movedTo := f.Role()
	response.Moved = movedTo
	response.Owner = role == persimflight.RoleOwner
	response.Known = role != persimflight.RoleMoved
	if response.GetKnown() {
		response.Flight = f.State(time.Now())
	}
	return connect.NewResponse(response), nil
}

func (p peerService) Follow(ctx context.Context, req *connect.Request[persimwire.FollowRequest], stream *connect.ServerStream[persimwire.StreamEvent]) error {
	msg := req.Msg
	f, ok := p.host.flightOf(msg.GetOrganisation(), msg.GetId())
	if !ok {
		return refusalError(unknownOutcomeRefusal(persimwire.Reason_REASON_NOT_FOUND, "unknown request"))
	}
	if role, _ := f.Role(); role != persimflight.RoleOwner {
		if !msg.GetTake() || !p.host.takeOver(ctx, msg.GetOrganisation(), msg.GetId(), int(msg.GetOffset())) {
			return refusalError(unknownOutcomeRefusal(persimwire.Reason_REASON_NOT_FOUND, "not the owner"))
		}
	}
	if err := stream.Send(&persimwire.StreamEvent{}); err != nil {
		return err
	}
	refusal, err := p.host.relayOwned(ctx, f, int(msg.GetOffset()), msg.GetPrefix(), stream.Send)
	if refusal != nil {
		return refusalError(refusal)
	}
	return err
}

func (p peerService) Claim(ctx context.Context, req *connect.Request[persimwire.ClaimRequest]) (*connect.Response[persimwire.ClaimResponse], error) {
	claims, err := p.host.ledger.CommitForwarded(ctx, req.Msg.GetSlice(), req.Msg.GetClaims())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&persimwire.ClaimResponse{Claims: claims}), nil
}

func (p peerService) FindKey(_ context.Context, req *connect.Request[persimwire.FindKeyRequest]) (*connect.Response[persimwire.FindKeyResponse], error) {
	response := &persimwire.FindKeyResponse{}
	if f, ok := p.host.flights.FindKey(req.Msg.GetKey(), req.Msg.GetExcept()); ok {
		response.Id = f.ID()
	}
	return connect.NewResponse(response), nil
}

// findKey queries all other hosts for a call with a key. complete is false unless
// every host has answered.
func (h *host) findKey(ctx context.Context, key []byte, except string) (id string, complete bool) {
	peers := h.members.Peers()
	if len(peers) > maxLocateHosts {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	type answer struct {
		id  string
		err error
	}
	answers := make(chan answer, len(peers))
	for _, row := range peers {
		go func() {
			resp, err := h.links.Client(row.GetAddress()).FindKey(ctx, connect.NewRequest(&persimwire.FindKeyRequest{Key: key, Except: except}))
			if err != nil {
				answers <- answer{err: err}
				return
			}
			answers <- answer{id: resp.Msg.GetId()}
		}()
	}
	complete = true
	for range peers {
		a := <-answers
		complete = complete && a.err == nil
		if a.id != "" {
			id = a.id
		}
	}
	return id, complete
}

// claimForwarder sends claims to the preferred writer of a ledger slice.
type claimForwarder struct {
	host *host
}

const claimForwardTimeout = 500 * time.Millisecond

func (f claimForwarder) Forward(ctx context.Context, slice string, claims []*persimwire.Claim) ([]*persimwire.Claim, bool) {
	row := persimmember.Rank(slice, f.host.members.Hosts())[0]
	if row.GetName() == f.host.name() || row.GetState() != persimwire.HostState_HOST_STATE_LIVE {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimForwardTimeout)
	defer cancel()
	resp, err := f.host.links.Client(row.GetAddress()).Claim(ctx, connect.NewRequest(&persimwire.ClaimRequest{
		Slice: slice, Claims: claims,
	}))
	if err != nil {
		return nil, false
	}
	return resp.Msg.GetClaims(), true
}

// cancelRequest cancels a request on the host that owns it.
func (h *host) cancelRequest(ctx context.Context, organisation, id string) (bool, *persimwire.Refusal) {
	refusal := unknownOutcomeRefusal(persimwire.Reason_REASON_CANCELLED, "cancelled by the caller")
	if f, ok := h.flightOf(organisation, id); ok {
		if role, _ := f.Role(); role == persimflight.RoleOwner {
			return f.Refuse(proto.CloneOf(refusal)), nil
		}
	}
	return h.forwardAction(ctx, organisation, id, persimwire.PassAction_PASS_ACTION_CANCEL)
}

func (h *host) acknowledge(ctx context.Context, organisation, id string) {
	if _, ok := h.flightOf(organisation, id); ok {
		h.flights.Acknowledge(id)
	}
	_, _ = h.forwardAction(ctx, organisation, id, persimwire.PassAction_PASS_ACTION_ACKNOWLEDGE)
}

// forwardAction sends a cancellation or acknowledgement to the hosts that may own a
// request, until one has done it.
func (h *host) forwardAction(ctx context.Context, organisation, id string, action persimwire.PassAction) (bool, *persimwire.Refusal) {
	for _, row := range h.ownerCandidates(id, "") {
		callCtx, cancel := context.WithTimeout(ctx, locateTimeout)
		resp, err := h.links.Client(row.GetAddress()).Pass(callCtx, connect.NewRequest(&persimwire.PassRequest{
			Id: id, Organisation: organisation, Action: action,
		}))
		cancel()
		if err == nil && resp.Msg.GetDone() {
			return true, nil
		}
	}
	return false, unknownOutcomeRefusal(persimwire.Reason_REASON_NOT_FOUND, "no host knows the request")
}

func (p peerService) Pass(_ context.Context, req *connect.Request[persimwire.PassRequest]) (*connect.Response[persimwire.PassResponse], error) {
	response := &persimwire.PassResponse{}
	f, ok := p.host.flightOf(req.Msg.GetOrganisation(), req.Msg.GetId())
	if !ok {
		return connect.NewResponse(response), nil
	}
	switch req.Msg.GetAction() {
	case persimwire.PassAction_PASS_ACTION_CANCEL:
		response.Done = f.Refuse(unknownOutcomeRefusal(persimwire.Reason_REASON_CANCELLED, "cancelled by the caller"))
	case persimwire.PassAction_PASS_ACTION_ACKNOWLEDGE:
		p.host.flights.Acknowledge(f.ID())
	default:
	}
	return connect.NewResponse(response), nil
}
