package persimsoak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	readPath  = "/read/"
	orderPath = "/order/"
	// addedPath belongs to a route that comes and goes.
	addedPath = "/added/"

	patience     = 1500 * time.Millisecond
	giveUpAfter  = patience + time.Second
	connectLimit = time.Second
	thinkTime    = 12 * time.Millisecond
	// keepShare is one in how many requests that end their connection.
	keepShare = 20
)

// An outcome is what a caller saw of one request.
type outcome struct {
	id   string
	path string
	host int
	key  string
	body []byte
	// sent is when the last byte was sent, ended when the answer or the connection ended.
	sent  time.Time
	ended time.Time
	// status is zero where no answer came.
	status    int
	signature string
	echoed    string
	answer    []byte
	// whole says that the answer came to its end.
	whole bool
	// gaveUp says that the caller ended the connection itself.
	gaveUp bool
}

// A caller sends requests one after the other and keeps its connection.
type caller struct {
	system *system
	random *rand.Rand
	name   string
	count  int

	conn   net.Conn
	reader *bufio.Reader
	host   int
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			time.Sleep(thinkTime)
			continue
		}
		c.system.judge.saw(c.request())
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * thinkTime))))
	}
}

func (c *caller) dial() bool {
	c.host = c.random.IntN(len(c.system.hosts))
	if !c.system.hosts[c.host].inRotation() {
		return false
	}
	conn, err := net.DialTimeout("tcp4", c.system.hosts[c.host].callers, connectLimit)
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return true
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// next draws a request.
func (c *caller) next() (outcome, string) {
	c.count++
	o := outcome{id: fmt.Sprintf("%s-%d", c.name, c.count), host: c.host, key: c.system.operator.drawKey(c.random)}
	method := http.MethodGet
	switch c.random.IntN(8) {
	case 0, 1, 2:
		o.path = readPath
	case 3, 4:
		o.path, method = orderPath, http.MethodPost
		o.body = bytes.Repeat([]byte(o.id), 1+c.random.IntN(60))
	case 5, 6:
		o.path, method = persimstand.StreamPath, http.MethodPost
	default:
		o.path = addedPath
	}
	o.path += o.id
	return o, method
}

func (c *caller) request() outcome {
	o, method := c.next()
	_ = c.conn.SetDeadline(time.Now().Add(giveUpAfter))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, o.path, hostName, platform.HeaderRequestID, o.id, platform.HeaderKey, o.key,
		platform.HeaderTimeLeft, patience.Milliseconds(), len(o.body), o.body)
	o.sent = time.Now()
	if err == nil {
		err = c.read(&o)
	}
	o.ended = time.Now()
	var timeout net.Error
	o.gaveUp = errors.As(err, &timeout) && timeout.Timeout()
	if err != nil || c.random.IntN(keepShare) == 0 {
		c.hangUp()
	}
	return o
}

func (c *caller) read(o *outcome) error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	o.signature = resp.Header.Get(platform.HeaderSignature)
	o.echoed = resp.Header.Get(platform.HeaderRequestID)
	o.answer, err = io.ReadAll(resp.Body)
	o.whole = err == nil
	if err == nil && resp.Close {
		c.hangUp()
	}
	return err
}

// isStream reports whether the answer is a series of events.
func (o outcome) isStream() bool { return strings.HasPrefix(o.path, persimstand.StreamPath) }

// mayRepeat reports whether the request may run more than once.
func (o outcome) mayRepeat() bool {
	return strings.HasPrefix(o.path, readPath) || strings.HasPrefix(o.path, addedPath)
}

// served reports whether the caller got its answer.
func (o outcome) served() bool { return o.status == http.StatusOK && o.whole }
