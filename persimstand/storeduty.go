package persimstand

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"persimmonport.example/platform"
)

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

// StoreReport is a usage report that the store accepted.
type StoreReport struct {
	Holder string
	Fence  int64
	Window int64
	Counts map[string]int64
}

// Reports returns the accepted usage reports in their order, repeated ones too.
func (s *Store) Reports() []StoreReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reports)
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
		s.serveUsage(w, holder, fence, body)
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

func (s *Store) serveUsage(w http.ResponseWriter, holder string, fence int64, body []byte) {
	window, counts, err := platform.DecodeUsage(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if known, ok := s.usage[window]; ok && !equalCounts(known, counts) {
		s.violations = append(s.violations, "a window was reported twice with other counts")
	}
	s.usage[window] = counts
	s.reports = append(s.reports, StoreReport{Holder: holder, Fence: fence, Window: window, Counts: counts})
	w.WriteHeader(http.StatusOK)
}

func equalCounts(a, b map[string]int64) bool {
	first, errFirst := json.Marshal(a)
	second, errSecond := json.Marshal(b)
	return errFirst == nil && errSecond == nil && string(first) == string(second)
}
