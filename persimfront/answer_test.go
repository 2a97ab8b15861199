package persimfront

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimplace"
)

// longBodyBytes is the size of a response that is not buffered.
const longBodyBytes = maxBufferedBytes + 40<<10

// framedResponse returns a handler that writes a signed response in one of the framings of a body.
func framedResponse(status int, framing string, size int) func(net.Conn, *http.Request, []byte) bool {
	body := strings.Repeat("e", size)
	head := signatureHeader
	switch framing {
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n\r\n"
		if size > 0 {
			body = chunk(body)
		}
		body += "0\r\n\r\n"
	case "until the end":
		head += "\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	}
	return respondWith(fmt.Sprintf("%d %s", status, http.StatusText(status)), head+body, framing != "until the end")
}

// answerTest is one response of an upstream that has run the request.
type answerTest struct {
	path, framing, memory string
	status, size          int
}

func (a answerTest) name() string {
	return fmt.Sprintf("%s%d, %d bytes, %s, memory %s", a.path, a.status, a.size, a.framing, a.memory)
}

// repeated reports whether the request is sent to a second upstream, which answers it.
func (a answerTest) repeated() bool {
	return (a.path == "/safe/" || a.path == "/resumed/") && (a.status >= http.StatusInternalServerError || impliesNotRun(a.status))
}

// wantStatus returns the status that the caller must get.
func (a answerTest) wantStatus() int {
	switch {
	case a.repeated():
		return http.StatusOK
	case impliesNotRun(a.status):
		return http.StatusBadGateway
	default:
		return a.status
	}
}

func answerTests() []answerTest {
	var tests []answerTest
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumed/"} {
		for _, status := range []int{200, 404, 408, 429, 500, 503, 504} {
			if status == http.StatusOK && path != "/safe/" && path != "/unsafe/" {
				continue // Streams have tests of their own.
			}
			for _, size := range []int{0, 800, longBodyBytes} {
				for _, framing := range []string{"length", "chunked", "until the end"} {
					for _, memory := range []string{"free", "full"} {
						tests = append(tests, answerTest{path, framing, memory, status, size})
					}
				}
			}
		}
	}
	return tests
}

// TestNoWayOutDeniesARun guards against a status that tells the caller that its request did not
// run after an upstream may have run it, whatever the length, the framing, the route and the
// memory, and against a second run of a request that may run only once.
func TestNoWayOutDeniesARun(t *testing.T) {
	for _, test := range answerTests() {
		t.Run(test.name(), func(t *testing.T) {
			first := newFakeUpstream(t, "w1", framedResponse(test.status, test.framing, test.size))
			second := newFakeUpstream(t, "w2", respondOK())
			h := newHarness(t, first)
			if test.memory == "full" {
				f, ok := h.front.(*front)
				require.True(t, ok)
				f.memory.add(f.memory.limit)
			}
			resp, body, err := h.getPreferringFirst(t, test.path, first, second)
			require.NoError(t, err)
			require.Equal(t, test.wantStatus(), resp.StatusCode)
			require.Len(t, first.requests(), 1)
			if test.repeated() {
				require.Len(t, second.requests(), 1)
				require.Equal(t, "good", body)
				return
			}
			require.Empty(t, second.requests())
			if impliesNotRun(test.status) {
				require.Empty(t, body)
				require.Empty(t, resp.Header.Get("X-Response-Seal"))
				require.Empty(t, resp.Header.Get("Retry-After"))
				return
			}
			require.Len(t, body, test.size)
			require.NotEmpty(t, resp.Header.Get("X-Response-Seal"))
		})
	}
}

// TestOwnRefusalsDenyNoRun guards against a refusal by the host itself that denies a run: the
// first upstream may have run the request, and there is no second one.
func TestOwnRefusalsDenyNoRun(t *testing.T) {
	rejects := respondWith("503 Busy", "X-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", true)
	for name, respond := range map[string]func(net.Conn, *http.Request, []byte) bool{
		"breaks off":          respondWith("200 OK", signatureHeader+"Content-Length: 30\r\n\r\nbad", false),
		"status denies a run": framedResponse(503, "length", longBodyBytes),
		"no answer":           func(net.Conn, *http.Request, []byte) bool { return false },
	} {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumed/"} {
			t.Run(name+path, func(t *testing.T) {
				first, second := newFakeUpstream(t, "w1", respond), newFakeUpstream(t, "w2", rejects)
				h := newHarness(t, first)
				resp, _, err := h.getPreferringFirst(t, path, first, second)
				if err == nil {
					require.Equal(t, http.StatusBadGateway, resp.StatusCode)
				}
			})
		}
	}
}

// TestUntrueStatusIsNotWritten guards against a new way out that skips the checks before it.
func TestUntrueStatusIsNotWritten(t *testing.T) {
	for status := 200; status < 600; status++ {
		recorder := httptest.NewRecorder()
		c := &call{front: &front{}, request: httptest.NewRequest(http.MethodGet, "/", nil), possibleRuns: 1}
		write := func() { c.writeHead(recorder, status) }
		if impliesNotRun(status) {
			require.PanicsWithValue(t, http.ErrAbortHandler, write, status)
			continue
		}
		write()
		require.Equal(t, status, recorder.Code)
		c.possibleRuns = 0
	}
}

// TestLongServerErrorIsPassedOnWithoutARetry guards against a server error that is lost since it is
// too long to be kept while no retry is permitted.
func TestLongServerErrorIsPassedOnWithoutARetry(t *testing.T) {
	first := newFakeUpstream(t, "w1", framedResponse(500, "length", longBodyBytes))
	second := newFakeUpstream(t, "w2", respondOK())
	h := newHarness(t, first)
	f, ok := h.front.(*front)
	require.True(t, ok)
	f.mu.Lock()
	for now := reportTime(); f.dispatcher.budget(now, "s").Withdraw(now); {
		continue
	}
	f.mu.Unlock()
	resp, body, err := h.getPreferringFirst(t, "/safe/", first, second)
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	require.Len(t, body, longBodyBytes)
	require.Empty(t, second.requests())
}

// TestLongServerErrorsCountAsFailures guards against an upstream that counts as sound since its
// server errors are too long to be buffered.
func TestLongServerErrorsCountAsFailures(t *testing.T) {
	for _, size := range []int{0, longBodyBytes} {
		for status, want := range map[int]string{200: "w1", 404: "w1", 429: "w2", 500: "w2", 503: "w2"} {
			t.Run(fmt.Sprint(status, size), func(t *testing.T) {
				first := newFakeUpstream(t, "w1", framedResponse(status, "length", size))
				second := newFakeUpstream(t, "w2", respondOK())
				h := newHarness(t, first)
				const ejecting = 3
				for range ejecting {
					_, _, err := h.getPreferringFirst(t, "/unsafe/", first, second)
					require.NoError(t, err)
				}
				f, ok := h.front.(*front)
				require.True(t, ok)
				require.Eventually(t, func() bool { return f.InFlight() == 0 }, time.Second, time.Millisecond)
				f.mu.Lock()
				defer f.mu.Unlock()
				f.dispatcher.placer("s").RecordReport(reportTime(), hashOf("w2"), slowReport)
				choice, ok := f.dispatcher.placer("s").Choose(reportTime(), persimplace.Request{})
				require.True(t, ok)
				require.Equal(t, want, choice.Upstream.ID)
			})
		}
	}
}

// TestUpgradeIsNoResponse guards against a status that ends HTTP on a connection: the request
// asked for no other protocol.
func TestUpgradeIsNoResponse(t *testing.T) {
	for path, status := range map[string]int{"/safe/": 200, "/unsafe/": 502, "/stream/": 502, "/resumed/": 200} {
		t.Run(path, func(t *testing.T) {
			first := newFakeUpstream(t, "w1", respondWith("101 Switching Protocols", signatureHeader+"Upgrade: x\r\nConnection: Upgrade\r\n\r\n", true))
			second := newFakeUpstream(t, "w2", respondOK())
			h := newHarness(t, first)
			resp, _, err := h.getPreferringFirst(t, path, first, second)
			require.NoError(t, err)
			require.Equal(t, status, resp.StatusCode)
		})
	}
}
