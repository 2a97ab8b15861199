// Package persimrouter chooses the upstream of each attempt from own
// observations and late load reports.
package persimrouter

import (
	"time"
)

// An Upstream is a back end that may get work.
type Upstream struct {
	Address     string
	Incarnation string
	Centre      string
}

// A Report is what an upstream said about its load.
type Report struct {
	// Running is the number of attempts in progress, from all entry hosts.
	Running int
	// Waiting is the number of attempts that wait inside the upstream.
	Waiting int
	// Slots is the number of attempts that the upstream runs together.
	Slots int
	// Age is the time since the report was made.
	Age time.Duration
}

// DefaultSlots is the number of slots of an upstream that has not reported.
const DefaultSlots = 16

const (
	latencyWeight = 0.2
	latencyDecay  = 30 * time.Second
	reportHalf    = 2 * time.Second
	// longestProbeWait bounds the time between two probes.
	longestProbeWait = 30 * time.Second
)

// state is what is known of one upstream.
type state struct {
	Upstream
	report     Report
	reportAt   time.Time
	ownAtTime  int
	own        int
	ownLong    int
	gap        average
	first      average
	oldest     map[string]time.Time
	ejectedAt  time.Time
	ejected    bool
	probing    string
	probes     int
	probeAt    time.Time
	probeWait  time.Duration
	failures   int
	lastFailed time.Time
}

func newState(upstream Upstream) *state {
	return &state{Upstream: upstream, oldest: map[string]time.Time{}}
}

func (s *state) slots() int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return DefaultSlots
}

// load estimates the attempts in the upstream: the host's own, and those of
// other hosts by the last report, discounted by its age.
func (s *state) load(now time.Time) float64 {
	if s.reportAt.IsZero() {
		return float64(s.own)
	}
	others := s.report.Running + s.report.Waiting - s.ownAtTime
	age := now.Sub(s.reportAt) + s.report.Age
	trust := 1 / (1 + age.Seconds()/(10*reportHalf.Seconds()))
	return float64(s.own) + float64(max(0, others))*trust
}

// silence returns the time since the attempt that has waited longest made progress.
func (s *state) silence(now time.Time) time.Duration {
	var longest time.Duration
	for _, since := range s.oldest {
		longest = max(longest, now.Sub(since))
	}
	return longest
}

// average is an exponentially weighted mean of time spans.
type average struct {
	value   float64
	samples int
	at      time.Time
}

func (a *average) add(now time.Time, span time.Duration) {
	a.samples++
	a.at = now
	if a.samples == 1 {
		a.value = span.Seconds()
		return
	}
	a.value += latencyWeight * (span.Seconds() - a.value)
}

// fresh returns the mean, or zero when the last sample is too old.
func (a *average) fresh(now time.Time) float64 {
	if a.samples == 0 || now.Sub(a.at) > latencyDecay {
		return 0
	}
	return a.value
}

func (s *state) eject(now time.Time, wait time.Duration) {
	s.ejected = true
	s.ejectedAt = now
	s.probing = ""
	s.probes = 0
	s.probeWait = wait
	s.probeAt = now.Add(wait)
}

// endProbe plans the next probe after one that has lost.
func (s *state) endProbe(now time.Time) {
	s.probing = ""
	s.probes++
	s.probeWait = min(2*s.probeWait, longestProbeWait)
	s.probeAt = now.Add(s.probeWait)
}

// readmit forgets what was observed before the ejection.
func (s *state) readmit() {
	s.ejected = false
	s.probing = ""
	s.failures = 0
	s.gap = average{}
	s.first = average{}
}
