// Package persimentry runs an entry host on a machine of the platform: it joins
// the front with the duties that keep its knowledge and do its share of the work.
package persimentry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimfleet"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimmetric"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimsettings"
)

// Intervals of duties.
const (
	// freshTick is how often a host looks whether its knowledge is old.
	freshTick     = 100 * time.Millisecond
	hostsInterval = 2 * time.Second
	leaseInterval = 300 * time.Millisecond
	// leaseReadInterval is how often a host that does not hold the lease reads it.
	leaseReadInterval = time.Second
	dutyInterval      = 300 * time.Millisecond
	exchangeInterval  = 200 * time.Millisecond
	// exchangeFanOut is the number of hosts that are asked in an interval. Those
	// asked tell and learn, so ten hosts all hear each other in one interval.
	exchangeFanOut  = 5
	exchangeTimeout = 700 * time.Millisecond
	sweepInterval   = 500 * time.Millisecond
)

// An Entry is one entry host.
type Entry interface {
	// Run does the duties until the context ends.
	Run(ctx context.Context) error
	// Callers makes a server answer callers.
	Callers(server *http.Server)
	// Ready is the handler of the balancer's questions.
	Ready() http.Handler
	// Metrics is the handler of the figures.
	Metrics() http.Handler
	// Leave makes the host not ready; answers end their connections from then on.
	Leave()
	// Release gives up what other hosts can take over.
	Release(ctx context.Context)
	// InFlight returns the number of requests in progress.
	InFlight() int
}

type entry struct {
	deployment  persimsettings.Deployment
	incarnation string
	front       persimfront.Front
	pool        persimconn.Pool
	objects     persimplatform.Objects
	calls       persimplatform.Duties
	metrics     persimmetric.Metrics

	leaving chan struct{}
	once    sync.Once

	mu       sync.Mutex
	roster   *persimcatalog.Roster
	rosterAt rosterState
	peers    map[string]peer
	usage    persimduty.Usage
	lease    persimduty.Lease
	reported reports
	planners map[string]persimfleet.UpstreamPlanner
	raw      rawCatalogue
	// hubAsked and strayed are when a hub and another host were last asked.
	hubAsked time.Time
	strayed  time.Time
}

const incarnationBytes = 8

// New returns an entry host of a deployment and its clean-up function.
func New(deployment persimsettings.Deployment) (Entry, func(), error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	incarnation := hex.EncodeToString(random)
	pool, closePool := persimconn.New()
	objects, closeObjects := persimplatform.NewObjects(deployment.Store)
	calls, closeCalls := persimplatform.NewDuties(deployment.Duties)
	metrics, closeMetrics := persimmetric.New(deployment.Host)
	e := &entry{
		deployment:  deployment,
		incarnation: incarnation,
		pool:        pool,
		objects:     objects,
		calls:       calls,
		metrics:     metrics,
		leaving:     make(chan struct{}),
		roster:      persimcatalog.NewRoster(),
		peers:       map[string]peer{},
		usage:       persimduty.NewUsage(deployment.Bounds.UsageWindow),
		lease:       persimduty.NewLease(deployment.Host, incarnation, deployment.Bounds.Lease),
		planners:    map[string]persimfleet.UpstreamPlanner{},
		reported:    reports{Windows: map[int64]persimduty.Counts{}},
	}
	e.lease.SetAcquireDelay(patience(deployment.MemoryBytes))
	e.front = persimfront.New(
		persimfront.WithBounds(deployment.Bounds),
		persimfront.WithCentre(deployment.Centre),
		persimfront.WithPool(pool),
		persimfront.WithCounter(counter{e}),
		persimfront.WithMetrics(metrics))
	cleanup := func() {
		closeMetrics()
		closeCalls()
		closeObjects()
		closePool()
	}
	return e, cleanup, nil
}

// counter counts begun requests under the entry's lock.
type counter struct{ *entry }

func (c counter) Count(at time.Time, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage.Count(at, organisation)
}

func (e *entry) Callers(server *http.Server) { e.front.Serve(server) }

func (e *entry) Metrics() http.Handler { return e.metrics.Handler() }

func (e *entry) InFlight() int { return e.front.InFlight() }

func (e *entry) Ready() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// readyShare is the part of the time for which keys may be used without proof
// after which the host asks for no further callers.
const readyShare = 0.8

func (e *entry) ready() bool {
	select {
	case <-e.leaving:
		return false
	default:
	}
	age, known := e.front.Age()
	return known && age < time.Duration(float64(e.deployment.Bounds.Revoke)*readyShare)
}

func (e *entry) Leave() {
	e.once.Do(func() {
		close(e.leaving)
		e.front.Close()
	})
}

func (e *entry) Run(ctx context.Context) error {
	duties := []func(context.Context){
		e.followCatalogue, e.followRoster, e.followHosts, e.followLease, e.doReports, e.doOrders, e.sweep, e.exchange,
	}
	var running sync.WaitGroup
	for _, duty := range duties {
		running.Go(func() { duty(ctx) })
	}
	running.Wait()
	return nil
}

// every calls a function at an interval until the context ends.
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

func (e *entry) sweep(ctx context.Context) {
	every(ctx, sweepInterval, func(context.Context) { e.pool.Sweep() })
}

// dependency logs when something the host depends on is lost or regained.
type dependency struct {
	name string
	lost bool
}

func (d *dependency) note(err error) {
	if err != nil && !d.lost {
		klog.InfoS("dependency lost", "name", d.name, "error", persimlog.Cause(err))
	}
	if err == nil && d.lost {
		klog.InfoS("dependency regained", "name", d.name)
	}
	d.lost = err != nil
}
