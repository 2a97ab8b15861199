package persimsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	// heartbeat is the interval at which upstreams renew their entries.
	heartbeat = 1200 * time.Millisecond
	// entryTTL is the time after which the entry of a crashed upstream is removed.
	entryTTL = 3 * heartbeat
	// leaveMargin is how long a leaving upstream keeps serving after the drain bound.
	leaveMargin = time.Second
)

// upstreams starts and stops the upstreams of a system and keeps what happened to them.
type upstreams struct {
	store      *persimstand.Store
	executions *executionLog
	arrivals   *arrivalLog
	poison     *poison
	rollout    *rollout
	// onError is called with an error of a crash that no event of the plan caused.
	onError func(error)
	// poisonCrashes are the crashes in progress that the deadly part caused.
	poisonCrashes sync.WaitGroup

	mu           sync.Mutex
	active       []*upstream
	retired      []*upstream
	startedCount int
	// leaveTimes holds when the store accepted the entry that marks an upstream as leaving.
	leaveTimes map[string]time.Time
	// faults holds the fault intervals by upstream.
	faults map[string][]interval
	// poisoned holds the upstreams that the deadly part has crashed.
	poisoned map[string]bool
}

func newUpstreams(store *persimstand.Store, seed uint64) *upstreams {
	return &upstreams{
		store: store, executions: &executionLog{byRequest: map[string][]execution{}},
		arrivals:   &arrivalLog{byUpstream: map[string][]arrival{}},
		rollout:    newRollout(),
		poison:     &poison{random: rand.New(rand.NewPCG(seed, poisonStream))},
		leaveTimes: map[string]time.Time{}, faults: map[string][]interval{}, poisoned: map[string]bool{},
	}
}

// add starts one more upstream and registers it.
func (u *upstreams) add() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	started, err := u.startLocked(firstVersion)
	if err == nil {
		u.active = append(u.active, started)
	}
	return err
}

// startLocked starts and registers an upstream. The caller must hold mu.
func (u *upstreams) startLocked(version string) (*upstream, error) {
	u.startedCount++
	id := fmt.Sprintf("up-%d", u.startedCount)
	u.rollout.setVersion(id, version)
	started, err := newUpstream(id, u.executions, u.arrivals, u.rollout, u.crashIfPoisoned)
	if err != nil {
		return nil, err
	}
	return started, u.store.PutUpstream(started.catalogueEntry(false))
}

// replace starts a new upstream in place of an old one, unless it has been replaced.
func (u *upstreams) replace(old *upstream) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	index := slices.Index(u.active, old)
	if index < 0 {
		return nil
	}
	started, err := u.startLocked(u.rollout.version(old.id))
	if err != nil {
		return err
	}
	u.active[index] = started
	u.retired = append(u.retired, old)
	return nil
}

func (u *upstreams) target(index int) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.active[index%len(u.active)]
}

func (u *upstreams) beginFault(id string) func() {
	u.mu.Lock()
	defer u.mu.Unlock()
	index := len(u.faults[id])
	u.faults[id] = append(u.faults[id], interval{from: time.Now()})
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.faults[id][index].until = time.Now()
	}
}

// hadFault reports whether an upstream had a fault between two moments, or the drain
// bound after its leaving had passed by then.
func (u *upstreams) hadFault(id string, from, until time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if leaveTime, ok := u.leaveTimes[id]; ok && leaveTime.Add(bounds().UpstreamDrain).Before(until) {
		return true
	}
	return slices.ContainsFunc(u.faults[id], func(i interval) bool { return i.overlaps(from, until) })
}

func (u *upstreams) leaveTime(id string) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.leaveTimes[id]
	return at, ok
}

func (u *upstreams) applyEvent(event Event) error {
	target := u.target(event.Target)
	switch event.Kind {
	case KindUpstreamLeave:
		return u.leave(target)
	case KindUpstreamCrash:
		return u.crash(target, event.Duration)
	case KindUpstreamLimit, KindUpstreamWait:
		u.ask(target, event)
		return nil
	case KindUpstreamSaysLeaving:
		return u.sayLeaving(target)
	case KindUpstreamMislead:
		u.mislead(target, event.Duration)
		return nil
	}
	faults := map[Kind]linkFault{
		KindUpstreamDelay: linkFaultDelay, KindUpstreamReset: linkFaultReset,
		KindUpstreamSilent: linkFaultStall, KindUpstreamOneWay: linkFaultDropResponses,
	}
	defer u.beginFault(target.id)()
	target.proxy.setFault(faults[event.Kind])
	time.Sleep(event.Duration)
	target.proxy.setFault(linkFaultNone)
	return nil
}

// leave marks an upstream as leaving and starts its replacement. The leaving upstream
// keeps serving; its entry is removed after the drain bound and leaveMargin.
func (u *upstreams) leave(target *upstream) error {
	u.mu.Lock()
	_, alreadyLeaving := u.leaveTimes[target.id]
	if !alreadyLeaving {
		u.leaveTimes[target.id] = time.Now()
	}
	u.mu.Unlock()
	if alreadyLeaving {
		return nil
	}
	if err := u.store.PutUpstream(target.catalogueEntry(true)); err != nil {
		return err
	}
	u.mu.Lock()
	u.leaveTimes[target.id] = time.Now()
	u.mu.Unlock()
	err := u.replace(target)
	time.Sleep(bounds().UpstreamDrain + leaveMargin)
	u.store.Remove(platform.UpstreamKind, target.id)
	return err
}

func (u *upstreams) crash(target *upstream, downtime time.Duration) error {
	u.takeDown(target)
	return u.restart(target, downtime)
}

// takeDown resets the connections of an upstream and refuses new ones.
func (u *upstreams) takeDown(target *upstream) {
	u.beginFault(target.id)
	target.close()
}

// restart starts the replacement of a crashed upstream, and removes its entry later.
func (u *upstreams) restart(target *upstream, downtime time.Duration) error {
	time.Sleep(min(downtime, entryTTL))
	err := u.replace(target)
	time.Sleep(max(0, entryTTL-downtime))
	u.store.Remove(platform.UpstreamKind, target.id)
	return err
}

// crashIfPoisoned crashes an upstream that begins to answer a request with the deadly part.
func (u *upstreams) crashIfPoisoned(target *upstream, r *http.Request) {
	if !u.poison.killedBy(r) {
		return
	}
	u.mu.Lock()
	again := u.poisoned[target.id]
	u.poisoned[target.id] = true
	u.mu.Unlock()
	if !again {
		downtime := u.poison.recordCrash()
		u.takeDown(target)
		u.poisonCrashes.Go(func() { u.onError(u.restart(target, downtime)) })
	}
	panic(http.ErrAbortHandler)
}

func (u *upstreams) close() {
	u.poisonCrashes.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, target := range append(u.active, u.retired...) {
		target.close()
	}
}
