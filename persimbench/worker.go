package persimbench

import (
	"slices"
	"time"

	"persimmonport.example/persimrouter"
)

const (
	tokenGap     = 20 * time.Millisecond
	prefillToken = 300 * time.Microsecond
	chunkTokens  = 8
	dialFailure  = 50 * time.Millisecond
	cacheEntries = 32
)

// worker is a fake of a model engine that batches continuously: its tokens come
// slower the more streams it runs.
type worker struct {
	address string
	clock   *clock
	slots   int
	slow    float64
	dead    bool
	leaving bool
	running int
	waiting []*stream
	cache   []uint64
	report  persimrouter.Report
	stats   *stats
}

// stream is one attempt on a worker.
type stream struct {
	request  *request
	attempt  string
	host     *entry
	worker   *worker
	priority int
	from     int
	done     int
	hedge    bool
	ended    bool
	started  bool
	cached   bool
}

func (w *worker) start(s *stream) {
	if w.dead {
		w.clock.after(dialFailure, func() { s.fail() })
		return
	}
	if w.running >= w.slots {
		at := slices.IndexFunc(w.waiting, func(o *stream) bool { return o.priority > s.priority })
		if at < 0 {
			at = len(w.waiting)
		}
		w.waiting = slices.Insert(w.waiting, at, s)
		return
	}
	w.admit(s)
}

func (w *worker) admit(s *stream) {
	w.running++
	s.started = true
	prompt := s.request.prompt
	if w.isCached(s.request.prefix) {
		prompt = prompt / 10
	}
	if s.cached {
		prompt = 0
	} else {
		w.stats.countPrefill(s, prompt)
		prompt += s.from
	}
	w.remember(s.request.prefix)
	w.clock.after(w.scaled(time.Duration(prompt)*prefillToken)+w.gap(), func() { w.emit(s, 1) })
}

func (w *worker) isCached(prefix uint64) bool {
	return prefix != 0 && slices.Contains(w.cache, prefix)
}

func (w *worker) remember(prefix uint64) {
	if prefix == 0 {
		return
	}
	w.cache = slices.DeleteFunc(w.cache, func(p uint64) bool { return p == prefix })
	w.cache = append(w.cache, prefix)
	w.cache = w.cache[max(0, len(w.cache)-cacheEntries):]
}

func (w *worker) scaled(span time.Duration) time.Duration {
	return time.Duration(float64(span) * max(1, w.slow))
}

// gap is the time of one token at the present batch.
func (w *worker) gap() time.Duration {
	load := float64(w.running) / float64(w.slots)
	return w.scaled(time.Duration(float64(tokenGap) * (0.5 + load/2)))
}

// emit hands over a chunk of tokens and plans the next one.
func (w *worker) emit(s *stream, tokens int) {
	if s.ended {
		return
	}
	s.done += tokens
	w.stats.generated += tokens
	if !s.host.progress(s, tokens) {
		return
	}
	left := s.request.length - s.from - s.done
	if left <= 0 {
		s.finish()
		return
	}
	next := min(left, chunkTokens)
	w.clock.after(time.Duration(next)*w.gap(), func() { w.emit(s, next) })
}

// leave frees the stream's place.
func (w *worker) leave(s *stream) {
	s.ended = true
	if !s.started {
		w.waiting = slices.DeleteFunc(w.waiting, func(o *stream) bool { return o == s })
		return
	}
	w.running--
	for len(w.waiting) > 0 && w.running < w.slots && !w.dead {
		next := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.admit(next)
	}
}

func (s *stream) finish() {
	s.worker.leave(s)
	s.host.finished(s)
}

func (s *stream) fail() {
	if s.ended {
		return
	}
	s.worker.leave(s)
	s.host.failed(s)
}

// snapshot is the load that the worker would report now.
func (w *worker) snapshot() persimrouter.Report {
	return persimrouter.Report{Running: w.running, Waiting: len(w.waiting), Slots: w.slots}
}
