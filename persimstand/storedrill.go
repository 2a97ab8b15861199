package persimstand

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"persimmonport.example/platform"
)

// StoreCopy is the content of a store at a moment.
type StoreCopy struct {
	revision int64
	kinds    map[string]map[string]platform.Object
	history  []change
}

// Copy returns the content of the store.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := StoreCopy{revision: s.revision, kinds: map[string]map[string]platform.Object{}, history: slices.Clone(s.history)}
	for kind, objects := range s.kinds {
		copied.kinds[kind] = maps.Clone(objects)
	}
	return copied
}

// Drill describes how a store goes away and comes back from a copy.
type Drill struct {
	Copy StoreCopy
	// Away is the time for which the object API does not respond.
	Away time.Duration
	// RewriteAfter is the time from the return of the store to the moment at which the operator
	// and the upstreams have stored again what the copy lacks.
	RewriteAfter time.Duration
}

// RunDrill carries out a drill. The calls of duties are served all the while.
func (s *Store) RunDrill(d Drill) {
	s.setAway(true)
	time.Sleep(d.Away)
	s.restore(d.Copy)
	s.setAway(false)
	time.Sleep(d.RewriteAfter)
	s.rewriteExternal()
}

func (s *Store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wakeWatches()
}

// restore replaces the content by that of a copy and begins the next era, in which the
// revisions since the copy are given out again.
func (s *Store) restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.history = c.revision, slices.Clone(c.history)
	s.kinds = map[string]map[string]platform.Object{}
	for kind, objects := range c.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	s.wakeWatches()
}

// rewriteExternal stores what the operator and upstreams have stored and the content lacks, and
// removes what they have removed.
func (s *Store) rewriteExternal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for kind, specs := range s.external {
		for name, spec := range specs {
			current, ok := s.kinds[kind][name]
			switch {
			case spec == nil && ok:
				s.remove(kind, name)
			case spec != nil && (!ok || !bytes.Equal(current.Spec, spec)):
				s.put(kind, name, spec)
			}
		}
	}
}
