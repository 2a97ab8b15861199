// Package persimpeer connects entry hosts with each other by Connect RPC over HTTP/3.
package persimpeer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimwire"
)

// Defaults of links between hosts.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultIdleTimeout       = 2 * time.Second
	DefaultHandshakeTimeout  = time.Second
	maxStreamsPerLink        = 4096
	// MaxMessageBytes is the maximum size of a message that a host accepts from another.
	MaxMessageBytes = 8 << 20
	// maxHeadBytes limits the heads of requests and responses; the defaults allow 1 and 10 MB.
	maxHeadBytes = 64 << 10
)

type config struct {
	heartbeatInterval time.Duration
	idleTimeout       time.Duration
	handshakeTimeout  time.Duration
}

// Option configures the links.
type Option func(*config)

// WithIdleTimeout sets how long a link may be silent before it is closed.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *config) { c.idleTimeout = timeout }
}

// WithHeartbeatInterval sets the interval of QUIC keep-alive packets on a link.
func WithHeartbeatInterval(interval time.Duration) Option {
	return func(c *config) { c.heartbeatInterval = interval }
}

// Links holds a connection to each of the other hosts and serves their calls.
type Links interface {
	// Client returns the client of the host at an address; the first call dials.
	Client(address string) persimwire.PeerServiceClient
	// Reset closes the connection to an address, so that the next call dials again.
	Reset(address string)
	// Serve serves other hosts with a handler on a UDP address until the context ends.
	Serve(ctx context.Context, address string, handler http.Handler) error
}

type link struct {
	transport *http3.Transport
	client    persimwire.PeerServiceClient
}

type links struct {
	config
	certificates persimkeys.Source

	mu    sync.Mutex
	links map[string]*link
}

// New returns links that authenticate with the certificates of a source, and a
// function that closes the connections.
func New(certificates persimkeys.Source, opts ...Option) (Links, func()) {
	c := config{heartbeatInterval: DefaultHeartbeatInterval, idleTimeout: DefaultIdleTimeout, handshakeTimeout: DefaultHandshakeTimeout}
	for _, opt := range opts {
		opt(&c)
	}
	l := &links{config: c, certificates: certificates, links: map[string]*link{}}
	return l, l.close
}

func (l *links) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: l.handshakeTimeout,
		MaxIdleTimeout:       l.idleTimeout,
		KeepAlivePeriod:      l.heartbeatInterval,
		MaxIncomingStreams:   maxStreamsPerLink,
	}
}

func (l *links) Client(address string) persimwire.PeerServiceClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	if existing, ok := l.links[address]; ok {
		return existing.client
	}
	transport := &http3.Transport{
		TLSClientConfig:        l.certificates.ClientConfig(),
		QUICConfig:             l.quicConfig(),
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	client := persimwire.NewPeerServiceClient(
		&http.Client{Transport: transport},
		"https://"+address,
		connect.WithReadMaxBytes(MaxMessageBytes),
	)
	l.links[address] = &link{transport: transport, client: client}
	return client
}

func (l *links) Reset(address string) {
	l.mu.Lock()
	existing, ok := l.links[address]
	delete(l.links, address)
	l.mu.Unlock()
	if ok {
		_ = existing.transport.Close()
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, existing := range l.links {
		_ = existing.transport.Close()
	}
	l.links = map[string]*link{}
}

func (l *links) Serve(ctx context.Context, address string, handler http.Handler) error {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http3.Server{
		Handler:        handler,
		TLSConfig:      l.certificates.ServerConfig(),
		QUICConfig:     l.quicConfig(),
		MaxHeaderBytes: maxHeadBytes,
	}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		_ = conn.Close()
	})
	defer stop()
	err = server.Serve(conn)
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}
