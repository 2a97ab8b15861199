package persimmonport

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimrouter"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimwire"
)

const (
	scheduleInterval = 20 * time.Millisecond
	// dispatchBuffer is the number of dispatches of one job that may wait for
	// delivery. The scheduler cancels further ones.
	dispatchBuffer = 8
)

// subscription delivers the policy's decisions on one job.
type subscription struct {
	dispatches chan persimpolicy.Dispatch
	refusals   chan persimpolicy.Refusal
}

func newSubscription() *subscription {
	return &subscription{
		dispatches: make(chan persimpolicy.Dispatch, dispatchBuffer),
		refusals:   make(chan persimpolicy.Refusal, 1),
	}
}

// scheduler runs the scheduling policy of one group of upstreams.
type scheduler struct {
	group string

	mu            sync.Mutex
	policy        persimpolicy.Policy
	subscriptions map[string]*subscription
}

// schedulers creates and holds the schedulers of all groups.
type schedulers struct {
	host *host

	mu     sync.Mutex
	groups map[string]*scheduler
}

func newSchedulers(h *host) *schedulers {
	return &schedulers{host: h, groups: map[string]*scheduler{}}
}

// get returns the scheduler of a group and creates it if necessary.
func (s *schedulers) get(group string) *scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, ok := s.groups[group]
	if ok {
		return existing
	}
	existing = &scheduler{group: group, policy: s.newPolicy(group), subscriptions: map[string]*subscription{}}
	s.groups[group] = existing
	s.host.updateGroup(existing)
	return existing
}

func (s *schedulers) newPolicy(group string) persimpolicy.Policy {
	if s.host.settings.Policy == persimsettings.PolicyBaseline {
		return persimpolicy.NewBaseline()
	}
	seed := xxhash.Sum64String(s.host.name() + "\x00" + group)
	return persimpolicy.New(
		persimpolicy.WithHost(s.host.name()),
		persimpolicy.WithRandom(rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))))
}

func (s *schedulers) all() []*scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*scheduler, 0, len(s.groups))
	for _, sched := range s.groups {
		list = append(list, sched)
	}
	return list
}

// run lets each policy decide at an interval on hedges, deadlines and ejections.
func (s *schedulers) run(ctx context.Context) {
	runEvery(ctx, scheduleInterval, func(context.Context) {
		for _, sched := range s.all() {
			sched.tick()
		}
	})
}

// update passes the current upstreams and the number of live hosts to every scheduler.
func (s *schedulers) update() {
	for _, sched := range s.all() {
		s.host.updateGroup(sched)
	}
}

func (h *host) updateGroup(s *scheduler) {
	var upstreams []persimrouter.Upstream
	for _, row := range h.members.Upstreams() {
		if row.GetGroup() == s.group {
			upstreams = append(upstreams, persimrouter.Upstream{
				Address:     row.GetAddress(),
				Incarnation: row.GetIncarnation(),
				Centre:      row.GetCentre(),
			})
		}
	}
	hosts := 0
	for _, row := range h.members.Hosts() {
		if row.GetState() == persimwire.HostState_HOST_STATE_LIVE {
			hosts++
		}
	}
	s.withPolicy(func(now time.Time) {
		s.policy.SetUpstreams(upstreams)
		s.policy.SetHosts(max(1, hosts))
	})
}

// withPolicy calls fn under the lock and then delivers the policy's decisions.
func (s *scheduler) withPolicy(fn func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	fn(now)
	s.deliver(s.policy.Next(now))
}

func (s *scheduler) tick() { s.withPolicy(func(time.Time) {}) }

// deliver passes the policy's decisions to the subscriptions of the jobs. It cancels
// dispatches that cannot be delivered.
func (s *scheduler) deliver(decision persimpolicy.Decision) {
	for _, dispatch := range decision.Starts {
		sub, ok := s.subscriptions[dispatch.Job]
		if !ok {
			s.policy.End(time.Now(), dispatch.Attempt, persimpolicy.ResultCancelled)
			continue
		}
		select {
		case sub.dispatches <- dispatch:
		default:
			s.policy.End(time.Now(), dispatch.Attempt, persimpolicy.ResultCancelled)
		}
	}
	for _, refused := range decision.Refused {
		sub, ok := s.subscriptions[refused.Job]
		if !ok {
			continue
		}
		select {
		case sub.refusals <- refused.Refusal:
		default:
		}
	}
}

// submit queues a job, or returns the policy's refusal.
func (s *scheduler) submit(job persimpolicy.Job) (*subscription, *persimwire.Refusal) {
	sub := newSubscription()
	var refusal persimpolicy.Refusal
	admitted := false
	s.withPolicy(func(now time.Time) {
		s.subscriptions[job.ID] = sub
		refusal, admitted = s.policy.Offer(now, job)
		if !admitted {
			delete(s.subscriptions, job.ID)
		}
	})
	if !admitted {
		return nil, policyRefusal(refusal)
	}
	return sub, nil
}

// register adds a job that this host continues for another host, without queueing it.
func (s *scheduler) register(job persimpolicy.Job) *subscription {
	sub := newSubscription()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscriptions[job.ID] = sub
	return sub
}

// requeue queues a job for another attempt and reports whether the policy permits it.
func (s *scheduler) requeue(job persimpolicy.Job, forced bool) bool {
	permitted := false
	s.withPolicy(func(now time.Time) { permitted = s.policy.Requeue(now, job, forced) })
	return permitted
}

// close removes a job with its subscription and cancels the dispatches that are
// still undelivered.
func (s *scheduler) close(id string) {
	s.withPolicy(func(now time.Time) {
		s.policy.Withdraw(id)
		sub, ok := s.subscriptions[id]
		if !ok {
			return
		}
		delete(s.subscriptions, id)
		for len(sub.dispatches) > 0 {
			dispatch := <-sub.dispatches
			s.policy.End(now, dispatch.Attempt, persimpolicy.ResultCancelled)
		}
	})
}

func (s *scheduler) progress(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Progress(time.Now(), attempt, 1)
}

func (s *scheduler) endAttempt(attempt string, result persimpolicy.Result) {
	s.withPolicy(func(now time.Time) { s.policy.End(now, attempt, result) })
}

func (s *scheduler) report(address string, report persimrouter.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Report(time.Now(), address, report)
}

func (s *scheduler) status() []persimrouter.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Status(time.Now())
}

// demand returns the number of slots in use or requested on all hosts, estimated
// from recent load reports and this host's queue.
func (s *scheduler) demand() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Demand(time.Now())
}
