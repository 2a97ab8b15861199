package persimentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimrevision"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimstand"
	"persimmonport.example/persimwire"
	"persimmonport.example/platform"
)

// newLeaseHolder returns a host that holds the lease with a fencing token.
func newLeaseHolder(t *testing.T, store *persimstand.Store, fence int64) *entry {
	t.Helper()
	built, cleanup, err := New(persimsettings.Deployment{
		Host: "h", StoreAddress: serveStore(t, store), DutiesAddress: "127.0.0.1:1", Bounds: testBounds(), Rollouts: true,
	})
	require.NoError(t, err)
	t.Cleanup(cleanup)
	e, ok := built.(*entry)
	require.True(t, ok)
	e.holdLease(fence)
	return e
}

func (e *entry) holdLease(fence int64) {
	e.lease.ConfirmWrite(persimclock.Now(), persimduty.LeaseRecord{Holder: "h", Incarnation: e.incarnation, Fence: fence}, numbered(1))
}

// TestLateRenewalKeepsTheOrderOfAnnouncements guards against a holder whose announcements are
// ignored since it numbers them anew under the same fencing token.
func TestLateRenewalKeepsTheOrderOfAnnouncements(t *testing.T) {
	e := newLeaseHolder(t, persimstand.NewStore(), 7)
	_, held := e.followLease()
	require.True(t, held)
	service := e.rolloutServiceLocked(time.Now(), "s")
	e.lease.Invalidate(7)
	_, held = e.followLease()
	require.False(t, held)
	e.holdLease(7)
	_, held = e.followLease()
	require.True(t, held)
	require.Same(t, service, e.rollouts.services["s"])
	e.holdLease(8)
	_, held = e.followLease()
	require.True(t, held)
	require.Empty(t, e.rollouts.services)
}

// TestListUnderANewLeaseIsApplied guards against an order that is seen seconds late: the objects
// were listed before the loop of decisions knew of the lease, and the list was dropped.
func TestListUnderANewLeaseIsApplied(t *testing.T) {
	store := persimstand.NewStore()
	store.Put(platform.RolloutKind, "s", []byte(`{"service":"s","target":"v2","duration_s":8}`))
	e := newLeaseHolder(t, store, 7)
	fence, held := e.followLease()
	require.True(t, held)
	_, err := e.followRollouts(t.Context(), fence, persimrevision.Revision{})
	require.NoError(t, err)
	require.True(t, e.rollouts.objectsRead)
	require.True(t, e.rollouts.recordsRead)
	require.Equal(t, "s", e.rollouts.services["s"].object.Name)
}

// TestHostWithoutTheLeaseReportsToItsHolder guards against hosts of a large deployment whose
// counters never reach the lease holder, since they read no lease.
func TestHostWithoutTheLeaseReportsToItsHolder(t *testing.T) {
	e := newLargeDeployment(t)
	e.peers["host-7"] = peer{hostRecord: hostRecord{Address: "10.0.0.7:1"}}
	e.applyExchange(&persimwire.Exchange{Host: "host-21", Holder: "host-7", Fence: 2, Beat: 3})
	name, address := e.leaseHolder()
	require.Equal(t, "host-7", name)
	require.Equal(t, "10.0.0.7:1", address)
	e.applyExchange(&persimwire.Exchange{Host: "host-41", Holder: "host-8", Fence: 1, Beat: 9})
	name, _ = e.leaseHolder()
	require.Equal(t, "host-7", name)
}
