package persimmonport

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"persimmonport.example/persimprofile"
	"persimmonport.example/persimstand"
	"persimmonport.example/persimwire"
)

// maxPropagationDelay is the guaranteed time until an accepted change is in force on
// every host.
const maxPropagationDelay = 4 * time.Second

func (d *deployment) applyChange(e *entry, base uint64, id string, patience time.Duration) (*persimwire.ApplyChangeResponse, error) {
	profile := persimprofile.DefaultProfile().WithName("short").WithPatience(patience)
	ctx, cancel := context.WithTimeout(d.ctx, 20*time.Second)
	defer cancel()
	resp, err := d.operatorClient(e).ApplyChange(ctx, withToken(operatorToken, &persimwire.ApplyChangeRequest{
		Base: base, Id: id,
		Change: &persimwire.ApplyChangeRequest_Profile{Profile: persimprofile.ProfileToWire(profile)},
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// watchForDecreases watches the generation of every host. The returned function lists
// the hosts on which it has ever decreased.
func (d *deployment) watchForDecreases() (decreases func() []string) {
	var mu sync.Mutex
	var found []string
	highest := map[*host]uint64{}
	go func() {
		for d.ctx.Err() == nil {
			mu.Lock()
			for _, e := range d.entries {
				running := e.current.Load()
				generation := running.catalogue.Current().Generation()
				if generation < highest[running] {
					found = append(found, e.name)
				}
				highest[running] = generation
			}
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return found
	}
}

// profileFault is a fault before or after a change is stored.
type profileFault struct {
	name   string
	before func(d *deployment)
	after  func(d *deployment)
}

func profileFaults() []profileFault {
	none := func(*deployment) {}
	return []profileFault{
		{"no fault", none, none},
		{"silent watches", func(d *deployment) { d.platform.SetFault(persimstand.Fault{Silent: true}) }, none},
		{"host cut off from the platform", func(d *deployment) {
			d.net.block(d.entries[2].settings.Listen.Peers, platformAddress)
		}, none},
		{"lost answer to the change", func(d *deployment) { d.platform.SetFault(persimstand.Fault{LoseResponses: 1}) }, none},
		{"lost answer twice", func(d *deployment) { d.platform.SetFault(persimstand.Fault{LoseResponses: 2}) }, none},
		{"lagging reads", func(d *deployment) { d.platform.SetFault(persimstand.Fault{ReadLag: time.Second}) }, none},
		{"platform down after the change", none, func(d *deployment) { d.platform.SetFault(persimstand.Fault{Down: true}) }},
		{"host replaced while the platform is down", none, func(d *deployment) {
			d.platform.SetFault(persimstand.Fault{Down: true})
			d.entries[2].kill()
			<-d.entries[2].done
			d.startEntry(d.entries[2])
		}},
		{"silent watches and lost answer", func(d *deployment) {
			d.platform.SetFault(persimstand.Fault{Silent: true, LoseResponses: 1})
		}, none},
	}
}

func TestProfileChangeIsInForce(t *testing.T) {
	for _, f := range profileFaults() {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, defaultDeploymentConfig())
				defer d.close()
				d.waitReady()
				decreases := d.watchForDecreases()
				base := d.entries[0].host.catalogue.Current().Generation()
				f.before(d)
				resp, err := d.applyChange(d.entries[0], base, "change-1", 33*time.Second)
				require.NoError(t, err)
				require.False(t, resp.GetConflict())
				require.Equal(t, base+1, resp.GetGeneration())
				accepted := time.Now()
				f.after(d)
				require.True(t, d.waitUntil(maxPropagationDelay, func() bool { return d.allHaveGeneration(resp.GetGeneration()) }), "in force everywhere")
				require.LessOrEqual(t, time.Since(accepted), maxPropagationDelay)
				time.Sleep(30 * time.Second)
				require.True(t, d.allHaveGeneration(resp.GetGeneration()))
				require.Empty(t, decreases())
			})
		})
	}
}

func (d *deployment) allHaveGeneration(generation uint64) bool {
	for _, e := range d.entries {
		if e.host.catalogue.Current().Generation() < generation {
			return false
		}
	}
	return true
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		base := d.entries[0].host.catalogue.Current().Generation()
		responses := make([]*persimwire.ApplyChangeResponse, 3)
		var running sync.WaitGroup
		for i := range responses {
			running.Go(func() {
				resp, err := d.applyChange(d.entries[i], base, fmt.Sprint("change-", i), time.Duration(30+i)*time.Second)
				require.NoError(t, err)
				responses[i] = resp
			})
		}
		running.Wait()
		won := 0
		for _, resp := range responses {
			if !resp.GetConflict() {
				won++
				continue
			}
			require.NotEmpty(t, resp.GetMissed())
			require.NotEmpty(t, resp.GetMissed()[0].GetDifferences())
		}
		require.Equal(t, 1, won)
		require.True(t, d.waitUntil(maxPropagationDelay, func() bool { return d.allHaveGeneration(base + 1) }))
	})
}

func TestChangeDuringOutageIsRefusedOrKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		base := d.entries[0].host.catalogue.Current().Generation()
		d.platform.SetFault(persimstand.Fault{Down: true})
		_, err := d.applyChange(d.entries[0], base, "change-1", 33*time.Second)
		require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
		time.Sleep(time.Minute)
		d.platform.SetFault(persimstand.Fault{})
		resp, err := d.applyChange(d.entries[1], base, "change-1", 33*time.Second)
		require.NoError(t, err)
		require.Equal(t, base+1, resp.GetGeneration())
	})
}

func TestRejectedProfileNamesTheField(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		base := d.entries[0].host.catalogue.Current().Generation()
		_, err := d.applyChange(d.entries[0], base, "change-1", 48*time.Hour)
		require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
		require.ErrorContains(t, err, "patience = 48h0m0s: allowed is 100ms to 1h0m0s")
		require.Equal(t, base, d.entries[0].host.catalogue.Current().Generation())
	})
}

func TestIsolatedHostStopsBeingReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		isolated := d.entries[2]
		d.net.partition(isolated.settings.Listen.Peers)
		stale := isolated.settings.Timeouts.CatalogueStaleness.Std()
		time.Sleep(stale + 2*exchangeTimeout)
		require.False(t, isolated.host.ready())
		require.True(t, d.entries[0].host.ready())
		d.net.heal(isolated.settings.Listen.Peers)
		require.True(t, d.waitUntil(20*time.Second, isolated.host.ready), "ready again after the partition has healed")
	})
}

func TestHostWithoutPeersOrPlatformIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		d.platform.SetFault(persimstand.Fault{Down: true})
		for _, e := range d.entries {
			e.kill()
			<-e.done
		}
		d.startEntry(d.entries[0])
		time.Sleep(20 * time.Second)
		require.False(t, d.entries[0].host.ready())
		d.platform.SetFault(persimstand.Fault{})
		require.True(t, d.waitUntil(10*time.Second, d.entries[0].host.ready))
	})
}

// TestChangeOfALostHostIsInForce checks that a change propagates if its host ends before
// announcing it to the others and the watches deliver nothing.
func TestChangeOfALostHostIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		d.platform.SetFault(persimstand.Fault{Silent: true})
		current := d.entries[0].host.catalogue.Current()
		profile := persimprofile.DefaultProfile().WithName("short").WithPatience(33 * time.Second)
		next, err := current.WithProfile(profile, persimprofile.Change{ID: "lost"})
		require.NoError(t, err)
		value, err := persimprofile.Marshal(next)
		require.NoError(t, err)
		object, ok := d.platform.Lookup(persimprofile.ObjectName)
		require.True(t, ok)
		_, ok = d.platform.PutIfCurrent(object.WithValue(value))
		require.True(t, ok)
		require.True(t, d.waitUntil(maxPropagationDelay, func() bool { return d.allHaveGeneration(next.Generation()) }))
	})
}
