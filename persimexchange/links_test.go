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

func sharedKeys(t *testing.T, fill byte) persimkeys.Shared {
	t.Helper()
	secret := make([]byte, persimkeys.SecretBytes)
	secret[0] = fill
	keys, err := persimkeys.NewShared(secret)
	require.NoError(t, err)
	return keys
}

func newLinks(t *testing.T, keys persimkeys.Shared, host string) (Links, string) {
	t.Helper()
	address := freeAddress(t)
	links, cleanup, err := New(address, keys)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = links.Serve(ctx, func(ask *persimwire.Exchange) *persimwire.Exchange {
			return &persimwire.Exchange{Host: host, Holder: ask.GetHost()}
		})
	}()
	t.Cleanup(func() {
		cancel()
		cleanup()
		<-done
	})
	return links, address
}

func ask(t *testing.T, links Links, address string) (*persimwire.Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return links.Ask(ctx, address, &persimwire.Exchange{Host: "a"})
}

func TestAsk(t *testing.T) {
	keys := sharedKeys(t, 1)
	first, _ := newLinks(t, keys, "a")
	_, second := newLinks(t, keys, "b")
	for range 3 {
		reply, err := ask(t, first, second)
		require.NoError(t, err)
		require.Equal(t, "b", reply.GetHost())
		require.Equal(t, "a", reply.GetHolder())
	}
	t.Run("after the link was dropped", func(t *testing.T) {
		first.Forget(second)
		_, err := ask(t, first, second)
		require.NoError(t, err)
	})
}

func TestAskNeedsTheSecret(t *testing.T) {
	first, _ := newLinks(t, sharedKeys(t, 1), "a")
	_, second := newLinks(t, sharedKeys(t, 2), "b")
	_, err := ask(t, first, second)
	require.Error(t, err)
}

func TestAskOfNobodyEnds(t *testing.T) {
	first, _ := newLinks(t, sharedKeys(t, 1), "a")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := first.Ask(ctx, freeAddress(t), &persimwire.Exchange{})
	require.Error(t, err)
}
