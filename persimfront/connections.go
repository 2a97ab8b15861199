package persimfront

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
)

// Causes for which a host closes a connection of a caller.
const (
	closedAsIdle        = "idle"
	closedForSlowHeader = "header took too long"
)

// callerConnState says what a connection of a caller is used for.
type callerConnState int

const (
	// connIdle means that no byte of a request has arrived since the last response.
	connIdle callerConnState = iota
	// connReceiving means that the header of a request is arriving.
	connReceiving
	// connServing means that a request is in progress.
	connServing
	// connClosed means that the connection takes no more requests.
	connClosed
)

// callerConn is a connection of a caller. It is closed when it stays idle, or takes longer
// to send a request header, than the configuration allows, but never while a request is in
// progress: the decision to close it and the arrival of a request exclude each other.
type callerConn struct {
	net.Conn
	limits func() persimcatalog.Limits

	mu    sync.Mutex
	state callerConnState
	since time.Time
	timer *time.Timer
	// closedCause is why the host closed the connection, if it did.
	closedCause string
}

func newCallerConn(conn net.Conn, limits func() persimcatalog.Limits) *callerConn {
	c := &callerConn{Conn: conn, limits: limits}
	c.setState(connIdle)
	return c
}

// setState records what the connection is used for from now on. It returns false if the
// connection is closed.
func (c *callerConn) setState(state callerConnState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setStateLocked(state)
}

func (c *callerConn) setStateLocked(state callerConnState) bool {
	if c.state == connClosed {
		return false
	}
	c.state = state
	c.since = time.Now()
	c.startTimerLocked()
	return true
}

// startTimerLocked starts the timer for the limit of the current state, if there is one.
func (c *callerConn) startTimerLocked() {
	if c.timer != nil {
		c.timer.Stop()
	}
	if limit, _ := c.limitLocked(); limit > 0 {
		c.timer = time.AfterFunc(limit-time.Since(c.since), c.expire)
	}
}

// limitLocked returns how long the connection may stay in its state, and the cause for
// which it is closed after that. Zero means no limit.
func (c *callerConn) limitLocked() (time.Duration, string) {
	switch c.state {
	case connIdle:
		return c.limits().IdleTimeout, closedAsIdle
	case connReceiving:
		return c.limits().HeaderTimeout, closedForSlowHeader
	default:
		return 0, ""
	}
}

// expire closes the connection if it has reached the limit of its state.
func (c *callerConn) expire() {
	if c.closeExpired() {
		_ = c.Conn.Close()
	}
}

// closeExpired decides whether the connection is closed. A limit that was raised since the
// timer was started holds, and a request of which bytes wait to be read is let in.
func (c *callerConn) closeExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, cause := c.limitLocked()
	if limit <= 0 {
		return false
	}
	if time.Since(c.since) < limit {
		c.startTimerLocked()
		return false
	}
	if c.state == connIdle && persimconn.HasUnread(c.Conn) {
		c.setStateLocked(connReceiving)
		return false
	}
	c.state = connClosed
	c.closedCause = cause
	return true
}

// Read reads what the caller sends. Once the host has decided to close the connection, no
// byte is passed on, so that no request is served whose response could not be sent.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.receive() {
		klog.InfoS("bytes on a closing connection dropped", "caller", c.RemoteAddr().String(), "bytes", n, "cause", c.cause())
		return 0, io.EOF
	}
	return n, err
}

// receive records that bytes have arrived. It returns false if the connection is closed.
func (c *callerConn) receive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connIdle {
		return c.setStateLocked(connReceiving)
	}
	return c.state != connClosed
}

// cause returns why the host closed the connection, or an empty text if it did not.
func (c *callerConn) cause() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedCause
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.setState(connClosed)
	return c.Conn.Close()
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	limits func() persimcatalog.Limits
}

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newCallerConn(conn, l.limits), nil
}

// onConnState is the ConnState hook of http.Server.
func onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.setState(connIdle)
	}
}

// beginServing records that a request is in progress on its connection. It returns false if
// the host has decided to close the connection, so that a response could not be sent.
func beginServing(r *http.Request) bool {
	c, ok := r.Context().Value(connContextKey{}).(*callerConn)
	return !ok || c.setState(connServing)
}

type connContextKey struct{}

// withConn is the ConnContext hook of http.Server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

func (f *front) Serve(server *http.Server, listener net.Listener) error {
	server.Handler = f
	server.ConnState = onConnState
	server.ConnContext = withConn
	return server.Serve(callerListener{Listener: listener, limits: f.limits})
}

// leftCause returns the cause that is logged for a request whose connection has ended.
func (c *call) leftCause() string {
	conn, ok := c.request.Context().Value(connContextKey{}).(*callerConn)
	if ok && conn.cause() != "" {
		return "connection closed by this host: " + conn.cause()
	}
	return "caller left"
}

func (f *front) limits() persimcatalog.Limits {
	catalogue, _ := f.Catalogue()
	return catalogue.Limits()
}

// headerBytes returns the size of a request's method, target, host and header fields,
// without separators and line ends.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
