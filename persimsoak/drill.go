package persimsoak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"persimmonport.example/persimstand"
)

const (
	// drillAwayShare is the time for which the store is away, as a share of the age of the copy.
	drillAwayShare = 0.3
	// drillRewriteTime is the time after the return of the store in which the operator and the
	// upstreams write again.
	drillRewriteTime = 300 * time.Millisecond
)

// drills holds when the store came back from older copies.
type drills struct {
	// running serializes the drills.
	running sync.Mutex

	mu     sync.Mutex
	count  int
	lastAt time.Time
}

func (d *drills) record() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	d.lastAt = time.Now()
}

func (d *drills) last() (time.Time, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastAt, d.count
}

// runDrill lets the store come back from a copy of an age. A drill that comes while another one
// runs follows it at once.
func (s *system) runDrill(age time.Duration) {
	copied := s.store.Copy()
	time.Sleep(age)
	s.drills.running.Lock()
	defer s.drills.running.Unlock()
	for _, h := range s.hosts {
		defer h.beginInterval(&h.storeFaults)()
	}
	away := time.Duration(drillAwayShare * float64(age))
	s.store.RunDrill(persimstand.Drill{Copy: copied, Away: away, RewriteAfter: drillRewriteTime})
	s.drills.record()
}

// dutiesRecovered reports whether a window that ended after the last drill was reported.
func (s *system) dutiesRecovered() bool {
	lastAt, count := s.drills.last()
	window := lastAt.UnixNano() / int64(bounds().UsageWindow)
	return count == 0 || slices.ContainsFunc(s.store.Reports(), func(r persimstand.StoreReport) bool { return r.Window >= window })
}

// describeDrills returns the number of drills and of windows reported, or nothing without drills.
func (s *system) describeDrills() string {
	_, count := s.drills.last()
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("%d, %d windows reported", count, len(s.store.Usage()))
}
