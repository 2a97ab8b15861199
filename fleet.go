package persimmonport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
	"k8s.io/klog/v2"

	"persimmonport.example/persimfleet"
	"persimmonport.example/persimmember"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimwire"
)

const (
	fleetObject   = "fleet"
	leaseObject   = "fleet-lease"
	fleetInterval = 5 * time.Second
	leaseDuration = 20 * time.Second
	// upstreamDrainTime is the time between marking an upstream as leaving and the
	// order to stop it.
	upstreamDrainTime   = 30 * time.Second
	maxRecordedRefusals = 64
)

// fleetSettings is the value of the platform object that describes the fleet.
type fleetSettings struct {
	Groups []persimfleet.Group `json:"groups"`
	Offers []persimfleet.Offer `json:"offers"`
}

// fleetController starts and stops upstreams. It sends orders only while its host
// holds the lease. A short overlap of two holders is harmless, since each order has
// its own idempotency key and the platform refuses older fencing tokens.
type fleetController struct {
	host     *host
	planner  persimfleet.Planner
	refusals []persimfleet.Refusal
	// stoppedAt maps the address of an upstream to the time at which it was marked for its
	// stop. An upstream in it is not stopped again.
	stoppedAt map[string]time.Time
}

func newFleetController(h *host) *fleetController {
	return &fleetController{host: h, planner: persimfleet.New(), stoppedAt: map[string]time.Time{}}
}

func (f *fleetController) run(ctx context.Context) {
	runEvery(ctx, fleetInterval, func(ctx context.Context) {
		if persimmember.Rank("fleet", f.host.members.Hosts())[0].GetName() != f.host.name() {
			return
		}
		if err := f.reconcile(ctx); err != nil && !errors.Is(err, persimplatform.ErrNotFound) {
			klog.V(1).Infof("fleet: reconciliation failed, no orders sent: %v", err)
		}
	})
}

// reconcile plans and executes orders. It does nothing if the platform does not answer.
func (f *fleetController) reconcile(ctx context.Context) error {
	orders, err := f.plan(ctx)
	if err != nil || len(orders) == 0 {
		return trace.Wrap(err)
	}
	lease, err := f.acquireLease(ctx, len(orders))
	if err != nil {
		return trace.Wrap(err)
	}
	for i, order := range orders {
		sequence := lease.GetSequence() - uint64(len(orders)) + uint64(i)
		f.execute(ctx, order, fmt.Sprintf("intent-%d", sequence), lease.GetFence())
	}
	return nil
}

// plan reads the description of the fleet and the platform's list of hosts, and
// returns the orders for all groups.
func (f *fleetController) plan(ctx context.Context) ([]persimfleet.Order, error) {
	object, err := f.host.platform.Get(ctx, fleetObject)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var settings fleetSettings
	if err := json.Unmarshal(object.Value, &settings); err != nil {
		return nil, trace.BadParameter("fleet: %v", err)
	}
	listed, err := f.host.platform.Hosts(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var orders []persimfleet.Order
	for _, group := range settings.Groups {
		orders = append(orders, f.planner.Plan(f.groupState(group, settings.Offers, listed))...)
	}
	return orders, nil
}

func (f *fleetController) groupState(group persimfleet.Group, offers []persimfleet.Offer, listed []persimplatform.Host) persimfleet.State {
	state := persimfleet.State{
		Group:    group,
		Offers:   offers,
		Demand:   f.host.schedulers.get(group.Name).demand(),
		Refusals: f.refusals,
		Now:      time.Now(),
	}
	live := liveAddresses(f.host.members.Upstreams())
	for _, h := range listed {
		if h.Group != group.Name {
			continue
		}
		state.Members = append(state.Members, persimfleet.Member{
			Address: h.Address, Incarnation: h.Incarnation, Group: h.Group, Offer: findOffer(h, offers),
			Leaving: h.State == persimplatform.HostLeaving || !live[h.Address],
		})
	}
	return state
}

func findOffer(h persimplatform.Host, offers []persimfleet.Offer) persimfleet.Offer {
	for _, o := range offers {
		if o.Centre == h.Centre && o.Machine == h.Machine && o.Reclaimable == h.Reclaimable {
			return o
		}
	}
	return persimfleet.Offer{Centre: h.Centre, Machine: h.Machine, Reclaimable: h.Reclaimable}
}

// acquireLease acquires or renews the lease by a conditional update, which also
// reserves the sequence numbers in the orders' idempotency keys.
func (f *fleetController) acquireLease(ctx context.Context, orderCount int) (*persimwire.Lease, error) {
	object, err := f.host.platform.Get(ctx, leaseObject)
	if errors.Is(err, persimplatform.ErrNotFound) {
		object, err = persimplatform.Object{Name: leaseObject}, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var lease persimwire.Lease
	if err := proto.Unmarshal(object.Value, &lease); err != nil {
		return nil, trace.Wrap(err)
	}
	if lease.GetHolder() != f.host.name() {
		if time.Now().Before(lease.GetExpires().AsTime()) {
			return nil, trace.AlreadyExists("fleet: host %s holds the lease", lease.GetHolder())
		}
		lease.Holder = f.host.name()
		lease.Fence++
	}
	lease.Expires = timestamppb.New(time.Now().Add(leaseDuration))
	lease.Sequence += uint64(orderCount)
	value, err := proto.Marshal(&lease)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := f.host.platform.Put(ctx, object.WithValue(value)); err != nil {
		return nil, trace.Wrap(err)
	}
	return &lease, nil
}

// execute sends one order. A start whose outcome is uncertain is repeated once with
// the same idempotency key.
func (f *fleetController) execute(ctx context.Context, order persimfleet.Order, idempotencyKey string, fence uint64) {
	klog.Infof("fleet: %s %s of group %s in %s: %s", order.Action, order.Offer.Machine, order.Group, order.Offer.Centre, order.Cause)
	if order.Action == persimfleet.ActionStop {
		f.stop(ctx, order, idempotencyKey, fence)
		return
	}
	start := persimplatform.StartOrder{
		IdempotencyKey: idempotencyKey, Fence: fence, Group: order.Group, Centre: order.Offer.Centre,
		Machine: order.Offer.Machine, Reclaimable: order.Offer.Reclaimable,
	}
	_, err := f.host.platform.Start(ctx, start)
	if errors.Is(err, persimplatform.ErrUncertain) {
		_, err = f.host.platform.Start(ctx, start)
	}
	if errors.Is(err, persimplatform.ErrRefused) {
		f.recordRefusal(order.Offer)
	}
}

func (f *fleetController) recordRefusal(offer persimfleet.Offer) {
	f.refusals = append(f.refusals, persimfleet.Refusal{
		Centre: offer.Centre, Machine: offer.Machine, Reclaimable: offer.Reclaimable, At: time.Now(),
	})
	f.refusals = f.refusals[max(0, len(f.refusals)-maxRecordedRefusals):]
}

// stop marks an upstream as leaving and orders its stop after upstreamDrainTime.
func (f *fleetController) stop(ctx context.Context, order persimfleet.Order, idempotencyKey string, fence uint64) {
	if _, ok := f.stoppedAt[order.Address]; ok {
		return
	}
	f.stoppedAt[order.Address] = time.Now()
	f.host.members.MarkLeaving(order.Address, order.Incarnation, time.Now())
	f.host.schedulers.update()
	f.host.triggerExchange()
	time.AfterFunc(upstreamDrainTime, func() {
		f.host.activeAttempts.cancelUpstream(order.Address)
		_ = f.host.platform.Stop(ctx, persimplatform.StopOrder{
			IdempotencyKey: idempotencyKey, Fence: fence, Address: order.Address, Incarnation: order.Incarnation,
		})
	})
}

func (o operatorService) PlanFleet(ctx context.Context, _ *connect.Request[persimwire.PlanFleetRequest]) (*connect.Response[persimwire.PlanFleetResponse], error) {
	orders, err := newFleetController(o.host).plan(ctx)
	if errors.Is(err, persimplatform.ErrNotFound) {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("the platform holds no description of the fleet"))
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &persimwire.PlanFleetResponse{}
	for _, order := range orders {
		response.Orders = append(response.Orders, &persimwire.FleetOrder{
			Action: string(order.Action), Group: order.Group, Centre: order.Offer.Centre,
			Machine: order.Offer.Machine, Reclaimable: order.Offer.Reclaimable, Cause: order.Cause,
		})
	}
	return connect.NewResponse(response), nil
}
