package persimpressure

import "time"

// LimitState tells what a response says of the upstream's limit.
type LimitState int

// States of a limit in a response.
const (
	// LimitUnknown means that the response says nothing that can be used: the limit is
	// malformed, or the response may be an answer to another request.
	LimitUnknown LimitState = iota
	// LimitAbsent means that the upstream names no limit, which ends an earlier one.
	LimitAbsent
	// LimitNamed means that the upstream names a limit.
	LimitNamed
)

// Signals are what an upstream asks for in one response.
type Signals struct {
	LimitState LimitState
	// Limit is the number of requests that the upstream takes from all hosts together in a
	// second, where it names one.
	Limit float64
	// Leaving is set if the upstream takes no more requests.
	Leaving bool
	// Wait is how long the upstream takes no request from this host, or zero.
	Wait time.Duration
	// Malformed lists the names of headers that could not be read.
	Malformed []string
}

// WithoutEnd returns the signals of a response that must not end what the upstream asks for,
// since it may be an answer to another request.
func (s Signals) WithoutEnd() Signals {
	if s.LimitState == LimitAbsent {
		s.LimitState = LimitUnknown
	}
	return s
}
