// Package persimmetric collects the metrics of an entry host and exports them to
// Prometheus.
package persimmetric

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often recorded values are passed to the Prometheus reporter.
const reportInterval = time.Second

// Tag names of the metrics.
const (
	tagOrganisation = "organisation"
	tagClass        = "class"
	tagOutcome      = "outcome"
	tagCause        = "cause"
	tagCall         = "call"
	tagService      = "service"
	tagVersion      = "version"
)

// Metrics records the measurements of one host.
type Metrics interface {
	// TimeToFirstToken records the time from the arrival of a request to its first token.
	TimeToFirstToken(organisation, class string, latency time.Duration)
	// InterTokenLatency records the time between two consecutive tokens of a stream.
	InterTokenLatency(organisation, class string, latency time.Duration)
	// Request records the duration and the outcome of a finished request.
	Request(organisation, class, outcome string, duration time.Duration)
	// Tokens adds to the number of tokens generated for an organisation.
	Tokens(organisation string, tokens int)
	// RecomputedTokens adds to the number of tokens that were computed twice, by cause.
	RecomputedTokens(cause string, tokens int)
	// UpstreamsAge records the age of the list of upstreams when a request was sent.
	UpstreamsAge(age time.Duration)
	// PlatformCall counts a call to the platform, by method and kind.
	PlatformCall(call string)
	// Rollout counts an event of a rollout by service and version.
	Rollout(event, service, version string)
	// RolloutShare sets the share of a service's requests that were sent to the target of its
	// rollout.
	RolloutShare(service string, share float64)
	// Count increments the counter with the given name.
	Count(name string)
	// Gauge sets the gauge with the given name.
	Gauge(name string, value float64)
	// Handler returns the handler that serves the metrics in the Prometheus text
	// format.
	Handler() http.Handler
}

type metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
}

// New returns the metrics of a host and their clean-up function.
func New(host string) (Metrics, func()) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "persimmonport",
		Tags:                   map[string]string{"host": host},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{scope: scope, reporter: reporter}, func() { _ = closer.Close() }
}

func latencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)
}

func (m *metrics) tagged(organisation, class string) tally.Scope {
	return m.scope.Tagged(map[string]string{tagOrganisation: organisation, tagClass: class})
}

func (m *metrics) TimeToFirstToken(organisation, class string, latency time.Duration) {
	m.tagged(organisation, class).Histogram("first_token", latencyBuckets()).RecordDuration(latency)
}

func (m *metrics) InterTokenLatency(organisation, class string, latency time.Duration) {
	m.tagged(organisation, class).Histogram("token_gap", latencyBuckets()).RecordDuration(latency)
}

func (m *metrics) Request(organisation, class, outcome string, duration time.Duration) {
	scope := m.tagged(organisation, class)
	scope.Histogram("request", latencyBuckets()).RecordDuration(duration)
	scope.Tagged(map[string]string{tagOutcome: outcome}).Counter("requests").Inc(1)
}

func (m *metrics) Tokens(organisation string, tokens int) {
	m.scope.Tagged(map[string]string{tagOrganisation: organisation}).Counter("tokens").Inc(int64(tokens))
}

func (m *metrics) RecomputedTokens(cause string, tokens int) {
	m.scope.Tagged(map[string]string{tagCause: cause}).Counter("recomputed_tokens").Inc(int64(tokens))
}

func (m *metrics) UpstreamsAge(age time.Duration) {
	m.scope.Histogram("upstreams_age", latencyBuckets()).RecordDuration(age)
}

func (m *metrics) PlatformCall(call string) {
	m.scope.Tagged(map[string]string{tagCall: call}).Counter("platform_calls").Inc(1)
}

func (m *metrics) Rollout(event, service, version string) {
	m.scope.Tagged(map[string]string{tagService: service, tagVersion: version}).Counter("rollout_" + event).Inc(1)
}

func (m *metrics) RolloutShare(service string, share float64) {
	m.scope.Tagged(map[string]string{tagService: service}).Gauge("rollout_share").Update(share)
}

func (m *metrics) Count(name string) { m.scope.Counter(name).Inc(1) }

func (m *metrics) Gauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

func (m *metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }
