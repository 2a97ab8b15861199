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

	"persimmonport.example/persimfront"
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
}

// peer is the state that this host keeps about another host.
type peer struct {
	hostRecord
	lastHeard time.Time
	demand    map[string]persimfront.Demand
	// admitted is the amount that the peer has admitted since its start, by
	// organisation.
	admitted map[string]float64
	// failures counts consecutive exchanges without a reply.
	failures     int
	lastExchange time.Time
	exchanging   bool
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
		if _, held := e.heldFence(); held {
			e.deregisterSilentHosts(ctx, objects)
		}
	})
}

// isListed reports whether the host's own record is in a list.
func (e *entry) isListed(objects []platform.Object) bool {
	return slices.ContainsFunc(objects, func(o platform.Object) bool { return o.Name == e.deployment.Host })
}

// deregisterAfter is the time without a message from a host after which the holder of
// the lease deletes its record. A host that was only cut off registers again.
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
		if p, ok := e.peers[object.Name]; ok && now.Sub(p.lastHeard) > deregisterAfter {
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
	return hostRecord{Address: e.deployment.PeerAddress, Incarnation: e.incarnation, Memory: e.deployment.MemoryBytes}
}

// register writes the record of this host to the store.
func (e *entry) register(ctx context.Context) error {
	spec, err := json.Marshal(e.ownRecord())
	if err != nil {
		return trace.Wrap(err)
	}
	object := platform.Object{Name: e.deployment.Host, Spec: spec}
	existing, err := e.objects.Get(ctx, hostKind, e.deployment.Host)
	if err == nil {
		object.Revision = existing.Revision
	}
	if err != nil && !errors.Is(err, persimplatform.ErrNotFound) {
		return err
	}
	_, err = e.objects.Write(ctx, hostKind, object)
	if err != nil {
		klog.InfoS("hosts: not registered yet", "error", persimlog.ErrorText(err))
	}
	return err
}

// applyHosts replaces the peers by the hosts in a list of records.
func (e *entry) applyHosts(objects []platform.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := map[string]peer{}
	names := make([]string, 0, len(objects))
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
		names = append(names, object.Name)
	}
	e.peers = next
	e.front.SetHosts(names)
}

// addPeer adds a host that starts an exchange before its record was read from the
// store, and replaces the record of a host that has changed.
func (e *entry) addPeer(received *persimwire.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := hostRecord{Address: received.GetAddress(), Incarnation: received.GetIncarnation(), Memory: received.GetMemory()}
	if existing, ok := e.peers[received.GetHost()]; ok && existing.hostRecord == record || record.Address == "" {
		return
	}
	e.peers[received.GetHost()] = peer{hostRecord: record, lastHeard: time.Now()}
	klog.InfoS("host came", "name", received.GetHost(), "address", record.Address, "source", "itself")
	e.front.SetHosts(slices.Collect(maps.Keys(e.peers)))
}

// peerStateTTL is how long the state that a peer reported, such as its demand, is used.
const peerStateTTL = 3 * time.Second
