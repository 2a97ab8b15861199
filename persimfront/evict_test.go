package persimfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// evictionTimeout is far above minEvictAge.
const evictionTimeout = 10 * time.Second

func unchanged(conn net.Conn) net.Conn { return conn }

// budgetHarness is a harness whose connections are watched, with the given memory for bodies
// and for heads, and at most maxOpen of them unless it is zero.
func budgetHarness(t *testing.T, limit, spare int64, maxOpen int) (*harness, *front) {
	t.Helper()
	h := newHarness(t, newFakeUpstream(t, "w1", respondOK()))
	for i := range h.routes {
		h.routes[i].Timeout = time.Minute
	}
	h.setLimits(persimcatalog.Limits{BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	f, ok := h.front.(*front)
	require.True(t, ok)
	f.memory.limit, f.memory.spare, f.callerConns.maxOpen = limit, spare, maxOpen
	// The connection of the harness must have come and gone before connections are counted.
	conn := serveWrapped(t, h, unchanged)
	requireAnswer(t, conn, bufio.NewReader(conn), requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return f.callerConns.size() == 0 }, time.Second, time.Millisecond)
	return h, f
}

// beginBody sends the head of a request and the first bytes of its body.
func beginBody(t *testing.T, h *harness, size, sent int) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := h.dial(t)
	require.NoError(t, conn.SetDeadline(time.Now().Add(evictionTimeout)))
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", requestHead("POST", "/unsafe/"), size, strings.Repeat("x", sent))
	require.NoError(t, err)
	return conn, bufio.NewReader(conn)
}

// TestStalledBodyMakesRoom guards against bodies that stop short of their end and stay open:
// once the memory is used up, the one without progress is refused as not run, and another
// request is served.
func TestStalledBodyMakesRoom(t *testing.T) {
	const size = 512 << 10
	h, f := budgetHarness(t, size+size/2, 0, 0)
	_, stalled := beginBody(t, h, size, size-1)
	require.Eventually(t, func() bool { return f.memory.heldBytes() > size }, time.Second, time.Millisecond)
	time.Sleep(minEvictAge + progressWindow)
	conn, reader := beginBody(t, h, size, size)
	requireAnswer(t, conn, reader, "", http.StatusOK)
	resp, err := http.ReadResponse(stalled, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
	requireNothingHeld(t, h)
}

// TestStalledHeadMakesRoom guards against heads without end that stay open.
func TestStalledHeadMakesRoom(t *testing.T) {
	lines := uniqueLines(600)
	h, f := budgetHarness(t, 0, unparsedCost([]byte(lines))*3/2, 0)
	stalled := h.dial(t)
	_, err := io.WriteString(stalled, requestHead("GET", "/safe/")+lines)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.memory.heldBytes() > unparsedCost([]byte(lines)) }, time.Second, time.Millisecond)
	time.Sleep(minEvictAge + progressWindow)
	conn := h.dial(t)
	requireAnswer(t, conn, bufio.NewReader(conn), requestHead("GET", "/safe/")+lines+"\r\n", http.StatusOK)
	require.True(t, closesWithin(t, stalled, time.Second))
	requireNothingHeld(t, h)
}

// TestSmallRequestsGetInBesideLongBodies guards against long bodies that come forward and use
// up the memory, so that nothing else is served.
func TestSmallRequestsGetInBesideLongBodies(t *testing.T) {
	const size = 512 << 10
	h, f := budgetHarness(t, size+size/4, 256<<10, 0)
	long, longReader := beginBody(t, h, size, size-1)
	require.Eventually(t, func() bool { return f.memory.heldBytes() > size }, time.Second, time.Millisecond)
	refused, reader := beginBody(t, h, size, 0)
	requireAnswer(t, refused, reader, "", http.StatusServiceUnavailable)
	small, reader := beginBody(t, h, smallBytes, smallBytes)
	requireAnswer(t, small, reader, "", http.StatusOK)
	requireAnswer(t, long, longReader, "x", http.StatusOK)
}

// TestHeadWithoutMemoryIsRefusedAsNotRun guards against heads that are parsed although there is
// no memory for them.
func TestHeadWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	h, f := budgetHarness(t, 1<<20, 1<<10, 0)
	f.memory.add(f.memory.limit + f.memory.spare)
	conn := h.dial(t)
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, requestHead("GET", "/safe/")+"\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, closesWithin(t, conn, time.Second))
	f.memory.release(time.Now(), f.memory.limit+f.memory.spare)
	requireNothingHeld(t, h)
}

// TestUnfinishedHeadsAreGivenBack guards against memory of heads whose callers leave.
func TestUnfinishedHeadsAreGivenBack(t *testing.T) {
	h, f := budgetHarness(t, 1<<20, 1<<20, 0)
	conn := h.dial(t)
	_, err := io.WriteString(conn, requestHead("GET", "/safe/"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.memory.heldBytes() > 0 }, time.Second, time.Millisecond)
	require.NoError(t, conn.Close())
	requireNothingHeld(t, h)
}

// requireServedAndIdle requires that a number of connections have carried a request and become idle,
// which a host records after the caller has its response.
func requireServedAndIdle(t *testing.T, h *harness, count int) {
	t.Helper()
	f, ok := h.front.(*front)
	require.True(t, ok)
	require.Eventually(t, func() bool {
		idle := 0
		for _, c := range f.callerConns.list() {
			c.mu.Lock()
			if c.served && c.state == connIdle {
				idle++
			}
			c.mu.Unlock()
		}
		return idle == count
	}, 5*time.Second, time.Millisecond)
}

// TestConnectionsAboveTheLimit guards against callers that use up the descriptors: the
// connection that has been idle longest is closed, and the new one is served.
func TestConnectionsAboveTheLimit(t *testing.T) {
	h, _ := budgetHarness(t, 1<<20, 1<<20, 2)
	first, second := h.dial(t), h.dial(t)
	firstReader, secondReader := bufio.NewReader(first), bufio.NewReader(second)
	requireAnswer(t, first, firstReader, requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	requireServedAndIdle(t, h, 1)
	requireAnswer(t, second, secondReader, requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	time.Sleep(2 * minIdleAge)
	third := h.dial(t)
	requireAnswer(t, third, bufio.NewReader(third), requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	require.True(t, closesWithin(t, first, time.Second))
	requireAnswer(t, second, secondReader, requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
}

// TestUnusedConnectionsAreClosedFirst guards against ordinary connections that are closed for
// those of callers that only connect.
func TestUnusedConnectionsAreClosedFirst(t *testing.T) {
	h, _ := budgetHarness(t, 1<<20, 1<<20, 2)
	used := h.dial(t)
	usedReader := bufio.NewReader(used)
	requireAnswer(t, used, usedReader, requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	unused := h.dial(t)
	time.Sleep(2 * minIdleAge)
	third := h.dial(t)
	requireAnswer(t, third, bufio.NewReader(third), requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
	require.True(t, closesWithin(t, unused, time.Second))
	requireAnswer(t, used, usedReader, requestHead("GET", "/safe/")+"\r\n", http.StatusOK)
}

// TestUnreadBodyIsNotEvicted covers a host that comes to read what has arrived only late.
func TestUnreadBodyIsNotEvicted(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	conns := newCallerConns(func() persimcatalog.Limits { return persimcatalog.Limits{} })
	conns.memory = &memory{}
	accepted, err := callerListener{Listener: listener, conns: conns}.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	conn, ok := accepted.(*callerConn)
	require.True(t, ok)
	require.True(t, conn.setState(connServing))
	require.NoError(t, conn.setBodyDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(caller, "x")
	require.NoError(t, err)
	time.Sleep(minEvictAge + 100*time.Millisecond)
	require.False(t, conns.evictSlowest())
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err)
	time.Sleep(minEvictAge + progressWindow)
	require.True(t, conns.evictSlowest())
	require.True(t, conn.endBody())
}

// TestBodyWithoutProgressTimesOut guards against bodies whose bytes come one by one.
func TestBodyWithoutProgressTimesOut(t *testing.T) {
	h, _ := budgetHarness(t, 1<<20, 1<<20, 0)
	h.setLimits(persimcatalog.Limits{BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: testIdleTimeout})
	conn, reader := beginBody(t, h, 100, 1)
	go func() {
		for range 20 {
			time.Sleep(testIdleTimeout / 5)
			if _, err := io.WriteString(conn, "x"); err != nil {
				return
			}
		}
	}()
	requireAnswer(t, conn, reader, "", http.StatusRequestTimeout)
}

// TestBodyWithProgressOutlastsTheIdleTimeout covers a caller that sends slowly, but sends.
func TestBodyWithProgressOutlastsTheIdleTimeout(t *testing.T) {
	const pieces = 10
	h, _ := budgetHarness(t, 1<<20, 1<<20, 0)
	h.setLimits(persimcatalog.Limits{BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: testIdleTimeout})
	conn, reader := beginBody(t, h, pieces*bodyProgress, 0)
	for range pieces {
		time.Sleep(testIdleTimeout / 4)
		_, err := io.WriteString(conn, strings.Repeat("x", bodyProgress))
		require.NoError(t, err)
	}
	requireAnswer(t, conn, reader, "", http.StatusOK)
}

// TestSlowReaderIsEvicted guards against callers that read no response.
func TestSlowReaderIsEvicted(t *testing.T) {
	var written atomic.Int64
	h, f := budgetHarness(t, 1<<20, 1<<20, 0)
	upstream := newFakeUpstream(t, "w2", respondEndless(&written, signatureHeader+"\r\n", "x"))
	h.front.SetUpstreams(map[string][]persimcatalog.Upstream{"s": {upstream.catalogueUpstream("s")}})
	conn := h.dial(t)
	_, err := io.WriteString(conn, requestHead("POST", "/unsafe/")+"Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.memory.evict() }, writeTimeout-time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return f.InFlight() == 0 }, time.Second, time.Millisecond)
}

// TestProgress covers the moving rate by which phases are compared.
func TestProgress(t *testing.T) {
	start := time.Unix(1000, 0)
	var p progress
	p.restart(start)
	p.add(start, 1000)
	require.InDelta(t, 1000, p.rate(start), 1)
	require.InDelta(t, 500, p.rate(start.Add(progressWindow/2)), 1)
	require.Zero(t, p.rate(start.Add(progressWindow)), "what stopped makes no progress")
	require.Equal(t, time.Minute, p.age(start.Add(time.Minute)))
}
