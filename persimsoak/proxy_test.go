package persimsoak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectionThatLostBytesDeliversNoLaterOnes guards against a link fault that no network has:
// responses with a gap, which look whole to a host.
func TestConnectionThatLostBytesDeliversNoLaterOnes(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	p, closeProxy, err := newProxy(listener.Addr().String())
	require.NoError(t, err)
	defer closeProxy()
	client, err := net.Dial("tcp4", p.address())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	send := func(text string) {
		_, err := io.WriteString(server, text)
		require.NoError(t, err)
		time.Sleep(4 * faultPollInterval)
	}
	send("before")
	p.setFault(linkFaultDropResponses)
	send("lost")
	p.setFault(linkFaultNone)
	send("after")
	require.NoError(t, server.Close())
	got, err := io.ReadAll(client)
	require.Error(t, err, "the connection looks whole")
	require.Equal(t, "before", string(got))
}
