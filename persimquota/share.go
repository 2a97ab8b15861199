package persimquota

import "time"

const (
	// smallUnsyncedShare is the share of a low level that a host of a small deployment
	// uses before it hears from the others again, since they see the same level.
	smallUnsyncedShare = 0.34
	// maxSmallHosts is the largest number of hosts of a small deployment, in which a
	// host's overdraft and unsynced share do not depend on the number of hosts.
	maxSmallHosts = 9
	// largeOvercommit is how many times the hosts of a large deployment may together
	// use a low level before they hear of each other again.
	largeOvercommit = 2
	// highLevelFactor multiplies the unsynced share where the level is high.
	highLevelFactor = 4
	// localCreditWindow is the time over which a host accumulates its share of the
	// rate as local credit.
	localCreditWindow = 3 * time.Second
	// highLevelShare is the share of the burst above which a level is high: hosts of
	// a small deployment then use it without a further limit.
	highLevelShare = 0.5
)

// large reports whether the deployment has so many hosts that those which see the
// same low level have to divide it.
func (l *limiter) large() bool { return len(l.peers)+1 > maxSmallHosts }

// hostRate returns one host's equal share of an organisation's rate.
func (l *limiter) hostRate(b *bucket) float64 { return b.quota.PerSecond / float64(len(l.peers)+1) }

// maxLocalCredit returns the most local credit that a host may accumulate.
func (l *limiter) maxLocalCredit(b *bucket) float64 {
	return l.hostRate(b) * localCreditWindow.Seconds()
}

// allows reports whether this host may take a cost from the level.
func (l *limiter) allows(now time.Time, b *bucket, cost float64) bool {
	if b.level >= b.quota.Burst {
		return true
	}
	if b.level-cost < -l.hostOverdraft() {
		return false
	}
	if !l.large() && b.level-cost > b.quota.Burst*highLevelShare {
		return true
	}
	usable := (b.level + b.unsynced + l.hostOverdraft()) * l.unsyncedShare(now)
	if b.level-cost > b.quota.Burst*highLevelShare {
		usable *= highLevelFactor
	}
	if b.unsynced+cost <= usable {
		return true
	}
	return b.unsynced == 0 && (!l.large() || b.localCredit >= min(cost, l.maxLocalCredit(b)))
}

// hostOverdraft returns by how much this host may overdraw the level: each other host
// may do the same before they hear of each other.
func (l *limiter) hostOverdraft() float64 {
	return l.overdraft / float64(max(len(l.peers)+1, maxSmallHosts))
}

// unsyncedShare returns the share of the level that this host may use before it hears
// from the others. Unreachable hosts are left out, as their use is already reserved.
func (l *limiter) unsyncedShare(now time.Time) float64 {
	reachable := 1
	for _, p := range l.peers {
		if now.Sub(p.lastSeen) <= l.peerTimeout() {
			reachable++
		}
	}
	share := smallUnsyncedShare
	if l.large() {
		share = largeOvercommit / float64(len(l.peers)+1)
	}
	return max(share, 1/float64(reachable))
}
