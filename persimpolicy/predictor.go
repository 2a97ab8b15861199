package persimpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxLengthEstimates = 4096
	// predictorSmoothing is the weight of a new sample in the moving averages.
	predictorSmoothing       = 0.05
	defaultAnswerTokens      = 64
	defaultInterTokenLatency = 20 * time.Millisecond
	defaultPrefillPerToken   = 300 * time.Microsecond
	maxPromptBucket          = 4
)

// predictor estimates service times. It learns the length of answers by
// organisation, service, profile class and prompt length, and the latency between
// tokens over all jobs.
type predictor struct {
	answerTokens map[uint64]float64
	// interTokenLatency and prefillPerToken are in seconds.
	interTokenLatency float64
	prefillPerToken   float64
}

func newPredictor() *predictor {
	return &predictor{
		answerTokens:      map[uint64]float64{},
		interTokenLatency: defaultInterTokenLatency.Seconds(),
		prefillPerToken:   defaultPrefillPerToken.Seconds(),
	}
}

func (p *predictor) estimateKey(job Job) uint64 {
	bucket := 0
	for size := job.PromptTokens; size >= 32 && bucket < maxPromptBucket; size /= 4 {
		bucket++
	}
	return xxhash.Sum64String(job.Organisation+"\x00"+job.Service+"\x00"+string(job.Profile.Class)) + uint64(bucket)
}

// remainingTokens returns the expected number of tokens still to be generated.
func (p *predictor) remainingTokens(job Job) float64 {
	expected, ok := p.answerTokens[p.estimateKey(job)]
	if !ok {
		expected = defaultAnswerTokens
	}
	if job.MaxTokens > 0 {
		expected = min(expected, float64(job.MaxTokens))
	}
	return max(1, expected-float64(job.ReleasedTokens))
}

// observeLength updates the estimate with the length of a finished answer. When
// the table is full, lengths under new keys are ignored.
func (p *predictor) observeLength(job Job, tokens int) {
	key := p.estimateKey(job)
	estimate, ok := p.answerTokens[key]
	if !ok {
		if len(p.answerTokens) >= maxLengthEstimates {
			return
		}
		p.answerTokens[key] = float64(tokens)
		return
	}
	p.answerTokens[key] = estimate + predictorSmoothing*(float64(tokens)-estimate)
}

func (p *predictor) observeInterTokenLatency(latency time.Duration) {
	p.interTokenLatency += predictorSmoothing * (latency.Seconds() - p.interTokenLatency)
}

func (p *predictor) serviceTime(job Job) time.Duration {
	return time.Duration(p.remainingTokens(job)*p.interTokenLatency*float64(time.Second)) + p.prefillTime(job)
}

func (p *predictor) prefillTime(job Job) time.Duration {
	return time.Duration(float64(job.PromptTokens+job.ReleasedTokens) * p.prefillPerToken * float64(time.Second))
}
