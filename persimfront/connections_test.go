package persimfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

const (
	testIdleTimeout   = 300 * time.Millisecond
	testHeaderTimeout = 150 * time.Millisecond
)

// serveWithLimits serves a front whose configuration limits connections and header
// size, and returns its address.
func serveWithLimits(t *testing.T) string {
	t.Helper()
	upstream := newFakeUpstream(t, "w1", respondOK())
	h := newHarness(t, upstream)
	h.setLimits(persimcatalog.Limits{BodyBytes: 1 << 20, HeaderBytes: 2000, HeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	go func() { _ = h.front.Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// closesWithin reports whether the other side closes the connection within a limit.
func closesWithin(t *testing.T, conn net.Conn, limit time.Duration) bool {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	_, err := io.Copy(io.Discard, conn)
	return err == nil
}

func TestConnectionsKeepToLimits(t *testing.T) {
	request := requestHead("GET", "/safe/") + "\r\n"
	tests := map[string]struct {
		send         string
		closedWithin time.Duration
		openFor      time.Duration
	}{
		"idle from the start":   {send: "", closedWithin: 2 * testIdleTimeout, openFor: testIdleTimeout / 2},
		"idle after a response": {send: request, closedWithin: 2 * testIdleTimeout, openFor: testIdleTimeout / 2},
		"slow header":           {send: request[:20], closedWithin: testIdleTimeout, openFor: testHeaderTimeout / 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", serveWithLimits(t))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, tt.send)
			require.NoError(t, err)
			require.False(t, closesWithin(t, conn, tt.openFor))
			require.True(t, closesWithin(t, conn, tt.closedWithin))
		})
	}
}

func TestLargeHeadsAreRefused(t *testing.T) {
	for size, status := range map[int]string{1000: "200", 3000: "431"} {
		t.Run(status, func(t *testing.T) {
			conn, err := net.Dial("tcp4", serveWithLimits(t))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, requestHead("GET", "/safe/")+"X-Long: "+strings.Repeat("x", size)+"\r\n\r\n")
			require.NoError(t, err)
			statusLine := make([]byte, 12)
			_, err = io.ReadFull(conn, statusLine)
			require.NoError(t, err)
			require.Equal(t, "HTTP/1.1 "+status, string(statusLine))
		})
	}
}

// TestRequestsOnIdleConnectionsAreServed covers requests that come near the end of the idle
// timeout.
func TestRequestsOnIdleConnectionsAreServed(t *testing.T) {
	request := requestHead("GET", "/safe/") + "\r\n"
	tests := map[string]struct {
		// raiseTo is the idle timeout of a configuration that is applied while the
		// connection is idle; zero means that there is none.
		raiseTo time.Duration
		// pieces are sent one after the other, each after a pause.
		pieces []string
		pause  time.Duration
	}{
		"idle timeout raised meanwhile":         {raiseTo: 10 * testIdleTimeout, pieces: []string{request}, pause: 2 * testIdleTimeout},
		"header begins before the idle timeout": {pieces: []string{request[:20], request[20:]}, pause: testIdleTimeout - testHeaderTimeout/2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newFakeUpstream(t, "w1", respondOK()))
			limits := persimcatalog.Limits{IdleTimeout: testIdleTimeout, HeaderTimeout: 2 * testIdleTimeout}
			h.setLimits(limits)
			conn := serveWrapped(t, h, func(conn net.Conn) net.Conn { return conn })
			reader := bufio.NewReader(conn)
			requireAnswer(t, conn, reader, request, http.StatusOK)
			if tt.raiseTo > 0 {
				time.Sleep(testIdleTimeout / 4)
				limits.IdleTimeout = tt.raiseTo
				h.setLimits(limits)
			}
			for _, piece := range tt.pieces {
				time.Sleep(tt.pause)
				_, err := io.WriteString(conn, piece)
				require.NoError(t, err)
			}
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}

func TestSlowHeaderOnAnOpenConnectionEndsIt(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "w1", respondOK()))
	h.setLimits(persimcatalog.Limits{IdleTimeout: time.Minute, HeaderTimeout: testHeaderTimeout})
	conn := serveWrapped(t, h, func(conn net.Conn) net.Conn { return conn })
	requireAnswer(t, conn, bufio.NewReader(conn), requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	_, err := io.WriteString(conn, "GET /safe/")
	require.NoError(t, err)
	require.False(t, closesWithin(t, conn, testHeaderTimeout/2))
	require.True(t, closesWithin(t, conn, 2*testHeaderTimeout))
}

// TestUnreadRequestKeepsItsConnection covers a host that comes to read a request only after
// the idle timeout has passed.
func TestUnreadRequestKeepsItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, "GET")
	require.NoError(t, err)
	time.Sleep(10 * time.Millisecond)
	accepted, err := callerListener{Listener: listener, conns: newCallerConns(func() persimcatalog.Limits {
		return persimcatalog.Limits{IdleTimeout: testHeaderTimeout, HeaderTimeout: time.Minute}
	})}.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	time.Sleep(2 * testHeaderTimeout)
	n, err := accepted.Read(make([]byte, 8))
	require.NoError(t, err)
	require.Equal(t, 3, n)
}
