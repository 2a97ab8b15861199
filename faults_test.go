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
	defaultFaultRuns = 3
	streamsPerRun    = 6
	// maxStall is the longest time that a stream may go without a token.
	maxStall = 15 * time.Second
)

// faultRuns returns the number of seeded runs of each fault.
func faultRuns() int {
	runs, err := strconv.Atoi(os.Getenv("PERSIM_FAULT_RUNS"))
	if err != nil {
		return defaultFaultRuns
	}
	return runs
}

// faultStats sums up the results of the runs with one fault.
type faultStats struct {
	mu            sync.Mutex
	runs          int
	accepted      int
	lost          int
	wrong         int
	ranTwice      int
	falseRefusals int
	longestGap    time.Duration
}

func (a *faultStats) add(results []*streamResult, isCorrect func(*streamResult) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs++
	for _, r := range results {
		if !r.accepted() {
			continue
		}
		a.accepted++
		a.longestGap = max(a.longestGap, r.longestGap)
		switch {
		case !r.complete():
			a.lost++
		case !isCorrect(r):
			a.wrong++
		}
	}
}

// fault is a failure that is injected while requests are in progress.
type fault struct {
	name   string
	config deploymentConfig
	inject func(d *deployment, random *rand.Rand)
}

func streamFaults() []fault {
	plain := defaultDeploymentConfig()
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
		{"killed while handing over", plain, killDuringHandover},
		{"data centre reclaimed", salted, reclaimCentre},
		{"data centre reclaimed, platform down", plain, reclaimCentreWithoutPlatform},
		{"entry host and worker reclaimed", salted, reclaimEntryAndEngine},
		{"entry host killed without notice", plain, killEntry},
		{"entry host killed, salted", salted, killEntry},
		{"killed while handing over, salted", salted, killDuringHandover},
		{"same host reclaimed and replaced twice", plain, reclaimSameEntryTwice},
		{"link of an entry host goes silent", plain, partitionEntry},
	}
}

// sleepUpTo sleeps for a random time below limit.
func sleepUpTo(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

func reclaimOneEngine(d *deployment, random *rand.Rand) {
	d.reclaimUpstream(engineAddress(random.IntN(3)), 3*time.Second)
}

func reclaimTwoEngines(d *deployment, random *rand.Rand) {
	first := random.IntN(3)
	d.reclaimUpstream(engineAddress(first), 3*time.Second)
	sleepUpTo(random, 2*time.Second)
	d.reclaimUpstream(engineAddress((first+1)%3), 3*time.Second)
}

func reclaimOneEntry(d *deployment, random *rand.Rand) {
	d.reclaimEntry(d.entries[random.IntN(3)], 10*time.Second)
}

// killDuringHandover drains an entry host and kills it at a random time in the first
// second after the handover has begun.
func killDuringHandover(d *deployment, random *rand.Rand) {
	e := d.entries[random.IntN(3)]
	e.host.Drain()
	time.Sleep(2 * time.Second)
	sleepUpTo(random, time.Second)
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
	sleepUpTo(random, 4*time.Second)
	reclaimOneEngine(d, random)
}

func killEntry(d *deployment, random *rand.Rand) {
	d.entries[random.IntN(3)].kill()
}

func reclaimSameEntryTwice(d *deployment, random *rand.Rand) {
	e := d.entries[random.IntN(3)]
	for range 2 {
		e.host.Drain()
		<-e.done
		d.startEntry(e)
		sleepUpTo(random, 3*time.Second)
	}
}

// partitionEntry drops all packets of one entry host permanently.
func partitionEntry(d *deployment, random *rand.Rand) {
	d.net.partition(d.entries[random.IntN(3)].settings.Listen.Peers)
}

// TestAcceptedSurvive checks that no fault loses an accepted stream, gives it the answer
// of another request or interrupts it for longer than maxStall.
func TestAcceptedSurvive(t *testing.T) {
	for _, f := range streamFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			total := &faultStats{}
			for seed := range faultRuns() {
				synctest.Test(t, func(t *testing.T) { runStreamFault(t, f, uint64(seed), total) })
			}
			recordStats(f.name, total)
			require.Positive(t, total.accepted)
			require.Zero(t, total.lost, "accepted requests lost")
			require.Zero(t, total.wrong, "answers of another request")
			require.LessOrEqual(t, total.longestGap, maxStall)
		})
	}
}

// runStreamFault runs some streams during one fault.
func runStreamFault(t *testing.T, f fault, seed uint64, total *faultStats) {
	random := rand.New(rand.NewPCG(seed, 7))
	d := newDeployment(t, f.config)
	defer d.close()
	d.waitReady()
	results := make([]*streamResult, streamsPerRun)
	var running sync.WaitGroup
	for i := range results {
		first := random.IntN(len(d.entries))
		prompt := fmt.Sprintf("match %d of %d len=%d", i, seed, 100+random.IntN(400))
		delay := time.Duration(random.Int64N(int64(2 * time.Second)))
		running.Go(func() {
			time.Sleep(delay)
			results[i] = d.readStream(first, prompt, 90*time.Second)
		})
	}
	sleepUpTo(random, 3*time.Second)
	f.inject(d, random)
	running.Wait()
	for i, r := range results {
		if r.accepted() && !r.complete() {
			t.Logf("seed %d: stream %d of %s (replicated %t) lost: %d tokens, refusal %v, offset error %q", seed, i, r.id, r.replicated, r.tokens, r.refusal, r.offsetError)
		}
	}
	total.add(results, func(r *streamResult) bool { return f.config.salted || answersOwnPrompt(r, seed, results) })
}

// answersOwnPrompt reports whether a stream has the answer to its own prompt.
func answersOwnPrompt(r *streamResult, seed uint64, results []*streamResult) bool {
	for i, other := range results {
		if other == r {
			prompt := fmt.Sprintf("match %d of %d len=%d", i, seed, r.tokens)
			return r.text.String() == persimstand.Answer(prompt, int(r.tokens))
		}
	}
	return false
}

var faultReport struct {
	mu   sync.Mutex
	rows map[string]*faultStats
}

func recordStats(name string, total *faultStats) {
	faultReport.mu.Lock()
	defer faultReport.mu.Unlock()
	if faultReport.rows == nil {
		faultReport.rows = map[string]*faultStats{}
	}
	faultReport.rows[name] = total
}

// TestMain prints the table of all faults after the tests.
func TestMain(m *testing.M) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", os.Getenv("PERSIM_LOG"))
	code := m.Run()
	printFaultReport()
	os.Exit(code)
}

func printFaultReport() {
	faultReport.mu.Lock()
	defer faultReport.mu.Unlock()
	if len(faultReport.rows) == 0 {
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "fault\truns\taccepted\tlost\twrong\tran twice\tfalse refusals\tlongest gap")
	for _, name := range sortedFaultNames() {
		r := faultReport.rows[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
			name, r.runs, r.accepted, r.lost, r.wrong, r.ranTwice, r.falseRefusals, r.longestGap.Round(time.Millisecond))
	}
	_ = w.Flush()
}

func sortedFaultNames() []string {
	var names []string
	for name := range faultReport.rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
