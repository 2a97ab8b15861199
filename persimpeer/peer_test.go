package persimpeer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimwire"
)

// exchangeRecorder answers exchanges and records their senders.
type exchangeRecorder struct {
	persimwire.UnimplementedPeerServiceHandler
	senders chan string
}

func (e exchangeRecorder) Exchange(_ context.Context, req *connect.Request[persimwire.ExchangeRequest]) (*connect.Response[persimwire.ExchangeResponse], error) {
	e.senders <- req.Msg.GetFrom()
	return connect.NewResponse(&persimwire.ExchangeResponse{Generation: 7}), nil
}

func newSource(t *testing.T, folder, host string) persimkeys.Source {
	t.Helper()
	files, err := persimkeys.CreateHostCertificate(folder, host, []net.IP{net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	source, err := persimkeys.NewSource(filepath.Join(folder, persimkeys.AuthorityCert), files)
	require.NoError(t, err)
	return source
}

func newAuthority(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, persimkeys.CreateAuthority(folder))
	return folder
}

func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

// serveExchanges serves an exchangeRecorder and returns its address and the senders.
func serveExchanges(t *testing.T, certificates persimkeys.Source) (string, chan string) {
	t.Helper()
	address := freeAddress(t)
	senders := make(chan string, 16)
	mux := http.NewServeMux()
	mux.Handle(persimwire.NewPeerServiceHandler(exchangeRecorder{senders: senders}, connect.WithReadMaxBytes(MaxMessageBytes)))
	server, cleanup := New(certificates)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, address, mux) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-served)
		cleanup()
	})
	return address, senders
}

func exchange(t *testing.T, links Links, address, from string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := links.Client(address).Exchange(ctx, connect.NewRequest(&persimwire.ExchangeRequest{From: from}))
	return err
}

func TestLinkNeedsTheAuthority(t *testing.T) {
	folder := newAuthority(t)
	address, senders := serveExchanges(t, newSource(t, folder, "entry-0"))
	t.Run("same authority", func(t *testing.T) {
		links, cleanup := New(newSource(t, folder, "entry-1"))
		defer cleanup()
		require.NoError(t, exchange(t, links, address, "entry-1"))
		require.Equal(t, "entry-1", <-senders)
	})
	t.Run("other authority", func(t *testing.T) {
		links, cleanup := New(newSource(t, newAuthority(t), "entry-2"))
		defer cleanup()
		require.Error(t, exchange(t, links, address, "entry-2"))
		require.Empty(t, senders)
	})
	t.Run("foreign certificate", func(t *testing.T) {
		other := newAuthority(t)
		files, err := persimkeys.CreateHostCertificate(other, "entry-4", []net.IP{net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		source, err := persimkeys.NewSource(filepath.Join(folder, persimkeys.AuthorityCert), files)
		require.NoError(t, err)
		links, cleanup := New(source)
		defer cleanup()
		require.Error(t, exchange(t, links, address, "entry-4"))
		require.Empty(t, senders)
	})
	t.Run("oversized message", func(t *testing.T) {
		links, cleanup := New(newSource(t, folder, "entry-3"))
		defer cleanup()
		require.Error(t, exchange(t, links, address, strings.Repeat("x", MaxMessageBytes+1)))
		require.Empty(t, senders)
	})
}

// TestLongHeadsAreErrors guards the memory of a host against heads without end of another one.
func TestLongHeadsAreErrors(t *testing.T) {
	for _, size := range []int{0, 2 * maxHeadBytes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			certificates := newSource(t, newAuthority(t), "entry-0")
			address := freeAddress(t)
			var heads atomic.Int64
			server, cleanup := New(certificates)
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan error, 1)
			_, handler := persimwire.NewPeerServiceHandler(exchangeRecorder{senders: make(chan string, 16)})
			go func() {
				served <- server.Serve(ctx, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					heads.Add(int64(len(r.Header.Get("Long"))))
					w.Header().Set("Long", strings.Repeat("x", size))
					handler.ServeHTTP(w, r)
				}))
			}()
			t.Cleanup(func() {
				cancel()
				require.NoError(t, <-served)
				cleanup()
			})
			links, closeLinks := New(certificates)
			defer closeLinks()
			require.Equal(t, size > 0, exchange(t, links, address, "entry-1") != nil, "head of a response")
			call := connect.NewRequest(&persimwire.ExchangeRequest{From: "entry-1"})
			call.Header().Set("Long", strings.Repeat("x", size))
			callCtx, cancelCall := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancelCall()
			_, err := links.Client(address).Exchange(callCtx, call)
			require.Equal(t, size > 0, err != nil)
			require.Zero(t, heads.Load(), "head of a request")
		})
	}
}

func TestReloadedCertificatesAreUsed(t *testing.T) {
	folder := newAuthority(t)
	source := newSource(t, folder, "entry-0")
	changed, err := source.Reload()
	require.NoError(t, err)
	require.False(t, changed)
	time.Sleep(10 * time.Millisecond)
	_, err = persimkeys.CreateHostCertificate(folder, "entry-0", []net.IP{net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	changed, err = source.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	address, senders := serveExchanges(t, source)
	links, cleanup := New(newSource(t, folder, "entry-1"))
	defer cleanup()
	require.NoError(t, exchange(t, links, address, "entry-1"))
	require.Equal(t, "entry-1", <-senders)
}
