package persimquarantine

// maxSuccesses is the number of parts in each of the two sets of successes.
const maxSuccesses = 4096

// successes holds the last success of the parts that succeeded most recently. When the
// newer set is full it becomes the older one, which is dropped.
type successes struct {
	newer, older map[uint64]stamp
}

func (s *successes) record(part uint64, success stamp) {
	if _, ok := s.newer[part]; !ok && len(s.newer) >= maxSuccesses {
		s.older, s.newer = s.newer, nil
	}
	if s.newer == nil {
		s.newer = make(map[uint64]stamp, maxSuccesses)
	}
	s.newer[part] = success
}

// last returns the last success of a part, or zero if none is known.
func (s *successes) last(part uint64) stamp {
	if success, ok := s.newer[part]; ok {
		return success
	}
	return s.older[part]
}
