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

// StoreFault is a fault that a store injects into the calls of one caller.
type StoreFault int

// Faults of a store. The zero value injects none.
const (
	StoreFaultNone StoreFault = iota
	// StoreFaultUnavailable responds with 503 Service Unavailable.
	StoreFaultUnavailable
	// StoreFaultThrottle responds with 429 Too Many Requests.
	StoreFaultThrottle
	// StoreFaultReset closes the connection without a response.
	StoreFaultReset
	// StoreFaultHang sends no response until the caller gives up.
	StoreFaultHang
	// StoreFaultLoseResponse performs the call and closes the connection without a response.
	StoreFaultLoseResponse
)

// storePageSize is the number of objects in a page of a list. It is small so that
// lists in tests span several pages.
const storePageSize = 5

// Store is a stand-in for the platform's object store and for the API that duties call.
type Store struct {
	// fault returns the faults injected for all callers.
	fault func() Fault

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]platform.Object
	// history holds the latest changes, oldest first.
	history []change
	// changed is closed on the next change.
	changed    chan struct{}
	faults     map[string]StoreFault
	fences     map[string]int64
	holders    map[fenceUse]string
	usage      map[int64]map[string]int64
	violations []string
	orders     []StoreOrder
	calls      map[string]int
}

// maxHistory is the number of changes that a store keeps for watches and lagging reads.
const maxHistory = 1000

type change struct {
	kind      string
	object    platform.Object
	removed   bool
	changedAt time.Time
}

// fenceUse identifies a fencing token used in calls on a path.
type fenceUse struct {
	path  string
	fence int64
}

// StoreOrder is a scaling order that the store accepted.
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
		holders:  map[fenceUse]string{},
		usage:    map[int64]map[string]int64{},
		calls:    map[string]int{},
	}
}

// Handler serves the API to the named caller and applies the fault set for it.
func (s *Store) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.faults[caller]
		s.calls[caller]++
		s.mu.Unlock()
		switch fault {
		case StoreFaultUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case StoreFaultThrottle:
			w.WriteHeader(http.StatusTooManyRequests)
		case StoreFaultReset:
			panic(http.ErrAbortHandler)
		case StoreFaultHang:
			// The server detects the end of the connection only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case StoreFaultLoseResponse:
			s.serve(discardResponse{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			s.serve(w, r)
		}
	})
}

// discardResponse is a response writer that discards the response.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (d discardResponse) WriteHeader(int)             {}

// SetFault sets the fault for the calls of a caller.
func (s *Store) SetFault(caller string, fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = fault
}

// Put stores a spec unconditionally, as the operator and upstreams do.
func (s *Store) Put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
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
	s.remove(kind, name)
}

// Has reports whether an object exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.kinds[kind][name]
	return ok
}

// Usage returns the accepted usage reports by window.
func (s *Store) Usage() map[int64]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[int64]map[string]int64{}
	for window, counts := range s.usage {
		copied[window] = counts
	}
	return copied
}

// Orders returns the accepted scaling orders.
func (s *Store) Orders() []StoreOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
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

func (s *Store) put(kind, name string, spec []byte) platform.Object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]platform.Object{}
	}
	object := platform.Object{Name: name, Revision: s.revision, Spec: spec}
	s.kinds[kind][name] = object
	s.recordChange(change{kind: kind, object: object})
	return object
}

func (s *Store) remove(kind, name string) {
	s.revision++
	delete(s.kinds[kind], name)
	s.recordChange(change{kind: kind, object: platform.Object{Name: name, Revision: s.revision}, removed: true})
}

func (s *Store) recordChange(c change) {
	c.changedAt = time.Now()
	s.history = append(s.history, c)
	s.history = s.history[max(0, len(s.history)-maxHistory):]
	close(s.changed)
	s.changed = make(chan struct{})
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

// serveWatch responds once objects of a kind have changed after a revision, or after
// wait. A silent store responds only after wait.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string, after int64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		changes, complete := s.changesSince(kind, after)
		changed := s.changed
		s.mu.Unlock()
		if !complete {
			w.WriteHeader(http.StatusGone)
			return
		}
		found := len(changes.Objects)+len(changes.Removed) > 0
		if found && !s.fault().Silent {
			data, err := platform.EncodeChanges(changes)
			writeResponse(w, http.StatusOK, data, err)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			data, err := platform.EncodeChanges(platform.Changes{Revision: after})
			writeResponse(w, http.StatusOK, data, err)
			return
		}
	}
}

// changesSince returns the changes of a kind after a revision. It returns false if the
// history no longer reaches back to the revision.
func (s *Store) changesSince(kind string, after int64) (platform.Changes, bool) {
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
	key, ok := platform.DecodeObjectPath(r.URL.Path)
	if after, wait, watches := platform.DecodeWatch(r.URL.Query()); ok && watches {
		s.serveWatch(w, r, key.Kind, after, wait)
		return
	}
	// The response is written without the lock, since a caller may read it slowly.
	buffered := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	s.serveLocked(buffered, r, key, ok, body)
	w.WriteHeader(buffered.status)
	_, _ = w.Write(buffered.body)
}

// bufferedResponse is a response that has not been sent yet.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
}

func (b *bufferedResponse) Header() http.Header    { return b.header }
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }
func (b *bufferedResponse) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

func (s *Store) serveLocked(w http.ResponseWriter, r *http.Request, key platform.ObjectKey, isObject bool, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isObject {
		s.serveDuty(w, r, body)
		return
	}
	switch {
	case r.Method == http.MethodGet && key.Name == "":
		s.serveList(w, key.Kind, platform.DecodeAfter(r.URL.Query()))
	case r.Method == http.MethodGet:
		s.serveGet(w, key)
	case r.Method == http.MethodDelete:
		s.serveDelete(w, key, platform.DecodeRevision(r.URL.Query()))
	default:
		s.servePut(w, key, r.Method == http.MethodPost, body)
	}
}

func (s *Store) serveList(w http.ResponseWriter, kind, after string) {
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := platform.List{Revision: s.revision, More: len(names) > storePageSize}
	for _, name := range names[:min(len(names), storePageSize)] {
		page.Objects = append(page.Objects, s.kinds[kind][name])
	}
	data, err := platform.EncodeList(page)
	writeResponse(w, http.StatusOK, data, err)
}

func (s *Store) serveGet(w http.ResponseWriter, key platform.ObjectKey) {
	object, ok := s.read(key)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data, err := platform.EncodeObject(object)
	writeResponse(w, http.StatusOK, data, err)
}

func (s *Store) serveDelete(w http.ResponseWriter, key platform.ObjectKey, revision int64) {
	object, ok := s.kinds[key.Kind][key.Name]
	if !ok || revision != 0 && revision != object.Revision {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.remove(key.Kind, key.Name)
	w.WriteHeader(http.StatusOK)
}

func (s *Store) servePut(w http.ResponseWriter, key platform.ObjectKey, create bool, body []byte) {
	object, err := platform.DecodeObject(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current, exists := s.kinds[key.Kind][object.Name]
	if create && exists || !create && !exists || object.Revision != 0 && object.Revision != current.Revision {
		data, err := platform.EncodeObject(current)
		writeResponse(w, http.StatusConflict, data, err)
		return
	}
	data, err := platform.EncodeObject(s.put(key.Kind, object.Name, object.Spec))
	writeResponse(w, http.StatusOK, data, err)
}

func writeResponse(w http.ResponseWriter, status int, data []byte, err error) {
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
	if known, ok := s.holders[fenceUse{r.URL.Path, fence}]; ok && known != holder {
		s.violations = append(s.violations, "two hosts used one fencing number")
	}
	s.holders[fenceUse{r.URL.Path, fence}] = holder
	s.fences[r.URL.Path] = fence
	if strings.HasSuffix(r.URL.Path, platform.UsagePath) {
		s.serveUsage(w, body)
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

func (s *Store) serveUsage(w http.ResponseWriter, body []byte) {
	window, counts, err := platform.DecodeUsage(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if known, ok := s.usage[window]; ok && !equalCounts(known, counts) {
		s.violations = append(s.violations, "a window was reported twice with other counts")
	}
	s.usage[window] = counts
	w.WriteHeader(http.StatusOK)
}

func equalCounts(a, b map[string]int64) bool {
	first, errFirst := json.Marshal(a)
	second, errSecond := json.Marshal(b)
	return errFirst == nil && errSecond == nil && string(first) == string(second)
}
