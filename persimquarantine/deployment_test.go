package persimquarantine

import (
	"cmp"
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	testGossip = 200 * time.Millisecond
	// testAnswer is the time after which the answer to a deadly request begins.
	testAnswer    = 150 * time.Millisecond
	testRestart   = 3 * time.Second
	testMeshHosts = 12
	// testContact is the time for which a host must be up before its requests count.
	testContact = 3 * time.Second
	// testRate is the number of requests that an upstream gets in a second.
	testRate = 12
	// firstPart begins nearly all requests of the deadly kind, and most others.
	firstPart uint64 = 1
	// newPart is a popular part that only appears with the first deadly part.
	newPart uint64 = 2
	deadly  uint64 = 1_000_001
	deadly2 uint64 = 1_000_002
)

var testStart = time.Unix(1_000_000, 0)

// event is something that happens at a time of a deployment.
type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// testHost is a host of a simulated deployment.
type testHost struct {
	Quarantine
	centre int
	down   bool
	// startedAt is when the host last started.
	startedAt time.Duration
	// evidence is what the host tells, as of toldAt.
	evidence Evidence
	toldAt   time.Duration
}

type testUpstream struct {
	centre int
	// incarnation is zero while the upstream is down.
	incarnation uint64
	// unanswered are the requests whose answer has not begun.
	unanswered map[*testRequest]bool
}

type testRequest struct {
	host    *testHost
	parts   []uint64
	culprit uint64
	sound   bool
	sentAt  time.Duration
	// begun is set once the upstream has begun to answer.
	begun bool
}

// site is a size of a deployment.
type site struct{ hosts, centres, upstreams int }

var sites = map[string]site{
	"7 hosts":   {hosts: 7, centres: 2, upstreams: 12},
	"62 hosts":  {hosts: 62, centres: 3, upstreams: 30},
	"295 hosts": {hosts: 295, centres: 7, upstreams: 70},
}

// deployment runs hosts and upstreams in virtual time.
type deployment struct {
	site
	random    *rand.Rand
	now       time.Duration
	events    events
	scheduled int
	hosts     []*testHost
	upstreams []*testUpstream
	// deadlyShares is the share of the requests that contain each deadly part.
	deadlyShares map[uint64]float64
	// newShare is the share of the requests that contain newPart.
	newShare float64
	// harmless tells that the deadly parts crash no upstream any more.
	harmless bool
	// silent tells that upstreams crash without a byte of the answer.
	silent bool
	// rate is the share of the usual rate of requests.
	rate float64
	// lag returns the time that a message takes.
	lag func() time.Duration

	incarnations uint64
	// crashes and sent are the times of the crashes by each deadly part and of the
	// requests with it, but for those of hosts that have just restarted.
	crashes, sent map[uint64][]time.Duration
	// offered, blocked and served count the sound requests that found an upstream up, by
	// second.
	offered, blocked, served map[time.Duration]int
}

func newDeployment(s site, seed uint64) *deployment {
	d := &deployment{
		site: s, random: rand.New(rand.NewPCG(uint64(s.hosts), seed)), rate: 1,
		deadlyShares: map[uint64]float64{}, crashes: map[uint64][]time.Duration{}, sent: map[uint64][]time.Duration{},
		offered: map[time.Duration]int{}, blocked: map[time.Duration]int{}, served: map[time.Duration]int{},
	}
	d.lag = d.usualLag
	for i := range s.hosts {
		h := &testHost{centre: i % s.centres}
		d.hosts = append(d.hosts, h)
		d.start(h)
		d.every(time.Duration(d.random.Int64N(int64(testGossip))), testGossip, func() { d.gossip(i) })
	}
	for i := range s.upstreams {
		u := &testUpstream{centre: i % s.centres}
		d.upstreams = append(d.upstreams, u)
		d.startUpstream(u)
	}
	d.after(0, d.offer)
	return d
}

// usualLag is short for most messages.
func (d *deployment) usualLag() time.Duration {
	if d.random.Float64() < 0.1 {
		return time.Duration(d.random.Int64N(int64(maxTransit)))
	}
	return time.Duration(d.random.Int64N(int64(50 * time.Millisecond)))
}

func (d *deployment) time() time.Time { return testStart.Add(d.now) }

func (d *deployment) after(wait time.Duration, do func()) {
	d.scheduled++
	heap.Push(&d.events, event{at: d.now + wait, number: d.scheduled, do: do})
}

func (d *deployment) every(first, interval time.Duration, do func()) {
	d.after(first, func() {
		do()
		d.every(interval, interval, do)
	})
}

// play runs the deployment until a time.
func (d *deployment) play(until time.Duration) {
	for len(d.events) > 0 && d.events[0].at <= until {
		next := heap.Pop(&d.events).(event)
		d.now = next.at
		next.do()
	}
	d.now = until
}

// start starts a host, which then knows nothing.
func (d *deployment) start(h *testHost) {
	h.Quarantine = New(WithRandom(rand.New(rand.NewPCG(d.random.Uint64(), 1))))
	h.SetHosts(d.site.hosts)
	h.down = false
	h.startedAt = d.now
	h.toldAt = -testGossip
}

func (d *deployment) restart(h *testHost, wait time.Duration) {
	h.down = true
	d.after(wait, func() { d.start(h) })
}

// gossip lets a host tell its evidence: in a mesh to all others, else to a hub, which
// replies. A hub also tells the hubs of the other centres.
func (d *deployment) gossip(number int) {
	h := d.hosts[number]
	if h.down {
		return
	}
	if len(d.hosts) <= testMeshHosts {
		for _, other := range d.hosts {
			d.tell(h, other, nil)
		}
		return
	}
	hub := d.hubInTurn(h.centre)
	d.tell(h, hub, func() { d.tell(hub, h, nil) })
	if number < 2*d.centres {
		for centre := range d.centres {
			d.tell(h, d.hubInTurn(centre), nil)
		}
	}
}

func (d *deployment) hubInTurn(centre int) *testHost {
	return d.hosts[centre+d.centres*d.random.IntN(2)]
}

func (d *deployment) tell(from, to *testHost, then func()) {
	if from == to || from.down {
		return
	}
	if d.now-from.toldAt >= 50*time.Millisecond {
		from.evidence, from.toldAt = from.Evidence(d.time()), d.now
	}
	told := from.evidence
	receiver := to.Quarantine
	d.after(d.lag(), func() {
		if to.down || to.Quarantine != receiver {
			return
		}
		to.Merge(d.time(), told)
		if then != nil {
			then()
		}
	})
}

// offer sends a request and schedules the next one.
func (d *deployment) offer() {
	rate := testRate * float64(len(d.upstreams)) * d.rate
	d.after(time.Duration(d.random.ExpFloat64()/rate*float64(time.Second)), d.offer)
	h := d.hosts[d.random.IntN(len(d.hosts))]
	if !h.down {
		d.send(d.newRequest(h))
	}
}

// newRequest returns a request: all of its parts but the deadly one are in sound
// requests, too.
func (d *deployment) newRequest(h *testHost) *testRequest {
	r := &testRequest{host: h, sound: true, sentAt: d.now}
	drawn := d.random.Float64()
	for _, part := range []uint64{deadly, deadly2} {
		if drawn -= d.deadlyShares[part]; drawn < 0 && r.culprit == 0 {
			r.sound, r.culprit = d.harmless, part
		}
	}
	if r.culprit != 0 && d.random.Float64() < 0.97 || r.culprit == 0 && d.random.Float64() < 0.6 {
		r.parts = append(r.parts, firstPart)
	}
	if d.random.Float64() < d.newShare {
		r.parts = append(r.parts, newPart)
	}
	for range 3 {
		r.parts = append(r.parts, 100+uint64(d.random.ExpFloat64()*30))
	}
	for range 3 {
		r.parts = append(r.parts, 10_000+d.random.Uint64N(3000))
	}
	if r.culprit != 0 {
		r.parts = slices.Insert(r.parts, 1+d.random.IntN(len(r.parts)), r.culprit)
	}
	return r
}

func (d *deployment) send(r *testRequest) {
	u := d.upstreams[d.random.IntN(len(d.upstreams))]
	for range 4 * len(d.upstreams) {
		if u.incarnation != 0 {
			break
		}
		u = d.upstreams[d.random.IntN(len(d.upstreams))]
	}
	if u.incarnation == 0 {
		return
	}
	second := d.now.Truncate(time.Second)
	if r.sound {
		d.offered[second]++
	}
	if _, _, blocked := r.host.Check(d.time(), r.parts); blocked {
		if r.sound {
			d.blocked[second]++
		}
		return
	}
	u.unanswered[r] = true
	incarnation := u.incarnation
	if !r.sound {
		if r.host.startedAt == 0 || d.now-r.host.startedAt >= testContact {
			d.sent[r.culprit] = append(d.sent[r.culprit], d.now)
		}
		d.after(testAnswer, func() {
			if u.incarnation == incarnation {
				r.begun = !d.silent
				d.crashes[r.culprit] = append(d.crashes[r.culprit], d.now)
				d.crash(u)
			}
		})
		return
	}
	begin := time.Duration(100+d.random.IntN(400)) * time.Millisecond
	d.after(begin, func() {
		if u.incarnation == incarnation {
			delete(u.unanswered, r)
		}
	})
	d.after(begin+100*time.Millisecond, func() {
		if u.incarnation != incarnation {
			return
		}
		d.served[r.sentAt.Truncate(time.Second)]++
		if !r.host.down {
			r.host.RecordSuccess(d.time(), r.parts)
		}
	})
}

func (d *deployment) startUpstream(u *testUpstream) {
	d.incarnations++
	u.incarnation = d.incarnations * 0x9E3779B97F4A7C15
	u.unanswered = map[*testRequest]bool{}
}

// crash crashes an upstream; each host notices its own requests there.
func (d *deployment) crash(u *testUpstream) {
	if u.incarnation == 0 {
		return
	}
	upstream := u.incarnation
	u.incarnation = 0
	lost := slices.SortedFunc(maps.Keys(u.unanswered), func(a, b *testRequest) int {
		return cmp.Compare(a.sentAt, b.sentAt)
	})
	for _, r := range lost {
		receiver := r.host.Quarantine
		d.after(time.Duration(d.random.Int64N(int64(20*time.Millisecond))), func() {
			if !r.host.down && r.host.Quarantine == receiver {
				r.host.RecordCrash(d.time(), upstream, r.parts, r.begun)
			}
		})
	}
	d.after(testRestart, func() { d.startUpstream(u) })
}

func (d *deployment) crashCentre(centre int) {
	for _, u := range d.upstreams {
		if u.centre == centre {
			d.crash(u)
		}
	}
}
