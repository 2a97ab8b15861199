package persimconn

import (
	"errors"
	"net"
)

// maxHeadBytes limits the bytes that are read for the head of a response, including
// interim responses and up to one read buffer of its body.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong reports a response whose head exceeds the limit.
var ErrHeadTooLong = errors.New("upstream: head of response too long")

// headLimiter reads from a connection and fails once the head of a response exceeds
// maxHeadBytes. Outside of a head it does not limit.
type headLimiter struct {
	from net.Conn
	// inHead is set while a head is read, left is the number of bytes that it may
	// still have.
	inHead bool
	left   int
	// reserve is called with each part of a head, or nil.
	reserve func(part []byte) error
}

// ReserveHead sets a function that is called with each part of the head of the next response
// before that is parsed, and that ends the exchange by an error. A part may end with the first
// bytes of the body.
func (c *Conn) ReserveHead(reserve func(part []byte) error) { c.head.reserve = reserve }

func (l *headLimiter) begin() {
	l.inHead = true
	l.left = maxHeadBytes
}

func (l *headLimiter) end() {
	l.inHead = false
	l.reserve = nil
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.from.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.from.Read(p[:min(len(p), l.left)])
	l.left -= n
	if n > 0 && l.reserve != nil {
		if errReserve := l.reserve(p[:n]); errReserve != nil {
			return 0, errReserve
		}
	}
	return n, err
}
