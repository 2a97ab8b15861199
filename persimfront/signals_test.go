package persimfront

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// loadInterval is the time between two requests to each host.
	loadInterval = 20 * time.Millisecond
	testGossip   = 200 * time.Millisecond
	// An upstream that names a limit may get allowedFactor times what that allows, and
	// allowedRequests more.
	allowedFactor   = 1.5
	allowedRequests = 5
)

// respondAsking returns a handler that responds with success and with headers by which the
// upstream asks for something.
func respondAsking(headers string) func(net.Conn, *http.Request, []byte) bool {
	return respondWith("200 OK", headers+signatureHeader+"Content-Length: 4\r\n\r\ngood", true)
}

// applyLoad sends requests to each host at an interval for a time and returns the number of
// responses of each status.
func applyLoad(t *testing.T, path string, length time.Duration, hosts ...*harness) map[int]int {
	t.Helper()
	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(loadInterval) {
		for _, h := range hosts {
			wg.Go(func() {
				status := 0
				if resp, _, err := h.get(t, "GET", path, ""); err == nil {
					status = resp.StatusCode
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	}
	wg.Wait()
	return statuses
}

// newHarnesses returns hosts that use the same upstreams and tell each other their state
// until the test ends.
func newHarnesses(t *testing.T, count int, fakes ...*fakeUpstream) []*harness {
	t.Helper()
	var hosts []*harness
	for range count {
		hosts = append(hosts, newHarness(t, fakes...))
	}
	for i, h := range hosts {
		var others []string
		for j := range hosts {
			if j != i {
				others = append(others, fmt.Sprint(j))
			}
		}
		h.front.SetHostNames(fmt.Sprint(i), others)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { gossip(hosts, stop) })
	t.Cleanup(func() {
		close(stop)
		wg.Wait()
	})
	return hosts
}

// gossip lets hosts tell each other their state at an interval.
func gossip(hosts []*harness, stop <-chan struct{}) {
	ticker := time.NewTicker(testGossip)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for i, from := range hosts {
			state := from.front.SharedState()
			for j, to := range hosts {
				if i != j {
					to.front.MergePressure(fmt.Sprint(i), state.Pressure)
				}
			}
		}
	}
}

// TestUpstreamGetsNoMoreThanTheLimitItNames guards against hosts that send an upstream more
// than the limit that it has named to them.
func TestUpstreamGetsNoMoreThanTheLimitItNames(t *testing.T) {
	tests := map[string]struct {
		hosts int
		limit float64
	}{
		"one host":    {hosts: 1, limit: 2.5},
		"three hosts": {hosts: 3, limit: 1},
	}
	const (
		told   = time.Second
		length = 3 * time.Second
	)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			limited := newFakeUpstream(t, "w1", respondAsking(fmt.Sprintf("Server-Limit: %g\r\n", tt.limit)))
			free := newFakeUpstream(t, "w2", respondOK())
			hosts := newHarnesses(t, tt.hosts, limited, free)
			applyLoad(t, "/safe/", told, hosts...)
			before := len(limited.requests())
			statuses := applyLoad(t, "/safe/", length, hosts...)
			got := len(limited.requests()) - before
			require.LessOrEqual(t, float64(got), allowedFactor*tt.limit*length.Seconds()+allowedRequests)
			require.GreaterOrEqual(t, float64(got), tt.limit*length.Seconds()/2, "most of the limit is used")
			require.Len(t, statuses, 1, "callers are served by the other upstream: %v", statuses)
			require.Positive(t, statuses[http.StatusOK])
		})
	}
}

// respondAskingToWait returns a handler that turns requests away for a time.
func respondAskingToWait(wait string) func(net.Conn, *http.Request, []byte) bool {
	return respondWith("503 Service Unavailable", "X-Not-Executed: 1\r\nRetry-After: "+wait+"\r\nContent-Length: 0\r\n\r\n", true)
}

// settleTime is the time after the first response within which a host acts on it at the
// latest.
const settleTime = 300 * time.Millisecond

// TestUpstreamThatSaysItLeavesGetsNothingMore guards against requests to an upstream that
// leaves and says so in its responses only.
func TestUpstreamThatSaysItLeavesGetsNothingMore(t *testing.T) {
	tests := map[string]struct {
		path    string
		respond func(net.Conn, *http.Request, []byte) bool
	}{
		"response": {path: "/safe/", respond: respondAsking("Server-Leaving: 1\r\n")},
		"refusal": {path: "/safe/", respond: respondWith("503 Service Unavailable",
			"X-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n", true)},
		"server error": {path: "/safe/", respond: respondWith("500 Internal Server Error",
			"Server-Leaving: 1\r\n"+signatureHeader+"Content-Length: 0\r\n\r\n", true)},
		"stream": {path: "/stream/", respond: respondWith("200 OK", "Server-Leaving: 1\r\n"+signatureHeader+
			"Content-Type: text/event-stream\r\nContent-Length: 12\r\n\r\nid: 1\ndata\n\n", true)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			leaving := newFakeUpstream(t, "w1", tt.respond)
			h := newHarness(t, leaving, newFakeUpstream(t, "w2", respondOK()))
			applyLoad(t, tt.path, settleTime, h)
			before := len(leaving.requests())
			require.Positive(t, before)
			statuses := applyLoad(t, tt.path, time.Second, h)
			require.Equal(t, before, len(leaving.requests()), "requests")
			require.Len(t, statuses, 1, "the other upstream serves all callers: %v", statuses)
			require.Positive(t, statuses[http.StatusOK])
		})
	}
}

// TestUpstreamThatAsksToWaitIsLeftAlone guards against requests to an upstream before the
// time for which it has asked is over.
func TestUpstreamThatAsksToWaitIsLeftAlone(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/"} {
		t.Run(path, func(t *testing.T) {
			waiting := newFakeUpstream(t, "w1", respondAskingToWait("1.8"))
			h := newHarness(t, waiting, newFakeUpstream(t, "w2", respondOK()))
			statuses := applyLoad(t, path, settleTime, h)
			before := len(waiting.requests())
			require.Positive(t, before)
			for status, count := range applyLoad(t, path, time.Second, h) {
				statuses[status] += count
			}
			require.Equal(t, before, len(waiting.requests()), "requests")
			require.Len(t, statuses, 1, "the other upstream serves all callers: %v", statuses)
			require.Eventually(t, func() bool {
				applyLoad(t, path, loadInterval, h)
				return len(waiting.requests()) > before
			}, 3*time.Second, loadInterval, "the upstream is used again")
		})
	}
}

// TestCallersAreRefusedAtOnceWithTheWaitThatUpstreamsAskFor guards against requests that are
// held or sent although all upstreams have asked to wait.
func TestCallersAreRefusedAtOnceWithTheWaitThatUpstreamsAskFor(t *testing.T) {
	tests := map[string][]string{"one upstream": {"5"}, "two upstreams": {"5", "9"}}
	for name, waits := range tests {
		t.Run(name, func(t *testing.T) {
			var fakes []*fakeUpstream
			for i, wait := range waits {
				fakes = append(fakes, newFakeUpstream(t, fmt.Sprint("w", i), respondAskingToWait(wait)))
			}
			h := newHarness(t, fakes...)
			for range 5 {
				began := time.Now()
				resp, _, err := h.get(t, "GET", "/safe/", "")
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Less(t, time.Since(began), time.Second)
				wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, wait, 3.0)
				require.LessOrEqual(t, wait, 5*(1+retryAfterJitter))
			}
			for _, upstream := range fakes {
				require.Len(t, upstream.requests(), 1)
			}
		})
	}
}

// TestWaitingUpstreamIsNoFallbackForAnEjectedOne guards against requests that are sent to an
// upstream that has asked to wait since the only other one is ejected.
func TestWaitingUpstreamIsNoFallbackForAnEjectedOne(t *testing.T) {
	waiting := newFakeUpstream(t, "w1", respondAskingToWait("5"))
	failing := newFakeUpstream(t, "w2", respondWith("500 Internal Server Error", signatureHeader+"Content-Length: 0\r\n\r\n", true))
	h := newHarness(t, waiting, failing)
	applyLoad(t, "/unsafe/", settleTime, h)
	before := len(waiting.requests())
	applyLoad(t, "/unsafe/", time.Second, h)
	require.Equal(t, before, len(waiting.requests()), "requests")
}

// TestResumedStreamHeedsWhatUpstreamsAskFor guards against streams that are resumed at an
// upstream that has asked for no requests, and against responses to resumed streams whose
// signals are not read.
func TestResumedStreamHeedsWhatUpstreamsAskFor(t *testing.T) {
	breaking := newFakeUpstream(t, "w1", respondWith("200 OK", signatureHeader+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nid: 1\ndata\n\n\r\n", false))
	waiting := newFakeUpstream(t, "w2", respondAskingToWait("5"))
	h := newHarness(t, breaking, waiting)
	applyLoad(t, "/resumed/", settleTime, h)
	before := len(waiting.requests())
	require.Positive(t, before)
	applyLoad(t, "/resumed/", time.Second, h)
	require.Equal(t, before, len(waiting.requests()), "requests")
}
