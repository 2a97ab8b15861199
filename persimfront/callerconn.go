package persimfront

import (
	"io"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

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
	// headReserved is the memory reserved for the head that is arriving.
	headReserved int64
	// input is how the head or the body comes forward. Of output, a write in progress, only the
	// age is measured.
	input, output progress
	// readingBody and writing are set while the host reads a body and while it writes.
	readingBody, writing bool
	// evicted is set once the phase was ended since the memory or the connections were used up.
	evicted bool
	// writeEnd is the time after which writes fail, or zero, writeDeadline the last deadline
	// that was set for one.
	writeEnd, writeDeadline time.Time
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
	if state == connIdle {
		c.writeEnd, c.evicted = time.Time{}, false
	}
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
	if !c.closeExpired() {
		return
	}
	_ = c.Conn.Close()
	if cause := c.cause(); cause == closedForSlowHeader {
		c.conns.count("heads_timed_out")
		klog.InfoS("connection closed", "caller", c.RemoteAddr().String(), "cause", cause)
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

// Read reads what the caller sends. Memory for the lines of a head is reserved before they are
// passed on. Once the host has decided to close the connection, no byte is passed on, so
// that no request is served whose response could not be sent.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	cost, open := c.receive(p[:n])
	if !open {
		klog.InfoS("bytes on a closing connection dropped", "caller", c.RemoteAddr().String(), "bytes", n, "cause", c.cause())
		return 0, io.EOF
	}
	if cost == 0 {
		return n, err
	}
	if !c.conns.reserveHead(cost) {
		c.refuseHead(cost)
		return 0, io.EOF
	}
	if !c.holdHead(cost) {
		return 0, io.EOF
	}
	return n, err
}

// receive records that bytes have arrived. It returns the memory to reserve for them, and
// false if the connection is closed.
func (c *callerConn) receive(data []byte) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connIdle {
		c.setStateLocked(connReceiving)
		c.input.restart(c.since)
		c.input.add(c.since, len(data))
		return unparsedCost(data), true
	}
	switch c.state {
	case connClosed:
		return 0, false
	case connReceiving:
		c.input.add(time.Now(), len(data))
		return unparsedCost(data), true
	default:
		if c.readingBody {
			c.input.add(time.Now(), len(data))
		}
		return 0, true
	}
}

// holdHead records memory that is reserved for the head. It returns false, and releases it, if
// the connection was closed meanwhile.
func (c *callerConn) holdHead(cost int64) bool {
	c.mu.Lock()
	open := c.state != connClosed
	if open {
		c.headReserved += cost
	}
	c.mu.Unlock()
	if !open {
		c.conns.releaseHead(cost)
	}
	return open
}

// takeHead returns the memory that is reserved for the head, which the request holds from now
// on.
func (c *callerConn) takeHead() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	reserved := c.headReserved
	c.headReserved = 0
	return reserved
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
	c.conns.releaseHead(c.takeHead())
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
