package persimbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
)

const (
	histogramLow    = 1
	histogramHigh   = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// stats gathers what a run shows.
type stats struct {
	shortFirst *hdrhistogram.Histogram
	longFirst  *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	offered    int
	done       int
	late       int
	refusals   int
	generated  int
	useful     int
	prefilled  int
	repeated   int
	hedged     int
	byOrg      map[string]*organisationStats
	doneAt     []completion
}

type organisationStats struct {
	offered int
	done    int
	tokens  int
	first   *hdrhistogram.Histogram
}

// completion is a finished request and its tokens.
type completion struct {
	arrived time.Time
	at      time.Time
	tokens  int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramDigits)
}

func newStats() *stats {
	return &stats{
		shortFirst: newHistogram(),
		longFirst:  newHistogram(),
		total:      newHistogram(),
		byOrg:      map[string]*organisationStats{},
	}
}

func record(h *hdrhistogram.Histogram, span time.Duration) {
	_ = h.RecordValue(max(histogramLow, span.Microseconds()))
}

func (s *stats) org(name string) *organisationStats {
	known, ok := s.byOrg[name]
	if !ok {
		known = &organisationStats{first: newHistogram()}
		s.byOrg[name] = known
	}
	return known
}

func (s *stats) arrived(r *request) {
	s.offered++
	s.org(r.organisation).offered++
}

func (s *stats) refused(*request, persimpolicy.Refusal) { s.refusals++ }

// countPrefill counts the prompt tokens that an attempt computes, and those that
// an earlier attempt of the same request has computed before.
func (s *stats) countPrefill(st *stream, prompt int) {
	s.prefilled += prompt
	if st.hedge {
		s.hedged += prompt
		return
	}
	if st.from > 0 {
		s.repeated += prompt + st.from
	}
}

func (s *stats) finished(r *request) {
	if r.ended.After(r.deadline) {
		s.late++
		return
	}
	s.done++
	s.useful += r.length
	o := s.org(r.organisation)
	o.done++
	o.tokens += r.length
	wait := r.first.Sub(r.arrived)
	record(o.first, wait)
	record(s.total, r.ended.Sub(r.arrived))
	s.doneAt = append(s.doneAt, completion{arrived: r.arrived, at: r.ended, tokens: r.length})
	if r.class == persimprofile.ClassLong {
		record(s.longFirst, wait)
		return
	}
	record(s.shortFirst, wait)
}

// A Result is what a run has shown.
type Result struct {
	Scenario   Scenario
	ShortFirst Quantiles
	LongFirst  Quantiles
	Total      Quantiles
	Offered    int
	Done       int
	Late       int
	Refusals   int
	// Recomputed is the share of generated tokens that were computed again after a failure.
	Recomputed float64
	// Hedged is the share of generated tokens that hedges have added.
	Hedged float64
	// PrefilledPerRequest is the number of prompt tokens computed for a finished request.
	PrefilledPerRequest float64
	// Generated is the number of generated tokens.
	Generated int
	// ByOrganisation holds the finished tokens and the waiting of each organisation.
	ByOrganisation map[string]OrganisationResult
	completions    []completion
}

// An OrganisationResult is what a run has shown of one organisation.
type OrganisationResult struct {
	Offered int
	Done    int
	Tokens  int
	First   Quantiles
}

// Quantiles summarise a distribution of time spans.
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
		Scenario:   scenario,
		ShortFirst: quantiles(s.shortFirst),
		LongFirst:  quantiles(s.longFirst),
		Total:      quantiles(s.total),
		Offered:    s.offered,
		Done:       s.done,
		Late:       s.late,
		Refusals:   s.refusals,
		Recomputed: share(s.repeated, s.generated+s.prefilled),
		Hedged:     share(s.hedged, s.generated+s.prefilled),
		Generated:  s.generated,

		PrefilledPerRequest: share(s.prefilled, s.done),
		ByOrganisation:      map[string]OrganisationResult{},
		completions:         s.doneAt,
	}
	for name, o := range s.byOrg {
		result.ByOrganisation[name] = OrganisationResult{Offered: o.offered, Done: o.done, Tokens: o.tokens, First: quantiles(o.first)}
	}
	return result
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Goodput returns the tokens of requests that finished in time, per second of a window.
func (r Result) Goodput(from, to time.Duration) float64 {
	return r.goodput(from, to, func(c completion) time.Time { return c.at })
}

// GoodputOfArrivals returns the tokens of requests that arrived in a window and
// finished in time, per second of the window.
func (r Result) GoodputOfArrivals(from, to time.Duration) float64 {
	return r.goodput(from, to, func(c completion) time.Time { return c.arrived })
}

func (r Result) goodput(from, to time.Duration, when func(completion) time.Time) float64 {
	start := time.Unix(0, 0).Add(from)
	end := time.Unix(0, 0).Add(to)
	tokens := 0
	for _, c := range r.completions {
		if when(c).After(start) && !when(c).After(end) {
			tokens += c.tokens
		}
	}
	return float64(tokens) / (to - from).Seconds()
}

// TokenCapacity returns the tokens per second of the full workers.
func (s Scenario) TokenCapacity() float64 {
	return s.capacity() * s.Mix.tokensPerRequest()
}

// Jain returns Jain's fairness index of some shares.
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
