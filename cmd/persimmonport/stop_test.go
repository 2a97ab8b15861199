package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimentry"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

// stoppedEntry is an entry host that a test stops while an upstream stays silent.
type stoppedEntry struct {
	deployment persimsettings.Deployment
	entry      persimentry.Entry
	servers    *entryServers
	ctx        context.Context
}

// newStoppedEntry starts an entry host whose grace period ends a second after it takes no
// more connections.
func newStoppedEntry(t *testing.T) *stoppedEntry {
	t.Helper()
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	store := persimstand.NewStore()
	route := persimcatalog.Route{
		Name: "r", Host: "h", Prefix: "/x/", Timeout: time.Minute, MaxAttempts: 1,
		Splits: []persimcatalog.Split{{Service: "s", Weight: 1}},
	}
	spec, err := platform.EncodeCatalogue(persimcatalog.New(1, []persimcatalog.Route{route}, []persimcatalog.Service{{Name: "s"}}, nil, persimcatalog.Limits{}))
	require.NoError(t, err)
	store.Put(platform.ConfigKind, platform.ConfigName, spec)
	require.NoError(t, store.PutUpstream(persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: "w1", Born: 1}, Address: silent.Addr().String(), Service: "s", Slots: 8,
	}))
	storeServer := httptest.NewServer(store.Handler("host"))
	t.Cleanup(storeServer.Close)
	address := storeServer.Listener.Addr().String()
	s := &stoppedEntry{deployment: persimsettings.Deployment{
		Host: "host", IP: "127.0.0.1", Centre: "centre", CallerAddress: freeAddress(t), ReadyAddress: freeAddress(t), PeerAddress: freeAddress(t),
		StoreAddress: address, DutiesAddress: address,
		Bounds: persimsettings.Bounds{
			ShutdownGrace: balancerLag + time.Second + exitMargin, UpstreamDrain: 3 * time.Second, ConfigApply: 3 * time.Second,
			KeyRevocation: time.Minute, Lease: 3 * time.Second, UsageWindow: 5 * time.Second, RetryWindow: 10 * time.Second,
		},
	}}
	entry, cleanup, err := persimentry.New(s.deployment)
	require.NoError(t, err)
	t.Cleanup(cleanup)
	s.entry = entry
	s.servers, err = startEntryServers(s.deployment, entry)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	s.ctx = ctx
	go func() { _ = entry.Run(ctx) }()
	require.Eventually(t, func() bool {
		recorder := httptest.NewRecorder()
		entry.ReadyHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return recorder.Code == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond)
	s.awaitUpstream(t, silent)
	return s
}

// awaitUpstream waits until the host passes requests on to the silent upstream: it is ready
// once it has its configuration, and may read the list of upstreams later.
func (s *stoppedEntry) awaitUpstream(t *testing.T, silent net.Listener) {
	t.Helper()
	reached := make(chan net.Conn, 1)
	go func() {
		if conn, err := silent.Accept(); err == nil {
			reached <- conn
		}
	}()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", s.deployment.CallerAddress)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: 0\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		select {
		case upstream := <-reached:
			_ = upstream.Close()
			return true
		case <-time.After(100 * time.Millisecond):
			return false
		}
	}, 10*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return s.entry.InFlight() == 0 }, time.Second, time.Millisecond)
}

// TestRequestInProgressIsAnsweredBeforeTheHostStops guards against a stop that cuts requests
// off without an answer.
func TestRequestInProgressIsAnsweredBeforeTheHostStops(t *testing.T) {
	s := newStoppedEntry(t)
	conn, err := net.Dial("tcp4", s.deployment.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.entry.InFlight() == 1 }, time.Second, time.Millisecond)
	go func() {
		stopEntry(s.ctx, s.entry, s.servers, s.deployment)
		_ = s.servers.callers.Close()
	}()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(s.deployment.Bounds.ShutdownGrace)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
}
