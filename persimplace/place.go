// Package persimplace chooses the upstream for a request and tells how long its
// first answer will take there.
//
// It answers this load: prompts that share their beginnings arrive at many hosts
// at once, and a long one delays all others at its upstream. What an upstream
// reports is old when it arrives, so the choice rests on what this host has sent,
// on what the others say that they have sent, and on the place that all hosts
// compute for a shared beginning.
package persimplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimcatalog"
)

// Defaults of a placer.
const (
	// DefaultPrefillPerMS is the number of prompt tokens that an engine reads in a
	// millisecond.
	DefaultPrefillPerMS = 100.0
	// DefaultEjectable is the largest share of a service that is avoided at a time.
	DefaultEjectable = 0.5
	// DefaultPause is how long a failing upstream is avoided at first.
	DefaultPause = 1500 * time.Millisecond

	// perRunning is what each request that runs beside adds to the first answer.
	perRunning = 400 * time.Microsecond
	// overSlot is what each request beyond the slots adds.
	overSlot = 30 * time.Millisecond
	// plainService is what a request of a plain service takes before one was seen.
	plainService = 70 * time.Millisecond
	// presumed is the part of a shared beginning that its home is taken to hold.
	presumed = 0.8
	// failuresToPause is the number of failures in a row that make an upstream avoided.
	failuresToPause = 3
	// silenceToPause is how long past the expected first answer an upstream that
	// sends nothing at all is still used.
	silenceToPause = 600 * time.Millisecond
	maxPause       = 6 * time.Second
	// jitter spreads choices that are nearly alike.
	jitter = 3 * time.Millisecond
)

type config struct {
	prefillPerMS float64
	ejectable    float64
	pause        time.Duration
	random       *rand.Rand
}

// An Option changes the configuration of a placer.
type Option func(*config)

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(c *config) { c.random = random } }

// A Part is a piece of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// A Need is what a request asks of an upstream.
type Need struct {
	// Parts is the whole prompt in order; the last part belongs to the request.
	Parts []Part
	// Tokens is the size of the prompt, or zero for a plain service.
	Tokens int
	// Urgent marks requests that the engine admits before others.
	Urgent bool
	Centre string
	// Avoid lists the ids of upstreams that the request has been sent to.
	Avoid []string
}

// A Choice is an upstream with the expected time to the first answer.
type Choice struct {
	Upstream persimcatalog.Upstream
	Expected time.Duration
	// Read is the number of prompt tokens that are not taken to be cached there.
	Read int
	// Running is the number of requests that were taken to be there.
	Running int
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	OutcomeGood Outcome = iota
	// OutcomeFailed is a fault of the upstream.
	OutcomeFailed
	// OutcomeUnreached says that no connection came about.
	OutcomeUnreached
	// OutcomeFull is a refusal without having run.
	OutcomeFull
	// OutcomeLeft is an end that says nothing of the upstream.
	OutcomeLeft
)

// A Ticket is one attempt at an upstream.
type Ticket struct {
	upstream *state
	need     Need
	read     int
	sent     time.Time
	expected time.Duration
	begun    bool
	ended    bool
}

// A Placer chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Placer interface {
	// SetUpstreams replaces the upstreams and keeps what is known of those that stay.
	SetUpstreams(upstreams []persimcatalog.Upstream)
	// SetEngine sets the memory of an upstream in tokens, or zero for plain services.
	SetEngine(memory int)
	// Choose returns the upstream with the least expected time to the first answer.
	Choose(now time.Time, need Need) (Choice, bool)
	// Send records an attempt at a choice.
	Send(now time.Time, need Need, choice Choice) *Ticket
	// Begin records the first answer.
	Begin(now time.Time, ticket *Ticket)
	// Silent reports whether nothing was heard of an attempt's upstream since it was sent.
	Silent(ticket *Ticket) bool
	// End records the end of an attempt.
	End(now time.Time, ticket *Ticket, outcome Outcome)
	// Report records what an upstream, named by the hash of its id, said of its load
	// at a time.
	Report(at time.Time, upstream uint64, report Report)
	// Reports returns what upstreams said of their load lately.
	Reports(now time.Time) map[uint64]TimedReport
	// Peer records what another host has in the upstreams, by hash of the id.
	Peer(now time.Time, host string, loads map[uint64]PeerLoad)
	// Loads returns what this host has in the upstreams, by hash of the id.
	Loads() map[uint64]PeerLoad
	// Others sums what all hosts but some have in the upstreams, by hash of the id.
	Others(now time.Time, but ...string) map[uint64]PeerLoad
	// Count returns the number of upstreams that take requests and of all.
	Count() (usable, all int)
}

type placer struct {
	config
	memory int
	states map[string]*state
	hashes map[uint64]*state
	order  []*state
	peers  map[string]peerState
	// service is the usual time of a plain request.
	service time.Duration
}

// New returns a placer without upstreams.
func New(opts ...Option) Placer {
	c := config{
		prefillPerMS: DefaultPrefillPerMS,
		ejectable:    DefaultEjectable,
		pause:        DefaultPause,
		random:       rand.New(rand.NewPCG(1, 2)),
	}
	for _, opt := range opts {
		opt(&c)
	}
	return &placer{config: c, states: map[string]*state{}, hashes: map[uint64]*state{}, peers: map[string]peerState{}, service: plainService}
}

func (p *placer) SetEngine(memory int) { p.memory = memory }

func (p *placer) SetUpstreams(upstreams []persimcatalog.Upstream) {
	kept := map[string]*state{}
	for _, upstream := range upstreams {
		known, ok := p.states[upstream.ID]
		if !ok || known.Incarnation != upstream.Incarnation || known.Address != upstream.Address {
			known = newState(upstream.ID)
		}
		known.Upstream = upstream
		kept[upstream.ID] = known
	}
	p.states = kept
	p.order = p.order[:0]
	p.hashes = map[uint64]*state{}
	for _, s := range kept {
		p.order = append(p.order, s)
		p.hashes[s.hash] = s
	}
	slices.SortFunc(p.order, func(a, b *state) int { return cmp.Compare(a.ID, b.ID) })
}

func (p *placer) Count() (int, int) {
	usable := 0
	for _, s := range p.order {
		if !s.Leaving {
			usable++
		}
	}
	return usable, len(p.order)
}

func (p *placer) Choose(now time.Time, need Need) (Choice, bool) {
	best, ok := p.choose(now, need, false)
	if !ok {
		best, ok = p.choose(now, need, true)
	}
	return best, ok
}

// choose looks at upstreams that are not avoided, or at all that are not leaving.
func (p *placer) choose(now time.Time, need Need, all bool) (Choice, bool) {
	home := p.home(need)
	var best Choice
	var bestCost time.Duration
	found := false
	allowed := p.pausable()
	for _, s := range p.order {
		if s.Leaving || slices.Contains(need.Avoid, s.ID) {
			continue
		}
		if !all && s.paused(now) && allowed > 0 {
			allowed--
			continue
		}
		choice := p.estimate(now, s, need, home)
		cost := choice.Expected + time.Duration(p.random.Int64N(int64(jitter)))
		if !found || cost < bestCost {
			best, bestCost, found = choice, cost, true
		}
	}
	return best, found
}

// pausable is the number of upstreams that may be avoided at a time.
func (p *placer) pausable() int {
	usable, _ := p.Count()
	return int(float64(usable) * p.ejectable)
}

// home returns the upstream on which all hosts agree for a shared beginning.
func (p *placer) home(need Need) *state {
	if len(need.Parts) < 2 {
		return nil
	}
	shared := need.Parts[len(need.Parts)-2]
	key := strconv.FormatUint(shared.ID, 16)
	var best *state
	var bestRank uint64
	for _, s := range p.order {
		if s.Leaving {
			continue
		}
		if rank := xxhash.Sum64String(key + s.ID); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

func (p *placer) estimate(now time.Time, s *state, need Need, home *state) Choice {
	load := p.load(now, s)
	slots := max(1, s.Slots)
	choice := Choice{Upstream: s.Upstream, Running: load.Requests}
	excess := time.Duration(max(0, load.Requests+1-slots))
	slowdown := s.slowdown(now)
	if need.Tokens == 0 {
		work := float64(p.service) * (1 + float64(load.Requests)/float64(slots))
		choice.Expected = time.Duration(work*slowdown) + excess*p.service/time.Duration(slots)
		return choice
	}
	choice.Read = s.unread(now, need, s == home)
	ahead := load.Urgent
	if !need.Urgent {
		ahead += load.Normal
	}
	reading := float64(ahead+choice.Read) / p.prefillPerMS * slowdown
	choice.Expected = time.Duration(reading*float64(time.Millisecond)) +
		time.Duration(load.Requests)*perRunning + excess*overSlot
	return choice
}

func (p *placer) Send(now time.Time, need Need, choice Choice) *Ticket {
	s, ok := p.states[choice.Upstream.ID]
	if !ok {
		s = newState(choice.Upstream.ID)
		s.Upstream = choice.Upstream
	}
	t := &Ticket{upstream: s, need: need, read: choice.Read, sent: now, expected: choice.Expected}
	s.add(t)
	s.remember(now, need, p.memory)
	return t
}

func (p *placer) Begin(now time.Time, t *Ticket) {
	if t.begun {
		return
	}
	t.upstream.begin(now, t)
	if t.need.Tokens == 0 {
		took := now.Sub(t.sent)
		p.service += (took - p.service) / 16
	}
}

func (p *placer) Silent(t *Ticket) bool {
	return t.upstream.answered.Before(t.sent) && t.upstream.reportedAt.Before(t.sent)
}

func (p *placer) End(now time.Time, t *Ticket, outcome Outcome) {
	if t.ended {
		return
	}
	t.upstream.end(t)
	t.upstream.judge(now, outcome, p.pause)
}
