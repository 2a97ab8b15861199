package persimquota

import "time"

const (
	// DefaultSilence is the time after which a host counts as out of reach; ten
	// hosts hear each other several times a second, seventy in 1.5 s.
	DefaultSilence = 1200 * time.Millisecond
	// silencePerHost is added for each host.
	silencePerHost = 30 * time.Millisecond
	// rateWindow is the time over which the rate of another host is averaged.
	rateWindow = 2 * time.Second
)

type peer struct {
	incarnation string
	heard       time.Time
	admitted    map[string]float64
	rates       map[string]float64
	// presumed is what was set aside since the host was last heard.
	presumed map[string]float64
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

func (q *quotas) longestSilence() time.Duration {
	return q.silence + time.Duration(len(q.peers))*silencePerHost
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
