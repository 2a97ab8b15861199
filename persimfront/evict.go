package persimfront

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimconn"
	"persimmonport.example/persimlog"
	"persimmonport.example/platform"
)

// Causes for which a host closes a connection or ends a phase of a request early.
const (
	causeLeastProgress      = "least progress while memory is used up"
	causeNoHeadMemory       = "no memory for the head"
	causeTooManyConnections = "too many connections"
)

const (
	// minEvictAge is the age from which the progress of a phase is judged: a round trip and
	// a wait for the processor are shorter.
	minEvictAge = time.Second
	// maxEvictRate is the progress, in bytes per second, above which nothing is evicted.
	maxEvictRate = 16 << 10
	// minIdleAge is the age from which an idle connection is closed for another one. The
	// first request of a new connection arrives earlier.
	minIdleAge = 200 * time.Millisecond
	// refusalTimeout limits the time to write a refusal to a connection that is closed.
	refusalTimeout = 100 * time.Millisecond
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// reserveHead reserves memory for a part of a head, and makes room for it by closing what has
// made the least progress.
func (cs *callerConns) reserveHead(cost int64) bool {
	return cs.memory == nil || cs.memory.reserveEvicting(cost, cs.memory.limit+cs.memory.spare)
}

func (cs *callerConns) releaseHead(cost int64) {
	if cs.memory != nil && cost > 0 {
		cs.memory.release(time.Now(), cost)
	}
}

// refuseHead answers a request whose head was not read since there is no memory for it, and
// lets the connection be closed. The cost is that of the part that was not reserved.
func (c *callerConn) refuseHead(cost int64) {
	c.mu.Lock()
	open := c.setStateLocked(connClosed)
	if open {
		c.closedCause = causeNoHeadMemory
	}
	c.mu.Unlock()
	if !open {
		return
	}
	c.conns.count("heads_refused")
	retryAfter := platform.EncodeRetryAfter(withJitter(minRetryAfter))
	err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if err == nil {
		_, err = c.Conn.Write([]byte("HTTP/1.1 503 " + http.StatusText(http.StatusServiceUnavailable) +
			"\r\nRetry-After: " + retryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}
	klog.InfoS("head refused", "caller", c.RemoteAddr().String(), "status", http.StatusServiceUnavailable, "cause", causeNoHeadMemory,
		"needed", cost, "held", c.conns.memory.heldBytes(), "error", persimlog.ErrorText(err))
}

// evictSlowest ends the phase of a request that has made the least progress. It returns false
// if all are new or come forward.
func (cs *callerConns) evictSlowest() bool {
	now := time.Now()
	for {
		var slowest *callerConn
		least := float64(maxEvictRate)
		var oldest time.Duration
		for _, c := range cs.list() {
			rate, age, ok := c.evictable(now)
			if ok && (rate < least || rate == least && age > oldest) {
				slowest, least, oldest = c, rate, age
			}
		}
		if slowest == nil {
			return false
		}
		if slowest.evict(now) {
			cs.count("connections_evicted")
			klog.InfoS("caller evicted", "caller", slowest.RemoteAddr().String(), "cause", causeLeastProgress,
				"bytesPerSecond", int64(least), "age", oldest, "held", cs.memory.heldBytes())
			return true
		}
	}
}

// evictable returns the progress of the current phase in bytes per second and its age, or
// false if the phase may not be ended.
func (c *callerConn) evictable(now time.Time) (float64, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictableLocked(now)
}

func (c *callerConn) evictableLocked(now time.Time) (float64, time.Duration, bool) {
	phase := &c.input
	switch {
	case c.evicted || c.state == connClosed || c.state == connIdle:
		return 0, 0, false
	case c.writing:
		phase = &c.output
	case c.state == connServing && !c.readingBody:
		return 0, 0, false
	}
	return phase.rate(now), phase.age(now), phase.age(now) >= minEvictAge
}

// evict ends the current phase. The head of a request is not answered, a body that is being
// read is refused, a response that is being written is broken off.
func (c *callerConn) evict(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, _, ok := c.evictableLocked(now); !ok {
		return false
	}
	if !c.writing && persimconn.HasUnread(c.Conn) {
		// The host is slow to read, not the caller to send.
		c.input.restart(now)
		return false
	}
	c.evicted = true
	switch {
	case c.writing:
		c.closedCause = causeLeastProgress
		_ = c.Conn.SetWriteDeadline(past)
	case c.readingBody:
		_ = c.SetReadDeadline(past)
	default:
		c.setStateLocked(connClosed)
		c.closedCause = causeLeastProgress
		_ = c.Conn.Close()
	}
	return true
}

// makeRoom closes a connection if there are more than the limit: what has made the least
// progress, which an idle one has not made at all, else the new one.
func (cs *callerConns) makeRoom(added *callerConn) {
	if cs.maxOpen <= 0 || cs.size() <= cs.maxOpen {
		return
	}
	cs.count("connections_over_limit")
	if idle := cs.longestIdle(); idle != nil && idle.closeIdle() {
		cs.remove(idle)
		klog.InfoS("connection closed", "caller", idle.RemoteAddr().String(), "cause", causeTooManyConnections, "limit", cs.maxOpen)
		return
	}
	if cs.evictSlowest() {
		return
	}
	klog.InfoS("connection refused", "caller", added.RemoteAddr().String(), "cause", causeTooManyConnections, "limit", cs.maxOpen)
	_ = added.Close()
}

// longestIdle returns the connection that has been idle for the longest time, first among those
// that have carried no request, or nil if none has been idle for minIdleAge.
func (cs *callerConns) longestIdle() *callerConn {
	var longest *callerConn
	var since time.Time
	var served bool
	latest := time.Now().Add(-minIdleAge)
	for _, c := range cs.list() {
		c.mu.Lock()
		candidate := c.state == connIdle && c.since.Before(latest)
		switch {
		case !candidate:
		case longest == nil, served && !c.served, served == c.served && c.since.Before(since):
			longest, since, served = c, c.since, c.served
		}
		c.mu.Unlock()
	}
	return longest
}

// closeIdle closes the connection if it is idle and no byte of a request has arrived.
func (c *callerConn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle || persimconn.HasUnread(c.Conn) {
		return false
	}
	c.setStateLocked(connClosed)
	c.closedCause = causeTooManyConnections
	_ = c.Conn.Close()
	return true
}
