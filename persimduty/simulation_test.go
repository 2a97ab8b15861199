package persimduty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimrevision"
)

const (
	simulationStep = 100 * time.Millisecond
	simulationTime = 2 * time.Minute
	// quietTime is the time without faults at the end of a simulation.
	quietTime       = 5 * leaseDuration
	simulatedWindow = 2 * time.Second
	// reportableWindows is the number of windows before the newest one that are still due.
	reportableWindows = 3
	maxCopyAge        = 6 * time.Second
	maxDelay          = 4 * time.Second
)

// dutyCall is a call of a duty as received by the platform.
type dutyCall struct {
	host  string
	fence int64
	at    time.Duration
}

// content is what the store holds. Number zero stands for reports that are not stored.
type content struct {
	number        int64
	lease         LeaseRecord
	leaseNumber   int64
	reports       ReportRecord
	reportsNumber int64
}

// delayed is a call that is carried out some time after it was sent.
type delayed struct {
	at  time.Duration
	run func()
}

// simulatedHost is a host with its client of the store.
type simulatedHost struct {
	name     string
	lease    Lease
	reports  Reports
	newest   persimrevision.Era
	seenAt   persimclock.Instant
	upAt     time.Duration
	cutUntil time.Duration
}

// simulation holds the store, the platform and hosts that are stopped, suspended, cut off and
// restarted at random. Some calls are lost, some are carried out without a response, and some
// long after they were sent. With drills, the store comes back from older copies of itself.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	drills bool

	era     persimrevision.Era
	content content
	// copies are the contents of the last maxCopyAge, one for each step.
	copies  []content
	delayed []delayed
	hosts   []*simulatedHost

	calls    []dutyCall
	fence    int64
	accepted map[int64]Counts
	lastSum  int64
}

func newSimulation(t *testing.T, seed uint64, drills bool) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), drills: drills, accepted: map[int64]Counts{}}
	s.content = content{number: 1, leaseNumber: 1}
	if drills {
		s.era = 1
	}
	for i := range 3 {
		s.hosts = append(s.hosts, &simulatedHost{name: string(rune('a' + i))})
		s.restart(s.hosts[i])
	}
	return s
}

func (s *simulation) chance(p float64) bool {
	return s.now < simulationTime-quietTime && s.random.Float64() < p
}

func (s *simulation) upTo(longest time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(longest)))
}

func (s *simulation) restart(h *simulatedHost) {
	h.lease = NewLease(h.name, s.now.String(), leaseDuration)
	h.reports = NewReports()
	h.newest, h.seenAt = 0, 0
}

func (s *simulation) run() {
	for ; s.now < simulationTime; s.now += simulationStep {
		s.copies = append(s.copies, s.content)
		s.copies = s.copies[max(0, len(s.copies)-int(maxCopyAge/simulationStep)):]
		s.disturb()
		s.runDelayed()
		for _, h := range s.hosts {
			if s.now >= h.upAt {
				s.step(h)
			}
		}
	}
}

// disturb injects a drill, or faults of hosts.
func (s *simulation) disturb() {
	if s.drills && s.chance(0.006) {
		s.drill()
		for s.chance(0.2) {
			s.drill()
		}
		if s.chance(0.15) {
			for _, h := range s.hosts {
				h.upAt = s.now + s.upTo(3*time.Second)
				s.restart(h)
			}
		}
	}
	for _, h := range s.hosts {
		switch {
		case s.chance(0.001):
			h.upAt = s.now + s.upTo(9*time.Second)
		case s.chance(0.001):
			h.upAt = s.now + time.Second
			s.restart(h)
		case s.chance(0.001):
			h.cutUntil = s.now + s.upTo(8*time.Second)
		}
	}
}

// drill replaces the content by that of an older copy and begins the next era.
func (s *simulation) drill() {
	s.era++
	s.content = s.copies[s.random.IntN(len(s.copies))]
}

func (s *simulation) runDelayed() {
	due := func(d delayed) bool { return d.at <= s.now }
	for _, d := range s.delayed {
		if due(d) {
			d.run()
		}
	}
	s.delayed = slices.DeleteFunc(s.delayed, due)
}

// deliver carries out a call and reports whether the response reaches the host.
func (s *simulation) deliver(call func()) bool {
	switch {
	case s.chance(0.05):
		call()
		return false
	case s.chance(0.05):
		s.delayed = append(s.delayed, delayed{at: s.now + s.upTo(maxDelay), run: call})
		return false
	case s.chance(0.05):
		return false
	}
	call()
	return true
}

// observeEra records the era that a response of the store names.
func (s *simulation) observeEra(h *simulatedHost) {
	if s.era > h.newest {
		h.newest, h.seenAt = s.era, instant(s.now)
	}
}

func (s *simulation) at(number int64) persimrevision.Revision { return inEra(s.era, number) }

func (s *simulation) readLease(h *simulatedHost) {
	if s.now < h.cutUntil {
		return
	}
	s.observeEra(h)
	h.lease.Observe(instant(s.now), s.content.lease, s.at(s.content.leaseNumber))
}

// writeLease writes the lease as the client of the store does: a revision of a former era is not
// a condition.
func (s *simulation) writeLease(h *simulatedHost, record LeaseRecord, condition persimrevision.Revision) {
	if s.now < h.cutUntil || condition.Era < h.newest {
		return
	}
	sent, written := instant(s.now), false
	answered := s.deliver(func() {
		if written = s.content.leaseNumber == condition.Number; written {
			s.content.number++
			s.content.lease, s.content.leaseNumber = record, s.content.number
		}
	})
	if !answered {
		s.readLease(h)
		return
	}
	s.observeEra(h)
	if !written || !h.lease.ConfirmWrite(sent, record, s.at(s.content.leaseNumber)) {
		s.readLease(h)
	}
}

func (s *simulation) step(h *simulatedHost) {
	h.lease.ObserveEra(h.seenAt, h.newest)
	if s.chance(0.002) {
		if record, revision, ok := h.lease.Release(); ok {
			s.writeLease(h, record, revision)
		}
		return
	}
	if h.lease.Outdated() || s.random.Float64() < 0.1 {
		s.readLease(h)
	}
	if record, revision, ok := h.lease.Propose(instant(s.now)); ok {
		s.writeLease(h, record, revision)
	}
	if _, ok := h.lease.Held(instant(s.now)); ok {
		s.report(h)
	}
	s.exchange(h)
}

func (s *simulation) window(at time.Duration) int64 { return int64(at / simulatedWindow) }

func (s *simulation) readReports(h *simulatedHost) {
	if s.now < h.cutUntil {
		return
	}
	s.observeEra(h)
	h.lease.ObserveEra(h.seenAt, h.newest)
	firstOpen := s.window(time.Duration(h.lease.FormerTenuresEnd()))
	h.reports.Observe(h.lease.Tenure(), firstOpen, s.content.reports, s.at(s.content.reportsNumber))
}

func (s *simulation) report(h *simulatedHost) {
	if !h.reports.Loaded(h.lease.Tenure()) {
		s.readReports(h)
		return
	}
	newest := s.window(s.now) - 1
	for window := max(0, newest-reportableWindows); window <= newest; window++ {
		action, counts := h.reports.Decide(window)
		if action == ReportSum {
			action, counts = s.storeSum(h, window, counts)
		}
		if action == ReportAgain {
			s.sendReport(h, window, counts)
		}
	}
}

// storeSum stores the counts of a window. Each sum is another one, as those of different hosts
// are.
func (s *simulation) storeSum(h *simulatedHost, window int64, counts Counts) (ReportAction, Counts) {
	if counts == nil {
		s.lastSum++
		counts = Counts{"o": s.lastSum}
	}
	record, condition := h.reports.Propose(window, counts)
	if s.now < h.cutUntil || condition.Era < h.newest {
		h.reports.Withdraw(window)
		s.readReports(h)
		return ReportNothing, nil
	}
	written := false
	answered := s.deliver(func() {
		if written = s.content.reportsNumber == condition.Number; written {
			s.content.number++
			s.content.reports, s.content.reportsNumber = record, s.content.number
		}
	})
	if answered && !written {
		h.reports.Withdraw(window)
	}
	if !answered || !written {
		s.readReports(h)
		return ReportNothing, nil
	}
	s.observeEra(h)
	h.reports.ConfirmWrite(record, s.at(s.content.reportsNumber))
	return h.reports.Decide(window)
}

// sendReport sends a report to the platform, which refuses lower fencing tokens than it has seen.
func (s *simulation) sendReport(h *simulatedHost, window int64, counts Counts) {
	fence, ok := h.lease.Held(instant(s.now))
	if !ok {
		return
	}
	s.calls = append(s.calls, dutyCall{host: h.name, fence: fence, at: s.now})
	accepted := false
	answered := s.deliver(func() {
		if accepted = fence >= s.fence; !accepted {
			return
		}
		s.fence = fence
		if known, ok := s.accepted[window]; ok {
			require.Equal(s.t, known, counts, "window %d is reported twice by %s at %s", window, h.name, s.now)
		}
		s.accepted[window] = counts
	})
	switch {
	case answered && accepted:
		h.reports.Accept(window)
	case answered:
		h.lease.Invalidate(fence)
	}
}

// exchange sends the other hosts the reports that this one knows, and the lease.
func (s *simulation) exchange(h *simulatedHost) {
	holder, fence, heartbeat := h.lease.Latest()
	for _, other := range s.hosts {
		if other == h || s.now < other.upAt || s.random.Float64() < 0.5 {
			continue
		}
		other.reports.Merge(h.reports.Known())
		other.lease.ObserveHeartbeat(instant(s.now), holder, fence, heartbeat)
	}
}

// TestLeaseUnderFaults guards against two holders, one fencing token of two hosts and two reports
// of a window, while the store keeps what it has acknowledged.
func TestLeaseUnderFaults(t *testing.T) { simulate(t, false) }

// TestDrills guards against the same while the store comes back from older copies of itself: with
// writes that are carried out in a later era, drills in a row, and the holder or all hosts killed
// beside them.
func TestDrills(t *testing.T) { simulate(t, true) }

func simulate(t *testing.T, drills bool) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, drills)
			s.run()
			requireSingleHolder(t, s.calls)
			require.Less(t, simulationTime-s.calls[len(s.calls)-1].at, 2*simulatedWindow, "nobody reports at the end")
			due := s.window(simulationTime-quietTime+3*leaseDuration) + 1
			for window := due; window < s.window(simulationTime)-1; window++ {
				require.Contains(t, s.accepted, window, "a window that ended in quiet time is not reported")
			}
		})
	}
}

func requireSingleHolder(t *testing.T, calls []dutyCall) {
	t.Helper()
	require.NotEmpty(t, calls)
	holders := map[int64]string{}
	for i, call := range calls {
		holder, ok := holders[call.fence]
		require.True(t, !ok || holder == call.host, "fencing token %d is used by two hosts", call.fence)
		holders[call.fence] = call.host
		between := ""
		for j := i - 1; j >= 0 && call.at-calls[j].at < leaseDuration; j-- {
			if calls[j].host != call.host {
				between = calls[j].host
			} else {
				require.Empty(t, between, "%s acts before and after %s within one lease duration", call.host, between)
			}
		}
	}
}
