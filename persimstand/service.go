package persimstand

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"persimmonport.example/persimupstream"
)

// ExecutedCall is a call that a service has run.
type ExecutedCall struct {
	Method string `json:"method"`
	Key    string `json:"key"`
	Body   string `json:"body"`
	Fence  uint64 `json:"fence"`
}

// Service is a stand-in for a plain service, such as one that takes orders and reports stock.
// It records every call that it runs.
type Service struct {
	incarnation string
	checkFence  bool
	faults      *faults

	mu       sync.Mutex
	executed []ExecutedCall
	fence    uint64
}

// NewService returns a service. With checkFence, it rejects calls whose fencing token is
// lower than one already seen.
func NewService(incarnation string, checkFence bool) *Service {
	return &Service{incarnation: incarnation, checkFence: checkFence, faults: newFaults()}
}

// SetFault replaces the injected faults.
func (s *Service) SetFault(fault Fault) { s.faults.Set(fault) }

// ExecutedCalls returns the calls that have run, in order.
func (s *Service) ExecutedCalls() []ExecutedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ExecutedCall{}, s.executed...)
}

// Handler serves the API of the service and fault injection.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call/{method}", s.serveCall)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.ExecutedCalls()) })
	mux.HandleFunc("POST /fault", s.faults.handler(func() { os.Exit(1) }))
	return repeatAttempt(mux)
}

// repeatAttempt repeats the id of each request in its response.
func repeatAttempt(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(persimupstream.HeaderAttempt); id != "" {
			w.Header().Set(persimupstream.HeaderAttempt, id)
		}
		next.ServeHTTP(w, r)
	})
}

const serviceSlots = 32

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, persimupstream.LoadReport{Slots: serviceSlots, Incarnation: s.incarnation})
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(persimupstream.HeaderIncarnation, s.incarnation)
	if s.faults.consumeRefusal() {
		w.Header().Set(persimupstream.HeaderNotRun, "true")
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get(persimupstream.HeaderFence), 10, 64)
	number, ok := s.record(ExecutedCall{
		Method: r.PathValue("method"),
		Key:    r.Header.Get(persimupstream.HeaderIdempotencyKey),
		Body:   string(body),
		Fence:  fence,
	})
	if !ok {
		w.Header().Set(persimupstream.HeaderNotRun, "true")
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	time.Sleep(s.faults.Get().Delay)
	if s.faults.Get().Silent {
		<-r.Context().Done()
		abortConnection()
	}
	if s.faults.consumeResponseLoss() {
		abortConnection()
	}
	_, _ = fmt.Fprintf(w, `{"run":%d,"method":%q}`, number, r.PathValue("method"))
}

// record keeps a call as executed and returns its number, or false if its fencing token
// is rejected.
func (s *Service) record(call ExecutedCall) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checkFence && call.Fence > 0 && call.Fence < s.fence {
		return 0, false
	}
	s.fence = max(s.fence, call.Fence)
	s.executed = append(s.executed, call)
	return len(s.executed), true
}
