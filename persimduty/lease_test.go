package persimduty

import (
	"fmt"
	"math/rand/v2"
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

// dutyCall is a call of a duty as received by the platform.
type dutyCall struct {
	host  string
	fence int64
	at    time.Duration
}

// simulation holds the stored lease and hosts that are stopped, suspended and
// restarted at random. Some of their writes are stored without a confirmation, and
// some of their reads fail.
type simulation struct {
	record      LeaseRecord
	revision    int64
	hosts       []Lease
	names       []string
	pausedUntil []time.Duration
	calls       []dutyCall
}

func (s *simulation) write(random *rand.Rand, l Lease, now time.Duration, record LeaseRecord, revision persimrevision.Revision) {
	if revision.Number != s.revision {
		l.Observe(instant(now), s.record, inEra(0, s.revision))
		return
	}
	s.record = record
	s.revision++
	if random.Float64() < 0.1 {
		return
	}
	l.ConfirmWrite(instant(now), record, inEra(0, s.revision))
}

func (s *simulation) step(random *rand.Rand, i int, now time.Duration) {
	if now < s.pausedUntil[i] {
		return
	}
	l := s.hosts[i]
	switch p := random.Float64(); {
	case p < 0.003:
		s.pausedUntil[i] = now + time.Duration(random.IntN(9))*time.Second
		return
	case p < 0.005:
		s.pausedUntil[i] = now + time.Second
		s.hosts[i] = NewLease(s.names[i], now.String(), leaseDuration)
		return
	case p < 0.007:
		if record, revision, ok := l.Release(); ok {
			s.write(random, l, now, record, revision)
		}
		return
	}
	if random.Float64() < 0.3 {
		l.Observe(instant(now), s.record, inEra(0, s.revision))
	}
	if record, revision, ok := l.Propose(instant(now)); ok {
		s.write(random, l, now, record, revision)
	}
	if fence, ok := l.Held(instant(now)); ok {
		s.calls = append(s.calls, dutyCall{host: s.names[i], fence: fence, at: now})
	}
}

func TestLeaseUnderFaults(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := &simulation{revision: 1}
			for i := range 3 {
				name := string(rune('a' + i))
				s.names = append(s.names, name)
				s.pausedUntil = append(s.pausedUntil, 0)
				s.hosts = append(s.hosts, NewLease(name, "first", leaseDuration))
			}
			for now := time.Duration(0); now < 2*time.Minute; now += 300 * time.Millisecond {
				for i := range s.hosts {
					s.step(random, i, now)
				}
			}
			require.NotEmpty(t, s.calls)
			requireSingleHolder(t, s.calls)
		})
	}
}

func requireSingleHolder(t *testing.T, calls []dutyCall) {
	t.Helper()
	holders := map[int64]string{}
	for i, call := range calls {
		holder, ok := holders[call.fence]
		require.True(t, !ok || holder == call.host, "fencing token %d is used by two hosts", call.fence)
		holders[call.fence] = call.host
		between := ""
		for j := i - 1; j >= 0 && call.at-calls[j].at < leaseDuration; j-- {
			if calls[j].host != call.host {
				between = calls[j].host
			} else {
				require.Empty(t, between, "%s acts before and after %s within one lease duration", call.host, between)
			}
		}
	}
}
