package persimmonport

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"persimmonport.example/persimprofile"
	"persimmonport.example/persimwire"
)

const (
	idSeparator    = "."
	maxIDBytes     = 256
	maxNameBytes   = 64
	protectTimeout = 5 * time.Second
	// compressFrom is the size from which messages are compressed, in bytes. Streamed
	// tokens are far smaller.
	compressFrom = 4096
	// reachTimeout bounds the call that shows a host without peers to be connected.
	reachTimeout = time.Second
)

// callerService implements the interface of callers.
type callerService struct {
	host *host
}

func (h *host) Callers() http.Handler {
	mux := http.NewServeMux()
	limit := h.settings.Limits.Prompt + h.settings.Limits.Body + maxIDBytes*maxNameBytes
	mux.Handle(persimwire.NewCallerServiceHandler(callerService{h}, connect.WithReadMaxBytes(limit), connect.WithCompressMinBytes(compressFrom)))
	return mux
}

// newID returns an identifier that names the owner and the holder of the replica.
func newID(owner, replica string) string {
	return strings.Join([]string{owner, replica, uuid.NewString()}, idSeparator)
}

// hostsOf returns the hosts that an identifier names.
func hostsOf(id string) []string {
	parts := strings.Split(id, idSeparator)
	if len(parts) != 3 {
		return nil
	}
	return parts[:2]
}

func (c callerService) Generate(ctx context.Context, req *connect.Request[persimwire.GenerateRequest], stream *connect.ServerStream[persimwire.StreamEvent]) error {
	organisation, refusal := c.host.identities.organisation(req.Header())
	if refusal != nil {
		return refusalError(refusal)
	}
	accepted, refusal := c.host.acceptModel(ctx, organisation, req.Msg)
	if refusal != nil {
		return refusalError(refusal)
	}
	event := &persimwire.StreamEvent{Event: &persimwire.StreamEvent_Accepted{Accepted: accepted}}
	if err := stream.Send(event); err != nil {
		return err
	}
	return c.relay(ctx, organisation, &persimwire.ResumeRequest{Id: accepted.GetId()}, stream)
}

func (c callerService) relay(ctx context.Context, organisation string, request *persimwire.ResumeRequest, stream *connect.ServerStream[persimwire.StreamEvent]) error {
	refusal := c.host.relay(ctx, organisation, request, stream.Send)
	if refusal != nil {
		return refusalError(refusal)
	}
	return nil
}

func (c callerService) Resume(ctx context.Context, req *connect.Request[persimwire.ResumeRequest], stream *connect.ServerStream[persimwire.StreamEvent]) error {
	organisation, refusal := c.host.identities.organisation(req.Header())
	if refusal != nil {
		return refusalError(refusal)
	}
	if refusal := checkID(req.Msg.GetId(), req.Msg.GetOffset()); refusal != nil {
		return refusalError(refusal)
	}
	return c.relay(ctx, organisation, req.Msg, stream)
}

func checkID(id string, offset int64) *persimwire.Refusal {
	if len(id) > maxIDBytes || hostsOf(id) == nil {
		return notRun(persimwire.Reason_REASON_INVALID, "malformed request identifier")
	}
	if offset < 0 {
		return notRun(persimwire.Reason_REASON_INVALID, "negative offset")
	}
	return nil
}

func (c callerService) Complete(ctx context.Context, req *connect.Request[persimwire.GenerateRequest]) (*connect.Response[persimwire.CompleteResponse], error) {
	organisation, refusal := c.host.identities.organisation(req.Header())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	accepted, refusal := c.host.acceptModel(ctx, organisation, req.Msg)
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	response := &persimwire.CompleteResponse{Id: accepted.GetId()}
	var text strings.Builder
	request := &persimwire.ResumeRequest{Id: accepted.GetId()}
	refusal = c.host.relay(ctx, organisation, request, func(event *persimwire.StreamEvent) error {
		text.WriteString(event.GetPiece().GetText())
		if end := event.GetEnd(); end != nil {
			response.End = end
		}
		return nil
	})
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	if response.GetEnd() == nil {
		moved := unknown(persimwire.Reason_REASON_DRAINING, "the request moved to another host; resume it there")
		moved.Id = accepted.GetId()
		return nil, refusalError(moved)
	}
	response.Text = text.String()
	return connect.NewResponse(response), nil
}

// acceptModel admits a model request and starts it.
func (h *host) acceptModel(ctx context.Context, organisation string, msg *persimwire.GenerateRequest) (*persimwire.Accepted, *persimwire.Refusal) {
	if refusal := h.checkOpen(); refusal != nil {
		return nil, refusal
	}
	service, profile, refusal := h.checkModel(msg)
	if refusal != nil {
		return nil, refusal
	}
	deadline := time.Now().Add(patienceOf(msg.GetPatience(), profile))
	replica := h.pickReplica("")
	if replica == "" && profile.ReplicaRequired {
		return nil, notRun(persimwire.Reason_REASON_UNREPLICATED, "no other host can hold a replica")
	}
	state := &persimwire.Flight{
		Id:           newID(h.name(), replica),
		Organisation: organisation,
		Kind:         persimwire.FlightKind_FLIGHT_KIND_MODEL,
		Service:      service.Name,
		Prompt:       msg.GetPrompt(),
		MaxTokens:    msg.GetMaxTokens(),
		Remaining:    durationpb.New(time.Until(deadline)),
		Phase:        persimwire.Phase_PHASE_QUEUED,
		Retention:    durationpb.New(profile.Retention.Std()),
	}
	return h.startModel(ctx, state, service, profile, deadline)
}

// startModel queues a request and accepts it once a replica holds it. A request
// that is refused before has not run.
func (h *host) startModel(ctx context.Context, state *persimwire.Flight, service persimprofile.Service, profile persimprofile.Profile, deadline time.Time) (*persimwire.Accepted, *persimwire.Refusal) {
	f, _, err := h.flights.Add(state, "")
	if err != nil {
		return nil, withRetryAfter(notRun(persimwire.Reason_REASON_OVERLOADED, "too many requests in progress"), time.Second)
	}
	s := h.schedulers.get(service.Group)
	job := h.newJob(state, profile, deadline)
	t, refusal := s.offer(job)
	if refusal != nil {
		h.flights.Drop(f.ID())
		return nil, refusal
	}
	protect, cancel := context.WithTimeout(ctx, protectTimeout)
	defer cancel()
	f.SetReplica(hostsOf(f.ID())[1])
	replicated := f.Await(protect)
	if !replicated && (profile.ReplicaRequired || h.pickReplica("") != "" || !h.reachesStore(ctx)) {
		s.close(job.ID)
		h.flights.Drop(f.ID())
		return nil, notRun(persimwire.Reason_REASON_UNREPLICATED, "no other host holds a replica")
	}
	go h.newRunner(f, job, s, t).run()
	return &persimwire.Accepted{Id: f.ID(), Replicated: replicated}, nil
}

// reachesStore asks the platform, so that a host cut off from everything accepts
// no request of which no other host holds a replica.
func (h *host) reachesStore(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return h.keeper.Refresh(bounded) == nil
}

// checkOpen refuses new requests of a host that is leaving or isolated.
func (h *host) checkOpen() *persimwire.Refusal {
	if h.refusing.Load() {
		return notRun(persimwire.Reason_REASON_DRAINING, "the host is shutting down; ask another")
	}
	if !h.isCurrent() {
		return notRun(persimwire.Reason_REASON_ISOLATED, "the host reaches neither the platform nor the others; ask another")
	}
	return nil
}

func (h *host) checkModel(msg *persimwire.GenerateRequest) (persimprofile.Service, persimprofile.Profile, *persimwire.Refusal) {
	service, profile, refusal := h.checkService(msg.GetService())
	switch {
	case refusal != nil:
		return service, profile, refusal
	case msg.GetPrompt() == "":
		refusal = notRun(persimwire.Reason_REASON_INVALID, "empty prompt")
	case len(msg.GetPrompt()) > h.settings.Limits.Prompt:
		refusal = notRun(persimwire.Reason_REASON_INVALID, "prompt is too long")
	case msg.GetMaxTokens() < 0 || int(msg.GetMaxTokens()) > h.settings.Limits.Tokens:
		refusal = notRun(persimwire.Reason_REASON_INVALID, "max_tokens is out of range")
	case msg.GetPatience() != nil && msg.GetPatience().AsDuration() <= 0:
		refusal = notRun(persimwire.Reason_REASON_DEADLINE, "patience has already ended")
	}
	return service, profile, refusal
}

func (h *host) checkService(name string) (persimprofile.Service, persimprofile.Profile, *persimwire.Refusal) {
	service, profile, ok := h.keeper.Current().Service(name)
	if !ok || len(name) > maxNameBytes {
		return service, profile, notRun(persimwire.Reason_REASON_NOT_FOUND, "unknown service")
	}
	return service, profile, nil
}

// patienceOf returns the caller's patience within that of the profile.
func patienceOf(patience *durationpb.Duration, profile persimprofile.Profile) time.Duration {
	if patience == nil {
		return profile.Patience.Std()
	}
	return min(patience.AsDuration(), profile.Patience.Std())
}

func (c callerService) Cancel(ctx context.Context, req *connect.Request[persimwire.CancelRequest]) (*connect.Response[persimwire.CancelResponse], error) {
	organisation, refusal := c.host.identities.organisation(req.Header())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	if refusal := checkID(req.Msg.GetId(), 0); refusal != nil {
		return nil, refusalError(refusal)
	}
	cancelled, refusal := c.host.cancelRequest(ctx, organisation, req.Msg.GetId())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	return connect.NewResponse(&persimwire.CancelResponse{Cancelled: cancelled}), nil
}

func (c callerService) Status(ctx context.Context, req *connect.Request[persimwire.StatusRequest]) (*connect.Response[persimwire.StatusResponse], error) {
	organisation, refusal := c.host.identities.organisation(req.Header())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	if refusal := checkID(req.Msg.GetId(), 0); refusal != nil {
		return nil, refusalError(refusal)
	}
	status, refusal := c.host.status(ctx, organisation, req.Msg.GetId())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	return connect.NewResponse(status), nil
}

func (c callerService) Acknowledge(ctx context.Context, req *connect.Request[persimwire.AcknowledgeRequest]) (*connect.Response[persimwire.AcknowledgeResponse], error) {
	organisation, refusal := c.host.identities.organisation(req.Header())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	if refusal := checkID(req.Msg.GetId(), 0); refusal != nil {
		return nil, refusalError(refusal)
	}
	c.host.acknowledge(ctx, organisation, req.Msg.GetId())
	return connect.NewResponse(&persimwire.AcknowledgeResponse{}), nil
}
