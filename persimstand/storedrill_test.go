package persimstand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimplatform"
	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

const drillTime = 50 * time.Millisecond

func TestDrill(t *testing.T) {
	store := NewStore()
	objects := newObjects(t, store)
	store.Put("config", "main", []byte(`1`))
	store.Put("config", "gone", []byte(`1`))
	written, err := objects.Write(t.Context(), "own", platform.Object{Name: "a", Spec: []byte(`1`)})
	require.NoError(t, err)
	copied := store.Copy()
	store.Put("config", "main", []byte(`2`))
	store.Remove("config", "gone")
	changed, err := objects.Write(t.Context(), "own", platform.Object{Name: "a", Revision: written.Revision, Spec: []byte(`2`)})
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		store.RunDrill(Drill{Copy: copied, Away: drillTime, RewriteAfter: drillTime})
	}()
	t.Run("a watch is cut off", func(t *testing.T) {
		_, err := objects.Watch(t.Context(), "own", changed.Revision, time.Second)
		require.ErrorIs(t, err, persimplatform.ErrUnavailable)
	})
	<-done
	t.Run("what the system wrote is gone", func(t *testing.T) {
		read, err := objects.Get(t.Context(), "own", "a")
		require.NoError(t, err)
		require.Equal(t, platform.Object{Name: "a", Spec: []byte(`1`), Revision: persimrevision.Revision{Era: 2, Number: written.Revision.Number}}, read)
	})
	t.Run("what the operator wrote is written again", func(t *testing.T) {
		read, err := objects.Get(t.Context(), "config", "main")
		require.NoError(t, err)
		require.Equal(t, `2`, string(read.Spec))
		require.False(t, store.Has("config", "gone"))
	})
	t.Run("revisions are given out again", func(t *testing.T) {
		read, err := objects.Get(t.Context(), "config", "main")
		require.NoError(t, err)
		require.LessOrEqual(t, read.Revision.Number, changed.Revision.Number)
	})
	t.Run("a watch from a revision that is not there yet", func(t *testing.T) {
		later := persimrevision.Revision{Era: 2, Number: changed.Revision.Number + 100}
		_, err := objects.Watch(t.Context(), "own", later, time.Second)
		require.ErrorIs(t, err, persimplatform.ErrExpired)
	})
}

func TestRefusalsNameTheEra(t *testing.T) {
	store := NewStore(WithEra(7))
	objects := newObjects(t, store)
	store.SetFault("host", StoreFaultUnavailable)
	_, err := objects.Get(t.Context(), "own", "a")
	require.ErrorIs(t, err, persimplatform.ErrUnavailable)
	require.EqualValues(t, 7, objects.Era().Era)
}

func TestStoreWithoutAnEra(t *testing.T) {
	objects := newObjects(t, NewStore(WithEra(0)))
	_, _, err := objects.List(t.Context(), "own")
	require.NoError(t, err)
	require.Zero(t, objects.Era())
}
