package persimplatform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// eraServer responds to each call with the same status and body, and with the era that is set.
type eraServer struct {
	era    atomic.Value
	status atomic.Int64
	calls  atomic.Int64
	// onCall is called before a response, if set.
	onCall func()
}

const storedObject = `{"metadata":{"name":"n","revision":9},"spec":1}`

func newEraObjects(t *testing.T, era string) (*eraServer, Objects) {
	t.Helper()
	s := &eraServer{}
	s.era.Store(era)
	s.status.Store(http.StatusOK)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	objects, cleanup := NewObjects(server.Listener.Addr().String())
	t.Cleanup(cleanup)
	return s, objects
}

func (s *eraServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	if s.onCall != nil {
		s.onCall()
	}
	if era, ok := s.era.Load().(string); ok && era != "" {
		w.Header().Set("Store-Era", era)
	}
	w.WriteHeader(int(s.status.Load()))
	body := storedObject
	switch {
	case r.URL.Query().Has("watch"):
		body = `{"events":[{"object":` + storedObject + `}],"as_of":9}`
	case r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, "/kind"):
		body = `{"items":[` + storedObject + `],"as_of":9,"has_more":` + map[bool]string{true: "false", false: "true"}[r.URL.Query().Has("after")] + `}`
	}
	_, _ = w.Write([]byte(body))
}

func revisionOf(era persimrevision.Era, number int64) persimrevision.Revision {
	return persimrevision.Revision{Era: era, Number: number}
}

// Guards against an era that goes unnoticed while the store refuses calls.
func TestEraIsReadFromEveryResponse(t *testing.T) {
	calls := map[string]func(ctx context.Context, objects Objects){
		"get":    func(ctx context.Context, o Objects) { _, _ = o.Get(ctx, "kind", "n") },
		"list":   func(ctx context.Context, o Objects) { _, _, _ = o.List(ctx, "kind") },
		"stale":  func(ctx context.Context, o Objects) { _, _, _ = o.ListStale(ctx, "kind") },
		"watch":  func(ctx context.Context, o Objects) { _, _ = o.Watch(ctx, "kind", revisionOf(3, 9), time.Second) },
		"create": func(ctx context.Context, o Objects) { _, _ = o.Write(ctx, "kind", platform.Object{Name: "n"}) },
		"status": func(ctx context.Context, o Objects) {
			_, _ = o.WriteStatus(ctx, "kind", platform.Object{Name: "n", Revision: revisionOf(3, 9)})
		},
		"delete": func(ctx context.Context, o Objects) { _ = o.Delete(ctx, "kind", "n", revisionOf(3, 9)) },
	}
	for name, call := range calls {
		for _, status := range []int{200, 404, 409, 410, 429, 500, 503} {
			server, objects := newEraObjects(t, "3")
			server.status.Store(int64(status))
			require.Zero(t, objects.Era().Era)
			call(t.Context(), objects)
			require.EqualValues(t, 3, objects.Era().Era, "%s, %d", name, status)
			require.NotZero(t, objects.Era().SeenAt)
		}
	}
}

func TestRevisionsNameTheEra(t *testing.T) {
	server, objects := newEraObjects(t, "3")
	object, err := objects.Get(t.Context(), "kind", "n")
	require.NoError(t, err)
	require.Equal(t, revisionOf(3, 9), object.Revision)
	list, revision, err := objects.List(t.Context(), "kind")
	require.NoError(t, err)
	require.Equal(t, revisionOf(3, 9), revision)
	require.Equal(t, revisionOf(3, 9), list[0].Revision)
	changes, err := objects.Watch(t.Context(), "kind", revisionOf(3, 8), time.Second)
	require.NoError(t, err)
	require.Equal(t, revisionOf(3, 9), changes.Revision)
	require.Equal(t, revisionOf(3, 9), changes.Objects[0].Revision)
	server.status.Store(http.StatusNotFound)
	object, err = objects.Get(t.Context(), "kind", "n")
	require.ErrorIs(t, err, ErrNotFound)
	require.Equal(t, revisionOf(3, 0), object.Revision)
}

// Guards against a write that replaces an object which its writer has not read: revisions are
// given out again in a new era.
func TestRevisionOfAFormerEraIsNoCondition(t *testing.T) {
	server, objects := newEraObjects(t, "3")
	former := platform.Object{Name: "n", Revision: revisionOf(3, 9)}
	writes := map[string]func() error{
		"write": func() error { _, err := objects.Write(t.Context(), "kind", former); return err },
		"create": func() error {
			_, err := objects.Write(t.Context(), "kind", platform.Object{Name: "n", Revision: revisionOf(3, 0)})
			return err
		},
		"status": func() error { _, err := objects.WriteStatus(t.Context(), "kind", former); return err },
		"delete": func() error { return objects.Delete(t.Context(), "kind", "n", former.Revision) },
	}
	for name, write := range writes {
		require.NoError(t, write(), name)
	}
	server.era.Store("4")
	// The new era is not known yet: the write was carried out, if by chance.
	err := writes["write"]()
	require.ErrorIs(t, err, ErrUncertain)
	calls := server.calls.Load()
	for name, write := range writes {
		require.ErrorIs(t, write(), ErrConflict, name)
	}
	require.Equal(t, calls, server.calls.Load(), "a call is sent on condition of a former era")
	_, err = objects.Watch(t.Context(), "kind", former.Revision, time.Second)
	require.ErrorIs(t, err, ErrExpired)
	_, err = objects.Write(t.Context(), "kind", platform.Object{Name: "n"})
	require.NoError(t, err, "a write without a condition")
}

func TestListWithPagesOfTwoErasIsNone(t *testing.T) {
	server, objects := newEraObjects(t, "3")
	server.onCall = func() {
		if server.calls.Load() == 2 {
			server.era.Store("4")
		}
	}
	_, _, err := objects.List(t.Context(), "kind")
	require.ErrorIs(t, err, ErrUnavailable)
}

// Guards against a response of a former era that comes late and is taken for a new one.
func TestLateResponseBelongsToItsEra(t *testing.T) {
	server, created := newEraObjects(t, "3")
	client, ok := created.(objects)
	require.True(t, ok)
	_, err := client.Get(t.Context(), "kind", "n")
	require.NoError(t, err)
	answer := make(chan struct{})
	server.onCall = func() { <-answer }
	late := make(chan persimrevision.Revision, 1)
	go func() {
		object, _ := client.Get(t.Context(), "kind", "n")
		late <- object.Revision
	}()
	require.Eventually(t, func() bool { return server.calls.Load() == 2 }, time.Second, time.Millisecond)
	client.eras.observe(http.Header{"Store-Era": {"4"}})
	close(answer)
	require.Equal(t, revisionOf(3, 9), <-late)
	require.EqualValues(t, 4, client.Era().Era)
}

// Guards against an era that is malformed, missing or lower than before: it is no news, and no
// write is confirmed by it.
func TestOddErasAreNoNews(t *testing.T) {
	for _, era := range []string{"", "x", "-4", "2", "8192", "3.5"} {
		t.Run(era, func(t *testing.T) {
			server, objects := newEraObjects(t, "3")
			_, err := objects.Get(t.Context(), "kind", "n")
			require.NoError(t, err)
			server.era.Store(era)
			object, err := objects.Get(t.Context(), "kind", "n")
			require.NoError(t, err)
			require.Equal(t, revisionOf(3, 9), object.Revision)
			_, err = objects.Write(t.Context(), "kind", object)
			require.ErrorIs(t, err, ErrUncertain)
			require.EqualValues(t, 3, objects.Era().Era)
		})
	}
}

func TestStoreWithoutAnEra(t *testing.T) {
	_, objects := newEraObjects(t, "")
	object, err := objects.Get(t.Context(), "kind", "n")
	require.NoError(t, err)
	require.Equal(t, revisionOf(0, 9), object.Revision)
	_, err = objects.Write(t.Context(), "kind", object)
	require.NoError(t, err)
	require.Zero(t, objects.Era())
}
