package persimbench

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
)

// request is one request of a load.
type request struct {
	id           string
	organisation string
	class        persimprofile.Class
	prefix       uint64
	prompt       int
	length       int
	arrived      time.Time
	deadline     time.Time
	first        time.Time
	ended        time.Time
	refused      bool
	released     int
	straggler    bool
	tries        int
}

// Mix describes the requests of a load.
type Mix struct {
	// LongShare is the share of requests that are long.
	LongShare float64
	// StragglerShare is the share of requests that run 20 times longer.
	StragglerShare float64
	// Organisations are the weights of the organisations.
	Organisations []float64
	// Prefixes is the number of distinct prompt heads.
	Prefixes int
	// ShortPatience and LongPatience bound the wait of a request.
	ShortPatience time.Duration
	LongPatience  time.Duration
}

// DefaultMix returns a mix of quick questions and long matches.
func DefaultMix() Mix {
	return Mix{
		LongShare:      0.3,
		StragglerShare: 0.01,
		Organisations:  []float64{4, 3, 1, 1, 1},
		Prefixes:       60,
		ShortPatience:  20 * time.Second,
		LongPatience:   5 * time.Minute,
	}
}

const (
	shortLength    = 32
	longLength     = 320
	shortPrompt    = 200
	longPrompt     = 800
	lengthSpread   = 0.4
	stragglerRatio = 20
)

// tokensPerRequest is the mean length of an answer.
func (m Mix) tokensPerRequest() float64 {
	spread := math.Exp(lengthSpread * lengthSpread / 2)
	mean := spread * (m.LongShare*longLength + (1-m.LongShare)*shortLength)
	return mean * (1 + m.StragglerShare*(stragglerRatio-1))
}

// serviceTime is the mean time of a request on a full worker.
func (m Mix) serviceTime() time.Duration {
	prompt := m.LongShare*longPrompt + (1-m.LongShare)*shortPrompt
	seconds := m.tokensPerRequest()*tokenGap.Seconds() + prompt*prefillToken.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// generator draws requests.
type generator struct {
	mix    Mix
	random *rand.Rand
	serial int
}

func (g *generator) next(now time.Time) *request {
	g.serial++
	r := &request{
		id:           "r" + itoa(g.serial),
		organisation: g.organisation(),
		class:        persimprofile.ClassShort,
		prefix:       1 + uint64(g.random.IntN(g.mix.Prefixes)),
		prompt:       shortPrompt,
		arrived:      now,
		deadline:     now.Add(g.mix.ShortPatience),
	}
	mean := float64(shortLength)
	if g.random.Float64() < g.mix.LongShare {
		r.class = persimprofile.ClassLong
		r.prompt = longPrompt
		r.deadline = now.Add(g.mix.LongPatience)
		mean = longLength
	}
	if g.random.Float64() < g.mix.StragglerShare {
		r.straggler = true
		mean *= stragglerRatio
		r.deadline = now.Add(g.mix.LongPatience)
	}
	r.length = max(1, int(mean*math.Exp(lengthSpread*g.random.NormFloat64())))
	return r
}

func (g *generator) organisation() string {
	total := 0.0
	for _, weight := range g.mix.Organisations {
		total += weight
	}
	pick := g.random.Float64() * total
	for i, weight := range g.mix.Organisations {
		pick -= weight
		if pick < 0 {
			return "org-" + itoa(i)
		}
	}
	return "org-0"
}

// job returns the request as a policy sees it.
func (r *request) job(profile persimprofile.Profile) persimpolicy.Job {
	profile.Class = r.class
	return persimpolicy.Job{
		ID:           r.id,
		Organisation: r.organisation,
		Service:      string(r.class),
		Profile:      profile,
		Prefix:       r.prefix,
		PromptTokens: r.prompt,
		Done:         r.released,
		Arrived:      r.arrived,
		Deadline:     r.deadline,
	}
}
