package persimentry

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimrollout"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

// statusLog records the states that were written to the status of the operator's object.
type statusLog struct {
	mu     sync.Mutex
	states []platform.RolloutState
}

// watchStates records each state that the store shows until the test ends.
func (r *rolloutTest) watchStates() *statusLog {
	log := &statusLog{}
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			state := r.state()
			log.mu.Lock()
			if len(log.states) == 0 || log.states[len(log.states)-1] != state {
				log.states = append(log.states, state)
			}
			log.mu.Unlock()
		}
	})
	r.t.Cleanup(func() { close(done); watching.Wait() })
	return log
}

// requireOneFinal requires that there was one final state, the last one.
func (l *statusLog) requireOneFinal(t *testing.T, want platform.RolloutState) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, state := range l.states {
		final := state == platform.RolloutCompleted || state == platform.RolloutRolledBack
		require.Equal(t, i == len(l.states)-1, final, "%v", l.states)
	}
	require.Equal(t, want, l.states[len(l.states)-1])
}

// phase returns the phase that a host knows of the rollout.
func (h *testHost) phase() persimrollout.Phase {
	for _, news := range h.entry.front.RolloutNews() {
		return news.Phase
	}
	return persimrollout.PhaseNone
}

func (r *rolloutTest) waitPhase(phase persimrollout.Phase) {
	r.t.Helper()
	r.eventually(rolloutLate, func() bool {
		for _, h := range r.hosts {
			if h.phase() != phase {
				return false
			}
		}
		return true
	}, phase.String())
}

// stopHolder ends the lease holder as a crash does.
func (r *rolloutTest) stopHolder() {
	holder := r.holder()
	holder.stop()
	remaining := make([]*testHost, 0, len(r.hosts))
	for _, h := range r.hosts {
		if h != holder {
			remaining = append(remaining, h)
		}
	}
	r.hosts = remaining
}

// TestNextHolderContinuesARollout guards against a rollout that stands still, or begins anew,
// since the host that carried it out has stopped.
func TestNextHolderContinuesARollout(t *testing.T) {
	for _, phase := range []persimrollout.Phase{persimrollout.PhaseObserving, persimrollout.PhaseShifting} {
		t.Run(phase.String(), func(t *testing.T) {
			r := newRolloutTest(t, 3)
			log := r.watchStates()
			r.order("v2", 2*rolloutDuration)
			r.waitState(platform.RolloutActive, rolloutDuration)
			if phase == persimrollout.PhaseShifting {
				r.eventually(2*rolloutDuration, func() bool { return r.hosts[0].phase() == phase }, "shifting")
			}
			r.stopHolder()
			r.waitState(platform.RolloutCompleted, 3*rolloutDuration)
			r.requireNothingMore("v1")
			log.requireOneFinal(t, platform.RolloutCompleted)
			require.Empty(t, r.store.Violations())
		})
	}
}

// TestNextHolderKeepsAFinalState guards against a rollout that begins again after its end.
func TestNextHolderKeepsAFinalState(t *testing.T) {
	r := newRolloutTest(t, 3)
	log := r.watchStates()
	r.failing.Store(50)
	r.order("v2", rolloutDuration)
	r.waitState(platform.RolloutRolledBack, rolloutDuration)
	r.waitWithdrawn("v2")
	r.stopHolder()
	r.failing.Store(0)
	r.eventually(startTimeout, func() bool { return r.holder() != nil }, "next holder")
	r.requireNothingMore("v2")
	r.requireFinal(platform.RolloutRolledBack)
	log.requireOneFinal(t, platform.RolloutRolledBack)
}

// TestStoreIsDownAtTheEndOfARollout guards against a final state that hosts act on before it is
// stored.
func TestStoreIsDownAtTheEndOfARollout(t *testing.T) {
	r := newRolloutTest(t, 3)
	r.order("v2", rolloutDuration)
	r.waitState(platform.RolloutActive, rolloutDuration/2)
	r.waitPhase(persimrollout.PhaseShifting)
	for _, h := range r.hosts {
		r.store.SetFault(h.name, persimstand.StoreFaultUnavailable)
	}
	time.Sleep(testBounds().Lease)
	require.Equal(t, platform.RolloutActive, r.state())
	for _, h := range r.hosts {
		require.False(t, h.phase().Final(), h.name)
		r.store.SetFault(h.name, persimstand.StoreFaultNone)
	}
	r.waitState(platform.RolloutCompleted, startTimeout)
	r.requireFinal(platform.RolloutCompleted)
}

// loseStatusResponses makes the first writes of a status lose their responses.
func loseStatusResponses(lost *atomic.Int64, number int64) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if !strings.HasSuffix(req.URL.Path, "/status") || lost.Add(1) > number {
				next.ServeHTTP(w, req)
				return
			}
			next.ServeHTTP(discardedResponse{http.Header{}}, req)
			panic(http.ErrAbortHandler)
		})
	}
}

type discardedResponse struct{ header http.Header }

func (d discardedResponse) Header() http.Header { return d.header }

func (d discardedResponse) Write(p []byte) (int, error) { return len(p), nil }

func (d discardedResponse) WriteHeader(int) {}

// TestLostResponsesOfStatusWrites guards against a status that is written twice, or never, as
// the response to its write was lost.
func TestLostResponsesOfStatusWrites(t *testing.T) {
	var lost atomic.Int64
	r := newRolloutTestWith(t, 2, loseStatusResponses(&lost, 1<<30))
	log := r.watchStates()
	r.order("v2", rolloutDuration)
	r.waitState(platform.RolloutCompleted, rolloutLate)
	r.requireNothingMore("v1")
	r.requireFinal(platform.RolloutCompleted)
	log.requireOneFinal(t, platform.RolloutCompleted)
	require.EqualValues(t, 2, lost.Load(), "writes of the status")
}

// TestFormerHolderWritesNoStatus guards against two hosts that write different states: the one
// that has lost the lease goes on as if it held it.
func TestFormerHolderWritesNoStatus(t *testing.T) {
	r := newRolloutTest(t, 3)
	r.order("v2", rolloutDuration)
	r.waitState(platform.RolloutActive, rolloutDuration/2)
	former := r.holder()
	fence, held := former.entry.heldFence()
	require.True(t, held)
	object, ok := r.store.Get(platform.RolloutKind, "s")
	require.True(t, ok)
	former.entry.mu.Lock()
	former.entry.lease.Invalidate(fence)
	former.entry.mu.Unlock()
	former.entry.writeRolloutStatus(t.Context(), fence, "s", object, persimrollout.Status{State: persimrollout.StateRolledBack, Target: "v2"})
	require.Equal(t, platform.RolloutActive, r.state())
	t.Run("old revision", func(t *testing.T) {
		r.eventually(startTimeout, func() bool { return r.holder() != nil }, "holder")
		next := r.holder().entry
		fence, held := next.heldFence()
		require.True(t, held)
		object.Revision.Number--
		next.writeRolloutStatus(t.Context(), fence, "s", object, persimrollout.Status{State: persimrollout.StateRolledBack, Target: "v2"})
		require.Equal(t, platform.RolloutActive, r.state())
	})
}

// TestLostHistory guards against an order that is never seen since the store no longer has the
// changes that the watch asks for.
func TestLostHistory(t *testing.T) {
	r := newRolloutTest(t, 2)
	r.store.ForgetHistory()
	r.order("v2", rolloutDuration)
	r.waitState(platform.RolloutActive, rolloutDuration/2)
}

// TestOddOrders guards against orders that stand for ever, or disturb the traffic, since they
// can't be carried out.
func TestOddOrders(t *testing.T) {
	r := newRolloutTest(t, 2)
	for _, test := range []struct{ name, spec string }{
		{"unreadable", `{"service":"s","target":7}`},
		{"no target", `{"service":"s","duration_s":5}`},
		{"no duration", `{"service":"s","target":"v2","duration_s":0}`},
		{"negative duration", `{"service":"s","target":"v2","duration_s":-4}`},
		{"huge duration", `{"service":"s","target":"v2","duration_s":1e30}`},
		{"unknown version", `{"service":"s","target":"v9","duration_s":1}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			r.store.Put(platform.RolloutKind, "s", []byte(test.spec))
			r.waitState(platform.RolloutRolledBack, rolloutDuration)
			r.requireNothingMore("v2")
			r.store.Remove(platform.RolloutKind, "s")
			r.eventually(rolloutDuration, func() bool { return r.state() == "" }, "removal")
		})
	}
	t.Run("unknown service", func(t *testing.T) {
		r.store.Put(platform.RolloutKind, "nothing", []byte(`{"service":"nothing","target":"v2","duration_s":1}`))
		r.eventually(rolloutDuration, func() bool {
			object, _ := r.store.Get(platform.RolloutKind, "nothing")
			status, _ := platform.DecodeRolloutStatus(object.Status)
			return status.State == platform.RolloutRolledBack
		}, "rolled back")
	})
	require.Zero(t, r.unanswered.Load())
}

// TestRemovedOrder guards against requests to a version whose order the operator has removed.
func TestRemovedOrder(t *testing.T) {
	r := newRolloutTest(t, 3)
	r.order("v2", 2*rolloutDuration)
	r.waitState(platform.RolloutActive, rolloutDuration/2)
	r.eventually(rolloutDuration, func() bool { return r.served["v2"].Load() > 0 }, "requests to v2")
	r.store.Remove(platform.RolloutKind, "s")
	r.waitPhase(persimrollout.PhaseRolledBack)
	r.requireNothingMore("v2")
	require.Zero(t, r.unanswered.Load())
}

// TestNothingChangesWithoutTheContract guards against reads, writes or decisions of rollouts in
// a deployment that has none, though its upstreams state versions and an order is stored.
func TestNothingChangesWithoutTheContract(t *testing.T) {
	d := newTestDeployment(t, 2)
	calls := map[string]int{}
	var mu sync.Mutex
	for _, h := range d.hosts {
		h.stop()
	}
	d.wrapStore = func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			calls[req.URL.Path]++
			mu.Unlock()
			next.ServeHTTP(w, req)
		})
	}
	d.hosts = []*testHost{d.start("host-0", "centre-0"), d.start("host-1", "centre-1")}
	u := d.addUpstream("u2")
	u.Version, u.Cold = "v2", time.Second
	require.NoError(t, d.store.PutUpstream(u))
	spec, err := platform.EncodeRollout(platform.Rollout{Service: "s", Target: "v2", Duration: time.Second})
	require.NoError(t, err)
	d.store.Put(platform.RolloutKind, "s", spec)
	d.waitConnected()
	d.eventually(startTimeout, func() bool { return d.holder() != nil && d.hosts[0].knows(u) && d.hosts[1].knows(u) }, "holder and list")
	time.Sleep(2 * time.Second)
	object, ok := d.store.Get(platform.RolloutKind, "s")
	require.True(t, ok)
	require.Empty(t, object.Status)
	mu.Lock()
	defer mu.Unlock()
	for path := range calls {
		require.NotContains(t, path, "rollouts")
	}
	for _, h := range d.hosts {
		require.Empty(t, h.entry.front.RolloutNews())
		message := h.entry.exchangeState(nil, "other")
		require.Empty(t, message.GetRollouts())
		require.Empty(t, message.GetRolloutReports())
		for _, upstream := range h.upstreams() {
			require.Empty(t, upstream.Version)
		}
		list := []persimcatalog.Upstream{{Version: "v1"}, {Version: "v2"}}
		require.Equal(t, list, h.entry.front.Carrying(list))
	}
}
