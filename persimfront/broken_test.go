package persimfront

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimbroken"
	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimplace"
)

// uploads are the sizes of a request body that the upstream has as soon as it is sent, and of one
// that is still being written when an early response ends.
var uploads = map[string]int{"short upload": 100, "long upload": 8 << 20}

// idFields returns the fields of a response to a request, as of its upstream.
func idFields(req *http.Request) string {
	return "X-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\n" + signatureHeader
}

// brokenTest is a response of the preferred one of two upstreams.
type brokenTest struct {
	path   string
	upload int
	// respond returns the response of the preferred upstream, other that of the second one.
	respond func(req *http.Request) persimbroken.Response
	other   func(net.Conn, *http.Request, []byte) bool
}

// brokenResult is what the caller got, with the requests that the second upstream received.
type brokenResult struct {
	status int
	body   string
	err    error
	second int
}

// newPatientHarness returns a harness without upstreams, whose routes have timeouts that a busy
// processor does not reach.
func newPatientHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	for i := range h.routes {
		h.routes[i].Timeout = 30 * time.Second
	}
	h.setLimits(persimcatalog.Limits{BodyBytes: 16 << 20})
	return h
}

func (b brokenTest) run(t *testing.T) brokenResult {
	t.Helper()
	first, stop, err := persimbroken.New(b.respond)
	require.NoError(t, err)
	defer stop()
	second := newFakeUpstream(t, "w2", b.other)
	h := newPatientHarness(t)
	h.prefer(t, persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: "w1", Born: 1}, Address: first.Address(), Service: "s", Slots: 8,
	}, second.catalogueUpstream("s"))
	request := requestHead("POST", b.path) + "Content-Length: " + strconv.Itoa(b.upload) + "\r\n\r\n" + strings.Repeat("x", b.upload)
	resp, body, err := h.roundTrip(t, request)
	require.Equal(t, 1, first.Requests(), "the first upstream is preferred")
	result := brokenResult{body: body, err: err, second: len(second.requests())}
	if resp != nil {
		result.status = resp.StatusCode
	}
	return result
}

// requireUnknown requires that a broken response of the first upstream did not reach the caller: the
// second one has served a request that may be repeated, and got none that may not.
func requireUnknown(t *testing.T, path string, result brokenResult) {
	t.Helper()
	require.NoError(t, result.err)
	if path == "/safe/" || path == "/resumed/" {
		require.Equal(t, http.StatusOK, result.status)
		require.Equal(t, "good", result.body)
		require.Equal(t, 1, result.second)
		return
	}
	require.Equal(t, http.StatusBadGateway, result.status)
	require.Zero(t, result.second)
}

// TestOnlyWholeResponsesReachCallers guards against a part of a response that a caller takes for
// all of it, in each framing, also while the request is still being written; against a whole one
// that is dropped since its upstream reads no more; and against a second run after either.
func TestOnlyWholeResponsesReachCallers(t *testing.T) {
	for _, c := range persimbroken.Bodies() {
		for ending, end := range persimbroken.Ends() {
			for upload, size := range uploads {
				for _, path := range []string{"/safe/", "/unsafe/"} {
					t.Run(fmt.Sprintf("%s/%s/%s%s", c.Name, ending, upload, path), func(t *testing.T) {
						respond := func(req *http.Request) persimbroken.Response {
							return persimbroken.Response{Text: c.Text(idFields(req)), End: end, Early: true}
						}
						for range end.Runs() {
							result := brokenTest{path, size, respond, respondOK()}.run(t)
							if !c.Whole(end) {
								requireUnknown(t, path, result)
								continue
							}
							require.NoError(t, result.err)
							require.Equal(t, http.StatusOK, result.status)
							require.Equal(t, persimbroken.Body, result.body)
							require.Zero(t, result.second)
						}
					})
				}
			}
		}
	}
}

// TestLongResponseThatIsResetBreaksOff guards against a part of a response that is passed on while it
// is read, and ends for the caller as if it were whole. An upstream that closes its connection with
// a part of the request unread loses what it has not sent yet, and its end: the connection is
// reset.
func TestLongResponseThatIsResetBreaksOff(t *testing.T) {
	for upload, size := range uploads {
		for ending, end := range persimbroken.Ends() {
			t.Run(upload+"/"+ending, func(t *testing.T) {
				body := strings.Repeat("e", longBodyBytes)
				respond := func(req *http.Request) persimbroken.Response {
					text := "HTTP/1.1 200 OK\r\n" + idFields(req) + "\r\n" + body
					return persimbroken.Response{Text: text, End: end, Early: true, Delay: time.Millisecond}
				}
				for range end.Runs() {
					result := brokenTest{"/unsafe/", size, respond, respondOK()}.run(t)
					require.Zero(t, result.second)
					switch {
					case end == persimbroken.EndFIN || end == persimbroken.EndFINThenClose && size < 1<<10:
						require.NoError(t, result.err)
						require.Equal(t, http.StatusOK, result.status)
						require.True(t, result.body == body)
					case result.err != nil:
					case result.status == http.StatusOK:
						require.Equal(t, persimbroken.EndFINThenClose, end, "%d bytes look whole", len(result.body))
						require.True(t, result.body == body, "%d bytes look whole", len(result.body))
					default:
						require.Equal(t, http.StatusBadGateway, result.status)
					}
				}
			})
		}
	}
}

// TestStreamThatIsResetBreaksOff guards against a stream without a framing that is reset between two
// events, and ends for the caller as if it were whole.
func TestStreamThatIsResetBreaksOff(t *testing.T) {
	const events, total = 3, 5
	for upload, size := range uploads {
		for ending, end := range persimbroken.Ends() {
			for _, path := range []string{"/stream/", "/resumed/"} {
				t.Run(upload+"/"+ending+path, func(t *testing.T) {
					respond := func(req *http.Request) persimbroken.Response {
						text := "HTTP/1.1 200 OK\r\n" + idFields(req) + "Content-Type: text/event-stream\r\n\r\n" + allEvents(events)
						return persimbroken.Response{Text: text, End: end, Early: true, Delay: time.Millisecond}
					}
					for range end.Runs() {
						result := brokenTest{path, size, respond, streamEvents(total, total)}.run(t)
						switch {
						case end != persimbroken.EndReset:
							require.NoError(t, result.err)
							require.Equal(t, allEvents(events), result.body)
						case path == "/resumed/":
							require.NoError(t, result.err)
							require.Equal(t, allEvents(total), result.body)
						default:
							require.Error(t, result.err, "looks whole: %q", result.body)
							require.Zero(t, result.second)
						}
					}
				})
			}
		}
	}
}

// resumed returns a response that goes on with a stream after its second event.
func resumed(req *http.Request, end persimbroken.End) persimbroken.Response {
	text := "HTTP/1.1 200 OK\r\n" + idFields(req) + "Content-Type: text/event-stream\r\n\r\n" + event(3) + event(4)
	return persimbroken.Response{Text: text, End: end, Early: true, Delay: time.Millisecond}
}

// TestBrokenResponseDoesNotResumeAStream guards against a resumed stream that ends for the caller as
// if it were whole, or that holds what is no response of the second upstream.
func TestBrokenResponseDoesNotResumeAStream(t *testing.T) {
	tests := map[string]func(req *http.Request) persimbroken.Response{
		"reset": func(req *http.Request) persimbroken.Response { return resumed(req, persimbroken.EndReset) },
	}
	for _, c := range persimbroken.MalformedHeads() {
		tests[c.Name] = func(req *http.Request) persimbroken.Response {
			return persimbroken.Response{Text: c.Text(idFields(req)) + resumed(req, persimbroken.EndFIN).Text, End: persimbroken.EndFIN}
		}
	}
	for name, respond := range tests {
		t.Run(name, func(t *testing.T) {
			second, stop, err := persimbroken.New(respond)
			require.NoError(t, err)
			defer stop()
			first := newFakeUpstream(t, "w1", streamEvents(5, 2))
			h := newPatientHarness(t)
			h.prefer(t, first.catalogueUpstream("s"), persimcatalog.Upstream{
				Incarnation: persimcatalog.Incarnation{ID: "w2", Born: 1}, Address: second.Address(), Service: "s", Slots: 8,
			})
			// A report after the start of the attempt: the first upstream is busy with the body, and
			// is not given up as silent.
			busy := persimplace.TimedReport{Report: persimplace.Report{Slots: 8}, At: reportTime().Add(time.Minute)}
			h.front.RecordReports(map[uint64]persimplace.TimedReport{hashOf("w1"): busy})
			const size = 8 << 20
			request := requestHead("POST", "/resumed/") + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
			_, body, err := h.roundTrip(t, request)
			require.Error(t, err, "looks whole: %q", body)
			require.Equal(t, 1, second.Requests())
			if name != "reset" {
				require.Equal(t, allEvents(2), body)
			}
		})
	}
}

// TestMalformedHeadsDoNotReachCallers guards against a response with a malformed head, and one that
// is read from what follows it, on each kind of route.
func TestMalformedHeadsDoNotReachCallers(t *testing.T) {
	for _, c := range persimbroken.MalformedHeads() {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumed/"} {
			t.Run(c.Name+path, func(t *testing.T) {
				respond := func(req *http.Request) persimbroken.Response {
					next := "HTTP/1.1 200 OK\r\n" + idFields(req) + "Content-Type: text/event-stream\r\nContent-Length: 6\r\n\r\nbad\n\n\n"
					return persimbroken.Response{Text: c.Text(idFields(req)) + next, End: persimbroken.EndFIN}
				}
				requireUnknown(t, path, brokenTest{path, 0, respond, respondOK()}.run(t))
			})
		}
	}
}

// TestRejectionThatBreaksOffDeniesNoRun guards against a second run, or a status that denies a run,
// after a rejection of which only a part came.
func TestRejectionThatBreaksOffDeniesNoRun(t *testing.T) {
	for _, status := range []string{"503 Busy", "421 Misdirected Request", "429 Slow"} {
		for rest, end := range map[string]persimbroken.End{
			"Content-Length: 30\r\n\r\nbad":                  persimbroken.EndFIN,
			"Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n": persimbroken.EndFIN,
			"\r\nbad": persimbroken.EndReset,
			"X Field: 2\r\nContent-Length: 0\r\n\r\n":            persimbroken.EndNone,
			"Content-Length: 0\r\nTransfer-Encoding : x\r\n\r\n": persimbroken.EndNone,
		} {
			for _, path := range []string{"/safe/", "/unsafe/"} {
				t.Run(status+"/"+strconv.Quote(rest)+path, func(t *testing.T) {
					respond := func(req *http.Request) persimbroken.Response {
						text := "HTTP/1.1 " + status + "\r\n" + idFields(req) + "X-Not-Executed: 1\r\n" + rest
						return persimbroken.Response{Text: text, End: end, Early: true, Delay: time.Millisecond}
					}
					requireUnknown(t, path, brokenTest{path, 0, respond, respondOK()}.run(t))
				})
			}
		}
	}
}

// TestFoldedLinesAndTrailersAreTaken guards against whole responses that are dropped: a folded line
// is passed on in one piece (RFC 9112, 5.2), and trailers are not passed on.
func TestFoldedLinesAndTrailersAreTaken(t *testing.T) {
	for name, rest := range map[string]string{
		"folded line":               "X-Folded: a\r\n b\r\nContent-Length: 4\r\n\r\ngood",
		"trailer":                   "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX-Trailer: 1\r\n\r\n",
		"blank in a trailer's name": "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX Trailer: 1\r\n\r\n",
		"length twice":              "Content-Length: 4\r\nContent-Length: 4\r\n\r\ngood",
		"no text behind the status": "Content-Length: 4\r\n\r\ngood",
	} {
		t.Run(name, func(t *testing.T) {
			status := "200 OK"
			if name == "no text behind the status" {
				status = "200"
			}
			h := newHarness(t, newFakeUpstream(t, "w1", respondWith(status, signatureHeader+rest, true)))
			resp, body, err := h.get(t, "POST", "/unsafe/", "Content-Length: 0\r\n")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, "good", body)
			require.Empty(t, resp.Trailer)
			require.Empty(t, resp.Header.Get("X Trailer"))
			if name == "folded line" {
				require.Equal(t, "a b", resp.Header.Get("X-Folded"))
			}
		})
	}
}
