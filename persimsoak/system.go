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
	"persimmonport.example/platform"
)

const (
	hostName    = "soak.example"
	serviceName = "back"
	centreName  = "catania"
	// organisationName is the organisation that all callers belong to.
	organisationName = "org"
	// maxAttempts is the number of upstreams to which a request may be sent.
	maxAttempts = 2
	heartbeat   = 1200 * time.Millisecond
	// readyLimit is the time in which all hosts become ready.
	readyLimit = 20 * time.Second
	// recoverLimit is the time after the last trouble in which requests are served again.
	recoverLimit = 15 * time.Second
	// recoverShare is the share of requests that must be served then.
	recoverShare = 0.25
	// lapse is the time after which the entry of a crashed upstream is removed.
	lapse = 3 * heartbeat
	// lingers is how long a leaving upstream serves beyond the bound.
	lingers = time.Second
	tick    = 100 * time.Millisecond
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

// upstreams are the back ends of a system.
type upstreams struct {
	store *persimstand.Store
	runs  *runs

	mu    sync.Mutex
	list  []*upstream
	gone  []*upstream
	count int
	// left is when the store took the entry that says an upstream leaves.
	left map[string]time.Time
	// troubles are by upstream.
	troubles map[string][]span
}

func newUpstreams(store *persimstand.Store) *upstreams {
	return &upstreams{
		store: store, runs: &runs{by: map[string][]run{}},
		left: map[string]time.Time{}, troubles: map[string][]span{},
	}
}

// add starts one more upstream and registers it.
func (u *upstreams) add() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	started, err := u.startLocked()
	if err == nil {
		u.list = append(u.list, started)
	}
	return err
}

func (u *upstreams) startLocked() (*upstream, error) {
	u.count++
	started, err := newUpstream(fmt.Sprintf("up-%d", u.count), u.runs)
	if err != nil {
		return nil, err
	}
	return started, u.store.PutUpstream(started.entry(false))
}

// replace starts an upstream in the place of another one.
func (u *upstreams) replace(old *upstream) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	started, err := u.startLocked()
	if err != nil {
		return err
	}
	for i, known := range u.list {
		if known == old {
			u.list[i] = started
			u.gone = append(u.gone, old)
			return nil
		}
	}
	u.gone = append(u.gone, started)
	return nil
}

func (u *upstreams) target(index int) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.list[index%len(u.list)]
}

func (u *upstreams) disturb(id string) func() {
	u.mu.Lock()
	defer u.mu.Unlock()
	index := len(u.troubles[id])
	u.troubles[id] = append(u.troubles[id], span{from: time.Now()})
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.troubles[id][index].until = time.Now()
	}
}

// disturbed reports whether an upstream had trouble, its leaving included, between
// two moments.
func (u *upstreams) disturbed(id string, from, until time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if left, ok := u.left[id]; ok && left.Add(bounds().Drain).Before(until) {
		return true
	}
	for _, s := range u.troubles[id] {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return true
		}
	}
	return false
}

func (u *upstreams) leftAt(id string) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.left[id]
	return at, ok
}

func (u *upstreams) carryOut(t Trouble) error {
	target := u.target(t.Target)
	switch t.Kind {
	case KindUpstreamLeave:
		return u.leave(target)
	case KindUpstreamCrash:
		return u.crash(target, t.For)
	}
	harm := map[Kind]linkFault{
		KindUpstreamDelay: linkDelays, KindUpstreamReset: linkResets,
		KindUpstreamSilent: linkIsSilent, KindUpstreamOneWay: linkLosesAnswers,
	}
	defer u.disturb(target.id)()
	target.proxy.set(harm[t.Kind])
	time.Sleep(t.For)
	target.proxy.set(linkPasses)
	return nil
}

// leave announces that an upstream leaves, lets it serve on for the bound and a
// little longer, and starts another one.
func (u *upstreams) leave(target *upstream) error {
	u.mu.Lock()
	_, again := u.left[target.id]
	if !again {
		u.left[target.id] = time.Now()
	}
	u.mu.Unlock()
	if again {
		return nil
	}
	if err := u.store.PutUpstream(target.entry(true)); err != nil {
		return err
	}
	u.mu.Lock()
	u.left[target.id] = time.Now()
	u.mu.Unlock()
	err := u.replace(target)
	time.Sleep(bounds().Drain + lingers)
	u.store.Remove(platform.UpstreamKind, target.id)
	return err
}

func (u *upstreams) crash(target *upstream, lasts time.Duration) error {
	u.disturb(target.id)
	target.close()
	time.Sleep(min(lasts, lapse))
	err := u.replace(target)
	time.Sleep(max(0, lapse-lasts))
	u.store.Remove(platform.UpstreamKind, target.id)
	return err
}

func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, one := range append(u.list, u.gone...) {
		one.close()
	}
}
