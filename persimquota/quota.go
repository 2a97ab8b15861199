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
	// DefaultSilence is the time after which a host counts as out of reach; ten
	// hosts hear each other several times a second, seventy in 1.5 s.
	DefaultSilence = 1200 * time.Millisecond
	// silencePerHost is added for each host.
	silencePerHost = 30 * time.Millisecond
	// rateWindow is the time over which the rate of another host is averaged.
	rateWindow = 2 * time.Second
	// firstLevel is the part of a burst that is there at the start, since an earlier
	// process may just have used the rest. Hosts that start together part it.
	firstLevel = 0.5
	minWait    = 50 * time.Millisecond
	// ownShare is the part of a low level that one host uses before it hears from
	// the others again, which see the same level.
	ownShare = 0.34
	// fewHosts is the number of hosts up to which each has the same slack and the
	// same share.
	fewHosts = 9
	// sharesOfMany is how often many hosts together use a low level before they hear
	// of each other again.
	sharesOfMany = 2
	// ampleFactor is by how much more of an ample level one of many hosts uses.
	ampleFactor = 4
	// turnTime is the time for which a host saves its part of the rate.
	turnTime = 3 * time.Second
	// ample is the part of a burst above which a host uses the level as it likes.
	ample = 0.5
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

type peer struct {
	incarnation string
	heard       time.Time
	admitted    map[string]float64
	rates       map[string]float64
	// presumed is what was set aside since the host was last heard.
	presumed map[string]float64
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

func newPeer(incarnation string, now time.Time) *peer {
	return &peer{
		incarnation: incarnation,
		heard:       now,
		admitted:    map[string]float64{},
		rates:       map[string]float64{},
		presumed:    map[string]float64{},
	}
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

// part is this host's equal part of an organisation's rate.
func (q *quotas) part(a *account) float64 { return a.quota.PerSecond / float64(len(q.peers)+1) }

// longestTurn is the most that a host may save of its part of the rate.
func (q *quotas) longestTurn(a *account) float64 { return q.part(a) * turnTime.Seconds() }

// presumption is the rate that another host is taken to use just now.
func (q *quotas) presumption(p *peer, organisation string, a *account, now time.Time) float64 {
	if p.incarnation == "" || now.Sub(p.heard) > q.longestSilence() {
		return q.part(a)
	}
	if q.many() && a.level < a.quota.Burst*ample {
		return max(p.rates[organisation], q.part(a))
	}
	return p.rates[organisation]
}

// many reports whether there are so many hosts that those which see the same low
// level must part it.
func (q *quotas) many() bool { return len(q.peers)+1 > fewHosts }

func (q *quotas) longestSilence() time.Duration {
	return q.silence + time.Duration(len(q.peers))*silencePerHost
}

func (q *quotas) Admit(now time.Time, organisation string, cost float64) (time.Duration, bool) {
	a, ok := q.accounts[organisation]
	if !ok || a.quota.PerSecond <= 0 {
		return 0, true
	}
	q.refill(now)
	if !q.covered(now, a, cost) {
		missing := min(cost-q.slack(), a.quota.Burst) - a.level
		wait := time.Duration(missing / a.quota.PerSecond * float64(time.Second))
		return max(wait, minWait), false
	}
	a.level -= cost
	a.admitted += cost
	a.unheard += cost
	a.turn = max(a.turn-cost, -q.longestTurn(a))
	return 0, true
}

// covered reports whether the level has room for a cost.
func (q *quotas) covered(now time.Time, a *account, cost float64) bool {
	if a.level >= a.quota.Burst {
		return true
	}
	if a.level-cost < -q.slack() {
		return false
	}
	if !q.many() && a.level-cost > a.quota.Burst*ample {
		return true
	}
	usable := (a.level + a.unheard + q.slack()) * q.share(now)
	if a.level-cost > a.quota.Burst*ample {
		usable *= ampleFactor
	}
	if a.unheard+cost <= usable {
		return true
	}
	return a.unheard == 0 && (!q.many() || a.turn >= min(cost, q.longestTurn(a)))
}

// slack is how far this host may go beyond the level: each other one may do the same
// before they hear of each other.
func (q *quotas) slack() float64 {
	return q.overdraft / float64(max(len(q.peers)+1, fewHosts))
}

// share is the part of the level that this host may use unheard. What is left for
// silent hosts was set aside already.
func (q *quotas) share(now time.Time) float64 {
	reached := 1
	for _, p := range q.peers {
		if now.Sub(p.heard) <= q.longestSilence() {
			reached++
		}
	}
	own := ownShare
	if q.many() {
		own = sharesOfMany / float64(len(q.peers)+1)
	}
	return max(own, 1/float64(reached))
}

func (q *quotas) Refund(organisation string, cost float64) {
	if a, ok := q.accounts[organisation]; ok {
		a.level += cost
		a.admitted -= cost
	}
}

func (q *quotas) Observe(now, at time.Time, host, incarnation string, admitted map[string]float64) {
	p, ok := q.peers[host]
	if !ok || p.incarnation == incarnation && !at.After(p.heard) {
		return
	}
	q.refill(now)
	if p.incarnation != incarnation {
		p = q.replace(at, host, incarnation, admitted)
	}
	elapsed := at.Sub(p.heard).Seconds()
	p.heard = at
	for name, a := range q.accounts {
		used := admitted[name] - p.admitted[name]
		if elapsed > 0 {
			weight := min(1, elapsed/rateWindow.Seconds())
			p.rates[name] += (max(0, used)/elapsed - p.rates[name]) * weight
		}
		since := p.rates[name] * now.Sub(at).Seconds()
		a.level += p.presumed[name] - used - since
		p.presumed[name] = since
		a.unheard -= a.unheard / float64(len(q.peers))
	}
	p.admitted = admitted
}

// replace takes a new start of a host. Of what a host admitted before it was first
// heard, no more counts than was set aside for it: the rest is over.
func (q *quotas) replace(at time.Time, host, incarnation string, admitted map[string]float64) *peer {
	former := q.peers[host]
	p := newPeer(incarnation, at)
	p.presumed = former.presumed
	if former.incarnation == "" {
		for name, sum := range admitted {
			p.admitted[name] = sum - min(sum, p.presumed[name])
		}
	}
	q.peers[host] = p
	return p
}

func (q *quotas) Admitted() map[string]float64 {
	sums := make(map[string]float64, len(q.accounts))
	for name, a := range q.accounts {
		sums[name] = a.admitted
	}
	return sums
}
