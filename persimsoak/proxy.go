package persimsoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// A linkFault is what a proxy does to the bytes that pass through it.
type linkFault int

const (
	linkPasses linkFault = iota
	// linkDelays holds each piece back.
	linkDelays
	// linkResets resets connections, also new ones.
	linkResets
	// linkIsSilent keeps connections open and passes nothing on.
	linkIsSilent
	// linkLosesAnswers passes on what callers send and nothing of what comes back.
	linkLosesAnswers
)

const (
	linkDelay   = 120 * time.Millisecond
	dialTimeout = time.Second
	pieceBytes  = 16 << 10
	// faultPoll is how often a silent link looks whether it passes again.
	faultPoll = 20 * time.Millisecond
)

// A proxy passes connections on over loopback and can be told to harm them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
}

// newProxy returns a proxy to a target, and its clean-up function.
func newProxy(target string) (*proxy, func(), error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, p.close, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the fault; a reset also ends the connections that are open.
func (p *proxy) set(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault == linkResets {
		p.reset()
	}
}

func (p *proxy) current() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset ends all connections without a farewell; the caller holds the lock.
func (p *proxy) reset() {
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	p.conns = map[net.Conn]bool{}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(caller)
	}
}

func (p *proxy) join(caller net.Conn) {
	target, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil || p.current() == linkResets {
		_ = caller.Close()
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(target, caller, false) })
	both.Go(func() { p.pass(caller, target, true) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, caller)
	delete(p.conns, target)
	_ = caller.Close()
	_ = target.Close()
}

// pass copies from one end to the other until one of them ends.
func (p *proxy) pass(to, from net.Conn, answers bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && p.lets(answers) {
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			closeWrite(to, err)
			return
		}
	}
}

// lets waits as the fault demands and reports whether a piece goes on.
func (p *proxy) lets(answer bool) bool {
	for {
		switch p.current() {
		case linkDelays:
			time.Sleep(linkDelay)
			return true
		case linkLosesAnswers:
			return !answer
		case linkResets:
			return false
		case linkIsSilent:
			time.Sleep(faultPoll)
		default:
			return true
		}
	}
}

func closeWrite(conn net.Conn, err error) {
	if tcp, ok := conn.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	_ = conn.Close()
}
