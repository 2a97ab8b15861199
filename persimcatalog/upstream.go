package persimcatalog

// An Incarnation names one start of an upstream.
type Incarnation struct {
	ID string
	// Born is the time of the start, in milliseconds since 1970.
	Born int64
}

// An Upstream is one entry of the list of upstreams.
type Upstream struct {
	Incarnation
	Address string
	Service string
	Centre  string
	Slots   int
	// Leaving says that the upstream takes no further requests.
	Leaving bool
	// Reclaimable says that the platform may take the upstream away.
	Reclaimable bool
}

// WithLeaving returns a copy that takes no further requests.
func (u Upstream) WithLeaving() Upstream {
	u.Leaving = true
	return u
}

// A Roster follows the list of upstreams. It is not safe for concurrent use.
type Roster struct {
	known map[Incarnation]Upstream
	// leaving holds the number of the last list that had the leaving upstream.
	leaving map[Incarnation]int
	lists   int
}

// leavingLists is the number of lists after which an upstream that is gone is
// forgotten; a list is read about twice a second.
const leavingLists = 120

// NewRoster returns a roster without upstreams.
func NewRoster() *Roster {
	return &Roster{known: map[Incarnation]Upstream{}, leaving: map[Incarnation]int{}}
}

// Apply takes over a list. An upstream that was leaving stays so for the rest of
// its incarnation. With keep, upstreams that the list lacks stay known, since
// their entries may have lapsed while the store was away.
func (r *Roster) Apply(list []Upstream, keep bool) {
	r.lists++
	next := map[Incarnation]Upstream{}
	for _, upstream := range list {
		if _, leaving := r.leaving[upstream.Incarnation]; leaving || upstream.Leaving {
			r.leaving[upstream.Incarnation] = r.lists
		}
		next[upstream.Incarnation] = upstream
	}
	if keep {
		for incarnation, upstream := range r.known {
			if _, ok := next[incarnation]; !ok && !replaced(next, upstream) {
				next[incarnation] = upstream
			}
		}
	}
	r.known = next
	for incarnation, last := range r.leaving {
		if r.lists-last > leavingLists {
			delete(r.leaving, incarnation)
		}
	}
}

// replaced reports whether the list holds a later upstream at the same address or with the same id.
func replaced(list map[Incarnation]Upstream, old Upstream) bool {
	for _, upstream := range list {
		if upstream.ID == old.ID || upstream.Address == old.Address {
			return true
		}
	}
	return false
}

// MarkLeaving records that an incarnation is leaving, as another host says, and
// reports whether that is news.
func (r *Roster) MarkLeaving(incarnation Incarnation) bool {
	if _, ok := r.leaving[incarnation]; ok {
		return false
	}
	r.leaving[incarnation] = r.lists
	return true
}

// Leaving returns the incarnations that are known to be leaving.
func (r *Roster) Leaving() []Incarnation {
	list := make([]Incarnation, 0, len(r.leaving))
	for incarnation := range r.leaving {
		list = append(list, incarnation)
	}
	return list
}

// Upstreams returns all upstreams by service.
func (r *Roster) Upstreams() map[string][]Upstream {
	list := map[string][]Upstream{}
	for incarnation, upstream := range r.known {
		if _, leaving := r.leaving[incarnation]; leaving {
			upstream = upstream.WithLeaving()
		}
		list[upstream.Service] = append(list[upstream.Service], upstream)
	}
	return list
}
