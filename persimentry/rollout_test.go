package persimentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimhub"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	// rolloutDuration is the time from an order to its deadline in tests, rolloutLate that
	// after which a test gives up.
	rolloutDuration = 8 * time.Second
	rolloutLate     = rolloutDuration + 2*time.Second
	// runTime is how long an upstream works at a request. Stalls of a busy machine must not make
	// one look slow.
	runTime = 20 * time.Millisecond
	// requestInterval is the time between the requests to each host.
	smallDeployment = 7
	requestInterval = 25 * time.Millisecond
)

// rolloutTest is a deployment whose service has upstreams of two versions, under load.
type rolloutTest struct {
	*testDeployment
	// served counts the requests that reached upstreams by version.
	served map[string]*atomic.Int64
	// failing makes the target fail this share of its responses, in hundredths.
	failing atomic.Int64
	// unanswered counts the requests whose caller got no response, or a 503.
	unanswered atomic.Int64
	stopLoad   chan struct{}
	load       sync.WaitGroup
}

func newRolloutTest(t *testing.T, hosts int) *rolloutTest {
	t.Helper()
	return newRolloutTestWith(t, hosts, nil)
}

// newRolloutTestWith changes how hosts see the store, unless that is nil.
func newRolloutTestWith(t *testing.T, hosts int, wrapStore func(http.Handler) http.Handler) *rolloutTest {
	t.Helper()
	d := &testDeployment{t: t, store: persimstand.NewStore(), rollouts: true, wrapStore: wrapStore}
	r := &rolloutTest{testDeployment: d, served: map[string]*atomic.Int64{"v1": {}, "v2": {}}, stopLoad: make(chan struct{})}
	d.putCatalogue(1, `"key"`, "")
	for i := range 4 {
		r.addVersion(fmt.Sprintf("old-%d", i), "v1")
	}
	for i := range hosts {
		d.hosts = append(d.hosts, d.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("centre-%d", i%testCentres)))
	}
	if hosts > persimhub.MeshHosts {
		r.waitServing()
	} else {
		r.waitConnected()
	}
	r.eventually(startTimeout, func() bool { return r.holder() != nil }, "holder")
	for i := range 4 {
		r.addVersion(fmt.Sprintf("new-%d", i), "v2")
	}
	for _, h := range d.hosts {
		r.keepLoaded(h)
	}
	t.Cleanup(r.endLoad)
	return r
}

// addVersion starts an upstream that fails as often as the test says if it is of version 2.
func (r *rolloutTest) addVersion(id, version string) persimcatalog.Upstream {
	count := int64(0)
	var mu sync.Mutex
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.served[version].Add(1)
		mu.Lock()
		count++
		fails := version == "v2" && count%100*r.failing.Load()/100 != (count-1)%100*r.failing.Load()/100
		mu.Unlock()
		time.Sleep(runTime)
		w.Header().Set(platform.HeaderRequestID, req.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSignature, id)
		if fails {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(w, "good")
	}))
	r.t.Cleanup(upstream.Close)
	u := persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: id, Born: time.Now().UnixMilli()}, Address: upstream.Listener.Addr().String(),
		Service: "s", Centre: "a", Slots: 4, Version: version,
	}
	require.NoError(r.t, r.store.PutUpstream(u))
	return u
}

// keepLoaded sends requests to a host until the load ends.
func (r *rolloutTest) keepLoaded(h *testHost) {
	// A large deployment gets no more requests in all than one of seven hosts.
	interval := requestInterval * time.Duration(max(1, len(r.hosts)/smallDeployment))
	r.load.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-r.stopLoad:
				return
			case <-ticker.C:
			}
			if status := request(h, fmt.Sprintf("%s-%d", h.name, i)); status != http.StatusOK && !h.stopped.Load() {
				r.unanswered.Add(1)
			}
		}
	})
}

func (r *rolloutTest) endLoad() {
	select {
	case <-r.stopLoad:
	default:
		close(r.stopLoad)
	}
	r.load.Wait()
}

// request sends a request with an id and returns the status, or zero without a response.
func request(h *testHost, id string) int {
	conn, err := net.Dial("tcp", h.callers)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /x/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Api-Key: key\r\nConnection: close\r\n\r\n", id)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (r *rolloutTest) order(target string, duration time.Duration) {
	spec, err := platform.EncodeRollout(platform.Rollout{Service: "s", Target: target, Duration: duration})
	require.NoError(r.t, err)
	r.store.Put(platform.RolloutKind, "s", spec)
}

// state returns the state in the status of the operator's object, or an empty one.
func (r *rolloutTest) state() platform.RolloutState {
	object, _ := r.store.Get(platform.RolloutKind, "s")
	status, _ := platform.DecodeRolloutStatus(object.Status)
	return status.State
}

func (r *rolloutTest) waitState(state platform.RolloutState, within time.Duration) {
	r.t.Helper()
	r.eventually(within, func() bool { return r.state() == state }, "state "+string(state))
}

// requireNothingMore requires that a version gets no more requests.
func (r *rolloutTest) requireNothingMore(version string) {
	r.t.Helper()
	before := r.served[version].Load()
	time.Sleep(20 * requestInterval)
	require.Equal(r.t, before, r.served[version].Load(), "requests to %s", version)
}

// newsTime is the time within which the state of a rollout reaches all hosts.
const newsTime = time.Second

// waitWithdrawn requires that a version gets no more requests once the state of the rollout has
// reached all hosts.
func (r *rolloutTest) waitWithdrawn(version string) {
	r.t.Helper()
	time.Sleep(newsTime)
	r.requireNothingMore(version)
}

// requireFinal requires that a state stays and is the only final one.
func (r *rolloutTest) requireFinal(state platform.RolloutState) {
	r.t.Helper()
	for range 20 {
		require.Equal(r.t, state, r.state())
		time.Sleep(50 * time.Millisecond)
	}
	require.Empty(r.t, r.store.Violations())
}

func TestGoodVersionIsCompleted(t *testing.T) {
	r := newRolloutTest(t, 3)
	r.order("v2", rolloutDuration)
	r.waitState(platform.RolloutActive, rolloutDuration/2)
	r.waitState(platform.RolloutCompleted, rolloutDuration)
	r.requireNothingMore("v1")
	r.requireFinal(platform.RolloutCompleted)
	require.Zero(t, r.unanswered.Load())
	for _, h := range r.hosts {
		for _, u := range h.upstreams() {
			require.Equal(t, u.Version == "v1", u.Leaving, "%s: %s", h.name, u.ID)
		}
	}
}

func (h *testHost) upstreams() []persimcatalog.Upstream {
	h.entry.mu.Lock()
	defer h.entry.mu.Unlock()
	return h.entry.roster.Upstreams()["s"]
}

// TestRolloutsThroughHubs guards against hosts that report to nobody in a deployment where they
// don't read the lease and hear of its holder through hubs.
func TestRolloutsThroughHubs(t *testing.T) {
	for name, test := range map[string]struct {
		failing int64
		want    platform.RolloutState
		former  string
	}{
		"good version": {0, platform.RolloutCompleted, "v1"},
		"bad version":  {50, platform.RolloutRolledBack, "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRolloutTest(t, persimhub.MeshHosts+2)
			r.failing.Store(test.failing)
			r.order("v2", rolloutDuration)
			r.waitState(test.want, rolloutLate)
			r.eventually(newsLate, func() bool {
				for _, h := range r.hosts {
					if !h.phase().Final() {
						return false
					}
				}
				return true
			}, "final state at all hosts")
			r.requireNothingMore(test.former)
			r.requireFinal(test.want)
		})
	}
}

// newsLate is the time within which the state of a rollout reaches all hosts through hubs.
const newsLate = 2 * time.Second

// TestBadVersionIsRolledBack guards against a version that fails half of its responses and
// gets more than its share before it is withdrawn.
func TestBadVersionIsRolledBack(t *testing.T) {
	r := newRolloutTest(t, 3)
	r.failing.Store(50)
	r.order("v2", rolloutDuration)
	r.waitState(platform.RolloutRolledBack, rolloutDuration)
	r.waitWithdrawn("v2")
	r.requireFinal(platform.RolloutRolledBack)
	exposed, all := r.served["v2"].Load(), r.served["v2"].Load()+r.served["v1"].Load()
	require.LessOrEqual(t, float64(exposed), 0.1*float64(all)+50)
}

// serveStore serves a store on the loopback interface and returns its address.
func serveStore(t *testing.T, store *persimstand.Store) string {
	t.Helper()
	server := httptest.NewServer(store.Handler("h"))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
