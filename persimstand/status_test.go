package persimstand

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimplatform"
	"persimmonport.example/platform"
)

func newObjects(t *testing.T, store *Store) persimplatform.Objects {
	t.Helper()
	server := httptest.NewServer(store.Handler("host"))
	t.Cleanup(server.Close)
	objects, cleanup := persimplatform.NewObjects(server.Listener.Addr().String())
	t.Cleanup(cleanup)
	return objects
}

// TestStatusWritesAreConditional guards against a status that is written over a later order.
func TestStatusWritesAreConditional(t *testing.T) {
	store := NewStore()
	objects := newObjects(t, store)
	store.Put("rollouts", "s", []byte(`{"target":"v2"}`))
	ordered, err := objects.Get(t.Context(), "rollouts", "s")
	require.NoError(t, err)
	require.Empty(t, ordered.Status)
	ordered.Status = []byte(`{"state":"active"}`)
	written, err := objects.WriteStatus(t.Context(), "rollouts", ordered)
	require.NoError(t, err)
	require.True(t, written.Revision.After(ordered.Revision))
	require.JSONEq(t, `{"target":"v2"}`, string(written.Spec))
	t.Run("old revision", func(t *testing.T) {
		current, err := objects.WriteStatus(t.Context(), "rollouts", ordered)
		require.ErrorIs(t, err, persimplatform.ErrConflict)
		require.Equal(t, written, current)
	})
	t.Run("watch", func(t *testing.T) {
		changes, err := objects.Watch(t.Context(), "rollouts", ordered.Revision, time.Second)
		require.NoError(t, err)
		require.Equal(t, []platform.Object{written}, changes.Objects)
	})
	t.Run("spec keeps status", func(t *testing.T) {
		store.Put("rollouts", "s", []byte(`{"target":"v3"}`))
		replaced, err := objects.Get(t.Context(), "rollouts", "s")
		require.NoError(t, err)
		require.JSONEq(t, `{"state":"active"}`, string(replaced.Status))
	})
	t.Run("removed object", func(t *testing.T) {
		store.Remove("rollouts", "s")
		_, err := objects.WriteStatus(t.Context(), "rollouts", written)
		require.ErrorIs(t, err, persimplatform.ErrNotFound)
	})
	t.Run("lost history", func(t *testing.T) {
		store.ForgetHistory()
		_, err := objects.Watch(t.Context(), "rollouts", ordered.Revision, time.Second)
		require.ErrorIs(t, err, persimplatform.ErrExpired)
	})
}

func TestStatusWriteWhoseResponseIsLost(t *testing.T) {
	store := NewStore()
	objects := newObjects(t, store)
	store.Put("rollouts", "s", []byte(`{"target":"v2"}`))
	ordered, err := objects.Get(t.Context(), "rollouts", "s")
	require.NoError(t, err)
	store.SetFault("host", StoreFaultLoseResponse)
	ordered.Status = []byte(`{"state":"active"}`)
	_, err = objects.WriteStatus(t.Context(), "rollouts", ordered)
	require.ErrorIs(t, err, persimplatform.ErrUncertain)
	stored, ok := store.Get("rollouts", "s")
	require.True(t, ok)
	require.JSONEq(t, `{"state":"active"}`, string(stored.Status))
}
