// Package persimmember keeps what a host knows of the other entry hosts and of
// the upstreams, and merges it with what the others know.
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
	// DefaultDeadAfter is the number of failed exchanges after which a host is dead.
	DefaultDeadAfter = 3
	// DefaultForget is how long a dead or departed entry is remembered.
	DefaultForget = 10 * time.Minute
	// MaxRows is the number of rows of either kind that a table holds.
	MaxRows = 10000
)

type config struct {
	deadAfter int
	forget    time.Duration
}

// An Option changes the configuration of a table.
type Option func(*config)

// WithDeadAfter sets the number of failed exchanges after which a host is dead.
func WithDeadAfter(failures int) Option { return func(c *config) { c.deadAfter = failures } }

// WithForget sets how long a dead or departed entry is remembered.
func WithForget(forget time.Duration) Option { return func(c *config) { c.forget = forget } }

// A Delta is the part of a table that one host sends to another.
type Delta struct {
	Hosts     []*persimwire.HostRow
	Upstreams []*persimwire.UpstreamRow
	// Digest is the hash of the sender's whole table.
	Digest uint64
}

// A Table is the membership known to one host.
type Table interface {
	// Self returns the host's own row.
	Self() *persimwire.HostRow
	// SetSelf changes the state and readiness of the host's own row. Generations are
	// not part of rows, since a change of the catalogue would change all of them.
	SetSelf(state persimwire.HostState, ready bool)
	// Hosts returns the rows of all hosts that are not dead, in the order of names.
	Hosts() []*persimwire.HostRow
	// Peers returns the rows of all other hosts that are not dead.
	Peers() []*persimwire.HostRow
	// Host returns the row of one host.
	Host(name string) (*persimwire.HostRow, bool)
	// Upstreams returns the rows of the upstreams that may get new work.
	Upstreams() []*persimwire.UpstreamRow
	// AllUpstreams returns the rows of all upstreams, departed ones included.
	AllUpstreams() []*persimwire.UpstreamRow
	// Merge joins a delta into the table and reports whether any row changed.
	Merge(delta Delta, now time.Time) bool
	// MergeList joins the platform's list, which may lag, into the table.
	MergeList(hosts []persimplatform.Host, now time.Time)
	// Leave marks an upstream as leaving for good and reports whether that was news.
	Leave(address, incarnation string, now time.Time) bool
	// Since returns the rows changed at or after a time, and the digest.
	Since(changed time.Time) Delta
	// Failed counts a failed exchange and reports whether the host is now dead.
	Failed(name string, now time.Time) bool
	// Succeeded resets the count of failed exchanges.
	Succeeded(name string)
	// Forget removes dead and departed rows that have been unchanged for long.
	Forget(now time.Time)
}

type upstreamKey struct {
	address     string
	incarnation string
}

type hostEntry struct {
	row      *persimwire.HostRow
	changed  time.Time
	failures int
	hash     rowHash
}

type upstreamEntry struct {
	row     *persimwire.UpstreamRow
	changed time.Time
	listed  bool
	hash    rowHash
}

// rowHash remembers the hash of a row; rows are replaced, never changed.
type rowHash struct {
	row proto.Message
	sum uint64
}

func (h *rowHash) of(row proto.Message) uint64 {
	if h.row != row {
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(row)
		h.row = row
		h.sum = xxhash.Sum64(data)
	}
	return h.sum
}

type table struct {
	config
	self string

	mu        sync.Mutex
	hosts     map[string]*hostEntry
	upstreams map[upstreamKey]*upstreamEntry
}

// New returns the table of a host that starts with its own row only.
func New(self *persimwire.HostRow, opts ...Option) Table {
	c := config{deadAfter: DefaultDeadAfter, forget: DefaultForget}
	for _, opt := range opts {
		opt(&c)
	}
	t := &table{
		config:    c,
		self:      self.GetName(),
		hosts:     map[string]*hostEntry{},
		upstreams: map[upstreamKey]*upstreamEntry{},
	}
	t.hosts[t.self] = &hostEntry{row: proto.CloneOf(self)}
	return t
}

func (t *table) Self() *persimwire.HostRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[t.self].row
}

func (t *table) SetSelf(state persimwire.HostState, ready bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.hosts[t.self]
	if e.row.GetState() == state && e.row.GetReady() == ready {
		return
	}
	row := proto.CloneOf(e.row)
	row.State = state
	row.Ready = ready
	row.Revision++
	e.row = row
	e.changed = time.Now()
}

func (t *table) Hosts() []*persimwire.HostRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveHosts(func(*persimwire.HostRow) bool { return true })
}

func (t *table) Peers() []*persimwire.HostRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveHosts(func(row *persimwire.HostRow) bool { return row.GetName() != t.self })
}

func (t *table) liveHosts(keep func(*persimwire.HostRow) bool) []*persimwire.HostRow {
	var rows []*persimwire.HostRow
	for _, e := range t.hosts {
		if e.row.GetState() != persimwire.HostState_HOST_STATE_DEAD && keep(e.row) {
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

func (t *table) Failed(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.hosts[name]
	if !ok {
		return false
	}
	e.failures++
	if e.failures < t.deadAfter || e.row.GetState() == persimwire.HostState_HOST_STATE_DEAD {
		return false
	}
	row := proto.CloneOf(e.row)
	row.State = persimwire.HostState_HOST_STATE_DEAD
	e.row = row
	e.changed = now
	return true
}

func (t *table) Succeeded(name string) {
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
	known, ok := t.hosts[row.GetName()]
	if row.GetName() == t.self {
		return t.refute(known, row, now)
	}
	if !ok {
		if len(t.hosts) >= MaxRows {
			return false
		}
		t.hosts[row.GetName()] = &hostEntry{row: row, changed: now}
		return true
	}
	if !newerHost(row, known.row) {
		return false
	}
	known.row = row
	known.changed = now
	known.failures = 0
	return true
}

// refute raises the host's own incarnation above that of a report of its death.
func (t *table) refute(self *hostEntry, row *persimwire.HostRow, now time.Time) bool {
	older := row.GetIncarnation() < self.row.GetIncarnation()
	if older || row.GetState() != persimwire.HostState_HOST_STATE_DEAD {
		return false
	}
	next := proto.CloneOf(self.row)
	next.Incarnation = row.GetIncarnation() + 1
	next.Revision = 0
	self.row = next
	self.changed = now
	return true
}

func newerHost(row, known *persimwire.HostRow) bool {
	if row.GetIncarnation() != known.GetIncarnation() {
		return row.GetIncarnation() > known.GetIncarnation()
	}
	if (row.GetState() == persimwire.HostState_HOST_STATE_DEAD) != (known.GetState() == persimwire.HostState_HOST_STATE_DEAD) {
		return row.GetState() == persimwire.HostState_HOST_STATE_DEAD
	}
	return row.GetRevision() > known.GetRevision()
}

func (t *table) Since(changed time.Time) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	var delta Delta
	for _, e := range t.hosts {
		if !e.changed.Before(changed) || e.row.GetName() == t.self {
			delta.Hosts = append(delta.Hosts, e.row)
		}
	}
	for _, e := range t.upstreams {
		if !e.changed.Before(changed) {
			delta.Upstreams = append(delta.Upstreams, e.row)
		}
	}
	delta.Digest = t.digest()
	return delta
}

// digest combines the hashes of all rows so that their order does not matter.
func (t *table) digest() uint64 {
	var sum uint64
	for _, e := range t.hosts {
		sum += e.hash.of(e.row)
	}
	for _, e := range t.upstreams {
		sum += e.hash.of(e.row)
	}
	return sum
}

func (t *table) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := now.Add(-t.forget)
	for name, e := range t.hosts {
		dead := e.row.GetState() == persimwire.HostState_HOST_STATE_DEAD
		if dead && e.changed.Before(limit) {
			delete(t.hosts, name)
		}
	}
	for key, e := range t.upstreams {
		departed := e.row.GetState() != persimwire.HostState_HOST_STATE_LIVE
		if departed && !e.listed && e.changed.Before(limit) {
			delete(t.upstreams, key)
		}
	}
}
