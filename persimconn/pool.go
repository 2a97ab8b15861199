// Package persimconn pools HTTP/1.1 connections to upstreams. It sends each request
// at most once: a broken connection is reported and the request is never retried.
package persimconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"persimmonport.example/persimresponse"
)

// Defaults of a pool.
const (
	// DefaultDialTimeout limits the time to open a connection; a round trip between
	// data centres is below 3 ms.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout limits how long an idle connection is kept. It applies alone
	// where the upstream sends no Keep-Alive timeout.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxIdleConns is the maximum number of idle connections to one upstream.
	DefaultMaxIdleConns = 24
	// idleTimeoutShare is the share of the upstream's Keep-Alive timeout that is used,
	// since upstreams close connections sooner than they announce.
	idleTimeoutShare = 0.5
	// bufferSize is the size of the read and write buffers of a connection, in bytes.
	bufferSize = 4 << 10
)

type config struct {
	dialTimeout  time.Duration
	idle         time.Duration
	maxIdleConns int
	maxConns     int
}

// Option changes the configuration of a pool.
type Option func(*config)

// WithDialTimeout limits the time to open a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(c *config) { c.dialTimeout = timeout }
}

// WithIdleTimeout limits how long an idle connection is kept. It applies alone where
// the upstream sends no Keep-Alive timeout.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *config) { c.idle = timeout }
}

// WithMaxConns limits the number of open connections to all upstreams. Zero means no limit.
func WithMaxConns(conns int) Option {
	return func(c *config) { c.maxConns = conns }
}

// ErrTooManyConns reports that no connection was opened, since as many as allowed are in use.
var ErrTooManyConns = errors.New("too many connections to upstreams")

// Pool opens connections and keeps idle ones for reuse.
type Pool interface {
	// Get returns an idle or a new connection to an address.
	Get(ctx context.Context, address string) (*Conn, error)
	// CloseIdle closes the idle connections to an address.
	CloseIdle(address string)
	// Sweep closes idle connections that have expired, that the upstream closed or
	// that hold unsolicited bytes.
	Sweep()
}

type pool struct {
	config
	mu sync.Mutex
	// idle holds the idle connections by address, the last used one last.
	idle map[string][]*Conn
	// open is the number of connections that are open or being opened.
	open int
}

// New returns a pool and the function that closes it.
func New(opts ...Option) (Pool, func()) {
	c := config{dialTimeout: DefaultDialTimeout, idle: DefaultIdleTimeout, maxIdleConns: DefaultMaxIdleConns}
	for _, opt := range opts {
		opt(&c)
	}
	p := &pool{config: c, idle: map[string][]*Conn{}}
	return p, p.close
}

// Conn is a connection to an upstream, used by one request at a time. Requests and responses go
// through checked, and are read and written nowhere else.
type Conn struct {
	net.Conn
	address string
	pool    *pool
	checked *persimresponse.Conn
	head    *headLimiter
	reader  *bufio.Reader
	writer  *bufio.Writer
	reused  bool
	expires time.Time
	closed  sync.Once
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.pool.removeOpen)
	return err
}

// Reused reports whether the connection has served an earlier request.
func (c *Conn) Reused() bool { return c.reused }

func (p *pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		conn := p.popIdle(address)
		if conn == nil {
			break
		}
		if conn.usable(time.Now()) {
			conn.reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	if !p.addOpen() {
		return nil, ErrTooManyConns
	}
	dialer := net.Dialer{Timeout: p.dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.removeOpen()
		return nil, err
	}
	checked := persimresponse.NewConn(netConn)
	head := &headLimiter{from: checked}
	return &Conn{
		Conn:    netConn,
		address: address,
		pool:    p,
		checked: checked,
		head:    head,
		reader:  bufio.NewReaderSize(head, bufferSize),
		writer:  bufio.NewWriterSize(checked, bufferSize),
	}, nil
}

// addOpen counts a connection that is about to be opened, and closes an idle one where there
// are as many as allowed. It returns false if all are in use.
func (p *pool) addOpen() bool {
	p.mu.Lock()
	var surplus *Conn
	if p.maxConns > 0 && p.open >= p.maxConns {
		surplus = p.anyIdle()
		if surplus == nil {
			p.mu.Unlock()
			return false
		}
	}
	p.open++
	p.mu.Unlock()
	if surplus != nil {
		_ = surplus.Close()
	}
	return true
}

// anyIdle removes an idle connection from the pool, or returns nil if there is none.
func (p *pool) anyIdle() *Conn {
	for address, list := range p.idle {
		if len(list) > 0 {
			p.idle[address] = list[1:]
			return list[0]
		}
	}
	return nil
}

func (p *pool) removeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

// Release returns the connection to its pool. It is kept for the idle timeout of the
// pool, or for a share of the upstream's timeout where that is set and shorter.
func (c *Conn) Release(upstreamTimeout time.Duration) {
	timeout := c.pool.config.idle
	if upstreamTimeout > 0 {
		timeout = min(timeout, time.Duration(float64(upstreamTimeout)*idleTimeoutShare))
	}
	c.expires = time.Now().Add(timeout)
	if c.SetDeadline(time.Time{}) != nil || !c.pool.putIdle(c) {
		_ = c.Close()
	}
}

func (p *pool) putIdle(conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil || len(p.idle[conn.address]) >= p.maxIdleConns {
		return false
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
	return true
}

// usable reports whether an idle connection is open, unexpired and without
// unsolicited bytes.
func (c *Conn) usable(now time.Time) bool {
	return !now.After(c.expires) && c.reader.Buffered() == 0 && !readable(c.Conn)
}

func (p *pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(list)
}

func (p *pool) Sweep() {
	now := time.Now()
	var unusable []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if conn.usable(now) {
				kept = append(kept, conn)
				continue
			}
			unusable = append(unusable, conn)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	closeAll(unusable)
}

func (p *pool) close() {
	p.mu.Lock()
	all := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, list := range all {
		closeAll(list)
	}
}

func closeAll(list []*Conn) {
	for _, conn := range list {
		_ = conn.Close()
	}
}
