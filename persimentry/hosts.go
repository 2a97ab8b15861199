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

// A hostEntry tells the other hosts where a host is.
type hostEntry struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Memory is the size of the host's machine, in bytes.
	Memory int64 `json:"memory"`
}

// A peer is another host.
type peer struct {
	hostEntry
	heard  time.Time
	demand map[string]persimfront.Demand
	// admitted is what the host admitted since its start, by organisation.
	admitted map[string]float64
	// fails counts asks in a row without an answer.
	fails int
	asked time.Time
	busy  bool
}

// followHosts registers the host and follows the entries of the others.
func (e *entry) followHosts(ctx context.Context) {
	store := &dependency{name: "store, hosts"}
	registered := false
	every(ctx, hostsInterval, func(ctx context.Context) {
		if !registered {
			registered = e.register(ctx) == nil
		}
		if registered && !e.listsHosts() {
			return
		}
		objects, _, err := e.objects.ListStale(ctx, hostKind)
		store.note(err)
		if err != nil {
			return
		}
		e.applyHosts(objects)
		registered = registered && e.listed(objects)
		if _, held := e.held(); held {
			e.forgetHosts(ctx, objects)
		}
	})
}

// listed reports whether the host's own entry is in a list.
func (e *entry) listed(objects []platform.Object) bool {
	return slices.ContainsFunc(objects, func(o platform.Object) bool { return o.Name == e.deployment.Host })
}

// forgetAfter is the time after which the entry of a host that nobody hears is
// removed; one that was only cut off registers again.
const forgetAfter = 20 * time.Second

// forgetHosts removes the entries of hosts that were not heard for long, for which
// a part of each quota would stay set aside.
func (e *entry) forgetHosts(ctx context.Context, objects []platform.Object) {
	for _, object := range e.silentHosts(time.Now(), objects) {
		err := e.objects.Delete(ctx, hostKind, object.Name, object.Revision)
		klog.InfoS("host forgotten", "name", object.Name, "error", persimlog.Cause(err))
	}
}

func (e *entry) silentHosts(now time.Time, objects []platform.Object) []platform.Object {
	e.mu.Lock()
	defer e.mu.Unlock()
	var silent []platform.Object
	for _, object := range objects {
		if p, ok := e.peers[object.Name]; ok && now.Sub(p.heard) > forgetAfter {
			silent = append(silent, object)
		}
	}
	return silent
}

// freeLists is the number of hosts up to which each reads the list in each interval.
const freeLists = 6

// listsHosts draws whether to read the list now. New hosts make themselves known,
// so many hosts need not read it often.
func (e *entry) listsHosts() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) == 0 || rand.IntN(len(e.peers)+1) < freeLists
}

func (e *entry) ownEntry() hostEntry {
	return hostEntry{Address: e.deployment.Peers, Incarnation: e.incarnation, Memory: e.deployment.MemoryBytes}
}

func (e *entry) register(ctx context.Context) error {
	spec, err := json.Marshal(e.ownEntry())
	if err != nil {
		return trace.Wrap(err)
	}
	object := platform.Object{Name: e.deployment.Host, Spec: spec}
	known, err := e.objects.Get(ctx, hostKind, e.deployment.Host)
	if err == nil {
		object.Revision = known.Revision
	}
	if err != nil && !errors.Is(err, persimplatform.ErrNotFound) {
		return err
	}
	_, err = e.objects.Write(ctx, hostKind, object)
	if err != nil {
		klog.InfoS("hosts: not registered yet", "error", persimlog.Cause(err))
	}
	return err
}

func (e *entry) applyHosts(objects []platform.Object) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := map[string]peer{}
	names := make([]string, 0, len(objects))
	for _, object := range objects {
		var told hostEntry
		if err := json.Unmarshal(object.Spec, &told); err != nil || told.Address == "" {
			klog.InfoS("hosts: entry left out", "name", object.Name, "error", persimlog.Cause(err))
			continue
		}
		if object.Name == e.deployment.Host {
			continue
		}
		known, ok := e.peers[object.Name]
		if !ok || known.hostEntry != told {
			known = peer{hostEntry: told, heard: time.Now()}
			klog.InfoS("host came", "name", object.Name, "address", told.Address)
		}
		next[object.Name] = known
		names = append(names, object.Name)
	}
	e.peers = next
	e.front.SetHosts(names)
}

// meet takes a host that asks before its entry was read as one of the others.
func (e *entry) meet(told *persimwire.Exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := hostEntry{Address: told.GetAddress(), Incarnation: told.GetIncarnation(), Memory: told.GetMemory()}
	if known, ok := e.peers[told.GetHost()]; ok && known.hostEntry == entry || entry.Address == "" {
		return
	}
	e.peers[told.GetHost()] = peer{hostEntry: entry, heard: time.Now()}
	klog.InfoS("host came", "name", told.GetHost(), "address", entry.Address, "source", "itself")
	e.front.SetHosts(slices.Collect(maps.Keys(e.peers)))
}

// peerForgotten is the time after which what a host said of its demand no longer counts.
const peerForgotten = 3 * time.Second
