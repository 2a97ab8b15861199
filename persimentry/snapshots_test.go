package persimentry

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimrevision"
	"persimmonport.example/persimsettings"
	"persimmonport.example/platform"
)

// testContact is the time after which a host that was cut off counts as healthy.
const testContact = 3 * time.Second

// numbered returns a revision of a store that names no era.
func numbered(number int64) persimrevision.Revision {
	return persimrevision.Revision{Number: number}
}

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

// newClockedEntry returns an entry host without loops whose clock the test sets.
func newClockedEntry(t *testing.T, now *persimclock.Instant) *entry {
	t.Helper()
	bounds := testBounds()
	bounds.Contact = testContact
	built, cleanup, err := New(persimsettings.Deployment{Host: "host-0", StoreAddress: "127.0.0.1:1", DutiesAddress: "127.0.0.1:1", Bounds: bounds})
	require.NoError(t, err)
	t.Cleanup(cleanup)
	e, ok := built.(*entry)
	require.True(t, ok)
	e.clock = func() persimclock.Instant { return *now }
	return e
}

// TestMissingUpstreamIsLeftOnceTheGraceTimeEnds guards against requests to an upstream that
// has left while its host kept missing ones after an outage, when the list then stays as it
// is, or can't be read again.
func TestMissingUpstreamIsLeftOnceTheGraceTimeEnds(t *testing.T) {
	const start = persimclock.Instant(time.Hour)
	tests := map[string]func(e *entry, now persimclock.Instant){
		"the list is confirmed": func(e *entry, now persimclock.Instant) { e.confirmRoster(readSpan(now), "store") },
		"the store is silent":   func(e *entry, _ persimclock.Instant) { e.leaveMissing() },
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			e := newClockedEntry(t, &now)
			e.applyRoster(listOf(t, "stays", "leaves"), numbered(1), readSpan(now), "store")
			now = now.Add(2 * registrationTTL)
			e.recordFailedRead(now)
			e.applyRoster(listOf(t, "stays"), numbered(2), readSpan(now), "store")
			require.ElementsMatch(t, []string{"stays", "leaves"}, e.usable(), "it may register again")
			now = now.Add(reregisterGrace / 2)
			check(e, now)
			now = now.Add(reregisterGrace/2 - time.Millisecond)
			check(e, now)
			require.ElementsMatch(t, []string{"stays", "leaves"}, e.usable())
			now = now.Add(time.Millisecond)
			check(e, now)
			require.Equal(t, []string{"stays"}, e.usable())
		})
	}
}

// TestListOfANewEraIsTakenIn guards against requests that are refused since the list is old: after
// the store came back from an older copy its revisions are lower, and lists were left out. A late
// list of the former era is not taken in.
func TestListOfANewEraIsTakenIn(t *testing.T) {
	const start = persimclock.Instant(time.Hour)
	now := start
	e := newClockedEntry(t, &now)
	lists := []struct {
		ids      []string
		revision persimrevision.Revision
		usable   []string
	}{
		{[]string{"u1", "u2"}, persimrevision.Revision{Era: 1, Number: 20}, []string{"u1", "u2"}},
		{[]string{"u1"}, persimrevision.Revision{Era: 2, Number: 9}, []string{"u1"}},
		{[]string{"u1", "u2"}, persimrevision.Revision{Era: 1, Number: 21}, []string{"u1"}},
		{[]string{"u1", "u2"}, persimrevision.Revision{Era: 2, Number: 10}, []string{"u1", "u2"}},
	}
	for _, list := range lists {
		now = now.Add(time.Second)
		e.applyRoster(listOf(t, list.ids...), list.revision, readSpan(now), "store")
		require.ElementsMatch(t, list.usable, e.usable(), "after the list of %s", list.revision)
	}
	require.Zero(t, e.rosterAge())
}

// TestPartitionedHostLeavesUpstreamsThatHaveGone guards against orders that a host sent to
// upstreams that had left, when it had been cut off from the store and took that for an
// outage in which their registrations had expired.
func TestPartitionedHostLeavesUpstreamsThatHaveGone(t *testing.T) {
	const (
		start  = persimclock.Instant(time.Hour)
		healed = start + persimclock.Instant(5500*time.Millisecond)
		// read is when the host first reads the list again.
		read = healed + persimclock.Instant(600*time.Millisecond)
	)
	arrange := func(t *testing.T, now *persimclock.Instant) *entry {
		t.Helper()
		e := newClockedEntry(t, now)
		e.applyRoster(listOf(t, "stays", "leaves"), numbered(1), readSpan(start), "store")
		for at := start.Add(time.Second); at < healed; at = at.Add(700 * time.Millisecond) {
			e.recordFailedRead(at)
		}
		*now = read
		e.applyRoster(listOf(t, "stays", "leaves"), numbered(1), readSpan(read), "store")
		*now = read.Add(500 * time.Millisecond)
		e.applyRoster(listOf(t, "stays"), numbered(2), readSpan(*now), "store")
		require.ElementsMatch(t, []string{"stays", "leaves"}, e.usable(), "the store may have been away")
		return e
	}
	t.Run("alone, before it counts as healthy", func(t *testing.T) {
		now := start
		e := arrange(t, &now)
		now = healed.Add(testContact - contactMargin)
		e.leaveMissing()
		require.Equal(t, []string{"stays"}, e.usable())
	})
	t.Run("once another host tells that the store could be read", func(t *testing.T) {
		now := start
		e := arrange(t, &now)
		other := newClockedEntry(t, &now)
		other.applyRoster(listOf(t, "stays", "leaves"), numbered(1), readSpan(start.Add(-time.Minute)), "store")
		for at := start.Add(-time.Minute); at < now; at = at.Add(time.Second) {
			other.confirmRoster(readSpan(at), "store")
		}
		other.applyRoster(listOf(t, "stays"), numbered(2), readSpan(now), "store")
		e.applySnapshots(other.exchangeState(e.exchangeState(nil, "host-1"), "host-0"), now)
		require.Equal(t, []string{"stays"}, e.usable())
	})
	t.Run("also when it lists the one that left first", func(t *testing.T) {
		now := start
		e := newClockedEntry(t, &now)
		e.applyRoster(listOf(t, "stays", "leaves"), numbered(1), readSpan(start), "store")
		e.recordFailedRead(start.Add(time.Second))
		now = read
		e.applyRoster(listOf(t, "stays"), numbered(2), readableSpan{since: start.Add(-time.Minute), until: read}, "host-1")
		require.Equal(t, []string{"stays"}, e.usable())
	})
}

// TestProofsThatGoRoundDoNotGetYounger guards against keys and upstreams that are used for too
// long while the store is away: hosts that exchanged the ages of their copies, cut to
// whole milliseconds, made them younger with each message.
func TestProofsThatGoRoundDoNotGetYounger(t *testing.T) {
	const rounds = 300
	read := persimclock.Now()
	var hosts [2]*entry
	for i := range hosts {
		hosts[i] = newClockedEntry(t, nil)
		hosts[i].clock = persimclock.Now
		require.NoError(t, hosts[i].applyCatalogue(fmt.Appendf(nil, catalogueFormat, 1, "", `"key"`), read, "store"))
		hosts[i].applyRoster(listOf(t, "u1"), numbered(1), readSpan(read), "store")
	}
	for i := range rounds {
		from, to := hosts[i%2], hosts[(i+1)%2]
		request := to.exchangeState(nil, "from")
		sent := persimclock.Now()
		to.applySnapshots(from.exchangeState(request, "to"), sent)
	}
	for _, h := range hosts {
		require.LessOrEqual(t, h.rosterState.confirmedAt, read)
		require.LessOrEqual(t, h.rosterState.outages.current.until, read)
		elapsed := persimclock.Now().Sub(read)
		age, known := h.front.CatalogueAge()
		require.True(t, known)
		require.GreaterOrEqual(t, age, elapsed)
	}
}
