package persimfront

import (
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimcatalog"
)

const (
	// priorityFirst and priorityNormal are the HeaderPriority values of requests that go first
	// and of others. In a ranked service each rank adds priorityStep, up to priorityLast.
	priorityFirst  = 3
	priorityNormal = 5
	priorityStep   = 2
	priorityLast   = 9

	// maxRankedLoads is the number of organisations and priorities of a service whose work is
	// told to other hosts one by one.
	maxRankedLoads = 64
	// refreshInterval is how often the shares of a service are determined.
	refreshInterval = 100 * time.Millisecond
	// othersTTL is how long the work that other hosts told is used.
	othersTTL = 3 * time.Second
	// logInterval is the time between two lines about the shares of a service.
	logInterval = 2 * time.Second
	// spreadShare is the share of the longest accepted wait that is left to chance among
	// upstreams, up to maxSpread. The loads of other hosts are older than a prompt takes, so
	// that all would choose the same few upstreams.
	spreadShare = 0.2
	maxSpread   = 500 * time.Millisecond
	// minBehind is the least share of the capacity that a priority is assumed to have.
	minBehind = 0.1
	// redrawInterval is the time after which a request that was refused may be admitted at the
	// same share. A caller that repeats at once gains nothing by it.
	redrawInterval = time.Second
)

// admission orders the requests of ranked services and decides who gets their last capacity. It
// is not safe for concurrent use.
type admission struct {
	limiter  persimadmit.Limiter
	lengths  *persimadmit.Lengths
	returns  *persimadmit.Returns
	services map[string]*rankedService
	// others is the work that other hosts told, by host or for all others together.
	others    map[string]othersLoads
	hostCount int
}

// rankedService is a service whose configuration allows it to be ranked.
type rankedService struct {
	name        string
	precedences []persimcatalog.Precedence
	ranks       []int
	tally       *persimadmit.Tally
	// ranked is set while the prompts of a route are longer than those of one below it.
	ranked bool
	// summed is set if the shares are by what other hosts told lately.
	summed      bool
	refreshedAt time.Time
	// short is set while there is less capacity than work, loggedShort if that was last logged.
	short       bool
	loggedShort bool
	loggedAt    time.Time
}

type othersLoads struct {
	at    time.Time
	hosts int
	loads map[string]persimadmit.Loads
}

// arrival is a request for an upstream of a service.
type arrival struct {
	service string
	key     persimadmit.Key
	work    persimadmit.Work
	hash    uint64
	// expected is the expected time to the first byte by the work that upstreams have now,
	// maxWait the longest that is accepted.
	expected, maxWait time.Duration
	// idle is set if the upstream chosen for it has no requests.
	idle bool
}

// capacity tells what the upstreams of a service can do.
type capacity interface {
	Capacity(now time.Time) float64
	Busy(promptTokens, outputTokens float64) float64
}

func newAdmission() *admission {
	return &admission{
		limiter:   persimadmit.New(),
		lengths:   persimadmit.NewLengths(),
		returns:   persimadmit.NewReturns(),
		services:  map[string]*rankedService{},
		others:    map[string]othersLoads{},
		hostCount: 1,
	}
}

// setCatalogue replaces the services that may be ranked and keeps the work of those that stay.
func (a *admission) setCatalogue(catalogue persimcatalog.Catalogue) {
	next := map[string]*rankedService{}
	for name := range catalogue.Services() {
		precedences := catalogue.Precedences(name)
		if len(precedences) == 0 {
			continue
		}
		s, ok := a.services[name]
		if !ok {
			s = &rankedService{name: name, tally: persimadmit.NewTally()}
		}
		s.precedences, s.ranks = precedences, catalogue.Ranks(name)
		next[name] = s
	}
	a.services = next
}

// observe records the work that arrives at a number of other hosts, of which one told.
func (a *admission) observe(at time.Time, host string, hosts int, loads map[string]persimadmit.Loads) {
	a.others[host] = othersLoads{at: at, hosts: hosts, loads: loads}
}

// order is how upstreams are to treat a prompt.
type order struct {
	// priority is the value of HeaderPriority, urgent is set if the prompt goes first.
	priority string
	urgent   bool
	// spread is the difference in expected time that is left to chance when an upstream is
	// chosen.
	spread time.Duration
}

// order returns how upstreams are to treat a prompt whose caller accepts an expected time of up
// to maxWait: by rank in a ranked service, else by length.
func (a *admission) order(service, route string, rank, tokens int, maxWait time.Duration) order {
	if s, ok := a.services[service]; ok {
		a.lengths.Observe(route, tokens)
		a.updateRanked(s)
		if s.ranked {
			level := s.level(rank)
			return order{
				priority: strconv.Itoa(min(priorityFirst+level*priorityStep, priorityLast)), urgent: level == 0,
				spread: min(time.Duration(float64(maxWait)*spreadShare), maxSpread),
			}
		}
	}
	if tokens <= maxUrgentTokens {
		return order{priority: strconv.Itoa(priorityFirst), urgent: true}
	}
	return order{priority: strconv.Itoa(priorityNormal)}
}

// level returns the number of ranks of the service above one.
func (s *rankedService) level(rank int) int {
	level := 0
	for _, other := range s.ranks {
		if other < rank {
			level++
		}
	}
	return level
}

func (a *admission) updateRanked(s *rankedService) {
	ranked := false
	for _, pair := range s.precedences {
		ranked = a.lengths.Longer(pair.First, pair.Second) || ranked
	}
	if ranked != s.ranked {
		klog.InfoS("order at upstreams", "service", s.name, "byPriority", ranked, "ranks", s.ranks)
	}
	s.ranked = ranked
}

// Causes of refusals.
const (
	causeFull   = "upstreams are full"
	causeOthers = "capacity goes to others"
)

// admit counts the work of a request and decides whether it gets a part of the capacity. If it
// doesn't, it returns the cause and the time after which the caller is to come back.
func (a *admission) admit(now time.Time, r arrival, upstreams capacity) (time.Duration, string) {
	s, ok := a.services[r.service]
	if !ok {
		return 0, ""
	}
	early, returned := a.returns.Check(now, r.hash)
	if early > 0 && s.ranked && s.short && !s.free(r) {
		return early, causeOthers
	}
	s.tally.Add(now, r.key, r.work)
	if !s.ranked {
		return 0, ""
	}
	a.refresh(now, s, upstreams)
	if late := a.expected(now, r) - r.maxWait; late > 0 {
		delay := min(max(late, minRetryAfter), maxRetryAfter)
		a.returns.Refuse(now, r.hash, delay)
		return delay, causeFull
	}
	hash := r.hash ^ uint64(now.UnixNano()/int64(redrawInterval))<<32
	delay, admitted := a.limiter.Admit(now, r.service, r.key.Rank, r.key.Organisation, hash, returned)
	if admitted || s.free(r) {
		return 0, ""
	}
	a.returns.Refuse(now, r.hash, delay)
	return delay, causeOthers
}

// free reports whether the request may be served beyond its share: the work of the other hosts
// is known, and yet an upstream has none. Then the work is less than it is estimated to be.
func (s *rankedService) free(r arrival) bool { return s.summed && r.idle }

// expected returns the expected time to the first byte, with the requests of higher priorities
// that will come and go first meanwhile.
func (a *admission) expected(now time.Time, r arrival) time.Duration {
	behind := 1 - a.limiter.Ahead(now, r.service, r.key.Rank)
	return time.Duration(float64(r.expected) / max(behind, minBehind))
}

// refresh determines the shares of a service if they are older than refreshInterval.
func (a *admission) refresh(now time.Time, s *rankedService, upstreams capacity) {
	if now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	s.refreshedAt = now
	loads, covered := a.totalLoads(now, s.name, upstreams)
	s.summed = covered > 0 || a.hostCount <= 1
	capacity := upstreams.Capacity(now)
	a.limiter.SetLoads(now, s.name, loads, capacity)
	shares, short := a.limiter.Shares(now, s.name)
	s.short = short
	if short == s.loggedShort && !short || now.Sub(s.loggedAt) < logInterval {
		return
	}
	s.loggedShort, s.loggedAt = short, now
	klog.InfoS("capacity by priority", "service", s.name, "short", short, "work", loads.Total(), "capacity", capacity,
		"shares", shares, "hosts", a.hostCount, "heardOf", covered)
}

// ownLoads returns the work that arrives at this host, or nil for a service that can't be ranked.
func (a *admission) ownLoads(now time.Time, service string, busy func(prefill, output float64) float64) persimadmit.Loads {
	s, ok := a.services[service]
	if !ok {
		return nil
	}
	return s.tally.Loads(now, busy)
}

// totalLoads returns the work that arrives at all hosts and the number of other hosts that it
// was heard of. The other hosts are assumed to have as much as those that were heard of, or as
// this one.
func (a *admission) totalLoads(now time.Time, service string, upstreams capacity) (persimadmit.Loads, int) {
	own := a.ownLoads(now, service, upstreams.Busy)
	heard, covered := persimadmit.Loads{}, 0
	for host, other := range a.others {
		if now.Sub(other.at) > othersTTL {
			delete(a.others, host)
			continue
		}
		heard.Add(other.loads[service], 1)
		covered += other.hosts
	}
	total := persimadmit.Loads{}
	if covered == 0 {
		total.Add(own, float64(max(1, a.hostCount))*a.services[service].tally.Certainty(now))
		return total, 0
	}
	total.Add(own, 1)
	total.Add(heard, max(1, float64(a.hostCount-1)/float64(covered)))
	return total, covered
}
