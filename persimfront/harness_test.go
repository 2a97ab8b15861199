package persimfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimsettings"
)

// fakeUpstream is an upstream whose responses the test writes byte by byte.
type fakeUpstream struct {
	id       string
	version  string
	listener net.Listener
	// respond writes the response to a request and reports whether the connection
	// stays open.
	respond func(conn net.Conn, req *http.Request, body []byte) bool

	mu       sync.Mutex
	received []*http.Request
	bodies   [][]byte
}

func newFakeUpstream(t *testing.T, id string, respond func(net.Conn, *http.Request, []byte) bool) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	upstream := &fakeUpstream{id: id, listener: listener, respond: respond}
	t.Cleanup(func() { _ = listener.Close() })
	go upstream.serve()
	return upstream
}

func (u *fakeUpstream) serve() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(conn)
	}
}

func (u *fakeUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.received = append(u.received, req)
		u.bodies = append(u.bodies, body)
		u.mu.Unlock()
		if !u.respond(conn, req, body) {
			return
		}
	}
}

func (u *fakeUpstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.received...)
}

func (u *fakeUpstream) catalogueUpstream(service string) persimcatalog.Upstream {
	return persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: u.id, Born: 1},
		Address:     u.listener.Addr().String(),
		Service:     service,
		Slots:       8,
		Version:     u.version,
	}
}

// respondWith returns a handler that writes a status, the request's id and then the
// bytes of rest.
func respondWith(status, rest string, keepOpen bool) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, req *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 "+status+"\r\nX-Request-Id: "+req.Header.Get("X-Request-Id")+"\r\n"+rest)
		return err == nil && keepOpen
	}
}

const signatureHeader = "X-Response-Seal: s\r\n"

func respondOK() func(net.Conn, *http.Request, []byte) bool {
	return respondWith("200 OK", signatureHeader+"Content-Length: 4\r\n\r\ngood", true)
}

// harness is a front that serves callers on a loopback listener.
type harness struct {
	front   Front
	address string
	usage   usageCounter
	// version and limits are those of the current configuration, routes its routes.
	version int64
	limits  persimcatalog.Limits
	routes  []persimcatalog.Route
}

type usageCounter struct {
	mu             sync.Mutex
	byOrganisation map[string]int
}

func (c *usageCounter) Count(_ time.Time, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byOrganisation[organisation]++
}

var testBounds = persimsettings.Bounds{
	KeyRevocation: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60,
	QuotaWindow: 8 * time.Second, QuotaSlack: 100,
}

func testRoutes() []persimcatalog.Route {
	splits := []persimcatalog.Split{{Service: "s", Weight: 1}}
	return []persimcatalog.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: persimcatalog.KindIdempotent, Timeout: time.Second, MaxAttempts: 2, Splits: splits},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Timeout: time.Second, MaxAttempts: 2, Splits: splits},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: persimcatalog.KindStreaming, Timeout: 2 * time.Second, MaxAttempts: 1, Splits: splits},
		{Name: "resumed", Host: "h", Prefix: "/resumed/", Kind: persimcatalog.KindStreaming, Resumable: true, Timeout: 2 * time.Second, MaxAttempts: 2, Splits: splits},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: persimcatalog.KindIdempotent, Anonymous: true, Timeout: time.Second, MaxAttempts: 1, Splits: splits},
	}
}

func newHarness(t *testing.T, fakes ...*fakeUpstream) *harness {
	t.Helper()
	return newHarnessWith(t, nil, fakes...)
}

// newHarnessWith returns a harness whose front has more options.
func newHarnessWith(t *testing.T, opts []Option, fakes ...*fakeUpstream) *harness {
	t.Helper()
	pool, closePool := persimconn.New()
	t.Cleanup(closePool)
	h := &harness{usage: usageCounter{byOrganisation: map[string]int{}}, routes: testRoutes()}
	h.front = New(append(opts, WithBounds(testBounds), WithPool(pool), WithCounter(&h.usage))...)
	h.setLimits(persimcatalog.Limits{BodyBytes: 1 << 20})
	h.front.ConfirmCatalogue(persimclock.Now())
	var upstreams []persimcatalog.Upstream
	for _, upstream := range fakes {
		upstreams = append(upstreams, upstream.catalogueUpstream("s"))
	}
	h.front.SetUpstreams(map[string][]persimcatalog.Upstream{"s": upstreams})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: h.front, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	h.address = listener.Addr().String()
	return h
}

// setLimits applies a configuration with limits on connections.
func (h *harness) setLimits(limits persimcatalog.Limits) {
	h.version++
	h.limits = limits
	h.front.SetCatalogue(persimcatalog.New(h.version, h.routes, []persimcatalog.Service{{Name: "s"}},
		[]persimcatalog.Organisation{{Name: "org", Keys: []string{"key"}}}, limits))
}

func (h *harness) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", h.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

// requestHead returns the start of a request; the test appends further headers and
// an empty line.
func requestHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nX-Api-Key: key\r\n"
}

// get sends a request and returns the response, its body and the error of reading
// them.
func (h *harness) get(t *testing.T, method, path, headers string) (*http.Response, string, error) {
	t.Helper()
	return h.roundTrip(t, requestHead(method, path)+headers+"\r\n")
}

// roundTrip writes the bytes of a request on a new connection and returns the response, its
// body and the error of reading them.
func (h *harness) roundTrip(t *testing.T, request string) (*http.Response, string, error) {
	t.Helper()
	conn := h.dial(t)
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}
