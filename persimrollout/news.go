package persimrollout

import "time"

// News is the state of a rollout as hosts tell it to each other.
type News struct {
	Order
	Phase Phase
	// Fence is the fencing token of the lease holder that decided, Sequence the number of its
	// announcement.
	Fence, Sequence int64
	// Elapsed is the time from the order to the announcement, Age the time since then.
	Elapsed, Age time.Duration
	// Rate is the number of requests of the service at all hosts in a second, or zero if it is
	// not known.
	Rate float64
	// Closed are the versions that take no requests.
	Closed []string
}
