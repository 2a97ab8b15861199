package persimpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	predictorCells  = 4096
	predictorWeight = 0.05
	defaultLength   = 64
	defaultGap      = 20 * time.Millisecond
	defaultPrefill  = 300 * time.Microsecond
	promptBuckets   = 4
)

// predictor learns the length of answers by organisation, service and prompt length.
type predictor struct {
	cells   map[uint64]float64
	gap     float64
	prefill float64
}

func newPredictor() *predictor {
	return &predictor{
		cells:   map[uint64]float64{},
		gap:     defaultGap.Seconds(),
		prefill: defaultPrefill.Seconds(),
	}
}

func (p *predictor) cell(job Job) uint64 {
	bucket := 0
	for size := job.PromptTokens; size >= 32 && bucket < promptBuckets; size /= 4 {
		bucket++
	}
	return xxhash.Sum64String(job.Organisation+"\x00"+job.Service+"\x00"+string(job.Profile.Class)) + uint64(bucket)
}

// length returns the expected number of tokens still to come.
func (p *predictor) length(job Job) float64 {
	expected, ok := p.cells[p.cell(job)]
	if !ok {
		expected = defaultLength
	}
	if job.MaxTokens > 0 {
		expected = min(expected, float64(job.MaxTokens))
	}
	return max(1, expected-float64(job.Done))
}

func (p *predictor) learn(job Job, tokens int) {
	key := p.cell(job)
	known, ok := p.cells[key]
	if !ok {
		if len(p.cells) >= predictorCells {
			return
		}
		p.cells[key] = float64(tokens)
		return
	}
	p.cells[key] = known + predictorWeight*(float64(tokens)-known)
}

func (p *predictor) learnGap(gap time.Duration) {
	p.gap += predictorWeight * (gap.Seconds() - p.gap)
}

func (p *predictor) service(job Job) time.Duration {
	return time.Duration(p.length(job)*p.gap*float64(time.Second)) + p.prompt(job)
}

func (p *predictor) prompt(job Job) time.Duration {
	return time.Duration(float64(job.PromptTokens+job.Done) * p.prefill * float64(time.Second))
}
