// Package persimcatalog holds the routes, services, organisations and upstreams
// that a host knows, as immutable values.
package persimcatalog

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	KindNonIdempotent Kind = iota
	KindIdempotent
	KindStreaming
)

// A Split sends a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  int
}

// A Route says how requests of one host name and path are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// Target is the time within which an answer, or a stream's first event, is on time.
	Target time.Duration
	// GapTarget is the longest pause between two events that is on time.
	GapTarget time.Duration
	// Priority is the rank, with zero first.
	Priority    int
	Splits      []Split
	MaxAttempts int
	Anonymous   bool
	// Sticky marks routes whose prompts share parts.
	Sticky    bool
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Service returns the service of the request with a hash.
func (r Route) Service(hash uint64) string {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(hash % uint64(total))
	for _, split := range r.Splits {
		if point < split.Weight {
			return split.Service
		}
		point -= split.Weight
	}
	return ""
}

// An Engine describes the upstreams of a service that serves language models.
type Engine struct {
	Slots int
	// Memory is the number of tokens that an upstream keeps.
	Memory int
	// MoveBytes is the size of one token's cache, in bytes.
	MoveBytes float64
	Moves     bool
	Backups   bool
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
}

// Scaling bounds the upstreams that may be ordered for a service in a data centre.
type Scaling struct {
	Min  int
	Max  int
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream against another.
	ReclaimablePrice float64
	// CentrePrices maps a data centre to the price of an upstream's second.
	CentrePrices map[string]float64
}

// A Service is a group of upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one upstream accepts from all hosts together.
	MaxConnections int
	Engine         *Engine
	Scaling        *Scaling
}

// A Quota bounds what an organisation may ask.
type Quota struct {
	// PerSecond is zero where there is no bound.
	PerSecond float64
	Burst     float64
	// InTokens says that requests count by their tokens.
	InTokens bool
	// PlainTokens is what a request without a token count counts.
	PlainTokens float64
}

// An Organisation is a body whose callers share keys and a quota.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces that of the route where it is set.
	Priority *int
	Quota    Quota
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Catalogue is one version of the configuration.
type Catalogue struct {
	version       int64
	routes        map[string][]Route
	services      map[string]Service
	organisations map[string]Organisation
	keys          map[string]string
	limits        Limits
}

// New returns a catalogue. Routes of one host name are searched longest prefix first.
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

// Version returns the version, which only grows.
func (c Catalogue) Version() int64 { return c.version }

// Routes returns all routes, of each host name those with longer prefixes first.
func (c Catalogue) Routes() []Route {
	var all []Route
	for _, host := range slices.Sorted(maps.Keys(c.routes)) {
		all = append(all, c.routes[host]...)
	}
	return all
}

// Limits returns what a caller may send.
func (c Catalogue) Limits() Limits { return c.limits }

// Keyed reports whether requests need a key.
func (c Catalogue) Keyed() bool { return len(c.organisations) > 0 }

// Match returns the route with the longest prefix of a path.
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

// ByKey returns the organisation that holds a key.
func (c Catalogue) ByKey(key string) (Organisation, bool) {
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
