package persimmonport

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"persimmonport.example/persimstand"
	"persimmonport.example/persimwire"
)

const (
	ordersPerRun    = 6
	callersPerOrder = 3
	// settleDelay is the time after the last answer in which late runs are detected.
	settleDelay = 12 * time.Second
)

// orderResult is the answer or refusal that one caller got for one order.
type orderResult struct {
	key       string
	answered  bool
	duplicate bool
	refusal   *persimwire.Refusal
	// runsAtAnswer is the number of runs of the key when the answer arrived.
	runsAtAnswer int
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// newKey returns a UUID of version 7 with the given time.
func newKey(random *rand.Rand, at time.Time) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	for i := 6; i < len(id); i++ {
		id[i] = byte(random.UintN(256))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

func (d *deployment) sendOrder(e *entry, key, body string, repeated bool) orderResult {
	ctx, cancel := context.WithTimeout(d.ctx, 30*time.Second)
	defer cancel()
	resp, err := d.callerClient(e).Call(ctx, withToken(testToken, &persimwire.CallRequest{
		Service: "stock", Method: "reserve", Body: []byte(body), Key: key, Repeated: repeated,
	}))
	a := orderResult{key: key, runsAtAnswer: d.runCount(key)}
	if err == nil {
		a.answered = true
		a.duplicate = resp.Msg.GetDuplicate()
		return a
	}
	a.refusal, _ = RefusalOf(err)
	return a
}

func orderFaults() []fault {
	plain := defaultDeploymentConfig()
	return []fault{
		{"orders, no fault", plain, func(*deployment, *rand.Rand) {}},
		{"orders, lost store answers", plain, loseStoreAnswers},
		{"orders, lost twice and slow store", plain, loseStoreTwice},
		{"orders, platform out for minutes", plain, platformDownForMinutes},
		{"orders, service loses answers", plain, serviceLosesAnswers},
		{"orders, service refuses", plain, serviceRefuses},
		{"orders, entry host killed", plain, killEntry},
		{"orders, entry host reclaimed", plain, reclaimOneEntry},
		{"orders, host killed and store answers lost", plain, killEntryAndLoseStoreAnswers},
		{"orders, link of an entry host goes silent", plain, partitionEntry},
	}
}

func loseStoreAnswers(d *deployment, random *rand.Rand) {
	d.platform.SetFault(persimstand.Fault{LoseResponses: 1 + random.IntN(4)})
}

func loseStoreTwice(d *deployment, random *rand.Rand) {
	d.platform.SetFault(persimstand.Fault{LoseResponses: 2, Delay: time.Duration(random.IntN(300)) * time.Millisecond})
}

func platformDownForMinutes(d *deployment, random *rand.Rand) {
	sleepUpTo(random, 2*time.Second)
	d.platform.SetFault(persimstand.Fault{Down: true})
	time.Sleep(3 * time.Minute)
	d.platform.SetFault(persimstand.Fault{})
}

func serviceLosesAnswers(d *deployment, random *rand.Rand) {
	for _, service := range d.services {
		service.SetFault(persimstand.Fault{LoseResponses: 1 + random.IntN(2)})
	}
}

func serviceRefuses(d *deployment, random *rand.Rand) {
	for _, service := range d.services {
		service.SetFault(persimstand.Fault{RefuseCalls: random.IntN(4)})
	}
}

func killEntryAndLoseStoreAnswers(d *deployment, random *rand.Rand) {
	loseStoreAnswers(d, random)
	sleepUpTo(random, 2*time.Second)
	killEntry(d, random)
}

// TestOrdersRunAtMostOnce checks that under no fault an order runs twice, an answered
// order has not run, or a refusal states a false outcome.
func TestOrdersRunAtMostOnce(t *testing.T) {
	for _, f := range orderFaults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			total := &faultStats{}
			for seed := range faultRuns() {
				synctest.Test(t, func(t *testing.T) { runOrderFault(t, f, uint64(seed), total) })
			}
			recordStats(f.name, total)
			require.Positive(t, total.accepted)
			require.Zero(t, total.ranTwice, "orders run twice")
			require.Zero(t, total.falseRefusals, "false refusals")
			require.Zero(t, total.lost, "answered orders that did not run")
		})
	}
}

// runOrderFault sends each order from several callers to random hosts during one
// fault, and compares every answer with what the services have run.
func runOrderFault(t *testing.T, f fault, seed uint64, total *faultStats) {
	random := rand.New(rand.NewPCG(seed, 11))
	d := newDeployment(t, f.config)
	defer d.close()
	d.waitReady()
	var mu sync.Mutex
	results := map[string][]orderResult{}
	var running sync.WaitGroup
	for i := range ordersPerRun {
		key := newKey(random, time.Now())
		var delay time.Duration
		for caller := range callersPerOrder {
			e := d.entries[random.IntN(len(d.entries))]
			delay += time.Duration(random.Int64N(int64(time.Second)))
			after := delay
			running.Go(func() {
				time.Sleep(after)
				a := d.sendOrder(e, key, fmt.Sprint("arm ", i), caller > 0)
				mu.Lock()
				defer mu.Unlock()
				results[key] = append(results[key], a)
			})
		}
	}
	running.Go(func() { f.inject(d, random) })
	running.Wait()
	time.Sleep(settleDelay)
	for key, list := range results {
		total.addOrder(t, seed, list, d.runCount(key))
	}
	total.mu.Lock()
	defer total.mu.Unlock()
	total.runs++
}

// addOrder compares the results for one key with the number of its runs.
func (a *faultStats) addOrder(t *testing.T, seed uint64, results []orderResult, runs int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if runs > 1 {
		a.ranTwice++
	}
	for _, result := range results {
		switch {
		case result.answered:
			a.accepted++
			if runs == 0 {
				a.lost++
			}
		case result.refusal == nil:
		case !isConsistent(result, runs):
			a.falseRefusals++
			t.Logf("seed %d: %d runs of %s, refusal %v", seed, runs, result.key, result.refusal)
		}
	}
}

// isConsistent reports whether the outcome of a refusal matches the runs of its key.
// The outcome "not run" requires that there was no run before the refusal.
func isConsistent(result orderResult, runs int) bool {
	switch result.refusal.GetOutcome() {
	case persimwire.Outcome_OUTCOME_NOT_RUN:
		return result.runsAtAnswer == 0
	case persimwire.Outcome_OUTCOME_ALREADY_RUN:
		return runs == 1
	case persimwire.Outcome_OUTCOME_UNKNOWN:
		return true
	default:
		return false
	}
}
