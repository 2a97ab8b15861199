package persimstand

import (
	"slices"
	"sync"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// Store is a stand-in for the platform's object store and for the API that duties call.
type Store struct {
	// fault returns the faults injected for all callers.
	fault func() Fault

	mu sync.Mutex
	// era is named in each response of the object API; zero names none.
	era persimrevision.Era
	// away is set while a drill keeps the object API from responding.
	away     bool
	revision int64
	kinds    map[string]map[string]platform.Object
	// external holds what the operator and upstreams have stored, by kind and name, and nil for
	// what they have removed.
	external map[string]map[string][]byte
	// history holds the latest changes, oldest first.
	history []change
	// changed is closed on the next change.
	changed    chan struct{}
	faults     map[string]StoreFault
	fences     map[string]int64
	holders    map[fenceUse]string
	usage      map[int64]map[string]int64
	reports    []StoreReport
	violations []string
	orders     []StoreOrder
	calls      map[string]int
}

// StoreOption configures a Store.
type StoreOption func(*Store)

// WithEra sets the first era of the store. A store of era zero names none until a drill.
func WithEra(era persimrevision.Era) StoreOption {
	return func(s *Store) { s.era = era }
}

// NewStore returns an empty store of the first era.
func NewStore(opts ...StoreOption) *Store {
	s := &Store{
		fault:    func() Fault { return Fault{} },
		changed:  make(chan struct{}),
		era:      1,
		revision: 1,
		kinds:    map[string]map[string]platform.Object{},
		external: map[string]map[string][]byte{},
		faults:   map[string]StoreFault{},
		fences:   map[string]int64{},
		holders:  map[fenceUse]string{},
		usage:    map[int64]map[string]int64{},
		calls:    map[string]int{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Put stores a spec unconditionally, as the operator and upstreams do.
func (s *Store) Put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordExternal(kind, name, spec)
	s.put(kind, name, spec)
}

func (s *Store) recordExternal(kind, name string, spec []byte) {
	if s.external[kind] == nil {
		s.external[kind] = map[string][]byte{}
	}
	s.external[kind][name] = spec
}

// PutUpstream stores the registration of an upstream.
func (s *Store) PutUpstream(u persimcatalog.Upstream) error {
	spec, err := platform.EncodeUpstream(u)
	if err != nil {
		return err
	}
	s.Put(platform.UpstreamKind, u.ID, spec)
	return nil
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordExternal(kind, name, nil)
	s.remove(kind, name)
}

// Has reports whether an object exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.kinds[kind][name]
	return ok
}

// Get returns an object, or false if it does not exist.
func (s *Store) Get(kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.kinds[kind][name]
	return object, ok
}

// ForgetHistory drops the changes that watches could still ask for.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.revision++
}

// Violations returns the protocol violations of callers.
func (s *Store) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// CallCount returns the number of calls that a caller has made.
func (s *Store) CallCount(caller string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[caller]
}

// current returns the revision of the last change.
func (s *Store) current() persimrevision.Revision {
	return persimrevision.Revision{Era: s.era, Number: s.revision}
}

func (s *Store) put(kind, name string, spec []byte) platform.Object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]platform.Object{}
	}
	object := platform.Object{Name: name, Revision: s.current(), Spec: spec, Status: s.kinds[kind][name].Status}
	s.kinds[kind][name] = object
	s.recordChange(change{kind: kind, object: object})
	return object
}

// putStatus replaces the status of an object.
func (s *Store) putStatus(kind string, object platform.Object, status []byte) platform.Object {
	s.revision++
	object.Revision, object.Status = s.current(), status
	s.kinds[kind][object.Name] = object
	s.recordChange(change{kind: kind, object: object})
	return object
}

func (s *Store) remove(kind, name string) {
	s.revision++
	delete(s.kinds[kind], name)
	s.recordChange(change{kind: kind, object: platform.Object{Name: name, Revision: s.current()}, removed: true})
}

// read returns the version of an object that was current before the injected lag.
func (s *Store) read(key platform.ObjectKey) (platform.Object, bool) {
	object, ok := s.kinds[key.Kind][key.Name]
	lag := s.fault().ReadLag
	if lag == 0 {
		return object, ok
	}
	for _, c := range slices.Backward(s.history) {
		if c.kind == key.Kind && c.object.Name == key.Name && time.Since(c.changedAt) >= lag {
			return c.object, !c.removed
		}
	}
	return platform.Object{}, false
}
