package persimquota

import "time"

const (
	// DefaultPeerTimeout is the time without news after which a host counts as
	// unreachable. Hosts that exchange directly hear from each other several times a
	// second, all others by a sum that comes as often.
	DefaultPeerTimeout = 1200 * time.Millisecond
	// rateAverageWindow is the time over which the rate of another host is averaged.
	rateAverageWindow = 2 * time.Second
)

// peer is the state that this host keeps about another host, or about all others
// together where their sum is observed.
type peer struct {
	// hosts is the number of hosts that the peer stands for, covered the number of those
	// whose recent cost is in what was observed.
	hosts   int
	covered int
	// incarnation is empty until the peer was first observed.
	incarnation string
	lastSeen    time.Time
	// byOrganisation holds the costs of each organisation.
	byOrganisation map[string]*peerCost
}

// peerCost is what a peer admitted of one organisation's quota.
type peerCost struct {
	// admitted is the last observed total cost and rate the average cost per second.
	admitted float64
	rate     float64
	// reserved is the cost reserved for covered hosts since the last observation, missing
	// that for the others since they were last covered.
	reserved float64
	missing  float64
}

func newPeer(incarnation string, hosts int, now time.Time) *peer {
	return &peer{incarnation: incarnation, hosts: hosts, covered: hosts, lastSeen: now, byOrganisation: map[string]*peerCost{}}
}

func (p *peer) cost(organisation string) *peerCost {
	cost, ok := p.byOrganisation[organisation]
	if !ok {
		cost = &peerCost{}
		p.byOrganisation[organisation] = cost
	}
	return cost
}

// reachable returns the number of the peer's hosts that were heard from lately.
func (l *limiter) reachable(p *peer, now time.Time) int {
	if p.incarnation == "" || now.Sub(p.lastSeen) > l.peerTimeout {
		return 0
	}
	return p.covered
}

// assumedRates returns the rates that a peer is assumed to use at present. An unreachable
// host uses an equal share, as does a reachable one at least in a large deployment with
// a low level; otherwise the average rate is assumed.
func (l *limiter) assumedRates(p *peer, cost *peerCost, b *bucket, now time.Time) (covered, missing float64) {
	reachable := l.reachable(p, now)
	missing = l.hostRate(b) * float64(p.hosts-reachable)
	if reachable == 0 {
		return 0, missing
	}
	if l.large() && b.level < b.quota.Burst*highLevelShare {
		return max(cost.rate, l.hostRate(b)*float64(reachable)), missing
	}
	return cost.rate, missing
}

func (l *limiter) Observe(now, at time.Time, host, incarnation string, admitted map[string]float64) {
	l.observe(now, at, host, incarnation, 1, admitted)
}

func (l *limiter) ObserveSum(now, at time.Time, covered int, admitted map[string]float64) {
	l.observe(now, at, allOthers, allOthers, covered, admitted)
}

func (l *limiter) observe(now, at time.Time, name, incarnation string, covered int, admitted map[string]float64) {
	p, ok := l.peers[name]
	if !ok || p.incarnation == incarnation && !at.After(p.lastSeen) {
		return
	}
	l.refill(now)
	if p.incarnation != incarnation {
		p = l.restartPeer(at, name, incarnation, admitted)
	}
	wasMissing := p.hosts - l.reachable(p, now)
	interval := at.Sub(p.lastSeen).Seconds()
	p.lastSeen = at
	p.covered = min(covered, p.hosts)
	regained := regainedShare(wasMissing, p.hosts-p.covered)
	for name, b := range l.buckets {
		l.observeCost(b, p.cost(name), admitted[name], interval, now.Sub(at).Seconds())
		b.returnMissing(p.cost(name), regained)
		b.unsynced *= l.unheardShare(p)
	}
}

// observeCost charges what a peer admitted since the last observation in place of what
// was reserved for it. The observation is age seconds old.
func (l *limiter) observeCost(b *bucket, cost *peerCost, admitted, interval, age float64) {
	used := admitted - cost.admitted
	cost.admitted = admitted
	if interval > 0 {
		weight := min(1, interval/rateAverageWindow.Seconds())
		cost.rate += (max(0, used)/interval - cost.rate) * weight
	}
	estimated := cost.rate * age
	b.level += cost.reserved - used - estimated
	cost.reserved = estimated
}

// regainedShare returns the share of the hosts that were missing and no longer are.
func regainedShare(before, after int) float64 {
	if before <= 0 || after >= before {
		return 0
	}
	return float64(before-after) / float64(before)
}

// returnMissing returns a share of what was reserved for hosts that were not covered:
// from now on what they admitted is observed.
func (b *bucket) returnMissing(cost *peerCost, share float64) {
	returned := cost.missing * share
	cost.missing -= returned
	b.level += returned
}

// restartPeer replaces a peer by its new incarnation. Of the cost that a host admitted
// before it was first observed, at most the amount reserved for it is charged: the
// rest was spent earlier.
func (l *limiter) restartPeer(at time.Time, name, incarnation string, admitted map[string]float64) *peer {
	previous := l.peers[name]
	p := newPeer(incarnation, previous.hosts, at)
	for organisation, old := range previous.byOrganisation {
		cost := p.cost(organisation)
		cost.reserved = old.reserved + old.missing
		if previous.incarnation == "" {
			cost.admitted = admitted[organisation] - min(admitted[organisation], cost.reserved)
		}
	}
	l.peers[name] = p
	return p
}
