package persimbench

import (
	"slices"
	"time"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimrouter"
)

// idealPolicy is a reference policy shared by all hosts that knows the true output
// lengths, loads and speeds.
type idealPolicy struct {
	sim              *simulation
	available        map[string]bool
	waiting          []persimpolicy.Job
	addressByAttempt map[string]string
	runningByAddress map[string]int
	longByAddress    map[string]int
	longAttempts     map[string]bool
	servedSeconds    map[string]float64
	serial           int
	lastDecision     time.Time
}

const (
	// idealReservedShare is the share of a worker's slots that long jobs must not use.
	idealReservedShare = 0.25
	// idealQueueLimit is the number of waiting jobs above which jobs are refused.
	idealQueueLimit = 1500
)

func newIdealPolicy(sim *simulation) *idealPolicy {
	return &idealPolicy{
		sim: sim, available: map[string]bool{}, addressByAttempt: map[string]string{}, runningByAddress: map[string]int{},
		longByAddress: map[string]int{}, longAttempts: map[string]bool{}, servedSeconds: map[string]float64{},
	}
}

func (p *idealPolicy) SetUpstreams(upstreams []persimrouter.Upstream) {
	p.available = map[string]bool{}
	for _, u := range upstreams {
		p.available[u.Address] = true
	}
}

func (p *idealPolicy) SetHosts(int) {}

func (p *idealPolicy) Waiting() int { return len(p.waiting) }

func (p *idealPolicy) Demand(time.Time) float64 { return 0 }

func (p *idealPolicy) Status(time.Time) []persimrouter.Status { return nil }

func (p *idealPolicy) Report(time.Time, string, persimrouter.Report) {}

func (p *idealPolicy) Progress(time.Time, string, int) {}

func (p *idealPolicy) Withdraw(string) {}

func (p *idealPolicy) request(id string) *request { return p.sim.hosts[0].requests[id] }

// remainingServiceTime returns the time to prefill the prompt and generate the tokens
// that are not released yet, on a full worker.
func (p *idealPolicy) remainingServiceTime(job persimpolicy.Job) time.Duration {
	r := p.request(job.ID)
	return time.Duration(r.outputTokens-r.releasedTokens)*tokenInterval + time.Duration(r.promptTokens)*prefillPerToken
}

func (p *idealPolicy) Offer(_ time.Time, job persimpolicy.Job) (persimpolicy.Refusal, bool) {
	if len(p.waiting) >= idealQueueLimit {
		return persimpolicy.Refusal{Cause: persimpolicy.CauseOverload, RetryAfter: time.Second}, false
	}
	p.waiting = append(p.waiting, job)
	return persimpolicy.Refusal{}, true
}

func (p *idealPolicy) Requeue(_ time.Time, job persimpolicy.Job, _ bool) bool {
	p.waiting = append(p.waiting, job)
	return true
}

func (p *idealPolicy) Next(now time.Time) persimpolicy.Decision {
	var decision persimpolicy.Decision
	if now.Sub(p.lastDecision) < policyInterval || !p.hasFreeSlot() {
		return decision
	}
	p.lastDecision = now
	p.waiting = slices.DeleteFunc(p.waiting, func(job persimpolicy.Job) bool {
		expired := now.Add(p.remainingServiceTime(job)).After(job.Deadline)
		if expired {
			decision.Refused = append(decision.Refused, persimpolicy.RefusedJob{
				Job: job.ID, Refusal: persimpolicy.Refusal{Cause: persimpolicy.CauseDeadline, RetryAfter: time.Second},
			})
		}
		return expired
	})
	slices.SortStableFunc(p.waiting, p.compare)
	for i := 0; i < len(p.waiting); {
		job := p.waiting[i]
		w := p.chooseWorker(job)
		if w == nil && p.isLong(job) {
			break
		}
		if w == nil {
			i++
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		decision.Starts = append(decision.Starts, p.startAttempt(job, w))
	}
	return decision
}

func (p *idealPolicy) hasFreeSlot() bool {
	return slices.ContainsFunc(p.sim.workers, func(w *worker) bool {
		return !w.down && p.available[w.address] && p.runningByAddress[w.address] < w.slots
	})
}

// compare orders jobs by their true length, short before long, and then by the service
// time that their organisations have received, least first.
func (p *idealPolicy) compare(a, b persimpolicy.Job) int {
	aLong, bLong := p.isLong(a), p.isLong(b)
	if aLong != bLong {
		if aLong {
			return 1
		}
		return -1
	}
	if p.servedSeconds[a.Organisation] < p.servedSeconds[b.Organisation] {
		return -1
	}
	if p.servedSeconds[a.Organisation] > p.servedSeconds[b.Organisation] {
		return 1
	}
	return 0
}

func (p *idealPolicy) isLong(job persimpolicy.Job) bool {
	return job.Profile.Class == persimprofile.ClassLong || p.request(job.ID).straggler
}

// chooseWorker returns the worker with the best score for a job. It returns nil if no
// slot is free or if the best worker is slowed by more than a factor of 2.
func (p *idealPolicy) chooseWorker(job persimpolicy.Job) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range p.sim.workers {
		limit := w.slots
		used := p.runningByAddress[w.address]
		if p.isLong(job) {
			limit = int(float64(w.slots) * (1 - idealReservedShare))
			used = max(p.longByAddress[w.address], used-w.slots+limit)
		}
		if w.down || !p.available[w.address] || used >= limit || p.runningByAddress[w.address] >= w.slots {
			continue
		}
		score := w.slowFactor * float64(1+p.runningByAddress[w.address])
		if w.isCached(job.Prefix) {
			score *= 0.8
		}
		if best == nil || score < bestScore {
			best = w
			bestScore = score
		}
	}
	if best != nil && best.slowFactor > 2 {
		return nil
	}
	return best
}

func (p *idealPolicy) startAttempt(job persimpolicy.Job, w *worker) persimpolicy.Dispatch {
	p.serial++
	attemptID := job.ID + "/" + itoa(p.serial)
	p.addressByAttempt[attemptID] = w.address
	p.runningByAddress[w.address]++
	if p.isLong(job) {
		p.longByAddress[w.address]++
		p.longAttempts[attemptID] = true
	}
	p.servedSeconds[job.Organisation] += p.remainingServiceTime(job).Seconds()
	return persimpolicy.Dispatch{Job: job.ID, Attempt: attemptID, Upstream: persimrouter.Upstream{Address: w.address}}
}

func (p *idealPolicy) End(_ time.Time, attemptID string, _ persimpolicy.Result) {
	address, ok := p.addressByAttempt[attemptID]
	if !ok {
		return
	}
	delete(p.addressByAttempt, attemptID)
	p.runningByAddress[address]--
	if p.longAttempts[attemptID] {
		p.longByAddress[address]--
		delete(p.longAttempts, attemptID)
	}
}
