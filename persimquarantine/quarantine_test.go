package persimquarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	sound   uint64 = 11
	another uint64 = 12
	culprit uint64 = 99
)

// script plays what happens to one host.
type script struct {
	t *testing.T
	Quarantine
	now       time.Time
	upstreams uint64
}

func newScript(t *testing.T) *script {
	return &script{t: t, Quarantine: New(WithRandom(rand.New(rand.NewPCG(1, 1)))), now: testStart}
}

func (s *script) wait(length time.Duration) { s.now = s.now.Add(length) }

// crash crashes a new upstream with the parts.
func (s *script) crash(parts ...uint64) {
	s.upstreams++
	s.RecordCrash(s.now, s.upstreams, parts, false)
}

// crashEach crashes an upstream with the parts in each of several moments, then waits
// until they count.
func (s *script) crashEach(moments int, parts ...uint64) {
	for range moments {
		s.wait(time.Second)
		s.crash(parts...)
	}
	s.wait(settleTime)
}

func (s *script) succeed(parts ...uint64) { s.RecordSuccess(s.now, parts) }

func (s *script) requireBlocked(parts ...uint64) {
	s.t.Helper()
	for _, part := range parts {
		by, retryAfter, blocked := s.Check(s.now, []uint64{sound + 1000, part})
		require.True(s.t, blocked, "part %d", part)
		require.Equal(s.t, part, by)
		require.Positive(s.t, retryAfter)
	}
}

func (s *script) requireFree(parts ...uint64) {
	s.t.Helper()
	for _, part := range parts {
		_, _, blocked := s.Check(s.now, []uint64{part})
		require.False(s.t, blocked, "part %d", part)
	}
}

// requireProbeWithin checks that one request is let through within a time.
func (s *script) requireProbeWithin(limit time.Duration, part uint64) {
	s.t.Helper()
	for end := s.now.Add(limit); s.now.Before(end); s.wait(100 * time.Millisecond) {
		if _, _, blocked := s.Check(s.now, []uint64{part}); !blocked {
			return
		}
	}
	require.Fail(s.t, "no probe")
}

func TestChoiceOfQuarantinedParts(t *testing.T) {
	tests := map[string]struct {
		play          func(s *script)
		blocked, free []uint64
	}{
		"three moments": {
			play:    func(s *script) { s.crashEach(3, culprit) },
			blocked: []uint64{culprit},
		},
		"two moments": {
			play: func(s *script) { s.crashEach(2, culprit) },
			free: []uint64{culprit},
		},
		"many crashes in one moment": {
			play: func(s *script) {
				for range 20 {
					s.crash(sound)
					s.wait(momentLength / 20)
				}
				s.wait(settleTime)
			},
			free: []uint64{sound},
		},
		"the third moment has not settled": {
			play: func(s *script) {
				s.crashEach(2, culprit)
				s.crash(culprit)
				s.wait(settleTime - time.Millisecond)
			},
			free: []uint64{culprit},
		},
		"a success between the crashes": {
			play: func(s *script) {
				s.crashEach(2, sound)
				s.succeed(sound)
				s.crashEach(2, sound)
			},
			free: []uint64{sound},
		},
		"the part in most moments": {
			play: func(s *script) {
				s.crashEach(1, culprit)
				s.crashEach(3, culprit, sound)
			},
			blocked: []uint64{culprit}, free: []uint64{sound},
		},
		"the part that never succeeded": {
			play: func(s *script) {
				s.succeed(sound, another)
				s.crashEach(4, culprit, sound, another)
			},
			blocked: []uint64{culprit}, free: []uint64{sound, another},
		},
		"the part that succeeded the longest time ago": {
			play: func(s *script) {
				s.succeed(culprit, sound)
				s.wait(100 * time.Millisecond)
				s.succeed(sound)
				s.crashEach(5, culprit, sound)
			},
			blocked: []uint64{culprit}, free: []uint64{sound},
		},
		"four moments of a part that succeeded before": {
			play: func(s *script) {
				s.succeed(sound)
				s.crashEach(4, sound)
			},
			free: []uint64{sound},
		},
		"the smaller id": {
			play:    func(s *script) { s.crashEach(3, culprit, sound) },
			blocked: []uint64{sound}, free: []uint64{culprit},
		},
		"two culprits with a part in common": {
			play: func(s *script) {
				s.succeed(sound)
				for range 3 {
					s.wait(time.Second)
					s.crash(culprit, sound)
					s.wait(2 * momentLength)
					s.crash(another, sound)
				}
				s.wait(settleTime)
			},
			blocked: []uint64{culprit, another}, free: []uint64{sound},
		},
		"crashes long ago": {
			play: func(s *script) {
				s.crashEach(2, culprit)
				s.wait(crashMemory)
				s.crashEach(2, culprit)
			},
			free: []uint64{culprit},
		},
		"a success after the last crash": {
			play: func(s *script) {
				s.crashEach(3, sound)
				s.requireBlocked(sound)
				s.succeed(sound)
			},
			free: []uint64{sound},
		},
		"crashes after a release": {
			play: func(s *script) {
				s.crashEach(3, culprit)
				s.requireBlocked(culprit)
				s.succeed(culprit)
				s.crashEach(4, culprit)
				s.requireFree(culprit)
				s.crashEach(1, culprit)
			},
			blocked: []uint64{culprit},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			test.play(s)
			s.requireFree(test.free...)
			s.requireBlocked(test.blocked...)
			s.requireFree(test.free...)
		})
	}
}

func TestHold(t *testing.T) {
	t.Run("a request learns the remaining time", func(t *testing.T) {
		s := newScript(t)
		s.crashEach(3, culprit)
		s.wait(time.Second)
		_, retryAfter, _ := s.Check(s.now, []uint64{culprit})
		require.Equal(t, minHold-settleTime-time.Second, retryAfter)
	})
	t.Run("each probe that crashes doubles the hold", func(t *testing.T) {
		s := newScript(t)
		s.crashEach(3, culprit)
		s.requireBlocked(culprit)
		s.wait(-settleTime)
		for _, hold := range []time.Duration{30, 60, 120, 240, 480, 480} {
			s.wait(hold*time.Second - 200*time.Millisecond)
			s.requireBlocked(culprit)
			s.wait(200 * time.Millisecond)
			s.requireProbeWithin(probeSpread+time.Second, culprit)
			s.requireBlocked(culprit)
			s.crash(culprit)
			s.wait(evaluationInterval)
			s.requireBlocked(culprit)
			s.wait(-evaluationInterval)
		}
	})
	t.Run("a lost probe permits another", func(t *testing.T) {
		s := newScript(t)
		s.crashEach(3, culprit)
		s.requireBlocked(culprit)
		s.wait(minHold)
		s.requireProbeWithin(probeSpread, culprit)
		s.wait(probeTimeout - time.Millisecond)
		s.requireBlocked(culprit)
		s.wait(time.Millisecond)
		s.requireProbeWithin(probeSpread, culprit)
	})
	t.Run("a probe that succeeds releases the part", func(t *testing.T) {
		s := newScript(t)
		s.crashEach(3, culprit)
		s.requireBlocked(culprit)
		s.wait(minHold)
		s.requireProbeWithin(probeSpread, culprit)
		s.succeed(culprit)
		s.requireFree(culprit, culprit)
	})
	t.Run("a part that nobody asks for is forgotten", func(t *testing.T) {
		s := newScript(t)
		s.crashEach(3, culprit)
		s.requireBlocked(culprit)
		s.wait(minHold + probeSpread + forgetAfter)
		require.Empty(t, s.Evidence(s.now))
		s.requireFree(culprit, culprit)
	})
}

func TestMerge(t *testing.T) {
	// teller has a quarantined part, a sound one and a crash of its own.
	teller := func(t *testing.T) *script {
		s := newScript(t)
		s.succeed(sound)
		s.crashEach(3, culprit, sound)
		s.requireBlocked(culprit)
		return s
	}
	t.Run("without crashes there is no evidence", func(t *testing.T) {
		s := newScript(t)
		s.succeed(sound)
		require.Empty(t, s.Evidence(s.now))
	})
	t.Run("a host that restarted learns quarantined parts", func(t *testing.T) {
		s := newScript(t)
		from := teller(t)
		s.now = from.now
		s.Merge(s.now, from.Evidence(from.now))
		s.requireBlocked(culprit)
		s.requireFree(sound)
	})
	t.Run("merging twice changes nothing", func(t *testing.T) {
		s := newScript(t)
		from := teller(t)
		s.now = from.now
		evidence := from.Evidence(from.now)
		s.Merge(s.now, evidence)
		once := s.Evidence(s.now)
		s.Merge(s.now, evidence)
		require.Equal(t, once, s.Evidence(s.now))
	})
	t.Run("hosts that know parts of the same crashes put them together", func(t *testing.T) {
		a, b := newScript(t), newScript(t)
		a.crashEach(1, culprit, sound)
		b.crashEach(1, another, sound)
		a.Merge(a.now, b.Evidence(b.now))
		crashes := a.Evidence(a.now).Crashes
		require.Len(t, crashes, 1)
		require.ElementsMatch(t, []uint64{sound, another, culprit}, crashes[0].Parts)
	})
	t.Run("the earliest time of a crash counts", func(t *testing.T) {
		a, b := newScript(t), newScript(t)
		a.crash(culprit)
		b.now = a.now.Add(time.Second)
		b.crash(culprit)
		b.Merge(b.now, a.Evidence(b.now))
		a.Merge(b.now, b.Evidence(b.now))
		require.Equal(t, time.Second, a.Evidence(b.now).Crashes[0].Age)
		require.Equal(t, time.Second, b.Evidence(b.now).Crashes[0].Age)
	})
	t.Run("a host that restarted waits until it has heard of successes", func(t *testing.T) {
		s := newScript(t)
		from := newScript(t)
		from.crashEach(3, sound)
		s.now = from.now
		evidence := from.Evidence(from.now)
		evidence.Quarantined = nil
		s.Merge(s.now, evidence)
		s.requireFree(sound)
		s.wait(settleTime)
		s.requireBlocked(sound)
	})
	t.Run("a success elsewhere releases the part", func(t *testing.T) {
		s := newScript(t)
		from := teller(t)
		s.now = from.now
		s.Merge(s.now, from.Evidence(from.now))
		s.requireBlocked(culprit)
		from.succeed(culprit)
		s.wait(time.Second)
		s.Merge(s.now, from.Evidence(s.now))
		s.requireFree(culprit)
	})
	t.Run("a probe elsewhere blocks", func(t *testing.T) {
		s := newScript(t)
		from := teller(t)
		s.now = from.now
		s.Merge(s.now, from.Evidence(from.now))
		from.wait(minHold)
		from.requireProbeWithin(probeSpread, culprit)
		s.now = from.now
		s.Merge(s.now, from.Evidence(s.now))
		s.wait(probeTimeout - time.Millisecond)
		s.requireBlocked(culprit)
	})
	t.Run("what goes round does not stay", func(t *testing.T) {
		hosts := []*script{teller(t), newScript(t), newScript(t)}
		now := hosts[0].now
		const lag = 600 * time.Millisecond
		for end := now.Add(10 * time.Minute); now.Before(end); now = now.Add(lag) {
			var told []Evidence
			for _, s := range hosts {
				told = append(told, s.Evidence(now))
			}
			for i, s := range hosts {
				s.Merge(now.Add(lag), told[(i+1)%len(hosts)])
				s.Merge(now.Add(lag), told[(i+2)%len(hosts)])
			}
		}
		for _, s := range hosts {
			require.Empty(t, s.Evidence(now))
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	randomParts := func(count int) []uint64 {
		parts := make([]uint64, count)
		for i := range parts {
			parts[i] = random.Uint64()
		}
		return parts
	}
	flood := Evidence{}
	for range 500 {
		flood.Crashes = append(flood.Crashes, Crash{Time: Time{Age: time.Second, Hops: -1}, Upstream: random.Uint64(), Parts: randomParts(500)})
		flood.Quarantined = append(flood.Quarantined, Quarantined{Time: Time{Age: -time.Hour, Hops: 1 << 40}, Part: random.Uint64(), Doublings: 1 << 40})
		for _, part := range randomParts(50) {
			flood.Successes = append(flood.Successes, Success{Part: part})
		}
	}
	s := newScript(t)
	for range 500 {
		s.wait(50 * time.Millisecond)
		s.RecordCrash(s.now, random.Uint64(), append(randomParts(300), culprit), false)
		s.succeed(randomParts(100)...)
	}
	s.Merge(s.now, flood)
	s.wait(settleTime)
	q := s.Quarantine.(*quarantine)
	q.evaluate(s.now)
	require.LessOrEqual(t, len(q.crashes.list), maxCrashes)
	require.LessOrEqual(t, len(q.crashes.counts), maxCrashes*maxCrashParts)
	for _, c := range q.crashes.list {
		require.LessOrEqual(t, len(c.parts), maxCrashParts)
	}
	require.LessOrEqual(t, len(q.quarantined), maxQuarantined)
	require.LessOrEqual(t, len(q.successes.newer)+len(q.successes.older), 2*maxSuccesses)
	s.requireBlocked(culprit)
	t.Run("and all is forgotten", func(t *testing.T) {
		s.wait(time.Hour)
		require.Empty(t, s.Evidence(s.now))
		require.Empty(t, q.crashes.counts)
	})
}

func BenchmarkCheck(b *testing.B) {
	q := New()
	now := testStart
	for i := range uint64(3) {
		q.RecordCrash(now.Add(time.Duration(i)*time.Second), i, []uint64{culprit, sound}, false)
	}
	now = now.Add(5 * time.Second)
	parts := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	b.ReportAllocs()
	for b.Loop() {
		q.Check(now, parts)
	}
}
