package persimhub

import (
	"math/rand/v2"
	"time"
)

const (
	// ExchangeInterval is how often a host starts an exchange with a hub of its centre, and
	// a hub with a hub of each other centre.
	ExchangeInterval = 300 * time.Millisecond
	// retryInterval is how often an exchange with a hub that fails is tried.
	retryInterval = time.Second
	// silentAfter is the time after which a hub starts an exchange with a host of its
	// centre that it has not heard from.
	silentAfter = 1200 * time.Millisecond
	// isolatedAfter is the time without any reply after which a host starts exchanges with
	// hosts that are not hubs.
	isolatedAfter = time.Second
)

// Schedule decides with which hosts a host starts an exchange. It is not safe for
// concurrent use.
type Schedule interface {
	// Next returns the hosts with which to start an exchange now. Eligible tells whether
	// an exchange with a host may start.
	Next(now time.Time, eligible func(name string) bool) []string
	// RecordReply records that another host has replied.
	RecordReply(now time.Time)
}

type schedule struct {
	self     Host
	topology Topology
	hub      Hub
	random   *rand.Rand

	lastExchange time.Time
	lastRetry    time.Time
	lastReply    time.Time
	lastRandom   time.Time
	// turn counts the rounds, so that the hubs of a centre take turns.
	turn int
	// nextSilent is the place in the own centre from which on silent hosts are looked for.
	nextSilent int
}

// NewSchedule returns the schedule of a host.
func NewSchedule(now time.Time, self Host, topology Topology, hub Hub, random *rand.Rand) Schedule {
	return &schedule{self: self, topology: topology, hub: hub, random: random, lastReply: now, turn: random.IntN(hubsPerCentre)}
}

func (s *schedule) RecordReply(now time.Time) { s.lastReply = now }

func (s *schedule) Next(now time.Time, eligible func(string) bool) []string {
	var names []string
	add := func(name string) {
		if name != "" && name != s.self.Name && eligible(name) {
			names = append(names, name)
		}
	}
	isHub := s.topology.IsHub(s.self.Name)
	if now.Sub(s.lastExchange) >= ExchangeInterval {
		s.lastExchange = now
		s.turn++
		for _, centre := range s.centres(isHub) {
			add(s.hubInTurn(centre))
		}
	}
	if now.Sub(s.lastRetry) >= retryInterval {
		s.lastRetry = now
		for _, centre := range s.centres(isHub) {
			add(first(s.topology.FailingHubs(centre)))
		}
	}
	if isHub {
		add(s.silentHost(now, eligible))
	}
	if now.Sub(s.lastReply) >= isolatedAfter && now.Sub(s.lastRandom) >= ExchangeInterval {
		s.lastRandom = now
		add(s.randomHost())
	}
	return names
}

// centres returns the data centres with which this host exchanges.
func (s *schedule) centres(isHub bool) []string {
	if isHub {
		return s.topology.Centres()
	}
	return []string{s.self.Centre}
}

// hubInTurn returns the hub of a data centre whose turn it is, or one that follows it if
// that is this host.
func (s *schedule) hubInTurn(centre string) string {
	hubs := s.topology.Hubs(centre)
	for i := range hubs {
		if name := hubs[(s.turn+i)%len(hubs)]; name != s.self.Name {
			return name
		}
	}
	return ""
}

// silentHost returns the next host of this centre that was not heard from lately.
func (s *schedule) silentHost(now time.Time, eligible func(string) bool) string {
	names := s.topology.Hosts(s.self.Centre)
	for i := range names {
		place := (s.nextSilent + i) % len(names)
		silent, heard := s.hub.Silent(now, names[place])
		if names[place] != s.self.Name && (!heard || silent >= silentAfter) && eligible(names[place]) {
			s.nextSilent = place + 1
			return names[place]
		}
	}
	return ""
}

func (s *schedule) randomHost() string {
	centres := s.topology.Centres()
	if len(centres) == 0 {
		return ""
	}
	names := s.topology.Hosts(centres[s.random.IntN(len(centres))])
	return names[s.random.IntN(len(names))]
}

func first(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}
