package persimhub

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MeshHosts is the number of hosts up to which every host exchanges with every other,
	// without hubs.
	MeshHosts = 12
	// hubsPerCentre is the number of hubs of a data centre; any host may become one.
	hubsPerCentre = 2
	// failuresToSkip is the number of consecutive failures after which a hub is skipped.
	failuresToSkip = 2
)

// Host is what the choice of hubs depends on.
type Host struct {
	Name   string
	Centre string
	// Memory is the memory of the host's machine, in bytes.
	Memory int64
}

// Topology knows the hosts and chooses the hubs of each data centre: those with most
// memory, since machines with little of it also have slow links, then by the hash of
// their names. It is not safe for concurrent use.
type Topology interface {
	// Set adds a host or replaces what is known of it.
	Set(host Host)
	// Remove removes a host.
	Remove(name string)
	// Count returns the number of hosts.
	Count() int
	// Centre returns the data centre of a host.
	Centre(name string) string
	// Centres returns the names of all data centres in order.
	Centres() []string
	// Hosts returns the names of the hosts of a data centre, the first choice of a hub
	// first.
	Hosts(centre string) []string
	// RecordExchange records whether an exchange with a host succeeded.
	RecordExchange(name string, ok bool)
	// Hubs returns the hubs of a data centre, without those that fail.
	Hubs(centre string) []string
	// FailingHubs returns the hosts that would be hubs of a data centre if they did not
	// fail.
	FailingHubs(centre string) []string
	// IsHub reports whether a host is a hub of its data centre.
	IsHub(name string) bool
	// Rank returns the place of a host among all hubs of all centres, or false if it is
	// none.
	Rank(name string) (int, bool)
}

// ranked is a host with the hash of its name.
type ranked struct {
	Host
	hash     uint64
	failures int
}

type topology struct {
	hosts map[string]*ranked
	// byCentre holds the hosts in the order of choice.
	byCentre map[string][]*ranked
	// hubs holds the chosen hubs of a centre; an entry is missing after a change.
	hubs map[string][]string
}

// NewTopology returns a topology without hosts.
func NewTopology() Topology {
	return &topology{hosts: map[string]*ranked{}, byCentre: map[string][]*ranked{}, hubs: map[string][]string{}}
}

func compareRanked(a, b *ranked) int {
	return cmp.Or(cmp.Compare(b.Memory, a.Memory), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
}

func (t *topology) Set(host Host) {
	if existing, ok := t.hosts[host.Name]; ok {
		if existing.Host == host {
			return
		}
		t.Remove(host.Name)
	}
	added := &ranked{Host: host, hash: xxhash.Sum64String(host.Name)}
	t.hosts[host.Name] = added
	list := t.byCentre[host.Centre]
	at, _ := slices.BinarySearchFunc(list, added, compareRanked)
	t.byCentre[host.Centre] = slices.Insert(list, at, added)
	delete(t.hubs, host.Centre)
}

func (t *topology) Remove(name string) {
	host, ok := t.hosts[name]
	if !ok {
		return
	}
	delete(t.hosts, name)
	list := slices.DeleteFunc(t.byCentre[host.Centre], func(r *ranked) bool { return r == host })
	t.byCentre[host.Centre] = list
	if len(list) == 0 {
		delete(t.byCentre, host.Centre)
	}
	delete(t.hubs, host.Centre)
}

func (t *topology) Count() int { return len(t.hosts) }

func (t *topology) Centre(name string) string {
	if host, ok := t.hosts[name]; ok {
		return host.Centre
	}
	return ""
}

func (t *topology) Centres() []string {
	names := make([]string, 0, len(t.byCentre))
	for name := range t.byCentre {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *topology) Hosts(centre string) []string {
	names := make([]string, 0, len(t.byCentre[centre]))
	for _, host := range t.byCentre[centre] {
		names = append(names, host.Name)
	}
	return names
}

func (t *topology) RecordExchange(name string, ok bool) {
	host, known := t.hosts[name]
	if !known {
		return
	}
	failing := host.failures >= failuresToSkip
	host.failures++
	if ok {
		host.failures = 0
	}
	if failing != (host.failures >= failuresToSkip) {
		delete(t.hubs, host.Centre)
	}
}

func (t *topology) Hubs(centre string) []string {
	if chosen, ok := t.hubs[centre]; ok {
		return chosen
	}
	chosen := make([]string, 0, hubsPerCentre)
	for _, host := range t.byCentre[centre] {
		if len(chosen) < hubsPerCentre && host.failures < failuresToSkip {
			chosen = append(chosen, host.Name)
		}
	}
	t.hubs[centre] = chosen
	return chosen
}

func (t *topology) FailingHubs(centre string) []string {
	var failing []string
	list := t.byCentre[centre]
	for _, host := range list[:min(len(list), hubsPerCentre)] {
		if host.failures >= failuresToSkip {
			failing = append(failing, host.Name)
		}
	}
	return failing
}

func (t *topology) IsHub(name string) bool { return slices.Contains(t.Hubs(t.Centre(name)), name) }

func (t *topology) Rank(name string) (int, bool) {
	rank := 0
	for place := range hubsPerCentre {
		for _, centre := range t.Centres() {
			hubs := t.Hubs(centre)
			if place >= len(hubs) {
				continue
			}
			if hubs[place] == name {
				return rank, true
			}
			rank++
		}
	}
	return 0, false
}
