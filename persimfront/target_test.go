package persimfront

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// lineUpstream is an upstream that keeps the request lines that it reads.
type lineUpstream struct {
	*fakeUpstream
	mu    sync.Mutex
	lines []string
}

func newLineUpstream(t *testing.T) *lineUpstream {
	t.Helper()
	u := &lineUpstream{}
	u.fakeUpstream = newFakeUpstream(t, "w1", func(conn net.Conn, req *http.Request, body []byte) bool {
		u.mu.Lock()
		u.lines = append(u.lines, req.Method+" "+req.RequestURI+" "+req.Proto+" "+req.Host+" "+string(body))
		u.mu.Unlock()
		return respondOK()(conn, req, body)
	})
	return u
}

// taken returns the request lines since the last call.
func (u *lineUpstream) taken() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	lines := u.lines
	u.lines = nil
	return lines
}

// targetHarness is a front whose route takes all paths, and its upstream.
type targetHarness struct {
	*harness
	upstream *lineUpstream
}

func newTargetHarness(t *testing.T) targetHarness {
	t.Helper()
	upstream := newLineUpstream(t)
	h := newHarness(t, upstream.fakeUpstream)
	h.routes = testRoutes()
	h.routes[0].Prefix = "/"
	h.setLimits(h.limits)
	conn := serveWrapped(t, h, unwrapped)
	_ = conn.Close()
	return targetHarness{h, upstream}
}

// requireUnchanged requires that a request reaches the upstream as it was sent, or is denied
// and reaches none.
func (h targetHarness) requireUnchanged(t *testing.T, method, target, body string) {
	t.Helper()
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nX-Api-Key: key\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", method, target, len(body), body)
	conn := h.dial(t)
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	require.NoError(t, err, "%s %q", method, target)
	lines := h.upstream.taken()
	if resp.StatusCode != http.StatusOK {
		require.Contains(t, []int{http.StatusBadRequest, http.StatusNotFound}, resp.StatusCode, "%s %q", method, target)
		require.Empty(t, lines, "%s %q", method, target)
		return
	}
	require.Equal(t, []string{method + " " + target + " HTTP/1.1 h " + body}, lines)
}

// requireServed is requireUnchanged for a request that is served.
func (h targetHarness) requireServed(t *testing.T, method, target, body string) {
	t.Helper()
	before := len(h.upstream.requests())
	h.requireUnchanged(t, method, target, body)
	require.Len(t, h.upstream.requests(), before+1, "%s %q", method, target)
}

// TestTargetsAreForwardedUnchanged guards against a path that begins with two slashes and
// reached the upstream as the target of another host.
func TestTargetsAreForwardedUnchanged(t *testing.T) {
	h := newTargetHarness(t)
	for _, target := range []string{
		"/", "/a", "//a/b", "//host/x?q", "///", "/%2f/", "/%2F/", "/a//b", "/../a", "/./a/..", "/a?", "/a??", "/a?b=c&d", "/a?//x",
		"/a;b", "/a|b^c`{d}", `/"<>\`, "/caf\xc3\xa9", "/a%20b", "/a+b", "/a#b", "/a:b@c", "/:", "/a?%zz",
	} {
		t.Run(target, func(t *testing.T) {
			h.requireServed(t, "GET", target, "")
			h.requireServed(t, "POST", target, "body")
			h.requireServed(t, "DELETE", target, "")
		})
	}
	for _, target := range []string{"*", "http://host/x", "http://h/x", "host:80", "/%zz", "/a\x01b", "a"} {
		t.Run("denied "+target, func(t *testing.T) {
			for _, method := range []string{"GET", "POST", "OPTIONS", "CONNECT"} {
				before := len(h.upstream.requests())
				h.requireUnchanged(t, method, target, "")
				require.Len(t, h.upstream.requests(), before)
			}
		})
	}
}

// TestGeneratedTargetsAreForwardedUnchanged sends targets made of parts that are easily encoded
// anew.
func TestGeneratedTargetsAreForwardedUnchanged(t *testing.T) {
	const targets = 400
	parts := []string{"/", "//", "..", ".", "%2f", "%2F", "%41", "a", "host", ":80", "?", "&", "=", "#", "@", "|", "{", "\xc3\xa9", "\xff", ";", "+", "*", "~", "'", "http:"}
	h := newTargetHarness(t)
	random := rand.New(rand.NewPCG(34, 1))
	for range targets {
		var target strings.Builder
		target.WriteString("/")
		for range random.IntN(8) {
			target.WriteString(parts[random.IntN(len(parts))])
		}
		h.requireUnchanged(t, "GET", target.String(), "")
	}
}

func FuzzTargetIsForwardedUnchanged(f *testing.F) {
	for _, target := range []string{"//a/b", "/%2f/", "/a?", "*", "http://host/x"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if target == "" || strings.ContainsAny(target, " \t\r\n\v\f\x00") || len(target) > 1000 {
			t.Skip("ends the request line")
		}
		newTargetHarness(t).requireUnchanged(t, "GET", target, "")
	})
}
