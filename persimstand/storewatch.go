package persimstand

import (
	"net/http"
	"time"

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
	close(s.changed)
	s.changed = make(chan struct{})
}

// serveWatch responds once objects of a kind have changed after a revision, or after
// wait. A silent store responds only after wait.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string, after int64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		changes, complete := s.changesSince(kind, after)
		changed := s.changed
		s.mu.Unlock()
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
			data, err := platform.EncodeChanges(platform.Changes{Revision: after})
			writeResponse(w, http.StatusOK, data, err)
			return
		}
	}
}

// changesSince returns the changes of a kind after a revision. It returns false if the
// history no longer reaches back to the revision.
func (s *Store) changesSince(kind string, after int64) (platform.Changes, bool) {
	if after < s.revision && (len(s.history) == 0 || s.history[0].object.Revision > after+1) {
		return platform.Changes{}, false
	}
	changes := platform.Changes{Revision: s.revision}
	for _, c := range s.history {
		switch {
		case c.kind != kind || c.object.Revision <= after:
		case c.removed:
			changes.Removed = append(changes.Removed, c.object.Name)
		default:
			changes.Objects = append(changes.Objects, c.object)
		}
	}
	return changes, true
}
