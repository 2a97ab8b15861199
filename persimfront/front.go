// Package persimfront is the reverse proxy for callers. It serves plain HTTP/1.1,
// forwards each request to one upstream at a time and returns the response byte
// for byte.
package persimfront

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimengine"
	"persimmonport.example/persimmetric"
	"persimmonport.example/persimplace"
	"persimmonport.example/persimpressure"
	"persimmonport.example/persimquarantine"
	"persimmonport.example/persimrollout"
	"persimmonport.example/persimsettings"
)

// Front is the HTTP handler for callers and the state that its routing uses.
type Front interface {
	http.Handler
	// SetCatalogue applies a configuration if its version is greater than the current one.
	SetCatalogue(catalogue persimcatalog.Catalogue)
	// ConfirmCatalogue records that the configuration was the newest one at an instant;
	// earlier instants than the last recorded one are ignored.
	ConfirmCatalogue(at persimclock.Instant)
	// CatalogueAge returns the time since the configuration was last confirmed, or false
	// if there is no configuration.
	CatalogueAge() (time.Duration, bool)
	// Catalogue returns the current configuration, or false if there is none.
	Catalogue() (persimcatalog.Catalogue, bool)
	// SetUpstreams replaces the upstreams, by service.
	SetUpstreams(upstreams map[string][]persimcatalog.Upstream)
	// ConfirmUpstreams records that the list of upstreams was the newest one at an instant.
	ConfirmUpstreams(at persimclock.Instant)
	// BeginUpstreamsRead and EndUpstreamsRead record a read of the list from the store: an
	// old list is used only while the store can't be read.
	BeginUpstreamsRead()
	EndUpstreamsRead(err error)
	// SetHosts replaces the names of the other hosts, each of which is observed.
	SetHosts(hosts []string)
	// SetHostCount sets the number of the other hosts, of which only the sum is observed.
	SetHostCount(hosts int)
	// Observe records the state that another host sent.
	Observe(host, incarnation string, state SharedState)
	// ObserveOthers records the summed state of all other hosts at a point in time and the
	// number of hosts that it covers.
	ObserveOthers(at time.Time, hosts int, state SharedState)
	// RecordReports records load reports that another host has received.
	RecordReports(reports map[uint64]persimplace.TimedReport)
	// MergeCrashes adds what another host knows of prompt parts that crash upstreams.
	MergeCrashes(evidence persimquarantine.Evidence)
	// SetHostNames sets the names of this host and of all others, among which the limits
	// of upstreams are divided.
	SetHostNames(self string, others []string)
	// MergePressure adds what another host, named as the source, knows of the limits of
	// upstreams.
	MergePressure(source string, news []persimpressure.News)
	// MergeRollouts adds what another host or the lease holder tells of rollouts. It returns
	// what changed.
	MergeRollouts(news []persimrollout.News) []persimrollout.Change
	// Carrying returns those upstreams of a service that carry its traffic: during a rollout
	// those of one version.
	Carrying(upstreams []persimcatalog.Upstream) []persimcatalog.Upstream
	// RolloutNews returns what this host knows of rollouts, for the other hosts.
	RolloutNews() []persimrollout.News
	// RolloutReports returns what this host has counted of rollouts that are not final, for
	// the lease holder.
	RolloutReports() []persimrollout.Report
	// SharedState returns this host's state for the other hosts.
	SharedState() SharedState
	// Demand returns the rate of arriving work, by service.
	Demand() map[string]Demand
	// Limits returns the limits that upstreams name, in requests a second, of those given.
	Limits(upstreams []persimcatalog.Upstream) []float64
	// AssumeSpeeds takes over the speeds of engines that another host has learned, by
	// service, where this host has not learned them.
	AssumeSpeeds(demand map[string]Demand)
	// TakePrefills returns the latest prefills of engines that this host has observed and that
	// were not returned yet, by service.
	TakePrefills() map[string][]persimengine.Prefill
	// RecordPrefills records the prefills that another host has observed, by service.
	RecordPrefills(prefills map[string][]persimengine.Prefill)
	// Serve lets a server serve callers on a listener, within the limits of the current
	// configuration, until the listener is closed.
	Serve(server *http.Server, listener net.Listener) error
	// ServeOperators lets a server serve readiness checks or metrics on a listener. Its heads
	// are reserved from the same memory, and its requests have no body.
	ServeOperators(server *http.Server, listener net.Listener) error
	// DisableKeepAlives adds "Connection: close" to the responses of all later requests.
	DisableKeepAlives()
	// Drain accepts no more connections of callers and closes each one once it has no request
	// in progress. It returns when none is left, or the context's error if that ends first.
	// Requests that come from then on are refused if they may take longer than the context's
	// deadline.
	Drain(ctx context.Context) error
	// AbortRequests ends all requests in progress: those whose response has not begun are
	// answered with an error, the others are broken off.
	AbortRequests()
	// InFlight returns the number of requests in progress.
	InFlight() int
}

// SharedState is the state that hosts exchange: the loads that a host places on the
// upstreams and the load reports it has, by hash of the upstream's id, the cost admitted
// since its start, by organisation, and what it knows of crashes.
type SharedState struct {
	Loads   map[uint64]persimplace.PeerLoad
	Reports map[uint64]persimplace.TimedReport
	// Evidence is what the host has observed of the capacity of upstreams.
	Evidence persimengine.Evidence
	Admitted map[string]float64
	// Crashes is the evidence of prompt parts that crash upstreams.
	Crashes persimquarantine.Evidence
	// Pressure is what is known of the limits that upstreams name.
	Pressure []persimpressure.News
	// Ranked is the work of each organisation and priority that arrives, by service. The
	// host's own is told with its demand.
	Ranked map[string]persimadmit.Loads
}

// Counter counts the requests that started at an upstream, for the usage of each
// organisation.
type Counter interface {
	// Count records a request that started at a point in time.
	Count(at time.Time, organisation string)
}

type config struct {
	bounds     persimsettings.Bounds
	centre     string
	pool       persimconn.Pool
	counter    Counter
	metrics    persimmetric.Metrics
	bodyMemory int64
	// spareMemory, unreadMemory and maxConnections bound what callers make the host hold.
	spareMemory    int64
	unreadMemory   int64
	maxConnections int
	// maxOperatorConnections bounds those to each server for operators.
	maxOperatorConnections int
	onLeaving              func(persimcatalog.Incarnation)
	rollouts               persimrollout.Traffic
}

// Option configures a Front.
type Option func(*config)

// WithBounds sets the time limits and ratios that the platform requires of the host.
func WithBounds(bounds persimsettings.Bounds) Option { return func(c *config) { c.bounds = bounds } }

// WithCentre sets the data centre of the host.
func WithCentre(centre string) Option { return func(c *config) { c.centre = centre } }

// WithPool sets the connection pool for upstreams.
func WithPool(pool persimconn.Pool) Option { return func(c *config) { c.pool = pool } }

// WithCounter sets the counter of started requests.
func WithCounter(counter Counter) Option { return func(c *config) { c.counter = counter } }

// WithMetrics sets the metrics to record to.
func WithMetrics(metrics persimmetric.Metrics) Option { return func(c *config) { c.metrics = metrics } }

// WithRollouts enables rollouts of services to new versions; without it requests use any
// version.
func WithRollouts(rollouts persimrollout.Traffic) Option {
	return func(c *config) { c.rollouts = rollouts }
}

// WithOnLeaving sets a function that is called when an upstream says that it takes no more
// requests.
func WithOnLeaving(onLeaving func(persimcatalog.Incarnation)) Option {
	return func(c *config) { c.onLeaving = onLeaving }
}

// WithBodyMemory sets the number of bytes, held for callers and upstreams, above which
// requests with a body are refused.
func WithBodyMemory(bytes int64) Option { return func(c *config) { c.bodyMemory = bytes } }

// WithSpareMemory sets the number of bytes above those of WithBodyMemory that are held for
// request heads and small bodies only.
func WithSpareMemory(bytes int64) Option { return func(c *config) { c.spareMemory = bytes } }

// WithUnreadMemory sets the number of bytes that may have arrived from callers without being
// read, which the receive buffers of connections share.
func WithUnreadMemory(bytes int64) Option { return func(c *config) { c.unreadMemory = bytes } }

// WithMaxConnections sets the number of connections of callers above which one is closed.
func WithMaxConnections(connections int) Option {
	return func(c *config) { c.maxConnections = connections }
}

// WithMaxOperatorConnections sets the number of connections to a server for readiness checks or
// metrics above which one is closed.
func WithMaxOperatorConnections(connections int) Option {
	return func(c *config) { c.maxOperatorConnections = connections }
}

// DefaultSpareMemory is the default for WithSpareMemory, in bytes.
const DefaultSpareMemory = 16 << 20

// DefaultBodyMemory is the default for WithBodyMemory, in bytes.
const DefaultBodyMemory = 64 << 20

type front struct {
	config
	catalogue atomic.Pointer[persimcatalog.Catalogue]
	// confirmedAt is the persimclock.Instant at which the configuration was last confirmed.
	confirmedAt        atomic.Int64
	rosterProof        rosterProof
	keepAlivesDisabled atomic.Bool
	inFlight           atomic.Int64
	memory             *memory

	callerConns *callerConns
	crashWatch  *crashWatch

	// drainEnd is when the drain ends, in nanoseconds since the Unix epoch, or zero if no drain
	// with an end has begun.
	drainEnd atomic.Int64
	// aborted ends when AbortRequests is called.
	aborted context.Context
	abort   context.CancelFunc

	mu         sync.Mutex
	dispatcher *dispatcher
}

// New returns a Front without a configuration; it refuses all requests until
// SetCatalogue is called.
func New(opts ...Option) Front {
	c := config{bodyMemory: DefaultBodyMemory, spareMemory: DefaultSpareMemory}
	for _, opt := range opts {
		opt(&c)
	}
	f := &front{config: c, dispatcher: newDispatcher(c.bounds), memory: &memory{limit: c.bodyMemory, spare: c.spareMemory}}
	f.dispatcher.rollouts, f.dispatcher.metrics = c.rollouts, c.metrics
	f.callerConns = newCallerConns(f.limits)
	f.callerConns.memory, f.callerConns.metrics = f.memory, c.metrics
	f.callerConns.maxOpen, f.callerConns.unreadBytes = c.maxConnections, c.unreadMemory
	f.memory.evict = f.callerConns.evictSlowest
	f.aborted, f.abort = context.WithCancel(context.Background())
	f.crashWatch = newCrashWatch(c.pool, f.recordCrash)
	return f
}

func (f *front) SetCatalogue(catalogue persimcatalog.Catalogue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.catalogue.Load(); current != nil && current.Version() >= catalogue.Version() {
		return
	}
	f.catalogue.Store(&catalogue)
	f.dispatcher.setCatalogue(time.Now(), catalogue)
}

func (f *front) ConfirmCatalogue(at persimclock.Instant) {
	for {
		current := f.confirmedAt.Load()
		if int64(at) <= current || f.confirmedAt.CompareAndSwap(current, int64(at)) {
			return
		}
	}
}

func (f *front) CatalogueAge() (time.Duration, bool) {
	if f.catalogue.Load() == nil {
		return 0, false
	}
	return persimclock.Now().Sub(persimclock.Instant(f.confirmedAt.Load())), true
}

func (f *front) Catalogue() (persimcatalog.Catalogue, bool) {
	current := f.catalogue.Load()
	if current == nil {
		return persimcatalog.Catalogue{}, false
	}
	return *current, true
}

func (f *front) SetUpstreams(upstreams map[string][]persimcatalog.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.setUpstreams(time.Now(), upstreams)
}

func (f *front) ConfirmUpstreams(at persimclock.Instant) { f.rosterProof.confirm(at) }

func (f *front) BeginUpstreamsRead() { f.rosterProof.beginRead(persimclock.Now()) }

func (f *front) EndUpstreamsRead(err error) { f.rosterProof.endRead(err) }

// upstreamsTooOld reports whether no request may be sent by the list of upstreams.
func (f *front) upstreamsTooOld() bool {
	return f.rosterProof.tooOld(persimclock.Now(), f.bounds.UpstreamDrain)
}

func (f *front) SetHosts(hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.setHosts(time.Now(), hosts)
}

func (f *front) Observe(host, incarnation string, state SharedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.observe(time.Now(), host, incarnation, state)
}

func (f *front) SetHostCount(hosts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.setHostCount(time.Now(), hosts)
}

func (f *front) ObserveOthers(at time.Time, hosts int, state SharedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.observeOthers(time.Now(), at, hosts, state)
}

func (f *front) RecordReports(reports map[uint64]persimplace.TimedReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.recordReports(reports)
}

func (f *front) MergeCrashes(evidence persimquarantine.Evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.quarantine.Merge(time.Now(), evidence)
}

func (f *front) SharedState() SharedState {
	f.expireSignals()
	f.reportLimited()
	f.reportAdmission()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.sharedState(time.Now())
}

func (f *front) Demand() map[string]Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.demandRates(time.Now())
}

func (f *front) AssumeSpeeds(demand map[string]Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.assumeSpeeds(demand)
}

func (f *front) TakePrefills() map[string][]persimengine.Prefill {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dispatcher.takePrefills()
}

func (f *front) RecordPrefills(prefills map[string][]persimengine.Prefill) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.recordPrefills(prefills)
}

func (f *front) DisableKeepAlives() { f.keepAlivesDisabled.Store(true) }

func (f *front) AbortRequests() { f.abort() }

func (f *front) InFlight() int { return int(f.inFlight.Load()) }
