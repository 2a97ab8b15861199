package persimduty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimrevision"
)

const leaseDuration = 3 * time.Second

func instant(d time.Duration) persimclock.Instant { return persimclock.Instant(d) }

func inEra(era persimrevision.Era, number int64) persimrevision.Revision {
	return persimrevision.Revision{Era: era, Number: number}
}

func TestLease(t *testing.T) {
	free := LeaseRecord{}
	taken := LeaseRecord{Holder: "b", Incarnation: "1", Fence: 4}
	tests := map[string]struct {
		record  LeaseRecord
		elapsed time.Duration
		fence   int64
	}{
		"free":                             {free, 0, 1},
		"held by another":                  {taken, leaseDuration, 0},
		"unchanged for a whole lease":      {taken, leaseDuration + 1, 5},
		"released":                         {LeaseRecord{Holder: "b", Fence: 4, Released: true}, 0, 5},
		"released by its successor":        {LeaseRecord{Holder: "b", Fence: 4, Released: true, PreviousHolder: "a"}, time.Second, 0},
		"released by itself":               {LeaseRecord{Holder: "a", Fence: 4, Released: true}, time.Second, 0},
		"held by its previous incarnation": {LeaseRecord{Holder: "a", Incarnation: "0", Fence: 4}, time.Second, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLease("a", "1", leaseDuration)
			l.Observe(instant(0), test.record, inEra(0, 9))
			record, revision, ok := l.Propose(instant(test.elapsed))
			require.Equal(t, test.fence != 0, ok)
			if ok {
				require.Equal(t, test.fence, record.Fence)
				require.Equal(t, inEra(0, 9), revision)
			}
		})
	}
}

func TestAcquireDelay(t *testing.T) {
	const acquireDelay = 600 * time.Millisecond
	for name, record := range map[string]LeaseRecord{
		"free":     {},
		"released": {Holder: "b", Fence: 4, Released: true},
		"expired":  {Holder: "b", Fence: 4},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLease("a", "1", leaseDuration)
			l.SetAcquireDelay(acquireDelay)
			l.Observe(instant(0), record, inEra(0, 9))
			freeAt := time.Duration(0)
			if name == "expired" {
				freeAt = leaseDuration
			}
			_, _, ok := l.Propose(instant(freeAt + acquireDelay - 1))
			require.False(t, ok)
			_, _, ok = l.Propose(instant(freeAt + acquireDelay + 1))
			require.True(t, ok)
		})
	}
}

func TestHolderStopsBeforeLeaseExpires(t *testing.T) {
	l := NewLease("a", "1", leaseDuration)
	l.Observe(instant(0), LeaseRecord{}, inEra(0, 1))
	record, _, ok := l.Propose(instant(0))
	require.True(t, ok)
	l.ConfirmWrite(instant(0), record, inEra(0, 2))
	fence, held := l.Held(instant(time.Second))
	require.True(t, held)
	require.EqualValues(t, 1, fence)
	_, held = l.Held(instant(leaseDuration * 8 / 10))
	require.False(t, held, "a suspended holder must not act")
	l.Observe(instant(leaseDuration), LeaseRecord{Holder: "b", Fence: 2}, inEra(0, 3))
	_, held = l.Held(instant(leaseDuration))
	require.False(t, held)
}
