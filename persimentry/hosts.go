package persimentry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimhub"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplatform"
	"persimmonport.example/persimwire"
	"persimmonport.example/platform"
)

// Kinds and names of the objects that hosts keep in the store.
const (
	hostKind   = "persimhosts"
	dutyKind   = "persimduties"
	leaseName  = "lease"
	usageName  = "usage"
	secretName = "secret"
)

// hostRecord is a host's registration in the store, from which the other hosts learn
// its address.
type hostRecord struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Memory is the memory of the host's machine, in bytes.
	Memory int64 `json:"memory"`
	// Centre is the host's data centre.
	Centre string `json:"centre"`
}

// peer is the state that this host keeps about another host.
type peer struct {
	hostRecord
	lastHeard time.Time
	demand    map[string]persimfront.Demand
	// failures counts consecutive exchanges without a reply.
	failures     int
	lastExchange time.Time
	exchanging   bool
	// knownReports are the windows whose reported counts the peer knows.
	knownReports map[int64]bool
}

// pollHosts registers this host and reads the records of the other hosts.
func (e *entry) pollHosts(ctx context.Context) {
	store := &dependency{name: "store, hosts"}
	registered := false
	every(ctx, hostListInterval, func(ctx context.Context) {
		if !registered {
			registered = e.register(ctx) == nil
		}
		if registered && !e.shouldListHosts() {
			return
		}
		objects, _, err := e.objects.ListStale(ctx, hostKind)
		store.observe(err)
		if err != nil {
			return
		}
		e.applyHosts(objects)
		registered = registered && e.isListed(objects)
		if e.watchesHosts() {
			e.deregisterSilentHosts(ctx, objects)
		}
	})
}

// watchesHosts reports whether this host deletes the records of silent hosts: the holder
// of the lease does, or in a large deployment each hub for its data centre.
func (e *entry) watchesHosts() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.usesHubs() {
		return e.wasHub && time.Since(e.hubSince) > deregisterAfter
	}
	_, held := e.lease.Held(persimclock.Now())
	return held
}

// isListed reports whether the host's own record is in a list.
func (e *entry) isListed(objects []platform.Object) bool {
	return slices.ContainsFunc(objects, func(o platform.Object) bool { return o.Name == e.deployment.Host })
}

// deregisterAfter is the time without a message from a host after which its record is
// deleted. A host that was only cut off registers again.
const deregisterAfter = 20 * time.Second

// deregisterSilentHosts deletes the records of hosts that were not heard from for
// deregisterAfter, since a share of each quota would stay reserved for them.
func (e *entry) deregisterSilentHosts(ctx context.Context, objects []platform.Object) {
	for _, object := range e.silentHosts(time.Now(), objects) {
		err := e.objects.Delete(ctx, hostKind, object.Name, object.Revision)
		klog.InfoS("host forgotten", "name", object.Name, "error", persimlog.ErrorText(err))
	}
}

// silentHosts returns the records of peers that were not heard from for deregisterAfter.
func (e *entry) silentHosts(now time.Time, objects []platform.Object) []platform.Object {
	e.mu.Lock()
	defer e.mu.Unlock()
	var silent []platform.Object
	for _, object := range objects {
		p, ok := e.peers[object.Name]
		watched := ok && (!e.usesHubs() || p.Centre == e.deployment.Centre)
		if watched && now.Sub(p.lastHeard) > deregisterAfter {
			silent = append(silent, object)
		}
	}
	return silent
}

// listReadersPerInterval is the mean number of hosts that read the host list in one
// interval; up to this number, every host reads it in every interval.
const listReadersPerInterval = 6

// shouldListHosts decides at random whether to read the host list now. New hosts
// announce themselves in exchanges, so in a large deployment each host need not read
// the list often.
func (e *entry) shouldListHosts() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) == 0 || rand.IntN(len(e.peers)+1) < listReadersPerInterval
}

func (e *entry) ownRecord() hostRecord {
	return hostRecord{Address: e.deployment.PeerAddress, Incarnation: e.incarnation, Memory: e.deployment.MemoryBytes, Centre: e.deployment.Centre}
}

// register writes the record of this host to the store, in place of that of an earlier
// start if there is one.
func (e *entry) register(ctx context.Context) error {
	spec, err := json.Marshal(e.ownRecord())
	if err != nil {
		return trace.Wrap(err)
	}
	object := platform.Object{Name: e.deployment.Host, Spec: spec}
	_, err = e.objects.Write(ctx, hostKind, object)
	if errors.Is(err, persimplatform.ErrConflict) {
		err = e.replaceRecord(ctx, object)
	}
	if err != nil {
		klog.InfoS("hosts: not registered yet", "error", persimlog.ErrorText(err))
	}
	return err
}

// replaceRecord replaces the record of an earlier start of this host.
func (e *entry) replaceRecord(ctx context.Context, object platform.Object) error {
	existing, err := e.objects.Get(ctx, hostKind, object.Name)
	if err != nil {
		return err
	}
	object.Revision = existing.Revision
	_, err = e.objects.Write(ctx, hostKind, object)
	return err
}

// applyHosts replaces the peers by the hosts in a list of records.
func (e *entry) applyHosts(objects []platform.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listedAt.IsZero() {
		e.listedAt = time.Now()
	}
	next := map[string]peer{}
	for _, object := range objects {
		var record hostRecord
		if err := json.Unmarshal(object.Spec, &record); err != nil || record.Address == "" {
			klog.InfoS("hosts: entry left out", "name", object.Name, "error", persimlog.ErrorText(err))
			continue
		}
		if object.Name == e.deployment.Host {
			continue
		}
		existing, ok := e.peers[object.Name]
		if !ok || existing.hostRecord != record {
			existing = peer{hostRecord: record, lastHeard: time.Now()}
			klog.InfoS("host came", "name", object.Name, "address", record.Address)
		}
		next[object.Name] = existing
	}
	for name := range e.peers {
		if _, ok := next[name]; !ok {
			klog.InfoS("host left", "name", name)
			e.topology.Remove(name)
		}
	}
	for name, p := range next {
		e.topology.Set(persimhub.Host{Name: name, Centre: p.Centre, Memory: p.Memory})
	}
	e.peers = next
	e.shareHosts()
}

// shareHosts tells the front the other hosts: in a large deployment only their number, apart
// from the names among which limits are divided.
// The counts of single hosts and the sums of hubs replace each other.
func (e *entry) shareHosts() {
	names := slices.Collect(maps.Keys(e.peers))
	e.front.SetHostNames(e.deployment.Host, names)
	usesHubs := e.usesHubs()
	if usesHubs != e.usedHubs {
		e.usedHubs = usesHubs
		e.usage.ForgetRemote()
	}
	if usesHubs {
		e.front.SetHostCount(len(e.peers))
		return
	}
	e.front.SetHosts(names)
}

// addPeer adds a host that starts an exchange before its record was read from the
// store, and replaces the record of a host that has changed.
func (e *entry) addPeer(received *persimwire.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := hostRecord{Address: received.GetAddress(), Incarnation: received.GetIncarnation(), Memory: received.GetMemory(), Centre: received.GetCentre()}
	if existing, ok := e.peers[received.GetHost()]; ok && existing.hostRecord == record || record.Address == "" {
		return
	}
	e.peers[received.GetHost()] = peer{hostRecord: record, lastHeard: time.Now()}
	e.topology.Set(persimhub.Host{Name: received.GetHost(), Centre: record.Centre, Memory: record.Memory})
	klog.InfoS("host came", "name", received.GetHost(), "address", record.Address, "source", "itself")
	e.shareHosts()
}

// peerStateTTL is how long the state that a peer reported, such as its demand, is used.
const peerStateTTL = 3 * time.Second
