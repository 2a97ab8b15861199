// Package persimconn keeps HTTP/1.1 connections to upstreams. It sends each
// request once: a connection that breaks is reported, never repeated.
package persimconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Defaults of a pool.
const (
	// DefaultDialTimeout bounds the opening of a connection; a round trip between
	// data centres is below 3 ms.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdle is how long a connection is kept where the upstream names no time.
	DefaultIdle = 4 * time.Second
	// DefaultIdleConns is the number of idle connections kept for one upstream.
	DefaultIdleConns = 24
	// idleShare is the part of the upstream's own idle time that is used, since
	// upstreams close sooner than they say.
	idleShare  = 0.5
	bufferSize = 4 << 10
)

type config struct {
	dialTimeout time.Duration
	idle        time.Duration
	idleConns   int
}

// An Option changes the configuration of a pool.
type Option func(*config)

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(c *config) { c.dialTimeout = timeout }
}

// WithIdle sets how long a connection is kept where the upstream names no time.
func WithIdle(idle time.Duration) Option { return func(c *config) { c.idle = idle } }

// A Pool opens and keeps connections.
type Pool interface {
	// Get returns a connection to an address, kept or new.
	Get(ctx context.Context, address string) (*Conn, error)
	// Forget closes the idle connections to an address.
	Forget(address string)
	// Sweep closes idle connections that are too old or that the upstream closed.
	Sweep()
}

type pool struct {
	config
	mu   sync.Mutex
	idle map[string][]*Conn
}

// New returns a pool and its clean-up function.
func New(opts ...Option) (Pool, func()) {
	c := config{dialTimeout: DefaultDialTimeout, idle: DefaultIdle, idleConns: DefaultIdleConns}
	for _, opt := range opts {
		opt(&c)
	}
	p := &pool{config: c, idle: map[string][]*Conn{}}
	return p, p.close
}

// A Conn is one connection to an upstream, used by one request at a time.
type Conn struct {
	net.Conn
	address string
	pool    *pool
	reader  *bufio.Reader
	writer  *bufio.Writer
	reused  bool
	expires time.Time
}

// Reused reports whether the connection served a request before.
func (c *Conn) Reused() bool { return c.reused }

func (p *pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		conn := p.take(address)
		if conn == nil {
			break
		}
		if conn.usable(time.Now()) {
			conn.reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	dialer := net.Dialer{Timeout: p.dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Conn{
		Conn:    raw,
		address: address,
		pool:    p,
		reader:  bufio.NewReaderSize(raw, bufferSize),
		writer:  bufio.NewWriterSize(raw, bufferSize),
	}, nil
}

func (p *pool) take(address string) *Conn {
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

// Keep returns the connection to its pool for at most the time that the upstream
// keeps it, or for the pool's own where that is zero.
func (c *Conn) Keep(upstreamIdle time.Duration) {
	idle := c.pool.config.idle
	if upstreamIdle > 0 {
		idle = min(idle, time.Duration(float64(upstreamIdle)*idleShare))
	}
	c.expires = time.Now().Add(idle)
	if c.SetDeadline(time.Time{}) != nil || !c.pool.put(c) {
		_ = c.Close()
	}
}

func (p *pool) put(conn *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil || len(p.idle[conn.address]) >= p.idleConns {
		return false
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
	return true
}

// usable reports whether a kept connection is open and holds no stray bytes.
func (c *Conn) usable(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var first [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, errPeek := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errPeek == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (p *pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(list)
}

func (p *pool) Sweep() {
	now := time.Now()
	var dead []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if conn.usable(now) {
				kept = append(kept, conn)
				continue
			}
			dead = append(dead, conn)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	closeAll(dead)
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
