package persimfront

import "time"

// writePieceBytes is the size of the pieces in which a response is written, each of which must
// be taken by the caller within writeTimeout.
const writePieceBytes = 64 << 10

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
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		if err := c.beginWrite(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		c.endWrite()
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *callerConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	end := now.Add(writeTimeout)
	if !c.writeEnd.IsZero() && c.writeEnd.Before(end) {
		end = c.writeEnd
	}
	c.writing = true
	c.output.restart(now)
	return c.Conn.SetWriteDeadline(end)
}

func (c *callerConn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}
