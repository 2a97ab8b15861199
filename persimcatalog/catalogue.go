// Package persimcatalog defines the configuration of a host as immutable values:
// routes, services, organisations and upstreams.
package persimcatalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind determines how the responses of a route are relayed and whether its requests may
// be retried.
type Kind int

// Kinds of routes.
const (
	KindNonIdempotent Kind = iota
	KindIdempotent
	KindStreaming
)

// Split sends a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  int
}

// Route defines how requests for one host name and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the time until the complete response.
	Timeout time.Duration
	// Target is the latency target of a response, or of a stream's first event.
	Target time.Duration
	// GapTarget is the latency target between two events of a stream.
	GapTarget time.Duration
	// Priority orders requests; zero is served first.
	Priority    int
	Splits      []Split
	MaxAttempts int
	Anonymous   bool
	// Sticky marks routes whose prompts share prefixes.
	Sticky    bool
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Service returns the service that serves the request with the given hash.
func (r Route) Service(hash uint64) string {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	if total == 0 {
		return ""
	}
	remainder := int(hash % uint64(total))
	for _, split := range r.Splits {
		if remainder < split.Weight {
			return split.Service
		}
		remainder -= split.Weight
	}
	return ""
}

// Engine describes the upstreams of a service that serves language models.
type Engine struct {
	Slots int
	// KVCapacityTokens is the KV cache capacity of an upstream, in tokens.
	KVCapacityTokens int
	// KVBytesPerToken is the KV cache size of one token, in bytes.
	KVBytesPerToken float64
	KVTransfer      bool
	KVBackup        bool
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
}

// Scaling limits how many upstreams may be started for a service in a data centre
// and gives their prices.
type Scaling struct {
	Min int
	Max int
	// Boot is the time that an upstream takes to start.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream relative to one that is
	// not reclaimable.
	ReclaimablePrice float64
	// CentrePrices maps a data centre to the price of one upstream per second.
	CentrePrices map[string]float64
}

// Service is a group of upstreams with common settings.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all
	// hosts together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil for a service whose upstreams are not ordered by the hosts.
	Scaling *Scaling
}

// Quota limits the request or token rate of an organisation.
type Quota struct {
	// PerSecond is zero where there is no limit.
	PerSecond float64
	Burst     float64
	// InTokens charges requests by their tokens.
	InTokens bool
	// PlainTokens is the number of tokens charged for a request without a token count.
	PlainTokens float64
}

// Organisation is a group of callers that share keys and a quota.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides that of the route where it is set.
	Priority *int
	Quota    Quota
}

// Limits restricts the size and the duration of a caller's requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalogue is one version of the configuration.
type Catalogue struct {
	version       int64
	routes        map[string][]Route
	services      map[string]Service
	organisations map[string]Organisation
	keys          map[string]string
	limits        Limits
}

// New returns a catalogue. Routes of one host name are matched longest prefix first.
func New(version int64, routes []Route, services []Service, organisations []Organisation, limits Limits) Catalogue {
	c := Catalogue{
		version:       version,
		routes:        map[string][]Route{},
		services:      map[string]Service{},
		organisations: map[string]Organisation{},
		keys:          map[string]string{},
		limits:        limits,
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, service := range services {
		c.services[service.Name] = service
	}
	for _, organisation := range organisations {
		c.organisations[organisation.Name] = organisation
		for _, key := range organisation.Keys {
			c.keys[key] = organisation.Name
		}
	}
	return c
}

// Version returns the version, which increases monotonically.
func (c Catalogue) Version() int64 { return c.version }

// Routes returns all routes by host name, longest prefix first.
func (c Catalogue) Routes() []Route {
	var all []Route
	for _, host := range slices.Sorted(maps.Keys(c.routes)) {
		all = append(all, c.routes[host]...)
	}
	return all
}

// Limits returns the limits on callers' requests.
func (c Catalogue) Limits() Limits { return c.limits }

// RequiresKey reports whether requests require a key, except on anonymous routes.
func (c Catalogue) RequiresKey() bool { return len(c.organisations) > 0 }

// Match returns the route of a host name with the longest matching path prefix.
func (c Catalogue) Match(host, path string) (Route, bool) {
	if name, port, ok := strings.Cut(host, ":"); ok && port != "" {
		host = name
	}
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// OrganisationByKey returns the organisation that holds a key.
func (c Catalogue) OrganisationByKey(key string) (Organisation, bool) {
	name, ok := c.keys[key]
	if !ok {
		return Organisation{}, false
	}
	return c.organisations[name], true
}

// Organisations returns the organisations by name.
func (c Catalogue) Organisations() map[string]Organisation { return c.organisations }

// Service returns a service by name.
func (c Catalogue) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// Services returns the services by name.
func (c Catalogue) Services() map[string]Service { return c.services }
