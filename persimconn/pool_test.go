package persimconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve answers the requests on each connection with the given responses in turn and
// closes the connection after the last one.
func serve(t *testing.T, responses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn, responses)
		}
	}()
	return listener.Addr().String()
}

func respond(conn net.Conn, responses []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, text := range responses {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, text)
	}
}

func newRequest(address string, body string) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Opaque: "/"}, Host: "h",
		Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
		ProtoMajor: 1, ProtoMinor: 1,
	}
}

// exchange sends one request and returns the body of its response and whether the
// connection was reused.
func exchange(t *testing.T, p Pool, address string) (string, bool) {
	t.Helper()
	conn, err := p.Get(t.Context(), address)
	require.NoError(t, err)
	e, err := Send(t.Context(), conn, newRequest(address, "x"))
	require.NoError(t, err)
	body, err := io.ReadAll(e)
	require.NoError(t, err)
	e.Finish()
	return string(body), conn.Reused()
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionIsReused(t *testing.T) {
	p, cleanup := New()
	defer cleanup()
	address := serve(t, okResponse, okResponse)
	_, reused := exchange(t, p, address)
	require.False(t, reused)
	_, reused = exchange(t, p, address)
	require.True(t, reused)
}

func TestConnectionIsNotReused(t *testing.T) {
	for name, first := range map[string]string{
		"after close":       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"without length":    "HTTP/1.1 200 OK\r\n\r\nok",
		"with excess bytes": okResponse + "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p, cleanup := New()
			defer cleanup()
			address := serve(t, first)
			_, _ = exchange(t, p, address)
			time.Sleep(20 * time.Millisecond)
			conn, err := p.Get(t.Context(), address)
			require.NoError(t, err)
			require.False(t, conn.Reused())
			_ = conn.Close()
		})
	}
}

func TestConnectionClosedByUpstreamIsNotReused(t *testing.T) {
	p, cleanup := New()
	defer cleanup()
	address := serve(t, okResponse)
	_, _ = exchange(t, p, address)
	time.Sleep(20 * time.Millisecond)
	_, reused := exchange(t, p, address)
	require.False(t, reused)
}

func TestUnsolicitedBytesInvalidateIdleConnection(t *testing.T) {
	p, cleanup := New()
	defer cleanup()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, okResponse)
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(conn, okResponse)
	}()
	address := listener.Addr().String()
	_, _ = exchange(t, p, address)
	time.Sleep(40 * time.Millisecond)
	p.Sweep()
	conn, err := p.Get(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.False(t, conn.Reused())
}

func TestKeepAliveTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{"": 0, "timeout=3": 3 * time.Second, "max=5, Timeout=2": 2 * time.Second, "timeout=x": 0} {
		require.Equal(t, want, keepAliveTimeout(http.Header{"Keep-Alive": {value}}), value)
	}
	p, cleanup := New()
	defer cleanup()
	address := serve(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", okResponse)
	_, _ = exchange(t, p, address)
	time.Sleep(600 * time.Millisecond)
	_, reused := exchange(t, p, address)
	require.False(t, reused, "kept for half of the Keep-Alive timeout")
}

func TestContextEndClosesConnection(t *testing.T) {
	p, cleanup := New()
	defer cleanup()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	conn, err := p.Get(ctx, listener.Addr().String())
	require.NoError(t, err)
	_, err = Send(ctx, conn, newRequest(listener.Addr().String(), "x"))
	require.ErrorIs(t, err, ErrUnknown)
	t.Run("sends nothing after the end", func(t *testing.T) {
		conn, err := p.Get(t.Context(), listener.Addr().String())
		require.NoError(t, err)
		_, err = Send(ctx, conn, newRequest(listener.Addr().String(), "x"))
		require.ErrorIs(t, err, ErrNotSent)
	})
}

func TestEarlyResponseToLongBody(t *testing.T) {
	p, cleanup := New()
	defer cleanup()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 100))
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
	}()
	address := listener.Addr().String()
	conn, err := p.Get(t.Context(), address)
	require.NoError(t, err)
	e, err := Send(t.Context(), conn, newRequest(address, strings.Repeat("x", 8<<20)))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, e.Response.StatusCode)
	e.Finish()
	next, err := p.Get(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = next.Close() }()
	require.False(t, next.Reused(), "the rest of the body would be parsed as a request")
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	p, cleanup := New()
	defer cleanup()
	body, _ := exchange(t, p, serve(t, "HTTP/1.1 100 Continue\r\n\r\n"+okResponse))
	require.Equal(t, "ok", body)
}
