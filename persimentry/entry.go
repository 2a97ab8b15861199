// Package persimentry runs an entry host on a machine of the platform: it connects
// the front, which serves callers, to the background loops that keep the
// configuration, the upstreams and the other hosts up to date and that perform the
// duties of the lease holder.
package persimentry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimfleet"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimmetric"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimsettings"
)

// Intervals of the background loops.
const (
	// stalenessCheckInterval is how often a host checks whether its configuration and
	// its list of upstreams are due to be read again.
	stalenessCheckInterval = 100 * time.Millisecond
	hostListInterval       = 2 * time.Second
	leaseInterval          = 300 * time.Millisecond
	// leaseReadInterval is the shortest time between two reads of the lease by a host
	// that does not hold it.
	leaseReadInterval = time.Second
	dutyInterval      = 300 * time.Millisecond
	exchangeInterval  = 200 * time.Millisecond
	// exchangeFanOut is the number of peers with which a host starts an exchange in
	// one interval. An exchange carries state both ways, so ten hosts all hear from
	// each other within one interval.
	exchangeFanOut  = 5
	exchangeTimeout = 700 * time.Millisecond
	sweepInterval   = 500 * time.Millisecond
)

// Entry is one entry host.
type Entry interface {
	// Run runs the background loops until the context ends.
	Run(ctx context.Context) error
	// ServeCallers lets a server serve callers on a listener until the listener is closed.
	ServeCallers(server *http.Server, listener net.Listener) error
	// ServeOperators lets a server serve readiness checks or metrics on a listener.
	ServeOperators(server *http.Server, listener net.Listener) error
	// ReadyHandler returns the handler for the load balancer's readiness probes.
	ReadyHandler() http.Handler
	// MetricsHandler returns the handler that serves the metrics.
	MetricsHandler() http.Handler
	// BeginDrain makes the host report that it is not ready; from then on each response
	// closes its connection.
	BeginDrain()
	// ReleaseLease releases the lease, so that another host can acquire it.
	ReleaseLease(ctx context.Context)
	// Drain accepts no more connections of callers and closes each one once it has no request
	// in progress. It returns when none is left, or the context's error if that ends first.
	Drain(ctx context.Context) error
	// AbortRequests ends all requests in progress: those whose response has not begun are
	// answered with an error, the others are broken off.
	AbortRequests()
	// InFlight returns the number of requests in progress.
	InFlight() int
}

type entry struct {
	deployment  persimsettings.Deployment
	incarnation string
	front       persimfront.Front
	pool        persimconn.Pool
	objects     persimplatform.Objects
	duties      persimplatform.Duties
	metrics     persimmetric.Metrics

	// clock returns the current instant.
	clock func() persimclock.Instant

	draining  chan struct{}
	drainOnce sync.Once

	mu          sync.Mutex
	roster      *persimcatalog.Roster
	rosterState rosterState
	peers       map[string]peer
	usage       persimduty.Usage
	lease       persimduty.Lease
	reports     persimduty.Reports
	// reportsStoredAt is when this host last stored the counts of a window.
	reportsStoredAt time.Time
	planners        map[string]persimfleet.UpstreamPlanner
	rawCatalogue    rawCatalogue
	rollouts        rolloutState
	toldHolder      toldHolder
	startedAt       time.Time
	// listedAt is when the first list of hosts was read.
	listedAt time.Time
	hubState
}

// incarnationBytes is the number of random bytes that identify one start of the host.
const incarnationBytes = 8

// New returns an entry host of a deployment and its clean-up function.
func New(deployment persimsettings.Deployment) (Entry, func(), error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	incarnation := hex.EncodeToString(random)
	resources := newResources(deployment)
	pool, closePool := persimconn.New(persimconn.WithMaxConns(resources.upstreamConnections))
	metrics, closeMetrics := persimmetric.New(deployment.Host)
	observe := persimplatform.WithObserver(metrics.PlatformCall)
	objects, closeObjects := persimplatform.NewObjects(deployment.StoreAddress, observe)
	duties, closeDuties := persimplatform.NewDuties(deployment.DutiesAddress, observe)
	e := &entry{
		deployment:  deployment,
		incarnation: incarnation,
		pool:        pool,
		objects:     objects,
		duties:      duties,
		metrics:     metrics,
		clock:       persimclock.Now,
		draining:    make(chan struct{}),
		roster:      persimcatalog.NewRoster(),
		peers:       map[string]peer{},
		usage:       persimduty.NewUsage(deployment.Bounds.UsageWindow),
		lease:       persimduty.NewLease(deployment.Host, incarnation, deployment.Bounds.Lease),
		planners:    map[string]persimfleet.UpstreamPlanner{},
		reports:     persimduty.NewReports(),
		rollouts:    newRolloutState(),
	}
	e.rosterState.outages.contact = deployment.Bounds.Contact
	e.rosterState.outages.quiet = longestPollInterval(deployment.Bounds.UpstreamDrain)
	e.startedAt = time.Now()
	e.hubState = newHubState(e.startedAt, deployment, incarnation)
	e.lease.SetAcquireDelay(acquireDelay(deployment.MemoryBytes))
	e.front = persimfront.New(
		persimfront.WithBodyMemory(resources.body),
		persimfront.WithSpareMemory(resources.spare),
		persimfront.WithUnreadMemory(resources.unread),
		persimfront.WithMaxConnections(resources.callerConnections),
		persimfront.WithMaxOperatorConnections(resources.operatorConnections),
		persimfront.WithBounds(deployment.Bounds),
		persimfront.WithCentre(deployment.Centre),
		persimfront.WithPool(pool),
		persimfront.WithCounter(usageCounter{e}),
		persimfront.WithMetrics(metrics),
		persimfront.WithRollouts(e.newTraffic()),
		persimfront.WithOnLeaving(e.markLeaving))
	cleanup := func() {
		closeDuties()
		closeObjects()
		closePool()
		closeMetrics()
	}
	return e, cleanup, nil
}

// usageCounter counts started requests under the lock of the entry.
type usageCounter struct{ *entry }

func (c usageCounter) Count(at time.Time, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage.Count(at, organisation)
}

func (e *entry) ServeCallers(server *http.Server, listener net.Listener) error {
	return e.front.Serve(server, listener)
}

func (e *entry) ServeOperators(server *http.Server, listener net.Listener) error {
	return e.front.ServeOperators(server, listener)
}

func (e *entry) MetricsHandler() http.Handler { return e.metrics.Handler() }

func (e *entry) Drain(ctx context.Context) error { return e.front.Drain(ctx) }

func (e *entry) AbortRequests() { e.front.AbortRequests() }

func (e *entry) InFlight() int { return e.front.InFlight() }

func (e *entry) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// readyFraction is the fraction of Bounds.KeyRevocation, the time for which keys may be used
// without confirmation, after which the host reports that it is not ready.
const readyFraction = 0.8

// ready reports whether the load balancer may send requests to the host.
func (e *entry) ready() bool {
	select {
	case <-e.draining:
		return false
	default:
	}
	age, known := e.front.CatalogueAge()
	return known && age < time.Duration(float64(e.deployment.Bounds.KeyRevocation)*readyFraction)
}

func (e *entry) BeginDrain() {
	e.drainOnce.Do(func() {
		close(e.draining)
		e.front.DisableKeepAlives()
	})
}

func (e *entry) Run(ctx context.Context) error {
	loops := []func(context.Context){
		e.pollCatalogue, e.pollRoster, e.expireMissing, e.pollHosts, e.maintainLease, e.reportUsageLoop, e.orderUpstreamsLoop, e.sweepPool, e.exchangeLoop,
	}
	if e.deployment.Rollouts {
		loops = append(loops, e.rolloutLoop, e.watchRollouts)
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return nil
}

// every calls fn at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
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

func (e *entry) sweepPool(ctx context.Context) {
	every(ctx, sweepInterval, func(context.Context) { e.pool.Sweep() })
}

// dependency logs when something the host depends on becomes unavailable and when it
// recovers.
type dependency struct {
	name string
	lost bool
}

// observe records the result of a call and logs a change.
func (d *dependency) observe(err error) {
	if err != nil && !d.lost {
		klog.InfoS("dependency lost", "name", d.name, "error", persimlog.ErrorText(err))
	}
	if err == nil && d.lost {
		klog.InfoS("dependency regained", "name", d.name)
	}
	d.lost = err != nil
}
