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
	idSeparator  = "."
	maxIDBytes   = 256
	maxNameBytes = 64
	// replicationTimeout bounds how long a new request waits for its replica.
	replicationTimeout = 5 * time.Second
	// minCompressBytes is the size from which messages are compressed. Streamed
	// tokens are far smaller.
	minCompressBytes = 4096
	// platformProbeTimeout bounds the call by which a host without a replica holder
	// checks that it can reach the platform.
	platformProbeTimeout = time.Second
)

// callerService implements the API for callers.
type callerService struct {
	host *host
}

func (h *host) Callers() http.Handler {
	mux := http.NewServeMux()
	limit := h.settings.Limits.MaxPromptBytes + h.settings.Limits.MaxBodyBytes + maxIDBytes*maxNameBytes
	mux.Handle(persimwire.NewCallerServiceHandler(callerService{h}, connect.WithReadMaxBytes(limit), connect.WithCompressMinBytes(minCompressBytes)))
	return limitBodies(mux, limit)
}

// maxEnvelopeBytes is what a request may have beside its message.
const maxEnvelopeBytes = 1 << 10

// limitBodies limits the bodies of requests, each of which holds one message. Connect keeps no more
// than its limit of a message, but reads a longer one to its end.
func limitBodies(handler http.Handler, maxMessageBytes int) http.Handler {
	return http.MaxBytesHandler(handler, int64(maxMessageBytes)+maxEnvelopeBytes)
}

// newID returns a request identifier that contains the names of the owner and of
// the replica holder.
func newID(owner, replica string) string {
	return strings.Join([]string{owner, replica, uuid.NewString()}, idSeparator)
}

// hostsInID returns the owner and the replica holder that an identifier names, or
// nil if it is malformed.
func hostsInID(id string) []string {
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
	c.host.openStreams.Add(1)
	defer c.host.openStreams.Add(-1)
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
	organisation, refusal := c.checkOwnRequest(req.Header(), req.Msg.GetId(), req.Msg.GetOffset())
	if refusal != nil {
		return refusalError(refusal)
	}
	c.host.openStreams.Add(1)
	defer c.host.openStreams.Add(-1)
	return c.relay(ctx, organisation, req.Msg, stream)
}

// checkOwnRequest returns the organisation of a caller that names an accepted request.
func (c callerService) checkOwnRequest(header http.Header, id string, offset int64) (string, *persimwire.Refusal) {
	organisation, refusal := c.host.identities.organisation(header)
	if refusal != nil {
		return "", refusal
	}
	return organisation, checkID(id, offset)
}

func checkID(id string, offset int64) *persimwire.Refusal {
	if len(id) > maxIDBytes || hostsInID(id) == nil {
		return notRunRefusal(persimwire.Reason_REASON_INVALID, "malformed request identifier")
	}
	if offset < 0 {
		return notRunRefusal(persimwire.Reason_REASON_INVALID, "negative offset")
	}
	return nil
}

func (c callerService) Complete(ctx context.Context, req *connect.Request[persimwire.GenerateRequest]) (*connect.Response[persimwire.CompleteResponse], error) {
	organisation, refusal := c.host.identities.organisation(req.Header())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	c.host.openStreams.Add(1)
	defer c.host.openStreams.Add(-1)
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
		moved := unknownOutcomeRefusal(persimwire.Reason_REASON_DRAINING, "the request moved to another host; resume it there")
		moved.Id = accepted.GetId()
		return nil, refusalError(moved)
	}
	response.Text = text.String()
	return connect.NewResponse(response), nil
}

// acceptModel validates a model request and starts it.
func (h *host) acceptModel(ctx context.Context, organisation string, msg *persimwire.GenerateRequest) (*persimwire.Accepted, *persimwire.Refusal) {
	if refusal := h.checkAccepting(); refusal != nil {
		return nil, refusal
	}
	service, profile, refusal := h.checkModel(msg)
	if refusal != nil {
		return nil, refusal
	}
	deadline := time.Now().Add(effectivePatience(msg.GetPatience(), profile))
	replica := h.pickReplica("")
	if replica == "" && profile.ReplicaRequired {
		return nil, notRunRefusal(persimwire.Reason_REASON_UNREPLICATED, "no other host can hold a replica")
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

// startModel queues a request and accepts it once another host holds a replica. It
// refuses the request if that takes longer than replicationTimeout or than the drain of
// this host. A request that is refused before that has not run.
func (h *host) startModel(ctx context.Context, state *persimwire.Flight, service persimprofile.Service, profile persimprofile.Profile, deadline time.Time) (*persimwire.Accepted, *persimwire.Refusal) {
	h.accepting.Store(state.GetId(), struct{}{})
	defer h.accepting.Delete(state.GetId())
	f, _, err := h.flights.Add(state, "")
	if err != nil {
		return nil, withRetryAfter(notRunRefusal(persimwire.Reason_REASON_OVERLOADED, "too many requests in progress"), time.Second)
	}
	sched := h.schedulers.get(service.Group)
	job := h.newJob(state, profile, deadline)
	sub, refusal := sched.submit(job)
	if refusal != nil {
		h.flights.Drop(f.ID())
		return nil, refusal
	}
	ctx, cancel := h.untilClosed(ctx)
	defer cancel()
	replicationCtx, cancelReplication := context.WithTimeout(ctx, replicationTimeout)
	defer cancelReplication()
	f.SetReplica(hostsInID(f.ID())[1])
	replicated := f.AwaitReplica(replicationCtx)
	if !replicated && (profile.ReplicaRequired || h.pickReplica("") != "" || !h.platformReachable(ctx)) {
		sched.close(job.ID)
		h.flights.Drop(f.ID())
		return nil, notRunRefusal(persimwire.Reason_REASON_UNREPLICATED, "no other host holds a replica")
	}
	go h.newModelRunner(f, job, sched, sub).run()
	return &persimwire.Accepted{Id: f.ID(), Replicated: replicated}, nil
}

// platformReachable queries the platform. Without this check an isolated host would
// accept requests of which no other host holds a replica.
func (h *host) platformReachable(ctx context.Context) bool {
	probeCtx, cancel := context.WithTimeout(ctx, platformProbeTimeout)
	defer cancel()
	return h.catalogue.Refresh(probeCtx) == nil
}

// checkAccepting returns a refusal if the host is shutting down or isolated.
func (h *host) checkAccepting() *persimwire.Refusal {
	if h.rejectingNew.Load() {
		return notRunRefusal(persimwire.Reason_REASON_DRAINING, "the host is shutting down; ask another")
	}
	if !h.hasRecentContact() {
		return notRunRefusal(persimwire.Reason_REASON_ISOLATED, "the host reaches neither the platform nor the others; ask another")
	}
	return nil
}

func (h *host) checkModel(msg *persimwire.GenerateRequest) (persimprofile.Service, persimprofile.Profile, *persimwire.Refusal) {
	service, profile, refusal := h.checkService(msg.GetService())
	switch {
	case refusal != nil:
		return service, profile, refusal
	case msg.GetPrompt() == "":
		refusal = notRunRefusal(persimwire.Reason_REASON_INVALID, "empty prompt")
	case len(msg.GetPrompt()) > h.settings.Limits.MaxPromptBytes:
		refusal = notRunRefusal(persimwire.Reason_REASON_INVALID, "prompt is too long")
	case msg.GetMaxTokens() < 0 || int(msg.GetMaxTokens()) > h.settings.Limits.MaxTokens:
		refusal = notRunRefusal(persimwire.Reason_REASON_INVALID, "max_tokens is out of range")
	case msg.GetPatience() != nil && msg.GetPatience().AsDuration() <= 0:
		refusal = notRunRefusal(persimwire.Reason_REASON_DEADLINE, "patience has already ended")
	}
	return service, profile, refusal
}

func (h *host) checkService(name string) (persimprofile.Service, persimprofile.Profile, *persimwire.Refusal) {
	service, profile, ok := h.catalogue.Current().Service(name)
	if !ok || len(name) > maxNameBytes {
		return service, profile, notRunRefusal(persimwire.Reason_REASON_NOT_FOUND, "unknown service")
	}
	return service, profile, nil
}

// effectivePatience returns the caller's patience, capped by that of the profile.
func effectivePatience(patience *durationpb.Duration, profile persimprofile.Profile) time.Duration {
	if patience == nil {
		return profile.Patience.Std()
	}
	return min(patience.AsDuration(), profile.Patience.Std())
}

func (c callerService) Cancel(ctx context.Context, req *connect.Request[persimwire.CancelRequest]) (*connect.Response[persimwire.CancelResponse], error) {
	organisation, refusal := c.checkOwnRequest(req.Header(), req.Msg.GetId(), 0)
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	cancelled, refusal := c.host.cancelRequest(ctx, organisation, req.Msg.GetId())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	return connect.NewResponse(&persimwire.CancelResponse{Cancelled: cancelled}), nil
}

func (c callerService) Status(ctx context.Context, req *connect.Request[persimwire.StatusRequest]) (*connect.Response[persimwire.StatusResponse], error) {
	organisation, refusal := c.checkOwnRequest(req.Header(), req.Msg.GetId(), 0)
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	status, refusal := c.host.status(ctx, organisation, req.Msg.GetId())
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	return connect.NewResponse(status), nil
}

func (c callerService) Acknowledge(ctx context.Context, req *connect.Request[persimwire.AcknowledgeRequest]) (*connect.Response[persimwire.AcknowledgeResponse], error) {
	organisation, refusal := c.checkOwnRequest(req.Header(), req.Msg.GetId(), 0)
	if refusal != nil {
		return nil, refusalError(refusal)
	}
	c.host.acknowledge(ctx, organisation, req.Msg.GetId())
	return connect.NewResponse(&persimwire.AcknowledgeResponse{}), nil
}
