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

// newLargeDeployment returns a host with little memory and 63 peers, of which host-21
// and host-41 have much memory.
func newLargeDeployment(t *testing.T) *entry {
	t.Helper()
	built, cleanup, err := New(persimsettings.Deployment{
		Host: "host-0", StoreAddress: "127.0.0.1:1", DutiesAddress: "127.0.0.1:1", MemoryBytes: smallMemory, Bounds: testBounds(),
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
		e.peers[fmt.Sprint("host-", i+1)] = peer{hostRecord: hostRecord{Memory: memory}, lastHeard: time.Now()}
	}
	return e
}

// setHolder makes a host the holder of the lease, as reported by another host.
func setHolder(e *entry, holder string) {
	now := persimclock.Now()
	e.lease.Observe(now, persimduty.LeaseRecord{Holder: "former", Fence: 1}, 1)
	e.lease.ObserveHeartbeat(now, holder, 2, 1)
}

func TestHubsHaveMostMemory(t *testing.T) {
	e := newLargeDeployment(t)
	setHolder(e, "host-7")
	require.ElementsMatch(t, []string{"host-21", "host-41"}, e.hubNames())
}

func TestFailingHubIsSkippedAndRetried(t *testing.T) {
	e := newLargeDeployment(t)
	failing := e.peers["host-21"]
	failing.failures = hubFailureThreshold
	e.peers["host-21"] = failing
	require.NotContains(t, e.hubNames(), "host-21")
	require.Contains(t, e.selectPeers(), "host-21", "as the peer that is not a hub")
}

func TestHolderIsTold(t *testing.T) {
	e := newLargeDeployment(t)
	setHolder(e, "host-7")
	require.Contains(t, e.selectPeers(), "host-7")
	require.NotContains(t, e.selectPeers(), "host-7", "exchange just started")
}

func TestHolderAsksHostsItDoesNotHear(t *testing.T) {
	e := newLargeDeployment(t)
	silent := e.peers["host-9"]
	silent.lastHeard = time.Now().Add(-2 * silentPeerTimeout)
	e.peers["host-9"] = silent
	e.lastNonHubExchange = time.Now()
	require.NotContains(t, e.selectPeers(), "host-9")
	setHolder(e, "host-0")
	require.Contains(t, e.selectPeers(), "host-9")
}
