package persimentry

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimhub"
	"persimmonport.example/persimsettings"
	"persimmonport.example/persimwire"
)

// hubState is what a host keeps for the exchange of a large deployment.
type hubState struct {
	// topology knows all hosts including this one, schedule with which of them to start
	// exchanges.
	topology persimhub.Topology
	schedule persimhub.Schedule
	// hub sums the state of other hosts if this host is a hub, which it was at its last
	// update if wasHub is set and has been since hubSince.
	hub      persimhub.Hub
	wasHub   bool
	hubSince time.Time
	// usedHubs is set if the front was last given only the number of the other hosts.
	usedHubs bool
	// follower follows what hubs tell about all others.
	follower persimhub.Follower
	// acknowledged is the cost that this host had admitted when it sent its last report
	// that was replied to.
	acknowledged persimhub.Totals
}

func newHubState(now time.Time, deployment persimsettings.Deployment, incarnation string) hubState {
	self := persimhub.Host{Name: deployment.Host, Centre: deployment.Centre, Memory: deployment.MemoryBytes}
	state := hubState{
		topology: persimhub.NewTopology(),
		hub:      persimhub.New(now, deployment.Host+"/"+incarnation, deployment.Bounds.UsageWindow),
		follower: persimhub.NewFollower(),
	}
	state.topology.Set(self)
	state.schedule = persimhub.NewSchedule(now, self, state.topology, state.hub, rand.New(rand.NewPCG(rand.Uint64(), 1)))
	return state
}

// usesHubs reports whether the deployment is too large for every host to exchange with
// every other.
func (e *entry) usesHubs() bool { return e.topology.Count() > persimhub.MeshHosts }

// isHub reports whether this host sums the state of the hosts of its data centre.
func (e *entry) isHub() bool { return e.usesHubs() && e.topology.IsHub(e.deployment.Host) }

// localState is what this host knows of its own work.
type localState struct {
	persimfront.SharedState
	demand map[string]persimfront.Demand
}

// localState must be called without the lock of the entry, which the front's methods do
// not need.
func (e *entry) localState() localState {
	return localState{SharedState: e.front.SharedState(), demand: e.front.Demand()}
}

// report returns the state of this host for other hosts.
func (e *entry) report(now time.Time, local localState) persimhub.Report {
	unheard := make(persimhub.Totals, len(local.Admitted))
	for organisation, admitted := range local.Admitted {
		unheard[organisation] = admitted - e.acknowledged[organisation]
	}
	busy := make(map[string]float64, len(local.demand))
	for service, demand := range local.demand {
		busy[service] = demand.Busy
	}
	return persimhub.Report{
		Incarnation: e.incarnation,
		Uptime:      now.Sub(e.startedAt),
		Admitted:    local.Admitted,
		Unheard:     unheard,
		Loads:       local.Loads,
		Evidence:    local.Evidence,
		Busy:        busy,
		Ranked:      rankedDemand(local.demand),
		Windows:     e.usage.Local(),
	}
}

// updateHub follows the role of this host. A hub records its own state and takes from
// itself what it tells other hosts.
func (e *entry) updateHub() {
	local := e.localState()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	isHub := e.isHub()
	if isHub != e.wasHub {
		klog.InfoS("hub of the data centre", "centre", e.deployment.Centre, "active", isHub, "hosts", e.topology.Count())
	}
	if isHub && !e.wasHub {
		e.hub.Restart(now)
		e.hubSince = now
	}
	e.wasHub = isHub
	if isHub {
		e.hub.ObserveHost(now, e.deployment.Host, e.report(now, local))
		e.applyOthers(now, e.hub.Others(now, e.deployment.Host, true))
	}
}

// addState adds to a message what the receiver needs to know of other hosts. In a large
// deployment these are sums between data centres and, within one, the state of this
// host or in the reply of a hub the sum of all others.
func (e *entry) addState(state, request *persimwire.Exchange, receiver string, local localState) {
	now := time.Now()
	_, state.WantsWindows = e.lease.Held(persimclock.Now())
	state.Hub = e.wasHub
	switch {
	case !e.usesHubs() || request.GetHub() && request.GetCentre() == e.deployment.Centre:
		addReport(state, e.report(now, local))
	case request != nil && request.GetCentreSum() == nil:
		state.Others = encodeSum(e.hub.Others(now, receiver, request.GetWantsWindows()))
	case request != nil || e.isHub() && e.topology.Centre(receiver) != e.deployment.Centre:
		state.CentreSum = encodeSum(e.hub.CentreSum(now))
	default:
		addReport(state, e.report(now, local))
	}
}

// applyState applies what a message tells of other hosts.
func (e *entry) applyState(received *persimwire.Exchange) {
	now := time.Now()
	if received.GetCentreSum() != nil && received.GetCentre() != e.deployment.Centre {
		e.hub.ObserveCentre(now, received.GetCentre(), decodeSum(received.GetCentreSum()))
	}
	if received.GetOthers() != nil {
		e.applyOthers(now, decodeSum(received.GetOthers()))
	}
	hasReport := received.GetCentreSum() == nil && received.GetOthers() == nil
	if !hasReport {
		return
	}
	report := decodeReport(received)
	if e.usesHubs() {
		if received.GetCentre() == e.deployment.Centre {
			e.hub.ObserveHost(now, received.GetHost(), report)
		}
		return
	}
	e.front.Observe(received.GetHost(), report.Incarnation, persimfront.SharedState{
		Loads: report.Loads, Evidence: report.Evidence, Admitted: report.Admitted, Ranked: report.Ranked,
	})
	e.usage.ObserveRemote(received.GetHost()+" "+report.Incarnation, report.Windows)
}

// hubUsageSource is the source under which the usage of all other hosts is counted that
// hubs tell.
const hubUsageSource = "hubs"

// applyOthers applies the sum of all other hosts.
func (e *entry) applyOthers(now time.Time, others persimhub.Sum) {
	if !e.usesHubs() {
		return
	}
	e.follower.Observe(now, others)
	e.front.ObserveOthers(now.Add(-others.Age), others.Hosts, persimfront.SharedState{
		Admitted: e.follower.Admitted(),
		Loads:    others.Loads,
		Ranked:   others.Ranked,
		Evidence: others.Evidence,
	})
	e.usage.ObserveRemote(hubUsageSource, e.follower.Windows())
}
