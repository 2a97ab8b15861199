package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store and for its cloud API.
type store struct {
	record *record

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
	fences   map[string]int64
	usage    map[int64]string
	// fault decides for each call whether it is answered; it may be nil.
	fault func(machine string, r *http.Request) faultKind
}

type faultKind int

const (
	faultNone faultKind = iota
	faultSilent
	faultBusy
)

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

func newStore(r *record) *store {
	return &store{record: r, revision: 1, kinds: map[string]map[string]*object{}, fences: map[string]int64{}, usage: map[int64]string{}}
}

// put stores a spec without a condition, as the operator and workers do.
func (s *store) put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, data).Metadata.Revision
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) *object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	existing, ok := s.kinds[kind][name]
	if ok && string(existing.Spec) == string(spec) {
		return existing
	}
	s.revision++
	created := s.revision
	if ok {
		created = existing.Metadata.Created
	}
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	s.kinds[kind][name] = o
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.kinds[kind][name]; ok {
		s.revision++
		delete(s.kinds[kind], name)
	}
}

// handler serves the calls of one machine.
func (s *store) handler(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(4 * time.Millisecond)
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		if fault != nil {
			switch fault(machine, r) {
			case faultSilent:
				<-r.Context().Done()
				return
			case faultBusy:
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			case faultNone:
			}
		}
		s.mu.Lock()
		status, answer := s.serve(r, body)
		s.mu.Unlock()
		data, err := json.Marshal(answer)
		must(err)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(data)
	})
}

type listAnswer struct {
	Items   []*object `json:"items"`
	HasMore bool      `json:"has_more"`
	AsOf    int64     `json:"as_of"`
}

// pageSize is the number of objects in one page of a list.
const pageSize = 500

func (s *store) serve(r *http.Request, body []byte) (int, any) {
	switch r.URL.Path {
	case "/usage", "/scale":
		return s.serveDuty(r, body)
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		return http.StatusNotFound, nil
	}
	kind, name, _ := strings.Cut(rest, "/")
	var sent object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		if o, ok := s.kinds[kind][name]; ok {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	case r.Method == http.MethodPost && name == "":
		if o, ok := s.kinds[kind][sent.Metadata.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.putLocked(kind, sent.Metadata.Name, sent.Spec)
	}
	o, ok := s.kinds[kind][name]
	if !ok {
		return http.StatusNotFound, nil
	}
	revision := sent.Metadata.Revision
	if asked := r.URL.Query().Get("revision"); asked != "" {
		revision, _ = strconv.ParseInt(asked, 10, 64)
	}
	if revision != 0 && revision != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	switch r.Method {
	case http.MethodPut:
		return http.StatusOK, s.putLocked(kind, name, sent.Spec)
	case http.MethodDelete:
		s.revision++
		delete(s.kinds[kind], name)
		return http.StatusOK, o
	}
	return http.StatusBadRequest, nil
}

func (s *store) list(kind, after string) listAnswer {
	answer := listAnswer{Items: []*object{}, AsOf: s.revision}
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) > pageSize {
		names, answer.HasMore = names[:pageSize], true
	}
	for _, name := range names {
		answer.Items = append(answer.Items, s.kinds[kind][name])
	}
	return answer
}

// serveDuty checks the fencing token of a call and keeps the usage reports.
func (s *store) serveDuty(r *http.Request, body []byte) (int, any) {
	fence, _ := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	var call struct {
		Window  int64            `json:"window"`
		Counts  map[string]int64 `json:"counts"`
		Service string           `json:"service"`
		Zone    string           `json:"zone"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return http.StatusBadRequest, nil
	}
	subject := r.URL.Path + call.Service + "/" + call.Zone
	if fence < s.fences[subject] {
		return http.StatusConflict, nil
	}
	s.fences[subject] = fence
	s.record.line("duty %s by %s fence %d: %s", r.URL.Path, r.Header.Get("X-Duty-Holder"), fence, body)
	return http.StatusOK, nil
}

func must(err error) {
	if err != nil {
		panic(fmt.Sprint("the case could not run: ", err))
	}
}
