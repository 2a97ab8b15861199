package persimmonport

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimplatform"
	"persimmonport.example/persimstand"
	"persimmonport.example/persimwire"
)

// maxLeavingDelay is the guaranteed time after which a leaving upstream gets no new work.
const maxLeavingDelay = 3 * time.Second

// sendLoad sends short requests to every host until the context ends.
func (d *deployment) sendLoad(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		go d.readStream(i, fmt.Sprintf("quick %d len=3", i), 20*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
}

// leavingCase is a way in which an upstream leaves.
type leavingCase struct {
	name   string
	inject func(d *deployment, address string)
}

func leavingCases() []leavingCase {
	return []leavingCase{
		{"host list keeps it live", func(d *deployment, address string) { d.platform.Reclaim(address, time.Hour) }},
		{"one host cannot read notices", func(d *deployment, address string) {
			d.net.block(d.entries[1].settings.Listen.Peers, platformAddress)
			d.platform.Reclaim(address, time.Hour)
		}},
		{"platform goes down after the notice", func(d *deployment, address string) {
			d.platform.Reclaim(address, time.Hour)
			time.Sleep(noticeInterval)
			d.platform.SetFault(persimstand.Fault{Down: true})
		}},
		{"notice ends while the host list still names it", func(d *deployment, address string) {
			d.platform.Reclaim(address, time.Hour)
			time.Sleep(noticeInterval)
			d.platform.RemoveHost(address)
			d.platform.AddHost(upstreamHost(address, "1"))
		}},
	}
}

func upstreamHost(address, incarnation string) persimplatform.Host {
	return persimplatform.Host{
		Name: address, Address: address, Incarnation: incarnation, Group: "oracolo", Centre: "catania",
		State: persimplatform.HostLive,
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, c := range leavingCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, defaultDeploymentConfig())
				defer d.close()
				d.waitReady()
				ctx, stop := context.WithCancel(d.ctx)
				defer stop()
				go d.sendLoad(ctx)
				time.Sleep(2 * time.Second)
				address := engineAddress(0)
				require.Positive(t, d.engines[address].Stats().Streams)
				leftAt := time.Now()
				c.inject(d, address)
				time.Sleep(maxLeavingDelay - time.Since(leftAt))
				before := d.engines[address].Stats().Streams
				time.Sleep(15 * time.Second)
				require.Equal(t, before, d.engines[address].Stats().Streams, "streams after the bound")
				require.Greater(t, d.engines[engineAddress(1)].Stats().Streams, 100)
			})
		})
	}
}

func TestReusedAddressIsANewUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		address := engineAddress(0)
		d.reclaimUpstream(address, 3*time.Second)
		time.Sleep(5 * time.Second)
		config := persimstand.DefaultEngineConfig()
		config.Incarnation = "2"
		replacement := persimstand.NewEngine(config)
		d.net.listen(d.ctx, address, replacement.Handler())
		d.platform.AddHost(upstreamHost(address, "2"))
		ctx, stop := context.WithCancel(d.ctx)
		defer stop()
		go d.sendLoad(ctx)
		time.Sleep(10 * time.Second)
		require.Positive(t, replacement.Stats().Streams)
	})
}

func TestListStillNamesTheFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		address := engineAddress(0)
		config := persimstand.DefaultEngineConfig()
		config.Incarnation = "2"
		d.net.listen(d.ctx, address, persimstand.NewEngine(config).Handler())
		require.True(t, d.waitUntil(2*loadPollInterval+maxLeavingDelay, func() bool {
			for _, e := range d.entries {
				for _, row := range e.host.members.Upstreams() {
					if row.GetAddress() == address {
						return false
					}
				}
			}
			return true
		}), "the former incarnation is no longer used")
	})
}

func TestDrainCutsNothing(t *testing.T) {
	for _, start := range []struct {
		name  string
		drain func(d *deployment, e *entry)
	}{
		{"SIGTERM", func(_ *deployment, e *entry) { e.host.Drain() }},
		{"reclaim notice", func(d *deployment, e *entry) { d.reclaimEntry(e, 12*time.Second) }},
		{"operator", func(d *deployment, e *entry) {
			_, err := d.operatorClient(e).Drain(d.ctx, withToken(operatorToken, &persimwire.DrainRequest{}))
			require.NoError(d.t, err)
		}},
	} {
		t.Run(start.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testDrain(t, start.drain) })
		})
	}
}

// testDrain drains a host while a load balancer keeps sending to it for 5 s after
// readiness has failed. Some streams last longer than the notice.
func testDrain(t *testing.T, drain func(d *deployment, e *entry)) {
	config := defaultDeploymentConfig()
	config.drainLag = 6 * time.Second
	config.drainNotice = 10 * time.Second
	d := newDeployment(t, config)
	defer d.close()
	d.waitReady()
	e := d.entries[1]
	var results []*streamResult
	resultCh := make(chan *streamResult, 1000)
	sent := 0
	sendStream := func(length int) {
		sent++
		go func(i int) { resultCh <- d.readStream(1, fmt.Sprintf("long %d len=%d", i, length), 2*time.Minute) }(sent)
	}
	for range 5 {
		sendStream(1500)
	}
	time.Sleep(time.Second)
	drain(d, e)
	require.True(t, d.waitUntil(2*time.Second, func() bool { return !e.host.ready() }))
	end := time.Now().Add(5 * time.Second)
	for time.Now().Before(end) {
		sendStream(50)
		time.Sleep(100 * time.Millisecond)
	}
	for range sent {
		results = append(results, <-resultCh)
	}
	<-e.done
	for _, r := range results {
		require.True(t, r.accepted())
		require.Nil(t, r.refusal)
		require.True(t, r.complete())
		require.Zero(t, r.retriedRefusals, "refused while the balancer still sent: %v", r.lastRetried)
	}
	streams := 0
	for _, engine := range d.engines {
		streams += engine.Stats().Streams
	}
	require.Equal(t, sent, streams, "streams that the engines have run")
}

// TestExportedCacheIsNotComputedAgain reclaims an engine that can export its caches.
// Its streams must continue on other engines without computing a prompt twice.
func TestExportedCacheIsNotComputedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		results := make(chan *streamResult, 9)
		for i := range cap(results) {
			go func() { results <- d.readStream(i, fmt.Sprintf("match %d len=300", i), time.Minute) }()
		}
		time.Sleep(time.Second)
		d.reclaimUpstream(engineAddress(0), 4*time.Second)
		for range cap(results) {
			require.True(t, (<-results).complete())
		}
		prefilled := 0
		for _, engine := range d.engines {
			prefilled += engine.Stats().Prefilled
		}
		promptWords := 3
		require.Equal(t, cap(results)*promptWords, prefilled)
		require.Equal(t, cap(results)*300, d.generatedTokens())
	})
}
