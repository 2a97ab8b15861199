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
	"persimmonport.example/platform"
)

// rawCatalogue is the configuration as stored, for hosts that cannot read it.
type rawCatalogue struct {
	version int64
	spec    []byte
}

func (e *entry) followCatalogue(ctx context.Context) {
	store := &dependency{name: "store, configuration"}
	every(ctx, freshTick, func(ctx context.Context) {
		if age, known := e.front.Age(); !known || age >= e.pollAge(e.deployment.Bounds.Apply) {
			store.note(e.readCatalogue(ctx))
		}
	})
}

func (e *entry) readCatalogue(ctx context.Context) error {
	asked := persimclock.Now()
	object, err := e.objects.Get(ctx, platform.ConfigKind, platform.ConfigName)
	if err != nil {
		return err
	}
	return e.applyCatalogue(object.Spec, asked, "store")
}

// applyCatalogue takes over a configuration that was the newest one at an instant.
func (e *entry) applyCatalogue(spec []byte, confirmed persimclock.Instant, source string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if bytes.Equal(spec, e.raw.spec) {
		e.front.Confirm(confirmed)
		return nil
	}
	catalogue, err := platform.DecodeCatalogue(spec)
	if err != nil {
		klog.ErrorS(nil, "configuration: not applied", "source", source, "error", persimlog.Cause(err))
		return nil
	}
	if catalogue.Version() < e.raw.version {
		klog.InfoS("configuration: an older one is left out", "version", catalogue.Version(), "known", e.raw.version)
		return nil
	}
	e.raw = rawCatalogue{version: catalogue.Version(), spec: bytes.Clone(spec)}
	e.front.SetCatalogue(catalogue)
	e.front.Confirm(confirmed)
	klog.InfoS("configuration applied", "version", catalogue.Version(), "source", source)
	return nil
}

// rosterState tells how current the list of upstreams is.
type rosterState struct {
	revision  int64
	confirmed persimclock.Instant
	// known is when a list came first.
	known   time.Time
	objects []platform.Object
	digest  uint64
	// returned is when the list could be read again after no host could read it.
	returned persimclock.Instant
}

// lapseGrace is how long after the store's return missing upstreams are still
// used; they register again within two seconds.
const lapseGrace = 2500 * time.Millisecond

// lapseAfter is the time without a list, here or at other hosts, after which
// entries may have lapsed: upstreams renew them every 1.2 s.
const lapseAfter = 2 * time.Second

func (e *entry) followRoster(ctx context.Context) {
	store := &dependency{name: "store, upstreams"}
	every(ctx, freshTick, func(ctx context.Context) {
		if e.rosterAge() < e.pollAge(e.deployment.Bounds.Drain) {
			return
		}
		asked := persimclock.Now()
		objects, revision, err := e.objects.List(ctx, platform.UpstreamKind)
		store.note(err)
		if err == nil {
			e.applyRoster(objects, revision, asked, "store")
		}
	})
}

func (e *entry) rosterAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return persimclock.Now().Sub(e.rosterAt.confirmed)
}

// digest returns a number that tells the contents of lists apart.
func digest(objects []platform.Object) uint64 {
	sum := fnv.New64a()
	for _, object := range objects {
		_, _ = sum.Write([]byte(object.Name))
		_, _ = sum.Write(object.Spec)
	}
	return sum.Sum64()
}

// confirmRoster records that the list of upstreams was the newest one at an instant.
func (e *entry) confirmRoster(confirmed persimclock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rosterAt.confirmed = max(e.rosterAt.confirmed, confirmed)
}

// applyRoster takes over a list of upstreams that was the newest one at an instant.
func (e *entry) applyRoster(objects []platform.Object, revision int64, confirmed persimclock.Instant, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if confirmed < e.rosterAt.confirmed || revision < e.rosterAt.revision {
		return
	}
	if e.rosterAt.confirmed != 0 && confirmed.Sub(e.rosterAt.confirmed) > lapseAfter {
		e.rosterAt.returned = confirmed
	}
	if e.rosterAt.known.IsZero() {
		e.rosterAt.known = time.Now()
	}
	e.rosterAt.revision = revision
	e.rosterAt.confirmed = confirmed
	e.rosterAt.objects = objects
	e.rosterAt.digest = digest(objects)
	list := make([]persimcatalog.Upstream, 0, len(objects))
	for _, object := range objects {
		upstream, err := platform.DecodeUpstream(object.Name, object.Spec)
		if err != nil {
			klog.V(1).InfoS("upstreams: entry left out", "error", persimlog.Cause(err))
			continue
		}
		list = append(list, upstream)
	}
	keep := persimclock.Now().Sub(e.rosterAt.returned) < lapseGrace && e.rosterAt.returned != 0
	e.logRoster(list, source)
	e.roster.Apply(list, keep)
	e.front.SetUpstreams(e.roster.Upstreams())
}

// logRoster tells which upstreams come, leave and go.
func (e *entry) logRoster(list []persimcatalog.Upstream, source string) {
	known := map[persimcatalog.Incarnation]bool{}
	for _, upstreams := range e.roster.Upstreams() {
		for _, upstream := range upstreams {
			known[upstream.Incarnation] = upstream.Leaving
		}
	}
	for _, upstream := range list {
		leaving, ok := known[upstream.Incarnation]
		if !ok {
			klog.InfoS("upstream came", "id", upstream.ID, "service", upstream.Service, "centre", upstream.Centre,
				"address", upstream.Address, "reclaimable", upstream.Reclaimable, "source", source)
		}
		if upstream.Leaving && !leaving {
			klog.InfoS("upstream leaves", "id", upstream.ID, "service", upstream.Service, "centre", upstream.Centre,
				"reclaimable", upstream.Reclaimable, "source", source)
		}
		delete(known, upstream.Incarnation)
	}
	for incarnation := range known {
		klog.InfoS("upstream is missing", "id", incarnation.ID, "source", source)
	}
}
