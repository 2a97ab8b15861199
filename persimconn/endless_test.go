package persimconn

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

// serveEndless answers the first request on each connection with a prefix and then
// repeats a part until the caller closes the connection.
func serveEndless(t *testing.T, prefix, repeated string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	block := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, prefix)
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// endlessTimeout is far above the time in which the limits are reached.
const endlessTimeout = 5 * time.Second

func TestEndlessHeadIsAnError(t *testing.T) {
	for name, test := range map[string]struct{ prefix, repeated string }{
		"one header line":   {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"status line":       {"HTTP/1.1 200 ", "x"},
		"short lines":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"no HTTP":           {"", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			p, cleanup := New()
			defer cleanup()
			address := serveEndless(t, test.prefix, test.repeated)
			conn, err := p.Get(t.Context(), address)
			require.NoError(t, err)
			require.NoError(t, conn.SetDeadline(time.Now().Add(endlessTimeout)))
			counter := &countingConn{Conn: conn.head.from}
			conn.head.from = counter
			began := time.Now()
			_, err = Send(t.Context(), conn, newRequest(address, "x"))
			require.ErrorIs(t, err, ErrUnknown)
			require.Less(t, time.Since(began), endlessTimeout)
			require.LessOrEqual(t, counter.read, maxHeadBytes+bufferSize)
		})
	}
}

// countingConn counts the bytes read.
type countingConn struct {
	net.Conn
	read int
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

func TestEndlessChunkMetadataIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct{ prefix, repeated string }{
		"chunk size":      {head, "0"},
		"chunk extension": {head + "1;a=", "x"},
		"trailer line":    {head + "0\r\nA: ", "x"},
		"trailers":        {head + "0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p, cleanup := New()
			defer cleanup()
			address := serveEndless(t, test.prefix, test.repeated)
			conn, err := p.Get(t.Context(), address)
			require.NoError(t, err)
			require.NoError(t, conn.SetDeadline(time.Now().Add(endlessTimeout)))
			began := time.Now()
			e, err := Send(t.Context(), conn, newRequest(address, "x"))
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, e)
			require.ErrorIs(t, err, ErrUnknown)
			require.Less(t, time.Since(began), endlessTimeout)
			e.Abandon()
		})
	}
}

func TestHeadLimitDoesNotCountEarlierResponses(t *testing.T) {
	p, cleanup := New()
	defer cleanup()
	long := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxHeadBytes-bufferSize) + "\r\nContent-Length: 2\r\n\r\nok"
	address := serve(t, long, long, long)
	for i := range 3 {
		body, reused := exchange(t, p, address)
		require.Equal(t, "ok", body)
		require.Equal(t, i > 0, reused)
	}
}

func TestDiscardReleasesOnlyWholeResponses(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		repeated string
		reused   bool
	}{
		"short body":   {response: okResponse, reused: true},
		"long body":    {response: "HTTP/1.1 421 Misdirected\r\nContent-Length: 10000000\r\n\r\n", repeated: "x"},
		"endless body": {response: "HTTP/1.1 421 Misdirected\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n"},
		"silent body":  {response: "HTTP/1.1 421 Misdirected\r\nContent-Length: 10\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p, cleanup := New()
			defer cleanup()
			address := serveKeepingOpen(t, test.response)
			if test.repeated != "" {
				address = serveEndless(t, test.response, test.repeated)
			}
			conn, err := p.Get(t.Context(), address)
			require.NoError(t, err)
			e, err := Send(t.Context(), conn, newRequest(address, "x"))
			require.NoError(t, err)
			began := time.Now()
			require.Equal(t, test.reused, e.Discard() == nil)
			require.Less(t, time.Since(began), time.Second)
			next, err := p.Get(t.Context(), address)
			require.NoError(t, err)
			require.Equal(t, test.reused, next.Reused())
			_ = next.Close()
		})
	}
}

// serveKeepingOpen answers every request with the same bytes and closes no connection.
func serveKeepingOpen(t *testing.T, response string) string {
	t.Helper()
	responses := make([]string, 100)
	for i := range responses {
		responses[i] = response
	}
	return serve(t, responses...)
}
