package persimexchange

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimwire"
)

// serveStreams serves another host whose responses a function writes.
func serveStreams(t *testing.T, identity persimkeys.SharedIdentity, respond func(stream *quic.Stream)) string {
	t.Helper()
	udpConn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	transport := &quic.Transport{Conn: udpConn}
	listener, err := transport.Listen(identity.ServerConfig(alpnProtocol), quicConfig())
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = listener.Close()
		_ = transport.Close()
		_ = udpConn.Close()
	})
	go func() {
		conn, err := listener.Accept(t.Context())
		if err != nil {
			return
		}
		for {
			stream, err := conn.AcceptStream(t.Context())
			if err != nil {
				return
			}
			respond(stream)
		}
	}()
	return udpConn.LocalAddr().String()
}

// TestBrokenResponsesOfHostsAreErrors guards against a part of another host's message that can be
// decoded and is taken for all of it, as its stream was reset.
func TestBrokenResponsesOfHostsAreErrors(t *testing.T) {
	part, err := proto.Marshal(&persimwire.Exchange{Host: "b"})
	require.NoError(t, err)
	for name, test := range map[string]struct {
		respond func(stream *quic.Stream)
		whole   bool
	}{
		"ends": {func(stream *quic.Stream) { _ = stream.Close() }, true},
		"reset": {func(stream *quic.Stream) {
			time.Sleep(20 * time.Millisecond)
			stream.CancelWrite(0)
		}, false},
		"reset, request not read": {func(stream *quic.Stream) {
			stream.CancelRead(0)
			time.Sleep(20 * time.Millisecond)
			stream.CancelWrite(0)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			identity := sharedIdentity(t, 1)
			address := serveStreams(t, identity, func(stream *quic.Stream) {
				if test.whole {
					_, _ = io.Copy(io.Discard, stream)
				}
				_, _ = stream.Write(part)
				test.respond(stream)
			})
			client, _ := newLinks(t, identity, "a")
			response, err := exchange(t, client, address)
			if !test.whole {
				require.Error(t, err, "taken: %v", response)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "b", response.GetHost())
		})
	}
}
