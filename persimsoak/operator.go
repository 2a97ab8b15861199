package persimsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

// operator changes routes and API keys, and records when the store accepted each change.
type operator struct {
	store *persimstand.Store

	mu           sync.Mutex
	version      int
	keys         []string
	routePresent bool
	idleTimeout  time.Duration
	// publications holds all configurations in order; the first one is no change.
	publications []publication
	// issued and revoked hold when a key was added and when it was revoked.
	issued       map[string]time.Time
	revoked      map[string]time.Time
	routeChanges []routeChange
}

// routeChange records when the toggled route was added or removed.
type routeChange struct {
	at      time.Time
	present bool
}

// publication records when a configuration was stored, and its idle timeout.
type publication struct {
	at          time.Time
	idleTimeout time.Duration
}

// idleTimeouts are the idle timeouts that the operator changes between.
var idleTimeouts = []time.Duration{time.Second, 9 * time.Second, time.Second, initialIdleTimeout}

const (
	// initialIdleTimeout leaves room for idle times above all time limits of a host for
	// one request.
	initialIdleTimeout = 12 * time.Second
	// configChangeTime is how long a change of the configuration may take at the hosts.
	configChangeTime = 3 * time.Second
	// activeKeys is the number of API keys that are valid at any time.
	activeKeys = 3
	// latencyTarget is the target of the routes for the latency and for the gap between events.
	latencyTarget = 500 * time.Millisecond
)

func newOperator(store *persimstand.Store) *operator {
	o := &operator{store: store, idleTimeout: initialIdleTimeout, issued: map[string]time.Time{}, revoked: map[string]time.Time{}}
	for i := range activeKeys {
		o.keys = append(o.keys, fmt.Sprintf("key-%d", i))
	}
	return o
}

// publish stores the configuration. The caller must hold mu.
func (o *operator) publish() error {
	o.version++
	spec, err := platform.EncodeCatalogue(persimcatalog.New(int64(o.version), o.routes(),
		[]persimcatalog.Service{{Name: serviceName, MaxConnections: 500}},
		[]persimcatalog.Organisation{{Name: organisationName, Keys: o.keys}},
		persimcatalog.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: o.idleTimeout}))
	if err != nil {
		return err
	}
	o.publications = append(o.publications, publication{at: time.Now(), idleTimeout: o.idleTimeout})
	o.store.Put(platform.ConfigKind, platform.ConfigName, spec)
	return nil
}

// routes returns the current routes.
func (o *operator) routes() []persimcatalog.Route {
	route := func(prefix string, kind persimcatalog.Kind, attempts int) persimcatalog.Route {
		return persimcatalog.Route{
			Name: prefix, Host: hostName, Prefix: prefix, Kind: kind, Timeout: requestTimeout, Target: latencyTarget, GapTarget: latencyTarget,
			Splits: []persimcatalog.Split{{Service: serviceName, Weight: 1}}, MaxAttempts: attempts,
		}
	}
	list := []persimcatalog.Route{
		route(readPath, persimcatalog.KindIdempotent, maxAttempts),
		route(orderPath, persimcatalog.KindNonIdempotent, maxAttempts),
		route(persimstand.StreamPath, persimcatalog.KindStreaming, 1),
	}
	if o.routePresent {
		list = append(list, route(toggledPath, persimcatalog.KindIdempotent, maxAttempts))
	}
	odd := route("/", persimcatalog.KindIdempotent, maxAttempts)
	odd.Host = oddHostName
	return append(list, odd)
}

func (o *operator) publishInitial() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.publish()
}

// toggleRoute adds the route of toggledPath, or removes it.
func (o *operator) toggleRoute() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routePresent = !o.routePresent
	err := o.publish()
	o.routeChanges = append(o.routeChanges, routeChange{at: time.Now(), present: o.routePresent})
	return err
}

// setIdleTimeout changes the idle timeout of the connections of callers.
func (o *operator) setIdleTimeout(timeout time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.idleTimeout = timeout
	return o.publish()
}

// shortestIdleTimeout returns the shortest idle timeout that hosts may still apply.
func (o *operator) shortestIdleTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	shortest := o.idleTimeout
	for i := len(o.publications) - 1; i > 0 && time.Since(o.publications[i].at) < configChangeTime; i-- {
		shortest = min(shortest, o.publications[i-1].idleTimeout)
	}
	return shortest
}

// changedConfig reports whether hosts may have applied a changed configuration between
// two moments.
func (o *operator) changedConfig(from, until time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.publications[1:], func(p publication) bool {
		return p.at.Before(until) && p.at.Add(configChangeTime).After(from)
	})
}

// rotateKey revokes the oldest key and adds a new one.
func (o *operator) rotateKey() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	oldest := o.keys[0]
	next := fmt.Sprintf("key-%d", activeKeys+o.version)
	o.keys = append(o.keys[1:], next)
	err := o.publish()
	o.revoked[oldest] = time.Now()
	o.issued[next] = time.Now()
	return err
}

// drawKey returns a random valid key, or occasionally a revoked one.
func (o *operator) drawKey(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.revoked {
		if random.IntN(30) == 0 {
			return key
		}
	}
	// The newest key is left out: some hosts may not have applied it yet.
	return o.keys[random.IntN(len(o.keys)-1)]
}

// revokedAt returns when a key was revoked, if it was.
func (o *operator) revokedAt(key string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.revoked[key]
	return at, ok
}

// issuedAt returns when a key was added; it is zero for the initial keys.
func (o *operator) issuedAt(key string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.issued[key]
}

// lastRouteChange returns the last change of the toggled route up to a moment, if there
// was one.
func (o *operator) lastRouteChange(moment time.Time) (routeChange, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.routeChanges) - 1; i >= 0; i-- {
		if !o.routeChanges[i].at.After(moment) {
			return o.routeChanges[i], true
		}
	}
	return routeChange{}, false
}
