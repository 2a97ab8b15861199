package persimbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
)

// Range and significant decimal digits of the histograms.
const (
	histogramMinMicros = 1
	histogramMaxMicros = int64(time.Hour / time.Microsecond)
	histogramDigits    = 3
)

// stats collects the counters and histograms of a run.
type stats struct {
	shortTTFT        *hdrhistogram.Histogram
	longTTFT         *hdrhistogram.Histogram
	latency          *hdrhistogram.Histogram
	offered          int
	completed        int
	completedLate    int
	refusals         int
	generatedTokens  int
	usefulTokens     int
	prefilledTokens  int
	recomputedTokens int
	hedgedTokens     int
	byOrganisation   map[string]*organisationStats
	completions      []completion
}

// organisationStats collects the counters of one organisation.
type organisationStats struct {
	offered   int
	completed int
	tokens    int
	ttft      *hdrhistogram.Histogram
}

// completion records a request that was completed in time.
type completion struct {
	arrivedAt   time.Time
	completedAt time.Time
	tokens      int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits)
}

func newStats() *stats {
	return &stats{
		shortTTFT:      newHistogram(),
		longTTFT:       newHistogram(),
		latency:        newHistogram(),
		byOrganisation: map[string]*organisationStats{},
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(histogramMinMicros, d.Microseconds()))
}

func (s *stats) organisation(name string) *organisationStats {
	o, ok := s.byOrganisation[name]
	if !ok {
		o = &organisationStats{ttft: newHistogram()}
		s.byOrganisation[name] = o
	}
	return o
}

func (s *stats) recordArrival(r *request) {
	s.offered++
	s.organisation(r.organisation).offered++
}

func (s *stats) recordRefusal(*request, persimpolicy.Refusal) { s.refusals++ }

// recordPrefill counts the prompt tokens that an attempt computes. An attempt that resumes
// an answer also computes again the tokens released before; these and its prompt count as
// recomputed. The prompt of a hedge counts as hedged instead.
func (s *stats) recordPrefill(a *attempt, tokens int) {
	s.prefilledTokens += tokens
	if a.hedge {
		s.hedgedTokens += tokens
		return
	}
	if a.resumeOffset > 0 {
		s.recomputedTokens += tokens + a.resumeOffset
	}
}

// recordCompletion records a completed request; one past its deadline counts as late only.
func (s *stats) recordCompletion(r *request) {
	if r.endedAt.After(r.deadline) {
		s.completedLate++
		return
	}
	s.completed++
	s.usefulTokens += r.outputTokens
	o := s.organisation(r.organisation)
	o.completed++
	o.tokens += r.outputTokens
	ttft := r.firstTokenAt.Sub(r.arrivedAt)
	recordDuration(o.ttft, ttft)
	recordDuration(s.latency, r.endedAt.Sub(r.arrivedAt))
	s.completions = append(s.completions, completion{arrivedAt: r.arrivedAt, completedAt: r.endedAt, tokens: r.outputTokens})
	if r.class == persimprofile.ClassLong {
		recordDuration(s.longTTFT, ttft)
		return
	}
	recordDuration(s.shortTTFT, ttft)
}

// Result holds the figures of a run.
type Result struct {
	Scenario      Scenario
	ShortTTFT     Quantiles
	LongTTFT      Quantiles
	Latency       Quantiles
	Offered       int
	Completed     int
	CompletedLate int
	Refusals      int
	// RecomputedShare is the share of prefilled and generated tokens that were recomputed
	// after a failure.
	RecomputedShare float64
	// HedgedShare is the share of prefilled and generated tokens that are prompts of hedges.
	HedgedShare float64
	// PrefillTokensPerRequest is the number of prompt tokens computed for each request that
	// was completed in time.
	PrefillTokensPerRequest float64
	GeneratedTokens         int
	// ByOrganisation holds the figures of each organisation.
	ByOrganisation map[string]OrganisationResult
	completions    []completion
}

// OrganisationResult holds the figures of one organisation.
type OrganisationResult struct {
	Offered   int
	Completed int
	Tokens    int
	TTFT      Quantiles
}

// Quantiles summarises a distribution of durations.
type Quantiles struct {
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
	Max time.Duration
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}

func (s *stats) result(scenario Scenario) Result {
	result := Result{
		Scenario:        scenario,
		ShortTTFT:       quantiles(s.shortTTFT),
		LongTTFT:        quantiles(s.longTTFT),
		Latency:         quantiles(s.latency),
		Offered:         s.offered,
		Completed:       s.completed,
		CompletedLate:   s.completedLate,
		Refusals:        s.refusals,
		RecomputedShare: share(s.recomputedTokens, s.generatedTokens+s.prefilledTokens),
		HedgedShare:     share(s.hedgedTokens, s.generatedTokens+s.prefilledTokens),
		GeneratedTokens: s.generatedTokens,

		PrefillTokensPerRequest: share(s.prefilledTokens, s.completed),
		ByOrganisation:          map[string]OrganisationResult{},
		completions:             s.completions,
	}
	for name, o := range s.byOrganisation {
		result.ByOrganisation[name] = OrganisationResult{Offered: o.offered, Completed: o.completed, Tokens: o.tokens, TTFT: quantiles(o.ttft)}
	}
	return result
}

// share returns part / whole, or 0 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Goodput returns the tokens of requests that were completed within a window and in time,
// per second of the window.
func (r Result) Goodput(from, to time.Duration) float64 {
	return r.goodput(from, to, func(c completion) time.Time { return c.completedAt })
}

// GoodputOfArrivals returns the tokens of requests that arrived within a window and were
// completed in time, per second of the window.
func (r Result) GoodputOfArrivals(from, to time.Duration) float64 {
	return r.goodput(from, to, func(c completion) time.Time { return c.arrivedAt })
}

func (r Result) goodput(from, to time.Duration, timestamp func(completion) time.Time) float64 {
	start := time.Unix(0, 0).Add(from)
	end := time.Unix(0, 0).Add(to)
	tokens := 0
	for _, c := range r.completions {
		if timestamp(c).After(start) && !timestamp(c).After(end) {
			tokens += c.tokens
		}
	}
	return float64(tokens) / (to - from).Seconds()
}

// TokenCapacity returns the tokens per second that full workers generate.
func (s Scenario) TokenCapacity() float64 {
	return s.requestCapacity() * s.Mix.meanOutputTokens()
}

// Jain returns Jain's fairness index of the shares.
func Jain(shares []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, share := range shares {
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(shares)) * squares)
}
