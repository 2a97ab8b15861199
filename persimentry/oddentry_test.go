package persimentry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimclock"
	"persimmonport.example/platform"
)

func TestForgedEntriesNameNoUpstream(t *testing.T) {
	d := newTestDeployment(t, 1)
	d.store.Put(platform.UpstreamKind, "forged-1", []byte(`{"service":7}`))
	d.store.Put(platform.UpstreamKind, "forged-2", []byte(`"text"`))
	d.store.Put(platform.UpstreamKind, "forged-3", []byte(`{"service":"s","address":"127.0.0.1:1","zone":"a","slots":4,"state":"asleep"}`))
	d.waitServing()
	for range 30 {
		require.Equal(t, http.StatusOK, d.get(d.hosts[0], "/x/", "key"))
	}
}

// oddEntries are entries of the list of upstreams as another writer may leave them, which
// the stand-in store can't hold.
var oddEntries = map[string]string{
	"deeply nested":         `{"metadata":{"name":"odd","revision":2},"spec":{"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}}`,
	"number too large":      `{"metadata":{"name":"odd","revision":2},"spec":{"service":"s","address":"127.0.0.1:9","zone":"a","slots":1e400,"state":"ready"}}`,
	"slots too many":        `{"metadata":{"name":"odd","revision":2},"spec":{"service":"s","address":"127.0.0.1:9","zone":"a","slots":9000000000000000000,"state":"ready"}}`,
	"port out of range":     `{"metadata":{"name":"odd","revision":2},"spec":{"service":"s","address":"127.0.0.1:99999","zone":"a","slots":64,"state":"ready"}}`,
	"longer than a message": `{"metadata":{"name":"odd","revision":2},"spec":{"service":7,"x":"` + strings.Repeat("x", 1<<20) + `"}}`,
}

// withOddEntries lets a store list entries beside the upstreams.
func withOddEntries(store http.Handler, entries ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != platform.KindPath(platform.UpstreamKind) {
			store.ServeHTTP(w, r)
			return
		}
		recorder := httptest.NewRecorder()
		store.ServeHTTP(recorder, r)
		body := strings.Replace(recorder.Body.String(), `"items":[`, `"items":[`+strings.Join(entries, ",")+",", 1)
		w.WriteHeader(recorder.Code)
		_, _ = io.WriteString(w, body)
	})
}

// TestHostFollowsAListWithOddEntries guards against hosts that ended, stopped following the
// list or sent requests to what is no upstream since another writer had left one odd entry.
func TestHostFollowsAListWithOddEntries(t *testing.T) {
	for name, entry := range oddEntries {
		t.Run(name, func(t *testing.T) {
			d := newTestDeployment(t, 0)
			d.wrapStore = func(store http.Handler) http.Handler { return withOddEntries(store, entry) }
			d.hosts = append(d.hosts, d.start("host-0", "centre-0"), d.start("host-1", "centre-1"))
			d.waitConnected()
			u := d.addUpstream("u2")
			for _, h := range d.hosts {
				d.eventually(propagationBound, func() bool { return h.knows(u) }, "an upstream that came")
				require.ElementsMatch(t, []string{"u1", "u2"}, h.entry.usable())
			}
			require.NoError(t, d.store.PutUpstream(u.WithLeaving()))
			for _, h := range d.hosts {
				d.eventually(propagationBound, func() bool { return h.knowsLeaving(u) }, "an upstream that leaves")
			}
			for range 30 {
				require.True(t, d.allReturn("/x/", "key", http.StatusOK)())
			}
		})
	}
}

// TestOddEntriesAreNotPassedOn guards against messages between hosts that grow beyond what a
// host accepts.
func TestOddEntriesAreNotPassedOn(t *testing.T) {
	now := persimclock.Now()
	e := newClockedEntry(t, &now)
	objects := listOf(t, "u1")
	junk := strings.Repeat("x", 1<<20)
	objects = append(objects,
		platform.Object{Name: "odd", Spec: []byte(`{"service":7,"x":"` + junk + `"}`)},
		platform.Object{Name: "u2", Spec: []byte(`{"service":"s","address":"127.0.0.1:9","zone":"a","slots":1,"state":"ready","x":"` + junk + `"}`)})
	e.applyRoster(objects, numbered(7), readSpan(now), "store")
	require.ElementsMatch(t, []string{"u1", "u2"}, e.usable())
	reply := e.exchangeState(newClockedEntry(t, &now).exchangeState(nil, "host-0"), "host-1")
	size := 0
	for _, item := range reply.GetRoster().GetItems() {
		size += len(item.GetValue())
	}
	require.Len(t, reply.GetRoster().GetItems(), 2)
	require.Less(t, size, 1000)
}
