package persimquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// testWarmup is when the deadly requests begin.
	testWarmup = 8 * time.Second
	// testEnd is when they end.
	testEnd = 60 * time.Second
	// maxLate is the number of deadly requests that may be sent late.
	maxLate = 3
)

// late returns when the requests with a part were sent that were sent later than its
// fifth crash and three seconds.
func (d *deployment) late(part uint64) []time.Duration {
	var late []time.Duration
	if len(d.crashes[part]) < 5 {
		return nil
	}
	for _, at := range d.sent[part] {
		if at > d.crashes[part][4]+3*time.Second {
			late = append(late, at)
		}
	}
	return late
}

// requireStopped checks that the requests with a part are no longer sent.
func requireStopped(t *testing.T, d *deployment, part uint64) {
	t.Helper()
	require.NotEmpty(t, d.crashes[part])
	late := d.late(part)
	require.LessOrEqual(t, len(late), maxLate, "crashes %v, late %v", d.crashes[part], late)
}

// requireServed checks the sound requests from six seconds after the fifth crash of the
// last part until a time.
func requireServed(t *testing.T, d *deployment, until time.Duration, parts ...uint64) {
	t.Helper()
	from := time.Duration(0)
	for _, part := range parts {
		if len(d.crashes[part]) >= 5 {
			from = max(from, d.crashes[part][4]+6*time.Second)
		}
	}
	offered, served, blocked := 0, 0, 0
	for second, count := range d.offered {
		if second >= from && second < until-2*time.Second {
			offered += count
			served += d.served[second]
			blocked += d.blocked[second]
		}
	}
	require.GreaterOrEqual(t, float64(served), 0.95*float64(offered), "of %d offered, %d blocked; quarantined %v", offered, blocked, d.quarantinedParts())
	t.Logf("%d hosts: crashes %d, late %d, served %d of %d, blocked %d", len(d.hosts), len(d.crashes[deadly]), len(d.late(deadly)), served, offered, blocked)
}

// quarantinedParts returns the parts that any host holds.
func (d *deployment) quarantinedParts() map[uint64]int {
	parts := map[uint64]int{}
	for _, h := range d.hosts {
		for _, quarantined := range h.Evidence(d.time()).Quarantined {
			parts[quarantined.Part]++
		}
	}
	return parts
}

// requireReleased checks that no host has a quarantined part.
func requireReleased(t *testing.T, d *deployment) {
	t.Helper()
	for i, h := range d.hosts {
		evidence := h.Evidence(d.time())
		require.Empty(t, evidence.Quarantined, "host %d", i)
		require.Empty(t, evidence.Crashes, "host %d", i)
	}
}

// begin starts the requests with a deadly part.
func (d *deployment) begin(part uint64, share float64) { d.deadlyShares[part] = share }

// trouble is what happens beside a deadly part.
var trouble = map[string]func(d *deployment){
	"alone":        func(*deployment) {},
	"no byte sent": func(d *deployment) { d.silent = true },
	"other crashes": func(d *deployment) {
		d.every(time.Second, 3*time.Second, func() { d.crash(d.upstreams[d.random.IntN(len(d.upstreams))]) })
		d.every(testWarmup+300*time.Millisecond, 15*time.Second, func() { d.crashCentre(d.random.IntN(d.centres)) })
	},
	"new popular part": func(d *deployment) {
		d.after(testWarmup, func() { d.newShare = 0.3 })
	},
	"slow messages": func(d *deployment) {
		d.lag = func() time.Duration { return time.Duration(d.random.Int64N(int64(maxTransit))) }
	},
	"restarts": func(d *deployment) {
		d.every(testWarmup, 5*time.Second, func() { d.restart(d.hosts[d.random.IntN(len(d.hosts))], time.Second) })
	},
}

// raceDetector tells that the race detector is on, with which the largest site would take
// a quarter of an hour; make test plays it without.
var raceDetector bool

func skipSlow(t *testing.T, s site) {
	t.Helper()
	if raceDetector && s.hosts > 100 {
		t.Skip("played without the race detector")
	}
}

// eachSite runs a test for each size of a deployment and share of deadly requests.
func eachSite(t *testing.T, run func(t *testing.T, d *deployment, share float64)) {
	for name, s := range sites {
		for _, share := range []float64{0.005, 0.05, 0.5} {
			t.Run(fmt.Sprint(name, " ", share), func(t *testing.T) {
				skipSlow(t, s)
				t.Parallel()
				run(t, newDeployment(s, 1), share)
			})
		}
	}
}

func TestDeadlyPartIsStopped(t *testing.T) {
	for name, add := range trouble {
		t.Run(name, func(t *testing.T) {
			eachSite(t, func(t *testing.T, d *deployment, share float64) {
				add(d)
				d.after(testWarmup, func() { d.begin(deadly, share) })
				d.play(testEnd)
				requireStopped(t, d, deadly)
				requireServed(t, d, testEnd, deadly)
			})
		})
	}
}

func TestTwoDeadlyPartsAreStopped(t *testing.T) {
	eachSite(t, func(t *testing.T, d *deployment, share float64) {
		d.after(testWarmup, func() {
			d.begin(deadly, share/2)
			d.begin(deadly2, share/2)
		})
		d.play(testEnd)
		requireStopped(t, d, deadly)
		requireStopped(t, d, deadly2)
		requireServed(t, d, testEnd, deadly, deadly2)
	})
}

func TestPartThatComesBackIsStopped(t *testing.T) {
	eachSite(t, func(t *testing.T, d *deployment, share float64) {
		const pause = 40 * time.Second
		d.after(testWarmup, func() { d.begin(deadly, share) })
		d.after(testWarmup+20*time.Second, func() { d.begin(deadly, 0) })
		d.after(testWarmup+20*time.Second+pause, func() { d.begin(deadly, share) })
		d.play(testEnd + pause)
		requireStopped(t, d, deadly)
		requireServed(t, d, testEnd+pause, deadly)
	})
}

func TestSoundPartThatTurnsDeadlyIsStopped(t *testing.T) {
	eachSite(t, func(t *testing.T, d *deployment, share float64) {
		d.harmless = true
		d.begin(deadly, share)
		d.after(testWarmup, func() { d.harmless = false })
		d.play(testEnd)
		requireStopped(t, d, deadly)
		requireServed(t, d, testEnd, deadly)
	})
}

func TestSoundPartsAreNotQuarantined(t *testing.T) {
	for _, name := range []string{"other crashes", "new popular part", "restarts"} {
		for size, s := range sites {
			t.Run(name+" "+size, func(t *testing.T) {
				skipSlow(t, s)
				t.Parallel()
				d := newDeployment(s, 2)
				trouble["other crashes"](d)
				trouble[name](d)
				d.play(testEnd)
				for second, blocked := range d.blocked {
					require.Zero(t, blocked, "%v, %v", second, d.quarantinedParts())
				}
			})
		}
	}
}

func TestQuarantineEnds(t *testing.T) {
	for name, change := range map[string]func(d *deployment){
		"requests end":       func(d *deployment) { d.begin(deadly, 0) },
		"part becomes sound": func(d *deployment) { d.harmless = true },
	} {
		for size, s := range sites {
			t.Run(name+" "+size, func(t *testing.T) {
				skipSlow(t, s)
				t.Parallel()
				d := newDeployment(s, 3)
				d.after(testWarmup, func() { d.begin(deadly, 0.05) })
				d.after(20*time.Second, func() {
					change(d)
					d.rate = 0.1
				})
				d.play(20*time.Second + minHold + spread(s.hosts) + forgetAfter + 10*time.Second)
				requireReleased(t, d)
			})
		}
	}
}
