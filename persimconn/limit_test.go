package persimconn

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConnectionsAreLimited guards against a pool that uses up the descriptors of its host.
func TestConnectionsAreLimited(t *testing.T) {
	p, cleanup := New(WithMaxConns(2))
	defer cleanup()
	address, other := serveKeepingOpen(t, okResponse), serveKeepingOpen(t, okResponse)
	first, err := p.Get(t.Context(), address)
	require.NoError(t, err)
	second, err := p.Get(t.Context(), address)
	require.NoError(t, err)
	_, err = p.Get(t.Context(), other)
	require.ErrorIs(t, err, ErrTooManyConns)
	first.Release(0)
	third, err := p.Get(t.Context(), other)
	require.NoError(t, err, "an idle connection makes room")
	require.NoError(t, second.Close())
	require.Error(t, second.Close(), "a connection counts once")
	require.NoError(t, third.Close())
	for range 2 {
		_, err := p.Get(t.Context(), address)
		require.NoError(t, err)
	}
	_, err = p.Get(t.Context(), address)
	require.ErrorIs(t, err, ErrTooManyConns)
}
