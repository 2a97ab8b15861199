package persimfront

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimlog"
)

const (
	// maxDiscardTime limits the time in which the body of a refused request is read.
	maxDiscardTime = 5 * time.Second
	// bodyProgress is the number of bytes of a body that must arrive within the idle timeout.
	bodyProgress = 1 << 10
	// deadlineSteps is how often in an idle timeout the deadline of a body is moved at most.
	deadlineSteps = 8
)

// holdHead reserves the memory of a head that was parsed, where less was reserved before. It
// returns a refusal if there is none.
func (c *call) holdHead() *refusal {
	cost := requestCost(c.request)
	if c.held.settle(cost) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, cause: causeNoHeadMemory, retryDelay: c.front.memory.wait(time.Now(), cost)}
}

// bodyReader reads the body of a request as long as it makes progress.
type bodyReader struct {
	body    io.Reader
	conn    *callerConn
	control *http.ResponseController
	// end is when the request ends, progressTimeout the time within which bodyProgress must come.
	end             time.Time
	progressTimeout time.Duration
	// movedAt is when the deadline was last set, arrived are the bytes since.
	movedAt time.Time
	arrived int
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.arrived += n
	if err == nil && b.arrived >= bodyProgress && time.Since(b.movedAt) >= b.progressTimeout/deadlineSteps {
		err = b.moveDeadline()
	}
	return n, err
}

func (b *bodyReader) moveDeadline() error {
	b.movedAt, b.arrived = time.Now(), 0
	end := b.end
	if next := b.movedAt.Add(b.progressTimeout); b.progressTimeout > 0 && next.Before(end) {
		end = next
	}
	if b.conn != nil {
		return b.conn.setBodyDeadline(end)
	}
	return b.control.SetReadDeadline(end)
}

// setBodyDeadline sets the time until which a body is read, unless it is evicted.
func (c *callerConn) setBodyDeadline(end time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	if !c.readingBody {
		c.readingBody = true
		c.input.restart(time.Now())
	}
	return c.SetReadDeadline(end)
}

// endBody records that no more of a body is read. It returns whether the body was evicted.
func (c *callerConn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
	return c.evicted
}

// readBody reads the body, for which memory is reserved first. It refuses a body above the
// limit, one for which there is no memory, and one that makes no progress.
func (c *call) readBody(w http.ResponseWriter, limits persimcatalog.Limits) *refusal {
	size := c.request.ContentLength
	if size == 0 {
		return nil
	}
	// A body that is larger than the memory can never be read.
	limit := c.front.memory.limit
	if limits.BodyBytes > 0 {
		limit = min(limit, limits.BodyBytes)
	}
	if size > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: "body too large"}
	}
	control := http.NewResponseController(w)
	reader := &bodyReader{
		body: c.request.Body, conn: connOf(c.request), control: control, end: c.deadline, progressTimeout: c.front.limits().IdleTimeout,
	}
	if err := reader.moveDeadline(); err != nil {
		klog.ErrorS(nil, "front: read deadline not set", "request", c.id, "error", persimlog.ErrorText(err))
	}
	body, err := c.held.readBody(reader, size, limit)
	// Trailers are not forwarded, and nothing is reserved for them.
	c.request.Trailer = nil
	evicted := reader.conn != nil && reader.conn.endBody()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.refuseSlowBody(w, evicted)
	}
	if errDeadline := control.SetReadDeadline(time.Time{}); errDeadline != nil {
		klog.ErrorS(nil, "front: read deadline not cleared", "request", c.id, "error", persimlog.ErrorText(errDeadline))
	}
	switch {
	case errors.Is(err, errMemoryFull):
		return &refusal{
			status: http.StatusServiceUnavailable, cause: "bodies fill the memory",
			retryDelay: c.front.memory.wait(time.Now(), max(size, int64(len(body)))),
		}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, cause: "body not whole"}
	case int64(len(body)) > limit:
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: "body too large"}
	}
	c.body = body
	return nil
}

// refuseSlowBody returns the refusal of a body that made no progress. The read deadline stays
// in the past, so that the connection is closed without reading the rest.
func (c *call) refuseSlowBody(w http.ResponseWriter, evicted bool) *refusal {
	w.Header().Set("Connection", "close")
	c.bodyEnded = true
	if evicted {
		return &refusal{status: http.StatusServiceUnavailable, cause: causeLeastProgress, retryDelay: minRetryAfter}
	}
	c.front.callerConns.count("bodies_timed_out")
	return &refusal{status: http.StatusRequestTimeout, cause: "body too slow"}
}

// discardBody reads the body of a refused request and keeps none of it. A connection that is
// closed while the caller still sends may be reset, and the response lost. One whose body
// does not end in time carries no more requests.
func (c *call) discardBody(control *http.ResponseController) {
	if err := control.SetReadDeadline(time.Now().Add(maxDiscardTime)); err != nil {
		return
	}
	n, err := io.Copy(io.Discard, c.request.Body)
	if errDeadline := control.SetReadDeadline(time.Time{}); err == nil {
		err = errDeadline
	}
	if err != nil {
		klog.V(1).InfoS("refusal: body not read to its end", "request", c.id, "bytes", n, "error", persimlog.ErrorText(err))
		// The server would read on, beside its own watch of the connection.
		panic(http.ErrAbortHandler)
	}
}
