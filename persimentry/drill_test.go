package persimentry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimstand"
)

// drillTest is a deployment with requests all the while, whose store comes back from older copies
// of itself.
type drillTest struct {
	*testDeployment

	mu   sync.Mutex
	live map[string]*testHost
}

const (
	drillHosts = 3
	// drillAway is how long the store is away in a drill, drillRewrite the time after that in
	// which the operator and upstreams write again.
	drillAway    = 300 * time.Millisecond
	drillRewrite = 200 * time.Millisecond
	// holderTime is the time after a drill within which a holder of the lease acts.
	holderTime = 6 * time.Second
	// requestGap is the time between two requests to the deployment.
	requestGap = 5 * time.Millisecond
)

func newDrillTest(t *testing.T) *drillTest {
	t.Helper()
	d := &drillTest{testDeployment: newTestDeployment(t, drillHosts), live: map[string]*testHost{}}
	for _, h := range d.hosts {
		d.live[h.name] = h
	}
	d.waitConnected()
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { d.sendRequests(stop) })
	t.Cleanup(func() {
		close(stop)
		sending.Wait()
	})
	return d
}

// sendRequests sends requests to the hosts in turn. Those to hosts that are stopped fail.
func (d *drillTest) sendRequests(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(requestGap):
		}
		h, ok := d.liveHost(fmt.Sprint("host-", i%drillHosts))
		if !ok {
			continue
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+h.callers+"/x/", http.NoBody)
		if err != nil {
			continue
		}
		request.Host = "h"
		request.Header.Set("X-Request-Id", fmt.Sprint(i))
		request.Header.Set("X-Api-Key", "key")
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}
}

func (d *drillTest) liveHost(name string) (*testHost, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.live[name]
	return h, ok
}

func (d *drillTest) names() []string {
	names := make([]string, 0, drillHosts)
	for i := range drillHosts {
		names = append(names, fmt.Sprint("host-", i))
	}
	return names
}

// kill ends a host without any notice to others.
func (d *drillTest) kill(name string) {
	d.mu.Lock()
	h, ok := d.live[name]
	delete(d.live, name)
	d.mu.Unlock()
	if ok {
		h.stop()
	}
}

func (d *drillTest) restart(name string) {
	d.t.Helper()
	d.kill(name)
	h := d.start(name, "centre-0")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live[name] = h
}

// lastReport returns the last usage report that the platform accepted.
func (d *drillTest) lastReport() persimstand.StoreReport {
	reports := d.store.Reports()
	if len(reports) == 0 {
		return persimstand.StoreReport{}
	}
	return reports[len(reports)-1]
}

// waitReport waits for a report that a condition holds of, and returns it.
func (d *drillTest) waitReport(within time.Duration, what string, condition func(persimstand.StoreReport) bool) persimstand.StoreReport {
	d.t.Helper()
	d.eventually(within, func() bool { return condition(d.lastReport()) }, what)
	return d.lastReport()
}

func (d *drillTest) windowStart(window int64) time.Time {
	return time.Unix(0, window*int64(testBounds().UsageWindow))
}

func (d *drillTest) drill(copied persimstand.StoreCopy) {
	d.store.RunDrill(persimstand.Drill{Copy: copied, Away: drillAway, RewriteAfter: drillRewrite})
}

// requireDutiesGoOn asserts that a window which ends after now is reported in time, and that no
// call has broken what the platform relies on.
func (d *drillTest) requireDutiesGoOn() {
	d.t.Helper()
	window := time.Now().Add(holderTime).UnixNano() / int64(testBounds().UsageWindow)
	due := time.Until(d.windowStart(window + 1).Add(testBounds().UsageLate))
	reported := func() bool { return d.lastReport().Window >= window }
	require.Eventually(d.t, func() bool { return reported() || len(d.store.Violations()) > 0 }, due, checkInterval, "nobody reports usage")
	require.Empty(d.t, d.store.Violations())
}

// Guards against a fencing token that a second host uses, and against a lease that nobody renews
// or takes, after the store came back from a copy in which another host holds the lease.
func TestFencesAfterADrill(t *testing.T) {
	for name, startsBefore := range map[string]bool{"former holder starts before": true, "former holder starts after": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrillTest(t)
			first := d.waitReport(startTimeout, "the first holder", func(r persimstand.StoreReport) bool { return r.Holder != "" })
			copied := d.store.Copy()
			h, ok := d.liveHost(first.Holder)
			require.True(t, ok)
			h.entry.BeginDrain()
			h.entry.ReleaseLease(t.Context())
			d.kill(first.Holder)
			if startsBefore {
				d.restart(first.Holder)
			}
			second := d.waitReport(startTimeout, "the second holder", func(r persimstand.StoreReport) bool { return r.Holder != first.Holder })
			require.Greater(t, second.Fence, first.Fence)
			d.drill(copied)
			if !startsBefore {
				d.restart(first.Holder)
			}
			d.requireDutiesGoOn()
			require.Greater(t, d.lastReport().Fence, second.Fence)
		})
	}
}

// Guards against a second report of a window with other counts, after the store came back from a
// copy without the first one. All but the holder are killed within the window and lack counts.
func TestReportsAfterADrill(t *testing.T) {
	for name, test := range map[string]struct {
		drills int
		// killed are the hosts that are killed beside the drill.
		killed func(d *drillTest, holder string) []string
	}{
		"the holder lives":      {1, func(*drillTest, string) []string { return nil }},
		"two drills":            {2, func(*drillTest, string) []string { return nil }},
		"the holder is killed":  {1, func(_ *drillTest, holder string) []string { return []string{holder} }},
		"all hosts are killed":  {1, func(d *drillTest, _ string) []string { return d.names() }},
		"killed and two drills": {2, func(d *drillTest, _ string) []string { return d.names() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrillTest(t)
			before := d.waitReport(startTimeout, "the holder", func(r persimstand.StoreReport) bool { return r.Holder != "" })
			window := time.Now().UnixNano()/int64(testBounds().UsageWindow) + 1
			time.Sleep(time.Until(d.windowStart(window).Add(testBounds().UsageWindow / 3)))
			for _, name := range d.names() {
				if name != before.Holder {
					d.restart(name)
				}
			}
			time.Sleep(time.Until(d.windowStart(window + 1)))
			copied := d.store.Copy()
			d.waitReport(testBounds().UsageLate, "the window", func(r persimstand.StoreReport) bool { return r.Window == window })
			require.Equal(t, before.Holder, d.lastReport().Holder)
			killed := test.killed(d, before.Holder)
			for _, name := range killed {
				d.kill(name)
			}
			for range test.drills {
				d.drill(copied)
			}
			for _, name := range killed {
				d.restart(name)
			}
			d.requireDutiesGoOn()
		})
	}
}

// Guards against a change for a store that names no era: its fencing tokens rise by one, and a
// free lease is acquired at once.
func TestStoreWithoutAnEra(t *testing.T) {
	d := newTestDeploymentOn(t, 2, persimstand.NewStore(persimstand.WithEra(0)))
	d.waitServing()
	d.eventually(2*testBounds().UsageLate, func() bool { return len(d.store.Reports()) > 0 }, "usage")
	require.EqualValues(t, 1, d.store.Reports()[0].Fence)
	require.Empty(t, d.store.Violations())
}
