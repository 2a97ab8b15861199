package persimplace

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportTTL is how long a load report of an upstream is used.
	reportTTL = 700 * time.Millisecond
	// peerLoadTTL is how long the loads received from another host are used.
	peerLoadTTL = 1500 * time.Millisecond
)

// Report is the load that an upstream reported.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the current duration of work on the upstream's machine relative to the
	// normal duration.
	Slowdown float64
}

// TimedReport is a report with the time at which a host received it.
type TimedReport struct {
	Report
	At time.Time
}

// PeerLoad is the load that a host has placed on an upstream.
type PeerLoad struct {
	Requests int
	// Urgent and Normal are the prompt tokens of each priority still to be prefilled.
	Urgent int
	Normal int
}

// Plus returns the sum of two loads.
func (l PeerLoad) Plus(other PeerLoad) PeerLoad {
	l.Requests += other.Requests
	l.Urgent += other.Urgent
	l.Normal += other.Normal
	return l
}

// Times returns a load multiplied by a number, which may be negative.
func (l PeerLoad) Times(n int) PeerLoad {
	return PeerLoad{Requests: l.Requests * n, Urgent: l.Urgent * n, Normal: l.Normal * n}
}

// Hash returns the number that identifies an upstream in messages between hosts.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// peerState holds the loads received from another host.
type peerState struct {
	receivedAt time.Time
	loads      map[uint64]PeerLoad
}

// load returns the load of all hosts on an upstream, as far as it is known here.
func (p *placer) load(now time.Time, s *upstreamState) PeerLoad {
	sum := s.ownLoad
	for _, peer := range p.peers {
		if now.Sub(peer.receivedAt) > peerLoadTTL {
			continue
		}
		sum = sum.Plus(peer.loads[s.hash])
	}
	if now.Sub(s.reportedAt) < reportTTL {
		sum.Requests = max(sum.Requests, s.report.Running+s.report.Waiting)
	}
	return sum
}

func (p *placer) RecordReport(at time.Time, upstream uint64, report Report) {
	if s, ok := p.byHash[upstream]; ok && at.After(s.reportedAt) {
		s.report = report
		s.reportedAt = at
	}
}

func (p *placer) Reports(now time.Time) map[uint64]TimedReport {
	reports := map[uint64]TimedReport{}
	for _, s := range p.sorted {
		if now.Sub(s.reportedAt) < reportTTL {
			reports[s.hash] = TimedReport{Report: s.report, At: s.reportedAt}
		}
	}
	return reports
}

func (p *placer) SetPeerLoads(now time.Time, host string, loads map[uint64]PeerLoad) {
	if loads == nil {
		delete(p.peers, host)
		return
	}
	p.peers[host] = peerState{receivedAt: now, loads: loads}
}

func (p *placer) OwnLoads() map[uint64]PeerLoad {
	loads := map[uint64]PeerLoad{}
	for _, s := range p.sorted {
		if s.ownLoad.Requests > 0 {
			loads[s.hash] = s.ownLoad
		}
	}
	return loads
}
