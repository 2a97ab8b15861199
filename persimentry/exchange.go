package persimentry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimexchange"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimwire"
	"persimmonport.example/platform"
)

// exchangeLoop replies to exchanges that other hosts start and starts exchanges with
// them.
func (e *entry) exchangeLoop(ctx context.Context) {
	links, cleanup := e.openLinks(ctx)
	if links == nil {
		return
	}
	defer cleanup()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := links.Serve(ctx, e.handleExchange); err != nil {
			klog.ErrorS(nil, "exchange: other hosts are not answered", "error", persimlog.ErrorText(err))
		}
	})
	if e.deployment.Rollouts {
		wg.Go(func() { e.reportRolloutsLoop(ctx, links) })
	}
	every(ctx, exchangeInterval, func(ctx context.Context) {
		e.updateHub()
		for name, p := range e.selectPeers() {
			wg.Go(func() { e.exchangeWith(ctx, links, name, p) })
		}
	})
}

// maxBackoff bounds the time between exchanges with a peer that does not reply.
const maxBackoff = 2 * time.Second

// selectPeers returns the peers to start an exchange with now. In a full mesh these are
// the peers whose last exchange is longest ago.
func (e *entry) selectPeers() map[string]peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	eligible := func(name string) bool {
		p, ok := e.peers[name]
		return ok && p.eligible(now)
	}
	var names []string
	if e.usesHubs() {
		names = e.schedule.Next(now, eligible)
	} else {
		names = e.longestSinceExchange(eligible)
	}
	selected := map[string]peer{}
	for _, name := range names {
		p := e.peers[name]
		p.exchanging = true
		p.lastExchange = now
		e.peers[name] = p
		selected[name] = p
	}
	return selected
}

// eligible reports whether an exchange with a peer may start. A peer whose requests
// arrive here is not left out, since only a reply carries the configuration and its age.
func (p peer) eligible(now time.Time) bool {
	backoff := min(time.Duration(p.failures)*exchangeInterval, maxBackoff)
	return !p.exchanging && now.Sub(p.lastExchange) >= backoff
}

// longestSinceExchange returns the eligible peers whose last exchange is longest ago, up
// to exchangeFanOut.
func (e *entry) longestSinceExchange(eligible func(string) bool) []string {
	names := slices.DeleteFunc(slices.Collect(maps.Keys(e.peers)), func(name string) bool { return !eligible(name) })
	slices.SortFunc(names, func(a, b string) int { return e.peers[a].lastExchange.Compare(e.peers[b].lastExchange) })
	return names[:min(len(names), exchangeFanOut)]
}

// exchangeWith sends the state of this host to a peer and applies the reply.
func (e *entry) exchangeWith(ctx context.Context, links persimexchange.Links, name string, p peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := persimclock.Now()
	request := e.exchangeState(nil, name)
	reply, err := links.Exchange(ctx, p.Address, request)
	e.recordOutcome(name, p, err)
	if err != nil {
		return
	}
	e.recordAcknowledged(request)
	e.applyExchange(reply)
	e.applySnapshots(reply, sent)
}

// recordAcknowledged records that a report of this host was replied to.
func (e *entry) recordAcknowledged(request *persimwire.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.schedule.RecordReply(time.Now())
	if request.GetAdmitted() != nil {
		e.acknowledged = request.GetAdmitted()
	}
}

// lostFailureThreshold is the number of consecutive exchanges without a reply after
// which a peer is logged as lost.
const lostFailureThreshold = 3

// recordOutcome records whether an exchange with a peer got a reply, and logs when the
// peer is lost or regained.
func (e *entry) recordOutcome(name string, p peer, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, ok := e.peers[name]
	if !ok || current.hostRecord != p.hostRecord {
		return
	}
	current.exchanging = false
	e.topology.RecordExchange(name, err == nil)
	if err != nil {
		current.failures++
		if current.failures == lostFailureThreshold {
			klog.InfoS("dependency lost", "name", "host "+name, "error", persimlog.ErrorText(err))
		}
	} else {
		if current.failures >= lostFailureThreshold {
			klog.InfoS("dependency regained", "name", "host "+name)
		}
		current.failures = 0
	}
	e.peers[name] = current
}

// handleExchange applies the state that another host sent and returns the reply.
func (e *entry) handleExchange(request *persimwire.Exchange) *persimwire.Exchange {
	if len(request.GetRolloutReports()) > 0 {
		return e.handleRolloutReports(request)
	}
	e.applyExchange(request)
	return e.exchangeState(request, request.GetHost())
}

// exchangeState returns the message that this host sends to another one. For a reply,
// request is the received message, and the snapshots that the other host lacks are
// added.
func (e *entry) exchangeState(request *persimwire.Exchange, receiver string) *persimwire.Exchange {
	local := e.localState()
	rollouts := encodeRolloutNews(e.front.RolloutNews())
	now := e.clock()
	age, known := e.front.CatalogueAge()
	e.mu.Lock()
	defer e.mu.Unlock()
	holder, fence, beat := e.lease.Latest()
	era, eraSeenAt := e.lease.Era()
	state := &persimwire.Exchange{
		Host:          e.deployment.Host,
		Incarnation:   e.incarnation,
		Centre:        e.deployment.Centre,
		Demand:        encodeDemand(local.demand),
		Holder:        holder,
		Fence:         fence,
		Beat:          beat,
		Address:       e.deployment.PeerAddress,
		Memory:        e.deployment.MemoryBytes,
		Reports:       encodeReports(local.Reports),
		CrashEvidence: encodeEvidence(local.Crashes),
		Limits:        encodeLimits(local.Pressure),
		Catalogue:     &persimwire.Snapshot{Version: e.rawCatalogue.version, AgeMs: unknownAge},
		Roster:        e.rosterSnapshot(now),
		Rollouts:      rollouts,
		Era:           int64(era),
		EraAgeMs:      now.Sub(eraSeenAt).Milliseconds(),
	}
	if known {
		state.Catalogue.AgeMs = encodeProofAge(age)
	}
	for _, incarnation := range e.roster.Leaving() {
		state.Leaving = append(state.Leaving, &persimwire.Leaving{Id: incarnation.ID, Born: incarnation.Born})
	}
	if request != nil {
		e.addSnapshotItems(state, request)
	}
	e.addPrefills(state)
	e.addReports(state, receiver)
	e.addState(state, request, receiver, local)
	return state
}

// rosterSnapshot returns the version and the ages of the list of upstreams, without its
// contents.
func (e *entry) rosterSnapshot(now persimclock.Instant) *persimwire.Snapshot {
	span := e.rosterState.outages.current
	return &persimwire.Snapshot{
		Version:    e.rosterState.revision.Ordinal(),
		AgeMs:      encodeProofAge(now.Sub(e.rosterState.confirmedAt)),
		Digest:     e.rosterState.digest,
		ReadableMs: now.Sub(span.since).Milliseconds(),
		ReturnedMs: encodeProofAge(now.Sub(span.returned)),
	}
}

// unknownAge is the age, in milliseconds, that is sent for a configuration that a host
// does not have.
const unknownAge = int64(1) << 40

// addSnapshotItems adds the contents that are newer on this host than on the one that
// sent the request.
func (e *entry) addSnapshotItems(state, request *persimwire.Exchange) {
	if request.GetCatalogue().GetVersion() < e.rawCatalogue.version {
		state.Catalogue.Items = []*persimwire.Item{{Name: platform.ConfigName, Value: e.rawCatalogue.spec}}
	}
	if request.GetRoster().GetVersion() < e.rosterState.revision.Ordinal() && request.GetRoster().GetDigest() != e.rosterState.digest {
		for _, object := range e.rosterState.objects {
			state.Roster.Items = append(state.Roster.Items, &persimwire.Item{Name: object.Name, Value: object.Spec})
		}
	}
}
