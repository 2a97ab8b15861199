package persimmonport

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimfleet"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimstand"
	"persimmonport.example/persimwire"
)

func (d *deployment) storeFleet(floor int) {
	settings := fleetSettings{
		Groups: []persimfleet.Group{{Name: "oracolo", Floor: floor, Margin: 0.2}},
		Offers: []persimfleet.Offer{
			{Centre: "catania", Machine: "a", Reclaimable: true, Price: 1, Slots: 16},
			{Centre: "acireale", Machine: "a", Reclaimable: true, Price: 2, Slots: 16},
			{Centre: "siracusa", Machine: "a", Reclaimable: true, Price: 3, Slots: 16},
		},
	}
	value, err := json.Marshal(settings)
	require.NoError(d.t, err)
	_, ok := d.platform.PutIfCurrent(persimplatform.Object{Name: fleetObject, Value: value})
	require.True(d.t, ok)
}

// startedHosts returns the number of hosts that the fleet controller has started.
func (d *deployment) startedHosts() int {
	count := 0
	for _, h := range d.platform.Hosts() {
		if strings.HasPrefix(h.Name, "started-") {
			count++
		}
	}
	return count
}

// fleetCase is a fault while the fleet controller runs.
type fleetCase struct {
	name   string
	inject func(d *deployment)
}

func TestFleetOrdersAreNotDoubled(t *testing.T) {
	for _, c := range []fleetCase{
		{"no fault", func(*deployment) {}},
		{"lost answers", func(d *deployment) { d.platform.SetFault(persimstand.Fault{LoseResponses: 3}) }},
		{"controller killed", func(d *deployment) {
			time.Sleep(fleetInterval + 100*time.Millisecond)
			for _, e := range d.entries[:2] {
				e.kill()
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, defaultDeploymentConfig())
				defer d.close()
				d.waitReady()
				d.storeFleet(32)
				c.inject(d)
				time.Sleep(2 * time.Minute)
				require.Equal(t, 3, d.startedHosts(), "32 slots in any two of three data centres")
			})
		})
	}
}

func TestFleetStopsNothingDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		d.storeFleet(32)
		time.Sleep(time.Minute)
		before := len(d.entries[0].host.members.Upstreams())
		d.platform.SetFault(persimstand.Fault{Down: true})
		time.Sleep(10 * time.Minute)
		require.Len(t, d.entries[0].host.members.Upstreams(), before)
	})
}

func TestFleetPlanChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		_, err := d.operatorClient(d.entries[0]).PlanFleet(d.ctx, withToken(operatorToken, &persimwire.PlanFleetRequest{}))
		require.ErrorContains(t, err, "no description of the fleet")
		d.storeFleet(32)
		resp, err := d.operatorClient(d.entries[0]).PlanFleet(d.ctx, withToken(operatorToken, &persimwire.PlanFleetRequest{}))
		require.NoError(t, err)
		require.NotEmpty(t, resp.Msg.GetOrders())
		require.NotEmpty(t, resp.Msg.GetOrders()[0].GetCause())
		require.Zero(t, d.startedHosts())
	})
}
