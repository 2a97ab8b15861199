package persimplace

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"persimmonport.example/persimengine"
)

// unlearned is the placer as it is without learned capacities.
type unlearned struct{ persimengine.Capacities }

func (unlearned) Refresh(time.Time) bool { return false }

const (
	fleetTick     = 2 * time.Millisecond
	exchangeEvery = 300 * time.Millisecond
	// turnStride spreads the exchanges of the hosts over the interval.
	turnStride  = 37
	chunkTokens = 1024
	stepBase    = 8 * time.Millisecond
	stepPerJob  = 100 * time.Microsecond
	// maxInterval is the largest mean time between tokens that is in time.
	maxInterval = 30 * time.Millisecond
	// minTokens is the number of tokens from which on the interval counts.
	minTokens = 20
	// chunkTime is the time for which a step is longer that reads a chunk of a prompt.
	chunkTime = 10 * time.Millisecond
	// noiseEvery is the time after which others are disturbed, noiseFactor the duration of
	// their work relative to the normal one.
	noiseEvery  = 600 * time.Millisecond
	noiseFactor = 2.5
	// progressEvery is the interval at which the front records the progress of a stream.
	progressEvery = 500 * time.Millisecond
)

// machine is an upstream that works in steps.
type machine struct {
	slots int
	// speed is the duration of work relative to the other machines, knee the number of
	// requests from which on it grows with their square, or zero.
	speed, knee float64
	noise       float64
	jobs        []*job
	stepEnd     time.Time
	stepping    bool
}

// job is a request at a machine.
type job struct {
	host, chunks, tokens          int
	sentAt, firstByte, recordedAt time.Time
	// unrecorded is the number of tokens since recordedAt.
	unrecorded int
	ticket     *Ticket
	request    Request
}

// stretch returns the duration of work with a number of requests relative to the usual.
func (m *machine) stretch(jobs int) float64 {
	if over := float64(jobs) / m.knee; m.knee > 0 && over > 1 {
		return m.speed * over * over
	}
	return m.speed
}

func (m *machine) running() []*job { return m.jobs[:min(len(m.jobs), m.slots)] }

// throughput returns the requests a second that a machine serves with its best number of
// requests.
func (m *machine) throughput(chunks, tokens int) float64 {
	best := 0.0
	for jobs := 1; jobs <= m.slots; jobs++ {
		step := (stepBase + time.Duration(jobs)*stepPerJob).Seconds()
		steps := max(float64(tokens)/float64(jobs), float64(chunks))
		work := (steps*step + float64(chunks)*chunkTime.Seconds()) * m.stretch(jobs)
		best = max(best, 1/work)
	}
	return best
}

// begin starts a step, which reads a chunk of one prompt.
func (m *machine) begin(now time.Time) {
	running := m.running()
	length := stepBase + time.Duration(len(running))*stepPerJob
	if slices.ContainsFunc(running, func(j *job) bool { return j.chunks > 0 }) {
		length += chunkTime
	}
	m.stepping = true
	m.stepEnd = now.Add(time.Duration(float64(length) * m.stretch(len(running)) * m.noise))
}

// fleet plays hosts and machines in virtual time.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	machines []*machine
	placers  []Placer
	chunks   int
	tokens   int
	// noisy is the share of the machines that are disturbed at a time.
	noisy float64
	// cut is set for hosts that no other host reaches.
	cut       map[int]bool
	target    time.Duration
	perSecond float64

	// evidence and loads are what the hosts told last, total and totalLoads the sums.
	evidence   map[int]persimengine.Evidence
	loads      map[int]map[uint64]PeerLoad
	total      persimengine.Evidence
	totalLoads map[uint64]PeerLoad
	reports    map[uint64]TimedReport

	countFrom           time.Time
	sent, late, refused int
	// slow is the number of responses whose tokens came at more than three times the usual
	// interval.
	slow int
	// chosen counts the requests sent to each machine.
	chosen []int
}

// newFleet returns hosts with machines that work alike, offered a share of what they can
// serve.
func newFleet(seed uint64, hosts, count, slots int, learning bool) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, tokens: 400, target: 7500 * time.Millisecond, cut: map[int]bool{}, chosen: make([]int, count),
		evidence: map[int]persimengine.Evidence{}, loads: map[int]map[uint64]PeerLoad{}, total: persimengine.Evidence{}, totalLoads: map[uint64]PeerLoad{}, reports: map[uint64]TimedReport{},
	}
	for range count {
		f.machines = append(f.machines, &machine{slots: slots, speed: 1, noise: 1})
	}
	for host := range hosts {
		f.addHost(uint64(host), learning)
	}
	return f
}

func (f *fleet) addHost(seed uint64, learning bool) {
	capacities := persimengine.NewCapacities(seed + 1)
	if !learning {
		capacities = unlearned{capacities}
	}
	p := New(WithRandom(rand.New(rand.NewPCG(seed, 2))), WithCapacities(capacities))
	list := makeUpstreams(len(f.machines))
	for i := range list {
		list[i].Slots = f.machines[i].slots
	}
	p.SetUpstreams(list)
	f.placers = append(f.placers, p)
}

// offer sets the load as a share of what the machines can serve.
func (f *fleet) offer(share float64) {
	for _, m := range f.machines {
		f.perSecond += share * m.throughput(f.chunks, f.tokens) / (1 + f.noisy*(noiseFactor-1))
	}
}

// play runs the fleet and counts only what is sent in that time.
func (f *fleet) play(length time.Duration) {
	f.sent, f.late, f.refused, f.slow, f.countFrom = 0, 0, 0, 0, f.now
	clear(f.chosen)
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetTick) {
		elapsed := f.now.Sub(start)
		if f.noisy > 0 && elapsed%noiseEvery == 0 {
			f.disturb()
		}
		f.exchange()
		for mean := f.perSecond * fleetTick.Seconds(); f.random.Float64() < mean; mean-- {
			f.send()
		}
		for i, m := range f.machines {
			f.advance(i, m)
		}
	}
}

func (f *fleet) disturb() {
	for _, m := range f.machines {
		m.noise = 1
		if f.random.Float64() < f.noisy {
			m.noise = noiseFactor
		}
	}
}

// exchange lets the hosts whose turn it is tell what they know, and then learn the sum of
// what the others told last.
func (f *fleet) exchange() {
	turn := int(f.now.Sub(start) / fleetTick)
	for host, p := range f.placers {
		if f.cut[host] || (turn+host*turnStride)%int(exchangeEvery/fleetTick) != 0 {
			continue
		}
		f.total.Add(f.evidence[host], -1)
		addLoads(f.totalLoads, f.loads[host], -1)
		p.SetPeerEvidence(f.now, "*", maps.Clone(f.total))
		p.SetPeerLoads(f.now, "*", maps.Clone(f.totalLoads))
		f.evidence[host], f.loads[host] = p.Evidence(f.now), p.OwnLoads()
		f.total.Add(f.evidence[host], 1)
		addLoads(f.totalLoads, f.loads[host], 1)
		for upstream, report := range f.reports {
			p.RecordReport(report.At, upstream, report.Report)
		}
		maps.Copy(f.reports, p.Reports(f.now))
	}
}

// countUnfinished counts the requests in progress that are late or slow already.
func (f *fleet) countUnfinished() {
	for _, m := range f.machines {
		for _, j := range m.jobs {
			switch {
			case j.sentAt.Before(f.countFrom):
			case j.firstByte.IsZero() && f.now.Sub(j.sentAt) > f.target:
				f.late++
			case !j.firstByte.IsZero() && j.firstByte.Sub(j.sentAt) <= f.target && f.now.Sub(j.firstByte) > maxInterval*time.Duration(max(minTokens, f.tokens-j.tokens)):
				f.slow++
			}
		}
	}
}

func addLoads(sum, other map[uint64]PeerLoad, times int) {
	for upstream, load := range other {
		sum[upstream] = sum[upstream].Plus(load.Times(times))
	}
}

func (f *fleet) send() {
	host := f.random.IntN(len(f.placers))
	j := &job{host: host, chunks: f.chunks, tokens: f.tokens, sentAt: f.now}
	if f.chunks > 0 {
		j.request = Request{Tokens: f.chunks * chunkTokens, Parts: []Part{{ID: f.random.Uint64(), Tokens: f.chunks * chunkTokens}}}
	}
	choice, ok := f.placers[host].Choose(f.now, j.request)
	if !ok || f.chunks > 0 && choice.Expected > f.target*5/4 {
		f.refused++
		return
	}
	j.ticket = f.placers[host].StartAttempt(f.now, j.request, choice)
	index, _ := strconv.Atoi(choice.Upstream.ID[1:])
	f.sent++
	f.chosen[index]++
	f.machines[index].jobs = append(f.machines[index].jobs, j)
}

// advance ends and begins steps of a machine.
func (f *fleet) advance(index int, m *machine) {
	if m.stepping && !m.stepEnd.After(f.now) {
		m.stepping = false
		f.endStep(index, m)
	}
	if !m.stepping && len(m.jobs) > 0 {
		m.begin(f.now)
	}
}

func (f *fleet) endStep(index int, m *machine) {
	running := slices.Clone(m.running())
	read := false
	for _, j := range running {
		switch {
		case j.chunks > 0 && !read:
			read = true
			if j.chunks--; j.chunks == 0 {
				f.respond(index, m, j)
			}
		case j.chunks == 0:
			j.tokens--
			f.progress(j)
		}
		if j.chunks == 0 && j.tokens == 0 {
			f.end(index, m, j)
		}
	}
}

func (f *fleet) respond(index int, m *machine, j *job) {
	p := f.placers[j.host]
	running := len(m.running())
	p.RecordReport(f.now, Hash(fmt.Sprint("u", index)), Report{Running: running, Waiting: len(m.jobs) - running, Slots: m.slots, Slowdown: m.noise})
	p.RecordResponse(f.now, j.ticket)
	j.firstByte, j.recordedAt = f.now, f.now
	if f.now.Sub(j.sentAt) > f.target && !j.sentAt.Before(f.countFrom) {
		f.late++
	}
}

// progress records the output tokens of a job as the front does.
func (f *fleet) progress(j *job) {
	j.unrecorded++
	if f.chunks > 0 && f.now.Sub(j.recordedAt) >= progressEvery {
		f.placers[j.host].RecordProgress(f.now, j.ticket, j.unrecorded, f.now.Sub(j.recordedAt))
		j.recordedAt, j.unrecorded = f.now, 0
	}
}

func (f *fleet) end(index int, m *machine, j *job) {
	if f.chunks == 0 {
		f.respond(index, m, j)
	} else {
		took := f.now.Sub(j.firstByte)
		if took > time.Duration(f.tokens)*maxInterval && !j.sentAt.Before(f.countFrom) && j.firstByte.Sub(j.sentAt) <= f.target {
			f.slow++
		}
		f.placers[j.host].RecordOutput(f.now, j.ticket, f.tokens, took)
	}
	f.placers[j.host].EndAttempt(f.now, j.ticket, OutcomeSuccess)
	m.jobs = slices.DeleteFunc(m.jobs, func(other *job) bool { return other == j })
}
