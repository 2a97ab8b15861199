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

func (t *table) upstreamRows(include func(*persimwire.UpstreamRow) bool) []*persimwire.UpstreamRow {
	var rows []*persimwire.UpstreamRow
	for _, e := range t.upstreams {
		if include(e.row) {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b *persimwire.UpstreamRow) int {
		return cmp.Or(cmp.Compare(a.GetAddress(), b.GetAddress()), cmp.Compare(a.GetIncarnation(), b.GetIncarnation()))
	})
	return rows
}

// mergeUpstream merges a row into the upstreams and reports whether it changed any.
// The state of an incarnation never moves back, such as from leaving or dead to live.
func (t *table) mergeUpstream(row *persimwire.UpstreamRow, now time.Time) bool {
	key := upstreamKey{row.GetAddress(), row.GetIncarnation()}
	existing, ok := t.upstreams[key]
	if !ok {
		if len(t.upstreams) >= MaxRows {
			return false
		}
		t.upstreams[key] = &upstreamEntry{row: row, changedAt: now}
		return true
	}
	if row.GetState() <= existing.row.GetState() {
		return false
	}
	if existing.row.GetGroup() != "" {
		next := proto.CloneOf(existing.row)
		next.State = row.GetState()
		row = next
	}
	existing.row = row
	existing.changedAt = now
	return true
}

func (t *table) MergePlatformHosts(hosts []persimplatform.Host, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[upstreamKey]bool{}
	for _, host := range hosts {
		key := upstreamKey{host.Address, host.Incarnation}
		listed[key] = true
		t.fillDetails(key, host)
		t.mergeUpstream(upstreamRow(host), now)
	}
	for key, e := range t.upstreams {
		t.updateListed(e, listed[key], now)
	}
}

// fillDetails completes the row of an upstream that so far holds only its departure,
// without its group.
func (t *table) fillDetails(key upstreamKey, host persimplatform.Host) {
	existing, ok := t.upstreams[key]
	if !ok || existing.row.GetGroup() != "" {
		return
	}
	row := upstreamRow(host)
	row.State = max(row.State, existing.row.GetState())
	existing.row = row
}

// updateListed marks an upstream dead when the platform no longer lists it.
func (t *table) updateListed(e *upstreamEntry, listed bool, now time.Time) {
	removed := e.listed && !listed
	e.listed = listed
	if !removed || e.row.GetState() == persimwire.HostState_HOST_STATE_DEAD {
		return
	}
	row := proto.CloneOf(e.row)
	row.State = persimwire.HostState_HOST_STATE_DEAD
	e.row = row
	e.changedAt = now
}

func upstreamRow(host persimplatform.Host) *persimwire.UpstreamRow {
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

func (t *table) MarkLeaving(address, incarnation string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeUpstream(&persimwire.UpstreamRow{
		Address:     address,
		Incarnation: incarnation,
		State:       persimwire.HostState_HOST_STATE_LEAVING,
	}, now)
}
