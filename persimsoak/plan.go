package persimsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of an Event.
type Kind string

// Kinds of events.
const (
	// Signals to the process of a host.
	KindPause Kind = "pause"
	KindKill  Kind = "kill"
	KindStop  Kind = "stop"
	KindHup   Kind = "hup"
	// Faults of the link between one host and the store, or of the store for that host.
	KindStoreDelay  Kind = "store-delay"
	KindStoreReset  Kind = "store-reset"
	KindStoreSilent Kind = "store-silent"
	KindStoreOneWay Kind = "store-one-way"
	KindStoreRefuse Kind = "store-refuse"
	// The store is unreachable for all hosts.
	KindStoreDown Kind = "store-down"
	// The store comes back from a copy; Duration is the age of the copy.
	KindStoreDrill Kind = "store-drill"
	// Faults of an upstream or of the link to it.
	KindUpstreamDelay  Kind = "upstream-delay"
	KindUpstreamReset  Kind = "upstream-reset"
	KindUpstreamSilent Kind = "upstream-silent"
	KindUpstreamOneWay Kind = "upstream-one-way"
	KindUpstreamCrash  Kind = "upstream-crash"
	KindUpstreamLeave  Kind = "upstream-leave"
	// An upstream names a limit, rejects all requests and asks to wait, or says that it
	// leaves in its responses only.
	KindUpstreamLimit       Kind = "upstream-limit"
	KindUpstreamWait        Kind = "upstream-wait"
	KindUpstreamSaysLeaving Kind = "upstream-says-leaving"
	// An upstream runs requests and answers with statuses that deny it, or with heads without end.
	KindUpstreamMislead Kind = "upstream-mislead"
	// Configuration changes by the operator.
	KindRevoke  Kind = "revoke"
	KindReroute Kind = "reroute"
	// KindIdleTimeout sets the idle timeout; Target is an index of idleTimeouts.
	KindIdleTimeout Kind = "idle-timeout"
	// KindPoison makes a part of prompts deadly for upstreams.
	KindPoison Kind = "poison"
	// KindRollout moves the service to a new version, KindBadRollout to one that fails a part of
	// its responses. Duration is the time from the order to its deadline.
	KindRollout    Kind = "rollout"
	KindBadRollout Kind = "bad-rollout"
)

// disturbsStore reports whether an event affects calls to the store.
func (k Kind) disturbsStore() bool { return strings.HasPrefix(string(k), "store-") }

var (
	hostKinds = []Kind{
		KindPause, KindKill, KindStop, KindHup,
		KindStoreDelay, KindStoreReset, KindStoreSilent, KindStoreOneWay, KindStoreRefuse,
	}
	upstreamKinds = []Kind{
		KindUpstreamDelay, KindUpstreamReset, KindUpstreamSilent, KindUpstreamOneWay,
		KindUpstreamCrash, KindUpstreamLeave,
	}
	signalKinds = []Kind{KindUpstreamLimit, KindUpstreamLimit, KindUpstreamWait, KindUpstreamSaysLeaving}
	globalKinds = []Kind{KindStoreDown, KindRevoke, KindReroute, KindReroute}
)

// Event is one fault, signal or configuration change of a plan.
type Event struct {
	Kind     Kind
	At       time.Duration
	Duration time.Duration
	// Target is the index of a host, an upstream or an idle timeout, modulo their number.
	Target int
}

// String formats the event for the log.
func (e Event) String() string {
	return fmt.Sprintf("%s of %d at %s for %s", e.Kind, e.Target, e.At, e.Duration)
}

// Plan describes one run.
type Plan struct {
	Seed      uint64
	Hosts     int
	Upstreams int
	// Callers are those that send requests without a break, UnhurriedCallers those that
	// stay idle between requests.
	Callers          int
	UnhurriedCallers int
	// Duration is the period of event injection. Recovery is checked after it, once the
	// last event has ended.
	Duration time.Duration
	Events   []Event
}

const (
	firstEventAt     = time.Second
	maxEventDuration = 5 * time.Second
	minEventDuration = 300 * time.Millisecond
	// meanEventInterval is the mean time between two draws of events.
	meanEventInterval = 700 * time.Millisecond
	// meanIdleChangeInterval is the mean time between two draws of KindIdleTimeout.
	meanIdleChangeInterval = 3 * time.Second
	// seriesLength is the number of events of one kind in a series.
	seriesLength   = 3
	seriesInterval = 800 * time.Millisecond
	callersPerHost = 4
	// An unhurried caller sends few requests.
	unhurriedCallersPerHost = 24
	maxUnhurriedCallers     = 5 * unhurriedCallersPerHost
	// idleChangeStream is the random stream for events of KindIdleTimeout. The other
	// events of a seed do not depend on it.
	idleChangeStream = 1 << 32
	// poisonStream is that for an event of KindPoison.
	poisonStream = 1<<32 + 1
	// signalStream is that for what upstreams ask for.
	signalStream = 1<<32 + 2
	// meanSignalInterval is the mean time between two draws of what upstreams ask for.
	meanSignalInterval = 1500 * time.Millisecond
	minSignalDuration  = 2 * time.Second
	maxSignalDuration  = 16 * time.Second
	// poisonInterval draws an event of KindPoison for one seed in so many; zero draws none.
	poisonInterval    = 2
	minPoisonDuration = 24 * time.Second
	maxPoisonDelay    = time.Second
	// misleadStream is the random stream for events of KindUpstreamMislead, meanMisleadInterval
	// the mean time between two draws.
	misleadStream       = 1<<32 + 3
	meanMisleadInterval = 4 * time.Second
	// drillStream is the random stream for events of KindStoreDrill, meanDrillInterval the mean
	// time between two draws.
	drillStream       = 1<<32 + 4
	meanDrillInterval = 5 * time.Second
	// drillInterval draws such events for one seed in so many, which have none of KindPoison.
	drillInterval = 2
)

// NewPlan derives a plan from a seed. If hosts is zero, the seed also determines the
// number of hosts; otherwise the plan has that many hosts and as many more upstreams.
func NewPlan(seed uint64, hosts int, duration time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Hosts: 2 + random.IntN(4), Upstreams: 3 + random.IntN(4), Duration: duration}
	if hosts > 0 {
		p.Hosts = hosts
		p.Upstreams += hosts
	}
	p.Callers, p.UnhurriedCallers = callersPerHost*p.Hosts, min(unhurriedCallersPerHost*p.Hosts, maxUnhurriedCallers)
	for at := firstEventAt; at < duration; at += time.Duration(random.ExpFloat64() * float64(meanEventInterval)) {
		p.addEvents(random, at)
	}
	p.addIdleChanges(rand.New(rand.NewPCG(seed, idleChangeStream)))
	p.addSignals(rand.New(rand.NewPCG(seed, signalStream)))
	p.addMisleading(rand.New(rand.NewPCG(seed, misleadStream)))
	if poisonInterval > 0 && seed%max(1, poisonInterval) == 0 {
		p.AddPoison()
	}
	if seed%drillInterval == 1 {
		p.AddDrills()
	}
	p.sortEvents()
	return p
}

func (p *Plan) sortEvents() {
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// AddPoison adds an event of KindPoison unless there is one.
func (p *Plan) AddPoison() {
	if slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == KindPoison }) {
		return
	}
	random := rand.New(rand.NewPCG(p.Seed, poisonStream))
	at := firstEventAt + time.Duration(random.Int64N(int64(maxPoisonDelay)))
	p.Events = append(p.Events, Event{Kind: KindPoison, At: at, Duration: max(minPoisonDuration, p.Duration)})
	p.sortEvents()
}

// AddDrills adds events of KindStoreDrill unless there are some.
func (p *Plan) AddDrills() {
	if p.drills() {
		return
	}
	random := rand.New(rand.NewPCG(p.Seed, drillStream))
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanDrillInterval)) }
	for at := firstEventAt + next()/2; at < p.Duration; at += next() {
		age := minEventDuration + time.Duration(random.Int64N(int64(maxEventDuration-minEventDuration)))
		p.addSeries(random, Event{Kind: KindStoreDrill, At: at, Duration: age})
	}
	p.sortEvents()
}

func (p *Plan) drills() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == KindStoreDrill })
}

// AddRollout adds the rollout of a good or a bad version unless there is one. Upstreams that mislead
// hosts fail requests, which a good version does not, so no upstream does in such a plan.
func (p *Plan) AddRollout(kind Kind) {
	if p.rollsOut() {
		return
	}
	p.Events = slices.DeleteFunc(p.Events, func(e Event) bool { return e.Kind == KindUpstreamMislead })
	p.Events = append(p.Events, Event{Kind: kind, At: firstEventAt, Duration: rolloutDuration})
	p.sortEvents()
}

func (p *Plan) rollsOut() bool {
	return slices.ContainsFunc(p.Events, func(e Event) bool { return e.Kind == KindRollout || e.Kind == KindBadRollout })
}

// addEvents adds a random event other than a change of the idle timeout, or a series of
// them.
func (p *Plan) addEvents(random *rand.Rand, at time.Duration) {
	event := Event{At: at, Duration: minEventDuration + time.Duration(random.Int64N(int64(maxEventDuration-minEventDuration)))}
	switch random.IntN(5) {
	case 0, 1:
		event.Kind, event.Target = hostKinds[random.IntN(len(hostKinds))], random.IntN(p.Hosts)
	case 2, 3:
		event.Kind, event.Target = upstreamKinds[random.IntN(len(upstreamKinds))], random.IntN(p.Upstreams)
	default:
		event.Kind = globalKinds[random.IntN(len(globalKinds))]
	}
	p.addSeries(random, event)
}

// addIdleChanges adds changes of the idle timeout.
func (p *Plan) addIdleChanges(random *rand.Rand) {
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanIdleChangeInterval)) }
	for at := firstEventAt + next(); at < p.Duration; at += next() {
		p.addSeries(random, Event{Kind: KindIdleTimeout, At: at, Target: random.IntN(len(idleTimeouts))})
	}
}

// addSignals adds events in which upstreams ask for something.
func (p *Plan) addSignals(random *rand.Rand) {
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanSignalInterval)) }
	for at := firstEventAt; at < p.Duration; at += next() {
		p.addSeries(random, Event{
			Kind: signalKinds[random.IntN(len(signalKinds))], At: at, Target: random.IntN(p.Upstreams),
			Duration: minSignalDuration + time.Duration(random.Int64N(int64(maxSignalDuration-minSignalDuration))),
		})
	}
}

// addMisleading adds events in which upstreams mislead hosts.
func (p *Plan) addMisleading(random *rand.Rand) {
	next := func() time.Duration { return time.Duration(random.ExpFloat64() * float64(meanMisleadInterval)) }
	for at := firstEventAt; at < p.Duration; at += next() {
		p.addSeries(random, Event{Kind: KindUpstreamMislead, At: at, Target: random.IntN(p.Upstreams), Duration: maxEventDuration})
	}
}

// addSeries adds an event, and sometimes a series of them.
func (p *Plan) addSeries(random *rand.Rand, event Event) {
	p.Events = append(p.Events, event)
	if random.IntN(4) > 0 {
		return
	}
	// A series hits the next hosts or upstreams in turn. The interval is shorter than most
	// events, so that they overlap.
	for i := 1; i < seriesLength; i++ {
		next := event
		next.At += time.Duration(i) * seriesInterval
		next.Target += i
		p.Events = append(p.Events, next)
	}
}
