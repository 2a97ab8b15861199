// Package persimexchange lets entry hosts ask each other for their state over QUIC.
package persimexchange

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimwire"
)

const (
	// DefaultIdle is the time after which an unused link is closed. A link that goes
	// silent is dropped when an ask on it gets no answer.
	DefaultIdle = 15 * time.Second
	// answerTimeout bounds the answer to one ask.
	answerTimeout = 1500 * time.Millisecond
	// DefaultHandshake bounds the opening of a link.
	DefaultHandshake = 600 * time.Millisecond
	// maxMessageBytes is the largest message taken; a configuration is at most 1 MB.
	maxMessageBytes = 4 << 20
	maxStreams      = 256
	protocol        = "persim-exchange"
)

// An Answer returns a host's state for one that asks.
type Answer func(ask *persimwire.Exchange) *persimwire.Exchange

// Links are the connections to other hosts.
type Links interface {
	// Ask sends a host's state to an address and returns the state of the one there.
	Ask(ctx context.Context, address string, ask *persimwire.Exchange) (*persimwire.Exchange, error)
	// Serve answers other hosts until the context ends.
	Serve(ctx context.Context, answer Answer) error
	// Forget closes the link to an address.
	Forget(address string)
}

type links struct {
	keys      persimkeys.Shared
	transport *quic.Transport

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// New listens on a UDP address. It returns the links and their clean-up function.
func New(address string, keys persimkeys.Shared) (Links, func(), error) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	l := &links{keys: keys, transport: &quic.Transport{Conn: conn}, conns: map[string]*quic.Conn{}}
	cleanup := func() {
		_ = l.transport.Close()
		_ = conn.Close()
	}
	return l, cleanup, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: DefaultHandshake,
		MaxIdleTimeout:       DefaultIdle,
		MaxIncomingStreams:   maxStreams,
	}
}

func (l *links) Ask(ctx context.Context, address string, ask *persimwire.Exchange) (*persimwire.Exchange, error) {
	conn, err := l.conn(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reply, err := askOn(ctx, conn, ask)
	if err != nil {
		l.drop(address, conn)
		return nil, trace.Wrap(err)
	}
	return reply, nil
}

func (l *links) conn(ctx context.Context, address string) (*quic.Conn, error) {
	l.mu.Lock()
	known, ok := l.conns[address]
	l.mu.Unlock()
	if ok && known.Context().Err() == nil {
		return known, nil
	}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := l.transport.Dial(ctx, addr, l.keys.ClientConfig(protocol), quicConfig())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l.mu.Lock()
	l.conns[address] = conn
	l.mu.Unlock()
	return conn, nil
}

func (l *links) drop(address string, conn *quic.Conn) {
	l.mu.Lock()
	if l.conns[address] == conn {
		delete(l.conns, address)
	}
	l.mu.Unlock()
	_ = conn.CloseWithError(0, "no answer")
}

func (l *links) Forget(address string) {
	l.mu.Lock()
	conn, ok := l.conns[address]
	l.mu.Unlock()
	if ok {
		l.drop(address, conn)
	}
}

func askOn(ctx context.Context, conn *quic.Conn, ask *persimwire.Exchange) (*persimwire.Exchange, error) {
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
	if err := write(stream, ask); err != nil {
		return nil, trace.Wrap(err)
	}
	return read(stream)
}

func write(stream *quic.Stream, message *persimwire.Exchange) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := stream.Write(data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(stream.Close())
}

func read(stream *quic.Stream) (*persimwire.Exchange, error) {
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	message := &persimwire.Exchange{}
	return message, trace.Wrap(proto.Unmarshal(data, message))
}

func (l *links) Serve(ctx context.Context, answer Answer) error {
	listener, err := l.transport.Listen(l.keys.ServerConfig(protocol), quicConfig())
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
		go serveConn(ctx, conn, answer)
	}
}

func serveConn(ctx context.Context, conn *quic.Conn, answer Answer) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go serveStream(stream, answer)
	}
}

// serveStream answers one ask. An error ends the stream, which the one who asked sees.
func serveStream(stream *quic.Stream, answer Answer) {
	_ = stream.SetDeadline(time.Now().Add(answerTimeout))
	ask, err := read(stream)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	if err := write(stream, answer(ask)); err != nil {
		stream.CancelWrite(0)
	}
}
