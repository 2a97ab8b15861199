package persimsoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"persimmonport.example/platform"
)

const (
	// The prompts of streams consist of sharedPart, one of groupCount parts from firstGroup
	// on, deadlyPart in one stream of deadlyInterval while it is deadly, and an own part.
	sharedPart     = 0x5c1e07a2
	firstGroup     = 0x91bd3f00
	groupCount     = 32
	deadlyPart     = 0xe4402b7d
	deadlyInterval = 25

	sharedTokens = 800
	groupTokens  = 410
	deadlyTokens = 250
	ownTokens    = 60
	outputTokens = 80

	minPoisonDowntime = time.Second
	maxPoisonDowntime = 3 * time.Second
	// knownAfterCrashes is the number of crashes after which hosts must know the part.
	knownAfterCrashes = 5
	// maxLateDeadly is the number of requests with the part that may reach upstreams
	// once hosts must know it.
	maxLateDeadly = 3
	// minComparedStreams is the number of streams that a compared share needs.
	minComparedStreams = 20
	// minSoundShare is the least share of sound streams that are served once hosts must
	// know the part, relative to the share without faults.
	minSoundShare = 0.5
)

// poison tracks when deadlyPart is deadly and the crashes that it caused.
type poison struct {
	mu      sync.Mutex
	random  *rand.Rand
	period  interval
	crashes []time.Time
}

// begin makes the part deadly until the returned function is called.
func (p *poison) begin() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.period = interval{from: time.Now()}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.period.until = time.Now()
	}
}

func (p *poison) isDeadly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.period.from.IsZero() && p.period.until.IsZero()
}

// killedBy reports whether an upstream crashes when it begins to answer a request.
func (p *poison) killedBy(r *http.Request) bool {
	prompt, ok, err := platform.DecodePrompt(r.Header)
	if !ok || err != nil || len(prompt.Parts) == 0 || !p.isDeadly() {
		return false
	}
	shared := prompt.Parts[:len(prompt.Parts)-1]
	return slices.ContainsFunc(shared, func(part platform.Part) bool { return part.ID == deadlyPart })
}

// recordCrash records a crash and returns how long the upstream stays away.
func (p *poison) recordCrash() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
	return minPoisonDowntime + time.Duration(p.random.Int64N(int64(maxPoisonDowntime-minPoisonDowntime)))
}

// known returns the period in which hosts must know the part, which starts the given time
// after the crash that makes it known. It returns false if there is none.
func (p *poison) known(after time.Duration) (interval, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < knownAfterCrashes {
		return interval{}, false
	}
	known := interval{from: p.crashes[knownAfterCrashes-1].Add(after), until: p.period.until}
	return known, known.from.Before(known.until)
}

// checkPoison checks that hosts keep requests with the deadly part from the upstreams,
// and serve other streams, once they must know the part. It returns the figures.
func (c *checker) checkPoison() string {
	contact := bounds().Contact + timingTolerance
	known, ok := c.system.upstreams.poison.known(contact)
	if !ok {
		return ""
	}
	late := 0
	for _, o := range c.outcomes {
		if o.deadly && c.reachedAfter(o, known.from) && c.system.hosts[o.hostIndex].faultFree(o.sent, o.ended, true) {
			late++
		}
	}
	figures := fmt.Sprintf("%d reached upstreams later than %s after crash %d of %d",
		late, contact, knownAfterCrashes, len(c.system.upstreams.poison.crashes))
	if late > maxLateDeadly {
		c.recordViolation("deadly requests are kept from upstreams", "%s", figures)
	}
	return figures + "; " + c.checkSoundStreams(contact)
}

func (c *checker) reachedAfter(o outcome, moment time.Time) bool {
	return slices.ContainsFunc(c.system.upstreams.executions.forRequest(o.id), func(e execution) bool { return e.at.After(moment) })
}

// checkSoundStreams compares the served share of streams without the deadly part with
// that outside all faults. It returns the figures.
func (c *checker) checkSoundStreams(contact time.Duration) string {
	known, ok := c.system.upstreams.poison.known(2 * contact)
	if !ok {
		return "no sound streams compared"
	}
	var during, without share
	for _, o := range c.outcomes {
		if !o.isStream() || o.deadly {
			continue
		}
		if o.sent.After(known.from) && o.ended.Before(known.until) {
			during.add(o)
		}
		if !c.system.hadAnyFault(o.sent, o.ended) {
			without.add(o)
		}
	}
	figures := fmt.Sprintf("sound streams served: %d of %d, without faults %d of %d",
		during.served, during.sent, without.served, without.sent)
	if min(during.sent, without.sent) >= minComparedStreams && during.ratio() < minSoundShare*without.ratio() {
		c.recordViolation("sound streams are served beside deadly ones", "%s", figures)
	}
	return figures
}

// share counts requests and those of them that were served.
type share struct{ served, sent int }

func (s *share) add(o outcome) {
	s.sent++
	if o.served() {
		s.served++
	}
}

func (s *share) ratio() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// hadAnyFault reports whether any host or upstream had a fault or a planned stop between
// two moments, or the deadly part was deadly.
func (s *system) hadAnyFault(from, until time.Time) bool {
	faulty := func(i interval) bool { return i.overlaps(from, until) }
	u := s.upstreams
	if !u.poison.period.from.IsZero() && faulty(u.poison.period) {
		return true
	}
	for _, list := range u.faults {
		if slices.ContainsFunc(list, faulty) {
			return true
		}
	}
	return slices.ContainsFunc(s.hosts, func(h *host) bool {
		return slices.ContainsFunc(slices.Concat(h.processFaults, h.storeFaults, h.plannedStops), faulty)
	})
}
