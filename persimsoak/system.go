// Package persimsoak runs entry hosts as processes, injects faults from outside by a
// seeded plan, and checks what callers and upstreams observe.
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
	hostName = "soak.example"
	// oddHostName is the name of the host whose only route takes all paths.
	oddHostName = "odd.soak.example"
	serviceName = "back"
	centreName  = "catania"
	// organisationName is the organisation that all callers belong to.
	organisationName = "org"
	// maxAttempts is the number of upstreams to which a request other than a stream may be
	// sent.
	maxAttempts = 2
	// readyTimeout is the time within which all hosts must become ready.
	readyTimeout = 20 * time.Second
	// recoveryTimeout is the time after the last event within which requests must be
	// served again.
	recoveryTimeout = 15 * time.Second
	// minServedShare is the share of requests that must be served by then.
	minServedShare = 0.25
	pollInterval   = 100 * time.Millisecond
)

// system is a deployment of processes on one machine.
type system struct {
	plan      Plan
	store     *persimstand.Store
	operator  *operator
	hosts     []*host
	upstreams *upstreams
	checker   *checker
	drills    drills
	// onFinish ends what runs until the checks begin, if it is set.
	onFinish func()
}

// Run executes a plan against the given program and writes the logs to logDir. It
// returns an error if the system could not be set up.
func Run(ctx context.Context, plan Plan, program, logDir string) (Report, error) {
	s := &system{plan: plan, store: persimstand.NewStore()}
	s.operator = newOperator(s.store)
	s.upstreams = newUpstreams(s.store, plan.Seed)
	s.checker = newChecker(s)
	s.upstreams.onError = s.checker.recordError
	loopback, release, err := claimNetwork()
	if err != nil {
		return Report{}, err
	}
	defer release()
	defer s.close()
	if err := s.start(loopback, program, logDir); err != nil {
		return Report{}, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, h := range s.hosts {
		go h.pollReady(stop)
	}
	if err := s.awaitReady(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers sync.WaitGroup
	for i := range plan.Callers + plan.UnhurriedCallers {
		c := &caller{
			system: s, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(plan.Seed, uint64(i+1))),
			unhurried: i >= plan.Callers,
		}
		callers.Go(func() { c.run(ctx) })
	}
	s.runEvents()
	s.checker.awaitRecovery()
	cancel()
	callers.Wait()
	if s.onFinish != nil {
		s.onFinish()
	}
	return s.checker.finish(), nil
}

func (s *system) start(loopback network, program, logDir string) error {
	if err := s.operator.publishInitial(); err != nil {
		return err
	}
	for range s.plan.Upstreams {
		if err := s.upstreams.add(); err != nil {
			return err
		}
	}
	for i := range s.plan.Hosts {
		h, err := newHost(i, loopback.address(i), program, logDir, s.store, s.checker.hostExited)
		if err != nil {
			return err
		}
		h.rollouts = s.plan.rollsOut()
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
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
	return fmt.Errorf("not all hosts were ready after %s", readyTimeout)
}

func (s *system) close() {
	for _, h := range s.hosts {
		h.close()
	}
	s.upstreams.close()
}

// runEvents applies the events of the plan and returns when all of them have ended.
func (s *system) runEvents() {
	start := time.Now()
	var running sync.WaitGroup
	for _, event := range s.plan.Events {
		running.Go(func() {
			time.Sleep(time.Until(start.Add(event.At)))
			s.applyEvent(event)
		})
	}
	time.Sleep(time.Until(start.Add(s.plan.Duration)))
	running.Wait()
}

func (s *system) applyEvent(event Event) {
	h := s.hosts[event.Target%len(s.hosts)]
	switch event.Kind {
	case KindPause, KindKill, KindStop, KindHup:
		s.applyProcessEvent(h, event)
	case KindStoreDelay, KindStoreReset, KindStoreSilent, KindStoreOneWay:
		faults := map[Kind]linkFault{
			KindStoreDelay: linkFaultDelay, KindStoreReset: linkFaultReset,
			KindStoreSilent: linkFaultStall, KindStoreOneWay: linkFaultDropResponses,
		}
		s.injectStoreFault([]*host{h}, faults[event.Kind], event.Duration)
	case KindStoreRefuse:
		s.refuseStoreCalls(h, event.Duration)
	case KindStoreDrill:
		s.runDrill(event.Duration)
	case KindStoreDown:
		s.injectStoreFault(s.hosts, linkFaultReset, event.Duration)
	case KindRevoke:
		s.checker.recordError(s.operator.rotateKey())
	case KindReroute:
		s.checker.recordError(s.operator.toggleRoute())
	case KindIdleTimeout:
		s.checker.recordError(s.operator.setIdleTimeout(idleTimeouts[event.Target%len(idleTimeouts)]))
	case KindRollout, KindBadRollout:
		s.checker.recordError(s.rollOut(event))
	case KindPoison:
		defer s.upstreams.poison.begin()()
		time.Sleep(event.Duration)
	default:
		s.checker.recordError(s.upstreams.applyEvent(event))
	}
}

// injectStoreFault applies a fault to the links between hosts and the store.
func (s *system) injectStoreFault(hosts []*host, fault linkFault, duration time.Duration) {
	var endFaults []func()
	for _, h := range hosts {
		endFaults = append(endFaults, h.beginInterval(&h.storeFaults))
		h.storeProxy.setFault(fault)
	}
	time.Sleep(duration)
	for i, h := range hosts {
		h.storeProxy.setFault(linkFaultNone)
		endFaults[i]()
	}
}

func (s *system) refuseStoreCalls(h *host, duration time.Duration) {
	endFault := h.beginInterval(&h.storeFaults)
	defer endFault()
	s.store.SetFault(h.name, persimstand.StoreFaultUnavailable)
	time.Sleep(duration)
	s.store.SetFault(h.name, persimstand.StoreFaultNone)
}

func (s *system) applyProcessEvent(h *host, event Event) {
	h.lifecycleMu.Lock()
	defer h.lifecycleMu.Unlock()
	switch event.Kind {
	case KindHup:
		h.awaitListening()
		h.signal(syscall.SIGHUP)
	case KindPause:
		defer h.beginInterval(&h.processFaults)()
		h.signal(syscall.SIGSTOP)
		time.Sleep(event.Duration)
		h.signal(syscall.SIGCONT)
	case KindStop:
		defer h.beginInterval(&h.plannedStops)()
		h.terminate(syscall.SIGTERM)
		s.checker.recordError(h.start())
	default:
		defer h.beginInterval(&h.processFaults)()
		h.terminate(syscall.SIGKILL)
		time.Sleep(event.Duration)
		s.checker.recordError(h.start())
	}
}
