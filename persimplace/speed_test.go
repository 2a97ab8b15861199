package persimplace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimengine"
)

// fixedModel knows the speed of the engines from the start and learns nothing.
type fixedModel struct{ speed persimengine.Speed }

func (m fixedModel) ObservePrefill(int, time.Duration) {}
func (m fixedModel) ObserveOutput(int, time.Duration)  {}
func (m fixedModel) Speed() persimengine.Speed         { return m.speed }
func (m fixedModel) Assume(persimengine.Speed)         {}
func (m fixedModel) Learned() bool                     { return true }
func (m fixedModel) TakePrefills() []persimengine.Prefill {
	return nil
}
func (m fixedModel) ObserveRemote([]persimengine.Prefill) {}

const (
	// simulatedTarget is the target latency; requests that are expected to take longer
	// are refused.
	simulatedTarget    = 600 * time.Millisecond
	simulatedUpstreams = 8
	// simulatedUtilisation is the load, as a share of what the engines can prefill.
	simulatedUtilisation = 1.3
	simulatedTokens      = 3000
)

// simulation plays one host with engines that prefill one prompt after another.
type simulation struct {
	random *rand.Rand
	placer Placer
	// speeds holds the prompt tokens that each engine prefills in a millisecond.
	speeds []float64
	freeAt []time.Time

	pending []simulatedResponse
	// counting is set once the warm-up is over.
	counting                bool
	late, refused, accepted int
}

type simulatedResponse struct {
	at      time.Time
	sent    time.Time
	ticket  *Ticket
	counted bool
}

func newSimulation(seed uint64, model persimengine.Model, speeds ...float64) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		random: random,
		placer: New(WithRandom(random), WithModel(model)),
		freeAt: make([]time.Time, simulatedUpstreams),
	}
	for i := range simulatedUpstreams {
		s.speeds = append(s.speeds, speeds[i%len(speeds)])
	}
	s.placer.SetUpstreams(makeUpstreams(simulatedUpstreams))
	return s
}

// run offers a load for a time and counts from a moment on.
func (s *simulation) run(length, countFrom time.Duration) {
	capacity := 0.0
	for _, speed := range s.speeds {
		capacity += speed * 1000
	}
	interval := float64(time.Second) * simulatedTokens / (capacity * simulatedUtilisation)
	for at := time.Duration(0); at < length; at += time.Duration(s.random.ExpFloat64() * interval) {
		s.counting = at >= countFrom
		s.step(start.Add(at))
	}
}

func (s *simulation) step(now time.Time) {
	s.deliver(now)
	tokens := 200 + int(s.random.ExpFloat64()*(simulatedTokens-200))
	request := Request{Tokens: tokens, Parts: []Part{{ID: s.random.Uint64(), Tokens: tokens}}}
	choice, ok := s.placer.Choose(now, request)
	if !ok || choice.Expected > simulatedTarget {
		if s.counting {
			s.refused++
		}
		return
	}
	if s.counting {
		s.accepted++
	}
	var index int
	_, _ = fmt.Sscanf(choice.Upstream.ID, "u%d", &index)
	began := now
	if s.freeAt[index].After(now) {
		began = s.freeAt[index]
	}
	done := began.Add(time.Duration(float64(tokens) / s.speeds[index] * float64(time.Millisecond)))
	s.freeAt[index] = done
	response := simulatedResponse{
		at: done.Add(10 * time.Millisecond), sent: now, ticket: s.placer.StartAttempt(now, request, choice), counted: s.counting,
	}
	at, _ := slices.BinarySearchFunc(s.pending, response, func(a, b simulatedResponse) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	s.pending = slices.Insert(s.pending, at, response)
}

func (s *simulation) deliver(now time.Time) {
	for len(s.pending) > 0 && !s.pending[0].at.After(now) {
		r := s.pending[0]
		s.pending = s.pending[1:]
		s.placer.RecordResponse(r.at, r.ticket)
		s.placer.EndAttempt(r.at, r.ticket, OutcomeSuccess)
		if r.counted && r.at.Sub(r.sent) > simulatedTarget+simulatedTarget/10 {
			s.late++
		}
	}
}

// servedInTime returns the share of the requests that were answered within the target.
func (s *simulation) servedInTime() float64 {
	return float64(s.accepted-s.late) / float64(s.accepted+s.refused)
}

// TestEnginesOfAnySpeedAreServedInTime plays a steady load above what the engines can do.
// It compares a placer that learns their speed with one that knows it.
func TestEnginesOfAnySpeedAreServedInTime(t *testing.T) {
	for name, speeds := range map[string][]float64{
		"25 tokens a ms": {25}, "50 tokens a ms": {50}, "100 tokens a ms": {100}, "400 tokens a ms": {400}, "50 and 100 tokens a ms": {50, 100},
	} {
		t.Run(name, func(t *testing.T) {
			const length, warmUp = 60 * time.Second, 15 * time.Second
			learning := newSimulation(1, persimengine.New(), speeds...)
			learning.run(length, warmUp)
			mean := 0.0
			for _, speed := range speeds {
				mean += speed / float64(len(speeds))
			}
			known := persimengine.DefaultSpeed.WithPromptToken(time.Duration(float64(time.Millisecond) / mean)).WithFirstByte(10 * time.Millisecond)
			knowing := newSimulation(1, fixedModel{known}, speeds...)
			knowing.run(length, warmUp)
			require.Greater(t, learning.servedInTime(), 0.95*knowing.servedInTime())
			lateShare := float64(learning.late) / float64(learning.accepted)
			require.Less(t, lateShare, 0.05+float64(knowing.late)/float64(knowing.accepted))
		})
	}
}
