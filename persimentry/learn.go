package persimentry

import (
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimwire"
	"persimmonport.example/platform"
)

// learn takes over what does not depend on its age.
func (e *entry) learn(told *persimwire.Exchange) {
	if told.GetHost() == "" || told.GetHost() == e.deployment.Host {
		return
	}
	e.meet(told)
	e.front.Observe(told.GetHost(), told.GetIncarnation(), persimfront.Told{
		Loads:    e.directLoads(told),
		Reports:  decodeReports(told.GetReports()),
		Admitted: told.GetAdmitted(),
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usage.ObserveRemote(told.GetHost()+" "+told.GetIncarnation(), decodeWindows(told.GetWindows()))
	if known, ok := e.peers[told.GetHost()]; ok {
		known.heard = time.Now()
		known.demand = decodeDemand(told.GetDemand())
		known.admitted = told.GetAdmitted()
		e.peers[told.GetHost()] = known
	}
	e.lease.ObserveHeartbeat(persimclock.Now(), told.GetHolder(), told.GetFence(), told.GetBeat())
	e.learnLeaving(told)
}

func (e *entry) learnLeaving(told *persimwire.Exchange) {
	news := false
	for _, leaving := range told.GetLeaving() {
		incarnation := persimcatalog.Incarnation{ID: leaving.GetId(), Born: leaving.GetBorn()}
		if e.roster.MarkLeaving(incarnation) {
			news = true
			klog.InfoS("upstream leaves", "id", incarnation.ID, "source", told.GetHost())
		}
	}
	if news {
		e.front.SetUpstreams(e.roster.Upstreams())
	}
}

// learnSnapshots takes over the configuration and the upstreams that another host
// confirmed at an age; asked is when this host asked.
func (e *entry) learnSnapshots(told *persimwire.Exchange, asked persimclock.Instant) {
	catalogue := told.GetCatalogue()
	confirmed := asked.Add(-time.Duration(catalogue.GetAgeMs()) * time.Millisecond)
	for _, item := range catalogue.GetItems() {
		if err := e.applyCatalogue(item.GetValue(), confirmed, told.GetHost()); err != nil {
			klog.ErrorS(nil, "configuration of another host: not applied", "source", told.GetHost(), "error", persimlog.Cause(err))
		}
	}
	e.mu.Lock()
	same := catalogue.GetVersion() == e.raw.version && e.raw.version > 0
	e.mu.Unlock()
	if same && catalogue.GetAgeMs() < unknownAge {
		e.front.Confirm(confirmed)
	}
	e.learnRoster(told, asked)
}

func (e *entry) learnRoster(told *persimwire.Exchange, asked persimclock.Instant) {
	roster := told.GetRoster()
	confirmed := asked.Add(-time.Duration(roster.GetAgeMs()) * time.Millisecond)
	e.mu.Lock()
	same := roster.GetDigest() == e.rosterAt.digest && roster.GetVersion() > 0
	e.mu.Unlock()
	if same {
		e.confirmRoster(confirmed)
		return
	}
	if len(roster.GetItems()) == 0 {
		return
	}
	objects := make([]platform.Object, 0, len(roster.GetItems()))
	for _, item := range roster.GetItems() {
		objects = append(objects, platform.Object{Name: item.GetName(), Spec: item.GetValue()})
	}
	e.applyRoster(objects, roster.GetVersion(), confirmed, told.GetHost())
}
