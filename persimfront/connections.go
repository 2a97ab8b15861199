package persimfront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"persimmonport.example/persimcatalog"
)

// connTimeouts closes connections of callers that stay idle, or take longer to send
// a request header, than the configuration allows.
type connTimeouts struct {
	limits func() persimcatalog.Limits

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
	// closed holds why connections were closed whose requests may not have ended.
	closed map[net.Conn]string
}

func newConnTimeouts(limits func() persimcatalog.Limits) *connTimeouts {
	return &connTimeouts{limits: limits, timers: map[net.Conn]*time.Timer{}, closed: map[net.Conn]string{}}
}

// Causes for which a host closes a connection.
const (
	closedAsIdle        = "idle"
	closedForSlowHeader = "header took too long"
)

// onStateChange is the ConnState hook of http.Server.
func (c *connTimeouts) onStateChange(conn net.Conn, state http.ConnState) {
	limits := c.limits()
	switch state {
	case http.StateNew, http.StateIdle:
		c.closeAfter(conn, limits.IdleTimeout, closedAsIdle)
	case http.StateActive:
		c.closeAfter(conn, limits.HeaderTimeout, closedForSlowHeader)
	default:
		c.cancel(conn)
		c.forget(conn)
	}
}

// closeAfter closes a connection after a limit, which replaces an earlier one. Zero means
// no limit.
func (c *connTimeouts) closeAfter(conn net.Conn, limit time.Duration, cause string) {
	c.cancel(conn)
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers[conn] = time.AfterFunc(limit, func() {
		c.recordClosed(conn, cause)
		_ = conn.Close()
	})
}

func (c *connTimeouts) recordClosed(conn net.Conn, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[conn] = cause
}

func (c *connTimeouts) forget(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closed, conn)
}

// closedCause returns why the host closed a connection, or false if it did not.
func (c *connTimeouts) closedCause(conn net.Conn) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cause, ok := c.closed[conn]
	return cause, ok
}

func (c *connTimeouts) cancel(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer, ok := c.timers[conn]; ok {
		timer.Stop()
		delete(c.timers, conn)
	}
}

type connContextKey struct{}

// ConfigureServer makes a server serve callers within the limits of the current
// configuration.
func (f *front) ConfigureServer(server *http.Server) {
	server.Handler = f
	server.ConnState = f.connTimeouts.onStateChange
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connContextKey{}, conn)
	}
}

// headerReceived cancels the header timeout of the request's connection.
func (f *front) headerReceived(r *http.Request) {
	if conn, ok := r.Context().Value(connContextKey{}).(net.Conn); ok {
		f.connTimeouts.cancel(conn)
	}
}

// leftCause returns the cause that is logged for a request whose connection has ended.
func (c *call) leftCause() string {
	conn, ok := c.request.Context().Value(connContextKey{}).(net.Conn)
	if !ok {
		return "caller left"
	}
	if cause, closed := c.front.connTimeouts.closedCause(conn); closed {
		return "connection closed by this host: " + cause
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
