package persimstand

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimplatform"
)

// newClient returns a client of a stand-in for the platform that is served over
// loopback.
func newClient(t *testing.T, p *Platform) persimplatform.Platform {
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	client, cleanup := persimplatform.New(server.URL)
	t.Cleanup(cleanup)
	return client
}

func TestStoreWritesAreConditional(t *testing.T) {
	client := newClient(t, NewPlatform(0))
	created, err := client.Put(t.Context(), persimplatform.Object{Name: "a", Value: []byte{1}})
	require.NoError(t, err)
	_, err = client.Put(t.Context(), persimplatform.Object{Name: "a", Value: []byte{2}})
	require.ErrorIs(t, err, persimplatform.ErrConflict)
	changed, err := client.Put(t.Context(), created.WithValue([]byte{3}))
	require.NoError(t, err)
	require.Greater(t, changed.Version, created.Version)
	_, err = client.Put(t.Context(), created.WithValue([]byte{4}))
	require.ErrorIs(t, err, persimplatform.ErrConflict)
	read, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, changed, read)
	_, err = client.Get(t.Context(), "b")
	require.ErrorIs(t, err, persimplatform.ErrNotFound)
}

func TestStoreLimits(t *testing.T) {
	client := newClient(t, NewPlatform(0))
	_, err := client.Put(t.Context(), persimplatform.Object{Name: "a", Value: make([]byte, persimplatform.MaxValueBytes)})
	require.NoError(t, err)
	_, err = client.Put(t.Context(), persimplatform.Object{Name: "b", Value: make([]byte, persimplatform.MaxValueBytes+1)})
	require.ErrorIs(t, err, persimplatform.ErrTooLarge)
}

func TestLostResponseIsUncertain(t *testing.T) {
	p := NewPlatform(0)
	client := newClient(t, p)
	p.SetFault(Fault{LoseResponses: 1})
	_, err := client.Put(t.Context(), persimplatform.Object{Name: "a", Value: []byte{1}})
	require.ErrorIs(t, err, persimplatform.ErrUncertain)
	read, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, []byte{1}, read.Value)
}

func TestAwait(t *testing.T) {
	p := NewPlatform(0)
	client := newClient(t, p)
	first, err := client.Put(t.Context(), persimplatform.Object{Name: "a", Value: []byte{1}})
	require.NoError(t, err)
	assertAwaits := func(after uint64, value byte) {
		got, err := client.Await(t.Context(), "a", after)
		require.NoError(t, err)
		require.Equal(t, []byte{value}, got.Value)
	}
	assertAwaits(0, 1)
	time.AfterFunc(50*time.Millisecond, func() { p.PutIfCurrent(first.WithValue([]byte{2})) })
	assertAwaits(first.Version, 2)
	for range maxHistory + 1 {
		p.store.Put("others", "b", []byte("1"))
	}
	// The history no longer holds the change after the first version, so that the
	// client reads the value instead.
	assertAwaits(first.Version, 2)
}

func TestReadLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPlatform(0)
		first, ok := p.PutIfCurrent(persimplatform.Object{Name: "a", Value: []byte{1}})
		require.True(t, ok)
		time.Sleep(time.Minute)
		p.PutIfCurrent(first.WithValue([]byte{2}))
		p.SetFault(Fault{ReadLag: time.Second})
		read, ok := p.Lookup("a")
		require.True(t, ok)
		require.Equal(t, []byte{1}, read.Value)
		time.Sleep(time.Second)
		read, _ = p.Lookup("a")
		require.Equal(t, []byte{2}, read.Value)
	})
}
