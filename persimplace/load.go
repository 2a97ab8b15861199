package persimplace

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadFresh is how long a report of the load counts.
	loadFresh = 700 * time.Millisecond
	// peerFresh is how long what another host said of its requests counts.
	peerFresh = 1500 * time.Millisecond
)

// A Report is what an upstream said of its load.
type Report struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64
}

// A TimedReport is a report with the time at which it was made.
type TimedReport struct {
	Report
	At time.Time
}

// A PeerLoad is what another host has in an upstream.
type PeerLoad struct {
	Requests int
	Urgent   int
	Normal   int
}

func (l PeerLoad) plus(other PeerLoad) PeerLoad {
	l.Requests += other.Requests
	l.Urgent += other.Urgent
	l.Normal += other.Normal
	return l
}

// Hash returns the number that names an upstream between hosts.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

type peerState struct {
	at    time.Time
	loads map[uint64]PeerLoad
}

// load is what all hosts have in an upstream, as far as this one knows.
func (p *placer) load(now time.Time, s *state) PeerLoad {
	sum := s.own
	for _, peer := range p.peers {
		if now.Sub(peer.at) > peerFresh {
			continue
		}
		sum = sum.plus(peer.loads[s.hash])
	}
	if now.Sub(s.reportedAt) < loadFresh {
		sum.Requests = max(sum.Requests, s.report.Running+s.report.Waiting)
	}
	return sum
}

func (p *placer) Report(at time.Time, upstream uint64, report Report) {
	if s, ok := p.hashes[upstream]; ok && at.After(s.reportedAt) {
		s.report = report
		s.reportedAt = at
	}
}

func (p *placer) Reports(now time.Time) map[uint64]TimedReport {
	reports := map[uint64]TimedReport{}
	for _, s := range p.order {
		if now.Sub(s.reportedAt) < loadFresh {
			reports[s.hash] = TimedReport{Report: s.report, At: s.reportedAt}
		}
	}
	return reports
}

func (p *placer) Peer(now time.Time, host string, loads map[uint64]PeerLoad) {
	if loads == nil {
		delete(p.peers, host)
		return
	}
	p.peers[host] = peerState{at: now, loads: loads}
}

func (p *placer) Loads() map[uint64]PeerLoad {
	loads := map[uint64]PeerLoad{}
	for _, s := range p.order {
		if s.own.Requests > 0 {
			loads[s.hash] = s.own
		}
	}
	return loads
}

func (p *placer) Others(now time.Time, but ...string) map[uint64]PeerLoad {
	sum := p.Loads()
	for host, peer := range p.peers {
		if slices.Contains(but, host) || now.Sub(peer.at) > peerFresh {
			continue
		}
		for hash, load := range peer.loads {
			if _, ok := p.hashes[hash]; ok {
				sum[hash] = sum[hash].plus(load)
			}
		}
	}
	return sum
}
