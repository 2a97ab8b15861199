package persimduty

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimclock"
)

const testLease = 3 * time.Second

func instant(d time.Duration) persimclock.Instant { return persimclock.Instant(d) }

func TestLease(t *testing.T) {
	free := Record{}
	taken := Record{Holder: "b", Incarnation: "1", Fence: 4}
	tests := map[string]struct {
		record Record
		after  time.Duration
		fence  int64
	}{
		"free":                        {free, 0, 1},
		"held by another":             {taken, testLease, 0},
		"unchanged for a whole lease": {taken, testLease + 1, 5},
		"released":                    {Record{Holder: "b", Fence: 4, Released: true}, 0, 5},
		"released by the one after":   {Record{Holder: "b", Fence: 4, Released: true, Former: "a"}, time.Second, 0},
		"released by itself":          {Record{Holder: "a", Fence: 4, Released: true}, time.Second, 0},
		"held by its former start":    {Record{Holder: "a", Incarnation: "0", Fence: 4}, time.Second, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLease("a", "1", testLease)
			l.Observe(instant(0), test.record, 9)
			record, revision, ok := l.Propose(instant(test.after))
			require.Equal(t, test.fence != 0, ok)
			if ok {
				require.Equal(t, test.fence, record.Fence)
				require.EqualValues(t, 9, revision)
			}
		})
	}
}

func TestLeaseIsLeftToLargerHosts(t *testing.T) {
	const patience = 600 * time.Millisecond
	for name, record := range map[string]Record{
		"free":      {},
		"released":  {Holder: "b", Fence: 4, Released: true},
		"not alive": {Holder: "b", Fence: 4},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLease("a", "1", testLease)
			l.SetPatience(patience)
			l.Observe(instant(0), record, 9)
			free := time.Duration(0)
			if name == "not alive" {
				free = testLease
			}
			_, _, ok := l.Propose(instant(free + patience - 1))
			require.False(t, ok)
			_, _, ok = l.Propose(instant(free + patience + 1))
			require.True(t, ok)
		})
	}
}

func TestLeaseHolderStopsInTime(t *testing.T) {
	l := NewLease("a", "1", testLease)
	l.Observe(instant(0), Record{}, 1)
	record, _, ok := l.Propose(instant(0))
	require.True(t, ok)
	l.Written(instant(0), record, 2)
	fence, held := l.Held(instant(time.Second))
	require.True(t, held)
	require.EqualValues(t, 1, fence)
	_, held = l.Held(instant(testLease * 8 / 10))
	require.False(t, held, "a holder that was suspended does not act")
	l.Observe(instant(testLease), Record{Holder: "b", Fence: 2}, 3)
	_, held = l.Held(instant(testLease))
	require.False(t, held)
}

// act is a call of a duty as the platform sees it.
type act struct {
	host  string
	fence int64
	at    time.Duration
}

// world is the store's lease and hosts that are stopped, suspended and restarted
// at random, whose writes are sometimes lost and whose reads sometimes fail.
type world struct {
	record   Record
	revision int64
	hosts    []Lease
	names    []string
	asleep   []time.Duration
	acts     []act
}

func (w *world) write(random *rand.Rand, l Lease, now time.Duration, record Record, revision int64) {
	if revision != w.revision {
		l.Observe(instant(now), w.record, w.revision)
		return
	}
	w.record = record
	w.revision++
	if random.Float64() < 0.1 {
		return
	}
	l.Written(instant(now), record, w.revision)
}

func (w *world) step(random *rand.Rand, i int, now time.Duration) {
	if now < w.asleep[i] {
		return
	}
	l := w.hosts[i]
	switch p := random.Float64(); {
	case p < 0.003:
		w.asleep[i] = now + time.Duration(random.IntN(9))*time.Second
		return
	case p < 0.005:
		w.asleep[i] = now + time.Second
		w.hosts[i] = NewLease(w.names[i], now.String(), testLease)
		return
	case p < 0.007:
		if record, revision, ok := l.Release(); ok {
			w.write(random, l, now, record, revision)
		}
		return
	}
	if random.Float64() < 0.3 {
		l.Observe(instant(now), w.record, w.revision)
	}
	if record, revision, ok := l.Propose(instant(now)); ok {
		w.write(random, l, now, record, revision)
	}
	if fence, ok := l.Held(instant(now)); ok {
		w.acts = append(w.acts, act{host: w.names[i], fence: fence, at: now})
	}
}

func TestLeaseUnderFaults(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			w := &world{revision: 1}
			for i := range 3 {
				name := string(rune('a' + i))
				w.names = append(w.names, name)
				w.asleep = append(w.asleep, 0)
				w.hosts = append(w.hosts, NewLease(name, "first", testLease))
			}
			for now := time.Duration(0); now < 2*time.Minute; now += 300 * time.Millisecond {
				for i := range w.hosts {
					w.step(random, i, now)
				}
			}
			require.NotEmpty(t, w.acts)
			requireOneHolder(t, w.acts)
		})
	}
}

func requireOneHolder(t *testing.T, acts []act) {
	t.Helper()
	holders := map[int64]string{}
	for i, a := range acts {
		known, ok := holders[a.fence]
		require.True(t, !ok || known == a.host, "fence %d is used by two hosts", a.fence)
		holders[a.fence] = a.host
		between := ""
		for j := i - 1; j >= 0 && a.at-acts[j].at < testLease; j-- {
			if acts[j].host != a.host {
				between = acts[j].host
			} else {
				require.Empty(t, between, "%s acts before and after %s within a lease", a.host, between)
			}
		}
	}
}
