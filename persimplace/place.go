// Package persimplace chooses the upstream for each request by the expected time
// to its first response byte.
//
// It is built for prompts with shared prefixes that arrive at many hosts at once,
// where a long prompt delays all others at its upstream. Load reports of upstreams
// are stale on arrival, so the estimate uses the requests that this host has sent,
// those that the other hosts announce, and the upstream that all hosts compute for
// a shared prefix by rendezvous hashing.
package persimplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimengine"
)

// Defaults of a placer.
const (
	// DefaultMaxEjectedShare is the largest share of a service's upstreams that is
	// ejected at a time.
	DefaultMaxEjectedShare = 0.5
	// DefaultEjectionTime is the duration of a failing upstream's first ejection.
	DefaultEjectionTime = 1500 * time.Millisecond

	// delayPerRequest is the delay that each concurrent request adds to the first
	// response byte.
	delayPerRequest = 400 * time.Microsecond
	// initialServiceTime is the assumed time of a request to a plain service before
	// one was observed.
	initialServiceTime = 70 * time.Millisecond
	// assumedCachedShare is the share of a shared prefix that its preferred upstream
	// is assumed to have cached.
	assumedCachedShare = 0.8
	// ejectionFailures is the number of consecutive failures that ejects an upstream.
	ejectionFailures = 3
	// silenceTimeout is how long an upstream that sends nothing stays in use, on top
	// of twice the expected time to the first byte.
	silenceTimeout = 600 * time.Millisecond
	// maxEjectionTime is the longest duration of an ejection.
	maxEjectionTime = 6 * time.Second
	// jitter spreads requests over upstreams whose estimates nearly match.
	jitter = 3 * time.Millisecond
)

type config struct {
	maxEjectedShare float64
	ejectionTime    time.Duration
	random          *rand.Rand
	model           persimengine.Model
	capacities      persimengine.Capacities
	gate            Gate
}

// Gate decides which upstreams take requests.
type Gate interface {
	// Check returns how long an upstream, named by the hash of its incarnation, takes no
	// request and false, or true if it takes one now. The time is zero if it is not known.
	Check(now time.Time, upstream uint64) (time.Duration, bool)
}

// openGate lets all upstreams take requests.
type openGate struct{}

func (openGate) Check(time.Time, uint64) (time.Duration, bool) { return 0, true }

// Option changes the configuration of a placer.
type Option func(*config)

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(c *config) { c.random = random } }

// WithModel sets the model that learns the speed of the service's engines.
func WithModel(model persimengine.Model) Option { return func(c *config) { c.model = model } }

// WithGate sets what decides which upstreams take requests.
func WithGate(gate Gate) Option { return func(c *config) { c.gate = gate } }

// Placer chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Placer interface {
	// SetUpstreams replaces the upstreams and keeps the state of those that stay.
	SetUpstreams(upstreams []persimcatalog.Upstream)
	// SetCacheCapacity sets the prompt cache capacity of an upstream, in tokens. It is zero
	// for a plain service.
	SetCacheCapacity(capacity int)
	// Choose returns the upstream with the least expected time to the first byte, or false
	// with what is known of those that take no requests now.
	Choose(now time.Time, request Request) (Choice, bool)
	// StartAttempt records the start of an attempt at a chosen upstream.
	StartAttempt(now time.Time, request Request, choice Choice) *Ticket
	// RecordResponse records the first response byte of an attempt.
	RecordResponse(now time.Time, ticket *Ticket)
	// RecordOutput records that the response of an attempt generated a number of tokens in
	// the time since its first byte.
	RecordOutput(now time.Time, ticket *Ticket, tokens int, took time.Duration)
	// RecordProgress records that a response in progress has generated a number of tokens in
	// a time up to now.
	RecordProgress(now time.Time, ticket *Ticket, tokens int, took time.Duration)
	// AssumeSpeed sets the speed of the engines that is used until enough was observed.
	AssumeSpeed(speed persimengine.Speed)
	// Speed returns the speed of the engines and whether it was learned here.
	Speed() (persimengine.Speed, bool)
	// TakePrefills returns the latest prefills observed here that were not returned yet.
	TakePrefills() []persimengine.Prefill
	// RecordPrefills records the prefills that another host has observed.
	RecordPrefills(prefills []persimengine.Prefill)
	// Busy returns the number of upstreams that a load keeps busy, given the prompt tokens
	// to prefill and the tokens to generate in a second.
	Busy(promptTokens, outputTokens float64) float64
	// Silent reports whether an attempt's upstream has sent neither a response nor a
	// load report since the attempt started.
	Silent(ticket *Ticket) bool
	// EndAttempt records the end of an attempt.
	EndAttempt(now time.Time, ticket *Ticket, outcome Outcome)
	// RecordReport records a load report of an upstream, identified by the hash of its id.
	RecordReport(at time.Time, upstream uint64, report Report)
	// Reports returns the load reports that have not expired.
	Reports(now time.Time) map[uint64]TimedReport
	// SetPeerLoads replaces the loads that another host has placed on the upstreams, by hash
	// of the id; nil removes them.
	SetPeerLoads(now time.Time, host string, loads map[uint64]PeerLoad)
	// OwnLoads returns the load that this host has placed on the upstreams, by hash of
	// the id.
	OwnLoads() map[uint64]PeerLoad
	// Capacity returns the number of upstreams that take requests and are not ejected after
	// failures, each divided by the slowdown that it reports.
	Capacity(now time.Time) float64
	// Evidence returns what this host has observed of the capacity of upstreams lately.
	Evidence(now time.Time) persimengine.Evidence
	// SetPeerEvidence replaces what another host, or several together, have observed; nil
	// removes it.
	SetPeerEvidence(now time.Time, host string, evidence persimengine.Evidence)
	// Limited returns the upstreams that are known to be slower than the others or to take
	// fewer requests well than their slots.
	Limited() []LimitedUpstream
	// Count returns the number of upstreams that take requests and the number of all.
	Count() (usable, all int)
}

type placer struct {
	config
	cacheCapacity int
	byID          map[string]*upstreamState
	byHash        map[uint64]*upstreamState
	sorted        []*upstreamState
	peers         map[string]peerState
	// serviceTime is the exponential moving average of the response time of a plain service.
	serviceTime time.Duration
}

// New returns a placer without upstreams.
func New(opts ...Option) Placer {
	c := config{
		maxEjectedShare: DefaultMaxEjectedShare,
		ejectionTime:    DefaultEjectionTime,
		random:          rand.New(rand.NewPCG(1, 2)),
		model:           persimengine.New(),
		capacities:      persimengine.NewCapacities(1),
		gate:            openGate{},
	}
	for _, opt := range opts {
		opt(&c)
	}
	return &placer{config: c, byID: map[string]*upstreamState{}, byHash: map[uint64]*upstreamState{}, peers: map[string]peerState{}, serviceTime: initialServiceTime}
}

func (p *placer) SetCacheCapacity(capacity int) { p.cacheCapacity = capacity }

func (p *placer) SetUpstreams(upstreams []persimcatalog.Upstream) {
	kept := map[string]*upstreamState{}
	for _, upstream := range upstreams {
		existing, ok := p.byID[upstream.ID]
		if !ok || existing.Incarnation != upstream.Incarnation || existing.Address != upstream.Address {
			existing = newUpstreamState(upstream)
		}
		existing.Upstream = upstream
		kept[upstream.ID] = existing
	}
	p.byID = kept
	p.sorted = p.sorted[:0]
	p.byHash = map[uint64]*upstreamState{}
	for _, s := range kept {
		p.sorted = append(p.sorted, s)
		p.byHash[s.hash] = s
	}
	slices.SortFunc(p.sorted, func(a, b *upstreamState) int { return cmp.Compare(a.ID, b.ID) })
	p.setCapacities()
}

func (p *placer) Count() (int, int) {
	usable := 0
	for _, s := range p.sorted {
		if !s.Leaving {
			usable++
		}
	}
	return usable, len(p.sorted)
}

func (p *placer) Choose(now time.Time, request Request) (Choice, bool) {
	p.refreshCapacities(now)
	best, ok := p.choose(now, request, false)
	if ok {
		return best, true
	}
	if wait := p.shortestWait(now, request); wait > 0 {
		best.Wait = wait
		return best, false
	}
	return p.choose(now, request, true)
}

// shortestWait returns the shortest time until an upstream takes requests that takes none
// now, or zero if none is known.
func (p *placer) shortestWait(now time.Time, request Request) time.Duration {
	var shortest time.Duration
	for _, s := range p.sorted {
		if !request.allows(s) {
			continue
		}
		if wait, open := p.gate.Check(now, s.key); !open && wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// choose returns the best upstream that is not leaving and was not tried before.
// Without includeEjected it also skips ejected upstreams, up to their maximum number.
func (p *placer) choose(now time.Time, request Request, includeEjected bool) (Choice, bool) {
	preferred := p.preferred(request)
	var best Choice
	var bestCost time.Duration
	found := false
	passedOver := 0
	ejectionsLeft := p.maxEjected(request)
	for _, s := range p.sorted {
		if !request.allows(s) || slices.Contains(request.Exclude, s.ID) {
			continue
		}
		if !includeEjected && s.ejected(now) && ejectionsLeft > 0 {
			ejectionsLeft--
			continue
		}
		choice := p.estimate(now, s, request, preferred)
		cost := choice.Expected + choice.penalty + time.Duration(p.random.Int64N(int64(request.spread(choice))))
		if found && cost >= bestCost {
			continue
		}
		// The gate is asked last, as few upstreams come so far.
		if _, open := p.gate.Check(now, s.key); !open {
			passedOver++
			continue
		}
		best, bestCost, found = choice, cost, true
	}
	best.PassedOver = passedOver
	return best, found
}

// maxEjected returns the number of upstreams that may be ejected at a time, among those that
// a request may use.
func (p *placer) maxEjected(request Request) int {
	usable := 0
	for _, s := range p.sorted {
		if request.allows(s) {
			usable++
		}
	}
	return int(float64(usable) * p.maxEjectedShare)
}

// preferred returns the upstream that rendezvous hashing selects for the shared
// prefix of a prompt, which is the same on all hosts.
func (p *placer) preferred(request Request) *upstreamState {
	if len(request.Parts) < 2 {
		return nil
	}
	prefix := request.Parts[len(request.Parts)-2]
	key := strconv.FormatUint(prefix.ID, 16)
	var best *upstreamState
	var bestWeight uint64
	for _, s := range p.sorted {
		if !request.allows(s) {
			continue
		}
		if weight := xxhash.Sum64String(key + s.ID); best == nil || weight > bestWeight {
			best, bestWeight = s, weight
		}
	}
	return best
}

// estimate returns the choice of an upstream with its expected time to the first byte.
func (p *placer) estimate(now time.Time, s *upstreamState, request Request, preferred *upstreamState) Choice {
	load := p.load(now, s)
	slots := max(1, s.Slots)
	choice := Choice{Upstream: s.Upstream, Requests: load.Requests}
	queued := time.Duration(max(0, load.Requests+1-slots))
	slowdown := s.slowdown(now) * s.capacity.Factor(request.work())
	if request.Tokens == 0 {
		serviceTime := float64(p.serviceTime) * (1 + float64(load.Requests)/float64(slots))
		choice.Expected = time.Duration(serviceTime*slowdown) + queued*p.serviceTime/time.Duration(slots)
		choice.usual = p.serviceTime
		if s.capacity.Limited() {
			choice.penalty = p.penalty(s, load, p.serviceTime/time.Duration(slots), p.serviceTime)
		}
		return choice
	}
	choice.PrefillTokens = s.uncachedTokens(now, request, s == preferred)
	pendingTokens := load.Urgent
	if !request.Urgent {
		pendingTokens += load.Normal
	}
	speed := p.model.Speed()
	prefill := speed.Prefill(pendingTokens + choice.PrefillTokens)
	choice.Expected = time.Duration(float64(prefill)*slowdown) + time.Duration(load.Requests)*delayPerRequest + queued*speed.QueueStep(slots)
	choice.pendingTokens = pendingTokens
	if s.capacity.Limited() {
		choice.penalty = p.penalty(s, load, delayPerRequest, speed.Run)
	}
	unshared := mostlyUnshared(request, choice.PrefillTokens)
	choice.measurable = queued == 0 && slowdown <= maxMeasurableSlowdown && unshared
	if unshared {
		choice.usual = prefill
	}
	return choice
}

const (
	// maxMeasurableSlowdown is the slowdown up to which a response tells the speed.
	maxMeasurableSlowdown = 1.2
	// maxSharedShare is the largest share of the prompt tokens to prefill that may belong
	// to shared parts, which the upstream may have cached for other hosts.
	maxSharedShare = 0.2
)

// mostlyUnshared reports whether the tokens to prefill belong to the part of the prompt
// that no other request shares.
func mostlyUnshared(request Request, prefillTokens int) bool {
	if len(request.Parts) == 0 {
		return true
	}
	own := request.Parts[len(request.Parts)-1].Tokens
	return float64(prefillTokens-own) <= maxSharedShare*float64(prefillTokens)
}

func (p *placer) AssumeSpeed(speed persimengine.Speed) { p.model.Assume(speed) }

func (p *placer) Speed() (persimengine.Speed, bool) { return p.model.Speed(), p.model.Learned() }

func (p *placer) TakePrefills() []persimengine.Prefill { return p.model.TakePrefills() }

func (p *placer) RecordPrefills(prefills []persimengine.Prefill) { p.model.ObserveRemote(prefills) }

func (p *placer) Busy(promptTokens, outputTokens float64) float64 {
	slots := 1
	for _, s := range p.sorted {
		slots = max(slots, s.Slots)
	}
	return p.model.Speed().Busy(promptTokens, outputTokens, slots)
}
