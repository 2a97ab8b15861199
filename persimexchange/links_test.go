package persimexchange

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimwire"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func sharedIdentity(t *testing.T, firstByte byte) persimkeys.SharedIdentity {
	t.Helper()
	secret := make([]byte, persimkeys.SecretBytes)
	secret[0] = firstByte
	identity, err := persimkeys.NewSharedIdentity(secret)
	require.NoError(t, err)
	return identity
}

func newLinks(t *testing.T, identity persimkeys.SharedIdentity, host string) (Links, string) {
	t.Helper()
	address := freeAddress(t)
	links, cleanup, err := New(address, identity)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = links.Serve(ctx, func(request *persimwire.Exchange) *persimwire.Exchange {
			return &persimwire.Exchange{Host: host, Holder: request.GetHost()}
		})
	}()
	t.Cleanup(func() {
		cancel()
		cleanup()
		<-done
	})
	return links, address
}

func exchange(t *testing.T, links Links, address string) (*persimwire.Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return links.Exchange(ctx, address, &persimwire.Exchange{Host: "a"})
}

func TestExchange(t *testing.T) {
	identity := sharedIdentity(t, 1)
	client, _ := newLinks(t, identity, "a")
	_, serverAddress := newLinks(t, identity, "b")
	for range 3 {
		response, err := exchange(t, client, serverAddress)
		require.NoError(t, err)
		require.Equal(t, "b", response.GetHost())
		require.Equal(t, "a", response.GetHolder())
	}
	t.Run("after a disconnect", func(t *testing.T) {
		client.Disconnect(serverAddress)
		_, err := exchange(t, client, serverAddress)
		require.NoError(t, err)
	})
}

func TestExchangeRequiresTheSharedSecret(t *testing.T) {
	client, _ := newLinks(t, sharedIdentity(t, 1), "a")
	_, serverAddress := newLinks(t, sharedIdentity(t, 2), "b")
	_, err := exchange(t, client, serverAddress)
	require.Error(t, err)
}

func TestExchangeWithAbsentHostFails(t *testing.T) {
	client, _ := newLinks(t, sharedIdentity(t, 1), "a")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Exchange(ctx, freeAddress(t), &persimwire.Exchange{})
	require.Error(t, err)
}
