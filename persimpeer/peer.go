// Package persimpeer joins entry hosts by Connect calls over HTTP/3.
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
	DefaultHeartbeat  = 500 * time.Millisecond
	DefaultIdle       = 2 * time.Second
	DefaultHandshake  = time.Second
	maxStreamsPerLink = 4096
	// MaxMessageBytes is the largest message that a host takes from another.
	MaxMessageBytes = 8 << 20
)

type config struct {
	heartbeat time.Duration
	idle      time.Duration
	handshake time.Duration
}

// An Option changes the configuration of links.
type Option func(*config)

// WithIdle sets the time after which a silent link is closed.
func WithIdle(idle time.Duration) Option { return func(c *config) { c.idle = idle } }

// WithHeartbeat sets the time between heartbeats on a link.
func WithHeartbeat(heartbeat time.Duration) Option {
	return func(c *config) { c.heartbeat = heartbeat }
}

// Links are the connections to other hosts.
type Links interface {
	// Client returns a client of the host at an address.
	Client(address string) persimwire.PeerServiceClient
	// Reset closes the connection to a host, so that the next call dials again.
	Reset(address string)
	// Serve serves a handler on a UDP address until the context ends.
	Serve(ctx context.Context, address string, handler http.Handler) error
}

type link struct {
	transport *http3.Transport
	client    persimwire.PeerServiceClient
}

type links struct {
	config
	keys persimkeys.Source

	mu    sync.Mutex
	links map[string]*link
}

// New returns links that authenticate with the certificates of a source, and
// their clean-up function.
func New(keys persimkeys.Source, opts ...Option) (Links, func()) {
	c := config{heartbeat: DefaultHeartbeat, idle: DefaultIdle, handshake: DefaultHandshake}
	for _, opt := range opts {
		opt(&c)
	}
	l := &links{config: c, keys: keys, links: map[string]*link{}}
	return l, l.close
}

func (l *links) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: l.handshake,
		MaxIdleTimeout:       l.idle,
		KeepAlivePeriod:      l.heartbeat,
		MaxIncomingStreams:   maxStreamsPerLink,
	}
}

func (l *links) Client(address string) persimwire.PeerServiceClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.links[address]; ok {
		return known.client
	}
	transport := &http3.Transport{TLSClientConfig: l.keys.ClientConfig(), QUICConfig: l.quicConfig()}
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
	known, ok := l.links[address]
	delete(l.links, address)
	l.mu.Unlock()
	if ok {
		_ = known.transport.Close()
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.links {
		_ = known.transport.Close()
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
		Handler:    handler,
		TLSConfig:  l.keys.ServerConfig(),
		QUICConfig: l.quicConfig(),
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
