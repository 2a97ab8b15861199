// Package persimhub spreads what hosts know of each other in large deployments, so that
// neither a message nor the work of a host grows with the number of hosts.
//
// It is built for hundreds of hosts of which any may be lost, slow or cut off at any
// moment. In each data centre a few hosts are hubs: they hear the hosts of their centre,
// exchange sums with hubs of the other centres and tell each host the sum of all
// others. A hub keeps nothing that can't be told again: counters only grow, so a lost
// report is made good by the next one, and whoever follows several hubs takes the one
// that is ahead. It reads no clock and does no I/O.
package persimhub

import (
	"maps"
	"strconv"
	"time"

	"persimmonport.example/persimduty"
	"persimmonport.example/persimengine"
)

const (
	// hostTTL is the time without a report after which a host counts as not covered and
	// its load and demand as gone.
	hostTTL = 1500 * time.Millisecond
	// centreTTL is the same for the sum of another data centre.
	centreTTL = 1500 * time.Millisecond
	// centrePreference is how long the sum of a hub is preferred to that of another hub of
	// the same centre that covers fewer hosts.
	centrePreference = 700 * time.Millisecond
	// expiryInterval is how often hosts and centres are looked through.
	expiryInterval = 250 * time.Millisecond
)

// Hub sums what hosts report. It is not safe for concurrent use.
type Hub interface {
	// ObserveHost records the report of a host of this centre, or of this host itself.
	ObserveHost(now time.Time, name string, report Report)
	// ObserveCentre records the sum of another centre, as a hub there tells it.
	ObserveCentre(now time.Time, centre string, sum Sum)
	// CentreSum returns the sum over the hosts of this centre.
	CentreSum(now time.Time) Sum
	// Others returns the sum over all hosts but one. The windows are left out unless they
	// are asked for.
	Others(now time.Time, except string, windows bool) Sum
	// Restart lets the hub count from now on. A host that becomes a hub does so, since it
	// may have heard some hosts before and others not.
	Restart(now time.Time)
	// Silent returns the time since a host was last heard from, or false if it never was.
	Silent(now time.Time, name string) (time.Duration, bool)
}

type hub struct {
	name        string
	usageWindow time.Duration
	startedAt   time.Time
	expiredAt   time.Time
	hosts       map[string]*member
	centres     map[string]*centre
	// counted grows by what the hosts of this centre admit, total by what all do.
	counted Totals
	total   Totals
	// loads, busy, ranked and evidence are the sums over this centre, allLoads and allEvidence
	// those over all centres.
	loads       Loads
	busy        map[string]float64
	ranked      Ranked
	allLoads    Loads
	evidence    persimengine.Evidence
	allEvidence persimengine.Evidence
	usage       persimduty.Usage
}

// member is the state of one host of this centre.
type member struct {
	Report
	heardAt time.Time
	// counted is what the hub has counted of the host, over all incarnations.
	counted Totals
	// present is set while its load and demand are in the sums.
	present bool
}

// centre is the state of another data centre.
type centre struct {
	Sum
	heardAt  time.Time
	admitted *follower
	windows  map[int64]persimduty.Counts
	present  bool
}

// New returns a hub that starts at a time and counts usage in windows of a length. The
// name distinguishes it from all other hubs, earlier ones on the same host included.
func New(now time.Time, name string, usageWindow time.Duration) Hub {
	h := &hub{name: name, usageWindow: usageWindow}
	h.Restart(now)
	return h
}

func (h *hub) Restart(now time.Time) {
	*h = hub{
		name:        h.name,
		usageWindow: h.usageWindow,
		startedAt:   now,
		hosts:       map[string]*member{},
		centres:     map[string]*centre{},
		counted:     Totals{},
		total:       Totals{},
		loads:       Loads{},
		busy:        map[string]float64{},
		ranked:      Ranked{},
		allLoads:    Loads{},
		evidence:    persimengine.Evidence{},
		allEvidence: persimengine.Evidence{},
		usage:       persimduty.NewUsage(h.usageWindow),
	}
}

// source names the hub and the moment since which it counts.
func (h *hub) source() string { return h.name + "/" + strconv.FormatInt(h.startedAt.UnixNano(), 36) }

func (h *hub) ObserveHost(now time.Time, name string, report Report) {
	m, ok := h.hosts[name]
	if !ok {
		m = &member{counted: Totals{}}
		h.hosts[name] = m
	}
	h.countAdmitted(now, m, report)
	h.removeMember(m)
	m.Report = report
	m.heardAt = now
	m.present = true
	h.loads.add(report.Loads, 1)
	h.allLoads.add(report.Loads, 1)
	h.evidence.Add(report.Evidence, 1)
	h.allEvidence.Add(report.Evidence, 1)
	addBusy(h.busy, report.Busy, 1)
	h.ranked.add(report.Ranked, 1)
	h.usage.ObserveRemote(name+" "+report.Incarnation, report.Windows)
}

// countAdmitted adds what a host has admitted since its last report. Of a host that
// started before this hub and was never heard from, other hubs have counted what they
// replied to.
func (h *hub) countAdmitted(now time.Time, m *member, report Report) {
	known := m.Admitted
	if m.Incarnation != report.Incarnation {
		known = nil
	}
	if m.Incarnation == "" && report.Uptime > now.Sub(h.startedAt) {
		known = report.Admitted.clone()
		known.subtract(report.Unheard)
	}
	for organisation, admitted := range report.Admitted {
		grown := admitted - known[organisation]
		if grown <= 0 {
			// A refund: the cost was counted, and counts again only beyond that.
			report.Admitted[organisation] = known[organisation]
			continue
		}
		m.counted[organisation] += grown
		h.counted[organisation] += grown
		h.total[organisation] += grown
	}
}

func (h *hub) removeMember(m *member) {
	if !m.present {
		return
	}
	m.present = false
	h.loads.add(m.Loads, -1)
	h.allLoads.add(m.Loads, -1)
	h.evidence.Add(m.Evidence, -1)
	h.allEvidence.Add(m.Evidence, -1)
	addBusy(h.busy, m.Busy, -1)
	h.ranked.add(m.Ranked, -1)
}

func (h *hub) ObserveCentre(now time.Time, name string, sum Sum) {
	c, ok := h.centres[name]
	if !ok {
		c = &centre{admitted: newFollower(), windows: map[int64]persimduty.Counts{}}
		h.centres[name] = c
	}
	startedLater := sum.Uptime <= now.Sub(h.startedAt)
	for organisation, grown := range c.admitted.observe(now, sum.Source, sum.Admitted, startedLater) {
		h.total[organisation] += grown
	}
	RaiseWindows(c.windows, sum.Windows)
	replaced := sum.Source == c.Source || sum.Hosts >= c.Hosts || now.Sub(c.heardAt) > centrePreference
	if c.present && !replaced {
		return
	}
	h.removeCentre(c)
	c.Sum = sum
	c.heardAt = now
	c.present = true
	h.allLoads.add(sum.Loads, 1)
	h.allEvidence.Add(sum.Evidence, 1)
}

func (h *hub) removeCentre(c *centre) {
	if !c.present {
		return
	}
	c.present = false
	h.allLoads.add(c.Loads, -1)
	h.allEvidence.Add(c.Evidence, -1)
}

// expire removes the loads and demands of hosts and centres that are silent.
func (h *hub) expire(now time.Time) {
	if now.Sub(h.expiredAt) < expiryInterval {
		return
	}
	h.expiredAt = now
	for _, m := range h.hosts {
		if now.Sub(m.heardAt) > hostTTL {
			h.removeMember(m)
		}
	}
	for _, c := range h.centres {
		if now.Sub(c.heardAt) > centreTTL {
			h.removeCentre(c)
		}
	}
}

// coverage returns the number of hosts of this centre that were heard from lately,
// without one of them, and the sum of the ages of their reports.
func (h *hub) coverage(now time.Time, except string) (hosts int, ages time.Duration) {
	for name, m := range h.hosts {
		if m.present && name != except {
			hosts++
			ages += now.Sub(m.heardAt)
		}
	}
	return hosts, ages
}

func (h *hub) CentreSum(now time.Time) Sum {
	h.expire(now)
	hosts, ages := h.coverage(now, "")
	return Sum{
		Source:   h.source(),
		Uptime:   now.Sub(h.startedAt),
		Hosts:    hosts,
		Age:      meanAge(ages, hosts),
		Admitted: h.counted.clone(),
		Loads:    h.loads.clone(),
		Evidence: maps.Clone(h.evidence),
		Busy:     addBusy(map[string]float64{}, h.busy, 1),
		Ranked:   h.ranked.bounded(),
		Windows:  h.recentWindows(now),
	}
}

// recentWindows returns the counts of this centre in the windows that are not reported
// yet.
func (h *hub) recentWindows(now time.Time) map[int64]persimduty.Counts {
	windows := map[int64]persimduty.Counts{}
	newest := h.usage.Window(now)
	for window := newest - relayedWindows; window <= newest; window++ {
		if counts := h.usage.Sum(window); len(counts) > 0 {
			windows[window] = counts
		}
	}
	return windows
}

// relayedWindows is the number of past usage windows that hubs relay.
const relayedWindows = 2

func (h *hub) Others(now time.Time, except string, windows bool) Sum {
	h.expire(now)
	hosts, ages := h.coverage(now, except)
	sum := Sum{
		Source:   h.source(),
		Uptime:   now.Sub(h.startedAt),
		Admitted: h.total.clone(),
		Loads:    h.allLoads.clone(),
		Evidence: maps.Clone(h.allEvidence),
		Busy:     addBusy(map[string]float64{}, h.busy, 1),
		Ranked:   Ranked{},
	}
	sum.Ranked.add(h.ranked, 1)
	if m, ok := h.hosts[except]; ok {
		sum.Admitted.subtract(m.counted)
		if m.present {
			sum.Loads.add(m.Loads, -1)
			sum.Evidence.Add(m.Evidence, -1)
			addBusy(sum.Busy, m.Busy, -1)
			sum.Ranked.add(m.Ranked, -1)
		}
	}
	for _, c := range h.centres {
		if c.present {
			hosts += c.Hosts
			ages += time.Duration(c.Hosts) * (c.Age + now.Sub(c.heardAt))
			addBusy(sum.Busy, c.Busy, 1)
			sum.Ranked.add(c.Ranked, 1)
		}
	}
	sum.Ranked = sum.Ranked.bounded()
	sum.Hosts = hosts
	sum.Age = meanAge(ages, hosts)
	if windows {
		sum.Windows = h.otherWindows(now, except)
	}
	return sum
}

// otherWindows returns the counts of all hosts without the current incarnation of one.
func (h *hub) otherWindows(now time.Time, except string) map[int64]persimduty.Counts {
	windows := h.recentWindows(now)
	for _, c := range h.centres {
		for window, counts := range c.windows {
			if windows[window] == nil {
				windows[window] = persimduty.Counts{}
			}
			for organisation, count := range counts {
				windows[window][organisation] += count
			}
		}
	}
	if m, ok := h.hosts[except]; ok {
		for window, counts := range m.Windows {
			for organisation, count := range counts {
				if windows[window] != nil {
					windows[window][organisation] -= count
				}
			}
		}
	}
	return windows
}

func (h *hub) Silent(now time.Time, name string) (time.Duration, bool) {
	m, ok := h.hosts[name]
	if !ok {
		return 0, false
	}
	return now.Sub(m.heardAt), true
}
