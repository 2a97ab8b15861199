package persimmember

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimplatform"
	"persimmonport.example/persimwire"
)

func (t *table) Upstreams() []*persimwire.UpstreamRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.upstreamRows(func(row *persimwire.UpstreamRow) bool {
		return row.GetState() == persimwire.HostState_HOST_STATE_LIVE
	})
}

func (t *table) AllUpstreams() []*persimwire.UpstreamRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.upstreamRows(func(*persimwire.UpstreamRow) bool { return true })
}

func (t *table) upstreamRows(keep func(*persimwire.UpstreamRow) bool) []*persimwire.UpstreamRow {
	var rows []*persimwire.UpstreamRow
	for _, e := range t.upstreams {
		if keep(e.row) {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b *persimwire.UpstreamRow) int {
		return cmp.Or(cmp.Compare(a.GetAddress(), b.GetAddress()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()))
	})
	return rows
}

// mergeUpstream never moves an incarnation back from leaving or dead to live.
func (t *table) mergeUpstream(row *persimwire.UpstreamRow, now time.Time) bool {
	key := upstreamKey{row.GetAddress(), row.GetIncarnation()}
	known, ok := t.upstreams[key]
	if !ok {
		if len(t.upstreams) >= MaxRows {
			return false
		}
		t.upstreams[key] = &upstreamEntry{row: row, changed: now}
		return true
	}
	if row.GetState() <= known.row.GetState() {
		return false
	}
	if known.row.GetGroup() != "" {
		next := proto.CloneOf(known.row)
		next.State = row.GetState()
		row = next
	}
	known.row = row
	known.changed = now
	return true
}

func (t *table) MergeList(hosts []persimplatform.Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[upstreamKey]bool{}
	for _, host := range hosts {
		key := upstreamKey{host.Address, host.Incarnation}
		listed[key] = true
		t.describe(key, host)
		t.mergeUpstream(rowOf(host), now)
	}
	for key, e := range t.upstreams {
		t.markListed(e, listed[key], now)
	}
}

// describe fills in the group of an upstream of which only the departure was known.
func (t *table) describe(key upstreamKey, host persimplatform.Host) {
	known, ok := t.upstreams[key]
	if !ok || known.row.GetGroup() != "" {
		return
	}
	row := rowOf(host)
	row.State = max(row.State, known.row.GetState())
	known.row = row
}

// markListed marks an upstream that was listed and no longer is as dead.
func (t *table) markListed(e *upstreamEntry, listed bool, now time.Time) {
	gone := e.listed && !listed
	e.listed = listed
	if !gone || e.row.GetState() == persimwire.HostState_HOST_STATE_DEAD {
		return
	}
	row := proto.CloneOf(e.row)
	row.State = persimwire.HostState_HOST_STATE_DEAD
	e.row = row
	e.changed = now
}

func rowOf(host persimplatform.Host) *persimwire.UpstreamRow {
	state := persimwire.HostState_HOST_STATE_LIVE
	if host.State == persimplatform.HostLeaving {
		state = persimwire.HostState_HOST_STATE_LEAVING
	}
	return &persimwire.UpstreamRow{
		Address:     host.Address,
		Incarnation: host.Incarnation,
		Group:       host.Group,
		Centre:      host.Centre,
		State:       state,
	}
}

func (t *table) Leave(address, incarnation string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeUpstream(&persimwire.UpstreamRow{
		Address:     address,
		Incarnation: incarnation,
		State:       persimwire.HostState_HOST_STATE_LEAVING,
	}, now)
}
