package persimfront

import (
	"errors"
	"os"
	"time"
)

const (
	// writePieceBytes is the size of the pieces in which a response is written, each of which
	// must be taken by the caller within writeTimeout.
	writePieceBytes = 64 << 10
	// minWriteTime is the time until a deadline from which it is not set anew for a write.
	minWriteTime = writeTimeout * 4 / 5
)

// SetWriteDeadline sets the time after which writes fail. Zero means that only writeTimeout
// applies.
func (c *callerConn) SetWriteDeadline(end time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeEnd = end
	return nil
}

// Write writes in pieces. It fails if the caller doesn't take one in time.
func (c *callerConn) Write(p []byte) (int, error) {
	written, renew := 0, false
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		renewed, err := c.beginWrite(renew)
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		c.endWrite()
		written += n
		// A deadline that was set for an earlier write says nothing about this one.
		renew = errors.Is(err, os.ErrDeadlineExceeded) && !renewed
		if err != nil && !renew || written == len(p) {
			return written, err
		}
	}
}

// beginWrite sets the deadline of a write, unless the last one leaves enough time. It returns
// whether the deadline is that of this write.
func (c *callerConn) beginWrite(renew bool) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.writing = true
	c.output.restart(now)
	if c.evicted {
		return true, nil
	}
	end := now.Add(writeTimeout)
	if !c.writeEnd.IsZero() && c.writeEnd.Before(end) {
		end = c.writeEnd
	} else if !renew && c.writeDeadline.Sub(now) >= minWriteTime {
		return false, nil
	}
	c.writeDeadline = end
	return true, c.Conn.SetWriteDeadline(end)
}

func (c *callerConn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}
