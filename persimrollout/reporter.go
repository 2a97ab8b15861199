package persimrollout

import "time"

const (
	// maxReporters bounds the hosts of which counters are kept.
	maxReporters = 4096
	// minRateTime is the shortest time between two reports of a host that tells its rate.
	minRateTime = 900 * time.Millisecond
	// reportsAwaited is the number of report intervals after which a rollout goes on without
	// the counters of hosts that don't report, and minReportWait the least time for it.
	reportsAwaited = 3
	minReportWait  = 2 * time.Second
)

// sighting is when the registration of one run of a host was first seen.
type sighting struct {
	incarnation string
	at          time.Time
}

// reporter is what the lease holder knows of the counters of one run of a host.
type reporter struct {
	incarnation string
	// at is when the last report arrived, on whatever order.
	at    time.Time
	phase Phase
	onOld int
	// counts are those of the last report on the order.
	counts map[stratum]Count
	// firstAt and lastAt are when the first and the last report on the order arrived, with
	// the requests begun until then.
	firstAt, lastAt       time.Time
	firstBegun, lastBegun int64
}

func (c *controller) Observe(now time.Time, host, incarnation string, report Report) {
	r, ok := c.hosts[host]
	if !ok && (!c.ordered || len(c.hosts) >= maxReporters) {
		return
	}
	// What a former run of the host has counted stays in the metrics.
	if !ok || r.incarnation != incarnation {
		r = &reporter{incarnation: incarnation}
		c.hosts[host] = r
	}
	r.at = now
	if report.Target != c.order.Target || report.Revision != c.order.Revision {
		r.phase = PhaseNone
		return
	}
	r.add(now, report, &c.metrics)
}

// add adds what a report counts beyond the last one.
func (r *reporter) add(now time.Time, report Report, m *metrics) {
	if r.counts == nil {
		r.counts = make(map[stratum]Count, len(report.Counts))
	}
	begun := int64(0)
	for _, count := range report.Counts[:min(len(report.Counts), maxCounts+2)] {
		key := count.stratum()
		former := r.counts[key]
		if count.Begun < former.Begun || count.Ended < former.Ended {
			continue
		}
		m.add(count.since(former))
		r.counts[key] = count
	}
	for _, count := range r.counts {
		begun += count.Begun
	}
	if r.firstAt.IsZero() {
		r.firstAt, r.firstBegun = now, begun
	}
	r.phase, r.onOld, r.lastAt, r.lastBegun = report.Phase, report.OnOld, now, begun
}

// see records when registrations were first seen.
func (c *controller) see(now time.Time, fleet Fleet) {
	seen := make(map[string]sighting, len(fleet.Hosts))
	for _, h := range fleet.Hosts {
		if !h.Registered {
			continue
		}
		s, ok := c.seen[h.Name]
		if !ok || s.incarnation != h.Incarnation {
			s = sighting{incarnation: h.Incarnation, at: now}
		}
		seen[h.Name] = s
	}
	c.seen = seen
}

// required returns the reporters, or nil, of the hosts that must have reported: those heard of
// lately, and registered ones that have not been silent for as long.
func (c *controller) required(now time.Time, fleet Fleet) []*reporter {
	var required []*reporter
	listed := make(map[string]bool, len(fleet.Hosts))
	for _, h := range fleet.Hosts {
		listed[h.Name] = true
		r := c.hosts[h.Name]
		if r != nil && r.incarnation != h.Incarnation {
			r = nil
		}
		heardAt := latest(h.HeardAt, c.seen[h.Name].at)
		if r != nil {
			heardAt = latest(heardAt, r.at)
		}
		if now.Sub(heardAt) <= FreshTime {
			required = append(required, r)
		}
	}
	for name, r := range c.hosts {
		if !listed[name] && now.Sub(r.at) <= FreshTime {
			required = append(required, r)
		}
	}
	return required
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reported reports whether the counters of all required hosts are known, or were awaited for
// long enough.
func (c *controller) reported(now time.Time, fleet Fleet) bool {
	if now.Sub(c.orderAt) >= max(minReportWait, reportsAwaited*ReportInterval(len(fleet.Hosts))) {
		return true
	}
	for _, r := range c.required(now, fleet) {
		if r == nil || r.lastAt.IsZero() {
			return false
		}
	}
	return true
}

// confirmed reports whether every required host has confirmed the shift, with no request in
// progress at other versions.
func (c *controller) confirmed(now time.Time, fleet Fleet) bool {
	for _, r := range c.required(now, fleet) {
		if r == nil || r.phase != PhaseShifting || r.onOld > 0 || !r.lastAt.After(c.phaseAt) {
			return false
		}
	}
	return true
}

// rate returns the requests of the service at all hosts in a second since the order, or zero
// until all required hosts have told theirs.
func (c *controller) rate(now time.Time, fleet Fleet) float64 {
	rate := 0.0
	for _, r := range c.required(now, fleet) {
		if r == nil || r.lastAt.Sub(r.firstAt) < minRateTime {
			return c.lastRate
		}
		rate += float64(r.lastBegun-r.firstBegun) / r.lastAt.Sub(r.firstAt).Seconds()
	}
	// No request in the whole time is no proof that none comes.
	c.lastRate = max(rate, 1/now.Sub(c.orderAt).Seconds())
	return c.lastRate
}

// meanRunTime returns the mean time of a request, by Little's law.
func (c *controller) meanRunTime(now time.Time, fleet Fleet) time.Duration {
	if c.lastRate == 0 {
		return 0
	}
	running := 0
	for _, r := range c.required(now, fleet) {
		if r != nil {
			running += r.onOld
		}
	}
	return time.Duration(float64(running) / c.lastRate * float64(time.Second))
}
