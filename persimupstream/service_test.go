package persimupstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// serveRaw serves requests on connections that stay open; respond writes the bytes of a
// response.
func serveRaw(t *testing.T, respond func(conn net.Conn, req *http.Request) bool) string {
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
			go serveRawConn(conn, respond)
		}
	}()
	return listener.Addr().String()
}

func serveRawConn(conn net.Conn, respond func(conn net.Conn, req *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !respond(conn, req) {
			return
		}
	}
}

// refusalOf returns a refusal, with the id of the request if the upstream repeats ids.
func refusalOf(req *http.Request, repeatsIDs bool) string {
	id := ""
	if repeatsIDs {
		id = HeaderAttempt + ": " + req.Header.Get(HeaderAttempt) + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + HeaderNotRun + ": true\r\n" + id + "Content-Length: 0\r\n\r\n"
}

// TestRefusalThatIsRepeatedDoesNotMeanNotRun guards against a call that runs twice, or that
// its caller is told has not run, since a faulty upstream wrote an earlier refusal again.
func TestRefusalThatIsRepeatedDoesNotMeanNotRun(t *testing.T) {
	for name, repeatsIDs := range map[string]bool{"upstream repeats ids": true, "upstream repeats no ids": false} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			refusal := ""
			address := serveRaw(t, func(conn net.Conn, req *http.Request) bool {
				if requests.Add(1) == 1 {
					refusal = refusalOf(req, repeatsIDs)
				}
				_, err := io.WriteString(conn, refusal)
				return err == nil
			})
			s, cleanup := NewService()
			defer cleanup()
			_, err := s.Do(context.Background(), address, Call{Method: "m"})
			require.ErrorIs(t, err, ErrNotRun)
			_, err = s.Do(context.Background(), address, Call{Method: "m"})
			require.ErrorIs(t, err, ErrBroken)
			require.Equal(t, int64(2), requests.Load())
		})
	}
}

// TestResponseThatEndsInsideItsHeadIsBroken guards against an empty result that looks whole.
func TestResponseThatEndsInsideItsHeadIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"
	var cut atomic.Int64
	address := serveRaw(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, head[:cut.Load()])
		return false
	})
	s, cleanup := NewService()
	defer cleanup()
	for ; cut.Load() <= int64(len(head)); cut.Add(1) {
		_, err := s.Do(context.Background(), address, Call{Method: "m"})
		require.ErrorIs(t, err, ErrBroken, "%d bytes", cut.Load())
	}
}
