package persimfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// wrappingListener returns connections that the test has wrapped.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// serveWrapped serves the front of a harness on connections that the test has wrapped and
// returns a connection of a caller.
func serveWrapped(t *testing.T, h *harness, wrap func(net.Conn) net.Conn) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	go func() { _ = h.front.Serve(server, wrappingListener{listener, wrap}) }()
	t.Cleanup(func() { _ = server.Close() })
	h.address = listener.Addr().String()
	return h.dial(t)
}

// requireAnswer sends a request on a caller's connection and requires a complete answer
// with a status.
func requireAnswer(t *testing.T, conn net.Conn, reader *bufio.Reader, request string, status int) {
	t.Helper()
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode)
}

// quickConn shortens the time until a write deadline, so that a test need not wait for it.
type quickConn struct {
	net.Conn
	shorten time.Duration
}

func (c quickConn) SetWriteDeadline(at time.Time) error {
	if !at.IsZero() {
		at = at.Add(-c.shorten)
	}
	return c.Conn.SetWriteDeadline(at)
}

// TestAnswerIsNotLostToTheWriteDeadlineOfAnEarlierStream guards against answers that were
// dropped because the connection had carried a stream some seconds before.
func TestAnswerIsNotLostToTheWriteDeadlineOfAnEarlierStream(t *testing.T) {
	const streamDeadline = 200 * time.Millisecond
	tests := map[string]struct {
		path   string
		status int
	}{
		"answer of an upstream": {path: "/safe/", status: http.StatusOK},
		"refusal":               {path: "/nowhere/", status: http.StatusNotFound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newFakeUpstream(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
				if strings.HasPrefix(req.URL.Path, "/stream/") {
					return streamEvents(3, 3)(conn, req, body)
				}
				return respondOK()(conn, req, body)
			}))
			caller := serveWrapped(t, h, func(conn net.Conn) net.Conn {
				return quickConn{Conn: conn, shorten: writeTimeout - streamDeadline}
			})
			reader := bufio.NewReader(caller)
			requireAnswer(t, caller, reader, requestHead("POST", "/stream/")+"Content-Length: 0\r\n\r\n", http.StatusOK)
			time.Sleep(2 * streamDeadline)
			requireAnswer(t, caller, reader, requestHead("GET", tt.path)+"\r\n", tt.status)
		})
	}
}

// slowCloseConn calls beforeClose before it is closed for the first time.
type slowCloseConn struct {
	net.Conn
	once        sync.Once
	beforeClose func()
}

func (c *slowCloseConn) Close() error {
	c.once.Do(c.beforeClose)
	return c.Conn.Close()
}

// TestRequestIsNotForwardedOnAConnectionThatIsBeingClosed guards against a whole request
// that runs and gets no answer because the host closes its connection meanwhile.
func TestRequestIsNotForwardedOnAConnectionThatIsBeingClosed(t *testing.T) {
	tests := map[string]struct {
		idleTimeout time.Duration
		// begin starts what closes the connection.
		begin func(f Front)
	}{
		"idle for too long": {idleTimeout: testIdleTimeout, begin: func(Front) {}},
		"planned stop":      {idleTimeout: time.Minute, begin: func(f Front) { _ = f.Drain(context.Background()) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			upstream := newFakeUpstream(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
				time.Sleep(100 * time.Millisecond)
				return respondOK()(conn, req, body)
			})
			h := newHarness(t, upstream)
			h.setLimits(persimcatalog.Limits{IdleTimeout: tt.idleTimeout})
			closing, proceed := make(chan struct{}), make(chan struct{})
			caller := serveWrapped(t, h, func(conn net.Conn) net.Conn {
				return &slowCloseConn{Conn: conn, beforeClose: func() {
					close(closing)
					<-proceed
				}}
			})
			reader := bufio.NewReader(caller)
			requireAnswer(t, caller, reader, requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
			time.Sleep(50 * time.Millisecond)
			go tt.begin(h.front)
			<-closing
			_, err := io.WriteString(caller, requestHead("GET", "/safe/")+"\r\n")
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			close(proceed)
			_, err = http.ReadResponse(reader, nil)
			if err != nil {
				require.Len(t, upstream.requests(), 1, "a request ran and its connection ended without an answer")
			}
		})
	}
}

// TestRequestWhoseHeaderEndsAtTheTimeoutIsNotForwarded guards against a request that runs and
// gets no answer because the header timeout passes just before the request is handled.
func TestRequestWhoseHeaderEndsAtTheTimeoutIsNotForwarded(t *testing.T) {
	upstream := newFakeUpstream(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
		time.Sleep(100 * time.Millisecond)
		return respondOK()(conn, req, body)
	})
	h := newHarness(t, upstream)
	closing, proceed := make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	slowClose := wrappingListener{listener, func(conn net.Conn) net.Conn {
		return &slowCloseConn{Conn: conn, beforeClose: func() {
			close(closing)
			<-proceed
		}}
	}}
	late := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-closing
		h.front.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: late, ConnContext: withConn, ReadHeaderTimeout: time.Minute}
	conns := newCallerConns(func() persimcatalog.Limits {
		return persimcatalog.Limits{IdleTimeout: time.Minute, HeaderTimeout: testHeaderTimeout}
	})
	go func() { _ = server.Serve(callerListener{Listener: slowClose, conns: conns}) }()
	t.Cleanup(func() { _ = server.Close() })
	h.address = listener.Addr().String()
	caller := h.dial(t)
	_, err = io.WriteString(caller, requestHead("GET", "/safe/")+"\r\n")
	require.NoError(t, err)
	<-closing
	time.Sleep(50 * time.Millisecond)
	close(proceed)
	_, err = http.ReadResponse(bufio.NewReader(caller), nil)
	require.Error(t, err)
	require.Empty(t, upstream.requests(), "a request ran and its connection ended without an answer")
}
