package persimmonport

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimstand"
	"persimmonport.example/persimwire"
)

func TestPlatformOutageLeavesOtherTrafficServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		d.platform.SetFault(persimstand.Fault{Down: true})
		for i := range 60 {
			r := d.readStream(i, fmt.Sprintf("match %d len=10", i), time.Minute)
			require.True(t, r.complete())
			require.Zero(t, r.resumes)
			_, err := d.callerClient(d.entries[i%3]).Call(d.ctx, withToken(testToken, &persimwire.CallRequest{Service: "stock", Method: "stock"}))
			require.NoError(t, err)
			time.Sleep(10 * time.Second)
		}
		a := d.sendOrder(d.entries[0], newKey(newRandom(1), time.Now()), "arm", false)
		require.False(t, a.answered)
		require.Equal(t, persimwire.Outcome_OUTCOME_NOT_RUN, a.refusal.GetOutcome())
		d.platform.SetFault(persimstand.Fault{})
		time.Sleep(5 * time.Second)
		a = d.sendOrder(d.entries[0], newKey(newRandom(2), time.Now()), "arm", false)
		require.True(t, a.answered)
	})
}

// upstreamFault is a fault of open connections to upstreams, while new connections work.
type upstreamFault struct {
	name   string
	inject func(d *deployment)
}

func TestSilentUpstreamIsReplaced(t *testing.T) {
	for _, c := range []upstreamFault{
		{"one engine", func(d *deployment) { d.engines[engineAddress(0)].SetFault(persimstand.Fault{Silent: true}) }},
		{"two engines", func(d *deployment) {
			d.engines[engineAddress(0)].SetFault(persimstand.Fault{Silent: true})
			d.engines[engineAddress(1)].SetFault(persimstand.Fault{Silent: true})
		}},
		{"cut before the end marker", func(d *deployment) {
			d.engines[engineAddress(0)].SetFault(persimstand.Fault{CutAfterTokens: 20})
			d.engines[engineAddress(1)].SetFault(persimstand.Fault{CutAfterTokens: 30})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, defaultDeploymentConfig())
				defer d.close()
				d.waitReady()
				results := make(chan *streamResult, 12)
				for i := range cap(results) {
					go func() { results <- d.readStream(i, fmt.Sprintf("match %d len=150", i), time.Minute) }()
				}
				time.Sleep(time.Second)
				c.inject(d)
				for range cap(results) {
					r := <-results
					require.True(t, r.complete())
					require.EqualValues(t, 150, r.tokens)
					require.LessOrEqual(t, r.longestGap, 15*time.Second)
				}
			})
		})
	}
}

func TestSilentReplicaHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		results := make(chan *streamResult, 3)
		for i := range cap(results) {
			go func() { results <- d.readStream(i, fmt.Sprintf("match %d len=200", i), time.Minute) }()
		}
		time.Sleep(time.Second)
		for _, other := range d.entries[1:] {
			d.net.block(d.entries[0].settings.Listen.Peers, other.settings.Listen.Peers)
			d.net.block(other.settings.Listen.Peers, d.entries[0].settings.Listen.Peers)
		}
		for range cap(results) {
			r := <-results
			require.True(t, r.complete())
			require.LessOrEqual(t, r.longestGap, 4*replicateTimeout)
		}
	})
}

func TestCancelStopsTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		done := make(chan *streamResult, 1)
		go func() { done <- d.readStream(0, "match len=2000", time.Minute) }()
		time.Sleep(2 * time.Second)
		owned := d.entries[0].host.flights.Owned()
		require.Len(t, owned, 1)
		resp, err := d.callerClient(d.entries[1]).Cancel(d.ctx, withToken(testToken, &persimwire.CancelRequest{Id: owned[0].ID()}))
		require.NoError(t, err)
		require.True(t, resp.Msg.GetCancelled())
		time.Sleep(2 * time.Second)
		generated := d.generatedTokens()
		time.Sleep(5 * time.Second)
		require.Equal(t, generated, d.generatedTokens(), "the engine has stopped")
		<-done
	})
}

func (d *deployment) generatedTokens() int {
	total := 0
	for _, engine := range d.engines {
		total += engine.Stats().Generated
	}
	return total
}

func TestForeignOrganisationGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		r := d.readStream(0, "match len=20", time.Minute)
		require.True(t, r.complete())
		for _, e := range d.entries {
			ctx, cancel := context.WithTimeout(d.ctx, 40*time.Second)
			stream, err := d.callerClient(e).Resume(ctx, withToken(otherToken, &persimwire.ResumeRequest{Id: r.id}))
			require.NoError(t, err)
			require.False(t, stream.Receive())
			requireReason(t, stream.Err(), persimwire.Reason_REASON_NOT_FOUND)
			_, err = d.callerClient(e).Status(ctx, withToken(otherToken, &persimwire.StatusRequest{Id: r.id}))
			requireReason(t, err, persimwire.Reason_REASON_NOT_FOUND)
			_, err = d.callerClient(e).Cancel(ctx, withToken(otherToken, &persimwire.CancelRequest{Id: r.id}))
			requireReason(t, err, persimwire.Reason_REASON_NOT_FOUND)
			cancel()
		}
	})
}

func requireReason(t *testing.T, err error, reason persimwire.Reason) {
	t.Helper()
	refusal, ok := RefusalOf(err)
	require.True(t, ok, "%v", err)
	require.Equal(t, reason, refusal.GetReason())
}

// TestResumeElsewhereDoesNotMoveTheRequest resumes a stalled stream repeatedly at hosts
// that do not own it and disconnects before any token arrives. The request must stay
// with its owner.
func TestResumeElsewhereDoesNotMoveTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		done := make(chan *streamResult, 1)
		go func() { done <- d.readStream(0, "match len=100", time.Minute) }()
		time.Sleep(time.Second)
		owned := d.entries[0].host.flights.Owned()
		require.Len(t, owned, 1)
		for _, engine := range d.engines {
			engine.SetFault(persimstand.Fault{Silent: true})
		}
		for i := range 6 {
			ctx, cancel := context.WithTimeout(d.ctx, time.Duration(100+150*i)*time.Millisecond)
			again := &streamResult{id: owned[0].ID(), tokens: 10}
			stream, err := d.callerClient(d.entries[1+i%2]).Resume(ctx, withToken(testToken, &persimwire.ResumeRequest{Id: again.id, Offset: 10}))
			require.NoError(t, err)
			for stream.Receive() {
				again.record(stream.Msg())
			}
			cancel()
			time.Sleep(200 * time.Millisecond)
		}
		status, err := d.callerClient(d.entries[2]).Status(d.ctx, withToken(testToken, &persimwire.StatusRequest{Id: owned[0].ID()}))
		require.NoError(t, err)
		require.Equal(t, []string{"entry-0"}, status.Msg.GetPath())
		for _, engine := range d.engines {
			engine.SetFault(persimstand.Fault{})
		}
		require.True(t, (<-done).complete())
	})
}
