// Package persimmonport implements an entry host, a proxy between callers and
// upstreams. It admits, queues, routes and retries requests, streams their answers
// and records usage.
package persimmonport

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"persimmonport.example/persimflight"
	"persimmonport.example/persimledger"
	"persimmonport.example/persimmember"
	"persimmonport.example/persimmetric"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimupstream"
	"persimmonport.example/persimwire"
)

// Host is one entry host.
type Host interface {
	// Run runs the host's background loops until a drain has finished or the context ends.
	Run(ctx context.Context) error
	// Drain starts the graceful shutdown; further calls have no effect.
	Drain()
	// Callers returns the handler of the API for callers.
	Callers() http.Handler
	// Peers returns the handler of the API for other entry hosts.
	Peers() http.Handler
	// Operators returns the handler of the API for operators, metrics and health checks.
	Operators() http.Handler
}

// Links provides clients of other entry hosts.
type Links interface {
	// Client returns a client of the host at an address.
	Client(address string) persimwire.PeerServiceClient
	// Reset closes the connection to a host, so that the next call dials again.
	Reset(address string)
}

type config struct {
	version  string
	links    Links
	platform persimplatform.Platform
	engine   persimupstream.Engine
	service  persimupstream.Service
	metrics  persimmetric.Metrics
}

// Option configures a host.
type Option func(*config)

// WithVersion sets the build version that the host reports.
func WithVersion(version string) Option { return func(c *config) { c.version = version } }

// WithLinks sets the links to other entry hosts.
func WithLinks(links Links) Option { return func(c *config) { c.links = links } }

// WithPlatform sets the client of the platform.
func WithPlatform(platform persimplatform.Platform) Option {
	return func(c *config) { c.platform = platform }
}

// WithEngine sets the client of model engines.
func WithEngine(engine persimupstream.Engine) Option { return func(c *config) { c.engine = engine } }

// WithService sets the client of plain services.
func WithService(service persimupstream.Service) Option {
	return func(c *config) { c.service = service }
}

// WithMetrics sets the metrics of the host.
func WithMetrics(metrics persimmetric.Metrics) Option {
	return func(c *config) { c.metrics = metrics }
}

type host struct {
	config
	settings        persimsettings.Settings
	catalogue       persimprofile.Repository
	members         persimmember.Table
	flights         persimflight.Table
	ledger          persimledger.Ledger
	schedulers      *schedulers
	replicator      *replicator
	activeAttempts  *attemptRegistry
	identities      identities
	exchangeTrigger chan struct{}

	// requestCtx is the context of requests. It outlives the context of the background
	// loops, so that requests continue during a drain.
	requestCtx     context.Context
	cancelRequests context.CancelFunc

	// draining is closed when a drain begins.
	draining  chan struct{}
	drainOnce sync.Once
	// closed is closed when a drain ends; open streams then refer their callers to
	// another host.
	closed chan struct{}
	// rejectingNew is set once a draining host refuses new requests.
	rejectingNew atomic.Bool
	// accepting holds the identifiers of the requests that this host is accepting.
	accepting   sync.Map
	openStreams atomic.Int64
	openCalls   atomic.Int64
	// announcedGeneration is the catalogue generation last announced to other hosts.
	announcedGeneration atomic.Uint64
	// The times of contact are nanoseconds since startTime.
	lastPlatformContact atomic.Int64
	lastPeerContact     atomic.Int64
	startTime           time.Time
}

// New returns an entry host and its clean-up function. It returns an error if a
// required option is missing.
func New(settings persimsettings.Settings, opts ...Option) (Host, func(), error) {
	var c config
	for _, opt := range opts {
		opt(&c)
	}
	if c.links == nil || c.platform == nil || c.engine == nil || c.service == nil || c.metrics == nil {
		return nil, nil, trace.BadParameter("host: links, platform, engine, service and metrics are required")
	}
	h := &host{
		config:          c,
		settings:        settings,
		catalogue:       persimprofile.NewRepository(c.platform),
		identities:      newIdentities(settings),
		exchangeTrigger: make(chan struct{}, 1),
		draining:        make(chan struct{}),
		closed:          make(chan struct{}),
		startTime:       time.Now(),
	}
	h.members = persimmember.New(&persimwire.HostRow{
		Name:          settings.Name,
		Address:       settings.Listen.Peers,
		CallerAddress: settings.Listen.Callers,
		Centre:        settings.Centre,
		Incarnation:   uint64(time.Now().UnixMilli()),
		State:         persimwire.HostState_HOST_STATE_LIVE,
	})
	h.requestCtx, h.cancelRequests = context.WithCancel(context.Background())
	h.replicator = newReplicator(h)
	h.flights = persimflight.New(settings.Name,
		persimflight.WithLimit(settings.Limits.MaxRequests),
		persimflight.WithNotify(h.replicator.notify))
	h.activeAttempts = newAttemptRegistry()
	h.schedulers = newSchedulers(h)
	ledger, closeLedger := persimledger.New(c.platform,
		persimledger.WithSlices(settings.Ledger.Slices),
		persimledger.WithSliceSpan(settings.Ledger.Span.Std()),
		persimledger.WithRetention(settings.Ledger.Retention.Std()),
		persimledger.WithMinWriteInterval(settings.Ledger.Interval.Std()),
		persimledger.WithForwarder(claimForwarder{h}))
	h.ledger = ledger
	cleanup := func() {
		h.cancelRequests()
		closeLedger()
	}
	return h, cleanup, nil
}

func (h *host) name() string { return h.settings.Name }

// Run starts one goroutine for each background loop.
func (h *host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loops := []func(context.Context){
		h.catalogueLoop,
		h.watchLoop,
		h.hostListLoop,
		h.noticeLoop,
		h.exchangeLoop,
		h.loadLoop,
		h.schedulers.run,
		h.evictionLoop,
		h.pruneLoop,
		h.replicator.run,
		newFleetController(h).run,
	}
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	h.waitForShutdown(ctx)
	cancel()
	h.cancelRequests()
	running.Wait()
	return nil
}

// waitForShutdown returns when a drain has finished or the context ends.
func (h *host) waitForShutdown(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-h.draining:
	}
	h.drain(ctx)
}

func (h *host) Drain() {
	h.drainOnce.Do(func() { close(h.draining) })
}

func (h *host) isDraining() bool {
	select {
	case <-h.draining:
		return true
	default:
		return false
	}
}

// runEvery calls fn immediately and then at an interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

const evictInterval = time.Second

func (h *host) evictionLoop(ctx context.Context) {
	runEvery(ctx, evictInterval, func(context.Context) {
		h.flights.Evict(time.Now())
		h.members.RemoveDeparted(time.Now())
		owned, replicas := h.flights.Counts()
		h.metrics.Gauge("owned", float64(owned))
		h.metrics.Gauge("replicas", float64(replicas))
	})
}
