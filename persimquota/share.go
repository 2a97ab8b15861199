package persimquota

import (
	"math"
	"time"
)

const (
	// smallUnsyncedShare is the share of a low level that a host of a small deployment
	// uses before it hears from the others again, since they see the same level.
	smallUnsyncedShare = 0.34
	// maxSmallHosts is the largest number of hosts of a small deployment, in which a
	// host's overdraft and unsynced share do not depend on the number of hosts.
	maxSmallHosts = 9
	// largeOvercommit is how many times the hosts of a large deployment may together
	// use a low level before they hear of each other again.
	largeOvercommit = 1
	// highLevelFactor multiplies the unsynced share where the level is high.
	highLevelFactor = 8
	// negligibleShare is the share of a request's cost up to which earlier cost that the
	// others have not heard of is neglected.
	negligibleShare = 0.1
	// recentNews is the age of the news of other hosts up to which a high level is believed.
	recentNews = 1000 * time.Millisecond
	// creditOverdraftShare is the share of the burst by which the level may be overdrawn
	// while hosts use their local credit, which grows no faster than the rate.
	creditOverdraftShare = 0.3
	// localCreditWindow is the time over which a host accumulates its share of the
	// rate as local credit.
	localCreditWindow = 3 * time.Second
	// highLevelShare is the share of the burst above which a level is high: hosts of
	// a small deployment then use it without a further limit.
	highLevelShare = 0.5
)

// large reports whether the deployment has so many hosts that those which see the
// same low level have to divide it.
func (l *limiter) large() bool { return l.hosts > maxSmallHosts }

// hostRate returns one host's equal share of an organisation's rate.
func (l *limiter) hostRate(b *bucket) float64 { return b.quota.PerSecond / float64(l.hosts) }

// maxLocalCredit returns the most local credit that a host may accumulate.
func (l *limiter) maxLocalCredit(b *bucket) float64 {
	return l.hostRate(b) * localCreditWindow.Seconds()
}

// allows reports whether this host may take a cost from the level.
func (l *limiter) allows(now time.Time, b *bucket, cost float64) bool {
	if b.level >= b.quota.Burst {
		return true
	}
	if l.large() && b.localCredit >= min(cost, l.maxLocalCredit(b)) && b.level >= -b.quota.Burst*creditOverdraftShare {
		return true
	}
	if b.level-cost < -l.hostOverdraft() {
		return false
	}
	if !l.large() && b.level-cost > b.quota.Burst*highLevelShare {
		return true
	}
	usable := (b.level + b.unsynced + l.hostOverdraft()) * l.unsyncedShare(now)
	if b.level-cost > b.quota.Burst*highLevelShare && l.wellInformed(now) {
		usable *= highLevelFactor
		if b.unsynced < cost*negligibleShare {
			return true
		}
	}
	if b.unsynced+cost <= usable {
		return true
	}
	return !l.large() && b.unsynced == 0
}

// wellInformed reports whether most other hosts were heard from very lately.
func (l *limiter) wellInformed(now time.Time) bool {
	heard := 0
	for _, p := range l.peers {
		if now.Sub(p.lastSeen) <= recentNews {
			heard += l.reachable(p, now)
		}
	}
	return 2*heard >= l.hosts-1
}

// hostOverdraft returns by how much this host may overdraw the level: each other host
// may do the same before they hear of each other.
func (l *limiter) hostOverdraft() float64 {
	return l.overdraft / float64(max(l.hosts, maxSmallHosts))
}

// unsyncedShare returns the share of the level that this host may use before it hears
// from the others. In a small deployment, unreachable hosts are left out, as their use is
// already reserved; in a large one all of them may see the level that was left when
// they became unreachable.
func (l *limiter) unsyncedShare(now time.Time) float64 {
	if l.large() {
		return largeOvercommit / float64(l.hosts)
	}
	reachable := 1
	for _, p := range l.peers {
		if now.Sub(p.lastSeen) <= l.peerTimeout {
			reachable += p.covered
		}
	}
	return max(smallUnsyncedShare, 1/float64(reachable))
}

// unheardShare returns the share of what this host admitted that the others have still
// not heard of after an observation of a peer: each host that it covers is one of them.
func (l *limiter) unheardShare(p *peer) float64 {
	return math.Pow(1-1/float64(max(2, l.hosts)-1), float64(p.covered))
}
