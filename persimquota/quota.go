// Package persimquota enforces quotas of organisations across all hosts without a
// call between hosts for each request.
//
// It is built for an organisation that sends many times its usual rate to all hosts
// at once while some hosts cannot reach each other. Each host keeps a token bucket
// for an organisation, counts what it admits and learns what the others admitted.
// For an unreachable host it reserves an equal share of the rate, which is also the
// most that the other host then admits.
package persimquota

import (
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	// initialLevelShare is the share of the burst that is available at the start,
	// since a previous process may just have used the rest. Hosts that start together
	// divide it among themselves.
	initialLevelShare = 0.5
	// minWait is the shortest wait that Admit returns.
	minWait = 50 * time.Millisecond
)

type config struct {
	basePeerTimeout time.Duration
	overdraft       float64
}

// Option changes the configuration of a limiter.
type Option func(*config)

// WithPeerTimeout sets the time without news after which a host counts as
// unreachable.
func WithPeerTimeout(timeout time.Duration) Option {
	return func(c *config) { c.basePeerTimeout = timeout }
}

// WithOverdraft sets by how much, in units of the quota, all hosts together may
// overdraw the level.
func WithOverdraft(units float64) Option { return func(c *config) { c.overdraft = units } }

// Limiter limits the requests of organisations. It is not safe for concurrent use.
type Limiter interface {
	// SetQuotas replaces the quotas, by organisation.
	SetQuotas(now time.Time, quotas map[string]persimcatalog.Quota)
	// SetHosts replaces the other hosts.
	SetHosts(now time.Time, hosts []string)
	// Admit takes the cost from the organisation's quota, or returns the time until
	// the quota covers it.
	Admit(now time.Time, organisation string, cost float64) (time.Duration, bool)
	// Refund returns the cost of a request that did not run.
	Refund(organisation string, cost float64)
	// Observe records the cost that an incarnation of another host had admitted from
	// its start until a time, by organisation. Outdated observations are ignored.
	Observe(now, at time.Time, host, incarnation string, admitted map[string]float64)
	// Admitted returns the cost admitted here since the start, by organisation.
	Admitted() map[string]float64
}

// bucket is the token bucket of one organisation.
type bucket struct {
	quota persimcatalog.Quota
	// level is the cost that all hosts together may still admit, as estimated by this
	// host. It is negative while the quota is overdrawn.
	level float64
	// admitted is the cost admitted here since the start.
	admitted float64
	// unsynced is the cost admitted here since the last news of the other hosts. Each
	// observation of one of n other hosts reduces it by 1/n.
	unsynced float64
	// localCredit is what this host of a large deployment may still take of a low
	// level.
	localCredit float64
}

type limiter struct {
	config
	refilledAt time.Time
	buckets    map[string]*bucket
	peers      map[string]*peer
}

// New returns a limiter without quotas.
func New(opts ...Option) Limiter {
	c := config{basePeerTimeout: DefaultPeerTimeout}
	for _, opt := range opts {
		opt(&c)
	}
	return &limiter{config: c, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

func (l *limiter) SetQuotas(now time.Time, quotas map[string]persimcatalog.Quota) {
	l.refill(now)
	for name, quota := range quotas {
		existing, ok := l.buckets[name]
		if !ok {
			l.addBucket(name, quota)
			continue
		}
		existing.quota = quota
		existing.level = min(existing.level, quota.Burst)
	}
	for name := range l.buckets {
		if _, ok := quotas[name]; !ok {
			delete(l.buckets, name)
		}
	}
}

// addBucket adds a bucket and reserves the initial share of each host that was not
// observed yet.
func (l *limiter) addBucket(name string, quota persimcatalog.Quota) {
	b := &bucket{quota: quota, level: quota.Burst * initialLevelShare}
	l.buckets[name] = b
	for _, p := range l.peers {
		if p.incarnation == "" {
			b.reserveInitial(name, p, len(l.peers)+1)
		}
	}
}

// reserveInitial reserves the share of the initial level that another host has at
// its start.
func (b *bucket) reserveInitial(name string, p *peer, hosts int) {
	initial := b.quota.Burst * initialLevelShare / float64(hosts)
	b.level -= initial
	p.reserved[name] += initial
}

func (l *limiter) SetHosts(now time.Time, hosts []string) {
	l.refill(now)
	next := map[string]*peer{}
	for _, host := range hosts {
		existing, ok := l.peers[host]
		if !ok {
			existing = newPeer("", now)
			for name, b := range l.buckets {
				b.reserveInitial(name, existing, len(hosts)+1)
			}
		}
		next[host] = existing
	}
	l.peers = next
}

// refill adds the quotas' rates to the levels and reserves what the other hosts are
// assumed to use.
func (l *limiter) refill(now time.Time) {
	elapsed := now.Sub(l.refilledAt).Seconds()
	if l.refilledAt.IsZero() || elapsed <= 0 {
		l.refilledAt = now
		return
	}
	l.refilledAt = now
	for name, b := range l.buckets {
		gained := b.quota.PerSecond * elapsed
		for _, p := range l.peers {
			used := l.assumedRate(p, name, b, now) * elapsed
			p.reserved[name] += used
			gained -= used
		}
		b.level = min(b.level+gained, b.quota.Burst)
		b.localCredit = min(b.localCredit+l.hostRate(b)*elapsed, l.maxLocalCredit(b))
	}
}

func (l *limiter) Admit(now time.Time, organisation string, cost float64) (time.Duration, bool) {
	b, ok := l.buckets[organisation]
	if !ok || b.quota.PerSecond <= 0 {
		return 0, true
	}
	l.refill(now)
	if !l.allows(now, b, cost) {
		return l.wait(b, cost), false
	}
	b.level -= cost
	b.admitted += cost
	b.unsynced += cost
	b.localCredit = max(b.localCredit-cost, -l.maxLocalCredit(b))
	return 0, true
}

// wait returns the time until the level, and in a large deployment also the local
// credit, cover a cost.
func (l *limiter) wait(b *bucket, cost float64) time.Duration {
	seconds := (min(cost-l.hostOverdraft(), b.quota.Burst) - b.level) / b.quota.PerSecond
	if l.large() {
		seconds = max(seconds, (min(cost, l.maxLocalCredit(b))-b.localCredit)/l.hostRate(b))
	}
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}

func (l *limiter) Refund(organisation string, cost float64) {
	if b, ok := l.buckets[organisation]; ok {
		b.level += cost
		b.admitted -= cost
	}
}

func (l *limiter) Admitted() map[string]float64 {
	totals := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		totals[name] = b.admitted
	}
	return totals
}
