// Package persimadmit decides who gets the last capacity of a service: requests of the first
// priority, then evenly the organisations of a priority, then callers that have come back.
//
// It is built for a load of up to a few times the capacity that arrives at any number of hosts,
// of which each decides alone by sums that are up to two seconds old. What it admits is a share
// of the requests of each organisation and priority, so that hosts need not agree on single
// requests. It reads no clock and does no I/O.
package persimadmit

import "time"

const (
	// DefaultUtilisation is the share of the capacity that is given away: above it, requests
	// wait longer at the upstreams than their latency targets allow.
	DefaultUtilisation = 0.95
	// DefaultFloor is the share of the mean share that each organisation and priority keeps.
	// A quarter is required; what is above it covers sums that are old.
	DefaultFloor = 0.4

	// loadsTTL is how long shares are used without new loads.
	loadsTTL = 3 * time.Second
	// minDelay and maxDelay bound the time after which a refused caller is asked to return.
	minDelay = 100 * time.Millisecond
	maxDelay = 5 * time.Second
	// returnedWeight is how many times as likely as others callers that have come back are
	// admitted.
	returnedWeight = 2
)

type config struct {
	utilisation float64
	floor       float64
}

// Option changes the configuration of a limiter.
type Option func(*config)

// WithUtilisation sets the share of the capacity that is given away.
func WithUtilisation(share float64) Option { return func(c *config) { c.utilisation = share } }

// WithFloor sets the share of the mean share that each organisation and priority keeps.
func WithFloor(share float64) Option { return func(c *config) { c.floor = share } }

// Limiter admits a share of the requests of each service. It is not safe for concurrent use.
type Limiter interface {
	// SetLoads replaces the work that arrives at all hosts together and the number of
	// upstreams that there are for it.
	SetLoads(now time.Time, service string, loads Loads, capacity float64)
	// Admit returns whether a request with the given hash is admitted, or else the time after
	// which its caller is to come back. Returned is set for a caller that was refused before.
	Admit(now time.Time, service string, rank int, organisation string, requestHash uint64, returned bool) (time.Duration, bool)
	// Ahead returns the share of the capacity that goes to priorities above one, which upstreams
	// serve first.
	Ahead(now time.Time, service string, rank int) float64
	// Shares returns the share of the work that is admitted, by rank, and whether the service
	// has less capacity than work.
	Shares(now time.Time, service string) (map[int]float64, bool)
}

// service is what the limiter knows of one service.
type service struct {
	setAt time.Time
	short bool
	cells map[Key]*cell
	ranks map[int]float64
	// allowed is the part of the capacity that each rank gets.
	allowed map[int]float64
}

// cell is the part of the capacity that the requests of one organisation and priority get.
type cell struct {
	share float64
	// returned is the share of the requests that come from callers that have come back.
	returned float64
}

type limiter struct {
	config
	services map[string]*service
}

// New returns a limiter that admits everything until it has loads.
func New(opts ...Option) Limiter {
	c := config{utilisation: DefaultUtilisation, floor: DefaultFloor}
	for _, opt := range opts {
		opt(&c)
	}
	return &limiter{config: c, services: map[string]*service{}}
}

func (l *limiter) SetLoads(now time.Time, name string, loads Loads, capacity float64) {
	previous := l.services[name]
	allocation := allocate(loads, capacity*l.utilisation, l.floor)
	s := &service{setAt: now, cells: make(map[Key]*cell, len(loads)), ranks: map[int]float64{}}
	s.allowed = map[int]float64{}
	asked := map[int]float64{}
	for key, busy := range loads {
		if busy <= 0 {
			continue
		}
		next := &cell{share: allocation[key] / busy}
		if previous != nil && previous.cells[key] != nil {
			next.returned = previous.cells[key].returned
		}
		s.cells[key] = next
		s.short = s.short || next.share < 1
		s.allowed[key.Rank] += allocation[key] / max(capacity, allocation[key])
		asked[key.Rank] += busy
	}
	for rank, busy := range asked {
		s.ranks[rank] = s.allowed[rank] * capacity / busy
	}
	l.services[name] = s
}

func (l *limiter) Admit(now time.Time, name string, rank int, organisation string, requestHash uint64, returned bool) (time.Duration, bool) {
	s, ok := l.services[name]
	if !ok || !s.short || now.Sub(s.setAt) > loadsTTL {
		return 0, true
	}
	c, ok := s.cells[Key{Rank: rank, Organisation: organisation}]
	if !ok {
		// The smallest organisations are summed up where there are many.
		c, ok = s.cells[Key{Rank: rank, Rest: true}]
	}
	if !ok {
		// The work of the organisation is not in the sums yet.
		return 0, true
	}
	if unit(requestHash) < c.admitShare(returned) {
		return 0, true
	}
	return c.delay(), false
}

// returnedSmoothing is the number of requests over which the share of callers that have come
// back is averaged.
const returnedSmoothing = 32

// admitShare returns the share of new or returned callers that is admitted, so that together
// they get the share of the cell, and counts the request.
func (c *cell) admitShare(returned bool) float64 {
	if c.share >= 1 {
		return 1
	}
	fresh := c.share / (1 + (returnedWeight-1)*c.returned)
	again := returnedWeight * fresh
	if again > 1 {
		again = 1
		fresh = max(0, c.share-c.returned) / max(1-c.returned, 1e-9)
	}
	c.count(returned)
	if returned {
		return again
	}
	return fresh
}

func (c *cell) count(returned bool) {
	if returned {
		c.returned += (1 - c.returned) / returnedSmoothing
		return
	}
	c.returned -= c.returned / returnedSmoothing
}

// delay returns the time in which the cell's part of the capacity works off what is turned away
// in a second.
func (c *cell) delay() time.Duration {
	backlog := time.Duration((1/max(c.share, 1e-3) - 1) * float64(time.Second))
	return min(max(backlog, minDelay), maxDelay)
}

func (l *limiter) Ahead(now time.Time, name string, rank int) float64 {
	s, ok := l.services[name]
	if !ok || now.Sub(s.setAt) > loadsTTL {
		return 0
	}
	ahead := 0.0
	for other, share := range s.allowed {
		if other < rank {
			ahead += share
		}
	}
	return min(ahead, 1)
}

func (l *limiter) Shares(now time.Time, name string) (map[int]float64, bool) {
	s, ok := l.services[name]
	if !ok || now.Sub(s.setAt) > loadsTTL {
		return nil, false
	}
	return s.ranks, s.short
}

// unit mixes a hash and returns it as a number from zero to below one.
func unit(hash uint64) float64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	hash ^= hash >> 33
	return float64(hash>>11) / (1 << 53)
}
