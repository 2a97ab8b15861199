package persimstand

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/platform"
)

// A StoreFault is what a store does to a call instead of serving it.
type StoreFault int

// Faults of a store.
const (
	StoreServes StoreFault = iota
	// StoreRefuses answers that the store is busy.
	StoreRefuses
	// StoreThrottles answers that the rate is exceeded.
	StoreThrottles
	// StoreResets closes the connection.
	StoreResets
	// StoreIsSilent answers nothing until the caller gives up.
	StoreIsSilent
	// StoreLosesAnswers carries out what it is asked and closes the connection.
	StoreLosesAnswers
)

// storePage is the number of objects in a page of a list; it is small so that
// tests need more than one.
const storePage = 5

// A Store is a stand-in of the platform's store and of the calls of duties.
type Store struct {
	// fault returns the switches that hold for all callers.
	fault func() Fault

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]platform.Object
	// history holds the last changes, the oldest first.
	history []change
	// changed is closed at the next change.
	changed chan struct{}
	faults  map[string]StoreFault
	fences  map[string]int64
	holders map[holding]string
	usage   map[int64]map[string]int64
	broken  []string
	orders  []StoreOrder
	calls   map[string]int
}

// keptChanges is the number of changes for which a store knows what happened.
const keptChanges = 1000

type change struct {
	kind    string
	object  platform.Object
	removed bool
	at      time.Time
}

// A holding is a fencing number that was used in calls on a path.
type holding struct {
	path  string
	fence int64
}

// A StoreOrder is an order for upstreams that the stand-in took.
type StoreOrder struct {
	Holder      string
	Fence       int64
	Service     string
	Centre      string
	Count       int
	Reclaimable bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		fault:    func() Fault { return Fault{} },
		changed:  make(chan struct{}),
		revision: 1,
		kinds:    map[string]map[string]platform.Object{},
		faults:   map[string]StoreFault{},
		fences:   map[string]int64{},
		holders:  map[holding]string{},
		usage:    map[int64]map[string]int64{},
		calls:    map[string]int{},
	}
}

// Handler serves a caller under a name, for which faults can be set.
func (s *Store) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.faults[caller]
		s.calls[caller]++
		s.mu.Unlock()
		switch fault {
		case StoreRefuses:
			w.WriteHeader(http.StatusServiceUnavailable)
		case StoreThrottles:
			w.WriteHeader(http.StatusTooManyRequests)
		case StoreResets:
			panic(http.ErrAbortHandler)
		case StoreIsSilent:
			// The end of the connection is noticed only once the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case StoreLosesAnswers:
			s.serve(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			s.serve(w, r)
		}
	})
}

// discard is an answer that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// SetFault sets what the store does to a caller.
func (s *Store) SetFault(caller string, fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = fault
}

// Put stores a spec without a condition, as the operator and upstreams do.
func (s *Store) Put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// PutUpstream stores the entry of an upstream.
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
	s.drop(kind, name)
}

// Has reports whether an object exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.kinds[kind][name]
	return ok
}

// Usage returns the reports that were taken, by window.
func (s *Store) Usage() map[int64]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[int64]map[string]int64{}
	for window, counts := range s.usage {
		copied[window] = counts
	}
	return copied
}

// Orders returns the orders that were taken.
func (s *Store) Orders() []StoreOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// Broken returns what callers did that they must not do.
func (s *Store) Broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.broken)
}

// Calls returns the number of calls of a caller.
func (s *Store) Calls(caller string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[caller]
}

func (s *Store) put(kind, name string, spec []byte) platform.Object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]platform.Object{}
	}
	object := platform.Object{Name: name, Revision: s.revision, Spec: spec}
	s.kinds[kind][name] = object
	s.record(change{kind: kind, object: object})
	return object
}

func (s *Store) drop(kind, name string) {
	s.revision++
	delete(s.kinds[kind], name)
	s.record(change{kind: kind, object: platform.Object{Name: name, Revision: s.revision}, removed: true})
}

func (s *Store) record(c change) {
	c.at = time.Now()
	s.history = append(s.history, c)
	s.history = s.history[max(0, len(s.history)-keptChanges):]
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns an object as a reader sees it, which may lag.
func (s *Store) read(place platform.ObjectKey) (platform.Object, bool) {
	object, ok := s.kinds[place.Kind][place.Name]
	lag := s.fault().Lag
	if lag == 0 {
		return object, ok
	}
	for _, c := range slices.Backward(s.history) {
		if c.kind == place.Kind && c.object.Name == place.Name && time.Since(c.at) >= lag {
			return c.object, !c.removed
		}
	}
	return platform.Object{}, false
}

// watch answers once objects of a kind have changed after a revision.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, after int64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		changes, known := s.since(kind, after)
		changed := s.changed
		s.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		news := len(changes.Objects)+len(changes.Removed) > 0
		if news && !s.fault().Silent {
			data, err := platform.EncodeChanges(changes)
			reply(w, http.StatusOK, data, err)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			data, err := platform.EncodeChanges(platform.Changes{Revision: after})
			reply(w, http.StatusOK, data, err)
			return
		}
	}
}

// since returns the changes of a kind after a revision, and whether they are known.
func (s *Store) since(kind string, after int64) (platform.Changes, bool) {
	if after < s.revision && (len(s.history) == 0 || s.history[0].object.Revision > after+1) {
		return platform.Changes{}, false
	}
	changes := platform.Changes{Revision: s.revision}
	for _, c := range s.history {
		switch {
		case c.kind != kind || c.object.Revision <= after:
		case c.removed:
			changes.Removed = append(changes.Removed, c.object.Name)
		default:
			changes.Objects = append(changes.Objects, c.object)
		}
	}
	return changes, true
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	place, ok := platform.DecodeObjectPath(r.URL.Path)
	if after, wait, watches := platform.DecodeWatch(r.URL.Query()); ok && watches {
		s.watch(w, r, place.Kind, after, wait)
		return
	}
	// The answer is written without the lock, since a caller may read it late.
	held := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	s.serveLocked(held, r, place, ok, body)
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body)
}

// A heldAnswer is an answer that is not written yet.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (a *heldAnswer) Header() http.Header    { return a.header }
func (a *heldAnswer) WriteHeader(status int) { a.status = status }
func (a *heldAnswer) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

func (s *Store) serveLocked(w http.ResponseWriter, r *http.Request, place platform.ObjectKey, isObject bool, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isObject {
		s.serveDuty(w, r, body)
		return
	}
	switch {
	case r.Method == http.MethodGet && place.Name == "":
		s.list(w, place.Kind, platform.DecodeAfter(r.URL.Query()))
	case r.Method == http.MethodGet:
		s.get(w, place)
	case r.Method == http.MethodDelete:
		s.remove(w, place, platform.DecodeRevision(r.URL.Query()))
	default:
		s.write(w, place, r.Method == http.MethodPost, body)
	}
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := platform.List{Revision: s.revision, More: len(names) > storePage}
	for _, name := range names[:min(len(names), storePage)] {
		page.Objects = append(page.Objects, s.kinds[kind][name])
	}
	data, err := platform.EncodeList(page)
	reply(w, http.StatusOK, data, err)
}

func (s *Store) get(w http.ResponseWriter, place platform.ObjectKey) {
	object, ok := s.read(place)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data, err := platform.EncodeObject(object)
	reply(w, http.StatusOK, data, err)
}

func (s *Store) remove(w http.ResponseWriter, place platform.ObjectKey, revision int64) {
	object, ok := s.kinds[place.Kind][place.Name]
	if !ok || revision != 0 && revision != object.Revision {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.drop(place.Kind, place.Name)
	w.WriteHeader(http.StatusOK)
}

func (s *Store) write(w http.ResponseWriter, place platform.ObjectKey, create bool, body []byte) {
	object, err := platform.DecodeObject(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	known, exists := s.kinds[place.Kind][object.Name]
	if create && exists || !create && !exists || object.Revision != 0 && object.Revision != known.Revision {
		data, err := platform.EncodeObject(known)
		reply(w, http.StatusConflict, data, err)
		return
	}
	data, err := platform.EncodeObject(s.put(place.Kind, object.Name, object.Spec))
	reply(w, http.StatusOK, data, err)
}

func reply(w http.ResponseWriter, status int, data []byte, err error) {
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) serveDuty(w http.ResponseWriter, r *http.Request, body []byte) {
	holder, fence, err := platform.DecodeFence(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if fence < s.fences[r.URL.Path] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if known, ok := s.holders[holding{r.URL.Path, fence}]; ok && known != holder {
		s.broken = append(s.broken, "two hosts used one fencing number")
	}
	s.holders[holding{r.URL.Path, fence}] = holder
	s.fences[r.URL.Path] = fence
	if strings.HasSuffix(r.URL.Path, platform.UsagePath) {
		s.takeUsage(w, body)
		return
	}
	order := StoreOrder{Holder: holder, Fence: fence}
	order.Service, order.Centre, order.Count, order.Reclaimable, err = platform.DecodeScale(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.orders = append(s.orders, order)
	w.WriteHeader(http.StatusOK)
}

func (s *Store) takeUsage(w http.ResponseWriter, body []byte) {
	window, counts, err := platform.DecodeUsage(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if known, ok := s.usage[window]; ok && !sameCounts(known, counts) {
		s.broken = append(s.broken, "a window was reported twice with other counts")
	}
	s.usage[window] = counts
	w.WriteHeader(http.StatusOK)
}

func sameCounts(a, b map[string]int64) bool {
	first, errFirst := json.Marshal(a)
	second, errSecond := json.Marshal(b)
	return errFirst == nil && errSecond == nil && string(first) == string(second)
}
