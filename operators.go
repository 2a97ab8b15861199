package persimmonport

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"k8s.io/klog/v2"

	"persimmonport.example/persimprofile"
	"persimmonport.example/persimwire"
)

const (
	maxOperatorBytes = 1 << 20
	maxChangeIDBytes = 64
)

// operatorService implements the interface of operators.
type operatorService struct {
	host *host
}

func (h *host) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(persimwire.NewOperatorServiceHandler(operatorService{h},
		connect.WithReadMaxBytes(maxOperatorBytes),
		connect.WithCompressMinBytes(compressFrom),
		connect.WithInterceptors(h.operatorsOnly())))
	mux.Handle("GET /metrics", h.metrics.Handler())
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "live", h.version)
	})
	mux.HandleFunc("GET /ready", h.serveReady)
	return mux
}

func (h *host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.ready() {
		_, _ = fmt.Fprintln(w, "ready")
		return
	}
	http.Error(w, h.unreadyCause(), http.StatusServiceUnavailable)
}

func (h *host) unreadyCause() string {
	switch {
	case h.isDraining():
		return "draining"
	case h.keeper.Current().Generation() == 0:
		return "no catalogue yet"
	default:
		return "neither the platform nor the other hosts have answered lately"
	}
}

// operatorsOnly refuses calls without an operator's token.
func (h *host) operatorsOnly() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if _, refusal := h.identities.operator(req.Header()); refusal != nil {
				return nil, refusalError(refusal)
			}
			return next(ctx, req)
		}
	}
}

func (o operatorService) GetProfiles(context.Context, *connect.Request[persimwire.GetProfilesRequest]) (*connect.Response[persimwire.GetProfilesResponse], error) {
	catalogue := persimprofile.ToWire(o.host.keeper.Current())
	return connect.NewResponse(&persimwire.GetProfilesResponse{Catalogue: catalogue}), nil
}

func (o operatorService) ApplyChange(ctx context.Context, req *connect.Request[persimwire.ApplyChangeRequest]) (*connect.Response[persimwire.ApplyChangeResponse], error) {
	operator, _ := o.host.identities.operator(req.Header())
	msg := req.Msg
	if msg.GetId() == "" || len(msg.GetId()) > maxChangeIDBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the change needs an identifier"))
	}
	change := persimprofile.Change{ID: msg.GetId(), Operator: operator, Time: time.Now()}
	next, err := o.host.keeper.Commit(ctx, msg.GetBase(), msg.GetId(), editOf(msg, change))
	if errors.Is(err, persimprofile.ErrStale) {
		return connect.NewResponse(conflictOf(next, msg.GetBase())), nil
	}
	if err != nil {
		return nil, changeError(err)
	}
	klog.Infof("catalogue: generation %d by operator %s", next.Generation(), operator)
	o.host.announce()
	return connect.NewResponse(&persimwire.ApplyChangeResponse{
		Generation:  next.Generation(),
		Differences: differencesOf(next, msg.GetId()),
	}), nil
}

func editOf(msg *persimwire.ApplyChangeRequest, change persimprofile.Change) persimprofile.Edit {
	return func(c persimprofile.Catalogue) (persimprofile.Catalogue, error) {
		switch {
		case msg.GetProfile() != nil:
			return c.WithProfile(persimprofile.ProfileFromWire(msg.GetProfile()), change)
		case msg.GetService() != nil:
			return c.WithService(persimprofile.ServiceFromWire(msg.GetService()), change)
		default:
			return c, errors.New("the change is empty")
		}
	}
}

func conflictOf(current persimprofile.Catalogue, base uint64) *persimwire.ApplyChangeResponse {
	response := &persimwire.ApplyChangeResponse{Conflict: true, Generation: current.Generation()}
	for _, change := range current.Since(base) {
		response.Missed = append(response.Missed, persimprofile.ChangeToWire(change))
	}
	return response
}

func differencesOf(c persimprofile.Catalogue, id string) []string {
	for _, change := range c.Changes() {
		if change.ID == id {
			return change.Differences
		}
	}
	return nil
}

// changeError says whether a change may have been stored.
func changeError(err error) error {
	if persimprofile.IsTransient(err) {
		return connect.NewError(connect.CodeUnavailable,
			fmt.Errorf("the platform did not confirm the change; repeat it with the same identifier: %w", err))
	}
	return connect.NewError(connect.CodeInvalidArgument, err)
}

func (o operatorService) GetForce(ctx context.Context, _ *connect.Request[persimwire.GetForceRequest]) (*connect.Response[persimwire.GetForceResponse], error) {
	return connect.NewResponse(&persimwire.GetForceResponse{Hosts: o.host.rowsInForce(ctx)}), nil
}

func (o operatorService) ListHosts(ctx context.Context, _ *connect.Request[persimwire.ListHostsRequest]) (*connect.Response[persimwire.ListHostsResponse], error) {
	return connect.NewResponse(&persimwire.ListHostsResponse{Hosts: o.host.rowsInForce(ctx)}), nil
}

// rowsInForce returns the rows of all hosts with the generation that each one has
// in force; zero stands for a host that did not answer.
func (h *host) rowsInForce(ctx context.Context) []*persimwire.HostRow {
	rows := h.members.Hosts()
	var asking sync.WaitGroup
	for i, row := range rows {
		rows[i] = proto.CloneOf(row)
		asking.Go(func() { rows[i].Generation = h.generationOf(ctx, row) })
	}
	asking.Wait()
	return rows
}

func (h *host) generationOf(ctx context.Context, row *persimwire.HostRow) uint64 {
	if row.GetName() == h.name() {
		return h.keeper.Current().Generation()
	}
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := h.links.Client(row.GetAddress()).Exchange(bounded, connect.NewRequest(&persimwire.ExchangeRequest{}))
	if err != nil {
		return 0
	}
	return resp.Msg.GetGeneration()
}

func (o operatorService) ListUpstreams(context.Context, *connect.Request[persimwire.ListUpstreamsRequest]) (*connect.Response[persimwire.ListUpstreamsResponse], error) {
	response := &persimwire.ListUpstreamsResponse{}
	for _, row := range o.host.members.AllUpstreams() {
		response.Upstreams = append(response.Upstreams, o.host.upstreamStatus(row))
	}
	return connect.NewResponse(response), nil
}

func (h *host) upstreamStatus(row *persimwire.UpstreamRow) *persimwire.UpstreamStatus {
	status := &persimwire.UpstreamStatus{Row: row, Usable: true}
	if row.GetState() != persimwire.HostState_HOST_STATE_LIVE {
		status.Usable = false
		status.Cause = "leaving or gone"
		return status
	}
	for _, known := range h.schedulers.get(row.GetGroup()).status() {
		if known.Address == row.GetAddress() {
			status.Usable = known.Usable
			status.Cause = known.Cause
			status.InFlight = int32(known.InFlight)
			status.Latency = durationpb.New(known.Latency)
			return status
		}
	}
	status.Usable = false
	status.Cause = "outside this host's subset"
	return status
}

func (o operatorService) TraceRequest(ctx context.Context, req *connect.Request[persimwire.TraceRequestRequest]) (*connect.Response[persimwire.TraceRequestResponse], error) {
	id := req.Msg.GetId()
	if refusal := checkID(id, 0); refusal != nil {
		return nil, refusalError(refusal)
	}
	for _, organisation := range o.host.settings.Organisations {
		if state, ok := o.host.find(ctx, organisation.Name, id); ok {
			return connect.NewResponse(&persimwire.TraceRequestResponse{Status: statusOf(state)}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, errors.New("no host knows the request"))
}

func (o operatorService) Drain(context.Context, *connect.Request[persimwire.DrainRequest]) (*connect.Response[persimwire.DrainResponse], error) {
	started := !o.host.isDraining()
	o.host.Drain()
	return connect.NewResponse(&persimwire.DrainResponse{Started: started}), nil
}
