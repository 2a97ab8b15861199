package persimstand

import (
	"net/http"
	"time"

	"persimmonport.example/persimrevision"
	"persimmonport.example/platform"
)

// maxHistory is the number of changes that a store keeps for watches and lagging reads.
const maxHistory = 1000

type change struct {
	kind      string
	object    platform.Object
	removed   bool
	changedAt time.Time
}

func (s *Store) recordChange(c change) {
	c.changedAt = time.Now()
	s.history = append(s.history, c)
	s.history = s.history[max(0, len(s.history)-maxHistory):]
	s.wakeWatches()
}

// wakeWatches lets all watches look for changes.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serveWatch responds once objects of a kind have changed after a revision, or after
// wait. A silent store responds only after wait. A drill cuts the watch off.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string, after int64, wait time.Duration) {
	end := time.After(wait)
	s.mu.Lock()
	began := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changes, complete := s.changesSince(kind, after)
		changed := s.changed
		cutOff := s.away || s.era != began
		s.setEra(w)
		s.mu.Unlock()
		if cutOff {
			panic(http.ErrAbortHandler)
		}
		if !complete {
			w.WriteHeader(http.StatusGone)
			return
		}
		found := len(changes.Objects)+len(changes.Removed) > 0
		if found && !s.fault().Silent {
			data, err := platform.EncodeChanges(changes)
			writeResponse(w, http.StatusOK, data, err)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			data, err := platform.EncodeChanges(platform.Changes{Revision: persimrevision.Revision{Era: began, Number: after}})
			writeResponse(w, http.StatusOK, data, err)
			return
		}
	}
}

// changesSince returns the changes of a kind after a revision. It returns false if the
// history does not hold the revision, or no longer reaches back to it.
func (s *Store) changesSince(kind string, after int64) (platform.Changes, bool) {
	behind := after < s.revision && (len(s.history) == 0 || s.history[0].object.Revision.Number > after+1)
	if behind || after > s.revision {
		return platform.Changes{}, false
	}
	changes := platform.Changes{Revision: s.current()}
	for _, c := range s.history {
		switch {
		case c.kind != kind || c.object.Revision.Number <= after:
		case c.removed:
			changes.Removed = append(changes.Removed, c.object.Name)
		default:
			changes.Objects = append(changes.Objects, c.object)
		}
	}
	return changes, true
}
