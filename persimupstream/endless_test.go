package persimupstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxEndlessBytes is what an upstream can write before its connection is closed: the limit on a
// head or an event and the buffers of both sockets. A body may have maxBodyBytes more, in chunks
// that are twice as long.
const (
	maxEndlessBytes     = 8 << 20
	maxEndlessBodyBytes = maxEndlessBytes + 2*maxBodyBytes
)

// serveEndless writes a prefix and then repeats a part until the caller closes the connection. It
// returns the address and the number of bytes written.
func serveEndless(t *testing.T, prefix, repeated string) (string, *atomic.Int64) {
	t.Helper()
	var written atomic.Int64
	block := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
	address := serveRaw(t, func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, prefix)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, block)
			written.Add(int64(n))
		}
		return false
	})
	return address, &written
}

// TestEndlessResponsesAreErrors guards the memory of a host against upstreams that never end a
// head, a body or an event.
func TestEndlessResponsesAreErrors(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	events := head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		prefix, repeated string
		limit            int64
	}{
		"header line":       {head + "A: ", "x", maxEndlessBytes},
		"short lines":       {head, "A: b\r\n", maxEndlessBytes},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", maxEndlessBytes},
		"no response":       {"", "x", maxEndlessBytes},
		"body":              {events, "200\r\n" + strings.Repeat("0", 512) + "\r\n", maxEndlessBodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			for call, send := range map[string]func(address string) error{
				"service": func(address string) error {
					service, cleanup := NewService()
					defer cleanup()
					_, err := service.Do(t.Context(), address, Call{Method: "m"})
					return err
				},
				"load": func(address string) error {
					engine, cleanup := NewEngine()
					defer cleanup()
					_, err := engine.Load(t.Context(), address)
					return err
				},
				"events": func(address string) error {
					engine, cleanup := NewEngine(WithFirstTokenTimeout(time.Minute))
					defer cleanup()
					_, err := engine.Generate(t.Context(), address, CompletionRequest{}, func(int, string) error { return nil })
					return err
				},
			} {
				address, written := serveEndless(t, test.prefix, test.repeated)
				require.Error(t, send(address), call)
				time.Sleep(10 * time.Millisecond)
				require.Less(t, written.Load(), test.limit, call)
				t.Logf("%s: %d KB", call, written.Load()>>10)
			}
		})
	}
}
