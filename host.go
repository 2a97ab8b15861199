// Package persimmonport is an entry host: it stands between callers and
// upstreams, admits, queues, routes, retries, streams and accounts.
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

// A Host is one entry host.
type Host interface {
	// Run performs the host's duties until a drain has finished or the context ends.
	Run(ctx context.Context) error
	// Drain starts the graceful shutdown; further calls have no effect.
	Drain()
	// Callers serves the interface of callers.
	Callers() http.Handler
	// Peers serves the interface of other entry hosts.
	Peers() http.Handler
	// Operators serves the interface of operators, metrics and health checks.
	Operators() http.Handler
}

// Links give clients of other entry hosts.
type Links interface {
	Client(address string) persimwire.PeerServiceClient
	Reset(address string)
}

type config struct {
	version string
	links   Links
	store   persimplatform.Platform
	engine  persimupstream.Engine
	service persimupstream.Service
	metrics persimmetric.Metrics
}

// An Option changes the configuration of a host.
type Option func(*config)

// WithVersion sets the build version that the host reports.
func WithVersion(version string) Option { return func(c *config) { c.version = version } }

// WithLinks sets the links to other entry hosts.
func WithLinks(links Links) Option { return func(c *config) { c.links = links } }

// WithPlatform sets the client of the platform.
func WithPlatform(platform persimplatform.Platform) Option {
	return func(c *config) { c.store = platform }
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
	settings   persimsettings.Settings
	keeper     persimprofile.Keeper
	members    persimmember.Table
	flights    persimflight.Table
	ledger     persimledger.Ledger
	schedulers *schedulers
	replicator *replicator
	watchers   *attemptWatch
	identities identities
	incidents  chan struct{}

	// work is the context of requests, which outlives that of the duties while draining.
	work   context.Context
	finish context.CancelFunc

	draining  chan struct{}
	drainOnce sync.Once
	closed    chan struct{}
	refusing  atomic.Bool
	relays    atomic.Int64
	calls     atomic.Int64
	// announced is the generation that the other hosts were last told.
	announced atomic.Uint64
	storeAt   atomic.Int64
	peersAt   atomic.Int64
	epoch     time.Time
}

// New returns an entry host and its clean-up function. It returns an error when
// a part that the host needs is missing.
func New(settings persimsettings.Settings, opts ...Option) (Host, func(), error) {
	var c config
	for _, opt := range opts {
		opt(&c)
	}
	if c.links == nil || c.store == nil || c.engine == nil || c.service == nil || c.metrics == nil {
		return nil, nil, trace.BadParameter("host: links, platform, engine, service and metrics are needed")
	}
	h := &host{
		config:     c,
		settings:   settings,
		keeper:     persimprofile.NewKeeper(c.store),
		identities: newIdentities(settings),
		incidents:  make(chan struct{}, 1),
		draining:   make(chan struct{}),
		closed:     make(chan struct{}),
		epoch:      time.Now(),
	}
	h.members = persimmember.New(&persimwire.HostRow{
		Name:          settings.Name,
		Address:       settings.Listen.Peers,
		CallerAddress: settings.Listen.Callers,
		Centre:        settings.Centre,
		Incarnation:   uint64(time.Now().UnixMilli()),
		State:         persimwire.HostState_HOST_STATE_LIVE,
	})
	h.work, h.finish = context.WithCancel(context.Background())
	h.replicator = newReplicator(h)
	h.flights = persimflight.New(settings.Name,
		persimflight.WithLimit(settings.Limits.Requests),
		persimflight.WithNotify(h.replicator.notify))
	h.watchers = newAttemptWatch()
	h.schedulers = newSchedulers(h)
	ledger, closeLedger := persimledger.New(c.store,
		persimledger.WithSlices(settings.Ledger.Slices),
		persimledger.WithSpan(settings.Ledger.Span.Std()),
		persimledger.WithRetention(settings.Ledger.Retention.Std()),
		persimledger.WithInterval(settings.Ledger.Interval.Std()),
		persimledger.WithForwarder(forwarder{h}))
	h.ledger = ledger
	cleanup := func() {
		h.finish()
		closeLedger()
	}
	return h, cleanup, nil
}

func (h *host) name() string { return h.settings.Name }

// Run starts one goroutine for each duty.
func (h *host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duties := []func(context.Context){
		h.catalogueDuty,
		h.watchDuty,
		h.listDuty,
		h.noticeDuty,
		h.exchangeDuty,
		h.reportDuty,
		h.schedulers.duty,
		h.evictDuty,
		h.pruneDuty,
		h.replicator.duty,
		newFleet(h).duty,
	}
	var running sync.WaitGroup
	for _, duty := range duties {
		running.Go(func() { duty(ctx) })
	}
	h.waitForEnd(ctx)
	cancel()
	h.finish()
	running.Wait()
	return nil
}

// waitForEnd returns when a drain has finished or the context ends.
func (h *host) waitForEnd(ctx context.Context) {
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

// every calls a function at once and then at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

const evictInterval = time.Second

func (h *host) evictDuty(ctx context.Context) {
	every(ctx, evictInterval, func(context.Context) {
		h.flights.Evict(time.Now())
		h.members.Forget(time.Now())
		owned, replicas := h.flights.Counts()
		h.metrics.Gauge("owned", float64(owned))
		h.metrics.Gauge("replicas", float64(replicas))
	})
}
