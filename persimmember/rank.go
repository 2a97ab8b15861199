package persimmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimwire"
)

type weightedHost struct {
	row    *persimwire.HostRow
	weight uint64
}

// Rank orders hosts for a key by rendezvous hashing, with the preferred host first.
func Rank(key string, hosts []*persimwire.HostRow) []*persimwire.HostRow {
	weighted := make([]weightedHost, len(hosts))
	for i, row := range hosts {
		weighted[i] = weightedHost{row, xxhash.Sum64String(key + "\x00" + row.GetName())}
	}
	slices.SortFunc(weighted, func(a, b weightedHost) int { return cmp.Compare(b.weight, a.weight) })
	rows := make([]*persimwire.HostRow, len(hosts))
	for i, w := range weighted {
		rows[i] = w.row
	}
	return rows
}

// ReplicaCandidates returns the hosts that may hold the owner's replicas: live hosts
// of other data centres first, then live hosts of the owner's data centre.
func ReplicaCandidates(owner *persimwire.HostRow, peers []*persimwire.HostRow) []*persimwire.HostRow {
	var otherCentres, sameCentre []*persimwire.HostRow
	for _, row := range Rank(owner.GetName(), peers) {
		if row.GetState() != persimwire.HostState_HOST_STATE_LIVE || row.GetName() == owner.GetName() {
			continue
		}
		if row.GetCentre() == owner.GetCentre() {
			sameCentre = append(sameCentre, row)
			continue
		}
		otherCentres = append(otherCentres, row)
	}
	return append(otherCentres, sameCentre...)
}
