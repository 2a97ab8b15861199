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
	peerTimeout time.Duration
	overdraft   float64
}

// Option changes the configuration of a limiter.
type Option func(*config)

// WithPeerTimeout sets the time without news after which a host counts as
// unreachable.
func WithPeerTimeout(timeout time.Duration) Option {
	return func(c *config) { c.peerTimeout = timeout }
}

// WithOverdraft sets by how much, in units of the quota, all hosts together may
// overdraw the level.
func WithOverdraft(units float64) Option { return func(c *config) { c.overdraft = units } }

// Limiter limits the requests of organisations. It is not safe for concurrent use.
type Limiter interface {
	// SetQuotas replaces the quotas, by organisation.
	SetQuotas(now time.Time, quotas map[string]persimcatalog.Quota)
	// SetHosts replaces the other hosts, each of which is observed.
	SetHosts(now time.Time, hosts []string)
	// SetHostCount sets the number of the other hosts, of which only the sum is observed.
	SetHostCount(now time.Time, hosts int)
	// Admit takes the cost from the organisation's quota, or returns the time until
	// the quota covers it.
	Admit(now time.Time, organisation string, cost float64) (time.Duration, bool)
	// Refund returns the cost of a request that did not run.
	Refund(organisation string, cost float64)
	// Observe records the cost that an incarnation of another host had admitted from
	// its start until a time, by organisation. Outdated observations are ignored.
	Observe(now, at time.Time, host, incarnation string, admitted map[string]float64)
	// ObserveSum records the cost that all other hosts together had admitted until a time,
	// by organisation, which never falls. Covered is the number of hosts whose recent cost
	// is in it.
	ObserveSum(now, at time.Time, covered int, admitted map[string]float64)
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
	refilledAt  time.Time
}

// allOthers is the name of the peer that stands for all other hosts.
const allOthers = "*"

type limiter struct {
	config
	// hosts is the number of all hosts, including this one.
	hosts   int
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns a limiter without quotas.
func New(opts ...Option) Limiter {
	c := config{peerTimeout: DefaultPeerTimeout}
	for _, opt := range opts {
		opt(&c)
	}
	return &limiter{config: c, hosts: 1, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

func (l *limiter) SetQuotas(now time.Time, quotas map[string]persimcatalog.Quota) {
	l.refill(now)
	for name, quota := range quotas {
		existing, ok := l.buckets[name]
		if !ok {
			l.addBucket(now, name, quota)
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
func (l *limiter) addBucket(now time.Time, name string, quota persimcatalog.Quota) {
	b := &bucket{quota: quota, level: quota.Burst * initialLevelShare, refilledAt: now}
	l.buckets[name] = b
	for _, p := range l.peers {
		if p.incarnation == "" {
			l.reserveInitial(name, b, p, p.hosts)
		}
	}
}

// reserveInitial reserves the share of the initial level that a number of a peer's hosts
// have at their start.
func (l *limiter) reserveInitial(name string, b *bucket, p *peer, hosts int) {
	initial := b.quota.Burst * initialLevelShare * float64(hosts) / float64(l.hosts)
	b.level -= initial
	p.cost(name).reserved += initial
}

func (l *limiter) SetHosts(now time.Time, hosts []string) {
	l.refill(now)
	l.hosts = len(hosts) + 1
	next := map[string]*peer{}
	for _, host := range hosts {
		existing, ok := l.peers[host]
		if !ok {
			existing = newPeer("", 1, now)
			l.reserveInitialOfAll(existing, 1)
		}
		next[host] = existing
	}
	l.peers = next
}

func (l *limiter) SetHostCount(now time.Time, hosts int) {
	l.refill(now)
	l.hosts = hosts + 1
	p, ok := l.peers[allOthers]
	if !ok {
		p = newPeer("", 0, now)
		l.peers = map[string]*peer{allOthers: p}
	}
	added := hosts - p.hosts
	p.hosts = hosts
	p.covered = min(p.covered, hosts)
	if added > 0 && p.incarnation == "" {
		l.reserveInitialOfAll(p, added)
	}
}

func (l *limiter) reserveInitialOfAll(p *peer, hosts int) {
	for name, b := range l.buckets {
		l.reserveInitial(name, b, p, hosts)
	}
}

// refill brings all buckets up to date.
func (l *limiter) refill(now time.Time) {
	for name, b := range l.buckets {
		l.refillBucket(now, name, b)
	}
}

// refillBucket adds the quota's rate to the level and reserves what the other hosts are
// assumed to use.
func (l *limiter) refillBucket(now time.Time, name string, b *bucket) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	gained := b.quota.PerSecond * elapsed
	for _, p := range l.peers {
		cost := p.cost(name)
		covered, missing := l.assumedRates(p, cost, b, now)
		cost.reserved += covered * elapsed
		cost.missing += missing * elapsed
		gained -= (covered + missing) * elapsed
	}
	b.level = min(b.level+gained, b.quota.Burst)
	b.localCredit = min(b.localCredit+l.hostRate(b)*elapsed, l.maxLocalCredit(b))
}

func (l *limiter) Admit(now time.Time, organisation string, cost float64) (time.Duration, bool) {
	b, ok := l.buckets[organisation]
	if !ok || b.quota.PerSecond <= 0 {
		return 0, true
	}
	l.refillBucket(now, organisation, b)
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
