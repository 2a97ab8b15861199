package persimstand

import (
	"io"
	"maps"
	"net/http"
	"slices"

	"persimmonport.example/platform"
)

// storePageSize is the number of objects in a page of a list. It is small so that
// lists in tests span several pages.
const storePageSize = 5

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
	maps.Copy(w.Header(), buffered.header)
	w.WriteHeader(buffered.status)
	_, _ = w.Write(buffered.body)
}

// setEra names the era in a response of the object API.
func (s *Store) setEra(w http.ResponseWriter) {
	if s.era > 0 {
		platform.SetEra(w.Header(), s.era)
	}
}

// bufferedResponse is a response that has not been sent yet.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
}

func (b *bufferedResponse) Header() http.Header { return b.header }

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
	if s.away {
		panic(http.ErrAbortHandler)
	}
	s.setEra(w)
	switch {
	case r.Method == http.MethodGet && key.Name == "":
		s.serveList(w, key.Kind, platform.DecodeAfter(r.URL.Query()))
	case r.Method == http.MethodGet:
		s.serveGet(w, key)
	case r.Method == http.MethodDelete:
		s.serveDelete(w, key, platform.DecodeRevision(r.URL.Query()))
	case r.Method == http.MethodPut && isStatus(r):
		s.serveStatus(w, r, body)
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
	page := platform.List{Revision: s.current(), More: len(names) > storePageSize}
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
	if !ok || revision != 0 && revision != object.Revision.Number {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.remove(key.Kind, key.Name)
	w.WriteHeader(http.StatusOK)
}

func (s *Store) servePut(w http.ResponseWriter, key platform.ObjectKey, create bool, body []byte) {
	object, err := platform.DecodeObject(s.era, body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current, exists := s.kinds[key.Kind][object.Name]
	if create && exists || !create && !exists || object.Revision.Number != 0 && object.Revision.Number != current.Revision.Number {
		data, err := platform.EncodeObject(current)
		writeResponse(w, http.StatusConflict, data, err)
		return
	}
	data, err := platform.EncodeObject(s.put(key.Kind, object.Name, object.Spec))
	writeResponse(w, http.StatusOK, data, err)
}

func isStatus(r *http.Request) bool {
	_, ok := platform.DecodeStatusPath(r.URL.Path)
	return ok
}

func (s *Store) serveStatus(w http.ResponseWriter, r *http.Request, body []byte) {
	key, _ := platform.DecodeStatusPath(r.URL.Path)
	update, err := platform.DecodeObject(s.era, body)
	current, exists := s.kinds[key.Kind][key.Name]
	switch {
	case err != nil || update.Name != key.Name:
		w.WriteHeader(http.StatusBadRequest)
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case update.Revision.Number != current.Revision.Number:
		data, err := platform.EncodeObject(current)
		writeResponse(w, http.StatusConflict, data, err)
	default:
		data, err := platform.EncodeObject(s.putStatus(key.Kind, current, update.Status))
		writeResponse(w, http.StatusOK, data, err)
	}
}

func writeResponse(w http.ResponseWriter, status int, data []byte, err error) {
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
