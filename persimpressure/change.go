package persimpressure

import (
	"time"

	"persimmonport.example/persimcatalog"
)

// ChangeKind is what has changed in what an upstream asks for.
type ChangeKind string

// Kinds of changes.
const (
	ChangeLimit     ChangeKind = "limit"
	ChangeLimitEnd  ChangeKind = "limit ends"
	ChangeLeaving   ChangeKind = "leaving"
	ChangeWait      ChangeKind = "wait"
	ChangeWaitEnd   ChangeKind = "wait ends"
	ChangeMalformed ChangeKind = "malformed"
)

// Change is a change in what an upstream asks for.
type Change struct {
	Kind     ChangeKind
	Upstream persimcatalog.Incarnation
	// Limit is the limit in requests a second, Wait the time without requests.
	Limit float64
	Wait  time.Duration
	// Age is the time since the upstream said so, as far as it is known.
	Age time.Duration
	// Held is set if this host may send requests under the limit at any time.
	Held bool
	// Header is the name of a malformed header.
	Header string
}
