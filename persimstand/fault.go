// Package persimstand provides small stand-ins for the external systems in tests,
// the demo and benchmarks: the platform, a model engine and a plain service.
package persimstand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault is the set of faults that are injected into a stand-in.
type Fault struct {
	// RefuseCalls is the number of subsequent calls that fail without being run.
	RefuseCalls int `json:"refuse"`
	// Down makes every call fail without being run.
	Down bool `json:"down"`
	// LoseResponses is the number of subsequent writes or calls that are run but whose
	// connection is closed without a response.
	LoseResponses int `json:"lose"`
	// Delay is added to the duration of each call.
	Delay time.Duration `json:"delay_ns"`
	// SlowFactor is the factor by which the time for prefill and for each token is
	// multiplied, or zero for none.
	SlowFactor float64 `json:"slow"`
	// Silent keeps connections in use open but sends nothing more on them.
	Silent bool `json:"silent"`
	// CutAfterTokens closes the connection of each stream after this many tokens, before
	// the end marker.
	CutAfterTokens int `json:"cut"`
	// ReadLag makes reads of objects return the version that was current this long ago.
	ReadLag time.Duration `json:"lag_ns"`
	// Exit ends the process.
	Exit bool `json:"die"`
}

// faults holds the faults that are currently injected.
type faults struct {
	mu      sync.Mutex
	current Fault
	silence chan struct{}
}

func newFaults() *faults { return &faults{silence: make(chan struct{})} }

// Set replaces the injected faults.
func (f *faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = fault
}

// Get returns the injected faults.
func (f *faults) Get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// consumeRefusal reports whether this call must be refused, and counts it.
func (f *faults) consumeRefusal() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Down {
		return true
	}
	if f.current.RefuseCalls == 0 {
		return false
	}
	f.current.RefuseCalls--
	return true
}

// consumeResponseLoss reports whether the response of this call must be dropped, and
// counts it.
func (f *faults) consumeResponseLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseResponses == 0 {
		return false
	}
	f.current.LoseResponses--
	return true
}

// handler serves POST /fault, which replaces the injected faults. It calls exit, if
// that is not nil, for a fault that ends the process.
func (f *faults) handler(exit func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Set(fault)
		if fault.Exit && exit != nil {
			exit()
		}
	}
}

// abortConnection closes the connection without a response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
