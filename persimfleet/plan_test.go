package persimfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func offers() []Offer {
	return []Offer{
		{Centre: "catania", Machine: "a", Reclaimable: true, Price: 1, Slots: 16},
		{Centre: "acireale", Machine: "a", Reclaimable: true, Price: 1.5, Slots: 16},
		{Centre: "siracusa", Machine: "a", Reclaimable: true, Price: 2, Slots: 16},
		{Centre: "catania", Machine: "a", Price: 4, Slots: 16},
		{Centre: "acireale", Machine: "a", Price: 4, Slots: 16},
		{Centre: "siracusa", Machine: "a", Price: 4, Slots: 16},
	}
}

// applyPlans applies plans until a plan has no orders.
func applyPlans(t *testing.T, state State) []Member {
	t.Helper()
	planner := New()
	for i := range 100 {
		orders := planner.Plan(state)
		if len(orders) == 0 {
			return state.Members
		}
		for j, o := range orders {
			state.Members = applyOrder(state.Members, o, fmt.Sprint(i, "-", j))
		}
	}
	t.Fatal("the plans do not converge")
	return nil
}

func applyOrder(members []Member, o Order, address string) []Member {
	if o.Action == ActionStart {
		return append(members, Member{Address: address, Group: o.Group, Offer: o.Offer})
	}
	var kept []Member
	for _, m := range members {
		if m.Address != o.Address {
			kept = append(kept, m)
		}
	}
	return kept
}

func TestFleetSurvivesTheLossOfADataCentre(t *testing.T) {
	for _, demand := range []float64{1, 40, 100, 250} {
		state := State{Group: Group{Name: "oracolo", Floor: 16, Margin: 0.2}, Offers: offers(), Demand: demand}
		members := applyPlans(t, state)
		for _, lost := range []string{"catania", "acireale", "siracusa"} {
			remaining := 0
			for _, m := range members {
				require.True(t, m.Offer.Reclaimable, "the cheaper offers suffice")
				if m.Offer.Centre != lost {
					remaining += m.Offer.Slots
				}
			}
			require.GreaterOrEqual(t, float64(remaining), demand*1.2)
		}
	}
}

func TestRefusedOffersAreNotOrdered(t *testing.T) {
	now := time.Now()
	state := State{
		Group: Group{Name: "oracolo"}, Offers: offers(), Demand: 100, Now: now,
		Refusals: []Refusal{{Centre: "catania", Machine: "a", Reclaimable: true, At: now.Add(-time.Minute)}},
	}
	for _, m := range applyPlans(t, state) {
		require.False(t, m.Offer.Centre == "catania" && m.Offer.Reclaimable)
	}
}

func TestStopsOfOnePlanAreLimited(t *testing.T) {
	state := State{Group: Group{Name: "oracolo"}, Offers: offers(), Demand: 200}
	state.Members = applyPlans(t, state)
	before := len(state.Members)
	state.Demand = 50
	orders := New().Plan(state)
	require.Len(t, orders, DefaultMaxStops)
	require.Equal(t, ActionStop, orders[0].Action)
	require.InDelta(t, 2, orders[0].Offer.Price, 0, "the most expensive host is stopped first")
	require.Less(t, len(applyPlans(t, state)), before)
}

func TestSmallDemandChangeStopsNoHost(t *testing.T) {
	state := State{Group: Group{Name: "oracolo"}, Offers: offers(), Demand: 200}
	state.Members = applyPlans(t, state)
	state.Demand = 190
	require.Empty(t, New().Plan(state))
}

func TestOverpricedHostsAreReplaced(t *testing.T) {
	state := State{Group: Group{Name: "oracolo"}, Offers: offers()[3:], Demand: 64}
	state.Members = applyPlans(t, state)
	require.InDelta(t, 4, state.Members[0].Offer.Price, 0)
	state.Offers = offers()
	for _, m := range applyPlans(t, state) {
		require.True(t, m.Offer.Reclaimable)
	}
}
