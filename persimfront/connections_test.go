package persimfront

import (
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
	h.front.ConfigureServer(server)
	go func() { _ = server.Serve(listener) }()
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
