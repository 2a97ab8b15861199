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
		d := newDeployment(t, defaultShape())
		defer d.close()
		d.awaitReady()
		d.platform.SetFault(persimstand.Fault{Down: true})
		for i := range 60 {
			r := d.read(i, fmt.Sprintf("match %d len=10", i), time.Minute)
			require.True(t, r.whole())
			require.Zero(t, r.resumes)
			_, err := d.client(d.entries[i%3]).Call(d.root, withToken(testToken, &persimwire.CallRequest{Service: "stock", Method: "stock"}))
			require.NoError(t, err)
			time.Sleep(10 * time.Second)
		}
		a := d.order(d.entries[0], newKey(randomOf(1), time.Now()), "arm", false)
		require.False(t, a.answered)
		require.Equal(t, persimwire.Outcome_OUTCOME_NOT_RUN, a.refusal.GetOutcome())
		d.platform.SetFault(persimstand.Fault{})
		time.Sleep(5 * time.Second)
		a = d.order(d.entries[0], newKey(randomOf(2), time.Now()), "arm", false)
		require.True(t, a.answered)
	})
}

// silentCase is a connection that goes silent while new ones work.
type silentCase struct {
	name  string
	cause func(d *deployment)
}

func TestSilentUpstreamIsReplaced(t *testing.T) {
	for _, c := range []silentCase{
		{"one engine", func(d *deployment) { d.engines[engineAddress(0)].SetFault(persimstand.Fault{Silent: true}) }},
		{"two engines", func(d *deployment) {
			d.engines[engineAddress(0)].SetFault(persimstand.Fault{Silent: true})
			d.engines[engineAddress(1)].SetFault(persimstand.Fault{Silent: true})
		}},
		{"cut before the end marker", func(d *deployment) {
			d.engines[engineAddress(0)].SetFault(persimstand.Fault{Cut: 20})
			d.engines[engineAddress(1)].SetFault(persimstand.Fault{Cut: 30})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, defaultShape())
				defer d.close()
				d.awaitReady()
				results := make(chan *reading, 12)
				for i := range cap(results) {
					go func() { results <- d.read(i, fmt.Sprintf("match %d len=150", i), time.Minute) }()
				}
				time.Sleep(time.Second)
				c.cause(d)
				for range cap(results) {
					r := <-results
					require.True(t, r.whole())
					require.EqualValues(t, 150, r.tokens)
					require.LessOrEqual(t, r.longest, 15*time.Second)
				}
			})
		})
	}
}

func TestSilentReplicaHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultShape())
		defer d.close()
		d.awaitReady()
		results := make(chan *reading, 3)
		for i := range cap(results) {
			go func() { results <- d.read(i, fmt.Sprintf("match %d len=200", i), time.Minute) }()
		}
		time.Sleep(time.Second)
		for _, other := range d.entries[1:] {
			d.net.cutPair(d.entries[0].settings.Listen.Peers, other.settings.Listen.Peers)
			d.net.cutPair(other.settings.Listen.Peers, d.entries[0].settings.Listen.Peers)
		}
		for range cap(results) {
			r := <-results
			require.True(t, r.whole())
			require.LessOrEqual(t, r.longest, 4*replicateTimeout)
		}
	})
}

func TestCancelEndsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultShape())
		defer d.close()
		d.awaitReady()
		done := make(chan *reading, 1)
		go func() { done <- d.read(0, "match len=2000", time.Minute) }()
		time.Sleep(2 * time.Second)
		owned := d.entries[0].host.flights.Owned()
		require.Len(t, owned, 1)
		resp, err := d.client(d.entries[1]).Cancel(d.root, withToken(testToken, &persimwire.CancelRequest{Id: owned[0].ID()}))
		require.NoError(t, err)
		require.True(t, resp.Msg.GetCancelled())
		time.Sleep(2 * time.Second)
		generated := d.generated()
		time.Sleep(5 * time.Second)
		require.Equal(t, generated, d.generated(), "the engine has stopped")
		<-done
	})
}

func (d *deployment) generated() int {
	total := 0
	for _, engine := range d.engines {
		total += engine.Stats().Generated
	}
	return total
}

func TestForeignOrganisationGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultShape())
		defer d.close()
		d.awaitReady()
		r := d.read(0, "match len=20", time.Minute)
		require.True(t, r.whole())
		for _, e := range d.entries {
			ctx, cancel := context.WithTimeout(d.root, 40*time.Second)
			stream, err := d.client(e).Resume(ctx, withToken(otherToken, &persimwire.ResumeRequest{Id: r.id}))
			require.NoError(t, err)
			require.False(t, stream.Receive())
			requireReason(t, stream.Err(), persimwire.Reason_REASON_NOT_FOUND)
			_, err = d.client(e).Status(ctx, withToken(otherToken, &persimwire.StatusRequest{Id: r.id}))
			requireReason(t, err, persimwire.Reason_REASON_NOT_FOUND)
			_, err = d.client(e).Cancel(ctx, withToken(otherToken, &persimwire.CancelRequest{Id: r.id}))
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

// TestResumeElsewhereDoesNotMoveTheRequest reads a stalled stream through all hosts
// in turn, each time leaving before anything comes.
func TestResumeElsewhereDoesNotMoveTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultShape())
		defer d.close()
		d.awaitReady()
		done := make(chan *reading, 1)
		go func() { done <- d.read(0, "match len=100", time.Minute) }()
		time.Sleep(time.Second)
		owned := d.entries[0].host.flights.Owned()
		require.Len(t, owned, 1)
		for _, engine := range d.engines {
			engine.SetFault(persimstand.Fault{Silent: true})
		}
		for i := range 6 {
			ctx, cancel := context.WithTimeout(d.root, time.Duration(100+150*i)*time.Millisecond)
			again := &reading{id: owned[0].ID(), tokens: 10}
			stream, err := d.client(d.entries[1+i%2]).Resume(ctx, withToken(testToken, &persimwire.ResumeRequest{Id: again.id, Offset: 10}))
			require.NoError(t, err)
			for stream.Receive() {
				again.take(stream.Msg())
			}
			cancel()
			time.Sleep(200 * time.Millisecond)
		}
		status, err := d.client(d.entries[2]).Status(d.root, withToken(testToken, &persimwire.StatusRequest{Id: owned[0].ID()}))
		require.NoError(t, err)
		require.Equal(t, []string{"entry-0"}, status.Msg.GetPath())
		for _, engine := range d.engines {
			engine.SetFault(persimstand.Fault{})
		}
		require.True(t, (<-done).whole())
	})
}
