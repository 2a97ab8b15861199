package persimfront

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimcatalog"
)

// TestDemandRateFromTheStart checks that the rate of a load that starts abruptly is
// right from minDemandWindow on, not only after the averaging window. The fleet is
// sized by it, and upstreams take seconds to start.
func TestDemandRateFromTheStart(t *testing.T) {
	const (
		tokensPerRequest = 1000.0
		interval         = 10 * time.Millisecond
		rate             = tokensPerRequest * float64(time.Second) / float64(interval)
	)
	d := newDispatcher(testBounds)
	for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += interval {
		now := time.Unix(1000, 0).Add(elapsed)
		d.addDemand(now, "s", Demand{PrefillTokens: tokensPerRequest})
		if elapsed >= minDemandWindow {
			require.InEpsilon(t, rate, d.demandRates(now)["s"].PrefillTokens, 0.1, "after %v", elapsed)
		}
	}
}

// TestRetryBudgetAtAnySize checks that a host may retry some of its requests however
// many hosts divide the slack, and that a list of hosts that comes late counts.
func TestRetryBudgetAtAnySize(t *testing.T) {
	const requestsPerSecond = 5
	for _, hosts := range []int{1, 7, 62, 295, 1000} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			start := time.Unix(1000, 0)
			d := newDispatcher(testBounds)
			d.budget(start, "s")
			d.setHosts(start, make([]string, hosts-1))
			retries, requests := 0, 0
			for elapsed := time.Duration(0); elapsed < testBounds.RetryWindow; elapsed += time.Second / requestsPerSecond {
				now := start.Add(elapsed)
				d.recordArrival(now, "s", "", 0, Demand{})
				requests++
				if d.budget(now, "s").Withdraw(now) {
					retries++
				}
			}
			allowed := testBounds.RetryRatio*float64(requests) + testBounds.RetrySlack/float64(hosts)
			require.LessOrEqual(t, float64(retries), allowed)
			require.GreaterOrEqual(t, float64(retries), 0.5*testBounds.RetryRatio*float64(requests))
		})
	}
}

// TestDemandLeavesOutWhatTheQuotaRefuses guards against upstreams that are ordered for the
// requests of an organisation that repeats what its quota refuses.
func TestDemandLeavesOutWhatTheQuotaRefuses(t *testing.T) {
	const quota, offered = 10.0, 200
	d := newDispatcher(testBounds)
	start := time.Unix(1000, 0)
	d.quotaLimiter.SetQuotas(start, map[string]persimcatalog.Quota{"o": {PerSecond: quota, Burst: quota}})
	now := start
	for range 20 * offered {
		now = now.Add(time.Second / offered)
		d.recordArrival(now, "s", "o", 1, Demand{Requests: 1, OutputTokens: 100})
	}
	rate := d.demandRates(now)["s"]
	require.InEpsilon(t, quota, rate.Requests, 0.2)
	require.InEpsilon(t, 100*quota, rate.OutputTokens, 0.2)
}
