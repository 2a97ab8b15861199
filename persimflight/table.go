package persimflight

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"persimmonport.example/persimwire"
)

// DefaultLimit is half the maximum number of requests in a table, which leaves room
// for as many replicas as owned requests.
const DefaultLimit = 20000

type config struct {
	limit  int
	notify func(holder string)
}

// Option configures a table.
type Option func(*config)

// WithLimit sets half the maximum number of requests in a table, which leaves room for
// as many replicas as owned requests.
func WithLimit(limit int) Option { return func(c *config) { c.limit = limit } }

// WithNotify sets a function that is called when there are changes to send to a
// replica holder. It must not block.
func WithNotify(notify func(holder string)) Option {
	return func(c *config) { c.notify = notify }
}

// Table holds the requests and replicas of one host.
type Table interface {
	// Add makes the host the owner of a new request. It returns the existing request
	// and false when the host already owns one with the same key, and ErrFull when
	// the table is full.
	Add(state *persimwire.Flight, replica string) (f *Flight, added bool, err error)
	// Drop removes a request that was never accepted.
	Drop(id string)
	// Get returns a request in any role of the host, or ErrUnknown.
	Get(id string) (*Flight, error)
	// FindKey returns a request with the key, if any, ignoring the request with the
	// identifier except.
	FindKey(key []byte, except string) (*Flight, bool)
	// Collect returns the changes that a replica holder lacks.
	Collect(holder string, now time.Time) Update
	// Confirm records that the holder has applied an update, except for the rejections.
	Confirm(update Update, rejections []*persimwire.Rejection, holder string)
	// Requeue queues the flights of an update that may not have arrived for sending again.
	Requeue(update Update)
	// ApplyUpdate applies an owner's update to the replicas and returns the rejections.
	ApplyUpdate(request *persimwire.ReplicateRequest, now time.Time) []*persimwire.Rejection
	// AcceptHandover makes the host the owner of a request that another host hands over.
	AcceptHandover(state *persimwire.Flight, now time.Time) (*Flight, error)
	// Promote makes the host the owner of a request of which it holds a replica.
	Promote(id string) (*Flight, bool)
	// MarkMoved records that another host owns a request.
	MarkMoved(id, host string)
	// BeginHandover stops a request for its handover to another host and returns its exact
	// state. It returns false when the host does not own the request.
	BeginHandover(id, host string, now time.Time) (*persimwire.Flight, bool)
	// CancelHandover makes the host the owner of a request again after a failed handover.
	CancelHandover(id string) (*Flight, bool)
	// Owned returns the requests that the host owns, finished ones included.
	Owned() []*Flight
	// UnderReplicated returns the owned requests without a replica on a live host.
	UnderReplicated(alive func(host string) bool) []*Flight
	// Acknowledge ends the retention of a finished answer.
	Acknowledge(id string)
	// Evict removes requests whose retention has ended.
	Evict(now time.Time)
	// Counts returns the number of owned requests and of replicas.
	Counts() (owned, replicas int)
}

type table struct {
	config
	host string

	mu      sync.Mutex
	flights map[string]*Flight
	byKey   map[string]*Flight

	dirtyMu sync.Mutex
	dirty   map[string]map[*Flight]struct{}
}

// New returns the empty table of a host.
func New(host string, opts ...Option) Table {
	c := config{limit: DefaultLimit, notify: func(string) {}}
	for _, opt := range opts {
		opt(&c)
	}
	return &table{
		config:  c,
		host:    host,
		flights: map[string]*Flight{},
		byKey:   map[string]*Flight{},
		dirty:   map[string]map[*Flight]struct{}{},
	}
}

func (t *table) Add(state *persimwire.Flight, replica string) (*Flight, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.flights) >= 2*t.limit {
		return nil, false, trace.Wrap(ErrFull)
	}
	if existing, ok := t.byKey[string(state.GetKey())]; ok {
		if role, _ := existing.Role(); role == RoleOwner {
			return existing, false, nil
		}
	}
	state.Owner = t.host
	state.Path = append(state.Path, t.host)
	f := newFlight(state, RoleOwner, t, time.Now())
	t.insert(f)
	f.SetReplica(replica)
	return f, true, nil
}

func (t *table) Drop(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, ok := t.flights[id]; ok {
		t.remove(id, f)
	}
}

func (t *table) insert(f *Flight) {
	t.flights[f.id] = f
	if f.key != "" && f.role == RoleOwner {
		t.byKey[f.key] = f
	}
}

func (t *table) remove(id string, f *Flight) {
	delete(t.flights, id)
	if t.byKey[f.key] == f {
		delete(t.byKey, f.key)
	}
}

func (t *table) Get(id string) (*Flight, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.flights[id]
	if !ok {
		return nil, trace.Wrap(ErrUnknown)
	}
	return f, nil
}

func (t *table) FindKey(key []byte, except string) (*Flight, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, f := range t.flights {
		if f.key == string(key) && id != except {
			return f, true
		}
	}
	return nil, false
}

func (t *table) sortedFlights() []*Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	flights := make([]*Flight, 0, len(t.flights))
	for _, f := range t.flights {
		flights = append(flights, f)
	}
	slices.SortFunc(flights, func(a, b *Flight) int { return cmp.Compare(a.ID(), b.ID()) })
	return flights
}

func (t *table) Promote(id string) (*Flight, bool) {
	f, err := t.Get(id)
	if err != nil {
		return nil, false
	}
	return f, f.promote(t.host)
}

func (t *table) MarkMoved(id, host string) {
	if f, err := t.Get(id); err == nil {
		f.markMoved(host)
	}
}

func (t *table) AcceptHandover(state *persimwire.Flight, now time.Time) (*Flight, error) {
	cause := t.applyState(state, now)
	if cause == persimwire.RejectionCause_REJECTION_CAUSE_FULL {
		return nil, trace.Wrap(ErrFull)
	}
	f, err := t.Get(state.GetId())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if cause == persimwire.RejectionCause_REJECTION_CAUSE_OWNED {
		return f, nil
	}
	f.promote(t.host)
	return f, nil
}

func (t *table) BeginHandover(id, host string, now time.Time) (*persimwire.Flight, bool) {
	f, err := t.Get(id)
	if err != nil {
		return nil, false
	}
	return f.beginHandover(host, now)
}

func (t *table) CancelHandover(id string) (*Flight, bool) {
	f, err := t.Get(id)
	if err != nil {
		return nil, false
	}
	return f, f.cancelHandover(t.host)
}

func (t *table) Owned() []*Flight {
	return slices.DeleteFunc(t.sortedFlights(), func(f *Flight) bool {
		role, _ := f.Role()
		return role != RoleOwner
	})
}

func (t *table) UnderReplicated(alive func(host string) bool) []*Flight {
	return slices.DeleteFunc(t.Owned(), func(f *Flight) bool {
		replica := f.Replica()
		return replica != "" && alive(replica)
	})
}

func (t *table) Counts() (owned, replicas int) {
	for _, f := range t.sortedFlights() {
		switch role, _ := f.Role(); role {
		case RoleOwner:
			owned++
		case RoleReplica:
			replicas++
		case RoleMoved:
		}
	}
	return owned, replicas
}
