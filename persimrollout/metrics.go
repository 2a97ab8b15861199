package persimrollout

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxStrata bounds the counts of one order at the lease holder.
	maxStrata = 4096
	// snapshotInterval is the time between snapshots of the counts.
	snapshotInterval = time.Second
)

// metrics are the counts of all hosts since the order, with snapshots of former times.
type metrics struct {
	counts []*Count
	index  map[stratum]int
	// snapshots are in the order of time, the older ones further apart.
	snapshots []snapshot
}

// snapshot is a copy of the counts at a time.
type snapshot struct {
	at     time.Time
	counts []Count
}

// since returns what a count has counted beyond a former one.
func (c Count) since(former Count) Count {
	c.Begun = max(0, c.Begun-former.Begun)
	c.Ended = max(0, c.Ended-former.Ended)
	c.Failed = max(0, c.Failed-former.Failed)
	for i := range Buckets {
		c.First[i] -= min(c.First[i], former.First[i])
		c.Pace[i] -= min(c.Pace[i], former.Pace[i])
	}
	return c
}

// add adds what a host has counted since its last report.
func (m *metrics) add(more Count) {
	key := more.stratum()
	place, ok := m.index[key]
	if !ok {
		if len(m.counts) >= maxStrata {
			return
		}
		if m.index == nil {
			m.index = map[stratum]int{}
		}
		place = len(m.counts)
		m.index[key] = place
		m.counts = append(m.counts, &Count{Side: more.Side, Route: more.Route, Centre: more.Centre, Upstream: more.Upstream})
	}
	c := m.counts[place]
	c.Begun += more.Begun
	c.Ended += more.Ended
	c.Failed += more.Failed
	for i := range Buckets {
		c.First[i] += more.First[i]
		c.Pace[i] += more.Pace[i]
	}
}

// verdict tells why the target is bad, or is empty. It looks at the whole time since the order
// and at later parts of it, as the target may have become bad later.
func (m *metrics) verdict(now, start time.Time, around circumstances) string {
	m.snapshot(now)
	whole := m.since(nil)
	if cause := judge(whole, whole, maxChance, around); cause != "" {
		return cause + " since the order"
	}
	for _, s := range m.snapshots {
		length := now.Sub(s.at)
		chance := maxChance * min(1, windowChances*length.Seconds()/max(1, now.Sub(start).Seconds()))
		if cause := judge(m.since(s.counts), whole, chance, around); cause != "" {
			return fmt.Sprintf("%s in the last %v", cause, length.Round(time.Millisecond))
		}
	}
	return ""
}

// doubt tells why shifting must not begin, or is empty.
func (m *metrics) doubt(around circumstances) string {
	whole := m.since(nil)
	if cause := judge(whole, whole, shiftChance, around); cause != "" {
		return cause + " before the shift"
	}
	return ""
}

// since returns what was counted since a snapshot.
func (m *metrics) since(former []Count) []Count {
	counts := make([]Count, len(m.counts))
	for i, c := range m.counts {
		counts[i] = *c
		if i < len(former) {
			counts[i] = c.since(former[i])
		}
	}
	return counts
}

// snapshot keeps a copy of the counts. Ages of the copies double, so that their number grows
// with the logarithm of the time.
func (m *metrics) snapshot(now time.Time) {
	if n := len(m.snapshots); n > 0 && now.Sub(m.snapshots[n-1].at) < snapshotInterval {
		return
	}
	m.snapshots = append(m.snapshots, snapshot{at: now, counts: m.since(nil)})
	for i := len(m.snapshots) - 3; i > 0; i-- {
		older, newer := m.snapshots[i-1], m.snapshots[i+1]
		if now.Sub(older.at) < 2*now.Sub(newer.at) {
			m.snapshots = slices.Delete(m.snapshots, i, i+1)
		}
	}
}
