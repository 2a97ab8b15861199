package persimmonport

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"persimmonport.example/persimstand"
)

const (
	smallRuns  = 3
	runStreams = 6
	recoverBy  = 15 * time.Second
)

// faultRuns is the number of seeded runs of each fault.
func faultRuns() int {
	runs, err := strconv.Atoi(os.Getenv("PERSIM_FAULT_RUNS"))
	if err != nil {
		return smallRuns
	}
	return runs
}

// tally is what the runs of one fault have shown.
type tally struct {
	mu       sync.Mutex
	runs     int
	accepted int
	lost     int
	wrong    int
	doubled  int
	untrue   int
	longest  time.Duration
}

func (a *tally) add(readings []*reading, want func(*reading) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs++
	for _, r := range readings {
		if !r.accepted() {
			continue
		}
		a.accepted++
		a.longest = max(a.longest, r.longest)
		switch {
		case !r.whole():
			a.lost++
		case !want(r):
			a.wrong++
		}
	}
}

// fault is a failure that is caused while requests are in progress.
type fault struct {
	name  string
	shape shape
	cause func(d *deployment, random *rand.Rand)
}

func streamFaults() []fault {
	plain := defaultShape()
	salted := plain
	salted.salted = true
	noExport := salted
	noExport.exports = false
	return []fault{
		{"worker reclaimed", salted, reclaimOneEngine},
		{"worker reclaimed, no export", noExport, reclaimOneEngine},
		{"two workers reclaimed", salted, reclaimTwoEngines},
		{"entry host reclaimed", plain, reclaimOneEntry},
		{"entry host reclaimed, salted", salted, reclaimOneEntry},
		{"killed while handing over", plain, killInHandover},
		{"data centre reclaimed", salted, reclaimCentre},
		{"data centre reclaimed, platform down", plain, reclaimCentreWithoutPlatform},
		{"entry host and worker reclaimed", salted, reclaimEntryAndEngine},
		{"entry host killed without notice", plain, killEntry},
		{"entry host killed, salted", salted, killEntry},
		{"killed while handing over, salted", salted, killInHandover},
		{"same host reclaimed and replaced twice", plain, reclaimTwice},
		{"link of an entry host goes silent", plain, silenceEntry},
	}
}

func wait(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

func reclaimOneEngine(d *deployment, random *rand.Rand) {
	d.reclaimUpstream(engineAddress(random.IntN(3)), 3*time.Second)
}

func reclaimTwoEngines(d *deployment, random *rand.Rand) {
	first := random.IntN(3)
	d.reclaimUpstream(engineAddress(first), 3*time.Second)
	wait(random, 2*time.Second)
	d.reclaimUpstream(engineAddress((first+1)%3), 3*time.Second)
}

func reclaimOneEntry(d *deployment, random *rand.Rand) {
	d.reclaimEntry(d.entries[random.IntN(3)], 10*time.Second)
}

// killInHandover ends the process at some time between notice and its end.
func killInHandover(d *deployment, random *rand.Rand) {
	e := d.entries[random.IntN(3)]
	e.host.Drain()
	time.Sleep(2 * time.Second)
	wait(random, time.Second)
	e.kill()
}

func reclaimCentre(d *deployment, random *rand.Rand) {
	index := random.IntN(3)
	d.reclaimEntry(d.entries[index], 10*time.Second)
	d.reclaimUpstream(engineAddress(index), 10*time.Second)
}

func reclaimCentreWithoutPlatform(d *deployment, random *rand.Rand) {
	index := random.IntN(3)
	d.reclaimEntry(d.entries[index], 10*time.Second)
	d.reclaimUpstream(engineAddress(index), 10*time.Second)
	time.Sleep(1100 * time.Millisecond)
	d.platform.SetFault(persimstand.Fault{Down: true})
}

func reclaimEntryAndEngine(d *deployment, random *rand.Rand) {
	reclaimOneEntry(d, random)
	wait(random, 4*time.Second)
	reclaimOneEngine(d, random)
}

func killEntry(d *deployment, random *rand.Rand) {
	d.entries[random.IntN(3)].kill()
}

func reclaimTwice(d *deployment, random *rand.Rand) {
	e := d.entries[random.IntN(3)]
	for range 2 {
		e.host.Drain()
		<-e.done
		d.startEntry(e)
		wait(random, 3*time.Second)
	}
}

// silenceEntry loses the packets of one entry host for good.
func silenceEntry(d *deployment, random *rand.Rand) {
	d.net.cut(d.entries[random.IntN(3)].settings.Listen.Peers)
}

func TestAcceptedSurvive(t *testing.T) {
	for _, f := range streamFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			total := &tally{}
			for seed := range faultRuns() {
				synctest.Test(t, func(t *testing.T) { surviveOnce(t, f, uint64(seed), total) })
			}
			report(f.name, total)
			require.Positive(t, total.accepted)
			require.Zero(t, total.lost, "accepted requests lost")
			require.Zero(t, total.wrong, "answers of another request")
			require.LessOrEqual(t, total.longest, recoverBy)
		})
	}
}

// surviveOnce runs some streams during one fault.
func surviveOnce(t *testing.T, f fault, seed uint64, total *tally) {
	random := rand.New(rand.NewPCG(seed, 7))
	d := newDeployment(t, f.shape)
	defer d.close()
	d.awaitReady()
	readings := make([]*reading, runStreams)
	var running sync.WaitGroup
	for i := range readings {
		first := random.IntN(len(d.entries))
		prompt := fmt.Sprintf("match %d of %d len=%d", i, seed, 100+random.IntN(400))
		delay := time.Duration(random.Int64N(int64(2 * time.Second)))
		running.Go(func() {
			time.Sleep(delay)
			readings[i] = d.read(first, prompt, 90*time.Second)
		})
	}
	wait(random, 3*time.Second)
	f.cause(d, random)
	running.Wait()
	for i, r := range readings {
		if r.accepted() && !r.whole() {
			t.Logf("seed %d: stream %d of %s (replicated %t) lost: %d tokens, refusal %v, fault %q", seed, i, r.id, r.replicated, r.tokens, r.refusal, r.fault)
		}
	}
	total.add(readings, func(r *reading) bool { return f.shape.salted || isAnswer(r, seed, readings) })
}

// isAnswer reports whether a reading holds the answer to its own prompt.
func isAnswer(r *reading, seed uint64, readings []*reading) bool {
	for i, other := range readings {
		if other == r {
			prompt := fmt.Sprintf("match %d of %d len=%d", i, seed, r.tokens)
			return r.text.String() == persimstand.Answer(prompt, int(r.tokens))
		}
	}
	return false
}

var reports struct {
	mu   sync.Mutex
	rows map[string]*tally
}

func report(name string, total *tally) {
	reports.mu.Lock()
	defer reports.mu.Unlock()
	if reports.rows == nil {
		reports.rows = map[string]*tally{}
	}
	reports.rows[name] = total
}

// TestMain prints the table of all faults last.
func TestMain(m *testing.M) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", os.Getenv("PERSIM_LOG"))
	code := m.Run()
	printReports()
	os.Exit(code)
}

func printReports() {
	reports.mu.Lock()
	defer reports.mu.Unlock()
	if len(reports.rows) == 0 {
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "fault\truns\taccepted\tlost\twrong\tdoubled\tuntrue\tlongest")
	for _, name := range sortedNames() {
		r := reports.rows[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
			name, r.runs, r.accepted, r.lost, r.wrong, r.doubled, r.untrue, r.longest.Round(time.Millisecond))
	}
	_ = w.Flush()
}

func sortedNames() []string {
	var names []string
	for name := range reports.rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
