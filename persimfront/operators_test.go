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
)

// serveOperators serves a handler that answers 200 and returns the front and a function that
// opens connections to it, of which there may be maxOpen.
func serveOperators(t *testing.T, maxOpen int) (*front, func() net.Conn) {
	t.Helper()
	f, ok := New(WithBounds(testBounds), WithMaxOperatorConnections(maxOpen)).(*front)
	require.True(t, ok)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{MaxHeaderBytes: 8 << 10, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})}
	go func() { _ = f.ServeOperators(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return f, func() net.Conn {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(evictionTimeout)))
		return conn
	}
}

// TestOperatorServerBoundsItsInput guards against input on the ports for readiness checks and
// metrics that takes memory without a bound.
func TestOperatorServerBoundsItsInput(t *testing.T) {
	const head = "GET /ready HTTP/1.1\r\nHost: h\r\n"
	for name, tt := range map[string]struct {
		request string
		status  int
	}{
		"plain":          {head + "\r\n", http.StatusOK},
		"body":           {head + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1000), http.StatusRequestEntityTooLarge},
		"body in chunks": {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("x"), http.StatusRequestEntityTooLarge},
		"long head":      {head + uniqueLines(4000), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			f, dial := serveOperators(t, 4)
			conn := dial()
			_, err := io.WriteString(conn, tt.request)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode)
			require.NoError(t, conn.Close())
			require.Eventually(t, func() bool { return f.memory.heldBytes() == 0 }, time.Second, time.Millisecond)
		})
	}
}

// TestReadinessIsAnsweredBesideSilentConnections guards against connections to the readiness
// port that use up its share of the descriptors.
func TestReadinessIsAnsweredBesideSilentConnections(t *testing.T) {
	const maxOpen = 4
	_, dial := serveOperators(t, maxOpen)
	var silent []net.Conn
	for range maxOpen {
		silent = append(silent, dial())
	}
	time.Sleep(2 * minIdleAge)
	conn := dial()
	requireAnswer(t, conn, bufio.NewReader(conn), "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK)
	require.True(t, closesWithin(t, silent[0], time.Second))
}
