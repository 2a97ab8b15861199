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
	// toggledPath belongs to a route that the operator adds and removes.
	toggledPath = "/added/"

	requestTimeout = 1500 * time.Millisecond
	callerTimeout  = requestTimeout + time.Second
	connectTimeout = time.Second
	thinkTime      = 12 * time.Millisecond
	// requestsPerConnection is the mean number of requests after which a caller closes
	// its connection.
	requestsPerConnection = 20
	// idleAfterStream and idleAfterCall make an unhurried caller stay idle after one
	// stream, or one other request, in so many.
	idleAfterStream = 2
	idleAfterCall   = 3
	// An idle timeout up to maxMetTimeout is met, except by one idle time in meetInterval,
	// with a deviation up to meetJitter.
	maxMetTimeout = 2 * time.Second
	meetInterval  = 4
	meetJitter    = 600 * time.Microsecond
)

// oddTargets begin the targets of requests to oddHostName. A library that takes a target
// apart may write it in another way.
var oddTargets = []string{"//read/", "///", "/%2f/", "/a//../b/./", "/caf\xc3\xa9|{}/", "/a?//", "/??b=%41&c;", "/a#b/"}

// outcome is what a caller observed of one request.
type outcome struct {
	id string
	// host and path are the name of the host and the target in the request.
	host, path  string
	hostIndex   int
	key         string
	requestBody []byte
	// prompt holds the header fields of the prompt of a stream. deadly is set if a part of
	// it is deadly.
	prompt string
	deadly bool
	// idle is how long the connection had been idle before the request.
	idle time.Duration
	// began is when the first byte was sent, sent when the last one was, ended when the
	// response or the connection ended.
	began time.Time
	sent  time.Time
	ended time.Time
	// status is zero if there was no response.
	status    int
	signature string
	echoedID  string
	body      []byte
	// complete is set if the response was read to its end.
	complete bool
	// timedOut is set if the caller closed the connection after its own timeout.
	timedOut bool
}

// caller sends requests one at a time over a persistent connection.
type caller struct {
	system       *system
	random       *rand.Rand
	name         string
	requestCount int
	// unhurried callers stay idle between some requests.
	unhurried bool

	conn      net.Conn
	reader    *bufio.Reader
	hostIndex int
	idleTime  time.Duration
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			time.Sleep(thinkTime)
			continue
		}
		o := c.roundTrip()
		c.system.checker.observe(o)
		c.pause(ctx, o)
	}
}

// pause waits for the think time, or stays idle for longer after some requests of an
// unhurried caller.
func (c *caller) pause(ctx context.Context, last outcome) {
	c.idleTime = 0
	interval := idleAfterCall
	if last.isStream() {
		interval = idleAfterStream
	}
	if c.unhurried && c.conn != nil && c.random.IntN(interval) == 0 {
		c.stayIdle(ctx, c.drawIdleTime())
		return
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(2 * thinkTime))))
}

// drawIdleTime returns a random time up to four fifths of the idle timeout, or around
// a short idle timeout, where a request may arrive while its connection is being closed.
func (c *caller) drawIdleTime() time.Duration {
	timeout := c.system.operator.shortestIdleTimeout()
	if timeout <= maxMetTimeout && c.random.IntN(meetInterval) > 0 {
		return timeout + time.Duration(c.random.Int64N(int64(2*meetJitter))) - meetJitter
	}
	// The longer of two draws makes long idle times more likely.
	limit := int64(timeout * 4 / 5)
	return time.Duration(max(c.random.Int64N(limit), c.random.Int64N(limit)))
}

// stayIdle keeps the connection open without a request, until the host closes it or the
// context ends.
func (c *caller) stayIdle(ctx context.Context, duration time.Duration) {
	start, conn := time.Now(), c.conn
	_ = conn.SetReadDeadline(start.Add(duration))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(start) })
	defer stop()
	if _, err := c.reader.Peek(1); err != nil && !isTimeout(err) {
		c.disconnect()
		return
	}
	c.idleTime = time.Since(start)
}

func (c *caller) dial() bool {
	c.hostIndex = c.random.IntN(len(c.system.hosts))
	if !c.system.hosts[c.hostIndex].inRotation() {
		return false
	}
	conn, err := net.DialTimeout("tcp4", c.system.hosts[c.hostIndex].callerAddress, connectTimeout)
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// newRequest returns a random request and its method.
func (c *caller) newRequest() (outcome, string) {
	c.requestCount++
	o := outcome{host: hostName, id: fmt.Sprintf("%s-%d", c.name, c.requestCount), hostIndex: c.hostIndex, key: c.system.operator.drawKey(c.random), idle: c.idleTime}
	method := http.MethodGet
	switch c.random.IntN(8) {
	case 0, 1:
		o.path = readPath
	case 2:
		o.host, o.path = oddHostName, oddTargets[c.random.IntN(len(oddTargets))]
	case 3, 4:
		o.path, method = orderPath, http.MethodPost
		o.requestBody = bytes.Repeat([]byte(o.id), 1+c.random.IntN(60))
	case 5, 6:
		o.path, method = persimstand.StreamPath, http.MethodPost
		c.addPrompt(&o)
	default:
		o.path = toggledPath
	}
	o.path += o.id
	return o, method
}

// addPrompt adds a prompt, sometimes with the deadly part.
func (c *caller) addPrompt(o *outcome) {
	o.deadly = c.random.IntN(deadlyInterval) == 0 && c.system.upstreams.poison.isDeadly()
	parts := fmt.Sprintf("%x:%d,%x:%d", sharedPart, sharedTokens, firstGroup+c.random.IntN(groupCount), groupTokens)
	tokens := sharedTokens + groupTokens + ownTokens
	if o.deadly {
		parts += fmt.Sprintf(",%x:%d", deadlyPart, deadlyTokens)
		tokens += deadlyTokens
	}
	o.prompt = fmt.Sprintf("%s: %d,%d\r\n%s: %s,%x:%d\r\n", platform.HeaderTokenCount, tokens, outputTokens,
		platform.HeaderPrefixHash, parts, c.random.Uint64(), ownTokens)
}

func (c *caller) roundTrip() outcome {
	o, method := c.newRequest()
	o.began = time.Now()
	_ = c.conn.SetDeadline(o.began.Add(callerTimeout))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n%s\r\n%s",
		method, o.path, o.host, platform.HeaderRequestID, o.id, platform.HeaderAPIKey, o.key,
		platform.HeaderTimeLeft, requestTimeout.Milliseconds(), len(o.requestBody), o.prompt, o.requestBody)
	o.sent = time.Now()
	if err == nil {
		err = c.readResponse(&o)
	}
	o.ended = time.Now()
	o.timedOut = isTimeout(err)
	if err != nil || c.random.IntN(requestsPerConnection) == 0 {
		c.disconnect()
	}
	return o
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (c *caller) readResponse(o *outcome) error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	o.signature = resp.Header.Get(platform.HeaderSignature)
	o.echoedID = resp.Header.Get(platform.HeaderRequestID)
	o.body, err = io.ReadAll(resp.Body)
	o.complete = err == nil
	if err == nil && resp.Close {
		c.disconnect()
	}
	return err
}

// isStream reports whether the response is a stream of events.
func (o outcome) isStream() bool { return strings.HasPrefix(o.path, persimstand.StreamPath) }

// idempotent reports whether the request may run more than once.
func (o outcome) idempotent() bool {
	return o.host == oddHostName || strings.HasPrefix(o.path, readPath) || strings.HasPrefix(o.path, toggledPath)
}

// served reports whether the caller got a complete successful response.
func (o outcome) served() bool { return o.status == http.StatusOK && o.complete }
