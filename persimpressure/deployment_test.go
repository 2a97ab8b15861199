package persimpressure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonport.example/persimcatalog"
)

const (
	testTick = 10 * time.Millisecond
	// testMesh is the number of hosts up to which each tells every other, testCentre the
	// number of hosts that tell one hub in larger deployments.
	testMesh         = 12
	testCentre       = 60
	testMeshInterval = 200 * time.Millisecond
	testHubInterval  = 500 * time.Millisecond
	// testTold is the time after which a host must have acted on a response, testContact the
	// time for which it must be up and in touch before its requests count.
	testTold    = 500 * time.Millisecond
	testContact = 3 * time.Second
	testWindow  = 4 * time.Second
	testMaxTime = 1200 * time.Millisecond
)

var (
	testStart    = time.Unix(1_000_000, 0)
	testUpstream = persimcatalog.Incarnation{ID: "u", Born: 1}
)

// testHost is a host of a simulated deployment.
type testHost struct {
	Pressure
	name string
	// load is the number of requests that it has for the upstream in a second.
	load float64
	// disturbedAt is when the host last started or was last cut off.
	disturbedAt time.Time
	cut         bool
	// toldAt is when it got the first response that names a limit.
	toldAt time.Time
}

// arrival is a request that has reached the upstream.
type arrival struct {
	at   time.Time
	host *testHost
	// told is set if its host must keep the limit.
	told bool
}

// deployment runs hosts that have more requests for one upstream than it takes, in virtual
// time.
type deployment struct {
	random   *rand.Rand
	now      time.Time
	hosts    []*testHost
	arrivals []arrival
	// pending are the requests that the upstream has not answered yet.
	pending []pendingResponse
	// limit is what the upstream names, or negative.
	limit float64
}

type pendingResponse struct {
	at     time.Time
	sentAt time.Time
	host   *testHost
	// to is what the host was when it sent the request.
	to Pressure
}

func newDeployment(seed uint64, hosts int, load float64) *deployment {
	d := &deployment{random: rand.New(rand.NewPCG(seed, 1)), now: testStart, limit: -1}
	for i := range hosts {
		// Callers are spread unevenly over hosts.
		share := 0.3 + 1.4*d.random.Float64()
		d.hosts = append(d.hosts, &testHost{name: fmt.Sprintf("host-%d", i), load: load * share})
	}
	for _, h := range d.hosts {
		d.start(h)
	}
	return d
}

// start starts a host, which then knows nothing but the other hosts and the upstream.
func (d *deployment) start(h *testHost) {
	h.Pressure = New()
	h.disturbedAt = d.now
	h.toldAt = time.Time{}
	var others []string
	for _, other := range d.hosts {
		if other != h {
			others = append(others, other.name)
		}
	}
	h.SetHosts(d.now, h.name, others)
	h.SetUpstreams(d.now, []persimcatalog.Incarnation{testUpstream})
}

func (d *deployment) setCut(h *testHost, cut bool) {
	h.cut = cut
	h.disturbedAt = d.now
}

// run lets time pass.
func (d *deployment) run(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(testTick) {
		d.respond()
		d.gossip()
		for _, h := range d.hosts {
			if d.random.Float64() < h.load*testTick.Seconds() {
				d.request(h)
			}
		}
	}
}

// request sends a request to the upstream if the host may.
func (d *deployment) request(h *testHost) {
	key := testUpstream.Hash()
	if _, open := h.Check(d.now, key); !open {
		return
	}
	h.Take(d.now, key)
	calm := d.now.Sub(h.disturbedAt) >= testContact && !h.cut
	told := !h.toldAt.IsZero() && d.now.Sub(h.toldAt) >= testTold
	d.arrivals = append(d.arrivals, arrival{at: d.now, host: h, told: calm && told})
	took := time.Duration(d.random.Int64N(int64(testMaxTime)))
	d.pending = append(d.pending, pendingResponse{at: d.now.Add(took), sentAt: d.now, host: h, to: h.Pressure})
}

// respond delivers the responses that are due.
func (d *deployment) respond() {
	kept := d.pending[:0]
	for _, p := range d.pending {
		if p.at.After(d.now) {
			kept = append(kept, p)
			continue
		}
		if p.to != p.host.Pressure {
			continue
		}
		signals := Signals{LimitState: LimitAbsent}
		if d.limit >= 0 {
			signals = Signals{LimitState: LimitNamed, Limit: d.limit}
			if p.host.toldAt.IsZero() {
				p.host.toldAt = d.now
			}
		}
		p.to.Record(d.now, p.sentAt, testUpstream, signals)
	}
	d.pending = kept
}

// gossip lets hosts tell each other what they know: each to every other, or in a large
// deployment to the hub of its centre, and hubs to each other.
func (d *deployment) gossip() {
	elapsed := d.now.Sub(testStart)
	if len(d.hosts) <= testMesh {
		if elapsed%testMeshInterval == 0 {
			d.tellEachOther(d.hosts)
		}
		return
	}
	if elapsed%testMeshInterval == 0 {
		d.tellEachOther(d.hubs())
	}
	for i, h := range d.hosts {
		due := (elapsed+time.Duration(i)*testTick)%testHubInterval == 0
		if hub := d.hosts[i/testCentre*testCentre]; due && hub != h {
			d.tellEachOther([]*testHost{h, hub})
		}
	}
}

func (d *deployment) hubs() []*testHost {
	var hubs []*testHost
	for i := 0; i < len(d.hosts); i += testCentre {
		hubs = append(hubs, d.hosts[i])
	}
	return hubs
}

func (d *deployment) tellEachOther(hosts []*testHost) {
	for _, from := range hosts {
		news := from.News(d.now)
		for _, to := range hosts {
			if from != to && !from.cut && !to.cut {
				to.Merge(d.now, news)
			}
		}
	}
}

// mostInWindow returns the largest number of requests that arrived in a window from a time
// on, from hosts that must keep the limit.
func (d *deployment) mostInWindow(from time.Time) int {
	most := 0
	var window []time.Time
	for _, a := range d.arrivals {
		if a.at.Before(from) || !a.told {
			continue
		}
		window = append(window, a.at)
		for a.at.Sub(window[0]) >= testWindow {
			window = window[1:]
		}
		most = max(most, len(window))
	}
	return most
}

// arrived returns the number of requests that arrived from a time on.
func (d *deployment) arrived(from time.Time) int {
	count := 0
	for _, a := range d.arrivals {
		if !a.at.Before(from) {
			count++
		}
	}
	return count
}
