package persimentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimsettings"
)

const (
	smallMemory = 184 << 20
	largeMemory = 536 << 20
)

// newLarge returns a small host among many others, of which two have much memory.
func newLarge(t *testing.T) *entry {
	t.Helper()
	built, cleanup, err := New(persimsettings.Deployment{
		Host: "host-0", Store: "127.0.0.1:1", Duties: "127.0.0.1:1", MemoryBytes: smallMemory, Bounds: siteBounds(),
	})
	require.NoError(t, err)
	t.Cleanup(cleanup)
	e, ok := built.(*entry)
	require.True(t, ok)
	for i := range 63 {
		memory := int64(smallMemory)
		if i == 20 || i == 40 {
			memory = largeMemory
		}
		e.peers[fmt.Sprint("host-", i+1)] = peer{hostEntry: hostEntry{Memory: memory}, heard: time.Now()}
	}
	return e
}

// hold makes a host the holder of the lease, as others tell it.
func hold(e *entry, holder string) {
	now := persimclock.Now()
	e.lease.Observe(now, persimduty.LeaseRecord{Holder: "former", Fence: 1}, 1)
	e.lease.ObserveHeartbeat(now, holder, 2, 1)
}

func TestHubsHaveMostMemory(t *testing.T) {
	e := newLarge(t)
	hold(e, "host-7")
	require.ElementsMatch(t, []string{"host-21", "host-41"}, e.hubNames())
}

func TestHubsThatFailArePassedOverAndTriedAgain(t *testing.T) {
	e := newLarge(t)
	failing := e.peers["host-21"]
	failing.fails = failsToSkip
	e.peers["host-21"] = failing
	require.NotContains(t, e.hubNames(), "host-21")
	require.Contains(t, e.due(), "host-21", "as the host that is no hub")
}

func TestHolderIsTold(t *testing.T) {
	e := newLarge(t)
	hold(e, "host-7")
	require.Contains(t, e.due(), "host-7")
	require.NotContains(t, e.due(), "host-7", "asked just now")
}

func TestHolderAsksHostsItDoesNotHear(t *testing.T) {
	e := newLarge(t)
	silent := e.peers["host-9"]
	silent.heard = time.Now().Add(-2 * unheardAfter)
	e.peers["host-9"] = silent
	e.strayed = time.Now()
	require.NotContains(t, e.due(), "host-9")
	hold(e, "host-0")
	require.Contains(t, e.due(), "host-9")
}
