// Package persimstand holds small stand-ins of the outside systems: the
// platform, a model engine and a plain service. They exist for tests, the demo
// and benchmarks.
package persimstand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// A Fault is a set of switches that make a stand-in misbehave.
type Fault struct {
	// Refuse answers the next calls as not served.
	Refuse int `json:"refuse"`
	// Down answers every call as not served.
	Down bool `json:"down"`
	// Lose performs the next writes or calls and then cuts the connection.
	Lose int `json:"lose"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay_ns"`
	// Slow multiplies the time of each token.
	Slow float64 `json:"slow"`
	// Silent keeps connections open that are in use and sends nothing more on them.
	Silent bool `json:"silent"`
	// Cut ends each stream after this many tokens, before its end marker.
	Cut int `json:"cut"`
	// Lag makes reads of objects return the version that was current this long ago.
	Lag time.Duration `json:"lag_ns"`
	// Die ends the process.
	Die bool `json:"die"`
}

// faults holds the switches in force.
type faults struct {
	mu      sync.Mutex
	current Fault
	silence chan struct{}
}

func newFaults() *faults { return &faults{silence: make(chan struct{})} }

// Set replaces the switches.
func (f *faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = fault
}

// Get returns the switches.
func (f *faults) Get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// takeRefusal reports whether this call is to be refused.
func (f *faults) takeRefusal() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Down {
		return true
	}
	if f.current.Refuse == 0 {
		return false
	}
	f.current.Refuse--
	return true
}

// takeLoss reports whether the answer of this call is to be lost.
func (f *faults) takeLoss() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Lose == 0 {
		return false
	}
	f.current.Lose--
	return true
}

// handler serves POST /fault, which replaces the switches.
func (f *faults) handler(die func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.Set(fault)
		if fault.Die && die != nil {
			die()
		}
	}
}

// cut breaks the connection without an answer.
func cut() {
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
