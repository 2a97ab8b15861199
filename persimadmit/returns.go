package persimadmit

import "time"

const (
	// maxReturns is the number of refused requests that are remembered, returnTTL how long.
	maxReturns = 4096
	returnTTL  = 30 * time.Second
)

// Returns remembers the requests that were refused, by hash, so that their callers are known
// when they come back. It is not safe for concurrent use.
type Returns struct {
	refused map[uint64]refusal
	// order holds the hashes in the order of their first refusal, as a ring.
	order []uint64
	next  int
}

type refusal struct {
	at       time.Time
	returnAt time.Time
}

// NewReturns returns Returns that remember nothing.
func NewReturns() *Returns { return &Returns{refused: map[uint64]refusal{}} }

// Refuse remembers that a request was refused and its caller asked to return after a delay.
func (r *Returns) Refuse(now time.Time, request uint64, delay time.Duration) {
	if _, known := r.refused[request]; !known {
		r.remember(request)
	}
	r.refused[request] = refusal{at: now, returnAt: now.Add(delay)}
}

func (r *Returns) remember(request uint64) {
	if len(r.order) < maxReturns {
		r.order = append(r.order, request)
		return
	}
	delete(r.refused, r.order[r.next])
	r.order[r.next] = request
	r.next = (r.next + 1) % maxReturns
}

// Check reports whether the caller of a request was refused before, and how much earlier than
// asked it has come back.
func (r *Returns) Check(now time.Time, request uint64) (early time.Duration, returned bool) {
	known, ok := r.refused[request]
	if !ok || now.Sub(known.at) > returnTTL {
		return 0, false
	}
	return max(0, known.returnAt.Sub(now)), true
}
