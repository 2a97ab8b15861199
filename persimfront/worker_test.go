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

// A worker is an upstream that answers with bytes of the test's choice.
type worker struct {
	id       string
	listener net.Listener
	// answer writes the answer to a request and reports whether the connection stays.
	answer func(conn net.Conn, req *http.Request, body []byte) bool

	mu   sync.Mutex
	seen []*http.Request
	body [][]byte
}

func newWorker(t *testing.T, id string, answer func(net.Conn, *http.Request, []byte) bool) *worker {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	w := &worker{id: id, listener: listener, answer: answer}
	t.Cleanup(func() { _ = listener.Close() })
	go w.serve()
	return w
}

func (w *worker) serve() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serveConn(conn)
	}
}

func (w *worker) serveConn(conn net.Conn) {
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
		w.mu.Lock()
		w.seen = append(w.seen, req)
		w.body = append(w.body, body)
		w.mu.Unlock()
		if !w.answer(conn, req, body) {
			return
		}
	}
}

func (w *worker) requests() []*http.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*http.Request(nil), w.seen...)
}

func (w *worker) upstream(service string) persimcatalog.Upstream {
	return persimcatalog.Upstream{
		Incarnation: persimcatalog.Incarnation{ID: w.id, Born: 1},
		Address:     w.listener.Addr().String(),
		Service:     service,
		Slots:       8,
	}
}

// say answers with fixed bytes after an echo of the request's id.
func say(head, rest string, stays bool) func(net.Conn, *http.Request, []byte) bool {
	return func(conn net.Conn, req *http.Request, _ []byte) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 "+head+"\r\nX-Request-Id: "+req.Header.Get("X-Request-Id")+"\r\n"+rest)
		return err == nil && stays
	}
}

const signed = "X-Response-Seal: s\r\n"

func good() func(net.Conn, *http.Request, []byte) bool {
	return say("200 OK", signed+"Content-Length: 4\r\n\r\ngood", true)
}

// A rig is a front with its callers' listener.
type rig struct {
	front   Front
	address string
	counts  counts
}

type counts struct {
	mu sync.Mutex
	by map[string]int
}

func (c *counts) Count(_ time.Time, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[organisation]++
}

var testBounds = persimsettings.Bounds{
	Revoke: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60,
	QuotaWindow: 8 * time.Second, QuotaSlack: 100,
}

func testRoutes() []persimcatalog.Route {
	to := []persimcatalog.Split{{Service: "s", Weight: 1}}
	return []persimcatalog.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: persimcatalog.KindIdempotent, Timeout: time.Second, MaxAttempts: 2, Splits: to},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Timeout: time.Second, MaxAttempts: 2, Splits: to},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: persimcatalog.KindStreaming, Timeout: 2 * time.Second, MaxAttempts: 1, Splits: to},
		{Name: "resumed", Host: "h", Prefix: "/resumed/", Kind: persimcatalog.KindStreaming, Resumable: true, Timeout: 2 * time.Second, MaxAttempts: 2, Splits: to},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: persimcatalog.KindIdempotent, Anonymous: true, Timeout: time.Second, MaxAttempts: 1, Splits: to},
	}
}

func newRig(t *testing.T, workers ...*worker) *rig {
	t.Helper()
	pool, closePool := persimconn.New()
	t.Cleanup(closePool)
	r := &rig{counts: counts{by: map[string]int{}}}
	r.front = New(WithBounds(testBounds), WithPool(pool), WithCounter(&r.counts))
	r.front.SetCatalogue(persimcatalog.New(1, testRoutes(), []persimcatalog.Service{{Name: "s"}},
		[]persimcatalog.Organisation{{Name: "org", Keys: []string{"key"}}}, persimcatalog.Limits{BodyBytes: 1 << 20}))
	r.front.Confirm(persimclock.Now())
	var upstreams []persimcatalog.Upstream
	for _, w := range workers {
		upstreams = append(upstreams, w.upstream("s"))
	}
	r.front.SetUpstreams(map[string][]persimcatalog.Upstream{"s": upstreams})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: r.front, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	r.address = listener.Addr().String()
	return r
}

func (r *rig) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", r.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

// head is the start of a request; callers add headers and an empty line.
func head(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\nX-Api-Key: key\r\n"
}

// get sends a request and returns the answer, with the error of reading its body.
func (r *rig) get(t *testing.T, method, path, headers string) (*http.Response, string, error) {
	t.Helper()
	conn := r.dial(t)
	_, err := io.WriteString(conn, head(method, path)+headers+"\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}
