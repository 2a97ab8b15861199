package persimsoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkFault is a fault that a proxy applies to its connections.
type linkFault int

const (
	linkFaultNone linkFault = iota
	// linkFaultDelay delays each read by linkDelay.
	linkFaultDelay
	// linkFaultReset resets open connections and closes new ones.
	linkFaultReset
	// linkFaultStall keeps connections open and forwards nothing.
	linkFaultStall
	// linkFaultDropResponses forwards what clients send and drops what comes back. A connection that
	// has lost bytes delivers no later ones, as TCP would not.
	linkFaultDropResponses
)

const (
	linkDelay       = 120 * time.Millisecond
	dialTimeout     = time.Second
	copyBufferBytes = 16 << 10
	// faultPollInterval is how often a stalled link checks whether the fault has ended.
	faultPollInterval = 20 * time.Millisecond
)

// proxy forwards connections over loopback and can inject faults into them.
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

// setFault changes the fault; linkFaultReset also resets the open connections.
func (p *proxy) setFault(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault == linkFaultReset {
		p.resetConns()
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetConns closes all connections with a TCP reset. The caller must hold mu.
func (p *proxy) resetConns() {
	for conn := range p.conns {
		reset(conn)
	}
	p.conns = map[net.Conn]bool{}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetConns()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.proxyConn(client)
	}
}

func (p *proxy) proxyConn(client net.Conn) {
	target, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil || p.currentFault() == linkFaultReset {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[target] = true, true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(target, client, false) })
	directions.Go(func() { p.forward(client, target, true) })
	directions.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, target)
	_ = client.Close()
	_ = target.Close()
}

// forward copies from one connection to the other until one of them ends.
func (p *proxy) forward(to, from net.Conn, response bool) {
	buffer := make([]byte, copyBufferBytes)
	lost := false
	for {
		n, err := from.Read(buffer)
		lost = lost || n > 0 && !p.mayForward(response)
		if n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil && lost {
			reset(to)
			return
		}
		if err != nil {
			closeWrite(to, err)
			return
		}
	}
}

// mayForward waits as the fault requires and reports whether the data is forwarded.
func (p *proxy) mayForward(response bool) bool {
	for {
		switch p.currentFault() {
		case linkFaultDelay:
			time.Sleep(linkDelay)
			return true
		case linkFaultDropResponses:
			return !response
		case linkFaultReset:
			return false
		case linkFaultStall:
			time.Sleep(faultPollInterval)
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
