// Package persimexchange exchanges the states of entry hosts over QUIC.
package persimexchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"k8s.io/klog/v2"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimwire"
)

const (
	// DefaultIdleTimeout is the time after which an unused connection is closed. A
	// connection whose peer is silent is closed when a request on it gets no response.
	DefaultIdleTimeout = 15 * time.Second
	// serveTimeout limits the time to read a request and to write its response.
	serveTimeout = 1500 * time.Millisecond
	// DefaultHandshakeTimeout limits the QUIC handshake of a connection.
	DefaultHandshakeTimeout = 600 * time.Millisecond
	// maxIncomingStreams is the number of concurrent requests accepted on one connection.
	maxIncomingStreams = 32
	// maxStreamWindow and maxConnWindow bound what another host may send, in bytes, before it is
	// read.
	maxStreamWindow = 1 << 20
	maxConnWindow   = 4 << 20
	alpnProtocol    = "persim-exchange"
)

// Handler returns the state of this host in response to the state of another.
type Handler func(request *persimwire.Exchange) *persimwire.Exchange

// Links manages the connections between this host and others.
type Links interface {
	// Exchange sends the state of this host to the host at an address and returns the state
	// of that host.
	Exchange(ctx context.Context, address string, request *persimwire.Exchange) (*persimwire.Exchange, error)
	// Serve handles the requests of other hosts until the context is cancelled.
	Serve(ctx context.Context, handle Handler) error
	// Disconnect closes the connection to an address.
	Disconnect(address string)
}

type links struct {
	identity  persimkeys.SharedIdentity
	transport *quic.Transport
	memory    readMemory

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// New listens on a UDP address and returns the links and a function that closes them.
func New(address string, identity persimkeys.SharedIdentity) (Links, func(), error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	udpConn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	l := &links{identity: identity, transport: &quic.Transport{Conn: udpConn}, memory: newReadMemory(), conns: map[string]*quic.Conn{}}
	cleanup := func() {
		_ = l.transport.Close()
		_ = udpConn.Close()
	}
	return l, cleanup, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       DefaultHandshakeTimeout,
		MaxIdleTimeout:             DefaultIdleTimeout,
		MaxIncomingStreams:         maxIncomingStreams,
		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnWindow,
	}
}

func (l *links) Exchange(ctx context.Context, address string, request *persimwire.Exchange) (*persimwire.Exchange, error) {
	conn, err := l.connect(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := l.roundTrip(ctx, conn, request)
	if err != nil {
		l.closeConn(address, conn)
		return nil, trace.Wrap(err)
	}
	return response, nil
}

// connect returns the open connection to an address, or a new one.
func (l *links) connect(ctx context.Context, address string) (*quic.Conn, error) {
	l.mu.Lock()
	existing, found := l.conns[address]
	l.mu.Unlock()
	if found && existing.Context().Err() == nil {
		return existing, nil
	}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := l.transport.Dial(ctx, addr, l.identity.ClientConfig(alpnProtocol), quicConfig())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.mu.Lock()
	l.conns[address] = conn
	l.mu.Unlock()
	return conn, nil
}

// closeConn closes a connection and removes it from the map unless a new one has replaced
// it.
func (l *links) closeConn(address string, conn *quic.Conn) {
	l.mu.Lock()
	if l.conns[address] == conn {
		delete(l.conns, address)
	}
	l.mu.Unlock()
	_ = conn.CloseWithError(0, "no answer")
}

func (l *links) Disconnect(address string) {
	l.mu.Lock()
	conn, ok := l.conns[address]
	l.mu.Unlock()
	if ok {
		l.closeConn(address, conn)
	}
}

// roundTrip sends a request on a new stream and reads the response.
func (l *links) roundTrip(ctx context.Context, conn *quic.Conn, request *persimwire.Exchange) (*persimwire.Exchange, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if err := writeMessage(stream, request); err != nil {
		return nil, trace.Wrap(err)
	}
	response, release, err := readMessage(stream, l.memory.forConn())
	if err != nil {
		return nil, err
	}
	release()
	return response, nil
}

func (l *links) Serve(ctx context.Context, handle Handler) error {
	listener, err := l.transport.Listen(l.identity.ServerConfig(alpnProtocol), quicConfig())
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = listener.Close() }()
	for {
		conn, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		go serveConn(ctx, conn, l.memory.forConn(), handle)
	}
}

func serveConn(ctx context.Context, conn *quic.Conn, memory readMemory, handle Handler) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go serveStream(stream, memory, handle)
	}
}

// serveStream handles one request. An error resets the stream, which the requesting
// host sees, and nothing more of it is taken in.
func serveStream(stream *quic.Stream, memory readMemory, handle Handler) {
	defer stream.CancelRead(0)
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	request, release, err := readMessage(stream, memory)
	if err != nil {
		klog.V(1).InfoS("exchange: request not read", "error", persimlog.ErrorText(err))
		stream.CancelWrite(0)
		return
	}
	defer release()
	if err := writeMessage(stream, handle(request)); err != nil {
		stream.CancelWrite(0)
	}
}
