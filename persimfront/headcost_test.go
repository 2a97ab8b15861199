package persimfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/platform"
)

// uniqueLines returns short header lines with different names.
func uniqueLines(lines int) string {
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// oddLines returns short header lines of few names, with values that are folded or empty.
func oddLines(lines int) string {
	return strings.Repeat("a:\r\nB: b\r\n c\r\n~:\t\r\n", lines/4)
}

// TestHeadCostCoversItsLines guards against heads of legal size whose many short lines take
// many times their bytes: what is reserved for a head before it is parsed covers the memory of
// the parsed request, of the header that is forwarded and of that of an attempt.
func TestHeadCostCoversItsLines(t *testing.T) {
	const copies = 20
	for name, lines := range map[string]string{
		"one line": uniqueLines(1), "few lines": uniqueLines(15), "16 KiB": uniqueLines(2700), "64 KiB": uniqueLines(9500),
		"same names": oddLines(3600), "long values": strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 16),
	} {
		t.Run(name, func(t *testing.T) {
			head := requestHead("GET", "/x/") + lines + "\r\n"
			type held struct {
				request         *http.Request
				forward, toSend http.Header
			}
			kept := make([]held, copies)
			before := heapBytes()
			for i := range kept {
				request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
				require.NoError(t, err)
				forward := platform.ForwardRequestHeaders(request.Header)
				kept[i] = held{request, forward, forward.Clone()}
			}
			took := (heapBytes() - before) / copies
			runtime.KeepAlive(kept)
			t.Logf("%d bytes take %d, %d are reserved", len(head), took, unparsedCost([]byte(head)))
			// A reader of http.ReadRequest holds 4 KiB, which a server takes from a pool.
			require.LessOrEqual(t, took-4<<10, unparsedCost([]byte(head)))
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// FuzzHead guards against heads that take more memory once they are parsed than was reserved
// for them, in whichever parts they arrive.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		requestHead("GET", "/") + "\r\n", "\r\n\r\n", "GET / HTTP/1.1\nA:b\n c\nA:\n\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		requestHead("POST", "/") + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0;x\r\nA: b\r\n\r\n", requestHead("GET", "/") + uniqueLines(100) + "\r\n",
	} {
		f.Add([]byte(head), 7)
	}
	f.Fuzz(func(t *testing.T, head []byte, part int) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(head))))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		part = max(1, part%4096)
		reserved := int64(0)
		for rest := head; len(rest) > 0; rest = rest[min(part, len(rest)):] {
			reserved += unparsedCost(rest[:min(part, len(rest))])
		}
		require.LessOrEqual(t, requestCost(request), reserved, "%d bytes of body", len(body))
	})
}

// TestResponseHeadIsHeldWhileItLasts guards against heads of responses that are not counted, that
// stay counted after the request, and against ordinary ones that are dropped for lack of memory.
func TestResponseHeadIsHeldWhileItLasts(t *testing.T) {
	ordinary := signatureHeader + strings.Repeat("Name: value\r\n", 12)
	for name, test := range map[string]struct {
		lines string
		full  bool
		// refused is set if the response is dropped.
		refused bool
	}{
		"ordinary":                 {lines: ordinary},
		"ordinary, memory full":    {lines: ordinary, full: true},
		"long line":                {lines: signatureHeader + "A: " + strings.Repeat("x", 50<<10) + "\r\n"},
		"long line, memory full":   {lines: signatureHeader + "A: " + strings.Repeat("x", 50<<10) + "\r\n", full: true, refused: true},
		"many lines":               {lines: signatureHeader + uniqueLines(500)},
		"many lines, memory full":  {lines: signatureHeader + uniqueLines(500), full: true, refused: true},
		"too many lines":           {lines: signatureHeader + uniqueLines(1000), refused: true},
		"too many lines, one name": {lines: signatureHeader + strings.Repeat("a:\r\n", 1000), refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			upstream := newFakeUpstream(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
				respondWith("200 OK", test.lines+"Content-Length: 4\r\n\r\n", true)(conn, req, body)
				<-proceed
				_, err := io.WriteString(conn, "good")
				return err == nil
			})
			h := newHarness(t, upstream)
			f, ok := h.front.(*front)
			require.True(t, ok)
			filled := int64(0)
			if test.full {
				filled = f.memory.limit
				f.memory.add(filled)
			}
			conn := h.dial(t)
			_, err := io.WriteString(conn, requestHead("POST", "/unsafe/")+"Content-Length: 0\r\n\r\n")
			require.NoError(t, err)
			if !test.refused {
				want := filled + int64(strings.Count(test.lines, "\n"))*headLineCost
				require.Eventually(t, func() bool { return f.memory.heldBytes() >= want }, time.Second, time.Millisecond)
			}
			close(proceed)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, test.refused, resp.StatusCode == http.StatusBadGateway, resp.StatusCode)
			require.Eventually(t, func() bool { return f.memory.heldBytes() == filled && f.InFlight() == 0 }, time.Second, time.Millisecond)
		})
	}
}
