package persimfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMemoryIsGivenBack plays requests that read bodies and responses of any length at the
// limit of the memory, in virtual time, and end on any way: at most the limit is
// reserved, and nothing stays.
func TestMemoryIsGivenBack(t *testing.T) {
	const limit, requests = 1 << 20, 2000
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			m := &memory{limit: limit}
			now := time.Unix(0, 0)
			var open []*holding
			for range requests {
				now = now.Add(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
				h := &holding{memory: m}
				open = append(open, h)
				for range 1 + random.IntN(3) {
					length := random.IntN(200 << 10)
					body := io.Reader(bytes.NewReader(make([]byte, length)))
					if random.IntN(4) == 0 {
						body = io.MultiReader(io.LimitReader(body, int64(length/2)), iotest.ErrReader(io.ErrUnexpectedEOF))
					}
					size := int64(-1)
					if random.IntN(2) == 0 {
						size = int64(length)
					}
					data, err := h.readAll(body, size, 100<<10)
					if err == nil && size >= 0 {
						require.Len(t, data, length)
					}
				}
				require.LessOrEqual(t, m.heldBytes(), int64(limit))
				if random.IntN(3) > 0 {
					i := random.IntN(len(open))
					open[i].releaseAll()
					open = append(open[:i], open[i+1:]...)
				}
				wait := m.wait(now, 100<<10)
				require.True(t, wait >= 0 && wait <= maxRetryAfter, wait)
			}
			for _, h := range open {
				h.releaseAll()
			}
			require.Zero(t, m.heldBytes())
		})
	}
}

func TestWaitForMemory(t *testing.T) {
	start := time.Unix(0, 0)
	m := &memory{limit: 1000}
	require.Equal(t, minRetryAfter, m.wait(start, 1000), "there is room")
	require.True(t, m.reserve(1000))
	require.Equal(t, maxRetryAfter, m.wait(start, 100), "nothing is released")
	m.release(start, 200)
	require.True(t, m.reserve(200))
	require.Equal(t, releaseWindow/2, m.wait(start, 100))
	require.Equal(t, releaseWindow, m.wait(start.Add(releaseWindow/2), 100), "the rate falls")
}

// requireNothingHeld requires that no memory is held once the requests have ended.
func requireNothingHeld(t *testing.T, h *harness) {
	t.Helper()
	f, ok := h.front.(*front)
	require.True(t, ok)
	require.Eventually(t, func() bool { return f.memory.heldBytes() == 0 && f.InFlight() == 0 }, 3*time.Second, time.Millisecond)
}

// TestNoWayOutKeepsMemory covers the ways on which a request with a body ends.
func TestNoWayOutKeepsMemory(t *testing.T) {
	const long = maxBufferedBytes + 1000
	body := strings.Repeat("x", 100<<10)
	tests := map[string]struct {
		request string
		respond func(net.Conn, *http.Request, []byte) bool
		leave   bool
	}{
		"served":          {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestHead("POST", "/unsafe/"), len(body), body), respondOK(), false},
		"served in parts": {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", requestHead("POST", "/unsafe/"), chunk(body)), respondOK(), false},
		"too large":       {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestHead("POST", "/unsafe/"), 2<<20, body), respondOK(), true},
		"too large in parts": {fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", requestHead("POST", "/unsafe/"),
			strings.Repeat(chunk(body), 15)), respondOK(), false},
		"broken off":          {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestHead("POST", "/unsafe/"), len(body)+1, body), respondOK(), true},
		"no route":            {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", requestHead("POST", "/none/"), len(body), body), respondOK(), false},
		"long response":       {requestHead("GET", "/safe/") + "\r\n", respondWith("200 OK", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", signatureHeader, long, strings.Repeat("y", long)), true), false},
		"response broken off": {requestHead("GET", "/safe/") + "\r\n", respondWith("200 OK", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", signatureHeader, long, "y"), false), false},
		"stream":              {requestHead("POST", "/stream/") + "Content-Length: 0\r\n\r\n", respondWith("200 OK", streamHeader+chunk(event(1))+"0\r\n\r\n", true), false},
		"stream broken off":   {requestHead("POST", "/stream/") + "Content-Length: 0\r\n\r\n", respondWith("200 OK", streamHeader+chunk(event(1)), false), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newFakeUpstream(t, "w1", test.respond))
			conn := h.dial(t)
			_, err := io.WriteString(conn, test.request)
			require.NoError(t, err)
			if test.leave {
				require.NoError(t, conn.Close())
			} else if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			requireNothingHeld(t, h)
		})
	}
}

// TestBodiesBeyondTheMemoryAreRefusedAtOnce guards against a burst of long bodies that took a
// host over its memory limit, so that its requests in progress ended without an answer: a body
// counted only once it was read.
func TestBodiesBeyondTheMemoryAreRefusedAtOnce(t *testing.T) {
	const callers, size, room = 42, 256 << 10, 10
	upstream := newFakeUpstream(t, "w1", respondOK())
	h := newHarness(t, upstream)
	f, ok := h.front.(*front)
	require.True(t, ok)
	f.memory.limit = room*size + size/2
	for i := range h.routes {
		h.routes[i].Timeout = time.Minute
	}
	h.setLimits(h.limits)
	half := strings.Repeat("x", size/2)
	var readers []*bufio.Reader
	var conns []net.Conn
	for range callers {
		conn := h.dial(t)
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", requestHead("POST", "/safe/"), size, half)
		require.NoError(t, err)
		conns, readers = append(conns, conn), append(readers, bufio.NewReader(conn))
	}
	refused := callers - room
	require.Eventually(t, func() bool { return f.memory.heldBytes() > room*size }, time.Second, time.Millisecond)
	require.LessOrEqual(t, f.memory.heldBytes(), f.memory.limit+callers<<10)
	served := 0
	for i, conn := range conns {
		// Who was refused gets the response while the body is still to come, and may send it.
		_, err := io.WriteString(conn, half)
		require.NoError(t, err)
		resp, err := http.ReadResponse(readers[i], nil)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode == http.StatusOK {
			served++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		requireAnswer(t, conn, readers[i], requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	}
	require.Equal(t, callers-refused, served)
	requireNothingHeld(t, h)
}

// TestBodyBeyondAllMemoryIsDenied covers a body that no wait would make room for.
func TestBodyBeyondAllMemoryIsDenied(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "w1", respondOK()))
	f, ok := h.front.(*front)
	require.True(t, ok)
	f.memory.limit = 100 << 10
	resp, _, err := h.get(t, "POST", "/unsafe/", fmt.Sprintf("Content-Length: %d\r\n", 200<<10))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
}

// TestResponsesAreNotKeptWithoutMemory covers a host whose memory is full: responses go on
// as they come.
func TestResponsesAreNotKeptWithoutMemory(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "w1", respondOK()))
	f, ok := h.front.(*front)
	require.True(t, ok)
	f.memory.add(f.memory.limit)
	resp, body, err := h.get(t, "GET", "/safe/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "good", body)
}
