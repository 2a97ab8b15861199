// Package persimrouter chooses the upstream of each attempt from the entry
// host's own observations and from delayed load reports of the upstreams.
package persimrouter

import (
	"time"
)

// An Upstream is a back end that attempts may be sent to.
type Upstream struct {
	Address     string
	Incarnation string
	Centre      string
}

// A Report is a load report of an upstream.
type Report struct {
	// Running is the number of attempts in progress, from all entry hosts.
	Running int
	// Waiting is the number of attempts queued inside the upstream.
	Waiting int
	// Slots is the number of attempts that the upstream runs concurrently.
	Slots int
	// Age is the age of the report when it was received.
	Age time.Duration
}

// DefaultSlots is the assumed number of slots of an upstream that has not reported any.
const DefaultSlots = 16

const (
	// latencySmoothing is the weight of a new sample in the moving averages.
	latencySmoothing = 0.2
	// maxLatencyAge is the age of the last sample at which an average is discarded.
	maxLatencyAge = 30 * time.Second
	// reportAgeScale sets how fast a load report loses weight: at ten times this
	// age it counts half.
	reportAgeScale = 2 * time.Second
	// maxProbeInterval limits the exponential backoff between probes of an ejected
	// upstream.
	maxProbeInterval = 30 * time.Second
)

// upstreamState is the observed state of one upstream.
type upstreamState struct {
	Upstream
	report           Report
	reportedAt       time.Time
	inFlightAtReport int
	// inFlight and inFlightLong count the attempts of this entry host.
	inFlight          int
	inFlightLong      int
	interTokenLatency ewma
	timeToFirstToken  ewma
	// lastProgress is the time of the start or last token of each attempt in flight.
	lastProgress map[string]time.Time
	ejectedAt    time.Time
	ejected      bool
	// probeAttempt is the attempt that probes the ejected upstream, if any.
	probeAttempt  string
	failedProbes  int
	nextProbeAt   time.Time
	probeInterval time.Duration
	// failures counts consecutive failures.
	failures   int
	lastFailed time.Time
}

func newUpstreamState(upstream Upstream) *upstreamState {
	return &upstreamState{Upstream: upstream, lastProgress: map[string]time.Time{}}
}

func (s *upstreamState) slots() int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return DefaultSlots
}

// load estimates the number of attempts in the upstream: those of this host, and
// those of other hosts by the last report, discounted by its age.
func (s *upstreamState) load(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return float64(s.inFlight)
	}
	others := s.report.Running + s.report.Waiting - s.inFlightAtReport
	age := now.Sub(s.reportedAt) + s.report.Age
	weight := 1 / (1 + age.Seconds()/(10*reportAgeScale.Seconds()))
	return float64(s.inFlight) + float64(max(0, others))*weight
}

// silence returns the longest time that any attempt in flight has gone without
// progress.
func (s *upstreamState) silence(now time.Time) time.Duration {
	var longest time.Duration
	for _, since := range s.lastProgress {
		longest = max(longest, now.Sub(since))
	}
	return longest
}

// ewma is an exponentially weighted moving average of durations, in seconds.
type ewma struct {
	value     float64
	samples   int
	updatedAt time.Time
}

func (a *ewma) observe(now time.Time, d time.Duration) {
	a.samples++
	a.updatedAt = now
	if a.samples == 1 {
		a.value = d.Seconds()
		return
	}
	a.value += latencySmoothing * (d.Seconds() - a.value)
}

// valueAt returns the average, or zero when there is no sample newer than
// maxLatencyAge.
func (a *ewma) valueAt(now time.Time) float64 {
	if a.samples == 0 || now.Sub(a.updatedAt) > maxLatencyAge {
		return 0
	}
	return a.value
}

func (s *upstreamState) eject(now time.Time, probeDelay time.Duration) {
	s.ejected = true
	s.ejectedAt = now
	s.probeAttempt = ""
	s.failedProbes = 0
	s.probeInterval = probeDelay
	s.nextProbeAt = now.Add(probeDelay)
}

// failProbe schedules the next probe after a failed one, with exponential backoff.
func (s *upstreamState) failProbe(now time.Time) {
	s.probeAttempt = ""
	s.failedProbes++
	s.probeInterval = min(2*s.probeInterval, maxProbeInterval)
	s.nextProbeAt = now.Add(s.probeInterval)
}

// readmit ends the ejection and discards the observations made before it.
func (s *upstreamState) readmit() {
	s.ejected = false
	s.probeAttempt = ""
	s.failures = 0
	s.interTokenLatency = ewma{}
	s.timeToFirstToken = ewma{}
}
