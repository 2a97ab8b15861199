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

// sendUntilMoved sends a request to a host that drains. It returns what the caller received
// and whether the host referred the caller to another one.
type sendUntilMoved func(d *deployment, e *entry, msg *persimwire.GenerateRequest) (r *streamResult, moved bool)

func generateUntilMoved(d *deployment, e *entry, msg *persimwire.GenerateRequest) (*streamResult, bool) {
	r := &streamResult{}
	stream, err := d.callerClient(e).Generate(d.ctx, withToken(testToken, msg))
	require.NoError(d.t, err)
	var moved *persimwire.Moved
	for stream.Receive() {
		r.record(stream.Msg())
		if stream.Msg().GetMoved() != nil {
			moved = stream.Msg().GetMoved()
		}
	}
	require.NoError(d.t, stream.Err())
	return r, moved.GetId() == r.id && moved.GetOffset() == r.tokens
}

func completeUntilMoved(d *deployment, e *entry, msg *persimwire.GenerateRequest) (*streamResult, bool) {
	_, err := d.callerClient(e).Complete(d.ctx, withToken(testToken, msg))
	requireReason(d.t, err, persimwire.Reason_REASON_DRAINING)
	refusal, _ := RefusalOf(err)
	return &streamResult{id: refusal.GetId()}, refusal.GetOutcome() == persimwire.Outcome_OUTCOME_UNKNOWN
}

// TestRelayedCallerIsToldThatTheDrainEnds guards against a host that ends without a word to
// the callers of requests that it has handed over and relays from their next owner.
func TestRelayedCallerIsToldThatTheDrainEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		send sendUntilMoved
	}{
		{"generate", generateUntilMoved},
		{"complete", completeUntilMoved},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, defaultDeploymentConfig())
				defer d.close()
				d.waitReady()
				e := d.entries[0]
				time.AfterFunc(time.Second, e.host.Drain)
				r, moved := c.send(d, e, &persimwire.GenerateRequest{Service: "match", Prompt: "match len=900"})
				require.True(t, moved, "the caller is referred to another host")
				require.NoError(t, d.readFromEntry(d.entries[1], r, ""))
				require.True(t, r.complete())
			})
		})
	}
}

// acceptanceCase is a state of a host that begins to hand over while it accepts a request.
type acceptanceCase struct {
	name string
	// earlier is a request that delays the replication of the next one.
	earlier string
}

// TestRequestIsNotHandedOverWhileItIsAccepted guards against a request that runs at its next
// owner while its caller still waits for the acceptance, and then is refused as not run or
// cut.
func TestRequestIsNotHandedOverWhileItIsAccepted(t *testing.T) {
	for _, c := range []acceptanceCase{
		{"host stays open", "match len=400"},
		{"nothing else is open", "match len=10"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := defaultDeploymentConfig()
				d := newDeployment(t, config)
				defer d.close()
				d.waitReady()
				results := make(chan *streamResult, 2)
				send := func(prompt string) { results <- d.readStream(0, prompt, time.Minute) }
				e := d.entries[0]
				e.host.Drain()
				time.Sleep(config.drainLag - replicateInterval + networkDelay)
				go send(c.earlier)
				time.Sleep(replicateInterval / 2)
				go send("match while the drain begins len=10")
				time.Sleep(replicateInterval/2 - 2*networkDelay)
				require.Len(t, e.host.flights.Owned(), cap(results), "requests before the host hands over")
				for range cap(results) {
					r := <-results
					require.True(t, r.complete())
					require.Zero(t, r.retriedRefusals, "refused: %v", r.lastRetried)
					require.Equal(t, e.name, hostsInID(r.id)[0], "host that accepted the request")
				}
			})
		})
	}
}

// TestCallerIsRefusedBeforeTheDrainEnds guards against a host that ends without a word to a
// caller whose request it could not replicate.
func TestCallerIsRefusedBeforeTheDrainEnds(t *testing.T) {
	msg := &persimwire.GenerateRequest{Service: "match", Prompt: "match len=10"}
	unreplicated := persimwire.Reason_REASON_UNREPLICATED
	for _, c := range []inputCase{
		{"generate", sendGenerate(msg), unreplicated},
		generateCase("complete", testToken, unreplicated, msg),
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := defaultDeploymentConfig()
				config.drainNotice = config.drainLag + replicationTimeout/2
				d := newDeployment(t, config)
				defer d.close()
				d.waitReady()
				e := d.entries[0]
				drainEnd := time.Now().Add(config.drainNotice - drainSafetyMargin)
				e.host.Drain()
				time.Sleep(config.drainLag / 2)
				d.isolate(e)
				requireReason(t, c.send(d.ctx, d.callerClient(e)), c.reason)
				require.Less(t, time.Since(drainEnd), closeGracePeriod)
				<-e.done
				require.Zero(t, d.generatedTokens())
			})
		})
	}
}

// TestDuplicateIsRefusedBeforeTheDrainEnds guards against a host that ends without a word to
// the sender of a duplicate whose first call still runs on another host.
func TestDuplicateIsRefusedBeforeTheDrainEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := defaultDeploymentConfig()
		d := newDeployment(t, config)
		defer d.close()
		d.waitReady()
		for _, service := range d.services {
			service.SetFault(persimstand.Fault{Delay: 2 * config.drainNotice})
		}
		key := newKey(newRandom(8), time.Now())
		first := make(chan orderResult, 1)
		go func() { first <- d.sendOrder(d.entries[1], key, "arm", false) }()
		e := d.entries[0]
		drainEnd := time.Now().Add(config.drainNotice - drainSafetyMargin)
		e.host.Drain()
		time.Sleep(config.drainLag + handoverInterval/2)
		duplicate := d.sendOrder(e, key, "arm", true)
		require.Less(t, time.Since(drainEnd), closeGracePeriod)
		require.Equal(t, persimwire.Outcome_OUTCOME_UNKNOWN, duplicate.refusal.GetOutcome())
		require.True(t, (<-first).answered)
	})
}

// TestDrainEndsInTimeWithoutItsTarget guards against a host that still asks a silent host
// about its requests when its notice has ended.
func TestDrainEndsInTimeWithoutItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := defaultDeploymentConfig()
		d := newDeployment(t, config)
		defer d.close()
		d.waitReady()
		e := d.entries[0]
		for i := range 10 {
			go d.readStream(0, fmt.Sprintf("match %d len=900", i), time.Minute)
		}
		time.Sleep(time.Second)
		start := time.Now()
		e.host.Drain()
		time.Sleep(config.drainLag - networkDelay/2)
		d.isolate(e)
		<-e.done
		require.LessOrEqual(t, time.Since(start), config.drainNotice)
	})
}

// isolate drops the packets between an entry host and the platform and other hosts.
func (d *deployment) isolate(e *entry) {
	address := e.settings.Listen.Peers
	d.net.block(address, platformAddress)
	for _, other := range d.entries {
		d.net.block(address, other.settings.Listen.Peers)
		d.net.block(other.settings.Listen.Peers, address)
	}
}

// sendGenerate returns a function that sends a request and returns the error of its stream.
func sendGenerate(msg *persimwire.GenerateRequest) func(context.Context, persimwire.CallerServiceClient) error {
	return func(ctx context.Context, client persimwire.CallerServiceClient) error {
		stream, err := client.Generate(ctx, withToken(testToken, msg))
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
		}
		return stream.Err()
	}
}
