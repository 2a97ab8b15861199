package persimfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

func unwrapped(conn net.Conn) net.Conn { return conn }

// beginDrain starts a drain as a planned stop does and returns a channel for its result.
func beginDrain(h *harness) <-chan error {
	done := make(chan error, 1)
	h.front.DisableKeepAlives()
	go func() { done <- h.front.Drain(context.Background()) }()
	return done
}

// requireDraining waits until a drain has begun.
func requireDraining(t *testing.T, h *harness) {
	t.Helper()
	f, ok := h.front.(*front)
	require.True(t, ok)
	require.Eventually(t, f.callerConns.draining.Load, time.Second, time.Millisecond)
}

// requireDrained requires that a drain has ended within a time.
func requireDrained(t *testing.T, done <-chan error, within time.Duration) {
	t.Helper()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(within):
		require.Fail(t, "the drain goes on")
	}
}

// TestFirstRequestDuringADrainIsAnswered guards against a whole request without an answer on
// a connection that was accepted just before the host stopped accepting.
func TestFirstRequestDuringADrainIsAnswered(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "w1", respondOK()))
	conn := serveWrapped(t, h, unwrapped)
	time.Sleep(20 * time.Millisecond)
	done := beginDrain(h)
	time.Sleep(drainFirstTimeout / 5)
	requireAnswer(t, conn, bufio.NewReader(conn), requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	requireDrained(t, done, time.Second)
}

// TestRequestAfterAStreamThatOutlastsADrainIsAnswered guards against a request without an
// answer on a connection that did not announce its close.
func TestRequestAfterAStreamThatOutlastsADrainIsAnswered(t *testing.T) {
	finish := make(chan struct{})
	h := newHarness(t, newFakeUpstream(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
		if !strings.HasPrefix(req.URL.Path, "/stream/") {
			return respondOK()(conn, req, body)
		}
		respondWith("200 OK", streamHeader+chunk(event(1)), true)(conn, req, body)
		<-finish
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}))
	conn := serveWrapped(t, h, unwrapped)
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, requestHead("POST", "/stream/")+"Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len(event(1))))
	require.NoError(t, err)
	done := beginDrain(h)
	_, err = io.WriteString(conn, requestHead("GET", "/safe/")+"\r\n")
	require.NoError(t, err)
	close(finish)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	requireAnswer(t, conn, reader, "", http.StatusOK)
	requireDrained(t, done, time.Second)
}

// TestLateRequestIsNotCutAtTheEndOfADrain guards against requests that came late during a
// planned stop, were passed on and broken off at its end, among them some that may not be
// repeated.
func TestLateRequestIsNotCutAtTheEndOfADrain(t *testing.T) {
	const grace = time.Second
	tests := map[string]struct {
		request string
		status  int
		sent    int
	}{
		"that may run once":           {requestHead("POST", "/unsafe/") + "Content-Length: 0\r\n\r\n", http.StatusServiceUnavailable, 0},
		"that may be repeated":        {requestHead("GET", "/safe/") + "\r\n", http.StatusServiceUnavailable, 0},
		"for a stream":                {requestHead("POST", "/stream/") + "Content-Length: 0\r\n\r\n", http.StatusServiceUnavailable, 0},
		"whose body comes later":      {requestHead("POST", "/unsafe/") + "Content-Length: 4\r\n\r\n", http.StatusServiceUnavailable, 0},
		"whose caller waits less":     {requestHead("POST", "/unsafe/") + "X-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n", http.StatusOK, 1},
		"whose caller waits too long": {requestHead("POST", "/stream/") + "X-Deadline-Ms: 1900\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			upstream := newFakeUpstream(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
				time.Sleep(50 * time.Millisecond)
				return respondOK()(conn, req, body)
			})
			h := newHarness(t, upstream)
			conn := serveWrapped(t, h, unwrapped)
			time.Sleep(20 * time.Millisecond)
			h.front.DisableKeepAlives()
			ctx, cancel := context.WithTimeout(t.Context(), grace)
			defer cancel()
			go func() { _ = h.front.Drain(ctx) }()
			requireDraining(t, h)
			_, err := io.WriteString(conn, test.request)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, test.status, resp.StatusCode)
			require.True(t, resp.Close, "the connection carries no more requests")
			if test.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
			require.Len(t, upstream.requests(), test.sent)
		})
	}
}

// TestRequestWhoseBodyEndsDuringADrainIsRefused covers a request that came before the drain.
func TestRequestWhoseBodyEndsDuringADrainIsRefused(t *testing.T) {
	upstream := newFakeUpstream(t, "w1", respondOK())
	h := newHarness(t, upstream)
	conn := serveWrapped(t, h, unwrapped)
	_, err := io.WriteString(conn, requestHead("POST", "/unsafe/")+"Content-Length: 4\r\n\r\nab")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.front.InFlight() == 1 }, time.Second, time.Millisecond)
	h.front.DisableKeepAlives()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	go func() { _ = h.front.Drain(ctx) }()
	requireDraining(t, h)
	requireAnswer(t, conn, bufio.NewReader(conn), "cd", http.StatusServiceUnavailable)
	require.Empty(t, upstream.requests())
}

// TestSilentConnectionsDoNotDelayADrain covers connections that have carried no request, or
// that are idle between two.
func TestSilentConnectionsDoNotDelayADrain(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "w1", respondOK()))
	h.setLimits(persimcatalog.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute})
	used := serveWrapped(t, h, unwrapped)
	requireAnswer(t, used, bufio.NewReader(used), requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	_ = h.dial(t)
	time.Sleep(20 * time.Millisecond)
	requireDrained(t, beginDrain(h), 2*drainFirstTimeout)
}

func TestDrainEndsWithItsContext(t *testing.T) {
	silent := make(chan struct{})
	defer close(silent)
	h := newHarness(t, newFakeUpstream(t, "w1", func(net.Conn, *http.Request, []byte) bool {
		<-silent
		return false
	}))
	conn := serveWrapped(t, h, unwrapped)
	_, err := io.WriteString(conn, requestHead("POST", "/stream/")+"Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return h.front.InFlight() == 1 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, h.front.Drain(ctx), context.DeadlineExceeded)
}

// TestRequestThatWasNotSentIsRefusedAfterAnAbort covers requests that come once the host has
// ended those in progress: they did not run and may come back.
func TestRequestThatWasNotSentIsRefusedAfterAnAbort(t *testing.T) {
	upstream := newFakeUpstream(t, "w1", respondOK())
	h := newHarness(t, upstream)
	h.front.AbortRequests()
	resp, _, err := h.get(t, "POST", "/unsafe/", "Content-Length: 0\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, upstream.requests())
}
