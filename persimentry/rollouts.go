package persimentry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimrollout"
	"persimmonport.example/platform"
)

// rolloutInterval is how often the lease holder decides on rollouts.
const rolloutInterval = 200 * time.Millisecond

// rolloutState is what a host keeps to carry out rollouts while it holds the lease.
type rolloutState struct {
	mu sync.Mutex
	// fence is the fencing token under which the services are carried out, or zero.
	fence    int64
	services map[string]*rolloutService
	// objectsRead and recordsRead are set once the objects of the kind were listed.
	objectsRead, recordsRead bool
	// wake asks for a decision before the next interval.
	wake chan struct{}
}

// rolloutService is the rollout of one service at the lease holder.
type rolloutService struct {
	controller persimrollout.Controller
	object     storedObject
	record     storedObject
}

func newRolloutState() rolloutState {
	return rolloutState{services: map[string]*rolloutService{}, wake: make(chan struct{}, 1)}
}

// wakeUp asks for a decision now.
func (r *rolloutState) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// newTraffic returns what assigns requests during rollouts, or nil where the deployment has
// none.
func (e *entry) newTraffic() persimrollout.Traffic {
	if !e.deployment.Rollouts {
		return nil
	}
	return persimrollout.NewTraffic(e.rolloutExposure())
}

func (e *entry) rolloutExposure() persimrollout.Option {
	bounds := e.deployment.Bounds
	return persimrollout.WithExposure(bounds.ExposureShare, int(bounds.ExposureSlack))
}

// rolloutLoop decides on rollouts while the host holds the lease.
func (e *entry) rolloutLoop(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if _, held := e.followLease(); held {
			e.decideRollouts(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-e.rollouts.wake:
		}
	}
}

// followLease returns the fencing token while this host holds the lease. Under a new one nothing
// is taken over from a former one. What is read is dropped under another token, so that each
// loop calls it before it reads. A holder whose renewal was late goes on as before: its
// announcements are numbered under the token, and hosts ignore lower numbers.
func (e *entry) followLease() (int64, bool) {
	fence, held := e.heldFence()
	r := &e.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	if !held {
		return 0, false
	}
	if fence != r.fence {
		r.fence = fence
		r.services = map[string]*rolloutService{}
		r.objectsRead, r.recordsRead = false, false
	}
	return fence, held
}

// decideRollouts announces and writes what each service needs now.
func (e *entry) decideRollouts(ctx context.Context) {
	now := time.Now()
	known := map[string]persimrollout.News{}
	for _, news := range e.front.RolloutNews() {
		known[news.Service] = news
	}
	fleet := e.rolloutFleet(now)
	own := e.front.RolloutReports()
	r := &e.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, news := range known {
		if !news.Phase.Final() {
			e.rolloutServiceLocked(now, service)
		}
	}
	for _, report := range own {
		if s, ok := r.services[report.Service]; ok {
			s.controller.Observe(now, e.deployment.Host, e.incarnation, report)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		decision := s.controller.Decide(now, fleet.of(name, known))
		e.applyDecision(ctx, name, s, decision)
	}
}

// rolloutServiceLocked returns the rollout of a service and creates it on first use. The caller
// must hold the lock of the rollouts.
func (e *entry) rolloutServiceLocked(now time.Time, service string) *rolloutService {
	r := &e.rollouts
	s, ok := r.services[service]
	if !ok {
		s = &rolloutService{controller: persimrollout.NewController(service, r.fence, e.rolloutExposure())}
		r.services[service] = s
		if r.objectsRead {
			s.controller.SetObject(now, nil)
		}
		if r.recordsRead {
			s.controller.SetRecord(now, nil)
		}
	}
	return s
}

// applyDecision announces a decision and starts its writes. Each write ends before the next of
// the same object.
func (e *entry) applyDecision(ctx context.Context, service string, s *rolloutService, d persimrollout.Decision) {
	for _, change := range d.Changes {
		logRolloutChange(change, "lease holder")
	}
	if d.News != nil {
		for _, change := range e.front.MergeRollouts([]persimrollout.News{*d.News}) {
			e.retireVersions(change)
		}
	}
	if (d.Record != nil || d.Forget) && !s.record.writing {
		s.record.writing = true
		go e.writeRolloutRecord(ctx, e.rollouts.fence, service, s.record.Object, d.Record)
	}
	if d.Status != nil && !s.object.writing {
		s.object.writing = true
		go e.writeRolloutStatus(ctx, e.rollouts.fence, service, s.object.Object, *d.Status)
	}
}

func logRolloutChange(change persimrollout.Change, source string) {
	klog.InfoS("rollout", "service", change.Service, "target", change.Target, "revision", change.Revision,
		"from", change.From.String(), "to", change.To.String(), "cause", change.Cause, "age", change.Age,
		"fence", change.Fence, "source", source)
}

// mergeRollouts applies what another host tells of rollouts.
func (e *entry) mergeRollouts(source string, news []persimrollout.News) {
	for _, change := range e.front.MergeRollouts(news) {
		logRolloutChange(change, source)
		e.retireVersions(change)
	}
}

// retireVersions marks the upstreams of the former versions as leaving when a rollout has been
// completed just now. At a host that hears of it late they may already be those of a later
// order, and the other hosts tell which ones leave.
func (e *entry) retireVersions(change persimrollout.Change) {
	if change.To != persimrollout.PhaseCompleted || change.From == persimrollout.PhaseNone || change.Age > persimrollout.FreshTime {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for _, upstream := range e.roster.Upstreams()[change.Service] {
		if upstream.Version == change.Target || !e.roster.MarkLeaving(upstream.Incarnation) {
			continue
		}
		changed = true
		klog.InfoS("upstream leaves", "id", upstream.ID, "service", change.Service, "version", upstream.Version, "source", "rollout")
	}
	if changed {
		e.front.SetUpstreams(e.roster.Upstreams())
	}
}

// rolloutActive reports whether a rollout of a service is not final.
func (e *entry) rolloutActive(service string) bool {
	return slices.ContainsFunc(e.front.RolloutNews(), func(news persimrollout.News) bool {
		return news.Service == service && !news.Phase.Final()
	})
}

// rolloutFleet is what this host knows of hosts and upstreams.
type rolloutFleet struct {
	hosts     []persimrollout.Host
	upstreams map[string][]persimcatalog.Upstream
	services  map[string]persimcatalog.Service
}

func (e *entry) rolloutFleet(now time.Time) rolloutFleet {
	catalogue, _ := e.front.Catalogue()
	e.mu.Lock()
	defer e.mu.Unlock()
	fleet := rolloutFleet{
		hosts:     []persimrollout.Host{{Name: e.deployment.Host, Incarnation: e.incarnation, Registered: true, HeardAt: now}},
		upstreams: e.roster.Upstreams(),
		services:  catalogue.Services(),
	}
	for name, p := range e.peers {
		fleet.hosts = append(fleet.hosts, persimrollout.Host{Name: name, Incarnation: p.Incarnation, Registered: true, HeardAt: p.lastHeard})
	}
	return fleet
}

// of returns the part of the fleet that concerns a service.
func (f rolloutFleet) of(service string, known map[string]persimrollout.News) persimrollout.Fleet {
	_, configured := f.services[service]
	fleet := persimrollout.Fleet{Hosts: f.hosts, Upstreams: f.upstreams[service], Configured: configured}
	if news, ok := known[service]; ok {
		fleet.Known = &news
	}
	return fleet
}

// decodeRolloutObject returns the operator's object for the controller of its service.
func decodeRolloutObject(object platform.Object) persimrollout.Object {
	spec, err := platform.DecodeRollout(object.Spec)
	decoded := persimrollout.Object{Order: persimrollout.Order{
		Service: spec.Service, Target: spec.Target, Revision: object.Revision.Ordinal(), Duration: spec.Duration,
	}}
	if err != nil {
		decoded.Problem = "the spec can't be read: " + err.Error()
	}
	if decoded.Service == "" {
		decoded.Service = object.Name
	}
	if status, ok := platform.DecodeRolloutStatus(object.Status); ok {
		decoded.Status = persimrollout.Status{State: persimrollout.State(status.State), Target: status.Target}
	}
	return decoded
}
