package persimbench

import (
	"slices"
	"time"

	"persimmonport.example/persimpolicy"
	"persimmonport.example/persimprofile"
	"persimmonport.example/persimrouter"
)

// ideal is one policy for all hosts that knows true lengths, loads and speeds.
type ideal struct {
	run       *run
	usable    map[string]bool
	waiting   []persimpolicy.Job
	attempts  map[string]string
	running   map[string]int
	long      map[string]int
	longKinds map[string]bool
	served    map[string]float64
	serial    int
	decided   time.Time
}

const (
	idealReserve = 0.25
	idealQueue   = 1500
)

func newIdeal(r *run) *ideal {
	return &ideal{
		run: r, usable: map[string]bool{}, attempts: map[string]string{}, running: map[string]int{},
		long: map[string]int{}, longKinds: map[string]bool{}, served: map[string]float64{},
	}
}

func (p *ideal) SetUpstreams(upstreams []persimrouter.Upstream) {
	p.usable = map[string]bool{}
	for _, u := range upstreams {
		p.usable[u.Address] = true
	}
}

func (p *ideal) SetHosts(int) {}

func (p *ideal) Waiting() int { return len(p.waiting) }

func (p *ideal) Demand(time.Time) float64 { return 0 }

func (p *ideal) Status(time.Time) []persimrouter.Status { return nil }

func (p *ideal) Report(time.Time, string, persimrouter.Report) {}

func (p *ideal) Progress(time.Time, string, int) {}

func (p *ideal) Withdraw(string) {}

func (p *ideal) request(id string) *request { return p.run.entries[0].requests[id] }

func (p *ideal) serviceTime(job persimpolicy.Job) time.Duration {
	r := p.request(job.ID)
	return time.Duration(r.length-r.released)*tokenGap + time.Duration(r.prompt)*prefillToken
}

func (p *ideal) Offer(_ time.Time, job persimpolicy.Job) (persimpolicy.Refusal, bool) {
	if len(p.waiting) >= idealQueue {
		return persimpolicy.Refusal{Cause: persimpolicy.CauseOverload, RetryAfter: time.Second}, false
	}
	p.waiting = append(p.waiting, job)
	return persimpolicy.Refusal{}, true
}

func (p *ideal) Requeue(_ time.Time, job persimpolicy.Job, _ bool) bool {
	p.waiting = append(p.waiting, job)
	return true
}

func (p *ideal) Next(now time.Time) persimpolicy.Outcome {
	var outcome persimpolicy.Outcome
	if now.Sub(p.decided) < decideInterval || !p.hasRoom() {
		return outcome
	}
	p.decided = now
	p.waiting = slices.DeleteFunc(p.waiting, func(job persimpolicy.Job) bool {
		late := now.Add(p.serviceTime(job)).After(job.Deadline)
		if late {
			outcome.Refused = append(outcome.Refused, persimpolicy.Refused{
				Job: job.ID, Refusal: persimpolicy.Refusal{Cause: persimpolicy.CauseDeadline, RetryAfter: time.Second},
			})
		}
		return late
	})
	slices.SortStableFunc(p.waiting, p.compare)
	for i := 0; i < len(p.waiting); {
		job := p.waiting[i]
		w := p.choose(job)
		if w == nil && p.isLong(job) {
			break
		}
		if w == nil {
			i++
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		outcome.Starts = append(outcome.Starts, p.start(job, w))
	}
	return outcome
}

func (p *ideal) hasRoom() bool {
	return slices.ContainsFunc(p.run.order, func(w *worker) bool {
		return !w.dead && p.usable[w.address] && p.running[w.address] < w.slots
	})
}

// compare puts truly short jobs first, then the least served organisation.
func (p *ideal) compare(a, b persimpolicy.Job) int {
	first, second := p.isLong(a), p.isLong(b)
	if first != second {
		if first {
			return 1
		}
		return -1
	}
	if p.served[a.Organisation] < p.served[b.Organisation] {
		return -1
	}
	if p.served[a.Organisation] > p.served[b.Organisation] {
		return 1
	}
	return 0
}

func (p *ideal) isLong(job persimpolicy.Job) bool {
	return job.Profile.Class == persimprofile.ClassLong || p.request(job.ID).straggler
}

func (p *ideal) choose(job persimpolicy.Job) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range p.run.order {
		limit := w.slots
		taken := p.running[w.address]
		if p.isLong(job) {
			limit = int(float64(w.slots) * (1 - idealReserve))
			taken = max(p.long[w.address], taken-w.slots+limit)
		}
		if w.dead || !p.usable[w.address] || taken >= limit || p.running[w.address] >= w.slots {
			continue
		}
		score := w.slow * float64(1+p.running[w.address])
		if w.isCached(job.Prefix) {
			score *= 0.8
		}
		if best == nil || score < bestScore {
			best = w
			bestScore = score
		}
	}
	if best != nil && best.slow > 2 {
		return nil
	}
	return best
}

func (p *ideal) start(job persimpolicy.Job, w *worker) persimpolicy.Dispatch {
	p.serial++
	attempt := job.ID + "/" + itoa(p.serial)
	p.attempts[attempt] = w.address
	p.running[w.address]++
	if p.isLong(job) {
		p.long[w.address]++
		p.longKinds[attempt] = true
	}
	p.served[job.Organisation] += p.serviceTime(job).Seconds()
	return persimpolicy.Dispatch{Job: job.ID, Attempt: attempt, Upstream: persimrouter.Upstream{Address: w.address}}
}

func (p *ideal) End(_ time.Time, attempt string, _ persimpolicy.Result) {
	address, ok := p.attempts[attempt]
	if !ok {
		return
	}
	delete(p.attempts, attempt)
	p.running[address]--
	if p.longKinds[attempt] {
		p.long[address]--
		delete(p.longKinds, attempt)
	}
}
