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
	maxOperatorMessageBytes = 1 << 20
	maxChangeIDBytes        = 64
)

// operatorService implements the API for operators.
type operatorService struct {
	host *host
}

func (h *host) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(persimwire.NewOperatorServiceHandler(operatorService{h},
		connect.WithReadMaxBytes(maxOperatorMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithInterceptors(h.requireOperator())))
	mux.Handle("GET /metrics", h.metrics.Handler())
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "live", h.version)
	})
	mux.HandleFunc("GET /ready", h.serveReady)
	return limitBodies(mux, maxOperatorMessageBytes)
}

func (h *host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.ready() {
		_, _ = fmt.Fprintln(w, "ready")
		return
	}
	http.Error(w, h.notReadyReason(), http.StatusServiceUnavailable)
}

func (h *host) notReadyReason() string {
	switch {
	case h.isDraining():
		return "draining"
	case h.catalogue.Current().Generation() == 0:
		return "no catalogue yet"
	default:
		return "neither the platform nor the other hosts have answered lately"
	}
}

// requireOperator returns an interceptor that refuses calls without an operator's token.
func (h *host) requireOperator() connect.UnaryInterceptorFunc {
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
	catalogue := persimprofile.ToWire(o.host.catalogue.Current())
	return connect.NewResponse(&persimwire.GetProfilesResponse{Catalogue: catalogue}), nil
}

func (o operatorService) ApplyChange(ctx context.Context, req *connect.Request[persimwire.ApplyChangeRequest]) (*connect.Response[persimwire.ApplyChangeResponse], error) {
	operator, _ := o.host.identities.operator(req.Header())
	msg := req.Msg
	if msg.GetId() == "" || len(msg.GetId()) > maxChangeIDBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the change needs an identifier"))
	}
	change := persimprofile.Change{ID: msg.GetId(), Operator: operator, Time: time.Now()}
	next, err := o.host.catalogue.Commit(ctx, msg.GetBase(), msg.GetId(), newEdit(msg, change))
	if errors.Is(err, persimprofile.ErrStale) {
		return connect.NewResponse(conflictResponse(next, msg.GetBase())), nil
	}
	if err != nil {
		return nil, changeError(err)
	}
	klog.Infof("catalogue: generation %d by operator %s", next.Generation(), operator)
	o.host.announceSelf()
	return connect.NewResponse(&persimwire.ApplyChangeResponse{
		Generation:  next.Generation(),
		Differences: changeDifferences(next, msg.GetId()),
	}), nil
}

func newEdit(msg *persimwire.ApplyChangeRequest, change persimprofile.Change) persimprofile.Edit {
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

func conflictResponse(current persimprofile.Catalogue, base uint64) *persimwire.ApplyChangeResponse {
	response := &persimwire.ApplyChangeResponse{Conflict: true, Generation: current.Generation()}
	for _, change := range current.ChangesSince(base) {
		response.Missed = append(response.Missed, persimprofile.ChangeToWire(change))
	}
	return response
}

func changeDifferences(c persimprofile.Catalogue, id string) []string {
	for _, change := range c.Changes() {
		if change.ID == id {
			return change.Differences
		}
	}
	return nil
}

// changeError maps an error to a code that tells whether the change may have been
// stored: CodeUnavailable if it may, CodeInvalidArgument if not.
func changeError(err error) error {
	if persimprofile.IsTransient(err) {
		return connect.NewError(connect.CodeUnavailable,
			fmt.Errorf("the platform did not confirm the change; repeat it with the same identifier: %w", err))
	}
	return connect.NewError(connect.CodeInvalidArgument, err)
}

func (o operatorService) GetForce(ctx context.Context, _ *connect.Request[persimwire.GetForceRequest]) (*connect.Response[persimwire.GetForceResponse], error) {
	return connect.NewResponse(&persimwire.GetForceResponse{Hosts: o.host.hostsWithGeneration(ctx)}), nil
}

func (o operatorService) ListHosts(ctx context.Context, _ *connect.Request[persimwire.ListHostsRequest]) (*connect.Response[persimwire.ListHostsResponse], error) {
	return connect.NewResponse(&persimwire.ListHostsResponse{Hosts: o.host.hostsWithGeneration(ctx)}), nil
}

// hostsWithGeneration returns the rows of all hosts with the catalogue generation
// that each has in force, or 0 for a host that did not answer.
func (h *host) hostsWithGeneration(ctx context.Context) []*persimwire.HostRow {
	rows := h.members.Hosts()
	var requests sync.WaitGroup
	for i, row := range rows {
		rows[i] = proto.CloneOf(row)
		requests.Go(func() { rows[i].Generation = h.fetchGeneration(ctx, row) })
	}
	requests.Wait()
	return rows
}

func (h *host) fetchGeneration(ctx context.Context, row *persimwire.HostRow) uint64 {
	if row.GetName() == h.name() {
		return h.catalogue.Current().Generation()
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := h.links.Client(row.GetAddress()).Exchange(callCtx, connect.NewRequest(&persimwire.ExchangeRequest{}))
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
	for _, routerStatus := range h.schedulers.get(row.GetGroup()).status() {
		if routerStatus.Address == row.GetAddress() {
			status.Usable = routerStatus.Usable
			status.Cause = routerStatus.Cause
			status.InFlight = int32(routerStatus.InFlight)
			status.Latency = durationpb.New(routerStatus.Latency)
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
		if state, ok := o.host.findFlight(ctx, organisation.Name, id); ok {
			return connect.NewResponse(&persimwire.TraceRequestResponse{Status: statusResponse(state)}), nil
		}
	}
	return nil, connect.NewError(connect.CodeNotFound, errors.New("no host knows the request"))
}

func (o operatorService) Drain(context.Context, *connect.Request[persimwire.DrainRequest]) (*connect.Response[persimwire.DrainResponse], error) {
	started := !o.host.isDraining()
	o.host.Drain()
	return connect.NewResponse(&persimwire.DrainResponse{Started: started}), nil
}
