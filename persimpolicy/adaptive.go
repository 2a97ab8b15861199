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
	// StragglerRatio is the ratio of released to expected tokens above which an
	// attempt is a straggler and counts as long.
	StragglerRatio = 4.0

	// maxPriority is the priority value of long jobs; engines run lower values first.
	maxPriority = 100
	// hedgeDelayRatio is the ratio of actual to expected delay of the first token
	// above which a job with no cost weight is hedged.
	hedgeDelayRatio = 3.0
	minHedgeDelay   = 50 * time.Millisecond
	minRetryAfter   = 100 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
	// firstTokenSmoothing is the weight of a new sample in the moving average of the
	// first-token delay.
	firstTokenSmoothing = 0.05
	// minFirstTokenDelay is the minimum time to the first token in excess of the
	// prefill time.
	minFirstTokenDelay = 10 * time.Millisecond
)

type config struct {
	random *rand.Rand
	host   string
}

// An Option changes the configuration of a policy.
type Option func(*config)

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option { return func(c *config) { c.random = random } }

// WithHost sets the name of the entry host.
func WithHost(host string) Option { return func(c *config) { c.host = host } }

// attemptState is the state of one attempt in progress.
type attemptState struct {
	job            Job
	id             string
	address        string
	spec           persimrouter.AttemptSpec
	started        time.Time
	expectedTokens float64
	releasedTokens int
	isHedge        bool
	hedged         bool
	long           bool
}

// adaptive is a policy with admission control, fair queueing, load-aware routing,
// retry and hedge budgets, and hedging of late first tokens.
type adaptive struct {
	queue        persimqueue.Queue
	router       persimrouter.Router
	retries      persimretry.Budget
	hedges       persimretry.Budget
	predictor    *predictor
	waiting      map[string]Job
	attempts     map[string]*attemptState
	attemptOrder []string
	sequence     uint64
	entryHosts   int
	// firstTokenDelay is the mean time to the first token in excess of the prefill
	// time, in seconds; zero before the first sample.
	firstTokenDelay float64
	pendingRefusals []RefusedJob
}

// New returns an adaptive policy for one group of upstreams.
func New(opts ...Option) Policy {
	c := config{random: rand.New(rand.NewPCG(1, 2))}
	for _, opt := range opts {
		opt(&c)
	}
	return &adaptive{
		queue:      persimqueue.New(),
		router:     persimrouter.New(persimrouter.WithHost(c.host), persimrouter.WithRandom(c.random)),
		retries:    persimretry.New(),
		hedges:     persimretry.New(persimretry.WithReserve(1), persimretry.WithMaxBalance(20), persimretry.WithPerSecond(0)),
		predictor:  newPredictor(),
		waiting:    map[string]Job{},
		attempts:   map[string]*attemptState{},
		entryHosts: 1,
	}
}

func (a *adaptive) SetUpstreams(upstreams []persimrouter.Upstream) { a.router.SetUpstreams(upstreams) }

func (a *adaptive) SetHosts(hosts int) {
	a.entryHosts = hosts
	a.router.SetHosts(hosts)
}

func (a *adaptive) Waiting() int { return a.queue.Len() }

func (a *adaptive) Demand(now time.Time) float64 {
	return a.router.Load(now) + float64(a.queue.Len()*a.entryHosts)
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
	if a.enqueue(now, job) {
		return Refusal{}, true
	}
	return Refusal{Cause: CauseOverload, RetryAfter: a.retryAfter()}, false
}

// admit refuses a job that cannot finish before its deadline, including a job of an
// organisation whose backlog exceeds its share while other organisations wait. The
// cause is CauseDeadline if half the expected service time is already too long.
func (a *adaptive) admit(now time.Time, job Job) (Refusal, bool) {
	serviceTime := a.predictor.serviceTime(job)
	if now.Add(serviceTime / 2).After(job.Deadline) {
		return Refusal{Cause: CauseDeadline}, false
	}
	wait := a.expectedWait(job)
	if now.Add(wait + serviceTime).After(job.Deadline) {
		return Refusal{Cause: CauseOverload, RetryAfter: a.retryAfter()}, false
	}
	return Refusal{}, true
}

// expectedWait estimates how long a job waits for the queued work of its own
// organisation, given that all waiting organisations share the slots equally.
func (a *adaptive) expectedWait(job Job) time.Duration {
	slots := max(1, a.router.Slots())
	organisations := a.queue.Organisations()
	ownWork := a.queue.WorkOf(job.Organisation)
	if ownWork == 0 {
		organisations++
	}
	return ownWork * time.Duration(max(1, organisations)) / time.Duration(slots)
}

func (a *adaptive) retryAfter() time.Duration {
	wait := a.queue.Work() / time.Duration(max(1, a.router.Slots()))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// enqueue queues a job and reports whether it is still queued after any load shedding.
func (a *adaptive) enqueue(now time.Time, job Job) bool {
	a.waiting[job.ID] = job
	shed, full := a.queue.Push(a.queueItem(now, job))
	if !full {
		return true
	}
	delete(a.waiting, shed.ID)
	if shed.ID == job.ID {
		return false
	}
	refusal := Refusal{Cause: CauseOverload, RetryAfter: a.retryAfter()}
	a.pendingRefusals = append(a.pendingRefusals, RefusedJob{Job: shed.ID, Refusal: refusal})
	return true
}

func (a *adaptive) queueItem(now time.Time, job Job) persimqueue.Item {
	lane := persimqueue.LaneShort
	if job.Profile.Class == persimprofile.ClassLong {
		lane = persimqueue.LaneLong
	}
	return persimqueue.Item{
		ID:           job.ID,
		Organisation: job.Organisation,
		Lane:         lane,
		ServiceTime:  a.predictor.serviceTime(job),
		Arrived:      now,
		Deadline:     job.Deadline,
	}
}

func (a *adaptive) Requeue(now time.Time, job Job, forced bool) bool {
	if now.Add(a.predictor.serviceTime(job) / 2).After(job.Deadline) {
		return false
	}
	if !forced && !a.retries.Withdraw(now) {
		return false
	}
	return a.enqueue(now, job)
}

func (a *adaptive) Withdraw(id string) {
	if _, ok := a.waiting[id]; !ok {
		return
	}
	delete(a.waiting, id)
	a.queue.Remove(id)
}

func (a *adaptive) Next(now time.Time) Decision {
	a.router.UpdateEjections(now)
	decision := Decision{Refused: a.pendingRefusals}
	a.pendingRefusals = nil
	for _, item := range a.queue.Expire(now) {
		delete(a.waiting, item.ID)
		refusal := Refusal{Cause: CauseDeadline, RetryAfter: a.retryAfter()}
		decision.Refused = append(decision.Refused, RefusedJob{Job: item.ID, Refusal: refusal})
	}
	for {
		dispatch, ok := a.startNext(now)
		if !ok {
			break
		}
		decision.Starts = append(decision.Starts, dispatch)
		if probe, ok := a.startProbe(now, dispatch.Attempt); ok {
			decision.Starts = append(decision.Starts, probe)
		}
	}
	decision.Starts = append(decision.Starts, a.startHedges(now)...)
	return decision
}

func (a *adaptive) startNext(now time.Time) (Dispatch, bool) {
	var chosen persimrouter.Upstream
	var spec persimrouter.AttemptSpec
	exhausted := [2]bool{}
	item, ok := a.queue.Pop(now, func(item persimqueue.Item) bool {
		job := a.waiting[item.ID]
		if exhausted[item.Lane] && len(job.Avoid) == 0 {
			return false
		}
		spec = a.attemptSpec(job)
		upstream, found := a.router.Choose(now, spec)
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
	return a.startAttempt(now, job, spec, chosen, false), true
}

func (a *adaptive) attemptSpec(job Job) persimrouter.AttemptSpec {
	return persimrouter.AttemptSpec{
		Prefix:     job.Prefix,
		Prefill:    a.predictor.prefillTime(job),
		Expected:   a.predictor.serviceTime(job),
		Long:       job.Profile.Class == persimprofile.ClassLong,
		CostWeight: job.Profile.CostWeight,
		WaitWeight: job.Profile.WaitWeight,
		Avoid:      job.Avoid,
	}
}

func (a *adaptive) startAttempt(now time.Time, job Job, spec persimrouter.AttemptSpec, upstream persimrouter.Upstream, hedge bool) Dispatch {
	a.sequence++
	attempt := job.ID + "/" + strconv.FormatUint(a.sequence, 36)
	spec.Attempt = attempt
	a.router.Start(now, spec, upstream.Address)
	a.attempts[attempt] = &attemptState{
		job:            job,
		id:             attempt,
		address:        upstream.Address,
		spec:           spec,
		started:        now,
		expectedTokens: a.predictor.remainingTokens(job),
		isHedge:        hedge,
		long:           spec.Long,
	}
	a.attemptOrder = append(a.attemptOrder, attempt)
	return Dispatch{Job: job.ID, Attempt: attempt, Upstream: upstream, Hedge: hedge, Priority: a.priority(spec, job)}
}

// priority returns the scheduling priority of an attempt inside an engine; lower
// values run first.
func (a *adaptive) priority(spec persimrouter.AttemptSpec, job Job) int {
	if spec.Long {
		return maxPriority
	}
	return int(maxPriority / (2 + job.Profile.WaitWeight))
}

// startProbe hedges a job on an ejected upstream to test whether it has recovered.
func (a *adaptive) startProbe(now time.Time, attempt string) (Dispatch, bool) {
	state := a.attempts[attempt]
	if state.job.Unrepeatable || state.long || state.job.Profile.HedgeShare == 0 {
		return Dispatch{}, false
	}
	upstream, ok := a.router.Probe(now, state.spec)
	if !ok || !a.hedges.Withdraw(now) {
		return Dispatch{}, false
	}
	state.hedged = true
	return a.startAttempt(now, state.job, state.spec, upstream, true), true
}

// startHedges starts second attempts of jobs whose first token is much later than
// expected.
func (a *adaptive) startHedges(now time.Time) []Dispatch {
	var starts []Dispatch
	a.attemptOrder = slices.DeleteFunc(a.attemptOrder, func(attempt string) bool { return a.attempts[attempt] == nil })
	for _, attempt := range a.attemptOrder {
		state := a.attempts[attempt]
		if !a.shouldHedge(now, state) {
			continue
		}
		spec := state.spec
		spec.Avoid = append(slices.Clone(state.job.Avoid), state.address)
		upstream, ok := a.router.Choose(now, spec)
		if !ok || !a.hedges.Withdraw(now) {
			continue
		}
		state.hedged = true
		starts = append(starts, a.startAttempt(now, state.job, spec, upstream, true))
	}
	return starts
}

func (a *adaptive) shouldHedge(now time.Time, state *attemptState) bool {
	if state.isHedge || state.hedged || state.releasedTokens > 0 || state.job.Unrepeatable || state.job.Profile.HedgeShare == 0 {
		return false
	}
	if a.firstTokenDelay == 0 || a.hedges.Balance(now) < 1 {
		return false
	}
	delayRatio := hedgeDelayRatio * (1 + state.job.Profile.CostWeight/(1+state.job.Profile.WaitWeight))
	expectedDelay := state.spec.Prefill + time.Duration(a.firstTokenDelay*float64(time.Second))
	return now.Sub(state.started) > max(time.Duration(delayRatio*float64(expectedDelay)), minHedgeDelay)
}

func (a *adaptive) Progress(now time.Time, attempt string, tokens int) {
	state, ok := a.attempts[attempt]
	if !ok {
		return
	}
	isFirst := state.releasedTokens == 0
	state.releasedTokens += tokens
	a.router.Progress(now, attempt, state.address, tokens, isFirst)
	if isFirst {
		delay := max(0, now.Sub(state.started)-state.spec.Prefill).Seconds() + minFirstTokenDelay.Seconds()
		if a.firstTokenDelay == 0 {
			a.firstTokenDelay = delay
		}
		a.firstTokenDelay += firstTokenSmoothing * (delay - a.firstTokenDelay)
	}
	if !state.long && float64(state.releasedTokens) > StragglerRatio*state.expectedTokens {
		state.long = true
		a.router.MarkLong(attempt, state.address)
	}
}

func (a *adaptive) End(now time.Time, attempt string, result Result) {
	state, ok := a.attempts[attempt]
	if !ok {
		return
	}
	delete(a.attempts, attempt)
	a.router.End(now, attempt, state.address, result == ResultFailed)
	if result != ResultDone {
		return
	}
	a.predictor.observeLength(state.job, state.job.ReleasedTokens+state.releasedTokens)
	if state.releasedTokens > 1 {
		a.predictor.observeInterTokenLatency(now.Sub(state.started) / time.Duration(state.releasedTokens))
	}
}
