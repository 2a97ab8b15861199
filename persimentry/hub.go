package persimentry

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimplace"
	"persimmonport.example/persimwire"
)

const (
	// meshHosts is the number of hosts up to which all ask each other. Beyond it,
	// asking would cost each host more than serving does, and they ask hubs, which
	// pass on what the others said.
	meshHosts = 12
	// hubs is the number of hosts that pass on; any host may become one.
	hubs = 2
	// hubInterval is how often a host asks a hub.
	hubInterval = 300 * time.Millisecond
	// strayInterval is how often a host asks one that is no hub, so that knowledge
	// passes when hubs are cut off.
	strayInterval = time.Second
	// failsToSkip is the number of asks without an answer after which a hub is passed over.
	failsToSkip = 2
)

// hubbed reports whether the deployment is too large for all to ask each other.
func (e *entry) hubbed() bool { return len(e.peers)+1 > meshHosts }

// hubNames returns the hubs: the holder of the lease, which needs what all hosts
// count, and those that all hosts rank first.
func (e *entry) hubNames() []string {
	holder, _, _ := e.lease.Latest()
	names := append(slices.Collect(maps.Keys(e.peers)), e.deployment.Host)
	names = slices.DeleteFunc(names, func(name string) bool { return e.peers[name].fails >= failsToSkip })
	slices.SortFunc(names, func(a, b string) int {
		if (a == holder) != (b == holder) {
			return boolOrder(a == holder)
		}
		if xxhash.Sum64String(a) < xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	return names[:min(len(names), hubs)]
}

func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

// hubDue returns the hub that was not asked for longest, where one is due.
func (e *entry) hubDue(now time.Time, askable []string) (string, bool) {
	if now.Sub(e.hubAsked) < hubInterval {
		return "", false
	}
	names := e.hubNames()
	names = slices.DeleteFunc(names, func(name string) bool { return !slices.Contains(askable, name) })
	if len(names) == 0 {
		return "", false
	}
	e.hubAsked = now
	return slices.MinFunc(names, func(a, b string) int { return e.peers[a].asked.Compare(e.peers[b].asked) }), true
}

// relay adds what this host knows of the others, where it is a hub.
func (e *entry) relay(state *persimwire.Exchange, asker string) {
	if !e.hubbed() || !slices.Contains(e.hubNames(), e.deployment.Host) {
		return
	}
	state.Others = encodeLoads(e.front.Others(asker))
	state.Organisations = slices.Sorted(maps.Keys(state.GetAdmitted()))
	now := time.Now()
	for name, p := range e.peers {
		if name == asker || now.Sub(p.heard) > peerForgotten {
			continue
		}
		relayed := &persimwire.Relayed{Host: name, Incarnation: p.Incarnation, AgeMs: now.Sub(p.heard).Milliseconds()}
		for _, organisation := range state.GetOrganisations() {
			relayed.Admitted = append(relayed.Admitted, uint64(max(0, p.admitted[organisation])))
		}
		state.Relayed = append(state.Relayed, relayed)
	}
}

// learnRelayed takes over what a hub knows of the other hosts.
func (e *entry) learnRelayed(told *persimwire.Exchange) {
	if len(told.GetRelayed()) == 0 {
		return
	}
	if !e.isHub() {
		e.front.ObserveOthers(decodeLoads(told.GetOthers()))
	}
	now := time.Now()
	for _, relayed := range told.GetRelayed() {
		if len(relayed.GetAdmitted()) != len(told.GetOrganisations()) || relayed.GetHost() == e.deployment.Host {
			continue
		}
		admitted := make(map[string]float64, len(relayed.GetAdmitted()))
		for i, organisation := range told.GetOrganisations() {
			admitted[organisation] = float64(relayed.GetAdmitted()[i])
		}
		at := now.Add(-time.Duration(relayed.GetAgeMs()) * time.Millisecond)
		e.front.ObserveAdmitted(at, relayed.GetHost(), relayed.GetIncarnation(), admitted)
	}
}

// directLoads returns the loads that a host told of itself, unless a hub passes
// them on as part of a sum.
func (e *entry) directLoads(told *persimwire.Exchange) map[uint64]persimplace.PeerLoad {
	e.mu.Lock()
	large := e.hubbed()
	e.mu.Unlock()
	if large && !e.isHub() {
		return nil
	}
	return decodeLoads(told.GetLoads())
}

// rankedHub reports whether this host is one of those that rank first, of which the
// others learn, also where all ask each other.
func (e *entry) rankedHub() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.hubNames(), e.deployment.Host)
}

// isHub reports whether this host passes on what the others say.
func (e *entry) isHub() bool {
	e.mu.Lock()
	large := e.hubbed()
	e.mu.Unlock()
	return large && e.rankedHub()
}
