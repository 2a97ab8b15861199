package persimmonport

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimmember"
	"persimmonport.example/persimwire"
)

const (
	replicateTimeout = time.Second
	// replicateInterval is the least time between two messages to one holder.
	replicateInterval = 5 * time.Millisecond
	protectInterval   = 250 * time.Millisecond
	// suspectFor is how long a holder that did not answer is passed over.
	suspectFor = 3 * time.Second
)

// replicator sends the news of owned requests to the holders of their replicas.
// While one message is on its way, further news gathers for the next one.
type replicator struct {
	host *host

	mu      sync.Mutex
	senders map[string]chan struct{}
	// suspects holds when a holder last failed to answer.
	suspects map[string]time.Time
}

func newReplicator(h *host) *replicator {
	return &replicator{host: h, senders: map[string]chan struct{}{}, suspects: map[string]time.Time{}}
}

func (r *replicator) suspect(holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects[holder] = time.Now()
}

func (r *replicator) isSuspect(holder string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.suspects[holder]
	return ok && time.Since(at) < suspectFor
}

// notify wakes the sender for a holder, and starts it when there is none.
func (r *replicator) notify(holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kick, ok := r.senders[holder]
	if !ok {
		kick = make(chan struct{}, 1)
		r.senders[holder] = kick
		go r.send(holder, kick)
	}
	select {
	case kick <- struct{}{}:
	default:
	}
}

func (r *replicator) send(holder string, kick chan struct{}) {
	var last time.Time
	for {
		select {
		case <-r.host.work.Done():
			return
		case <-kick:
		}
		if rest := replicateInterval - time.Since(last); rest > 0 {
			pause(r.host.work, rest)
		}
		last = time.Now()
		r.sendOnce(holder)
	}
}

func (r *replicator) sendOnce(holder string) {
	update := r.host.flights.Collect(holder, time.Now())
	if update.Empty() {
		return
	}
	rejections, err := r.replicate(holder, update)
	if err != nil {
		klog.Warningf("replica: host %s did not take %d updates: %v", holder, len(update.Flights)+len(update.Progress), err)
		r.suspect(holder)
		r.host.flights.Lost(update)
		r.host.moveReplicas(holder)
		return
	}
	r.host.flights.Confirm(update, rejections, holder)
}

func (r *replicator) replicate(holder string, update persimflight.Update) ([]*persimwire.Rejection, error) {
	row, ok := r.host.members.Host(holder)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, errUnknownHost)
	}
	ctx, cancel := context.WithTimeout(r.host.work, replicateTimeout)
	defer cancel()
	resp, err := r.host.links.Client(row.GetAddress()).Replicate(ctx, connect.NewRequest(&persimwire.ReplicateRequest{
		From:     r.host.name(),
		Flights:  update.Flights,
		Progress: update.Progress,
	}))
	if err != nil {
		r.host.links.Reset(row.GetAddress())
		return nil, err
	}
	return resp.Msg.GetRejections(), nil
}

// duty finds holders for requests whose holder has gone.
func (r *replicator) duty(ctx context.Context) {
	every(ctx, protectInterval, func(context.Context) { r.host.protectAll() })
}

// pickReplica returns the host that should hold replicas now, or an empty name.
func (h *host) pickReplica(avoid string) string {
	for _, row := range persimmember.ReplicaCandidates(h.members.Self(), h.members.Peers()) {
		if row.GetName() != avoid && !h.replicator.isSuspect(row.GetName()) {
			return row.GetName()
		}
	}
	return ""
}

func (h *host) canHoldReplica(name string) bool {
	row, ok := h.members.Host(name)
	return ok && row.GetState() == persimwire.HostState_HOST_STATE_LIVE
}

// protectAll chooses a holder for each owned request whose holder is not live.
func (h *host) protectAll() {
	flights := h.flights.Unprotected(h.canHoldReplica)
	if len(flights) == 0 {
		return
	}
	h.setReplicas(flights, h.pickReplica(""))
}

// setReplicas chooses a holder for requests. Without any holder their tokens are
// released unprotected, but only by a host that reaches the platform; otherwise the
// last holder may be about to take the requests over.
func (h *host) setReplicas(flights []*persimflight.Flight, holder string) {
	if holder == "" && len(flights) > 0 && !h.reachesStore(h.work) {
		return
	}
	for _, f := range flights {
		f.SetReplica(holder)
	}
}

// moveReplicas chooses another holder for the requests whose holder did not answer.
func (h *host) moveReplicas(silent string) {
	holder := h.pickReplica(silent)
	alive := func(name string) bool { return name != silent }
	h.setReplicas(h.flights.Unprotected(alive), holder)
}
