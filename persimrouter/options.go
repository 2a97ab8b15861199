package persimrouter

import (
	"math/rand/v2"
	"time"
)

// Defaults of a router.
const (
	// DefaultShortReserve is the share of slots that is reserved for short attempts.
	DefaultShortReserve = 0.25
	// DefaultSlowRatio is the ratio to the group's median latency above which an
	// upstream counts as slow.
	DefaultSlowRatio = 3.0
	// DefaultMaxEjectedShare is the largest share of a group that may be ejected.
	DefaultMaxEjectedShare = 0.34
	// DefaultProbeDelay is the time from an ejection to the first probe.
	DefaultProbeDelay = 2 * time.Second
	// DefaultLoadBound is the load, relative to the mean, up to which an upstream
	// is preferred for the prefixes it should have cached.
	DefaultLoadBound = 1.25
	// DefaultSubsetSize is the largest number of upstreams that a host uses.
	DefaultSubsetSize = 64
)

type config struct {
	host            string
	shortReserve    float64
	slowRatio       float64
	maxEjectedShare float64
	probeDelay      time.Duration
	loadBound       float64
	subsetSize      int
	random          *rand.Rand
}

// An Option changes the configuration of a router.
type Option func(*config)

// WithHost sets the name of the entry host, which selects its subset of a large group.
func WithHost(host string) Option { return func(c *config) { c.host = host } }

// WithShortReserve sets the share of slots that is reserved for short attempts.
func WithShortReserve(share float64) Option { return func(c *config) { c.shortReserve = share } }

// WithSlowRatio sets the ratio to the group's median latency above which an
// upstream counts as slow.
func WithSlowRatio(ratio float64) Option { return func(c *config) { c.slowRatio = ratio } }

// WithMaxEjectedShare sets the largest share of a group that may be ejected.
func WithMaxEjectedShare(share float64) Option { return func(c *config) { c.maxEjectedShare = share } }

// WithSubsetSize sets the largest number of upstreams that the host uses.
func WithSubsetSize(size int) Option { return func(c *config) { c.subsetSize = size } }

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(c *config) { c.random = random } }
