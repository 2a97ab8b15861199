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
	// replicateInterval is the minimum time between two messages to one holder.
	replicateInterval    = 5 * time.Millisecond
	replicaCheckInterval = 250 * time.Millisecond
	// suspectDuration is how long a holder that did not answer is not chosen again.
	suspectDuration = 3 * time.Second
)

// replicator sends updates of owned requests to the holders of their replicas.
// Updates that arise while a message is in transit are batched into the next one.
type replicator struct {
	host *host

	mu sync.Mutex
	// senders maps a holder to the channel that wakes its sender.
	senders map[string]chan struct{}
	// suspectedAt maps a holder to the time at which it last failed to answer.
	suspectedAt map[string]time.Time
}

func newReplicator(h *host) *replicator {
	return &replicator{host: h, senders: map[string]chan struct{}{}, suspectedAt: map[string]time.Time{}}
}

func (r *replicator) suspect(holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspectedAt[holder] = time.Now()
}

func (r *replicator) isSuspect(holder string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspectedAt, ok := r.suspectedAt[holder]
	return ok && time.Since(suspectedAt) < suspectDuration
}

// notify wakes the sender for a holder and starts it if necessary.
func (r *replicator) notify(holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wake, ok := r.senders[holder]
	if !ok {
		wake = make(chan struct{}, 1)
		r.senders[holder] = wake
		go r.send(holder, wake)
	}
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (r *replicator) send(holder string, wake chan struct{}) {
	var last time.Time
	for {
		select {
		case <-r.host.requestCtx.Done():
			return
		case <-wake:
		}
		if wait := replicateInterval - time.Since(last); wait > 0 {
			pause(r.host.requestCtx, wait)
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
		klog.Warningf("replica: host %s did not accept %d updates: %v", holder, len(update.Flights)+len(update.Progress), err)
		r.suspect(holder)
		r.host.flights.Requeue(update)
		r.host.reassignReplicas(holder)
		return
	}
	r.host.flights.Confirm(update, rejections, holder)
}

func (r *replicator) replicate(holder string, update persimflight.Update) ([]*persimwire.Rejection, error) {
	row, ok := r.host.members.Host(holder)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, errUnknownHost)
	}
	ctx, cancel := context.WithTimeout(r.host.requestCtx, replicateTimeout)
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

// run periodically assigns new holders to requests whose holder is not live.
func (r *replicator) run(ctx context.Context) {
	runEvery(ctx, replicaCheckInterval, func(context.Context) { r.host.assignReplicas() })
}

// pickReplica returns the preferred host for new replicas other than avoid, or "".
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

// assignReplicas chooses a holder for each owned request whose holder is not live.
func (h *host) assignReplicas() {
	flights := h.flights.UnderReplicated(h.canHoldReplica)
	if len(flights) == 0 {
		return
	}
	h.setReplicas(flights, h.pickReplica(""))
}

// setReplicas assigns a replica holder to requests. Without a holder their tokens are
// released unreplicated, but only if this host reaches the platform: the last holder
// may be about to take the requests over from an isolated host.
func (h *host) setReplicas(flights []*persimflight.Flight, holder string) {
	if holder == "" && len(flights) > 0 && !h.platformReachable(h.requestCtx) {
		return
	}
	for _, f := range flights {
		f.SetReplica(holder)
	}
}

// reassignReplicas chooses another holder for the requests of an unresponsive one.
func (h *host) reassignReplicas(unresponsive string) {
	holder := h.pickReplica(unresponsive)
	usable := func(name string) bool { return name != unresponsive }
	h.setReplicas(h.flights.UnderReplicated(usable), holder)
}
