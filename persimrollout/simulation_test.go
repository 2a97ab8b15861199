package persimrollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	testTick     = 10 * time.Millisecond
	testDecide   = 250 * time.Millisecond
	testGossip   = 400 * time.Millisecond
	testTakeover = 4 * time.Second
	testRunTime  = 70 * time.Millisecond
	testService  = "s"
	testOld      = "v1"
	testNew      = "v2"
)

var testStart = time.Unix(1_000_000, 0)

// site describes a service and the hosts in front of it.
type site struct {
	hosts int
	// rate is the number of requests in a second, routes the number of routes that share them.
	rate   float64
	routes int
	// failing are the shares of failures that both versions have by route.
	failing       []float64
	olds, targets int
	centres       int
	duration      time.Duration
	runTime       time.Duration
	// rare is the share of requests on the last route where it is not an equal one.
	rare float64
}

// request is a request that has reached an upstream.
type request struct {
	sentAt, endsAt time.Time
	host           *testHost
	traffic        Traffic
	end            func()
	result         Result
	bad            bool
}

type testHost struct {
	Traffic
	name        string
	incarnation int
	heardAt     time.Time
	down, cut   bool
	reportAt    time.Time
	gossipAt    time.Time
}

// fault makes a response of an upstream bad.
type fault func(s *simulation, r *request) (fails bool, slower float64)

// simulation runs hosts, a lease holder and a store in virtual time.
type simulation struct {
	site
	random    *rand.Rand
	now       time.Time
	hosts     []*testHost
	upstreams map[string][]persimcatalog.Upstream
	// faults are those of the target, common those of all versions.
	fault, common fault
	running, sent []*request
	// offered are the times of all requests.
	offered []time.Time

	holder     *testHost
	controller Controller
	fence      int64
	// nextHolderAt is when the lease of a lost holder passes on.
	nextHolderAt time.Time
	storeDown    bool
	object       *Object
	record       *Record
	revision     int64
	// statuses are those written, the last one at statusAt.
	statuses []Status
	statusAt time.Time
	// changes are what lease holders logged.
	changes []Change
	orderAt time.Time
	decided time.Time
	// loads are when requests were sent to each upstream in the last second.
	loads map[uint64][]time.Time
	// unserved is the number of requests without an upstream, lost that of requests whose
	// upstream ended while they ran or before they were sent.
	unserved, lost   int
	oldEnded, active bool
	unconfigured     bool
}

func newSimulation(seed uint64, s site) *simulation {
	sim := &simulation{
		site: s, random: rand.New(rand.NewPCG(seed, 1)), now: testStart, revision: 1,
		upstreams: map[string][]persimcatalog.Upstream{}, loads: map[uint64][]time.Time{},
	}
	for i := range s.hosts {
		h := &testHost{name: fmt.Sprintf("host-%d", i)}
		sim.hosts = append(sim.hosts, h)
	}
	sim.addUpstreams(testOld, s.olds)
	sim.addUpstreams(testNew, s.targets)
	for _, h := range sim.hosts {
		sim.start(h)
	}
	sim.hold(sim.hosts[0])
	return sim
}

func (s *simulation) addUpstreams(version string, count int) {
	for i := range count {
		s.upstreams[testService] = append(s.upstreams[testService], persimcatalog.Upstream{
			Incarnation: persimcatalog.Incarnation{ID: fmt.Sprintf("%s-%d", version, i), Born: int64(len(s.upstreams[testService]))},
			Service:     testService, Version: version, Centre: fmt.Sprint("dc", i%max(1, s.centres)),
		})
	}
	s.announceUpstreams()
}

func (s *simulation) announceUpstreams() {
	for _, h := range s.hosts {
		if h.Traffic != nil {
			h.SetUpstreams(s.now, s.upstreams)
		}
	}
}

// start starts a host, which knows nothing but the upstreams.
func (s *simulation) start(h *testHost) {
	h.Traffic = NewTraffic()
	h.incarnation++
	h.down = false
	h.reportAt = s.now.Add(time.Duration(s.random.Int64N(int64(ReportInterval(s.site.hosts)))))
	h.gossipAt = s.now.Add(time.Duration(s.random.Int64N(int64(testGossip))))
	h.SetUpstreams(s.now, s.upstreams)
}

// hold gives the lease to a host, which reads both objects.
func (s *simulation) hold(h *testHost) {
	s.holder = h
	s.fence++
	s.controller = NewController(testService, s.fence)
	s.nextHolderAt = time.Time{}
	s.read()
}

// loseHolder stops the lease holder. Another host gets the lease later.
func (s *simulation) loseHolder() {
	s.holder.down = true
	s.holder, s.controller = nil, nil
	s.nextHolderAt = s.now.Add(testTakeover)
}

// read reads both objects as the lease holder does.
func (s *simulation) read() {
	if s.controller == nil || s.storeDown {
		return
	}
	s.controller.SetObject(s.now, s.object)
	s.controller.SetRecord(s.now, s.record)
}

// order writes the operator's object.
func (s *simulation) order(target string, duration time.Duration) {
	s.revision++
	status := Status{}
	if s.object != nil {
		status = s.object.Status
	}
	s.object = &Object{Order: Order{Service: testService, Target: target, Revision: s.revision, Duration: duration}, Status: status}
	s.orderAt = s.now
	s.read()
}

func (s *simulation) remove() {
	s.object = nil
	s.read()
}

func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(testTick) {
		s.endRequests()
		for range s.arrivals() {
			s.request()
		}
		s.exchange()
		s.lead()
	}
}

// arrivals returns a Poisson number of requests for a tick.
func (s *simulation) arrivals() int {
	limit, count := math.Exp(-s.rate*testTick.Seconds()), 0
	for product := s.random.Float64(); product > limit; product *= s.random.Float64() {
		count++
	}
	return count
}

// request sends a request from a random host to a random upstream that it may use.
func (s *simulation) request() {
	s.offered = append(s.offered, s.now)
	h := s.hosts[s.random.IntN(len(s.hosts))]
	for h.down {
		h = s.hosts[s.random.IntN(len(s.hosts))]
	}
	route := s.random.IntN(max(1, s.routes))
	if s.rare > 0 {
		route = s.random.IntN(s.routes - 1)
		if s.random.Float64() < s.rare {
			route = s.routes - 1
		}
	}
	assignment := h.Assign(s.now, testService, s.random.Uint64())
	u, ok := s.choose(h, assignment)
	if !ok {
		assignment, _ = assignment.Fallback()
		u, ok = s.choose(h, assignment)
	}
	if !ok {
		s.unserved++
		return
	}
	r := &request{sentAt: s.now, host: h, traffic: h.Traffic}
	r.result = Result{
		Service: testService, Route: fmt.Sprint("route-", route), Upstream: u, Outcome: OutcomeSuccess,
		FirstExpected: testRunTime,
	}
	if s.oldEnded && u.Version == testOld {
		s.lost++
		return
	}
	s.load(u.Hash())
	s.respond(r, route)
	r.end = h.Begin(s.now, testService, r.result.Route, u)
	s.running = append(s.running, r)
	s.sent = append(s.sent, r)
}

// load counts a request at an upstream and forgets those that are a second old.
func (s *simulation) load(upstream uint64) {
	times := append(s.loads[upstream], s.now)
	for s.now.Sub(times[0]) > time.Second {
		times = times[1:]
	}
	s.loads[upstream] = times
}

func (s *simulation) choose(h *testHost, a Assignment) (persimcatalog.Upstream, bool) {
	var allowed []persimcatalog.Upstream
	for _, u := range s.upstreams[testService] {
		if !u.Leaving && h.Allowed(s.now, testService, u, a) {
			allowed = append(allowed, u)
		}
	}
	if len(allowed) == 0 {
		return persimcatalog.Upstream{}, false
	}
	return allowed[s.random.IntN(len(allowed))], true
}

// respond determines how a request ends. Times vary by a factor of two both ways.
func (s *simulation) respond(r *request, route int) {
	factor := math.Exp2(2*s.random.Float64() - 1)
	fails := route < len(s.failing) && s.random.Float64() < s.failing[route]
	if s.common != nil {
		faulty, slower := s.common(s, r)
		fails, factor = fails || faulty, factor*max(1, slower)
	}
	if s.fault != nil && r.result.Upstream.Version == testNew {
		faulty, slower := s.fault(s, r)
		r.bad = faulty || slower > 1
		fails, factor = fails || faulty, factor*max(1, slower)
	}
	if fails {
		r.result.Outcome = OutcomeFailed
	}
	r.result.First = time.Duration(factor * float64(testRunTime))
	r.endsAt = s.now.Add(max(r.result.First, s.runTime))
}

func (s *simulation) endRequests() {
	kept := s.running[:0]
	for _, r := range s.running {
		if r.endsAt.After(s.now) {
			kept = append(kept, r)
			continue
		}
		r.end()
		r.traffic.Record(s.now, r.result)
	}
	s.running = kept
}

// exchange lets hosts report to the lease holder, whose reply has its news, and tell each
// other what they know.
func (s *simulation) exchange() {
	for _, h := range s.hosts {
		if h.down || h.cut {
			continue
		}
		if !s.now.Before(h.reportAt) {
			h.reportAt = s.now.Add(ReportInterval(s.site.hosts))
			s.report(h)
		}
		if other := s.hosts[s.random.IntN(len(s.hosts))]; !s.now.Before(h.gossipAt) && !other.down && !other.cut {
			h.gossipAt = s.now.Add(testGossip)
			h.Merge(s.now, other.News(s.now))
		}
	}
}

func (s *simulation) report(h *testHost) {
	if s.holder == nil || s.holder.cut {
		return
	}
	h.heardAt = s.now
	for _, report := range h.Reports(s.now) {
		s.controller.Observe(s.now, h.name, fmt.Sprint(h.incarnation), report)
	}
	h.Merge(s.now, s.holder.News(s.now))
}

// lead lets the lease holder decide and the lease pass on.
func (s *simulation) lead() {
	if s.holder == nil {
		if !s.now.Before(s.nextHolderAt) {
			s.hold(s.nextHolder())
		}
		return
	}
	if s.now.Sub(s.decided) < testDecide {
		return
	}
	s.decided = s.now
	s.apply(s.controller.Decide(s.now, s.fleet()))
}

func (s *simulation) nextHolder() *testHost {
	for _, h := range s.hosts {
		if !h.down && !h.cut {
			return h
		}
	}
	return nil
}

func (s *simulation) fleet() Fleet {
	f := Fleet{Upstreams: s.upstreams[testService], Configured: !s.unconfigured}
	for _, h := range s.hosts {
		f.Hosts = append(f.Hosts, Host{Name: h.name, Incarnation: fmt.Sprint(h.incarnation), Registered: true, HeardAt: h.heardAt})
	}
	for _, news := range s.holder.News(s.now) {
		f.Known = &news
	}
	return f
}

// apply announces and writes what the lease holder decided.
func (s *simulation) apply(d Decision) {
	s.changes = append(s.changes, d.Changes...)
	s.active = d.Active
	if d.News != nil {
		s.holder.Merge(s.now, []News{*d.News})
	}
	if s.storeDown {
		return
	}
	if d.Record != nil {
		s.record = d.Record
	}
	if d.Forget {
		s.record = nil
	}
	if d.Status != nil && s.object != nil {
		s.object.Status = *d.Status
		s.statuses = append(s.statuses, *d.Status)
		s.statusAt = s.now
		if d.Status.State == StateCompleted {
			s.endOld()
		}
	}
	s.read()
}

// endOld ends the upstreams of the old version as the operator does on completion, and counts
// the requests that are lost with them.
func (s *simulation) endOld() {
	for _, r := range s.running {
		if r.result.Upstream.Version == testOld {
			s.lost++
		}
	}
	s.oldEnded = true
}
