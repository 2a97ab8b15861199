package persimentry

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimsettings"
	"persimmonport.example/platform"
)

// listOf returns the objects of a list of upstreams.
func listOf(t *testing.T, ids ...string) []platform.Object {
	t.Helper()
	var objects []platform.Object
	for i, id := range ids {
		address := "127.0.0.1:" + strconv.Itoa(i+1)
		spec, err := platform.EncodeUpstream(persimcatalog.Upstream{
			Incarnation: persimcatalog.Incarnation{ID: id, Born: 1}, Address: address, Service: "s", Slots: 8,
		})
		require.NoError(t, err)
		objects = append(objects, platform.Object{Name: id, Spec: spec})
	}
	return objects
}

// usable returns the ids of the upstreams that take requests.
func (e *entry) usable() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, upstream := range e.roster.Upstreams()["s"] {
		if !upstream.Leaving {
			ids = append(ids, upstream.ID)
		}
	}
	return ids
}

// TestMissingUpstreamIsLeftOnceTheGraceTimeEnds guards against requests to an upstream that
// has left while its host kept missing ones after an outage, when the list then stays as it
// is.
func TestMissingUpstreamIsLeftOnceTheGraceTimeEnds(t *testing.T) {
	built, cleanup, err := New(persimsettings.Deployment{Host: "host-0", StoreAddress: "127.0.0.1:1", DutiesAddress: "127.0.0.1:1", Bounds: testBounds()})
	require.NoError(t, err)
	t.Cleanup(cleanup)
	e, ok := built.(*entry)
	require.True(t, ok)
	outage := persimclock.Now().Add(-2 * registrationTTL)
	e.applyRoster(listOf(t, "stays", "leaves"), 1, outage, "store")
	e.applyRoster(listOf(t, "stays"), 2, persimclock.Now(), "store")
	require.ElementsMatch(t, []string{"stays", "leaves"}, e.usable(), "it may register again")
	e.confirmRoster(persimclock.Now())
	require.ElementsMatch(t, []string{"stays", "leaves"}, e.usable())
	e.mu.Lock()
	e.rosterState.recoveredAt = persimclock.Now().Add(-reregisterGrace - time.Millisecond)
	e.mu.Unlock()
	e.confirmRoster(persimclock.Now())
	require.Equal(t, []string{"stays"}, e.usable())
}
