package persimcatalog

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one run of an upstream, from its start to its end.
type Incarnation struct {
	ID string
	// Born is the start time, in milliseconds since the Unix epoch.
	Born int64
}

// Hash returns the number that identifies the incarnation in messages between hosts.
func (i Incarnation) Hash() uint64 {
	return xxhash.Sum64String(i.ID + "/" + strconv.FormatInt(i.Born, 10))
}

// Upstream is one entry of the list of upstreams.
type Upstream struct {
	Incarnation
	Address string
	Service string
	// Version is the version of the service that the upstream runs, or empty.
	Version string
	Centre  string
	Slots   int
	// Leaving is set when the upstream takes no further requests.
	Leaving bool
	// Reclaimable is set when the platform may reclaim the upstream.
	Reclaimable bool
	// Cold is how long the upstream still needs to reach its normal speed.
	Cold time.Duration
}

// WithLeaving returns a copy that takes no further requests.
func (u Upstream) WithLeaving() Upstream {
	u.Leaving = true
	return u
}

// Roster tracks the list of upstreams. It is not safe for concurrent use.
type Roster struct {
	upstreams map[Incarnation]Upstream
	// leavingSeen maps each leaving upstream to the number of the last list that
	// contained it.
	leavingSeen map[Incarnation]int
	listCount   int
}

// maxListsMissed is the number of lists without a leaving upstream after which it is
// forgotten; a list is read about twice a second.
const maxListsMissed = 120

// NewRoster returns a roster without upstreams.
func NewRoster() *Roster {
	return &Roster{upstreams: map[Incarnation]Upstream{}, leavingSeen: map[Incarnation]int{}}
}

// Apply replaces the list. An upstream that was leaving stays so for the rest of its
// incarnation. With keepMissing, upstreams that are missing from the list are kept,
// since their entries may have expired while the store was unavailable.
func (r *Roster) Apply(list []Upstream, keepMissing bool) {
	r.listCount++
	next := map[Incarnation]Upstream{}
	for _, upstream := range list {
		if _, leaving := r.leavingSeen[upstream.Incarnation]; leaving || upstream.Leaving {
			r.leavingSeen[upstream.Incarnation] = r.listCount
		}
		next[upstream.Incarnation] = upstream
	}
	if keepMissing {
		for incarnation, upstream := range r.upstreams {
			if _, ok := next[incarnation]; !ok && !replaced(next, upstream) {
				next[incarnation] = upstream
			}
		}
	}
	r.upstreams = next
	for incarnation, lastSeen := range r.leavingSeen {
		if r.listCount-lastSeen > maxListsMissed {
			delete(r.leavingSeen, incarnation)
		}
	}
}

// replaced reports whether the list holds another upstream with the same address or id.
func replaced(list map[Incarnation]Upstream, old Upstream) bool {
	for _, upstream := range list {
		if upstream.ID == old.ID || upstream.Address == old.Address {
			return true
		}
	}
	return false
}

// MarkLeaving records that an incarnation is leaving, as reported by another host,
// and reports whether this was not known before.
func (r *Roster) MarkLeaving(incarnation Incarnation) bool {
	if _, ok := r.leavingSeen[incarnation]; ok {
		return false
	}
	r.leavingSeen[incarnation] = r.listCount
	return true
}

// Leaving returns the incarnations that are known to be leaving.
func (r *Roster) Leaving() []Incarnation {
	list := make([]Incarnation, 0, len(r.leavingSeen))
	for incarnation := range r.leavingSeen {
		list = append(list, incarnation)
	}
	return list
}

// Upstreams returns all upstreams by service.
func (r *Roster) Upstreams() map[string][]Upstream {
	list := map[string][]Upstream{}
	for incarnation, upstream := range r.upstreams {
		if _, leaving := r.leavingSeen[incarnation]; leaving {
			upstream = upstream.WithLeaving()
		}
		list[upstream.Service] = append(list[upstream.Service], upstream)
	}
	return list
}
