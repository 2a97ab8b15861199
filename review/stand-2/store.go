package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

// store is a stand-in for the platform's metadata store and its cloud API.
type store struct {
	record *record

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	fences   map[string]int64
	// down lets the store answer nothing but 503.
	down bool
	// onCall, if set, may answer a call in place of the store. It returns true if it did.
	onCall func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// onUsage is called with each accepted usage report.
	onUsage func(holder string, fence int64, body []byte)
}

func newStore(rec *record) *store {
	return &store{record: rec, revision: 100, kinds: map[string]map[string]object{}, fences: map[string]int64{}}
}

// listen serves the store on a free loopback port and returns its address.
func (s *store) listen() (string, func(), error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

// put writes an object as the operator or a worker does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data, nil)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.kinds[kind], name)
}

func (s *store) putLocked(kind, name string, spec, status json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	current, exists := s.kinds[kind][name]
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec, Status: status}
	if exists {
		o.Metadata.Created = current.Metadata.Created
	}
	s.kinds[kind][name] = o
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	down, onCall := s.down, s.onCall
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if onCall != nil && onCall(w, r, body) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	if rest, ok := strings.CutPrefix(r.URL.Path, "/objects/"); ok {
		s.serveObjects(w, r, rest, body)
		return
	}
	s.serveDuty(w, r, body)
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveObjects(w http.ResponseWriter, r *http.Request, path string, body []byte) {
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	query := r.URL.Query()
	if wait, err := strconv.Atoi(query.Get("wait_ms")); err == nil && query.Get("watch") != "" {
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusGone, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.Unmarshal(body, &sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if condition, err := strconv.ParseInt(query.Get("revision"), 10, 64); err == nil {
		sent.Metadata.Revision = condition
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	current, exists := s.kinds[kind][name]
	conflict := exists && sent.Metadata.Revision != 0 && sent.Metadata.Revision != current.Metadata.Revision
	switch {
	case r.Method == http.MethodGet && name == "":
		names := []string{}
		for n := range s.kinds[kind] {
			if n > query.Get("after") {
				names = append(names, n)
			}
		}
		slices.Sort(names)
		items := []object{}
		for _, n := range names {
			items = append(items, s.kinds[kind][n])
		}
		reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
	case r.Method == http.MethodGet && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, current)
	case r.Method == http.MethodPost && exists, conflict:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.putLocked(kind, name, sent.Spec, nil))
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPut && isStatus:
		reply(w, http.StatusOK, s.putLocked(kind, name, current.Spec, sent.Status))
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.putLocked(kind, name, sent.Spec, current.Status))
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.kinds[kind], name)
		reply(w, http.StatusOK, current)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// serveDuty serves the calls that are the duty of one machine at a time.
func (s *store) serveDuty(w http.ResponseWriter, r *http.Request, body []byte) {
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status := http.StatusOK
	if fence < s.fences[r.URL.Path] {
		status = http.StatusConflict
	} else {
		s.fences[r.URL.Path] = fence
	}
	s.record.printf("cloud %s by %s token %d: %d %s", r.URL.Path, holder, fence, status, body)
	if status == http.StatusOK && r.URL.Path == "/usage" && s.onUsage != nil {
		s.onUsage(holder, fence, body)
	}
	w.WriteHeader(status)
}
