package persimentry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimplace"
	"persimmonport.example/persimwire"
)

const (
	// maxMeshHosts is the number of hosts up to which every host starts exchanges with
	// every other. Beyond it, a full mesh would cost each host more than serving does,
	// so hosts start exchanges with hubs, which relay the state of the others.
	maxMeshHosts = 12
	// hubCount is the number of hubs; any host may become one.
	hubCount = 2
	// hubExchangeInterval is how often a host starts an exchange with a hub.
	hubExchangeInterval = 300 * time.Millisecond
	// holderExchangeInterval is how often a host sends its counts to the holder of the
	// lease.
	holderExchangeInterval = 900 * time.Millisecond
	// silentPeerTimeout is the time after which the holder of the lease starts an
	// exchange with a peer that it has not heard from.
	silentPeerTimeout = 1200 * time.Millisecond
	// nonHubExchangeInterval is how often a host starts an exchange with a peer that is
	// not a hub, so that state still spreads when the hubs are cut off.
	nonHubExchangeInterval = time.Second
	// hubFailureThreshold is the number of consecutive exchanges without a reply after
	// which a hub is skipped.
	hubFailureThreshold = 2
)

// usesHubs reports whether the deployment is too large for a full mesh.
func (e *entry) usesHubs() bool { return len(e.peers)+1 > maxMeshHosts }

// hubNames returns the hubs. All hosts rank them in the same order: the hosts with the
// most memory first, since machines with little memory also have slow links.
func (e *entry) hubNames() []string {
	ranked := e.rankedHosts()
	ranked = slices.DeleteFunc(ranked, func(name string) bool { return e.peers[name].failures >= hubFailureThreshold })
	return ranked[:min(len(ranked), hubCount)]
}

// rankedHosts returns all hosts, including this one, by descending memory and then by
// the hash of the name.
func (e *entry) rankedHosts() []string {
	names := append(slices.Collect(maps.Keys(e.peers)), e.deployment.Host)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(e.memoryOf(b), e.memoryOf(a)),
			cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)),
		)
	})
	return names
}

func (e *entry) memoryOf(name string) int64 {
	if name == e.deployment.Host {
		return e.deployment.MemoryBytes
	}
	return e.peers[name].Memory
}

// dueHub returns the hub whose last exchange is longest ago, if an exchange with a hub
// is due.
func (e *entry) dueHub(now time.Time, eligible []string) (string, bool) {
	if now.Sub(e.lastHubExchange) < hubExchangeInterval {
		return "", false
	}
	names := slices.DeleteFunc(e.hubNames(), func(name string) bool { return !slices.Contains(eligible, name) })
	if len(names) == 0 {
		return "", false
	}
	e.lastHubExchange = now
	return slices.MinFunc(names, func(a, b string) int { return e.peers[a].lastExchange.Compare(e.peers[b].lastExchange) }), true
}

// dueHolder returns the holder of the lease, which needs the counts of all hosts, if an
// exchange with it is due.
func (e *entry) dueHolder(now time.Time, eligible []string) (string, bool) {
	holder, _, _ := e.lease.Latest()
	due := slices.Contains(eligible, holder) && now.Sub(e.peers[holder].lastExchange) >= holderExchangeInterval
	return holder, due
}

// dueSilentPeer returns the peer that was not heard from for longest, if this host holds
// the lease and that peer exceeds silentPeerTimeout.
func (e *entry) dueSilentPeer(now time.Time, eligible []string) (string, bool) {
	if holder, _, _ := e.lease.Latest(); holder != e.deployment.Host || len(eligible) == 0 {
		return "", false
	}
	name := slices.MinFunc(eligible, func(a, b string) int { return e.peers[a].lastHeard.Compare(e.peers[b].lastHeard) })
	return name, now.Sub(e.peers[name].lastHeard) >= silentPeerTimeout
}

// dueNonHub returns a skipped hub or else the first eligible peer, if an exchange with
// a peer that is not a hub is due.
func (e *entry) dueNonHub(now time.Time, eligible []string) (string, bool) {
	if len(eligible) == 0 || now.Sub(e.lastNonHubExchange) < nonHubExchangeInterval {
		return "", false
	}
	e.lastNonHubExchange = now
	for _, name := range e.rankedHosts()[:hubCount] {
		if slices.Contains(eligible, name) && e.peers[name].failures >= hubFailureThreshold {
			return name, true
		}
	}
	return eligible[0], true
}

// addRelayed adds the state of the other hosts to a message if this host is a hub. The
// state of the receiver is left out.
func (e *entry) addRelayed(state *persimwire.Exchange, receiver string) {
	if !e.usesHubs() || !slices.Contains(e.hubNames(), e.deployment.Host) {
		return
	}
	state.Others = encodeLoads(e.front.LoadsExcept(receiver))
	state.Organisations = slices.Sorted(maps.Keys(state.GetAdmitted()))
	now := time.Now()
	for name, p := range e.peers {
		if name == receiver || now.Sub(p.lastHeard) > peerStateTTL {
			continue
		}
		relayed := &persimwire.Relayed{Host: name, Incarnation: p.Incarnation, AgeMs: now.Sub(p.lastHeard).Milliseconds()}
		for _, organisation := range state.GetOrganisations() {
			relayed.Admitted = append(relayed.Admitted, uint64(max(0, p.admitted[organisation])))
		}
		state.Relayed = append(state.Relayed, relayed)
	}
}

// applyRelayed applies the state of the other hosts that a hub relays.
func (e *entry) applyRelayed(received *persimwire.Exchange) {
	if len(received.GetRelayed()) == 0 {
		return
	}
	if !e.isHub() {
		e.front.ObserveAggregateLoads(decodeLoads(received.GetOthers()))
	}
	now := time.Now()
	for _, relayed := range received.GetRelayed() {
		if len(relayed.GetAdmitted()) != len(received.GetOrganisations()) || relayed.GetHost() == e.deployment.Host {
			continue
		}
		admitted := make(map[string]float64, len(relayed.GetAdmitted()))
		for i, organisation := range received.GetOrganisations() {
			admitted[organisation] = float64(relayed.GetAdmitted()[i])
		}
		at := now.Add(-time.Duration(relayed.GetAgeMs()) * time.Millisecond)
		e.front.ObserveAdmitted(at, relayed.GetHost(), relayed.GetIncarnation(), admitted)
	}
}

// directLoads returns the loads that a host sent about itself, or nil if this host
// receives them from a hub as part of a sum.
func (e *entry) directLoads(received *persimwire.Exchange) map[uint64]persimplace.PeerLoad {
	e.mu.Lock()
	usesHubs := e.usesHubs()
	e.mu.Unlock()
	if usesHubs && !e.isHub() {
		return nil
	}
	return decodeLoads(received.GetLoads())
}

// ranksAsHub reports whether this host ranks among the first, from which the others
// receive what is read from the store. It holds in a full mesh too.
func (e *entry) ranksAsHub() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.hubNames(), e.deployment.Host)
}

// isHub reports whether this host relays the state of the others.
func (e *entry) isHub() bool {
	e.mu.Lock()
	usesHubs := e.usesHubs()
	e.mu.Unlock()
	return usesHubs && e.ranksAsHub()
}
