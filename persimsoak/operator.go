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

// An operator changes routes and keys, and remembers when the store took them.
type operator struct {
	store *persimstand.Store

	mu      sync.Mutex
	version int
	keys    []string
	added   bool
	// issued and revoked are when a key was added and taken away.
	issued  map[string]time.Time
	revoked map[string]time.Time
	changes []routeChange
}

// A routeChange is a moment at which the added route came or went.
type routeChange struct {
	at    time.Time
	there bool
}

const (
	// firstKeys is the number of keys in force at any time.
	firstKeys = 3
	// target is the time within which an answer is on time.
	target = 500 * time.Millisecond
)

func newOperator(store *persimstand.Store) *operator {
	o := &operator{store: store, issued: map[string]time.Time{}, revoked: map[string]time.Time{}}
	for i := range firstKeys {
		o.keys = append(o.keys, fmt.Sprintf("key-%d", i))
	}
	return o
}

// publish stores the configuration; the caller holds the lock.
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

// routes are the routes in force.
func (o *operator) routes() []persimcatalog.Route {
	route := func(prefix string, kind persimcatalog.Kind, attempts int) persimcatalog.Route {
		return persimcatalog.Route{
			Name: prefix, Host: hostName, Prefix: prefix, Kind: kind, Timeout: patience, Target: target, GapTarget: target,
			Splits: []persimcatalog.Split{{Service: serviceName, Weight: 1}}, MaxAttempts: attempts,
		}
	}
	list := []persimcatalog.Route{
		route(readPath, persimcatalog.KindIdempotent, maxAttempts),
		route(orderPath, persimcatalog.KindNonIdempotent, maxAttempts),
		route(persimstand.StreamPath, persimcatalog.KindStreaming, 1),
	}
	if o.added {
		list = append(list, route(addedPath, persimcatalog.KindIdempotent, maxAttempts))
	}
	return list
}

func (o *operator) start() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.publish()
}

// reroute adds the route that comes and goes, or removes it.
func (o *operator) reroute() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.added = !o.added
	err := o.publish()
	o.changes = append(o.changes, routeChange{at: time.Now(), there: o.added})
	return err
}

// revoke takes the oldest key away and adds a new one.
func (o *operator) revoke() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.keys[0]
	next := fmt.Sprintf("key-%d", firstKeys+o.version)
	o.keys = append(o.keys[1:], next)
	err := o.publish()
	o.revoked[old] = time.Now()
	o.issued[next] = time.Now()
	return err
}

// drawKey returns a key in force, or now and then one that was revoked.
func (o *operator) drawKey(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.revoked {
		if random.IntN(30) == 0 {
			return key
		}
	}
	// The newest key may not be known everywhere yet.
	return o.keys[random.IntN(len(o.keys)-1)]
}

// revokedAt returns when a key was taken away, if it was.
func (o *operator) revokedAt(key string) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.revoked[key]
	return at, ok
}

// addedAt returns when a key was added, which is zero for the first ones.
func (o *operator) addedAt(key string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.issued[key]
}

// routeAt returns the last change of the added route before a moment, if there was one.
func (o *operator) routeAt(moment time.Time) (routeChange, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.changes) - 1; i >= 0; i-- {
		if !o.changes[i].at.After(moment) {
			return o.changes[i], true
		}
	}
	return routeChange{}, false
}
