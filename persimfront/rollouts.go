package persimfront

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimplace"
	"persimmonport.example/persimrollout"
)

// slowFactor is the multiple of the expected time to the first byte above which a response
// counts as slow in the metrics of a rollout.
const slowFactor = 2

// Events in the metrics of a rollout.
const (
	rolloutBegun  = "begun"
	rolloutFailed = "failed"
	rolloutSlow   = "slow"
)

// versionChoice is what decides which version of its service a request is sent to.
type versionChoice struct {
	// sample is the hash by which the request is assigned.
	sample uint64
	// assignment is the last result.
	assignment persimrollout.Assignment
	// targetFailed is set once an attempt at the target of a rollout, or a connection to it, has
	// failed.
	targetFailed bool
}

// sampleOf returns the hash by which a request is sampled for a rollout. It differs from the
// one that picks the service of a split. Requests without an id must not all be sampled alike.
func sampleOf(id string) uint64 {
	if id == "" {
		return rand.Uint64()
	}
	return xxhash.Sum64String(id)
}

// place chooses the upstream for the request. During a rollout it is one of the version that
// the request is assigned to; a request for which the target has no capacity, or which failed
// there, is assigned to the version in use. The caller must hold the lock of the front.
func (c *call) place(now time.Time, maxWait time.Duration) (persimplace.Choice, bool) {
	rollouts := c.front.dispatcher.rollouts
	if rollouts == nil {
		return c.front.dispatcher.placer(c.service).Choose(now, c.placement)
	}
	triedTarget := c.version.assignment.Side == persimrollout.SideTarget && c.attempts+c.connectFailures > 0
	c.version.targetFailed = c.version.targetFailed || triedTarget
	c.version.assignment = rollouts.Assign(now, c.service, c.version.sample)
	fallback, has := c.version.assignment.Fallback()
	choice, ok := c.chooseAs(now, c.version.assignment)
	if !has || ok && !c.version.targetFailed && choice.Expected <= maxWait {
		return choice, ok
	}
	other, okOther := c.chooseAs(now, fallback)
	if !okOther || ok && !c.version.targetFailed && other.Expected >= choice.Expected {
		return choice, ok
	}
	c.version.assignment = fallback
	return other, true
}

// chooseAs chooses among the upstreams that an assignment allows. The caller must hold the
// lock of the front.
func (c *call) chooseAs(now time.Time, assignment persimrollout.Assignment) (persimplace.Choice, bool) {
	return c.front.dispatcher.chooseFor(now, c.service, c.placement, assignment)
}

// chooseFor chooses among the upstreams of a service that an assignment allows.
func (d *dispatcher) chooseFor(now time.Time, service string, request persimplace.Request, assignment persimrollout.Assignment) (persimplace.Choice, bool) {
	if d.rollouts != nil {
		request.Allow = func(upstream persimcatalog.Upstream) bool {
			return d.rollouts.Allowed(now, service, upstream, assignment)
		}
	}
	return d.placer(service).Choose(now, request)
}

// start begins an attempt at the chosen upstream. It returns false if a rollout has withdrawn
// the upstream's version since it was chosen: the check and the count of requests in progress
// are one step, as a version is stopped once none is in progress there.
func (c *call) start(choice persimplace.Choice) (*attempt, bool) {
	f := c.front
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.dispatcher
	if d.rollouts != nil && !d.rollouts.Allowed(now, c.service, choice.Upstream, c.version.assignment) {
		return nil, false
	}
	a := &attempt{call: c, upstream: choice.Upstream}
	a.ticket = d.placer(c.service).StartAttempt(now, c.placement, choice)
	a.observed = d.beginObserved(now, c.service, c.route.Name, choice, c.version.assignment)
	return a, true
}

// observed is an attempt during a rollout, until its result is recorded.
type observed struct {
	end      func()
	result   persimrollout.Result
	begunAt  time.Time
	expected time.Duration
	// status is that of the response, or zero before it.
	status int
}

// beginObserved counts an attempt for the rollouts. It returns nil without them.
func (d *dispatcher) beginObserved(now time.Time, service, route string, choice persimplace.Choice, assignment persimrollout.Assignment) *observed {
	if d.rollouts == nil {
		return nil
	}
	if assignment.Side != persimrollout.SideAny {
		d.countRollout(rolloutBegun, choice.Upstream)
	}
	return &observed{
		end: d.rollouts.Begin(now, service, route, choice.Upstream),
		result: persimrollout.Result{
			Service: service, Route: route, Upstream: choice.Upstream, Cold: choice.Upstream.Cold > 0,
		},
		begunAt: now, expected: choice.Expected,
	}
}

// recordFirst records the time to the first byte of a response.
func (o *observed) recordFirst(now time.Time) {
	if o != nil {
		o.result.First, o.result.FirstExpected = now.Sub(o.begunAt), o.expected
	}
}

// recordStatus records the status of a response.
func (o *observed) recordStatus(status int) {
	if o != nil {
		o.status = status
	}
}

// recordPace records the time between output tokens.
func (o *observed) recordPace(pace, expected time.Duration) {
	if o != nil {
		o.result.Pace, o.result.PaceExpected = pace, expected
	}
}

// endObserved records the result of an attempt with the rollouts, once. The caller must hold
// the lock of the front.
func (a *attempt) endObserved(now time.Time, outcome persimplace.Outcome) {
	o := a.observed
	if o == nil {
		return
	}
	a.observed = nil
	d := a.front.dispatcher
	o.result.Outcome = a.versionOutcome(now, o.status, outcome)
	if o.result.Outcome == persimrollout.OutcomeTimeout && o.result.FirstExpected == 0 {
		o.result.First, o.result.FirstExpected = now.Sub(o.begunAt), o.expected
	}
	d.rollouts.Record(now, o.result)
	o.end()
	if a.version.assignment.Side == persimrollout.SideAny {
		return
	}
	if o.result.Outcome == persimrollout.OutcomeFailed {
		d.countRollout(rolloutFailed, a.upstream)
	}
	slow := o.result.FirstExpected > 0 && o.result.First > slowFactor*o.result.FirstExpected
	if slow || o.result.Outcome == persimrollout.OutcomeTimeout {
		d.countRollout(rolloutSlow, a.upstream)
	}
}

// endUnobserved ends an attempt whose handler ends in another way than by finish. Otherwise it
// would count as in progress for ever.
func (a *attempt) endUnobserved() {
	if a.observed != nil {
		a.finish(persimplace.OutcomeNeutral)
	}
}

// versionOutcome returns what the end of an attempt says of the upstream's version.
func (a *attempt) versionOutcome(now time.Time, status int, outcome persimplace.Outcome) persimrollout.Outcome {
	timedOut := a.phase.Load() == phaseAbandoned || !now.Before(a.deadline)
	stopped := a.request.Context().Err() != nil || a.front.aborted.Err() != nil
	switch {
	case outcome == persimplace.OutcomeSuccess:
		return persimrollout.OutcomeSuccess
	case stopped || outcome == persimplace.OutcomeRejected || outcome == persimplace.OutcomeConnectFailed:
		return persimrollout.OutcomeIgnored
	case isServerError(status) || impliesNotRun(status):
		return persimrollout.OutcomeFailed
	case timedOut:
		return persimrollout.OutcomeTimeout
	case outcome == persimplace.OutcomeFailed:
		return persimrollout.OutcomeFailed
	default:
		return persimrollout.OutcomeIgnored
	}
}

// countRollout counts an event of a rollout by service and version.
func (d *dispatcher) countRollout(event string, upstream persimcatalog.Upstream) {
	if d.metrics != nil {
		d.metrics.Rollout(event, upstream.Service, upstream.Version)
	}
}

func (f *front) MergeRollouts(news []persimrollout.News) []persimrollout.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatcher.rollouts == nil {
		return nil
	}
	now := time.Now()
	changes := f.dispatcher.rollouts.Merge(now, news)
	f.dispatcher.moveStreams(now)
	return changes
}

func (f *front) Carrying(upstreams []persimcatalog.Upstream) []persimcatalog.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	rollouts := f.dispatcher.rollouts
	if rollouts == nil {
		return upstreams
	}
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(upstreams), func(u persimcatalog.Upstream) bool {
		return !rollouts.Allowed(now, u.Service, u, persimrollout.Assignment{Side: persimrollout.SideCurrent})
	})
}

func (f *front) RolloutNews() []persimrollout.News {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatcher.rollouts == nil {
		return nil
	}
	return f.dispatcher.rollouts.News(time.Now())
}

func (f *front) RolloutReports() []persimrollout.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dispatcher.rollouts == nil {
		return nil
	}
	return f.dispatcher.rollouts.Reports(time.Now())
}
