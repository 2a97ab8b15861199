package persimfront

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimengine"
	"persimmonport.example/persimplace"
)

const (
	simTick = 10 * time.Millisecond
	// simExchange is the interval of the exchange; what hosts know of each other is one to two
	// intervals old.
	simExchange = 300 * time.Millisecond
	simEngines  = 56
	simSlots    = 12
	// simPromptToken is the time to prefill a token, simRun that from the first to the last
	// byte of a response.
	simPromptToken = 30 * time.Microsecond
	simRun         = 600 * time.Millisecond
	// simWarmUp is the time at normal load before the one that is measured.
	simWarmUp = 3 * time.Second
	// simPatience is how long callers come back after refusals.
	simPatience = 2 * time.Second
)

// simRoute is a kind of request and the number of organisations that send it.
type simRoute struct {
	name          string
	rank, tokens  int
	target        time.Duration
	organisations int
	// share is the part of the engines that it keeps busy at normal load.
	share float64
}

// maxWait is what call.maxExpectedWait returns.
func (r simRoute) maxWait() time.Duration {
	return time.Duration(float64(r.target) * targetTolerance)
}

// simRoutes are the routes of the deployment in docs/design/demand-and-rollouts.md.
var simRoutes = []simRoute{
	{name: "long", rank: 0, tokens: 12_000, target: time.Second, organisations: 4, share: 0.4},
	{name: "short", rank: 2, tokens: 2_400, target: 2 * time.Second, organisations: 6, share: 0.4},
}

// simRequest is one request of a caller over all its attempts.
type simRequest struct {
	id           string
	route        simRoute
	organisation string
	host         *dispatcher
	began        time.Time
	placement    persimplace.Request
	priority     string
	ticket       *persimplace.Ticket
	measured     bool
	// left are the tokens that are not prefilled yet, dueAt is when the next event comes: the
	// return of the caller or the end of the response.
	left  int
	dueAt time.Time
}

// simEngine prefills one prompt at a time, in the order of priorities.
type simEngine struct {
	persimcatalog.Upstream
	waiting   []*simRequest
	answering []*simRequest
	lost      bool
}

// simResult counts the requests of one kind or organisation.
type simResult struct{ sent, answered, timely int }

// deployment runs hosts and engines in virtual time, without a network.
type deployment struct {
	random  *rand.Rand
	now     time.Time
	hosts   []*dispatcher
	engines []*simEngine
	// returning are the callers that come back.
	returning []*simRequest
	// told is what each host told in its last exchange, sum the sum of it, and heard what each
	// host was told of the others.
	told, heard []simState
	sum         simState
	results     map[string]*simResult
	sent        int
	// worked is the number of prompt tokens prefilled, workedInTime that at the end of the
	// measurement.
	worked, workedInTime int

	// load returns the factor of the normal load of an organisation at a time of the
	// measurement; impatient callers repeat at once; noSums cuts the exchange.
	load      func(organisation string, elapsed time.Duration) float64
	impatient bool
	noSums    bool
}

// newDeployment returns a deployment of a number of hosts. Without priorities, the routes have
// equal latency targets, so that the hosts decide as for any other service.
func newDeployment(hosts int, priorities bool) *deployment {
	d := &deployment{
		random: rand.New(rand.NewPCG(uint64(hosts), 1)), now: time.Unix(1_000_000, 0), results: map[string]*simResult{},
		told: make([]simState, hosts), heard: make([]simState, hosts), sum: newSimState(),
		load: func(string, time.Duration) float64 { return 1 },
	}
	var routes []persimcatalog.Route
	for _, r := range simRoutes {
		route := persimcatalog.Route{Name: r.name, Host: "h", Prefix: "/" + r.name, Priority: r.rank, Splits: []persimcatalog.Split{{Service: "s", Weight: 1}}}
		if priorities {
			route.Target = r.target
		}
		routes = append(routes, route)
	}
	catalogue := persimcatalog.New(1, routes, []persimcatalog.Service{{Name: "s"}}, nil, persimcatalog.Limits{})
	for i := range simEngines {
		d.engines = append(d.engines, &simEngine{Upstream: persimcatalog.Upstream{
			Incarnation: persimcatalog.Incarnation{ID: fmt.Sprintf("u%d", i), Born: 1}, Service: "s", Slots: simSlots,
		}})
	}
	for i := range hosts {
		host := newDispatcher(testBounds)
		host.placers["s"] = persimplace.New(persimplace.WithRandom(rand.New(rand.NewPCG(uint64(i), 1))), persimplace.WithGate(host.pressure))
		host.placer("s").AssumeSpeed(persimengine.Speed{PromptToken: simPromptToken, OutputToken: time.Millisecond, Run: simRun})
		host.setCatalogue(d.now, catalogue)
		host.setHostCount(d.now, hosts-1)
		for range 10 {
			for _, r := range simRoutes {
				host.admission.order("s", r.name, r.rank, r.tokens, 0)
			}
		}
		d.hosts = append(d.hosts, host)
	}
	d.listUpstreams()
	return d
}

// listUpstreams tells the hosts the engines that are not lost.
func (d *deployment) listUpstreams() {
	var list []persimcatalog.Upstream
	for _, e := range d.engines {
		if !e.lost {
			list = append(list, e.Upstream)
		}
	}
	for _, host := range d.hosts {
		host.setUpstreams(d.now, map[string][]persimcatalog.Upstream{"s": list})
	}
}

// run lets the warm-up and a measured time pass, and calls event at each tick of the latter.
func (d *deployment) run(length time.Duration, event func(elapsed time.Duration)) {
	start := d.now.Add(simWarmUp)
	for end := start.Add(length + simPatience); d.now.Before(end); d.now = d.now.Add(simTick) {
		elapsed := d.now.Sub(start)
		if elapsed == length {
			d.workedInTime = d.worked
		}
		if elapsed >= 0 && event != nil {
			event(elapsed)
		}
		if !d.noSums {
			d.exchange()
		}
		for _, e := range d.engines {
			d.work(e)
		}
		d.arrive(elapsed, length)
	}
}

// arrive sends what callers send in one tick: those that come back, and new requests.
func (d *deployment) arrive(elapsed, length time.Duration) {
	returning := d.returning
	d.returning = nil
	for _, r := range returning {
		if r.dueAt.After(d.now) {
			d.returning = append(d.returning, r)
			continue
		}
		d.send(r)
	}
	for _, route := range simRoutes {
		perSecond := route.share * simEngines / (float64(route.tokens) * simPromptToken.Seconds()) / float64(route.organisations)
		for i := range route.organisations {
			organisation := fmt.Sprintf("%s-%d", route.name, i)
			factor := 1.0
			if elapsed >= 0 {
				factor = d.load(organisation, elapsed)
			}
			for expected := perSecond * factor * simTick.Seconds(); d.random.Float64() < expected; expected-- {
				d.sent++
				r := &simRequest{id: fmt.Sprint(d.sent), route: route, organisation: organisation, began: d.now, measured: elapsed >= 0 && elapsed < length}
				r.host = d.hosts[d.random.IntN(len(d.hosts))]
				r.placement.Tokens = route.tokens
				o := r.host.admission.order("s", route.name, route.rank, route.tokens, route.maxWait())
				r.priority, r.placement.Urgent, r.placement.Spread = o.priority, o.urgent, o.spread
				d.count(r, func(result *simResult) { result.sent++ })
				d.send(r)
			}
		}
	}
}

func (d *deployment) count(r *simRequest, add func(*simResult)) {
	if !r.measured {
		return
	}
	for _, name := range []string{"all", r.route.name, r.organisation} {
		if d.results[name] == nil {
			d.results[name] = &simResult{}
		}
		add(d.results[name])
	}
}

// send lets the host of a request choose an engine for it, as call.chooseUpstream does.
func (d *deployment) send(r *simRequest) {
	placer := r.host.placer("s")
	choice, ok := placer.Choose(d.now, r.placement)
	if ok && r.ticket != nil {
		d.start(r, choice)
		return
	}
	r.host.addDemand(d.now, "s", Demand{PrefillTokens: float64(choice.PrefillTokens)})
	maxWait := r.route.maxWait()
	wait, cause := r.host.admission.admit(d.now, arrival{
		service: "s", key: persimadmit.Key{Rank: r.route.rank, Organisation: r.organisation},
		work: persimadmit.Work{Prefill: float64(choice.PrefillTokens)}, hash: hashID(r.id),
		expected: choice.Expected, maxWait: maxWait, idle: choice.Requests == 0,
	}, placer)
	if ok && cause == "" && choice.Expected <= maxWait {
		d.start(r, choice)
		return
	}
	if cause == "" {
		wait = min(max(choice.Expected-maxWait, minRetryAfter), maxRetryAfter)
	}
	if d.impatient {
		wait = 50 * time.Millisecond
	}
	r.dueAt = d.now.Add(wait + time.Duration(d.random.Float64()*retryAfterJitter*float64(wait)))
	if r.dueAt.Sub(r.began) < simPatience {
		d.returning = append(d.returning, r)
	}
}

// start sends a request to the chosen engine. The caller of one that can't be reached comes
// back at once.
func (d *deployment) start(r *simRequest, choice persimplace.Choice) {
	r.ticket = r.host.placer("s").StartAttempt(d.now, r.placement, choice)
	for _, e := range d.engines {
		if e.ID != choice.Upstream.ID {
			continue
		}
		if e.lost {
			d.fail(r, persimplace.OutcomeConnectFailed)
			return
		}
		r.left = r.placement.Tokens
		at := len(e.waiting)
		for at > 0 && e.waiting[at-1].priority > r.priority && e.waiting[at-1].left == e.waiting[at-1].placement.Tokens {
			at--
		}
		e.waiting = append(e.waiting[:at], append([]*simRequest{r}, e.waiting[at:]...)...)
	}
}

func (d *deployment) fail(r *simRequest, outcome persimplace.Outcome) {
	r.host.placer("s").EndAttempt(d.now, r.ticket, outcome)
	r.dueAt = d.now
	d.returning = append(d.returning, r)
}

// lose ends an engine and breaks off what it does.
func (d *deployment) lose(e *simEngine) {
	e.lost = true
	for _, r := range e.waiting {
		d.fail(r, persimplace.OutcomeFailed)
	}
	e.waiting, e.answering = nil, nil
}

// work lets an engine work for one tick.
func (d *deployment) work(e *simEngine) {
	answering := e.answering[:0]
	for _, r := range e.answering {
		if r.dueAt.After(d.now) {
			answering = append(answering, r)
			continue
		}
		r.host.placer("s").EndAttempt(d.now, r.ticket, persimplace.OutcomeSuccess)
	}
	e.answering = answering
	for budget := int(simTick / simPromptToken); budget > 0 && len(e.waiting) > 0 && len(e.answering) < simSlots; {
		r := e.waiting[0]
		done := min(budget, r.left)
		budget -= done
		r.left -= done
		if r.left == 0 {
			e.waiting = e.waiting[1:]
			d.answer(e, r)
		}
	}
}

// answer sends the first byte of a response.
func (d *deployment) answer(e *simEngine, r *simRequest) {
	r.dueAt = d.now.Add(simRun)
	e.answering = append(e.answering, r)
	placer := r.host.placer("s")
	placer.RecordResponse(d.now, r.ticket)
	placer.RecordReport(d.now, persimplace.Hash(e.ID), persimplace.Report{
		Running: len(e.answering), Waiting: len(e.waiting), Slots: simSlots, Slowdown: 1,
	})
	d.worked += r.route.tokens
	d.count(r, func(result *simResult) {
		result.answered++
		if d.now.Sub(r.began) <= r.route.target {
			result.timely++
		}
	})
}

// exchange lets the hosts whose turn it is tell their state and applies what they were told an
// interval ago, so that what hosts know of each other is 0.3 to 0.9 s old.
func (d *deployment) exchange() {
	turn := int(d.now.UnixNano() / int64(simTick) % int64(simExchange/simTick))
	for i := turn; i < len(d.hosts); i += int(simExchange / simTick) {
		host := d.hosts[i]
		if d.heard[i].Loads != nil {
			host.observeOthers(d.now, d.now.Add(-simExchange), len(d.hosts)-1, d.heard[i].SharedState)
		}
		d.sum.add(d.told[i], -1)
		d.heard[i] = newSimState()
		d.heard[i].add(d.sum, 1)
		d.told[i] = simState{SharedState{
			Loads:  host.placer("s").OwnLoads(),
			Ranked: map[string]persimadmit.Loads{"s": host.demandRates(d.now)["s"].Ranked},
		}}
		d.sum.add(d.told[i], 1)
	}
}

// simState is the state of one or several hosts.
type simState struct{ SharedState }

func newSimState() simState {
	return simState{SharedState{Loads: map[uint64]persimplace.PeerLoad{}, Ranked: map[string]persimadmit.Loads{"s": {}}}}
}

func (s simState) add(other simState, times int) {
	for upstream, load := range other.Loads {
		s.Loads[upstream] = s.Loads[upstream].Plus(load.Times(times))
	}
	s.Ranked["s"].Add(other.Ranked["s"], float64(times))
}
