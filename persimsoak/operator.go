package persimsoak

import (
	"fmt"
	"math/rand/v2"
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

const (
	// activeKeys is the number of API keys that are valid at any time.
	activeKeys = 3
	// latencyTarget is the target of the routes for the latency and for the gap between events.
	latencyTarget = 500 * time.Millisecond
)

func newOperator(store *persimstand.Store) *operator {
	o := &operator{store: store, issued: map[string]time.Time{}, revoked: map[string]time.Time{}}
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
		[]persimcatalog.Organisation{{Name: organisationName, Keys: o.keys}}, limits()))
	if err != nil {
		return err
	}
	o.store.Put(platform.ConfigKind, platform.ConfigName, spec)
	return nil
}

func limits() persimcatalog.Limits {
	return persimcatalog.Limits{
		HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
	}
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
	return list
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
