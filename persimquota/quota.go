// Package persimquota holds organisations to quotas that all hosts share, without
// a call for each request.
//
// It answers this load: an organisation sends many times its usual to all hosts at
// once while some hosts cannot hear each other. Each host counts what it admits
// and learns what others admitted. For a host that it cannot hear it sets an equal
// part of the rate aside, which is also all that the other one then allows itself.
package persimquota

import (
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	// firstLevel is the part of a burst that is there at the start, since an earlier
	// process may just have used the rest. Hosts that start together part it.
	firstLevel = 0.5
	minWait    = 50 * time.Millisecond
)

type config struct {
	silence   time.Duration
	overdraft float64
}

// An Option changes the configuration of a ledger of quotas.
type Option func(*config)

// WithSilence sets the time after which a host counts as out of reach.
func WithSilence(silence time.Duration) Option { return func(c *config) { c.silence = silence } }

// WithOverdraft sets how far, in units of the quota, the admission of all hosts
// together may go beyond the level.
func WithOverdraft(units float64) Option { return func(c *config) { c.overdraft = units } }

// Quotas admits requests of organisations. It is not safe for concurrent use.
type Quotas interface {
	// SetQuotas replaces the quotas, by organisation.
	SetQuotas(now time.Time, quotas map[string]persimcatalog.Quota)
	// SetHosts replaces the other hosts.
	SetHosts(now time.Time, hosts []string)
	// Admit takes the cost from the organisation's quota, or returns the time after
	// which there is room for it.
	Admit(now time.Time, organisation string, cost float64) (time.Duration, bool)
	// Refund returns the cost of a request that did not run.
	Refund(organisation string, cost float64)
	// Observe takes over what a host's incarnation had admitted since its start at
	// a time. What is older than known is left out.
	Observe(now, at time.Time, host, incarnation string, admitted map[string]float64)
	// Admitted returns what was admitted here since the start, by organisation.
	Admitted() map[string]float64
}

type account struct {
	quota    persimcatalog.Quota
	level    float64
	admitted float64
	// unheard is what was admitted here since the other hosts were heard.
	unheard float64
	// turn is what this host may still take of a low level, as one of many.
	turn float64
}
type quotas struct {
	config
	at       time.Time
	accounts map[string]*account
	peers    map[string]*peer
}

// New returns a ledger without quotas.
func New(opts ...Option) Quotas {
	c := config{silence: DefaultSilence}
	for _, opt := range opts {
		opt(&c)
	}
	return &quotas{config: c, accounts: map[string]*account{}, peers: map[string]*peer{}}
}

func (q *quotas) SetQuotas(now time.Time, limits map[string]persimcatalog.Quota) {
	q.refill(now)
	for name, quota := range limits {
		known, ok := q.accounts[name]
		if !ok {
			q.open(name, quota)
			continue
		}
		known.quota = quota
		known.level = min(known.level, quota.Burst)
	}
	for name := range q.accounts {
		if _, ok := limits[name]; !ok {
			delete(q.accounts, name)
		}
	}
}

// open adds an account of which each host that was not heard yet has a part.
func (q *quotas) open(name string, quota persimcatalog.Quota) {
	a := &account{quota: quota, level: quota.Burst * firstLevel}
	q.accounts[name] = a
	for _, p := range q.peers {
		if p.incarnation == "" {
			a.setAside(name, p, len(q.peers)+1)
		}
	}
}

// setAside takes the part off the level that another host has at its start.
func (a *account) setAside(name string, p *peer, hosts int) {
	part := a.quota.Burst * firstLevel / float64(hosts)
	a.level -= part
	p.presumed[name] += part
}

func (q *quotas) SetHosts(now time.Time, hosts []string) {
	q.refill(now)
	next := map[string]*peer{}
	for _, host := range hosts {
		known, ok := q.peers[host]
		if !ok {
			known = newPeer("", now)
			for name, a := range q.accounts {
				a.setAside(name, known, len(hosts)+1)
			}
		}
		next[host] = known
	}
	q.peers = next
}

// refill adds what the rates give and sets aside what silent hosts may use.
func (q *quotas) refill(now time.Time) {
	elapsed := now.Sub(q.at).Seconds()
	if q.at.IsZero() || elapsed <= 0 {
		q.at = now
		return
	}
	q.at = now
	for name, a := range q.accounts {
		gained := a.quota.PerSecond * elapsed
		for _, p := range q.peers {
			used := q.presumption(p, name, a, now) * elapsed
			p.presumed[name] += used
			gained -= used
		}
		a.level = min(a.level+gained, a.quota.Burst)
		a.turn = min(a.turn+q.part(a)*elapsed, q.longestTurn(a))
	}
}

func (q *quotas) Admit(now time.Time, organisation string, cost float64) (time.Duration, bool) {
	a, ok := q.accounts[organisation]
	if !ok || a.quota.PerSecond <= 0 {
		return 0, true
	}
	q.refill(now)
	if !q.covered(now, a, cost) {
		return q.wait(a, cost), false
	}
	a.level -= cost
	a.admitted += cost
	a.unheard += cost
	a.turn = max(a.turn-cost, -q.longestTurn(a))
	return 0, true
}

// wait is the time after which the level, and this host's turn, have room for a cost.
func (q *quotas) wait(a *account, cost float64) time.Duration {
	missing := (min(cost-q.slack(), a.quota.Burst) - a.level) / a.quota.PerSecond
	if q.many() {
		missing = max(missing, (min(cost, q.longestTurn(a))-a.turn)/q.part(a))
	}
	return max(time.Duration(missing*float64(time.Second)), minWait)
}

func (q *quotas) Refund(organisation string, cost float64) {
	if a, ok := q.accounts[organisation]; ok {
		a.level += cost
		a.admitted -= cost
	}
}

func (q *quotas) Admitted() map[string]float64 {
	sums := make(map[string]float64, len(q.accounts))
	for name, a := range q.accounts {
		sums[name] = a.admitted
	}
	return sums
}
