package persimresponse

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// transport checks the responses of an HTTP transport.
type transport struct {
	*http.Transport
}

// NewTransport returns a round tripper that sends requests with a transport, whose connections are
// opened by a dialer and check the responses. The transport must speak HTTP/1.1 and must not be
// used otherwise.
func NewTransport(base *http.Transport, dialer *net.Dialer) http.RoundTripper {
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialTLS(ctx, dialer, base.TLSClientConfig, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &transport{base}
}

// dialTLS opens a TLS connection to a server, which must have a certificate for the host of the
// address unless the configuration names another one. The configuration may be nil.
func dialTLS(ctx context.Context, dialer *net.Dialer, config *tls.Config, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if config = config.Clone(); config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// RoundTrip sends a request, and lets the connection that serves it expect another head once it is
// idle again.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn, _ = info.Conn.(*Conn) },
		// The transport calls it between the last read of a response and the first of the next one.
		PutIdleConn: func(error) {
			if conn != nil {
				conn.ExpectHead()
			}
		},
	}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
