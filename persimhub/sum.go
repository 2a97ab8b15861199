package persimhub

import (
	"maps"
	"time"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimengine"
	"persimmonport.example/persimplace"
)

// Loads are the loads placed on upstreams, by hash of the upstream's id.
type Loads map[uint64]persimplace.PeerLoad

// Report is what a host tells about itself.
type Report struct {
	// Incarnation distinguishes successive starts of a host, Uptime is the time since
	// the last one.
	Incarnation string
	Uptime      time.Duration
	// Admitted is the quota cost admitted since the start, Unheard the part of it that was
	// admitted since another host last replied to a report.
	Admitted Totals
	Unheard  Totals
	Loads    Loads
	// Evidence is what was observed of the capacity of upstreams.
	Evidence persimengine.Evidence
	// Busy is the number of upstreams that arriving work keeps busy, by service.
	Busy map[string]float64
	// Ranked is the part of Busy of each organisation and priority.
	Ranked Ranked
	// Windows are the requests counted in each usage window.
	Windows map[int64]persimduty.Counts
}

// Sum is what a hub tells about several hosts.
type Sum struct {
	// Source names the hub and the moment since which it counts, Uptime is the time since
	// then.
	Source string
	Uptime time.Duration
	// Hosts is the number of hosts that were heard from lately, Age the mean age of what
	// they reported.
	Hosts int
	Age   time.Duration
	// Admitted grows by what the hosts admit.
	Admitted Totals
	Loads    Loads
	Evidence persimengine.Evidence
	Busy     map[string]float64
	Ranked   Ranked
	Windows  map[int64]persimduty.Counts
}

// RaiseWindows raises counts to those of other sources of the same hosts, whose counts
// only lag behind the truth, and deletes windows that are too old to be reported.
func RaiseWindows(counts, other map[int64]persimduty.Counts) {
	for window, received := range other {
		if counts[window] == nil {
			counts[window] = persimduty.Counts{}
			for old := range counts {
				if old < window-2*relayedWindows {
					delete(counts, old)
				}
			}
		}
		for organisation, count := range received {
			counts[window][organisation] = max(counts[window][organisation], count)
		}
	}
}

func meanAge(ages time.Duration, hosts int) time.Duration { return ages / time.Duration(max(1, hosts)) }

func (t Totals) clone() Totals {
	cloned := make(Totals, len(t))
	for organisation, value := range t {
		cloned[organisation] = value
	}
	return cloned
}

func (t Totals) subtract(other Totals) {
	for organisation, value := range other {
		t[organisation] -= value
	}
}

func (l Loads) clone() Loads {
	cloned := make(Loads, len(l))
	for upstream, load := range l {
		cloned[upstream] = load
	}
	return cloned
}

// add adds loads a number of times, which may be -1, and drops upstreams without load.
func (l Loads) add(other Loads, times int) {
	for upstream, load := range other {
		sum := l[upstream].Plus(load.Times(times))
		if sum == (persimplace.PeerLoad{}) {
			delete(l, upstream)
			continue
		}
		l[upstream] = sum
	}
}

func addBusy(sum, other map[string]float64, times float64) map[string]float64 {
	for service, busy := range other {
		sum[service] += busy * times
	}
	return sum
}

// maxRankedLoads is the number of organisations and priorities of a service that a sum lists.
const maxRankedLoads = 64

// Ranked is the work of each organisation and priority, by service.
type Ranked map[string]persimadmit.Loads

// add adds loads a number of times, which may be -1.
func (r Ranked) add(other Ranked, times float64) {
	for service, loads := range other {
		if r[service] == nil {
			r[service] = persimadmit.Loads{}
		}
		r[service].Add(loads, times)
		if len(r[service]) == 0 {
			delete(r, service)
		}
	}
}

// bounded returns a copy in which the smallest loads are summed up.
func (r Ranked) bounded() Ranked {
	bounded := make(Ranked, len(r))
	for service, loads := range r {
		bounded[service] = maps.Clone(loads.Bounded(maxRankedLoads))
	}
	return bounded
}
