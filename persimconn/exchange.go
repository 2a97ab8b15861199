package persimconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Errors of an exchange; callers test for them with errors.Is.
var (
	// ErrNotSent reports that no byte of the request was sent to the upstream.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrUnknown reports that the request was sent and no complete response came.
	ErrUnknown = errors.New("upstream: outcome unknown")
)

// Exchange is a request sent on a connection and the header of its response.
type Exchange struct {
	Response  *http.Response
	conn      *Conn
	stopWatch func() bool
	writeDone <-chan error
	// earlyResponse is set when the response came before the request was written.
	earlyResponse bool
}

// Send writes the request, with its RequestURI as the target, and reads the header of the
// response. The connection is closed when the context ends and after an error.
func Send(ctx context.Context, conn *Conn, req *http.Request) (*Exchange, error) {
	stopWatch := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if ctx.Err() != nil {
		stopWatch()
		_ = conn.Close()
		return nil, ErrNotSent
	}
	writeDone := make(chan error, 1)
	if req.ContentLength > bufferSize {
		go func() { writeDone <- conn.write(req) }()
	} else {
		writeDone <- conn.write(req)
	}
	e := &Exchange{conn: conn, stopWatch: stopWatch, writeDone: writeDone}
	response, err := conn.readHead(req)
	if err != nil {
		e.Abandon()
		return nil, errors.Join(ErrUnknown, err)
	}
	e.Response = response
	e.earlyResponse = len(writeDone) == 0
	return e, nil
}

func (c *Conn) write(req *http.Request) error {
	if err := writeRequest(c.writer, req); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readHead returns the header of the final response and skips interim responses, which
// count in the limit on the head.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	c.checked.ExpectHead()
	c.head.begin()
	defer c.head.end()
	for {
		response, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Abandon closes the connection instead of returning it to its pool.
func (e *Exchange) Abandon() {
	e.stopWatch()
	_ = e.conn.Close()
}

// Finish releases the connection after the response was read completely. It returns
// the connection to its pool if it can serve another request, and closes it otherwise.
func (e *Exchange) Finish() {
	stopped := e.stopWatch()
	if !stopped || e.earlyResponse || e.Response.Close || !e.Framed() || e.conn.reader.Buffered() > 0 {
		_ = e.conn.Close()
		return
	}
	if err := <-e.writeDone; err != nil {
		_ = e.conn.Close()
		return
	}
	e.conn.Release(keepAliveTimeout(e.Response.Header))
}

const (
	// maxDiscardBytes is the largest rest of a body that Discard reads; a new connection
	// costs less than reading more.
	maxDiscardBytes = 64 << 10
	// discardTimeout limits the time that Discard waits for the rest of a body.
	discardTimeout = 100 * time.Millisecond
)

// errNotRead reports a response that Discard has not read to its end.
var errNotRead = errors.New("upstream: rest of response not read")

// Discard reads the rest of a short response and releases its connection. It closes the
// connection and returns an error otherwise: ErrUnknown for a response that broke off, another one
// for a body that is long or does not end soon.
func (e *Exchange) Discard() error {
	if err := e.conn.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		e.Abandon()
		return errors.Join(errNotRead, err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(e, maxDiscardBytes+1))
	switch {
	case n > maxDiscardBytes || errors.Is(err, os.ErrDeadlineExceeded):
		e.Abandon()
		return errNotRead
	case err != nil:
		e.Abandon()
		return err
	}
	e.Finish()
	return nil
}

// Framed reports whether the response says where its body ends; otherwise the body ends
// with the connection.
func (e *Exchange) Framed() bool { return e.Response.ContentLength >= 0 || chunked(e.Response) }

func chunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, or zero.
func keepAliveTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Read reads the body of the response.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Join(ErrUnknown, err)
	}
	return n, err
}
