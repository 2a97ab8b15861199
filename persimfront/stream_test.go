package persimfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimplace"
)

func reportTime() time.Time { return time.Now() }

func hashOf(id string) uint64 { return persimplace.Hash(id) }

// slowReport is a load report that makes an upstream the second choice.
var slowReport = persimplace.Report{Running: 7, Slots: 8, Slowdown: 9}

const streamHeader = signatureHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// streamEvents returns a handler that sends the events after Last-Event-Id up to
// total. It breaks off within the event that follows breakAfter.
func streamEvents(total, breakAfter int) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, req *http.Request, body []byte) bool {
		respondWith("200 OK", streamHeader, true)(conn, req, body)
		last := 0
		_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &last)
		for id := last + 1; id <= total; id++ {
			if id > breakAfter {
				_, _ = io.WriteString(conn, chunk(event(id)[:5]))
				return false
			}
			_, _ = io.WriteString(conn, chunk(event(id)))
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

func allEvents(count int) string {
	var events strings.Builder
	for id := 1; id <= count; id++ {
		events.WriteString(event(id))
	}
	return events.String()
}

func TestStreamPassesCompletely(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "w1", streamEvents(20, 20)))
	resp, body, err := h.get(t, "POST", "/stream/", "Content-Length: 0\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, allEvents(20), body)
}

func TestStreamPassesWithoutDelay(t *testing.T) {
	next := make(chan struct{})
	upstream := newFakeUpstream(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
		respondWith("200 OK", streamHeader, true)(conn, req, body)
		for id := 1; id <= 3; id++ {
			_, _ = io.WriteString(conn, chunk(event(id)))
			<-next
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	h := newHarness(t, upstream)
	conn := h.dial(t)
	_, err := io.WriteString(conn, requestHead("POST", "/stream/")+"Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	for id := 1; id <= 3; id++ {
		got := make([]byte, len(event(id)))
		_, err := io.ReadFull(resp.Body, got)
		require.NoError(t, err)
		require.Equal(t, event(id), string(got))
		next <- struct{}{}
	}
}

func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	second := newFakeUpstream(t, "w2", streamEvents(20, 20))
	h := newHarness(t)
	_, body, err := h.getPreferringFirst(t, "/stream/", newFakeUpstream(t, "w1", streamEvents(20, 7)), second)
	require.Error(t, err)
	require.Equal(t, allEvents(7), body, "only complete events")
	require.Empty(t, second.requests())
}

func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	for _, breakAfter := range []int{0, 1, 7, 19} {
		t.Run(fmt.Sprint(breakAfter), func(t *testing.T) {
			h := newHarness(t)
			_, body, err := h.getPreferringFirst(t, "/resumed/", newFakeUpstream(t, "w1", streamEvents(20, breakAfter)), newFakeUpstream(t, "w2", streamEvents(20, 20)))
			require.NoError(t, err)
			require.Equal(t, allEvents(20), body)
		})
	}
}

func TestResumedStreamThatBreaksAgainDoesNotLookWhole(t *testing.T) {
	h := newHarness(t)
	_, body, err := h.getPreferringFirst(t, "/resumed/", newFakeUpstream(t, "w1", streamEvents(20, 5)), newFakeUpstream(t, "w2", streamEvents(20, 9)))
	require.Error(t, err)
	require.Equal(t, allEvents(9), body)
}

// streamSlowly returns a handler that sends the parts of a stream one after another with a
// pause between them, and then nothing until the connection is closed.
func streamSlowly(pause time.Duration, parts ...string) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, req *http.Request, body []byte) bool {
		respondWith("200 OK", streamHeader, true)(conn, req, body)
		for _, part := range parts {
			time.Sleep(pause)
			if _, err := io.WriteString(conn, part); err != nil {
				return false
			}
		}
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
}

func TestSlowStreamIsNotCut(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "w1", streamSlowly(300*time.Millisecond,
		chunk(event(1)), chunk(event(2)[:5]), chunk(event(2)[5:]), chunk(event(3)), "0\r\n\r\n")))
	resp, body, err := h.get(t, "POST", "/stream/", "Content-Length: 0\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, allEvents(3), body)
}

// TestStalledStreamEndsAtItsTimeout checks a stream that sends a byte now and then and
// never completes another event.
func TestStalledStreamEndsAtItsTimeout(t *testing.T) {
	parts := []string{chunk(event(1))}
	for range 100 {
		parts = append(parts, chunk("x"))
	}
	h := newHarness(t, newFakeUpstream(t, "w1", streamSlowly(100*time.Millisecond, parts...)))
	began := time.Now()
	_, body, err := h.get(t, "POST", "/stream/", "Content-Length: 0\r\n")
	require.Error(t, err, "it does not look whole")
	require.Equal(t, allEvents(1), body)
	const routeTimeout = 2 * time.Second
	require.Less(t, time.Since(began), routeTimeout+routeTimeout/2)
	require.Eventually(t, func() bool { return h.front.InFlight() == 0 }, routeTimeout, 10*time.Millisecond)
}

func TestCompleteEvents(t *testing.T) {
	for data, want := range map[string]int{"": 0, "id: 1\n": 0, "id: 1\n\nid": 7, "a\r\n\r\nb": 5, "a\n\nb\r\n\r\n": 8} {
		require.Equal(t, want, completeEvents([]byte(data)), "%q", data)
	}
}

// TestStreamThatEndsInsideAnEventIsBrokenOff guards against half an event, or none, that
// reaches the caller as a complete stream because the upstream's connection just ended.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	unframed := signatureHeader + "Content-Type: text/event-stream\r\n\r\n"
	tests := map[string]struct {
		response string
		status   int
		complete bool
		body     string
	}{
		"connection ends after an event":      {response: unframed + event(1) + event(2), status: http.StatusOK, complete: true, body: allEvents(2)},
		"connection ends inside an event":     {response: unframed + event(1) + event(2)[:7], status: http.StatusOK, body: allEvents(1)},
		"connection ends inside the first":    {response: unframed + event(1)[:7], status: http.StatusBadGateway, complete: true},
		"connection ends before an event":     {response: unframed, status: http.StatusBadGateway, complete: true},
		"length covers a part of an event":    {response: signatureHeader + "Content-Type: text/event-stream\r\nContent-Length: 5\r\n\r\n" + event(1)[:5], status: http.StatusBadGateway, complete: true},
		"chunks end inside an event":          {response: streamHeader + chunk(event(1)) + chunk(event(2)[:7]) + "0\r\n\r\n", status: http.StatusOK, body: allEvents(1)},
		"chunks that hold no event at all":    {response: streamHeader + "0\r\n\r\n", status: http.StatusOK, complete: true},
		"chunks that split an event are fine": {response: streamHeader + chunk(event(1)[:7]) + chunk(event(1)[7:]) + "0\r\n\r\n", status: http.StatusOK, complete: true, body: allEvents(1)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newFakeUpstream(t, "w1", respondWith("200 OK", tt.response, false)))
			resp, body, err := h.get(t, "POST", "/stream/", "Content-Length: 0\r\n")
			require.NotNil(t, resp)
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, tt.complete, err == nil)
			require.Equal(t, tt.body, body)
		})
	}
}

func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	unframed := signatureHeader + "Content-Type: text/event-stream\r\n\r\n"
	first := newFakeUpstream(t, "w1", respondWith("200 OK", unframed+event(1)+event(2)[:7], false))
	second := newFakeUpstream(t, "w2", streamEvents(3, 3))
	h := newHarness(t, first, second)
	h.front.RecordReports(map[uint64]persimplace.TimedReport{hashOf("w2"): {Report: slowReport, At: reportTime()}})
	_, body, err := h.get(t, "POST", "/resumed/", "Content-Length: 0\r\n")
	require.NoError(t, err)
	require.Equal(t, allEvents(3), body)
}
