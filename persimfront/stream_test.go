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

func soon() time.Time { return time.Now() }

func hashOf(id string) uint64 { return persimplace.Hash(id) }

// slowReport makes an upstream the second choice.
var slowReport = persimplace.Report{Running: 7, Slots: 8, Slowdown: 9}

const streamHead = signed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// streamer sends events from after Last-Event-Id on; it breaks off within an event
// after some, or ends when all were sent.
func streamer(total, breakAfter int) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, req *http.Request, body []byte) bool {
		say("200 OK", streamHead, true)(conn, req, body)
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
	var all strings.Builder
	for id := 1; id <= count; id++ {
		all.WriteString(event(id))
	}
	return all.String()
}

func TestStreamPassesWhole(t *testing.T) {
	r := newRig(t, newWorker(t, "w1", streamer(20, 20)))
	resp, body, err := r.get(t, "POST", "/stream/", "Content-Length: 0\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, allEvents(20), body)
}

func TestStreamPassesWithoutDelay(t *testing.T) {
	next := make(chan struct{})
	w := newWorker(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
		say("200 OK", streamHead, true)(conn, req, body)
		for id := 1; id <= 3; id++ {
			_, _ = io.WriteString(conn, chunk(event(id)))
			<-next
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	r := newRig(t, w)
	conn := r.dial(t)
	_, err := io.WriteString(conn, head("POST", "/stream/")+"Content-Length: 0\r\n\r\n")
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
	second := newWorker(t, "w2", streamer(20, 20))
	r := newRig(t)
	_, body, err := r.get2(t, "/stream/", newWorker(t, "w1", streamer(20, 7)), second)
	require.Error(t, err)
	require.Equal(t, allEvents(7), body, "whole events only")
	require.Empty(t, second.requests())
}

func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	for _, broken := range []int{0, 1, 7, 19} {
		t.Run(fmt.Sprint(broken), func(t *testing.T) {
			r := newRig(t)
			_, body, err := r.get2(t, "/resumed/", newWorker(t, "w1", streamer(20, broken)), newWorker(t, "w2", streamer(20, 20)))
			require.NoError(t, err)
			require.Equal(t, allEvents(20), body)
		})
	}
}

func TestResumedStreamThatBreaksAgainDoesNotLookWhole(t *testing.T) {
	r := newRig(t)
	_, body, err := r.get2(t, "/resumed/", newWorker(t, "w1", streamer(20, 5)), newWorker(t, "w2", streamer(20, 9)))
	require.Error(t, err)
	require.Equal(t, allEvents(9), body)
}

func TestWholeEvents(t *testing.T) {
	for data, want := range map[string]int{"": 0, "id: 1\n": 0, "id: 1\n\nid": 7, "a\r\n\r\nb": 5, "a\n\nb\r\n\r\n": 8} {
		require.Equal(t, want, wholeEvents([]byte(data)), "%q", data)
	}
}
