package persimentry

import (
	"bytes"
	"context"
	"hash/fnv"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimclock"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// rawCatalogue is the encoded configuration as stored, kept to pass on to hosts that
// cannot read the store.
type rawCatalogue struct {
	version int64
	spec    []byte
}

// pollCatalogue reads the configuration from the store when its age requires it.
func (e *entry) pollCatalogue(ctx context.Context) {
	store := &dependency{name: "store, configuration"}
	poll := &poll{entry: e, bound: e.deployment.Bounds.ConfigApply}
	every(ctx, stalenessCheckInterval, func(ctx context.Context) {
		age, known := e.front.CatalogueAge()
		if !known {
			age = poll.bound
		}
		if !poll.due(time.Now(), age) {
			return
		}
		ctx, cancel := poll.withTimeout(ctx)
		defer cancel()
		began := time.Now()
		err := e.readCatalogue(ctx)
		poll.record(began, err)
		store.observe(err)
	})
}

func (e *entry) readCatalogue(ctx context.Context) error {
	requested := persimclock.Now()
	object, err := e.objects.Get(ctx, platform.ConfigKind, platform.ConfigName)
	if err != nil {
		return err
	}
	return e.applyCatalogue(object.Spec, requested, "store")
}

// applyCatalogue applies a configuration that was the newest one at confirmedAt.
func (e *entry) applyCatalogue(spec []byte, confirmedAt persimclock.Instant, source string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if bytes.Equal(spec, e.rawCatalogue.spec) {
		e.front.ConfirmCatalogue(confirmedAt)
		return nil
	}
	catalogue, err := platform.DecodeCatalogue(spec)
	if err != nil {
		klog.ErrorS(nil, "configuration: not applied", "source", source, "error", persimlog.ErrorText(err))
		return nil
	}
	if catalogue.Version() < e.rawCatalogue.version {
		klog.InfoS("configuration: an older one is left out", "version", catalogue.Version(), "known", e.rawCatalogue.version)
		return nil
	}
	e.rawCatalogue = rawCatalogue{version: catalogue.Version(), spec: bytes.Clone(spec)}
	e.front.SetCatalogue(catalogue)
	e.front.ConfirmCatalogue(confirmedAt)
	klog.InfoS("configuration applied", "version", catalogue.Version(), "source", source, "idleTimeout", catalogue.Limits().IdleTimeout)
	return nil
}

// rosterState is the list of upstreams as stored and how current it is.
type rosterState struct {
	revision    persimrevision.Revision
	confirmedAt persimclock.Instant
	// firstRead is when the first list was applied.
	firstRead time.Time
	objects   []platform.Object
	digest    uint64
	outages   outageRecord
	// leftOut are the names of the entries in the list that name no upstream.
	leftOut map[string]bool
	// listed are the upstreams of the list, keptMissing is set if others are kept besides.
	listed      []persimcatalog.Upstream
	keptMissing bool
}

// pollRoster reads the list of upstreams from the store when its age requires it.
func (e *entry) pollRoster(ctx context.Context) {
	store := &dependency{name: "store, upstreams"}
	poll := &poll{entry: e, bound: e.deployment.Bounds.UpstreamDrain}
	every(ctx, stalenessCheckInterval, func(ctx context.Context) {
		if !poll.due(time.Now(), e.rosterAge()) {
			return
		}
		ctx, cancel := poll.withTimeout(ctx)
		defer cancel()
		began, requested := time.Now(), e.clock()
		e.front.BeginUpstreamsRead()
		objects, revision, err := e.objects.List(ctx, platform.UpstreamKind)
		e.front.EndUpstreamsRead(err)
		poll.record(began, err)
		store.observe(err)
		if err != nil {
			e.recordFailedRead(requested)
			return
		}
		e.applyRoster(objects, revision, readSpan(requested), "store")
	})
}

// recordFailedRead records that a read of the list that began at an instant has failed.
func (e *entry) recordFailedRead(began persimclock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rosterState.outages.recordFailure(began)
}

func (e *entry) rosterAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock().Sub(e.rosterState.confirmedAt)
}

// rosterDigest returns a hash of the names and contents of a list of upstreams.
func rosterDigest(objects []platform.Object) uint64 {
	sum := fnv.New64a()
	for _, object := range objects {
		_, _ = sum.Write([]byte(object.Name))
		_, _ = sum.Write(object.Spec)
	}
	return sum.Sum64()
}

// confirmRoster records that the list of upstreams was the newest one at the end of a span.
func (e *entry) confirmRoster(span readableSpan, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rosterState.confirmedAt = max(e.rosterState.confirmedAt, span.until)
	e.confirmReadable(span, source)
	e.leaveMissingLocked(source)
	e.front.ConfirmUpstreams(span.until)
}

// confirmReadable records a span in which the store could be read.
func (e *entry) confirmReadable(span readableSpan, source string) {
	outages := &e.rosterState.outages
	known, failedReads := outages.current, outages.failedReads
	if outages.confirm(span) {
		klog.InfoS("upstreams: list is current after a gap", "source", source, "gap", span.since.Sub(known.until),
			"failedReads", failedReads, "returnedWithin", span.since.Sub(span.returned), "age", e.clock().Sub(span.until))
	}
}

// expireMissing ends the use of upstreams that are missing in the list once the grace time
// after an outage has ended, also while no read of the list returns.
func (e *entry) expireMissing(ctx context.Context) {
	every(ctx, stalenessCheckInterval, func(context.Context) { e.leaveMissing() })
}

func (e *entry) leaveMissing() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaveMissingLocked("clock")
}

func (e *entry) leaveMissingLocked(source string) {
	if e.rosterState.keptMissing && !e.rosterState.outages.keepsMissing(e.clock()) {
		e.applyListed(source)
	}
}

// applyListed applies the upstreams of the list.
func (e *entry) applyListed(source string) {
	keeps := e.rosterState.outages.keepsMissing(e.clock())
	if keeps != e.rosterState.keptMissing {
		klog.InfoS("upstreams: missing ones", "kept", keeps, "source", source,
			"sinceReturn", e.clock().Sub(e.rosterState.outages.current.since))
	}
	e.rosterState.keptMissing = keeps
	e.logRosterChanges(e.rosterState.listed, source)
	e.roster.Apply(e.rosterState.listed, keeps)
	e.front.SetUpstreams(e.roster.Upstreams())
}

// applyRoster applies a list of upstreams that was the newest one at the end of a span.
func (e *entry) applyRoster(objects []platform.Object, revision persimrevision.Revision, span readableSpan, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmReadable(span, source)
	if span.until < e.rosterState.confirmedAt || e.rosterState.revision.After(revision) {
		return
	}
	if e.rosterState.firstRead.IsZero() {
		e.rosterState.firstRead = time.Now()
	}
	e.rosterState.revision = revision
	e.rosterState.confirmedAt = span.until
	e.rosterState.objects, e.rosterState.listed = e.decodeRoster(objects)
	e.rosterState.digest = rosterDigest(e.rosterState.objects)
	e.applyListed(source)
	e.front.ConfirmUpstreams(span.until)
}

// decodeRoster returns the objects of a list that are entries of upstreams, without what no
// host needs, and their upstreams. What another writer has left is neither used nor passed
// on to other hosts, whose messages it might fill.
func (e *entry) decodeRoster(objects []platform.Object) ([]platform.Object, []persimcatalog.Upstream) {
	entries := make([]platform.Object, 0, len(objects))
	list := make([]persimcatalog.Upstream, 0, len(objects))
	leftOut := map[string]bool{}
	for _, object := range objects {
		upstream, err := platform.DecodeUpstream(object.Name, object.Spec)
		if err != nil {
			leftOut[object.Name] = true
			if !e.rosterState.leftOut[object.Name] {
				klog.InfoS("upstreams: entry left out", "error", persimlog.ErrorText(err))
			}
			continue
		}
		if !e.deployment.Rollouts {
			upstream.Version, upstream.Cold = "", 0
		}
		spec, err := platform.EncodeUpstream(upstream)
		if err != nil {
			klog.ErrorS(nil, "upstreams: entry not passed on", "id", upstream.ID, "error", persimlog.ErrorText(err))
			continue
		}
		entries = append(entries, platform.Object{Name: object.Name, Spec: spec})
		list = append(list, upstream)
	}
	e.rosterState.leftOut = leftOut
	return entries, list
}

// logRosterChanges logs the upstreams that a list adds, marks as leaving or lacks.
func (e *entry) logRosterChanges(list []persimcatalog.Upstream, source string) {
	wasLeaving := map[persimcatalog.Incarnation]bool{}
	for _, upstreams := range e.roster.Upstreams() {
		for _, upstream := range upstreams {
			wasLeaving[upstream.Incarnation] = upstream.Leaving
		}
	}
	for _, upstream := range list {
		leaving, ok := wasLeaving[upstream.Incarnation]
		if !ok {
			klog.InfoS("upstream came", "id", upstream.ID, "service", upstream.Service, "centre", upstream.Centre,
				"address", upstream.Address, "reclaimable", upstream.Reclaimable, "source", source)
		}
		if upstream.Leaving && !leaving {
			klog.InfoS("upstream leaves", "id", upstream.ID, "service", upstream.Service, "centre", upstream.Centre,
				"reclaimable", upstream.Reclaimable, "source", source)
		}
		delete(wasLeaving, upstream.Incarnation)
	}
	for incarnation := range wasLeaving {
		klog.InfoS("upstream is missing", "id", incarnation.ID, "source", source, "kept", e.rosterState.keptMissing)
	}
}
