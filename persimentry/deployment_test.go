package persimentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

// testDeployment is a few entry hosts on the loopback interface with the stand-in store
// of persimstand and an upstream.
type testDeployment struct {
	t     *testing.T
	store *persimstand.Store
	hosts []*testHost
	runs  atomic.Int64
	// wrapStore changes how hosts see the store, if set.
	wrapStore func(http.Handler) http.Handler
	// rollouts enables rollouts at the hosts.
	rollouts bool
}

type testHost struct {
	name  string
	entry *entry
	// callers is the address for callers.
	callers string
	stop    func()
	stopped atomic.Bool
}

const catalogueFormat = `{"version":%d,"routes":[
{"name":"r","host":"h","path_prefix":"/x/","kind":"idempotent","timeout_ms":1000,"service":"s","max_attempts":2}%s],
"services":[{"name":"s","scaling":{"min":1,"max":4,"boot_s":1,"zone_prices":{"a":1,"b":2}}}],
"limits":{"max_body_bytes":1000},"tenants":[{"name":"o","api_keys":[%s]}]}`

func testBounds() persimsettings.Bounds {
	return persimsettings.Bounds{
		UpstreamDrain: propagationBound, ConfigApply: propagationBound, KeyRevocation: 5 * time.Second, Lease: 2 * time.Second,
		UsageWindow: 2 * time.Second, UsageLate: 8 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second,
		RetrySlack: 50, QuotaWindow: 8 * time.Second, ShutdownGrace: 8 * time.Second,
		ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second, Disturbance: 6 * time.Second,
	}
}

func newTestDeployment(t *testing.T, hosts int) *testDeployment {
	t.Helper()
	return newTestDeploymentOn(t, hosts, persimstand.NewStore())
}

func newTestDeploymentOn(t *testing.T, hosts int, store *persimstand.Store) *testDeployment {
	t.Helper()
	d := &testDeployment{t: t, store: store}
	d.putCatalogue(1, `"key"`, "")
	d.addUpstream("u1")
	for i := range hosts {
		d.hosts = append(d.hosts, d.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("centre-%d", i%testCentres)))
	}
	return d
}

// testCentres is the number of data centres of a test deployment.
const testCentres = 2

func (d *testDeployment) putCatalogue(version int, keys, routes string) {
	d.store.Put(platform.ConfigKind, platform.ConfigName, fmt.Appendf(nil, catalogueFormat, version, routes, keys))
}

func (d *testDeployment) addUpstream(id string) persimcatalog.Upstream {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.runs.Add(1)
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSignature, id)
		_, _ = io.WriteString(w, "good")
	}))
	d.t.Cleanup(upstream.Close)
	u := persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: id, Born: 1}, Address: upstream.Listener.Addr().String(),
		Service: "s", Centre: "a", Slots: 4,
	}
	require.NoError(d.t, d.store.PutUpstream(u))
	return u
}

func (d *testDeployment) start(name, centre string) *testHost {
	d.t.Helper()
	store := d.store.Handler(name)
	if d.wrapStore != nil {
		store = d.wrapStore(store)
	}
	platformServer := httptest.NewServer(store)
	address := platformServer.Listener.Addr().String()
	built, cleanup, err := New(persimsettings.Deployment{
		Host: name, IP: "127.0.0.1", Centre: centre, PeerAddress: freeUDP(d.t), StoreAddress: address, DutiesAddress: address,
		ReportsUsage: true, OrdersUpstreams: true, Bounds: testBounds(), Rollouts: d.rollouts,
	})
	require.NoError(d.t, err)
	e, ok := built.(*entry)
	require.True(d.t, ok)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	callers, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	go func() { _ = e.ServeCallers(server, callers) }()
	h := &testHost{name: name, entry: e, callers: callers.Addr().String()}
	h.stop = func() {
		if h.stopped.Swap(true) {
			return
		}
		cancel()
		platformServer.CloseClientConnections()
		<-done
		_ = server.Close()
		cleanup()
		platformServer.Close()
	}
	d.t.Cleanup(h.stop)
	return h
}

func freeUDP(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

// get sends a request to a host and returns the status.
func (d *testDeployment) get(h *testHost, path, key string) int {
	d.t.Helper()
	conn, err := net.Dial("tcp", h.callers)
	require.NoError(d.t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nX-Api-Key: %s\r\nConnection: close\r\n\r\n", path, key)
	require.NoError(d.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(d.t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

const (
	// propagationBound is the bound within which a configuration is in force on all
	// hosts; the hosts derive the age at which they read the store from it.
	propagationBound = 6 * time.Second
	startTimeout     = 20 * time.Second
	checkInterval    = 20 * time.Millisecond
)

func (d *testDeployment) eventually(within time.Duration, condition func() bool, what string) {
	d.t.Helper()
	require.Eventually(d.t, condition, within, checkInterval, what)
}

func (d *testDeployment) waitServing() {
	d.t.Helper()
	for _, h := range d.hosts {
		d.eventually(startTimeout, func() bool { return d.get(h, "/x/", "key") == http.StatusOK }, h.name)
	}
}

// waitConnected waits until all hosts have heard from each other.
func (d *testDeployment) waitConnected() {
	d.t.Helper()
	d.waitServing()
	for _, h := range d.hosts {
		d.eventually(startTimeout, func() bool {
			h.entry.mu.Lock()
			defer h.entry.mu.Unlock()
			connected := 0
			for _, p := range h.entry.peers {
				if p.demand != nil {
					connected++
				}
			}
			return connected == len(d.hosts)-1
		}, h.name)
	}
}

func (d *testDeployment) allReturn(path, key string, status int) func() bool {
	return func() bool {
		for _, h := range d.hosts {
			if d.get(h, path, key) != status {
				return false
			}
		}
		return true
	}
}
