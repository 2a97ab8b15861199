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
}

func newConnTimeouts(limits func() persimcatalog.Limits) *connTimeouts {
	return &connTimeouts{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// onStateChange is the ConnState hook of http.Server.
func (c *connTimeouts) onStateChange(conn net.Conn, state http.ConnState) {
	limits := c.limits()
	switch state {
	case http.StateNew, http.StateIdle:
		c.closeAfter(conn, limits.IdleTimeout)
	case http.StateActive:
		c.closeAfter(conn, limits.HeaderTimeout)
	default:
		c.cancel(conn)
	}
}

// closeAfter closes a connection after a limit, which replaces an earlier one. Zero means
// no limit.
func (c *connTimeouts) closeAfter(conn net.Conn, limit time.Duration) {
	c.cancel(conn)
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timers[conn] = time.AfterFunc(limit, func() { _ = conn.Close() })
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
