package persimpressure

import "time"

const (
	// maxHops is the number of messages after which the time of a request is not passed on,
	// so that none goes round and seems new each time.
	maxHops = 4
	// endNewsTime is how long hosts are told that a limit has ended.
	endNewsTime = 30 * time.Second
	// maxVersion bounds versions that another host sends.
	maxVersion = 1 << 62
)

// News is what a host tells another of the limit of an upstream.
type News struct {
	// Upstream is the hash of the upstream's incarnation.
	Upstream uint64
	// Named is set if the upstream names a limit, of Limit requests a second.
	Named bool
	Limit float64
	// Version counts the changes of the limit.
	Version uint64
	// Age is the time since a request to the upstream was last sent or answered, Hops the
	// number of messages that brought that to the sender.
	Age  time.Duration
	Hops int
}

func (p *pressure) News(now time.Time) []News {
	var list []News
	for key, s := range p.asking {
		l := &s.limit
		if l.version == 0 || !l.named && now.Sub(l.changedAt) > endNewsTime {
			continue
		}
		list = append(list, News{
			Upstream: key, Named: l.named, Limit: l.perSecond, Version: l.version, Age: now.Sub(l.heardAt), Hops: l.hops,
		})
	}
	return list
}

func (p *pressure) Merge(now time.Time, received []News) []Change {
	var changes []Change
	for _, news := range received {
		s, ok := p.upstreams[news.Upstream]
		if !ok || news.Version == 0 || news.Version > maxVersion || !validLimit(news.Limit) {
			continue
		}
		if s.limit.outdatedBy(news) {
			s.limit.version = news.Version
			if change, ok := p.setLimit(now, s, news.Named, news.Limit); ok {
				change.Age = news.Age
				changes = append(changes, change)
			}
		}
		if news.Hops < maxHops {
			s.limit.hear(now.Add(-max(0, news.Age)), news.Hops+1)
		}
	}
	return changes
}

// outdatedBy reports whether another host knows more. Where two have seen different changes
// at the same time, the lower limit holds.
func (l *limit) outdatedBy(news News) bool {
	if news.Version != l.version {
		return news.Version > l.version
	}
	return news.Named && (!l.named || news.Limit < l.perSecond)
}
