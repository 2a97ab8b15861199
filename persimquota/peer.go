package persimquota

import "time"

const (
	// DefaultPeerTimeout is the time without news after which a host counts as
	// unreachable. Ten hosts hear from each other several times a second, seventy
	// hosts once in 1.5 s.
	DefaultPeerTimeout = 1200 * time.Millisecond
	// peerTimeoutPerHost is added to the timeout for each other host.
	peerTimeoutPerHost = 30 * time.Millisecond
	// rateAverageWindow is the time over which the rate of another host is averaged.
	rateAverageWindow = 2 * time.Second
)

// peer is the state that this host keeps about another host.
type peer struct {
	// incarnation is empty until the host was first observed.
	incarnation string
	lastSeen    time.Time
	// admitted is the last observed total cost and rates the average cost per second, by
	// organisation.
	admitted map[string]float64
	rates    map[string]float64
	// reserved is the cost reserved for the host since it was last observed, by
	// organisation.
	reserved map[string]float64
}

func newPeer(incarnation string, now time.Time) *peer {
	return &peer{
		incarnation: incarnation,
		lastSeen:    now,
		admitted:    map[string]float64{},
		rates:       map[string]float64{},
		reserved:    map[string]float64{},
	}
}

// assumedRate returns the rate that another host is assumed to use at present: an equal
// share if it is unreachable, or at least that share in a large deployment with a low
// level, otherwise its average rate.
func (l *limiter) assumedRate(p *peer, organisation string, b *bucket, now time.Time) float64 {
	if p.incarnation == "" || now.Sub(p.lastSeen) > l.peerTimeout() {
		return l.hostRate(b)
	}
	if l.large() && b.level < b.quota.Burst*highLevelShare {
		return max(p.rates[organisation], l.hostRate(b))
	}
	return p.rates[organisation]
}

func (l *limiter) peerTimeout() time.Duration {
	return l.basePeerTimeout + time.Duration(len(l.peers))*peerTimeoutPerHost
}

func (l *limiter) Observe(now, at time.Time, host, incarnation string, admitted map[string]float64) {
	p, ok := l.peers[host]
	if !ok || p.incarnation == incarnation && !at.After(p.lastSeen) {
		return
	}
	l.refill(now)
	if p.incarnation != incarnation {
		p = l.restartPeer(at, host, incarnation, admitted)
	}
	interval := at.Sub(p.lastSeen).Seconds()
	p.lastSeen = at
	for name, b := range l.buckets {
		used := admitted[name] - p.admitted[name]
		if interval > 0 {
			weight := min(1, interval/rateAverageWindow.Seconds())
			p.rates[name] += (max(0, used)/interval - p.rates[name]) * weight
		}
		estimated := p.rates[name] * now.Sub(at).Seconds()
		b.level += p.reserved[name] - used - estimated
		p.reserved[name] = estimated
		b.unsynced -= b.unsynced / float64(len(l.peers))
	}
	p.admitted = admitted
}

// restartPeer replaces a peer by its new incarnation. Of the cost that a host admitted
// before it was first observed, at most the amount reserved for it is charged: the
// rest was spent earlier.
func (l *limiter) restartPeer(at time.Time, host, incarnation string, admitted map[string]float64) *peer {
	previous := l.peers[host]
	p := newPeer(incarnation, at)
	p.reserved = previous.reserved
	if previous.incarnation == "" {
		for name, total := range admitted {
			p.admitted[name] = total - min(total, p.reserved[name])
		}
	}
	l.peers[host] = p
	return p
}
