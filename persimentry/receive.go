package persimentry

import (
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimrevision"
	"persimmonport.example/persimwire"
	"persimmonport.example/platform"
)

// applyExchange applies the parts of a received message that are valid whatever their
// age.
func (e *entry) applyExchange(received *persimwire.Exchange) {
	if received.GetHost() == "" || received.GetHost() == e.deployment.Host {
		return
	}
	e.addPeer(received)
	e.front.RecordReports(decodeReports(received.GetReports()))
	e.front.MergeCrashes(decodeEvidence(received.GetCrashEvidence()))
	e.front.MergePressure(received.GetHost(), decodeLimits(received.GetLimits()))
	e.mergeRollouts(received.GetHost(), decodeRolloutNews(received.GetRollouts()))
	e.front.RecordPrefills(decodePrefills(received.GetPrefills()))
	demand := decodeDemand(received.GetDemand())
	e.front.AssumeSpeeds(demand)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyState(received)
	if p, ok := e.peers[received.GetHost()]; ok {
		p.lastHeard = time.Now()
		p.demand = demand
		p.knownReports = decodeKnownReports(received)
		e.peers[received.GetHost()] = p
	}
	e.reports.Merge(decodeWindows(received.GetUsageReports()))
	now := persimclock.Now()
	// The transit time makes the era appear younger than it is, never older.
	e.lease.ObserveEra(now.Add(-time.Duration(received.GetEraAgeMs())*time.Millisecond), persimrevision.Era(received.GetEra()))
	e.lease.ObserveHeartbeat(now, received.GetHolder(), received.GetFence(), received.GetBeat())
	e.noteHolder(received)
	e.applyLeaving(received)
}

// markLeaving marks an upstream as leaving that has said so itself.
func (e *entry) markLeaving(incarnation persimcatalog.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.roster.MarkLeaving(incarnation) {
		return
	}
	klog.InfoS("upstream leaves", "id", incarnation.ID, "source", "itself")
	e.front.SetUpstreams(e.roster.Upstreams())
}

// applyLeaving marks the upstreams as leaving that another host reports as leaving.
func (e *entry) applyLeaving(received *persimwire.Exchange) {
	changed := false
	for _, leaving := range received.GetLeaving() {
		incarnation := persimcatalog.Incarnation{ID: leaving.GetId(), Born: leaving.GetBorn()}
		if e.roster.MarkLeaving(incarnation) {
			changed = true
			klog.InfoS("upstream leaves", "id", incarnation.ID, "source", received.GetHost())
		}
	}
	if changed {
		e.front.SetUpstreams(e.roster.Upstreams())
	}
}

// applySnapshots applies the configuration and the list of upstreams of a reply. Their
// ages are relative to sent, the instant at which this host sent its request.
func (e *entry) applySnapshots(received *persimwire.Exchange, sent persimclock.Instant) {
	catalogue := received.GetCatalogue()
	confirmedAt := sent.Add(-time.Duration(catalogue.GetAgeMs()) * time.Millisecond)
	for _, item := range catalogue.GetItems() {
		if err := e.applyCatalogue(item.GetValue(), confirmedAt, received.GetHost()); err != nil {
			klog.ErrorS(nil, "configuration of another host: not applied", "source", received.GetHost(), "error", persimlog.ErrorText(err))
		}
	}
	e.mu.Lock()
	upToDate := catalogue.GetVersion() == e.rawCatalogue.version && e.rawCatalogue.version > 0
	e.mu.Unlock()
	if upToDate && catalogue.GetAgeMs() < unknownAge {
		e.front.ConfirmCatalogue(confirmedAt)
	}
	e.applyReceivedRoster(received, sent)
}

// applyReceivedRoster applies or confirms the list of upstreams of a reply.
func (e *entry) applyReceivedRoster(received *persimwire.Exchange, sent persimclock.Instant) {
	roster := received.GetRoster()
	span := decodeSpan(roster, sent, e.clock())
	e.mu.Lock()
	upToDate := roster.GetDigest() == e.rosterState.digest && roster.GetVersion() > 0
	e.mu.Unlock()
	if upToDate {
		e.confirmRoster(span, received.GetHost())
		return
	}
	if len(roster.GetItems()) == 0 {
		return
	}
	objects := make([]platform.Object, 0, len(roster.GetItems()))
	for _, item := range roster.GetItems() {
		objects = append(objects, platform.Object{Name: item.GetName(), Spec: item.GetValue()})
	}
	e.applyRoster(objects, persimrevision.FromOrdinal(roster.GetVersion()), span, received.GetHost())
}
