package persimfront

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
)

const (
	crashingPart = "dead"
	sharedPart   = "5a"
)

// crashingUpstreams are upstreams that crash when they begin to answer a request with
// crashingPart.
type crashingUpstreams struct {
	mu      sync.Mutex
	fakes   []*fakeUpstream
	crashed map[string]bool
}

// newCrashingUpstreams returns upstreams; begin is what they write of an answer before they
// crash.
func newCrashingUpstreams(t *testing.T, count int, begin string) *crashingUpstreams {
	t.Helper()
	u := &crashingUpstreams{crashed: map[string]bool{}}
	for i := range count {
		var fake *fakeUpstream
		fake = newFakeUpstream(t, "w"+strconv.Itoa(i), func(conn net.Conn, req *http.Request, body []byte) bool {
			if !strings.Contains(req.Header.Get("X-Prefix-Hash"), crashingPart) {
				return streamEvents(5, 5)(conn, req, body)
			}
			u.mu.Lock()
			u.crashed[fake.id] = true
			u.mu.Unlock()
			_ = fake.listener.Close()
			if begin != "" {
				respondWith("200 OK", begin, false)(conn, req, body)
			}
			return false
		})
		u.fakes = append(u.fakes, fake)
	}
	return u
}

func (u *crashingUpstreams) crashCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.crashed)
}

// up returns the upstreams that have not crashed.
func (u *crashingUpstreams) up() map[string][]persimcatalog.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	var up []persimcatalog.Upstream
	for _, fake := range u.fakes {
		if !u.crashed[fake.id] {
			up = append(up, fake.catalogueUpstream("s"))
		}
	}
	return map[string][]persimcatalog.Upstream{"s": up}
}

// promptOf returns the headers of a request whose prompt has two shared parts and one of its
// own.
func promptOf(first, second string, own int) string {
	return fmt.Sprintf("X-Token-Count: 100,10\r\nX-Prefix-Hash: %s:40,%s:40,%x:20\r\nContent-Length: 0\r\n", first, second, 1000+own)
}

// TestRequestsThatCrashUpstreamsAreRefused guards against requests of one kind that crash
// upstream after upstream.
func TestRequestsThatCrashUpstreamsAreRefused(t *testing.T) {
	const (
		maxCrashes = 5
		interval   = 250 * time.Millisecond
		// learnTime is the time after the last crash within which the host has learned.
		learnTime = 2 * time.Second
	)
	tests := map[string]struct {
		path  string
		begin string
	}{
		"header and a part of an event": {path: "/stream/", begin: streamHeader + chunk("id: 1")},
		"header alone":                  {path: "/stream/", begin: streamHeader},
		"nothing":                       {path: "/stream/"},
		"resumable stream":              {path: "/resumed/", begin: streamHeader},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstreams := newCrashingUpstreams(t, 2*maxCrashes+4, tt.begin)
			h := newHarness(t, upstreams.fakes...)
			own := 0
			send := func(second string) (*http.Response, string, error) {
				own++
				h.front.ConfirmCatalogue(persimclock.Now())
				return h.get(t, "POST", tt.path, promptOf(sharedPart, second, own))
			}
			for range maxCrashes {
				_, _, err := send("a" + strconv.Itoa(own))
				require.NoError(t, err)
				_, _, _ = send(crashingPart)
				time.Sleep(interval)
				h.front.SetUpstreams(upstreams.up())
			}
			time.Sleep(learnTime)
			crashes := upstreams.crashCount()
			for range 5 {
				resp, _, err := send(crashingPart)
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, wait, maxRetryAfter.Seconds())
				resp, body, err := send("b" + strconv.Itoa(own))
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Equal(t, allEvents(5), body)
			}
			require.Equal(t, crashes, upstreams.crashCount())
		})
	}
}

// TestLostResponsesAreNoCrashes covers upstreams that lose responses and go on.
func TestLostResponsesAreNoCrashes(t *testing.T) {
	var fakes []*fakeUpstream
	for i := range 6 {
		fakes = append(fakes, newFakeUpstream(t, "w"+strconv.Itoa(i), func(conn net.Conn, req *http.Request, body []byte) bool {
			if strings.Contains(req.Header.Get("X-Prefix-Hash"), crashingPart) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				return false
			}
			return streamEvents(5, 5)(conn, req, body)
		}))
	}
	h := newHarness(t, fakes...)
	for own := range 6 {
		resp, _, err := h.get(t, "POST", "/stream/", promptOf(sharedPart, crashingPart, own))
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	resp, _, err := h.get(t, "POST", "/stream/", promptOf(sharedPart, crashingPart, 7))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// TestRequestThatCrashedItsUpstreamIsNotSentToAnother guards against one request that crashes
// as many upstreams as it may have attempts.
func TestRequestThatCrashedItsUpstreamIsNotSentToAnother(t *testing.T) {
	upstreams := newCrashingUpstreams(t, 4, streamHeader)
	h := newHarness(t, upstreams.fakes...)
	resp, _, err := h.get(t, "POST", "/resumed/", promptOf(sharedPart, crashingPart, 1))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, 1, upstreams.crashCount())
}
