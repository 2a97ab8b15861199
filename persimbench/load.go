package persimbench

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
)

// request is a simulated request and its progress.
type request struct {
	id             string
	organisation   string
	class          persimprofile.Class
	prefixHash     uint64
	promptTokens   int
	outputTokens   int
	arrivedAt      time.Time
	deadline       time.Time
	firstTokenAt   time.Time
	endedAt        time.Time
	refused        bool
	releasedTokens int
	straggler      bool
	retries        int
}

// Mix describes the requests of a workload.
type Mix struct {
	// LongShare is the share of requests of the long class.
	LongShare float64
	// StragglerShare is the share of requests whose output is 20 times longer.
	StragglerShare float64
	// OrganisationWeights are the relative request rates of the organisations.
	OrganisationWeights []float64
	// DistinctPrefixes is the number of distinct prompt prefixes.
	DistinctPrefixes int
	// ShortPatience and LongPatience are the times from arrival to deadline; stragglers
	// of either class have LongPatience.
	ShortPatience time.Duration
	LongPatience  time.Duration
}

// DefaultMix returns a mix of short questions and long matches.
func DefaultMix() Mix {
	return Mix{
		LongShare:           0.3,
		StragglerShare:      0.01,
		OrganisationWeights: []float64{4, 3, 1, 1, 1},
		DistinctPrefixes:    60,
		ShortPatience:       20 * time.Second,
		LongPatience:        5 * time.Minute,
	}
}

const (
	shortOutputTokens = 32
	longOutputTokens  = 320
	shortPromptTokens = 200
	longPromptTokens  = 800
	// outputSigma is the standard deviation of the logarithm of the output length.
	outputSigma = 0.4
	// stragglerFactor multiplies the mean output length of stragglers.
	stragglerFactor = 20
)

// meanOutputTokens returns the mean output length of a request.
func (m Mix) meanOutputTokens() float64 {
	logNormalMean := math.Exp(outputSigma * outputSigma / 2)
	mean := logNormalMean * (m.LongShare*longOutputTokens + (1-m.LongShare)*shortOutputTokens)
	return mean * (1 + m.StragglerShare*(stragglerFactor-1))
}

// meanServiceTime returns the mean service time of a request on a full worker.
func (m Mix) meanServiceTime() time.Duration {
	prompt := m.LongShare*longPromptTokens + (1-m.LongShare)*shortPromptTokens
	seconds := m.meanOutputTokens()*tokenInterval.Seconds() + prompt*prefillPerToken.Seconds()
	return time.Duration(seconds * float64(time.Second))
}

// requestGenerator draws random requests from a mix.
type requestGenerator struct {
	mix    Mix
	rng    *rand.Rand
	serial int
}

func (g *requestGenerator) next(now time.Time) *request {
	g.serial++
	r := &request{
		id:           "r" + itoa(g.serial),
		organisation: g.pickOrganisation(),
		class:        persimprofile.ClassShort,
		prefixHash:   1 + uint64(g.rng.IntN(g.mix.DistinctPrefixes)),
		promptTokens: shortPromptTokens,
		arrivedAt:    now,
		deadline:     now.Add(g.mix.ShortPatience),
	}
	mean := float64(shortOutputTokens)
	if g.rng.Float64() < g.mix.LongShare {
		r.class = persimprofile.ClassLong
		r.promptTokens = longPromptTokens
		r.deadline = now.Add(g.mix.LongPatience)
		mean = longOutputTokens
	}
	if g.rng.Float64() < g.mix.StragglerShare {
		r.straggler = true
		mean *= stragglerFactor
		r.deadline = now.Add(g.mix.LongPatience)
	}
	r.outputTokens = max(1, int(mean*math.Exp(outputSigma*g.rng.NormFloat64())))
	return r
}

// pickOrganisation draws an organisation by weight.
func (g *requestGenerator) pickOrganisation() string {
	total := 0.0
	for _, weight := range g.mix.OrganisationWeights {
		total += weight
	}
	draw := g.rng.Float64() * total
	for i, weight := range g.mix.OrganisationWeights {
		draw -= weight
		if draw < 0 {
			return "org-" + itoa(i)
		}
	}
	return "org-0"
}

// job returns the policy's view of the request.
func (r *request) job(profile persimprofile.Profile) persimpolicy.Job {
	profile.Class = r.class
	return persimpolicy.Job{
		ID:             r.id,
		Organisation:   r.organisation,
		Service:        string(r.class),
		Profile:        profile,
		Prefix:         r.prefixHash,
		PromptTokens:   r.promptTokens,
		ReleasedTokens: r.releasedTokens,
		Arrived:        r.arrivedAt,
		Deadline:       r.deadline,
	}
}
