package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Name     string
	Revision int64
	Created  int64
	Spec     json.RawMessage
	Status   json.RawMessage
}

// change is an event of a watch.
type change struct {
	revision int64
	kind     string
	object   object
	removed  bool
}

// store is the platform's metadata store of PROTOCOL.md.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []change
	changed  chan struct{}
	era      int64
	// away is set while every connection is closed without a response.
	away bool
	// onWrite is called with each write of the system that was carried out.
	onWrite func(kind string, o object)
}

func newStore() *store {
	return &store{revision: 1, era: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// copyOf is the content of the store at a moment.
type copyOf struct {
	at       time.Time
	revision int64
	kinds    map[string]map[string]object
	history  []change
}

func (s *store) snapshot() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOf{at: time.Now(), revision: s.revision, kinds: map[string]map[string]object{}}
	for kind, objects := range s.kinds {
		c.kinds[kind] = map[string]object{}
		for name, o := range objects {
			c.kinds[kind][name] = o
		}
	}
	c.history = append(c.history, s.history...)
	return c
}

// restore replaces the content by that of a copy, whose revisions are given out again, and
// begins a new era.
func (s *store) restore(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.kinds, s.history = c.revision, c.kinds, c.history
	s.era++
	s.wake()
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put stores a spec unconditionally, as the operator and the workers do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data, s.kinds[kind][name].Status)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	o.Revision = s.revision
	s.history = append(s.history, change{revision: s.revision, kind: kind, object: o, removed: true})
	s.wake()
}

// get returns an object.
func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

func (s *store) write(kind, name string, spec, status json.RawMessage) object {
	old, existed := s.kinds[kind][name]
	if existed && string(old.Spec) == string(spec) && string(old.Status) == string(status) {
		return old
	}
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o := object{Name: name, Revision: s.revision, Created: s.revision, Spec: spec, Status: status}
	if existed {
		o.Created = old.Created
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, change{revision: s.revision, kind: kind, object: o})
	s.wake()
	return o
}

func (o object) wire() map[string]any {
	w := map[string]any{
		"metadata": map[string]any{"name": o.Name, "revision": o.Revision, "created": o.Created, "finalizers": []string{}, "deleting": false},
		"spec":     o.Spec,
	}
	if len(o.Status) > 0 {
		w["status"] = o.Status
	}
	return w
}

type body struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	if !strings.HasPrefix(r.URL.Path, "/objects/") || len(parts) > 3 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, status := parts[0], "", len(parts) == 3 && parts[2] == "status"
	if len(parts) > 1 {
		name = parts[1]
	}
	query := r.URL.Query()
	if r.Method == http.MethodGet && name == "" && query.Has("watch") {
		s.watch(w, r, kind, query, era)
		return
	}
	var in body
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	code, answer := s.call(r.Method, kind, name, status, in, query)
	reply(w, code, answer)
}

func reply(w http.ResponseWriter, code int, answer any) {
	if answer == nil {
		w.WriteHeader(code)
		return
	}
	data, err := json.Marshal(answer)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

func (s *store) call(method, kind, name string, status bool, in body, query url.Values) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "" && method == http.MethodGet {
		return http.StatusOK, s.list(kind, query.Get("after"))
	}
	if name == "" {
		name = in.Metadata.Name
	}
	condition := in.Metadata.Revision
	if value := query.Get("revision"); value != "" {
		condition, _ = strconv.ParseInt(value, 10, 64)
	}
	current, exists := s.kinds[kind][name]
	switch {
	case name == "":
		return http.StatusBadRequest, nil
	case method == http.MethodPost && exists:
		return http.StatusConflict, current.wire()
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case method == http.MethodGet:
		return http.StatusOK, current.wire()
	case exists && condition != 0 && condition != current.Revision:
		return http.StatusConflict, current.wire()
	case method == http.MethodDelete:
		s.removeLocked(kind, name)
		return http.StatusOK, map[string]any{}
	}
	spec, newStatus := in.Spec, current.Status
	if status {
		spec, newStatus = current.Spec, in.Status
	}
	o := s.write(kind, name, spec, newStatus)
	if s.onWrite != nil {
		s.onWrite(kind, o)
	}
	return http.StatusOK, o.wire()
}

func (s *store) list(kind, after string) any {
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []any{}
	for _, name := range names {
		items = append(items, s.kinds[kind][name].wire())
	}
	return map[string]any{"items": items, "has_more": more, "as_of": s.revision}
}

// watch answers with the events of a kind after a revision as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, query url.Values, era int64) {
	after, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		changed, revision := s.changed, s.revision
		events := []any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object.wire(), "tombstone": c.removed})
			}
		}
		s.mu.Unlock()
		if after > revision {
			reply(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
	}
}
