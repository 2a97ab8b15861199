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
	// meshHosts is the number of hosts up to which all ask each other. Beyond it,
	// asking would cost each host more than serving does, and they ask hubs, which
	// pass on what the others said.
	meshHosts = 12
	// hubs is the number of hosts that pass on; any host may become one.
	hubs = 2
	// hubInterval is how often a host asks a hub.
	hubInterval = 300 * time.Millisecond
	// holderInterval is how often a host tells the holder of the lease what it counted.
	holderInterval = 900 * time.Millisecond
	// unheardAfter is the time after which the holder itself asks a host that it did
	// not hear.
	unheardAfter = 1200 * time.Millisecond
	// strayInterval is how often a host asks one that is no hub, so that knowledge
	// passes when hubs are cut off.
	strayInterval = time.Second
	// failsToSkip is the number of asks without an answer after which a hub is passed over.
	failsToSkip = 2
)

// hubbed reports whether the deployment is too large for all to ask each other.
func (e *entry) hubbed() bool { return len(e.peers)+1 > meshHosts }

// hubNames returns the hubs, which all hosts rank alike: those with most memory
// first, since machines with little of it also have slow links.
func (e *entry) hubNames() []string {
	ranked := e.rankedHosts()
	ranked = slices.DeleteFunc(ranked, func(name string) bool { return e.peers[name].fails >= failsToSkip })
	return ranked[:min(len(ranked), hubs)]
}

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

// hubDue returns the hub that was not asked for longest, where one is due.
func (e *entry) hubDue(now time.Time, askable []string) (string, bool) {
	if now.Sub(e.hubAsked) < hubInterval {
		return "", false
	}
	names := slices.DeleteFunc(e.hubNames(), func(name string) bool { return !slices.Contains(askable, name) })
	if len(names) == 0 {
		return "", false
	}
	e.hubAsked = now
	return slices.MinFunc(names, func(a, b string) int { return e.peers[a].asked.Compare(e.peers[b].asked) }), true
}

// holderDue returns the holder of the lease, which needs what all hosts count.
func (e *entry) holderDue(now time.Time, askable []string) (string, bool) {
	holder, _, _ := e.lease.Latest()
	due := slices.Contains(askable, holder) && now.Sub(e.peers[holder].asked) >= holderInterval
	return holder, due
}

// unheardDue returns the host that the holder of the lease has not heard for longest.
func (e *entry) unheardDue(now time.Time, askable []string) (string, bool) {
	if holder, _, _ := e.lease.Latest(); holder != e.deployment.Host || len(askable) == 0 {
		return "", false
	}
	name := slices.MinFunc(askable, func(a, b string) int { return e.peers[a].heard.Compare(e.peers[b].heard) })
	return name, now.Sub(e.peers[name].heard) >= unheardAfter
}

// strayDue returns a host that is no hub or was passed over as one.
func (e *entry) strayDue(now time.Time, askable []string) (string, bool) {
	if len(askable) == 0 || now.Sub(e.strayed) < strayInterval {
		return "", false
	}
	e.strayed = now
	for _, name := range e.rankedHosts()[:hubs] {
		if slices.Contains(askable, name) && e.peers[name].fails >= failsToSkip {
			return name, true
		}
	}
	return askable[0], true
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
