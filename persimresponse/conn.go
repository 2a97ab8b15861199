// Package persimresponse decides whether what a server sends is a whole and valid HTTP/1.1 response.
// It checks the bytes on the connection, below every client that reads responses: malformed heads
// are errors, and so is the end of a connection that was reset.
package persimresponse

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrConnFailed reports a connection that failed while the request was written, so that what was
// read before its end need not be the whole response.
var ErrConnFailed = errors.New("connection failed before the end of the response")

// Conn is a connection to a server whose reads fail with ErrMalformed in place of a malformed head,
// and with ErrConnFailed in place of io.EOF once the connection has failed. One goroutine may read
// while another writes.
type Conn struct {
	net.Conn
	head head
	// malformed is the error of all reads after a malformed head.
	malformed error

	// writing is held during a write.
	writing sync.Mutex
	// failure is the error of the first write that failed because the connection did, or nil.
	failure atomic.Pointer[error]
}

// NewConn returns a connection that expects the head of a response.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// ExpectHead tells that the next byte read begins the head of the next response. It must not be
// called during a read.
func (c *Conn) ExpectHead() { c.head = head{name: c.head.name} }

// Write writes to the connection. A socket returns the error of a reset once, to the reader or to
// the writer, so the writer keeps it for the reader.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if isFailure(err) {
		c.failure.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Read reads from the connection and checks the heads of responses.
func (c *Conn) Read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.malformed
	}
	n, err := c.Conn.Read(p)
	if errHead := c.head.scan(p[:n]); errHead != nil {
		c.malformed = errHead
		return 0, errHead
	}
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			return n, fmt.Errorf("%w: %w", ErrConnFailed, *failure)
		}
	}
	return n, err
}

// writeFailure returns the error with which the connection failed under a write, or nil if it was
// ended by its server. If both of its directions are closed, a write that is in progress ends at
// once and is awaited, since it may get the error. If only that of the server is, the write may
// go on for long and is not awaited.
func (c *Conn) writeFailure() *error {
	if bothClosed(c.Conn) {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	return c.failure.Load()
}

// isFailure reports whether the error of a write means that the connection failed before the server
// had ended its direction. The error is EPIPE otherwise.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// bothClosed reports whether both directions of a connection are closed. It is false for connections
// without a descriptor.
func bothClosed(conn net.Conn) bool {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := withDescriptor.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = control.Control(func(descriptor uintptr) { hungUp = pollHangUp(int32(descriptor)) })
	// The descriptor of a connection that this side has closed can't be used.
	return err != nil || hungUp
}

// pollHangUp reports whether both directions of the socket of a descriptor are closed.
func pollHangUp(descriptor int32) bool {
	polled := []unix.PollFd{{Fd: descriptor}}
	for {
		_, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && polled[0].Revents&unix.POLLHUP != 0
		}
	}
}
