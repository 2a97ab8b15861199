package persimquota

import "time"

const (
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
	// ample is the part of a burst above which few hosts use the level as they like.
	ample = 0.5
)

// many reports whether there are so many hosts that those which see the same low
// level must part it.
func (q *quotas) many() bool { return len(q.peers)+1 > fewHosts }

// part is this host's equal part of an organisation's rate.
func (q *quotas) part(a *account) float64 { return a.quota.PerSecond / float64(len(q.peers)+1) }

// longestTurn is the most that a host may save of its part of the rate.
func (q *quotas) longestTurn(a *account) float64 { return q.part(a) * turnTime.Seconds() }

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
