package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, seal %q, %d bytes, complete %v, error %v, after %.3f s", a.status, a.header.Get("X-Response-Seal"), len(a.body), a.complete, a.err, a.took.Seconds())
}

var lastID atomic.Int64

// newID returns a fresh X-Request-Id.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// client is a client with one connection that it keeps open.
type client struct {
	address string
	record  *record
	// key is the X-Api-Key, or empty for none.
	key    string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, length int, extra ...string) string {
	lines := []string{method + " " + path + " HTTP/1.1", "Host: shop.example", "X-Request-Id: " + id, fmt.Sprintf("X-Deadline-Ms: %d", deadline.Milliseconds())}
	if length > 0 || method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", length))
	}
	return strings.Join(append(lines, extra...), "\r\n") + "\r\n\r\n"
}

// do sends one attempt and waits for its answer until the deadline and a little longer.
func (c *client) do(method, path, id string, deadline time.Duration, body string, extra ...string) answer {
	began := time.Now()
	c.record.printf("client with key %q sends %s %s %s to %s", c.key, id, method, path, c.address)
	a := c.exchange(method, path, id, deadline, body, extra)
	a.took = time.Since(began)
	c.record.printf("client gets for %s: %v", id, a)
	return a
}

func (c *client) exchange(method, path, id string, deadline time.Duration, body string, extra []string) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if c.key != "" {
		extra = append(extra, "X-Api-Key: "+c.key)
	}
	if _, err := io.WriteString(c.conn, head(method, path, id, deadline, len(body), extra...)+body); err != nil {
		c.close()
		return answer{err: err}
	}
	return c.read(method)
}

// read reads one answer.
func (c *client) read(method string) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	data, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, header: response.Header, body: data, complete: err == nil, err: err}
	if err != nil || response.Close {
		c.close()
	}
	return a
}
