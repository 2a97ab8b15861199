package persimsoak

import (
	"fmt"
	"sync"
	"time"

	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	// heartbeat is how often upstreams renew their entries.
	heartbeat = 1200 * time.Millisecond
	// lapse is the time after which the entry of a crashed upstream is removed.
	lapse = 3 * heartbeat
	// lingers is how long a leaving upstream serves beyond the bound.
	lingers = time.Second
)

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
