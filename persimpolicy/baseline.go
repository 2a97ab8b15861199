package persimpolicy

import (
	"slices"
	"strconv"
	"time"

	"persimmonport.example/persimrouter"
)

const (
	// BaselineTimeout is the time since arrival after which the baseline refuses a
	// queued job.
	BaselineTimeout = 30 * time.Second

	// baselineUpstreamSlots is the number of concurrent attempts per upstream, from
	// all entry hosts.
	baselineUpstreamSlots = 16
)

type baselineAttempt struct {
	address string
}

// baseline is a round-robin policy with one FIFO queue, no hedging and a fixed
// timeout. Other policies are compared against it.
type baseline struct {
	upstreams  []persimrouter.Upstream
	entryHosts int
	queue      []Job
	nextIndex  int
	inFlight   map[string]int
	attempts   map[string]baselineAttempt
	sequence   uint64
}

// NewBaseline returns the round-robin policy.
func NewBaseline() Policy {
	return &baseline{entryHosts: 1, inFlight: map[string]int{}, attempts: map[string]baselineAttempt{}}
}

func (b *baseline) SetUpstreams(upstreams []persimrouter.Upstream) {
	b.upstreams = slices.Clone(upstreams)
}

func (b *baseline) SetHosts(hosts int) { b.entryHosts = max(1, hosts) }

func (b *baseline) Waiting() int { return len(b.queue) }

func (b *baseline) Demand(time.Time) float64 {
	slots := len(b.queue)
	for _, count := range b.inFlight {
		slots += count
	}
	return float64(slots * b.entryHosts)
}

func (b *baseline) Offer(_ time.Time, job Job) (Refusal, bool) {
	b.queue = append(b.queue, job)
	return Refusal{}, true
}

func (b *baseline) Requeue(now time.Time, job Job, _ bool) bool {
	if now.After(job.Deadline) {
		return false
	}
	b.queue = append(b.queue, job)
	return true
}

func (b *baseline) Withdraw(id string) {
	b.queue = slices.DeleteFunc(b.queue, func(job Job) bool { return job.ID == id })
}

func (b *baseline) Next(now time.Time) Decision {
	var decision Decision
	for len(b.queue) > 0 && now.Sub(b.queue[0].Arrived) > BaselineTimeout {
		decision.Refused = append(decision.Refused, RefusedJob{Job: b.queue[0].ID, Refusal: Refusal{Cause: CauseDeadline}})
		b.queue = b.queue[1:]
	}
	for len(b.queue) > 0 {
		upstream, ok := b.nextAvailable()
		if !ok {
			break
		}
		decision.Starts = append(decision.Starts, b.startAttempt(upstream))
	}
	return decision
}

func (b *baseline) nextAvailable() (persimrouter.Upstream, bool) {
	limit := max(1, baselineUpstreamSlots/b.entryHosts)
	for range b.upstreams {
		upstream := b.upstreams[b.nextIndex%len(b.upstreams)]
		b.nextIndex++
		if b.inFlight[upstream.Address] < limit {
			return upstream, true
		}
	}
	return persimrouter.Upstream{}, false
}

func (b *baseline) startAttempt(upstream persimrouter.Upstream) Dispatch {
	job := b.queue[0]
	b.queue = b.queue[1:]
	b.sequence++
	attempt := job.ID + "/" + strconv.FormatUint(b.sequence, 36)
	b.inFlight[upstream.Address]++
	b.attempts[attempt] = baselineAttempt{address: upstream.Address}
	return Dispatch{Job: job.ID, Attempt: attempt, Upstream: upstream}
}

func (b *baseline) Progress(time.Time, string, int) {}

func (b *baseline) End(_ time.Time, attempt string, _ Result) {
	if a, ok := b.attempts[attempt]; ok {
		b.inFlight[a.address]--
		delete(b.attempts, attempt)
	}
}

func (b *baseline) Report(time.Time, string, persimrouter.Report) {}

func (b *baseline) Status(time.Time) []persimrouter.Status {
	statuses := make([]persimrouter.Status, len(b.upstreams))
	for i, upstream := range b.upstreams {
		statuses[i] = persimrouter.Status{Upstream: upstream, Usable: true, InFlight: b.inFlight[upstream.Address]}
	}
	return statuses
}
