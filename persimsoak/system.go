// Package persimsoak runs entry hosts as processes, harms them from outside by a
// seeded plan, and checks what callers and upstreams see.
package persimsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"persimmonport.example/persimstand"
)

const (
	hostName    = "soak.example"
	serviceName = "back"
	centreName  = "catania"
	// organisationName is the organisation that all callers belong to.
	organisationName = "org"
	// maxAttempts is the number of upstreams to which a request may be sent.
	maxAttempts = 2
	// readyLimit is the time in which all hosts become ready.
	readyLimit = 20 * time.Second
	// recoverLimit is the time after the last trouble in which requests are served again.
	recoverLimit = 15 * time.Second
	// recoverShare is the share of requests that must be served then.
	recoverShare = 0.25
	tick         = 100 * time.Millisecond
)

// A system is a deployment of processes on one machine.
type system struct {
	plan      Plan
	store     *persimstand.Store
	operator  *operator
	hosts     []*host
	upstreams *upstreams
	judge     *judge
}

// Run plays a plan with a program and keeps logs in a folder. It returns what was
// seen, or an error where the system could not be set up.
func Run(ctx context.Context, plan Plan, program, folder string) (Report, error) {
	s := &system{plan: plan, store: persimstand.NewStore()}
	s.operator = newOperator(s.store)
	s.upstreams = newUpstreams(s.store)
	s.judge = newJudge(s)
	claimed, release, err := claimNetwork()
	if err != nil {
		return Report{}, err
	}
	defer release()
	defer s.close()
	if err := s.start(claimed, program, folder); err != nil {
		return Report{}, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, h := range s.hosts {
		go h.follow(stop)
	}
	if err := s.awaitReady(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers sync.WaitGroup
	for i := range plan.Callers {
		c := &caller{system: s, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(plan.Seed, uint64(i+1)))}
		callers.Go(func() { c.run(ctx) })
	}
	s.play()
	s.judge.awaitRecovery()
	cancel()
	callers.Wait()
	return s.judge.finish(), nil
}

func (s *system) start(claimed network, program, folder string) error {
	if err := s.operator.start(); err != nil {
		return err
	}
	for range s.plan.Upstreams {
		if err := s.upstreams.add(); err != nil {
			return err
		}
	}
	for i := range s.plan.Hosts {
		h, err := newHost(i, claimed.address(i), program, folder, s.store, s.judge.exited)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) awaitReady() error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(tick) {
		ready := 0
		for _, h := range s.hosts {
			if h.inRotation() {
				ready++
			}
		}
		if ready == len(s.hosts) {
			return nil
		}
	}
	return fmt.Errorf("not all hosts were ready after %s", readyLimit)
}

func (s *system) close() {
	for _, h := range s.hosts {
		h.close()
	}
	s.upstreams.close()
}

// play carries out the plan and returns once all trouble is over.
func (s *system) play() {
	began := time.Now()
	var running sync.WaitGroup
	for _, t := range s.plan.Troubles {
		running.Go(func() {
			time.Sleep(time.Until(began.Add(t.At)))
			s.carryOut(t)
		})
	}
	time.Sleep(time.Until(began.Add(s.plan.Length)))
	running.Wait()
}

func (s *system) carryOut(t Trouble) {
	h := s.hosts[t.Target%len(s.hosts)]
	switch t.Kind {
	case KindPause, KindKill, KindStop, KindHup:
		s.signal(h, t)
	case KindStoreDelay, KindStoreReset, KindStoreSilent, KindStoreOneWay:
		harm := map[Kind]linkFault{
			KindStoreDelay: linkDelays, KindStoreReset: linkResets,
			KindStoreSilent: linkIsSilent, KindStoreOneWay: linkLosesAnswers,
		}
		s.harm([]*host{h}, harm[t.Kind], t.For)
	case KindStoreRefuse:
		s.refuse(h, t.For)
	case KindStoreDown:
		s.harm(s.hosts, linkResets, t.For)
	case KindRevoke:
		s.judge.must(s.operator.revoke())
	case KindReroute:
		s.judge.must(s.operator.reroute())
	default:
		s.judge.must(s.upstreams.carryOut(t))
	}
}

// harm harms the ways of hosts to the store.
func (s *system) harm(hosts []*host, fault linkFault, lasts time.Duration) {
	var ends []func()
	for _, h := range hosts {
		ends = append(ends, h.disturb(&h.troubles))
		h.link.set(fault)
	}
	time.Sleep(lasts)
	for i, h := range hosts {
		h.link.set(linkPasses)
		ends[i]()
	}
}

func (s *system) refuse(h *host, lasts time.Duration) {
	end := h.disturb(&h.troubles)
	defer end()
	s.store.SetFault(h.name, persimstand.StoreRefuses)
	time.Sleep(lasts)
	s.store.SetFault(h.name, persimstand.StoreServes)
}

func (s *system) signal(h *host, t Trouble) {
	h.turn.Lock()
	defer h.turn.Unlock()
	switch t.Kind {
	case KindHup:
		h.awaitListening()
		h.signal(syscall.SIGHUP)
	case KindPause:
		defer h.disturb(&h.troubles)()
		h.signal(syscall.SIGSTOP)
		time.Sleep(t.For)
		h.signal(syscall.SIGCONT)
	case KindStop:
		defer h.disturb(&h.stops)()
		h.end(syscall.SIGTERM)
		s.judge.must(h.start())
	default:
		defer h.disturb(&h.troubles)()
		h.end(syscall.SIGKILL)
		time.Sleep(t.For)
		s.judge.must(h.start())
	}
}
