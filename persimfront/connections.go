package persimfront

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
)

// Causes for which a host closes a connection of a caller.
const (
	closedAsIdle        = "idle"
	closedForSlowHeader = "header took too long"
	closedForStop       = "host stops"
)

const (
	// defaultHeaderTimeout limits the time to send a header where the configuration sets no
	// limit, defaultIdleTimeout that between requests until there is a configuration.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 10 * time.Second
	// drainIdleTimeout is how long a connection stays idle during a drain, and
	// drainFirstTimeout one that has carried no request, whose first one may be on its way.
	drainIdleTimeout  = 20 * time.Millisecond
	drainFirstTimeout = 500 * time.Millisecond
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
	conns *callerConns

	mu    sync.Mutex
	state callerConnState
	since time.Time
	timer *time.Timer
	// served is set once the connection has carried a request.
	served bool
	// closedCause is why the host closed the connection, if it did.
	closedCause string
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
	c.served = c.served || state == connServing
	c.startTimerLocked()
	return true
}

// restartTimer starts the timer anew for limits that have changed.
func (c *callerConn) restartTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startTimerLocked()
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
	switch {
	case c.state == connIdle && c.conns.draining.Load() && c.served:
		return drainIdleTimeout, closedForStop
	case c.state == connIdle && c.conns.draining.Load():
		return drainFirstTimeout, closedForStop
	case c.state == connIdle:
		return c.conns.limits().IdleTimeout, closedAsIdle
	case c.state == connReceiving:
		return c.conns.limits().HeaderTimeout, closedForSlowHeader
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
	c.conns.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, where the connection has one.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// callerConns holds the open connections of callers.
type callerConns struct {
	limits func() persimcatalog.Limits
	// draining is set once each connection is to be closed when it has no request in
	// progress.
	draining atomic.Bool
	// removed gets a value after a connection was closed.
	removed chan struct{}

	// accepting covers the listeners.
	accepting sync.WaitGroup

	mu        sync.Mutex
	open      map[*callerConn]struct{}
	listeners []net.Listener
}

func newCallerConns(limits func() persimcatalog.Limits) *callerConns {
	return &callerConns{limits: limits, removed: make(chan struct{}, 1), open: map[*callerConn]struct{}{}}
}

// add returns the connection of a caller that was accepted.
func (cs *callerConns) add(conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, conns: cs}
	cs.mu.Lock()
	cs.open[c] = struct{}{}
	cs.mu.Unlock()
	c.setState(connIdle)
	return c
}

func (cs *callerConns) remove(c *callerConn) {
	cs.mu.Lock()
	delete(cs.open, c)
	cs.mu.Unlock()
	select {
	case cs.removed <- struct{}{}:
	default:
	}
}

func (cs *callerConns) list() []*callerConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Collect(maps.Keys(cs.open))
}

// serve lets a server serve the connections of a listener until that is closed.
func (cs *callerConns) serve(server *http.Server, listener net.Listener) error {
	cs.accepting.Add(1)
	defer cs.accepting.Done()
	cs.mu.Lock()
	cs.listeners = append(cs.listeners, listener)
	cs.mu.Unlock()
	err := server.Serve(callerListener{Listener: listener, conns: cs})
	if cs.draining.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

func (cs *callerConns) closeListeners() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, listener := range cs.listeners {
		_ = listener.Close()
	}
	cs.listeners = nil
}

// drain closes the listeners, and each connection once it has no request in progress. It
// returns when none is left, or the context's error if that ends first.
func (cs *callerConns) drain(ctx context.Context) error {
	cs.draining.Store(true)
	cs.closeListeners()
	cs.accepting.Wait()
	for _, c := range cs.list() {
		c.restartTimer()
	}
	for len(cs.list()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-cs.removed:
		}
	}
	return nil
}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	conns *callerConns
}

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(conn), nil
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
	return f.callerConns.serve(server, listener)
}

func (f *front) Drain(ctx context.Context) error { return f.callerConns.drain(ctx) }

// leftCause returns the cause that is logged for a request whose connection has ended.
func (c *call) leftCause() string {
	conn, ok := c.request.Context().Value(connContextKey{}).(*callerConn)
	if ok && conn.cause() != "" {
		return "connection closed by this host: " + conn.cause()
	}
	return "caller left"
}

// limits returns the limits of the configuration, or the defaults until there is one.
func (f *front) limits() persimcatalog.Limits {
	catalogue, known := f.Catalogue()
	limits := catalogue.Limits()
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if !known {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
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
