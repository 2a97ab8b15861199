package persimstand

import (
	"io"
	"net/http"

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

// SetFault sets the fault for the calls of a caller.
func (s *Store) SetFault(caller string, fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = fault
}

// Handler serves the API to the named caller and applies the fault set for it.
func (s *Store) Handler(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.faults[caller]
		s.calls[caller]++
		if _, isObject := platform.DecodeObjectPath(r.URL.Path); isObject {
			s.setEra(w)
		}
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

func (d discardResponse) Header() http.Header { return d.header }

func (d discardResponse) Write(p []byte) (int, error) { return len(p), nil }

func (d discardResponse) WriteHeader(int) {}
