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
	ticketStarts     = 8
)

// A ticket receives the decisions on one job.
type ticket struct {
	starts  chan persimpolicy.Dispatch
	refused chan persimpolicy.Refusal
}

func newTicket() *ticket {
	return &ticket{
		starts:  make(chan persimpolicy.Dispatch, ticketStarts),
		refused: make(chan persimpolicy.Refusal, 1),
	}
}

// scheduler drives the policy of one group of upstreams.
type scheduler struct {
	group string

	mu      sync.Mutex
	policy  persimpolicy.Policy
	tickets map[string]*ticket
}

// schedulers holds the scheduler of each group.
type schedulers struct {
	host *host

	mu     sync.Mutex
	groups map[string]*scheduler
}

func newSchedulers(h *host) *schedulers {
	return &schedulers{host: h, groups: map[string]*scheduler{}}
}

func (s *schedulers) get(group string) *scheduler {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.groups[group]
	if ok {
		return known
	}
	known = &scheduler{group: group, policy: s.newPolicy(group), tickets: map[string]*ticket{}}
	s.groups[group] = known
	s.host.updateGroup(known)
	return known
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
	for _, known := range s.groups {
		list = append(list, known)
	}
	return list
}

// duty decides at an interval on hedges, deadlines and ejections.
func (s *schedulers) duty(ctx context.Context) {
	every(ctx, scheduleInterval, func(context.Context) {
		for _, known := range s.all() {
			known.tick()
		}
	})
}

// update gives every scheduler the upstreams and the number of hosts.
func (s *schedulers) update() {
	for _, known := range s.all() {
		s.host.updateGroup(known)
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
	s.with(func(now time.Time) {
		s.policy.SetUpstreams(upstreams)
		s.policy.SetHosts(max(1, hosts))
	})
}

// with calls a function under the lock and then delivers the policy's decisions.
func (s *scheduler) with(do func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	do(now)
	s.deliver(s.policy.Next(now))
}

func (s *scheduler) tick() { s.with(func(time.Time) {}) }

func (s *scheduler) deliver(outcome persimpolicy.Outcome) {
	for _, start := range outcome.Starts {
		t, ok := s.tickets[start.Job]
		if !ok {
			s.policy.End(time.Now(), start.Attempt, persimpolicy.ResultCancelled)
			continue
		}
		select {
		case t.starts <- start:
		default:
			s.policy.End(time.Now(), start.Attempt, persimpolicy.ResultCancelled)
		}
	}
	for _, refused := range outcome.Refused {
		t, ok := s.tickets[refused.Job]
		if !ok {
			continue
		}
		select {
		case t.refused <- refused.Refusal:
		default:
		}
	}
}

// offer queues a job, or returns the policy's refusal.
func (s *scheduler) offer(job persimpolicy.Job) (*ticket, *persimwire.Refusal) {
	t := newTicket()
	var refusal persimpolicy.Refusal
	admitted := false
	s.with(func(now time.Time) {
		s.tickets[job.ID] = t
		refusal, admitted = s.policy.Offer(now, job)
		if !admitted {
			delete(s.tickets, job.ID)
		}
	})
	if !admitted {
		return nil, policyRefusal(refusal)
	}
	return t, nil
}

// adopt registers a job that this host continues for another host.
func (s *scheduler) adopt(job persimpolicy.Job) *ticket {
	t := newTicket()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets[job.ID] = t
	return t
}

// requeue queues a job for another attempt and reports whether the policy permits it.
func (s *scheduler) requeue(job persimpolicy.Job, forced bool) bool {
	permitted := false
	s.with(func(now time.Time) { permitted = s.policy.Requeue(now, job, forced) })
	return permitted
}

// close forgets a job, its ticket and the attempts that the ticket still holds.
func (s *scheduler) close(id string) {
	s.with(func(now time.Time) {
		s.policy.Withdraw(id)
		t, ok := s.tickets[id]
		if !ok {
			return
		}
		delete(s.tickets, id)
		for len(t.starts) > 0 {
			start := <-t.starts
			s.policy.End(now, start.Attempt, persimpolicy.ResultCancelled)
		}
	})
}

func (s *scheduler) progress(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Progress(time.Now(), attempt, 1)
}

func (s *scheduler) end(attempt string, result persimpolicy.Result) {
	s.with(func(now time.Time) { s.policy.End(now, attempt, result) })
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

// demand is the number of slots in use or asked for on all hosts, by late reports
// and this host's queue.
func (s *scheduler) demand() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Demand(time.Now())
}
