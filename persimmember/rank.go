package persimmember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimwire"
)

type ranked struct {
	row    *persimwire.HostRow
	weight uint64
}

// Rank orders hosts for a key by rendezvous hashing, the preferred host first.
func Rank(key string, hosts []*persimwire.HostRow) []*persimwire.HostRow {
	weighted := make([]ranked, len(hosts))
	for i, row := range hosts {
		weighted[i] = ranked{row, xxhash.Sum64String(key + "\x00" + row.GetName())}
	}
	slices.SortFunc(weighted, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	rows := make([]*persimwire.HostRow, len(hosts))
	for i, w := range weighted {
		rows[i] = w.row
	}
	return rows
}

// ReplicaCandidates orders hosts that may hold a replica: live hosts of other
// data centres first, then live hosts of the owner's.
func ReplicaCandidates(owner *persimwire.HostRow, peers []*persimwire.HostRow) []*persimwire.HostRow {
	var elsewhere, same []*persimwire.HostRow
	for _, row := range Rank(owner.GetName(), peers) {
		if row.GetState() != persimwire.HostState_HOST_STATE_LIVE || row.GetName() == owner.GetName() {
			continue
		}
		if row.GetCentre() == owner.GetCentre() {
			same = append(same, row)
			continue
		}
		elsewhere = append(elsewhere, row)
	}
	return append(elsewhere, same...)
}
