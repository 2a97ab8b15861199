package persimengine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// engine answers prompts at a speed, with the disturbances that hosts can't see.
type engine struct {
	random *rand.Rand
	// tokensPerMS is the number of prompt tokens prefilled in a millisecond.
	tokensPerMS float64
	firstByte   time.Duration
	// late is the share of prompts that wait for others, up to a second, and cached the
	// share that is in fact cached.
	late, cached float64
}

// answer returns the time to the first byte of a prompt.
func (e *engine) answer(tokens int) time.Duration {
	took := e.firstByte + time.Duration(e.random.Float64()*float64(5*time.Millisecond))
	if e.random.Float64() >= e.cached {
		took += time.Duration(float64(tokens) / e.tokensPerMS * float64(time.Millisecond))
	}
	if e.random.Float64() < e.late {
		took += time.Duration(e.random.Float64() * float64(time.Second))
	}
	return took
}

func (e *engine) prompt() int { return 200 + int(e.random.ExpFloat64()*2000) }

func (e *engine) feed(m Model, prompts int) {
	for range prompts {
		tokens := e.prompt()
		m.ObservePrefill(tokens, e.answer(tokens))
	}
}

func newEngine(tokensPerMS float64) *engine {
	return &engine{random: rand.New(rand.NewPCG(uint64(tokensPerMS), 1)), tokensPerMS: tokensPerMS, firstByte: 15 * time.Millisecond}
}

func requireRate(t *testing.T, want, tolerance float64, m Model) {
	t.Helper()
	got := float64(time.Millisecond) / float64(m.Speed().PromptToken)
	require.InEpsilon(t, want, got, tolerance, "tokens a millisecond")
}

// speeds are the prompt tokens that engines prefill in a millisecond.
var speeds = []float64{25, 50, 100, 400}

func TestSpeedIsLearned(t *testing.T) {
	tests := map[string]struct{ late, cached, tolerance float64 }{
		"calm":                  {0, 0, 0.1},
		"some prompts wait":     {0.15, 0, 0.2},
		"some prompts cached":   {0, 0.15, 0.2},
		"some wait, one cached": {0.12, 0.08, 0.25},
	}
	for name, test := range tests {
		for _, speed := range speeds {
			t.Run(fmt.Sprint(name, " ", speed), func(t *testing.T) {
				m := New()
				e := newEngine(speed)
				e.late, e.cached = test.late, test.cached
				e.feed(m, sampleCount)
				require.True(t, m.Learned())
				requireRate(t, speed, test.tolerance, m)
				require.InDelta(t, float64(e.firstByte), float64(m.Speed().FirstByte), float64(30*time.Millisecond))
			})
		}
	}
}

func TestSpeedThatChangesIsLearnedAgain(t *testing.T) {
	m := New()
	newEngine(100).feed(m, 3*sampleCount)
	newEngine(25).feed(m, 4*sampleCount)
	requireRate(t, 25, 0.1, m)
}

// TestWaitsThatHostsDoNotKnowOfAreNotSpeed replays a host that starts in the minute after
// a reclaim: most prompts queue behind others that are not in its state.
func TestWaitsThatHostsDoNotKnowOfAreNotSpeed(t *testing.T) {
	for _, speed := range speeds {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			m := New()
			m.Assume(DefaultSpeed.WithPromptToken(time.Duration(float64(time.Millisecond) / speed)))
			e := newEngine(speed)
			e.late = 0.8
			for range 30 {
				e.feed(m, estimateInterval)
				require.InDelta(t, speed, float64(time.Millisecond)/float64(m.Speed().PromptToken), speed*0.6)
			}
		})
	}
}

func TestMixedSpeedsLieBetween(t *testing.T) {
	m := New()
	slow, fast := newEngine(50), newEngine(100)
	for range sampleCount {
		slow.feed(m, 1)
		fast.feed(m, 1)
	}
	got := float64(time.Millisecond) / float64(m.Speed().PromptToken)
	require.Greater(t, got, 45.0)
	require.Less(t, got, 110.0)
}

func TestAssumedSpeedHoldsUntilEnoughIsObserved(t *testing.T) {
	m := New()
	require.Equal(t, DefaultSpeed, m.Speed())
	assumed := DefaultSpeed.WithPromptToken(33 * time.Microsecond).WithFirstByte(time.Millisecond)
	m.Assume(assumed)
	newEngine(400).feed(m, minSamples-1)
	require.False(t, m.Learned())
	require.Equal(t, assumed, m.Speed())
	t.Run("prompts of one length say nothing about the speed", func(t *testing.T) {
		m := New()
		for range 4 * sampleCount {
			m.ObservePrefill(1000, time.Second)
		}
		require.False(t, m.Learned())
	})
}

func TestOutputIsLearned(t *testing.T) {
	m := New()
	for range sampleCount {
		m.ObserveOutput(100, 800*time.Millisecond)
	}
	require.Equal(t, 8*time.Millisecond, m.Speed().OutputToken)
	require.Equal(t, 800*time.Millisecond, m.Speed().Run)
	require.Equal(t, 50*time.Millisecond, m.Speed().QueueStep(16))
}

func TestBusy(t *testing.T) {
	speed := Speed{PromptToken: 20 * time.Microsecond, OutputToken: 5 * time.Millisecond}
	require.InDelta(t, 4, speed.Busy(200_000, 1000, 32), 1e-9, "prompts bind")
	require.InDelta(t, 10, speed.Busy(200_000, 64_000, 32), 1e-9, "slots bind")
	require.InDelta(t, 5, speed.Busy(0, 1000, 0), 1e-9, "unknown slots count as one")
}

// TestHubLearnsFromManyHosts guards against a large deployment that assumes a wrong speed for
// long since each host measures too few prompts.
func TestHubLearnsFromManyHosts(t *testing.T) {
	const hosts, promptsPerHost, tokensPerMS = 40, 4, 40
	e := newEngine(tokensPerMS)
	hub := New()
	for range hosts {
		host := New()
		e.feed(host, promptsPerHost)
		require.False(t, host.Learned())
		hub.ObserveRemote(host.TakePrefills())
		require.Empty(t, host.TakePrefills())
	}
	requireRate(t, tokensPerMS, 0.15, hub)
	require.True(t, hub.Learned())
	require.Empty(t, hub.TakePrefills(), "what others observed is not passed on")
	t.Run("malformed ones are left out", func(t *testing.T) {
		m := New()
		m.ObserveRemote(make([]Prefill, 10*minSamples))
		require.False(t, m.Learned())
	})
	t.Run("what is kept for others is bounded", func(t *testing.T) {
		m := New()
		e.feed(m, 10*maxUnsent)
		require.Len(t, m.TakePrefills(), maxUnsent)
	})
}
