package persimfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// respondEndless returns a handler that writes a response that never ends, until the
// caller closes the connection. It adds the bytes written to a counter.
func respondEndless(written *atomic.Int64, rest, repeated string) func(net.Conn, *http.Request, []byte) bool {
	block := strings.Repeat(repeated, 1+(16<<10)/len(repeated))
	return func(conn net.Conn, req *http.Request, body []byte) bool {
		respondWith("200 OK", rest, true)(conn, req, body)
		for {
			n, err := io.WriteString(conn, block)
			written.Add(int64(n))
			if err != nil {
				return false
			}
		}
	}
}

// maxEndlessBytes is what an upstream can write before its connection is closed: the
// limits of the front and the buffers of both sockets.
const maxEndlessBytes = 16 << 20

func endlessChunk() string { return chunk(strings.Repeat("x", 4<<10)) }

func TestEndlessResponses(t *testing.T) {
	tests := map[string]struct {
		rest, repeated string
		// statuses holds the status by path; zero is a connection that is closed.
		statuses map[string]int
	}{
		"header line": {"A: ", "x", map[string]int{"/safe/": 200, "/unsafe/": 502, "/stream/": 502, "/resumed/": 200}},
		"headers":     {"", "A: b\r\n", map[string]int{"/safe/": 200, "/unsafe/": 502, "/stream/": 502, "/resumed/": 200}},
		"event":       {streamHeader, endlessChunk(), map[string]int{"/stream/": 502}},
		"late event":  {streamHeader + chunk(event(1)), endlessChunk(), map[string]int{"/stream/": 0}},
		"body after a rejection": {
			"X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", endlessChunk(),
			map[string]int{"/safe/": 200, "/unsafe/": 200, "/resumed/": 200},
		},
	}
	for name, test := range tests {
		for path, status := range test.statuses {
			t.Run(name+path, func(t *testing.T) {
				var written atomic.Int64
				first := newFakeUpstream(t, "w1", respondEndless(&written, test.rest, test.repeated))
				second := newFakeUpstream(t, "w2", respondOK())
				h := newHarness(t, first)
				resp, _, err := h.getPreferringFirst(t, path, first, second)
				if status == 0 {
					require.Error(t, err, "a stream that broke off looks complete")
				} else {
					require.NoError(t, err)
					require.Equal(t, status, resp.StatusCode)
				}
				require.Less(t, written.Load(), int64(maxEndlessBytes))
			})
		}
	}
}

func TestResumableStreamGoesOnAfterAnEndlessEvent(t *testing.T) {
	var written atomic.Int64
	first := newFakeUpstream(t, "w1", respondEndless(&written, streamHeader+chunk(event(1)), endlessChunk()))
	h := newHarness(t)
	_, body, err := h.getPreferringFirst(t, "/resumed/", first, newFakeUpstream(t, "w2", streamEvents(5, 5)))
	require.NoError(t, err)
	require.Equal(t, allEvents(5), body)
}

// TestManyEndlessResponsesNeedLittleMemory guards the smallest machines, which have
// less than 200 MB.
func TestManyEndlessResponsesNeedLittleMemory(t *testing.T) {
	const (
		callers        = 100
		maxMemoryBytes = 64 << 20
	)
	for name, rest := range map[string]string{"head": "A: ", "event": streamHeader + "fffffff\r\n", "body": signatureHeader + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			h := newHarness(t, newFakeUpstream(t, "w1", respondEndless(&written, rest, "x")))
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for range callers {
				conn := h.dial(t)
				_, err := io.WriteString(conn, requestHead("POST", "/stream/")+"Content-Length: 0\r\n\r\n")
				require.NoError(t, err)
				wg.Go(func() { _, _ = bufio.NewReader(conn).ReadByte() })
			}
			largest := uint64(0)
			for range 10 {
				time.Sleep(50 * time.Millisecond)
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				largest = max(largest, now.HeapInuse)
			}
			wg.Wait()
			require.Less(t, largest, before.HeapInuse+maxMemoryBytes)
		})
	}
}

func TestCallerThatReadsNothingDoesNotHoldALongResponse(t *testing.T) {
	var written atomic.Int64
	h := newHarness(t, newFakeUpstream(t, "w1", respondEndless(&written, signatureHeader+"\r\n", "x")))
	conn := h.dial(t)
	_, err := io.WriteString(conn, requestHead("POST", "/unsafe/")+"Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	const routeTimeout = time.Second
	require.Eventually(t, func() bool { return h.front.InFlight() == 1 }, routeTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return h.front.InFlight() == 0 }, 3*routeTimeout, 10*time.Millisecond)
}

// TestManyHeadsOfShortLinesNeedLittleMemory guards the smallest machines against heads of responses
// within the limit whose lines take many times their size once they are parsed.
func TestManyHeadsOfShortLinesNeedLittleMemory(t *testing.T) {
	const (
		callers        = 100
		maxMemoryBytes = 64 << 20
	)
	for _, lines := range []int{500, 9000} {
		t.Run(fmt.Sprint(lines), func(t *testing.T) {
			head := uniqueLines(lines)
			respond := func(conn net.Conn, req *http.Request, body []byte) bool {
				respondWith("200 OK", head, true)(conn, req, body)
				_, _ = io.Copy(io.Discard, conn)
				return false
			}
			memory := []Option{WithBodyMemory(maxMemoryBytes / 2), WithSpareMemory(maxMemoryBytes / 8)}
			h := newHarnessWith(t, memory, newFakeUpstream(t, "w1", respond))
			before := heapBytes()
			for range callers {
				conn := h.dial(t)
				_, err := io.WriteString(conn, requestHead("POST", "/stream/")+"Content-Length: 0\r\n\r\n")
				require.NoError(t, err)
			}
			for range 5 {
				time.Sleep(100 * time.Millisecond)
				took := heapBytes() - before
				t.Logf("%d requests in progress, %d KB", h.front.InFlight(), took>>10)
				require.Less(t, took, int64(maxMemoryBytes))
			}
		})
	}
}
