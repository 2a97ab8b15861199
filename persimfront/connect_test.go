package persimfront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimconn"
)

// hookedPool calls a function once, after it has connected to an address.
type hookedPool struct {
	persimconn.Pool
	address string
	once    sync.Once
	hook    func()
}

func (p *hookedPool) Get(ctx context.Context, address string) (*persimconn.Conn, error) {
	conn, err := p.Pool.Get(ctx, address)
	if address == p.address {
		p.once.Do(p.hook)
	}
	return conn, err
}

// hookConnect calls a function as the host has connected to an upstream for the first time.
func (h *harness) hookConnect(t *testing.T, upstream *fakeUpstream, hook func()) {
	t.Helper()
	f, ok := h.front.(*front)
	require.True(t, ok)
	f.pool = &hookedPool{Pool: f.pool, address: upstream.listener.Addr().String(), hook: hook}
}

// setOnly replaces the upstreams.
func (h *harness) setOnly(upstreams ...persimcatalog.Upstream) {
	h.front.SetUpstreams(map[string][]persimcatalog.Upstream{"s": upstreams})
}

// TestUpstreamThatLeavesWhileTheHostConnectsGetsNoRequest guards against requests that reached
// an upstream later than it may get any, since its host learned of the leaving after the
// choice: the list was current again as the connection stood.
func TestUpstreamThatLeavesWhileTheHostConnectsGetsNoRequest(t *testing.T) {
	changes := map[string]func(leaving, staying persimcatalog.Upstream) []persimcatalog.Upstream{
		"leaving": func(leaving, staying persimcatalog.Upstream) []persimcatalog.Upstream {
			return []persimcatalog.Upstream{leaving.WithLeaving(), staying}
		},
		"missing": func(_, staying persimcatalog.Upstream) []persimcatalog.Upstream {
			return []persimcatalog.Upstream{staying}
		},
		"started anew": func(leaving, staying persimcatalog.Upstream) []persimcatalog.Upstream {
			leaving.Born++
			return []persimcatalog.Upstream{leaving.WithLeaving(), staying}
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			leaves, stays := newFakeUpstream(t, "w1", respondOK()), newFakeUpstream(t, "w2", respondOK())
			h := newHarness(t, leaves)
			h.hookConnect(t, leaves, func() {
				h.setOnly(change(leaves.catalogueUpstream("s"), stays.catalogueUpstream("s"))...)
			})
			resp, _, err := h.get(t, "POST", "/unsafe/", "Content-Length: 0\r\n")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Empty(t, leaves.requests())
			require.Len(t, stays.requests(), 1)
		})
	}
}

// TestStreamIsNotResumedByAnOldList covers the other way to an upstream: a stream that goes
// on at the next one.
func TestStreamIsNotResumedByAnOldList(t *testing.T) {
	breaks := newFakeUpstream(t, "w1", respondWith("200 OK", streamHeader+chunk(event(1)), false))
	tests := map[string]struct {
		hook func(h *harness, next, last *fakeUpstream)
		// sent is the number of requests at the last upstream.
		sent int
	}{
		"the next upstream leaves": {func(h *harness, next, last *fakeUpstream) {
			h.setOnly(next.catalogueUpstream("s").WithLeaving(), last.catalogueUpstream("s"))
		}, 1},
		"the list is old": {func(h *harness, _, last *fakeUpstream) {
			h.setOnly(last.catalogueUpstream("s"))
			f, _ := h.front.(*front)
			f.bounds.UpstreamDrain = 2 * time.Second
			f.ConfirmUpstreams(persimclock.Now().Add(-time.Minute))
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			resumed := func(conn net.Conn, req *http.Request, body []byte) bool {
				return respondWith("200 OK", streamHeader+chunk(event(2))+"0\r\n\r\n", true)(conn, req, body)
			}
			next, last := newFakeUpstream(t, "w2", resumed), newFakeUpstream(t, "w3", resumed)
			h := newHarness(t, breaks)
			h.hookConnect(t, breaks, func() { h.setOnly(breaks.catalogueUpstream("s"), next.catalogueUpstream("s")) })
			f, ok := h.front.(*front)
			require.True(t, ok)
			f.pool = &hookedPool{Pool: f.pool, address: next.listener.Addr().String(), hook: func() { test.hook(h, next, last) }}
			_, _, err := h.get(t, "POST", "/resumed/", "Content-Length: 0\r\n")
			require.Equal(t, test.sent == 0, err != nil)
			require.Empty(t, next.requests())
			require.Len(t, last.requests(), test.sent)
		})
	}
}
