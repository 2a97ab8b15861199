package persimhub

import (
	"time"

	"persimmonport.example/persimduty"
)

// Follower follows what the hubs of its data centre tell a host about all others. It is
// not safe for concurrent use.
type Follower interface {
	// Observe records what a hub told.
	Observe(now time.Time, others Sum)
	// Admitted returns the cost that all others have admitted, which never falls.
	Admitted() Totals
	// Windows returns the counts of all others, by usage window.
	Windows() map[int64]persimduty.Counts
	// Busy returns the number of upstreams that the work of all others keeps busy, or
	// nothing if no hub has told it lately.
	Busy(now time.Time) map[string]float64
}

type hubFollower struct {
	admitted  *follower
	windows   map[int64]persimduty.Counts
	busy      map[string]float64
	updatedAt time.Time
}

// NewFollower returns a Follower that has heard of no hub.
func NewFollower() Follower {
	return &hubFollower{admitted: newFollower(), windows: map[int64]persimduty.Counts{}}
}

func (f *hubFollower) Observe(now time.Time, others Sum) {
	f.admitted.observe(now, others.Source, others.Admitted, true)
	f.busy = others.Busy
	f.updatedAt = now
	RaiseWindows(f.windows, others.Windows)
}

func (f *hubFollower) Admitted() Totals { return f.admitted.totals.clone() }

func (f *hubFollower) Windows() map[int64]persimduty.Counts { return f.windows }

// busyTTL is how long the demand that a hub told is used.
const busyTTL = 3 * time.Second

func (f *hubFollower) Busy(now time.Time) map[string]float64 {
	if now.Sub(f.updatedAt) > busyTTL {
		return nil
	}
	return f.busy
}
