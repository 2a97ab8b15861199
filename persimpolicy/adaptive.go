package persimpolicy

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"persimmonport.example/persimprofile"
	"persimmonport.example/persimqueue"
	"persimmonport.example/persimretry"
	"persimmonport.example/persimrouter"
)

const (
	// StragglerRatio is how many times its expected length an answer has when it is a straggler.
	StragglerRatio = 4.0

	prioritySpan  = 100
	hedgeAfter    = 3.0
	minHedgeWait  = 50 * time.Millisecond
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	firstWeight   = 0.05
	// minFirst is the least time to a first token beyond the prompt's computation.
	minFirst = 10 * time.Millisecond
)

type config struct {
	random *rand.Rand
	host   string
}

// An Option changes the configuration of a policy.
type Option func(*config)

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(c *config) { c.random = random } }

// WithHost names the entry host.
func WithHost(host string) Option { return func(c *config) { c.host = host } }

// running is one attempt in progress.
type running struct {
	job      Job
	attempt  string
	address  string
	need     persimrouter.Need
	started  time.Time
	expected float64
	tokens   int
	hedge    bool
	hedged   bool
	long     bool
}

type adaptive struct {
	queue     persimqueue.Queue
	router    persimrouter.Router
	retries   persimretry.Budget
	hedges    persimretry.Budget
	predictor *predictor
	waiting   map[string]Job
	attempts  map[string]*running
	order     []string
	sequence  uint64
	hosts     int
	// first is the mean time to the first token beyond the prompt's computation, in seconds.
	first   float64
	pending []Refused
}

// New returns the adaptive policy of one group of upstreams.
func New(opts ...Option) Policy {
	c := config{random: rand.New(rand.NewPCG(1, 2))}
	for _, opt := range opts {
		opt(&c)
	}
	return &adaptive{
		queue:     persimqueue.New(),
		router:    persimrouter.New(persimrouter.WithHost(c.host), persimrouter.WithRandom(c.random)),
		retries:   persimretry.New(),
		hedges:    persimretry.New(persimretry.WithReserve(1), persimretry.WithCeiling(20), persimretry.WithPerSecond(0)),
		predictor: newPredictor(),
		waiting:   map[string]Job{},
		attempts:  map[string]*running{},
		hosts:     1,
	}
}

func (a *adaptive) SetUpstreams(upstreams []persimrouter.Upstream) { a.router.SetUpstreams(upstreams) }

func (a *adaptive) SetHosts(hosts int) {
	a.hosts = hosts
	a.router.SetHosts(hosts)
}

func (a *adaptive) Waiting() int { return a.queue.Len() }

func (a *adaptive) Demand(now time.Time) float64 {
	return a.router.Load(now) + float64(a.queue.Len()*a.hosts)
}

func (a *adaptive) Status(now time.Time) []persimrouter.Status { return a.router.Status(now) }

func (a *adaptive) Report(now time.Time, address string, report persimrouter.Report) {
	a.router.Report(now, address, report)
}

func (a *adaptive) Offer(now time.Time, job Job) (Refusal, bool) {
	if refusal, ok := a.admit(now, job); !ok {
		return refusal, false
	}
	a.retries.Deposit(job.Profile.RetryShare)
	a.hedges.Deposit(job.Profile.HedgeShare)
	if a.push(now, job) {
		return Refusal{}, true
	}
	return Refusal{Cause: CauseOverload, RetryAfter: a.retryAfter()}, false
}

// admit refuses a job that cannot finish before its deadline, and a job of an
// organisation whose backlog exceeds its share while others wait.
func (a *adaptive) admit(now time.Time, job Job) (Refusal, bool) {
	service := a.predictor.service(job)
	if now.Add(service / 2).After(job.Deadline) {
		return Refusal{Cause: CauseDeadline}, false
	}
	wait := a.expectedWait(job)
	if now.Add(wait + service).After(job.Deadline) {
		return Refusal{Cause: CauseOverload, RetryAfter: a.retryAfter()}, false
	}
	return Refusal{}, true
}

// expectedWait estimates the wait of a job behind the work of its own
// organisation, all of which shares the slots with the other organisations.
func (a *adaptive) expectedWait(job Job) time.Duration {
	slots := max(1, a.router.Slots())
	others := a.queue.Organisations()
	own := a.queue.WorkOf(job.Organisation)
	if own == 0 {
		others++
	}
	return own * time.Duration(max(1, others)) / time.Duration(slots)
}

func (a *adaptive) retryAfter() time.Duration {
	wait := a.queue.Work() / time.Duration(max(1, a.router.Slots()))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// push queues a job and reports whether it still waits after any shedding.
func (a *adaptive) push(now time.Time, job Job) bool {
	a.waiting[job.ID] = job
	shed, full := a.queue.Push(a.item(now, job))
	if !full {
		return true
	}
	delete(a.waiting, shed.ID)
	if shed.ID == job.ID {
		return false
	}
	refusal := Refusal{Cause: CauseOverload, RetryAfter: a.retryAfter()}
	a.pending = append(a.pending, Refused{Job: shed.ID, Refusal: refusal})
	return true
}

func (a *adaptive) item(now time.Time, job Job) persimqueue.Item {
	lane := persimqueue.LaneShort
	if job.Profile.Class == persimprofile.ClassLong {
		lane = persimqueue.LaneLong
	}
	return persimqueue.Item{
		ID:           job.ID,
		Organisation: job.Organisation,
		Lane:         lane,
		Expected:     a.predictor.service(job),
		Arrived:      now,
		Deadline:     job.Deadline,
	}
}

func (a *adaptive) Requeue(now time.Time, job Job, forced bool) bool {
	if now.Add(a.predictor.service(job) / 2).After(job.Deadline) {
		return false
	}
	if !forced && !a.retries.Withdraw(now) {
		return false
	}
	return a.push(now, job)
}

func (a *adaptive) Withdraw(id string) {
	if _, ok := a.waiting[id]; !ok {
		return
	}
	delete(a.waiting, id)
	a.queue.Remove(id)
}

func (a *adaptive) Next(now time.Time) Outcome {
	a.router.Observe(now)
	outcome := Outcome{Refused: a.pending}
	a.pending = nil
	for _, item := range a.queue.Expire(now) {
		delete(a.waiting, item.ID)
		refusal := Refusal{Cause: CauseDeadline, RetryAfter: a.retryAfter()}
		outcome.Refused = append(outcome.Refused, Refused{Job: item.ID, Refusal: refusal})
	}
	for {
		dispatch, ok := a.startNext(now)
		if !ok {
			break
		}
		outcome.Starts = append(outcome.Starts, dispatch)
		if probe, ok := a.startProbe(now, dispatch.Attempt); ok {
			outcome.Starts = append(outcome.Starts, probe)
		}
	}
	outcome.Starts = append(outcome.Starts, a.startHedges(now)...)
	return outcome
}

func (a *adaptive) startNext(now time.Time) (Dispatch, bool) {
	var chosen persimrouter.Upstream
	var need persimrouter.Need
	exhausted := [2]bool{}
	item, ok := a.queue.Pop(now, func(item persimqueue.Item) bool {
		job := a.waiting[item.ID]
		if exhausted[item.Lane] && len(job.Avoid) == 0 {
			return false
		}
		need = a.need(job)
		upstream, found := a.router.Choose(now, need)
		if !found {
			exhausted[item.Lane] = true
			return false
		}
		chosen = upstream
		return true
	})
	if !ok {
		return Dispatch{}, false
	}
	job := a.waiting[item.ID]
	delete(a.waiting, item.ID)
	return a.start(now, job, need, chosen, false), true
}

func (a *adaptive) need(job Job) persimrouter.Need {
	return persimrouter.Need{
		Prefix:     job.Prefix,
		Prefill:    a.predictor.prompt(job),
		Expected:   a.predictor.service(job),
		Long:       job.Profile.Class == persimprofile.ClassLong,
		CostWeight: job.Profile.CostWeight,
		WaitWeight: job.Profile.WaitWeight,
		Avoid:      job.Avoid,
	}
}

func (a *adaptive) start(now time.Time, job Job, need persimrouter.Need, upstream persimrouter.Upstream, hedge bool) Dispatch {
	a.sequence++
	attempt := job.ID + "/" + strconv.FormatUint(a.sequence, 36)
	need.Attempt = attempt
	a.router.Start(now, need, upstream.Address)
	a.attempts[attempt] = &running{
		job:      job,
		attempt:  attempt,
		address:  upstream.Address,
		need:     need,
		started:  now,
		expected: a.predictor.length(job),
		hedge:    hedge,
		long:     need.Long,
	}
	a.order = append(a.order, attempt)
	return Dispatch{Job: job.ID, Attempt: attempt, Upstream: upstream, Hedge: hedge, Priority: a.priority(need, job)}
}

// priority orders attempts inside an engine; a lower number goes first.
func (a *adaptive) priority(need persimrouter.Need, job Job) int {
	if need.Long {
		return prioritySpan
	}
	return int(prioritySpan / (2 + job.Profile.WaitWeight))
}

// startProbe starts a second attempt of a job on an ejected upstream that may
// have recovered.
func (a *adaptive) startProbe(now time.Time, attempt string) (Dispatch, bool) {
	r := a.attempts[attempt]
	if r.job.Unrepeatable || r.long || r.job.Profile.HedgeShare == 0 {
		return Dispatch{}, false
	}
	upstream, ok := a.router.Probe(now, r.need)
	if !ok || !a.hedges.Withdraw(now) {
		return Dispatch{}, false
	}
	r.hedged = true
	return a.start(now, r.job, r.need, upstream, true), true
}

// startHedges starts second attempts of jobs that wait much longer than usual
// for their first token.
func (a *adaptive) startHedges(now time.Time) []Dispatch {
	var starts []Dispatch
	a.order = slices.DeleteFunc(a.order, func(attempt string) bool { return a.attempts[attempt] == nil })
	for _, attempt := range a.order {
		r := a.attempts[attempt]
		if !a.mayHedge(now, r) {
			continue
		}
		need := r.need
		need.Avoid = append(slices.Clone(r.job.Avoid), r.address)
		upstream, ok := a.router.Choose(now, need)
		if !ok || !a.hedges.Withdraw(now) {
			continue
		}
		r.hedged = true
		starts = append(starts, a.start(now, r.job, need, upstream, true))
	}
	return starts
}

func (a *adaptive) mayHedge(now time.Time, r *running) bool {
	if r.hedge || r.hedged || r.tokens > 0 || r.job.Unrepeatable || r.job.Profile.HedgeShare == 0 {
		return false
	}
	if a.first == 0 || a.hedges.Balance(now) < 1 {
		return false
	}
	patience := hedgeAfter * (1 + r.job.Profile.CostWeight/(1+r.job.Profile.WaitWeight))
	usual := r.need.Prefill + time.Duration(a.first*float64(time.Second))
	return now.Sub(r.started) > max(time.Duration(patience*float64(usual)), minHedgeWait)
}

func (a *adaptive) Progress(now time.Time, attempt string, tokens int) {
	r, ok := a.attempts[attempt]
	if !ok {
		return
	}
	first := r.tokens == 0
	r.tokens += tokens
	a.router.Progress(now, attempt, r.address, tokens, first)
	if first {
		wait := max(0, now.Sub(r.started)-r.need.Prefill).Seconds() + minFirst.Seconds()
		if a.first == 0 {
			a.first = wait
		}
		a.first += firstWeight * (wait - a.first)
	}
	if !r.long && float64(r.tokens) > StragglerRatio*r.expected {
		r.long = true
		a.router.Reclassify(attempt, r.address)
	}
}

func (a *adaptive) End(now time.Time, attempt string, result Result) {
	r, ok := a.attempts[attempt]
	if !ok {
		return
	}
	delete(a.attempts, attempt)
	a.router.End(now, attempt, r.address, result == ResultFailed)
	if result != ResultDone {
		return
	}
	a.predictor.learn(r.job, r.job.Done+r.tokens)
	if r.tokens > 1 {
		a.predictor.learnGap(now.Sub(r.started) / time.Duration(r.tokens))
	}
}
