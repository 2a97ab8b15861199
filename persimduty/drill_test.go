package persimduty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimrevision"
)

// heldLease returns a lease that host a acquired in era 1 with the fence of revision 10, and
// whose write of revision 20 was started at zero.
func heldLease(t *testing.T) Lease {
	t.Helper()
	l := NewLease("a", "1", leaseDuration)
	l.Observe(instant(-leaseDuration), LeaseRecord{Era: 1}, inEra(1, 10))
	record, revision, ok := l.Propose(instant(-leaseDuration))
	require.True(t, ok)
	require.Equal(t, inEra(1, 10), revision)
	require.True(t, l.ConfirmWrite(instant(-leaseDuration), record, inEra(1, 11)))
	record.Heartbeat++
	require.True(t, l.ConfirmWrite(instant(0), record, inEra(1, 20)))
	return l
}

// requireHolds asserts whether a lease may be used, and the fencing token.
func requireHolds(t *testing.T, l Lease, at time.Duration, fence int64) {
	t.Helper()
	got, held := l.Held(instant(at))
	require.Equal(t, fence != 0, held)
	require.Equal(t, fence, got)
}

// requireProposesFrom asserts that a lease is acquired with a fencing token from a moment on.
func requireProposesFrom(t *testing.T, l Lease, at time.Duration, fence int64) {
	t.Helper()
	_, _, ok := l.Propose(instant(at - 1))
	require.False(t, ok, "acquired too early")
	record, _, ok := l.Propose(instant(at))
	require.True(t, ok)
	require.Equal(t, fence, record.Fence)
}

func ordinal(era persimrevision.Era, number int64) int64 { return inEra(era, number).Ordinal() }

// copies are the records that an older copy may hold when host a is the holder of era 1.
func copies() map[string]LeaseRecord {
	return map[string]LeaseRecord{
		"vacant":              {},
		"vacant in its era":   {Era: 1},
		"held by a before":    {Holder: "a", Incarnation: "1", Era: 1, Fence: ordinal(1, 10)},
		"held by another":     {Holder: "b", Incarnation: "1", Era: 1, Fence: ordinal(1, 3)},
		"released by another": {Holder: "b", Incarnation: "1", Era: 1, Fence: ordinal(1, 3), Released: true},
		"of an older version": {Holder: "b", Incarnation: "1", Fence: 7},
	}
}

// Guards against a holder that ignores what it reads after a drill, since the revision is lower
// than the one it remembers, and then neither renews the lease nor leaves it to others.
func TestHolderContinuesAfterADrill(t *testing.T) {
	for name, record := range copies() {
		t.Run(name, func(t *testing.T) {
			l := heldLease(t)
			seen := leaseDuration / 2
			l.ObserveEra(instant(seen), 2)
			requireHolds(t, l, seen, ordinal(1, 10))
			_, _, ok := l.Propose(instant(seen))
			require.False(t, ok, "the lease was not read in the new era")
			require.True(t, l.Outdated())
			l.Observe(instant(seen), record, inEra(2, 9))
			next, revision, ok := l.Propose(instant(seen))
			require.True(t, ok)
			require.Equal(t, inEra(2, 9), revision)
			require.Equal(t, ordinal(2, 9), next.Fence)
			require.EqualValues(t, 2, next.Era)
			require.True(t, l.ConfirmWrite(instant(seen), next, inEra(2, 10)))
			requireHolds(t, l, seen, ordinal(2, 9))
			require.Equal(t, 1, l.Tenure())
		})
	}
}

// Guards against a host that takes the lease at once from an older copy, in which it is free,
// while a holder that does not know of the drill still acts.
func TestOthersWaitAfterADrill(t *testing.T) {
	for name, record := range copies() {
		t.Run(name, func(t *testing.T) {
			for host, l := range map[string]Lease{"started since": NewLease("c", "1", leaseDuration), "knows the lease": knowingLease()} {
				l.Observe(instant(0), record, inEra(2, 9))
				next, _, ok := l.Propose(instant(leaseDuration))
				require.False(t, ok, "%s: %+v", host, next)
				requireProposesFrom(t, l, leaseDuration+1, ordinal(2, 9))
			}
		})
	}
}

// knowingLease returns the lease of a host that has read revision 20 in era 1.
func knowingLease() Lease {
	l := NewLease("c", "1", leaseDuration)
	l.Observe(instant(-time.Second), LeaseRecord{Holder: "a", Incarnation: "1", Era: 1, Fence: ordinal(1, 10), Heartbeat: 4}, inEra(1, 20))
	return l
}

// Guards against duties that nobody performs for the lease duration when a deployment first starts,
// and against a lease that is free at once where the copy is from before it was created.
func TestInitialLease(t *testing.T) {
	for name, test := range map[string]struct {
		before func(Lease)
		waits  bool
	}{
		"first start":               {func(Lease) {}, false},
		"first start, era seen":     {func(l Lease) { l.ObserveEra(instant(0), 2) }, false},
		"former era seen":           {func(l Lease) { l.ObserveEra(instant(-1), 1); l.ObserveEra(instant(0), 2) }, true},
		"former era named by hosts": {func(l Lease) { l.ObserveEra(instant(0), 2); l.ObserveHeartbeat(instant(0), "b", ordinal(1, 4), 7) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLease("a", "1", leaseDuration)
			test.before(l)
			l.Observe(instant(0), l.Initial(2), inEra(2, 9))
			if !test.waits {
				requireProposesAtOnce(t, l, 0, ordinal(2, 9))
				return
			}
			requireProposesFrom(t, l, leaseDuration+1, ordinal(2, 9))
		})
	}
}

// Guards against a wait where none is needed: the lease was released in this era.
func TestReleaseInTheSameEraFreesTheLease(t *testing.T) {
	l := NewLease("c", "1", leaseDuration)
	l.Observe(instant(0), LeaseRecord{Holder: "a", Era: 2, Fence: ordinal(2, 3), Released: true}, inEra(2, 9))
	requireProposesFrom(t, l, 0, ordinal(2, 9))
}

// Guards against a holder that was cut off, comes back after others could acquire the lease in
// the former era, and goes on as if it had been the only one.
func TestHolderThatSeesTheEraLateIsNoHolder(t *testing.T) {
	for name, record := range copies() {
		t.Run(name, func(t *testing.T) {
			l := heldLease(t)
			l.Observe(instant(leaseDuration), record, inEra(2, 9))
			requireHolds(t, l, leaseDuration, 0)
			requireProposesFrom(t, l, 2*leaseDuration+1, ordinal(2, 9))
			next, _, _ := l.Propose(instant(2*leaseDuration + 1))
			// The response is lost, and the host reads what it has written.
			l.Observe(instant(2*leaseDuration+2), next, inEra(2, 10))
			requireHolds(t, l, 2*leaseDuration+2, 0)
			require.True(t, l.ConfirmWrite(instant(2*leaseDuration+1), next, inEra(2, 10)))
			require.Equal(t, 2, l.Tenure())
		})
	}
}

// Guards against a response of a former era that comes late.
func TestLateResponsesOfAFormerEra(t *testing.T) {
	t.Run("read", func(t *testing.T) {
		l := NewLease("c", "1", leaseDuration)
		l.Observe(instant(0), LeaseRecord{Holder: "b", Era: 2, Fence: ordinal(2, 4)}, inEra(2, 9))
		l.Observe(instant(1), LeaseRecord{Holder: "a", Era: 1, Released: true}, inEra(1, 20))
		require.Equal(t, "b", l.Record().Holder)
	})
	t.Run("write", func(t *testing.T) {
		l := heldLease(t)
		renewal := l.Record()
		renewal.Heartbeat++
		l.Observe(instant(time.Second), LeaseRecord{Holder: "b", Era: 2, Fence: ordinal(2, 4)}, inEra(2, 9))
		require.True(t, l.ConfirmWrite(instant(time.Second), renewal, inEra(1, 21)))
		require.Equal(t, "b", l.Record().Holder)
		_, revision, ok := l.Propose(instant(time.Second + leaseDuration*8/10))
		require.False(t, ok, "%s", revision)
	})
	t.Run("heartbeat", func(t *testing.T) {
		l := NewLease("c", "1", leaseDuration)
		l.Observe(instant(0), LeaseRecord{Holder: "a", Era: 1, Fence: ordinal(1, 3)}, inEra(2, 9))
		l.ObserveHeartbeat(instant(leaseDuration), "a", ordinal(1, 10), 40)
		requireProposesFrom(t, l, leaseDuration+1, ordinal(2, 9))
	})
}

// Guards against a lease by a write whose condition holds by chance in a later era.
func TestWriteThatIsCarriedOutInALaterEra(t *testing.T) {
	writer, other := NewLease("a", "1", leaseDuration), NewLease("b", "1", leaseDuration)
	writer.Observe(instant(0), LeaseRecord{Holder: "b", Era: 1, Fence: ordinal(1, 2), Released: true}, inEra(1, 9))
	record, _, ok := writer.Propose(instant(0))
	require.True(t, ok)
	require.False(t, writer.ConfirmWrite(instant(0), record, inEra(2, 10)))
	requireHolds(t, writer, 0, 0)
	for name, l := range map[string]Lease{"writer": writer, "other": other} {
		l.Observe(instant(0), record, inEra(2, 10))
		requireHolds(t, l, 0, 0)
		_, _, ok := l.Propose(instant(leaseDuration))
		require.False(t, ok, name)
		requireProposesFrom(t, l, leaseDuration+1, ordinal(2, 10))
	}
}

// Guards against a fencing token that two holders share although the store has lost the first.
func TestFencesRiseOverDrills(t *testing.T) {
	last := int64(0)
	for era := persimrevision.Era(1); era < 5; era++ {
		for _, number := range []int64{9, 9 + int64(era)} {
			l := NewLease("a", "1", leaseDuration)
			l.Observe(instant(0), LeaseRecord{Holder: "b", Fence: 4}, inEra(era, number))
			record, _, ok := l.Propose(instant(leaseDuration + 1))
			require.True(t, ok)
			require.Greater(t, record.Fence, last)
			last = record.Fence
		}
	}
}

// Guards against a lower token in a deployment whose stored token is higher than the ordinal.
func TestFenceIsAboveTheStoredOne(t *testing.T) {
	for name, era := range map[string]persimrevision.Era{"no era": 0, "era": 1} {
		t.Run(name, func(t *testing.T) {
			stored := ordinal(1, 50)
			l := NewLease("a", "1", leaseDuration)
			l.Observe(instant(0), LeaseRecord{Holder: "b", Fence: stored}, inEra(era, 9))
			requireProposesFrom(t, l, leaseDuration+1, stored+1)
		})
	}
}

// Guards against a second drill that comes before the holder has written the lease again.
func TestHolderContinuesAfterTwoDrills(t *testing.T) {
	for name, secondRead := range map[string]bool{"first era not seen": false, "first era read": true} {
		t.Run(name, func(t *testing.T) {
			l := heldLease(t)
			if secondRead {
				l.Observe(instant(time.Second), LeaseRecord{Holder: "b", Era: 1, Fence: ordinal(1, 3)}, inEra(2, 9))
				_, _, ok := l.Propose(instant(time.Second))
				require.True(t, ok)
			}
			l.Observe(instant(2*time.Second), LeaseRecord{}, inEra(3, 4))
			requireProposesAtOnce(t, l, 2*time.Second, ordinal(3, 4))
			require.Equal(t, 1, l.Tenure())
		})
	}
}

func requireProposesAtOnce(t *testing.T, l Lease, at time.Duration, fence int64) {
	t.Helper()
	record, _, ok := l.Propose(instant(at))
	require.True(t, ok)
	require.Equal(t, fence, record.Fence)
}

// Guards against a former holder that goes on with a token after another host has acquired the
// lease in the new era, or after the platform has refused the token.
func TestTenureEnds(t *testing.T) {
	for name, end := range map[string]func(Lease){
		"acquired by another": func(l Lease) {
			l.Observe(instant(1), LeaseRecord{Holder: "b", Era: 2, Fence: ordinal(2, 4)}, inEra(2, 9))
		},
		"refused": func(l Lease) { l.Invalidate(ordinal(1, 10)) },
		"released": func(l Lease) {
			l.ObserveEra(instant(1), 2)
			_, _, ok := l.Release()
			require.False(t, ok, "the record of a former era is no condition")
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := heldLease(t)
			end(l)
			requireHolds(t, l, 2, 0)
			l.Observe(instant(3), LeaseRecord{Holder: "b", Era: 2, Fence: ordinal(2, 4)}, inEra(2, 10))
			_, _, ok := l.Propose(instant(4))
			require.False(t, ok)
		})
	}
	t.Run("not by the refusal of an earlier token", func(t *testing.T) {
		l := heldLease(t)
		l.Invalidate(ordinal(1, 9))
		requireHolds(t, l, 2, ordinal(1, 10))
	})
}
