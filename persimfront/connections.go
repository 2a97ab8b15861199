package persimfront

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimmetric"
)

// callerConns holds the open connections of callers.
type callerConns struct {
	limits func() persimcatalog.Limits
	// memory is where heads are reserved, or nil if they are not.
	memory *memory
	// maxOpen is the number of open connections above which one is closed, or zero.
	maxOpen int
	// unreadBytes is the memory for bytes that have arrived and were not read, or zero.
	unreadBytes int64
	// metrics counts refusals and closed connections, or is nil.
	metrics persimmetric.Metrics
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
	cs.limitUnread(conn)
	c.setState(connIdle)
	cs.makeRoom(c)
	return c
}

const (
	// minUnreadBytes and maxUnreadBytes bound the receive buffer of a connection, in bytes.
	// The upper one is half of what Linux starts with, which doubles it.
	minUnreadBytes = 4 << 10
	maxUnreadBytes = 64 << 10
)

// limitUnread limits the bytes of a new connection that may have arrived and were not read,
// by its share of the memory for them.
func (cs *callerConns) limitUnread(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || cs.unreadBytes <= 0 {
		return
	}
	share := cs.unreadBytes / int64(max(1, cs.size()))
	if err := tcp.SetReadBuffer(int(min(max(share, minUnreadBytes), maxUnreadBytes))); err != nil {
		klog.V(1).InfoS("connection: receive buffer not limited", "error", persimlog.ErrorText(err))
	}
}

// size returns the number of open connections.
func (cs *callerConns) size() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}

// count increments a metric.
func (cs *callerConns) count(name string) {
	if cs.metrics != nil {
		cs.metrics.Count(name)
	}
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

// connOf returns the connection on which a request came, or nil if the front does not watch it.
func connOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(connContextKey{}).(*callerConn)
	return c
}

// beginServing records that a request is in progress on its connection. It returns false if
// the host has decided to close the connection, so that a response could not be sent.
func beginServing(r *http.Request) bool {
	c := connOf(r)
	return c == nil || c.setState(connServing)
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
	// The general handler would answer "OPTIONS *" without an upstream.
	server.DisableGeneralOptionsHandler = true
	return f.callerConns.serve(server, listener)
}

func (f *front) Drain(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		f.drainEnd.Store(end.UnixNano())
	}
	return f.callerConns.drain(ctx)
}

// outlastsDrain reports whether the request may still be in progress when the drain ends
// and the host breaks off what is left.
func (c *call) outlastsDrain() bool {
	end := c.front.drainEnd.Load()
	return end != 0 && c.deadline.UnixNano() > end
}

// leftCause returns the cause that is logged for a request whose connection has ended.
func (c *call) leftCause() string {
	conn := connOf(c.request)
	if conn != nil && conn.cause() != "" {
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
	return len(r.Method) + len(r.RequestURI) + len(r.Host) + fieldBytes(r.Header)
}

// fieldBytes returns the size of header fields without separators and line ends.
func fieldBytes(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
