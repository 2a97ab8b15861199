package persimmonport

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"persimmonport.example/persimstand"
	"persimmonport.example/persimwire"
)

const (
	// callPatience is how long the callers of these tests wait.
	callPatience = 5 * time.Second
	// engineSlowdown lets an engine generate its first token after some 40 s.
	engineSlowdown = 2e5
)

// sendCall sends a call and returns its refusal, or nil if it was answered.
func (d *deployment) sendCall(e *entry, method, key string) *persimwire.Refusal {
	_, err := d.callerClient(e).Call(d.ctx, withToken(testToken, &persimwire.CallRequest{
		Service: "stock", Method: method, Body: []byte("body"), Key: key, Patience: durationpb.New(callPatience),
	}))
	refusal, _ := RefusalOf(err)
	return refusal
}

// executedCalls returns the number of calls that services have run.
func (d *deployment) executedCalls() int {
	calls := 0
	for _, service := range d.services {
		calls += len(service.ExecutedCalls())
	}
	return calls
}

// TestRefusedCallThatRanIsNotDenied guards against a call that a service has run and whose caller
// gets the outcome "not run", since there was no further attempt before its time ended.
func TestRefusedCallThatRanIsNotDenied(t *testing.T) {
	const work = time.Second
	for _, c := range []struct {
		name, method string
		fault        persimstand.Fault
		// leave lets the services leave while the call runs.
		leave bool
		want  persimwire.Outcome
	}{
		{"response lost", "stock", persimstand.Fault{Delay: work, LoseResponses: 1}, true, persimwire.Outcome_OUTCOME_UNKNOWN},
		{"response lost, at most once", "reserve", persimstand.Fault{Delay: work, LoseResponses: 1}, true, persimwire.Outcome_OUTCOME_UNKNOWN},
		{"no response in time", "stock", persimstand.Fault{Silent: true}, false, persimwire.Outcome_OUTCOME_UNKNOWN},
		{"no response in time, at most once", "reserve", persimstand.Fault{Silent: true}, false, persimwire.Outcome_OUTCOME_UNKNOWN},
		{"rejected by all", "stock", persimstand.Fault{Down: true}, false, persimwire.Outcome_OUTCOME_NOT_RUN},
		{"rejected by all, at most once", "reserve", persimstand.Fault{Down: true}, false, persimwire.Outcome_OUTCOME_NOT_RUN},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, defaultDeploymentConfig())
				defer d.close()
				d.waitReady()
				for address, service := range d.services {
					service.SetFault(c.fault)
					if c.leave {
						time.AfterFunc(work/2, func() { d.platform.RemoveHost(address) })
						time.AfterFunc(work/2, func() { d.platform.Reclaim(address, time.Hour) })
					}
				}
				refusal := d.sendCall(d.entries[0], c.method, newKey(newRandom(1), time.Now()))
				require.NotNil(t, refusal)
				if c.fault.Down {
					require.Zero(t, d.executedCalls())
				} else {
					require.Positive(t, d.executedCalls())
				}
				require.Equal(t, c.want, refusal.GetOutcome(), refusal.GetMessage())
			})
		})
	}
}

// TestModelRequestThatMovedIsNotDenied guards against a request that an engine has begun without a
// token, that moves to another host, and whose caller then gets the outcome "not run".
func TestModelRequestThatMovedIsNotDenied(t *testing.T) {
	for _, c := range []struct {
		name string
		move func(e *entry)
	}{
		{"handover", func(e *entry) { e.host.Drain() }},
		{"takeover", func(e *entry) { e.kill() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, defaultDeploymentConfig())
				defer d.close()
				d.waitReady()
				for _, engine := range d.engines {
					engine.SetFault(persimstand.Fault{SlowFactor: engineSlowdown})
				}
				first := d.entries[0]
				time.AfterFunc(time.Second, func() {
					c.move(first)
					for _, engine := range d.engines {
						require.Zero(t, engine.Stats().Generated)
						engine.SetFault(persimstand.Fault{Down: true})
					}
				})
				r := d.readStream(0, "match len=10", 3*time.Minute)
				streams := 0
				for _, engine := range d.engines {
					streams += engine.Stats().Streams
				}
				require.Positive(t, streams)
				require.NotNil(t, r.refusal)
				require.Equal(t, persimwire.Outcome_OUTCOME_UNKNOWN, r.refusal.GetOutcome(), r.refusal.GetMessage())
			})
		})
	}
}
