// Package persimmember implements the membership table of an entry host: the known
// entry hosts and upstreams, merged with the tables of the other hosts by gossip.
package persimmember

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimplatform"
	"persimmonport.example/persimwire"
)

// Defaults of a table.
const (
	// DefaultFailureThreshold is the number of consecutive failed exchanges after
	// which a host is marked dead.
	DefaultFailureThreshold = 3
	// DefaultDeadRetention is how long the row of a dead or departed host or upstream
	// is kept.
	DefaultDeadRetention = 10 * time.Minute
	// MaxRows is the maximum number of host rows and of upstream rows in a table.
	MaxRows = 10000
)

type config struct {
	failureThreshold int
	deadRetention    time.Duration
}

// Option configures a table.
type Option func(*config)

// WithFailureThreshold sets the number of consecutive failed exchanges after which a
// host is marked dead.
func WithFailureThreshold(failures int) Option {
	return func(c *config) { c.failureThreshold = failures }
}

// WithDeadRetention sets how long the row of a dead or departed host or upstream is
// kept.
func WithDeadRetention(retention time.Duration) Option {
	return func(c *config) { c.deadRetention = retention }
}

// Delta is the part of a table that one host sends to another.
type Delta struct {
	Hosts     []*persimwire.HostRow
	Upstreams []*persimwire.UpstreamRow
	// Digest is a hash of the sender's whole table.
	Digest uint64
}

// Table is the membership as known to one host.
type Table interface {
	// Self returns the host's own row.
	Self() *persimwire.HostRow
	// SetSelf sets the state and readiness in the host's own row. Rows do not hold the
	// catalogue's generation, since each change of the catalogue would change all rows.
	SetSelf(state persimwire.HostState, ready bool)
	// Hosts returns the rows of all hosts that are not dead, sorted by name.
	Hosts() []*persimwire.HostRow
	// Peers returns the rows of all other hosts that are not dead, sorted by name.
	Peers() []*persimwire.HostRow
	// Host returns the row of one host.
	Host(name string) (*persimwire.HostRow, bool)
	// Upstreams returns the rows of the live upstreams, which may get new work.
	Upstreams() []*persimwire.UpstreamRow
	// AllUpstreams returns the rows of all upstreams, including departed ones.
	AllUpstreams() []*persimwire.UpstreamRow
	// Merge merges a delta into the table and reports whether any row changed.
	Merge(delta Delta, now time.Time) bool
	// MergePlatformHosts merges the platform's list of hosts, which may be stale, into the
	// upstreams of the table.
	MergePlatformHosts(hosts []persimplatform.Host, now time.Time)
	// MarkLeaving marks an incarnation of an upstream as leaving, which is permanent, and
	// reports whether the row changed.
	MarkLeaving(address, incarnation string, now time.Time) bool
	// ChangedSince returns the host's own row, the rows changed at or after a time and the
	// digest.
	ChangedSince(since time.Time) Delta
	// RecordFailure counts a failed exchange and reports whether it marked the host dead.
	RecordFailure(name string, now time.Time) bool
	// RecordSuccess resets a host's count of failed exchanges.
	RecordSuccess(name string)
	// RemoveDeparted removes dead and departed rows that have not changed during the retention.
	RemoveDeparted(now time.Time)
}

type upstreamKey struct {
	address     string
	incarnation string
}

type hostEntry struct {
	row        *persimwire.HostRow
	changedAt  time.Time
	failures   int
	cachedHash rowHash
}

type upstreamEntry struct {
	row       *persimwire.UpstreamRow
	changedAt time.Time
	// listed reports whether the platform's latest list names the upstream.
	listed     bool
	cachedHash rowHash
}

// rowHash caches the hash of a row. The row's pointer is the cache key, since rows are
// replaced and never modified.
type rowHash struct {
	row   proto.Message
	value uint64
}

func (h *rowHash) hash(row proto.Message) uint64 {
	if h.row != row {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(row)
		h.row = row
		h.value = xxhash.Sum64(data)
	}
	return h.value
}

type table struct {
	config
	selfName string

	mu        sync.Mutex
	hosts     map[string]*hostEntry
	upstreams map[upstreamKey]*upstreamEntry
}

// New returns the table of a host, with the host's own row only.
func New(self *persimwire.HostRow, opts ...Option) Table {
	c := config{failureThreshold: DefaultFailureThreshold, deadRetention: DefaultDeadRetention}
	for _, opt := range opts {
		opt(&c)
	}
	t := &table{
		config:    c,
		selfName:  self.GetName(),
		hosts:     map[string]*hostEntry{},
		upstreams: map[upstreamKey]*upstreamEntry{},
	}
	t.hosts[t.selfName] = &hostEntry{row: proto.CloneOf(self)}
	return t
}

func (t *table) Self() *persimwire.HostRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[t.selfName].row
}

func (t *table) SetSelf(state persimwire.HostState, ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[t.selfName]
	if e.row.GetState() == state && e.row.GetReady() == ready {
		return
	}
	row := proto.CloneOf(e.row)
	row.State = state
	row.Ready = ready
	row.Revision++
	e.row = row
	e.changedAt = time.Now()
}

func (t *table) Hosts() []*persimwire.HostRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveHosts(func(*persimwire.HostRow) bool { return true })
}

func (t *table) Peers() []*persimwire.HostRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveHosts(func(row *persimwire.HostRow) bool { return row.GetName() != t.selfName })
}

func (t *table) liveHosts(include func(*persimwire.HostRow) bool) []*persimwire.HostRow {
	var rows []*persimwire.HostRow
	for _, e := range t.hosts {
		if e.row.GetState() != persimwire.HostState_HOST_STATE_DEAD && include(e.row) {
			rows = append(rows, e.row)
		}
	}
	slices.SortFunc(rows, func(a, b *persimwire.HostRow) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return rows
}

func (t *table) Host(name string) (*persimwire.HostRow, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.hosts[name]
	if !ok {
		return nil, false
	}
	return e.row, true
}

func (t *table) RecordFailure(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.hosts[name]
	if !ok {
		return false
	}
	e.failures++
	if e.failures < t.failureThreshold || e.row.GetState() == persimwire.HostState_HOST_STATE_DEAD {
		return false
	}
	row := proto.CloneOf(e.row)
	row.State = persimwire.HostState_HOST_STATE_DEAD
	e.row = row
	e.changedAt = now
	return true
}

func (t *table) RecordSuccess(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.hosts[name]; ok {
		e.failures = 0
	}
}

func (t *table) Merge(delta Delta, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, row := range delta.Hosts {
		changed = t.mergeHost(row, now) || changed
	}
	for _, row := range delta.Upstreams {
		changed = t.mergeUpstream(row, now) || changed
	}
	return changed
}

func (t *table) mergeHost(row *persimwire.HostRow, now time.Time) bool {
	if row.GetName() == "" {
		return false
	}
	existing, ok := t.hosts[row.GetName()]
	if row.GetName() == t.selfName {
		return t.refute(existing, row, now)
	}
	if !ok {
		if len(t.hosts) >= MaxRows {
			return false
		}
		t.hosts[row.GetName()] = &hostEntry{row: row, changedAt: now}
		return true
	}
	if !supersedes(row, existing.row) {
		return false
	}
	existing.row = row
	existing.changedAt = now
	existing.failures = 0
	return true
}

// refute answers a report of the host's own death with a higher incarnation.
func (t *table) refute(self *hostEntry, row *persimwire.HostRow, now time.Time) bool {
	older := row.GetIncarnation() < self.row.GetIncarnation()
	if older || row.GetState() != persimwire.HostState_HOST_STATE_DEAD {
		return false
	}
	next := proto.CloneOf(self.row)
	next.Incarnation = row.GetIncarnation() + 1
	next.Revision = 0
	self.row = next
	self.changedAt = now
	return true
}

// supersedes orders rows of one host by incarnation, then by death, then by revision.
func supersedes(row, existing *persimwire.HostRow) bool {
	if row.GetIncarnation() != existing.GetIncarnation() {
		return row.GetIncarnation() > existing.GetIncarnation()
	}
	if (row.GetState() == persimwire.HostState_HOST_STATE_DEAD) != (existing.GetState() == persimwire.HostState_HOST_STATE_DEAD) {
		return row.GetState() == persimwire.HostState_HOST_STATE_DEAD
	}
	return row.GetRevision() > existing.GetRevision()
}

func (t *table) ChangedSince(since time.Time) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	var delta Delta
	for _, e := range t.hosts {
		if !e.changedAt.Before(since) || e.row.GetName() == t.selfName {
			delta.Hosts = append(delta.Hosts, e.row)
		}
	}
	for _, e := range t.upstreams {
		if !e.changedAt.Before(since) {
			delta.Upstreams = append(delta.Upstreams, e.row)
		}
	}
	delta.Digest = t.digest()
	return delta
}

// digest sums the hashes of all rows, so that it does not depend on their order.
func (t *table) digest() uint64 {
	var sum uint64
	for _, e := range t.hosts {
		sum += e.cachedHash.hash(e.row)
	}
	for _, e := range t.upstreams {
		sum += e.cachedHash.hash(e.row)
	}
	return sum
}

func (t *table) RemoveDeparted(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cutoff := now.Add(-t.deadRetention)
	for name, e := range t.hosts {
		dead := e.row.GetState() == persimwire.HostState_HOST_STATE_DEAD
		if dead && e.changedAt.Before(cutoff) {
			delete(t.hosts, name)
		}
	}
	for key, e := range t.upstreams {
		departed := e.row.GetState() != persimwire.HostState_HOST_STATE_LIVE
		if departed && !e.listed && e.changedAt.Before(cutoff) {
			delete(t.upstreams, key)
		}
	}
}
