package persimengine

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleCount is the number of latest responses from which the speed is estimated.
	sampleCount = 64
	// minSamples is the number of responses from which an estimate is made.
	minSamples = 24
	// minSlopes is the number of pairs of prompts that an estimate needs.
	minSlopes = 12
	// maxStep is the largest factor by which one estimate changes a speed that was learned
	// here or by another host.
	maxStep = 1.04
	// maxUnsent is the number of prefills that a host keeps for others.
	maxUnsent = 16
	// estimateInterval is the number of responses after which the estimate is renewed.
	estimateInterval = 4
	// minTokenDistance is the smallest difference in length between two prompts whose
	// times are compared; shorter ones say more about noise than about speed.
	minTokenDistance = 300
	// maxRelativeError is the largest expected error of an estimate, as a share of it. Above
	// it, the times tell more about other work than about the prompts.
	maxRelativeError = 0.35
	// firstByteQuantile is the quantile of the remaining times that is taken as the time
	// of the first byte: noise only makes responses later.
	firstByteQuantile = 0.3
	// outputTokenQuantile is the quantile of the times between tokens that is taken: long
	// prompts of others hold up the tokens of an engine that is too busy.
	outputTokenQuantile = 0.1
	// minPromptToken and maxPromptToken limit the estimate.
	minPromptToken = time.Microsecond
	maxPromptToken = 200 * time.Microsecond
)

// Model estimates the speed of the engines of one service. It is not safe for
// concurrent use.
type Model interface {
	// ObservePrefill records the time to the first byte of a response before which the
	// engine prefilled a number of tokens, as far as is known.
	ObservePrefill(tokens int, took time.Duration)
	// ObserveRemote records what another host has observed of prefills.
	ObserveRemote(prefills []Prefill)
	// TakePrefills returns the latest prefills that were observed here and not returned yet.
	TakePrefills() []Prefill
	// ObserveOutput records the time in which an engine generated a number of tokens of
	// one response.
	ObserveOutput(tokens int, took time.Duration)
	// Speed returns the estimate, or the assumed speed where too little was observed.
	Speed() Speed
	// Assume sets the speed that is used until enough was observed.
	Assume(speed Speed)
	// Learned reports whether enough prompts were observed for an estimate.
	Learned() bool
}

// Prefill is one observed time to the first byte.
type Prefill struct {
	// Tokens is the number of prompt tokens that the engine prefilled in that time.
	Tokens int
	Took   time.Duration
}

type model struct {
	assumed Speed
	// told is set if the assumed speed was learned by another host.
	told     bool
	prefills ring[Prefill]
	// unsent are the latest prefills observed here that were not taken, up to maxUnsent.
	unsent []Prefill
	// tokenTimes and runs hold the time for each output token and for whole responses.
	tokenTimes ring[time.Duration]
	runs       ring[time.Duration]
	estimate   Speed
	learned    bool
}

// New returns a model that assumes the default speed.
func New() Model { return &model{assumed: DefaultSpeed} }

func (m *model) Assume(speed Speed) {
	m.assumed = speed
	m.told = true
}

func (m *model) Learned() bool { return m.learned }

func (m *model) Speed() Speed {
	speed := m.assumed
	if m.learned {
		speed.FirstByte = m.estimate.FirstByte
		speed.PromptToken = m.estimate.PromptToken
	}
	if m.estimate.OutputToken > 0 {
		speed.OutputToken = m.estimate.OutputToken
		speed.Run = m.estimate.Run
	}
	return speed
}

func (m *model) ObservePrefill(tokens int, took time.Duration) {
	observed := Prefill{Tokens: tokens, Took: took}
	if len(m.unsent) == maxUnsent {
		m.unsent = m.unsent[1:]
	}
	m.unsent = append(m.unsent, observed)
	m.observe(observed)
}

func (m *model) TakePrefills() []Prefill {
	taken := m.unsent
	m.unsent = nil
	return taken
}

func (m *model) ObserveRemote(prefills []Prefill) {
	for _, observed := range prefills {
		if observed.Tokens > 0 && observed.Took > 0 {
			m.observe(observed)
		}
	}
}

func (m *model) observe(observed Prefill) {
	m.prefills.add(observed)
	if m.prefills.total >= minSamples && m.prefills.total%estimateInterval == 0 {
		m.estimatePrefill()
	}
}

func (m *model) ObserveOutput(tokens int, took time.Duration) {
	m.runs.add(took)
	if tokens > 0 {
		m.tokenTimes.add(took / time.Duration(tokens))
	}
	if m.tokenTimes.total < minSamples || m.tokenTimes.total%estimateInterval != 0 {
		return
	}
	tokenTime := quantile(slices.Clone(m.tokenTimes.kept), outputTokenQuantile)
	if m.estimate.OutputToken > 0 || m.told {
		tokenTime = step(m.Speed().OutputToken, tokenTime)
	}
	m.estimate.OutputToken = tokenTime
	m.estimate.Run = mean(m.runs.kept)
}

// estimatePrefill fits a line through the observed times: its slope is the median of
// the slopes between any two prompts, so that up to a quarter of them may be wrong by
// any amount.
func (m *model) estimatePrefill() {
	var slopes []time.Duration
	for i, a := range m.prefills.kept {
		for _, b := range m.prefills.kept[:i] {
			if distance := a.Tokens - b.Tokens; distance >= minTokenDistance || distance <= -minTokenDistance {
				slopes = append(slopes, (a.Took-b.Took)/time.Duration(distance))
			}
		}
	}
	if len(slopes) < minSlopes {
		return
	}
	perToken := min(max(quantile(slopes, 0.5), minPromptToken), maxPromptToken)
	rest := make([]time.Duration, 0, len(m.prefills.kept))
	tokens := make([]time.Duration, 0, len(m.prefills.kept))
	for _, p := range m.prefills.kept {
		rest = append(rest, p.Took-time.Duration(p.Tokens)*perToken)
		tokens = append(tokens, time.Duration(p.Tokens))
	}
	relativeError := spread(rest) / (spread(tokens) * float64(perToken) * math.Sqrt(float64(len(rest))))
	if !(relativeError <= maxRelativeError) {
		return
	}
	firstByte := max(0, quantile(rest, firstByteQuantile))
	if m.learned || m.told {
		current := m.Speed()
		perToken = step(current.PromptToken, perToken)
		firstByte = current.FirstByte + (firstByte-current.FirstByte)/firstByteSmoothing
	}
	m.estimate.PromptToken = perToken
	m.estimate.FirstByte = firstByte
	m.learned = true
}

// firstByteSmoothing is the number of estimates over which the time of the first byte is
// averaged.
const firstByteSmoothing = 4

// step returns the next value on the way from the current to an estimated one.
func step(current, estimated time.Duration) time.Duration {
	lowest, highest := float64(current)/maxStep, float64(current)*maxStep
	return time.Duration(min(max(float64(estimated), lowest), highest))
}

// ring keeps the latest values, up to sampleCount.
type ring[T any] struct {
	kept []T
	// total is the number of values ever added.
	total int
}

func (r *ring[T]) add(value T) {
	if len(r.kept) < sampleCount {
		r.kept = append(r.kept, value)
	} else {
		r.kept[r.total%sampleCount] = value
	}
	r.total++
}

// quantile returns the value below which a share of the values lies; it sorts them.
func quantile(values []time.Duration, share float64) time.Duration {
	slices.Sort(values)
	return values[int(share*float64(len(values)-1))]
}

// spread returns the distance between the quartiles; it sorts the values.
func spread(values []time.Duration) float64 {
	return float64(quantile(values, 0.75) - quantile(values, 0.25))
}

func mean(values []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, value := range values {
		sum += value
	}
	return sum / time.Duration(len(values))
}
