package persimbench

import (
	"slices"
	"time"

	"persimmonport.example/persimrouter"
)

const (
	// tokenInterval is the time per output token with all slots in use.
	tokenInterval   = 20 * time.Millisecond
	prefillPerToken = 300 * time.Microsecond
	// chunkTokens is the largest number of tokens emitted at once.
	chunkTokens       = 8
	dialFailureDelay  = 50 * time.Millisecond
	maxCachedPrefixes = 32
)

// worker simulates a model engine with continuous batching: the time per token grows with
// the number of running attempts.
type worker struct {
	address        string
	clock          *clock
	slots          int
	slowFactor     float64
	down           bool
	leaving        bool
	running        int
	queue          []*attempt
	cachedPrefixes []uint64
	lastReport     persimrouter.Report
	stats          *stats
}

// attempt is one attempt of a request on a worker.
type attempt struct {
	request  *request
	id       string
	host     *entryHost
	worker   *worker
	priority int
	// resumeOffset is the number of tokens that earlier attempts have released.
	resumeOffset  int
	emittedTokens int
	hedge         bool
	ended         bool
	started       bool
	// cacheImported means that the KV cache of an earlier attempt is imported.
	cacheImported bool
}

// start admits an attempt, or queues it by priority when all slots are in use.
func (w *worker) start(a *attempt) {
	if w.down {
		w.clock.after(dialFailureDelay, func() { a.fail() })
		return
	}
	if w.running >= w.slots {
		index := slices.IndexFunc(w.queue, func(queued *attempt) bool { return queued.priority > a.priority })
		if index < 0 {
			index = len(w.queue)
		}
		w.queue = slices.Insert(w.queue, index, a)
		return
	}
	w.admit(a)
}

// admit starts the prefill of an attempt. A cached prefix reduces the prompt to a tenth; an
// imported cache replaces the prefill.
func (w *worker) admit(a *attempt) {
	w.running++
	a.started = true
	prompt := a.request.promptTokens
	if w.isCached(a.request.prefixHash) {
		prompt = prompt / 10
	}
	if a.cacheImported {
		prompt = 0
	} else {
		w.stats.recordPrefill(a, prompt)
		prompt += a.resumeOffset
	}
	w.cachePrefix(a.request.prefixHash)
	w.clock.after(w.scaled(time.Duration(prompt)*prefillPerToken)+w.currentTokenInterval(), func() { w.emit(a, 1) })
}

func (w *worker) isCached(prefix uint64) bool {
	return prefix != 0 && slices.Contains(w.cachedPrefixes, prefix)
}

// cachePrefix makes a prefix the most recent of the LRU cache.
func (w *worker) cachePrefix(prefix uint64) {
	if prefix == 0 {
		return
	}
	w.cachedPrefixes = slices.DeleteFunc(w.cachedPrefixes, func(p uint64) bool { return p == prefix })
	w.cachedPrefixes = append(w.cachedPrefixes, prefix)
	w.cachedPrefixes = w.cachedPrefixes[max(0, len(w.cachedPrefixes)-maxCachedPrefixes):]
}

// scaled applies the slow factor to a duration.
func (w *worker) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(1, w.slowFactor))
}

// currentTokenInterval returns the time per token at the current batch size.
func (w *worker) currentTokenInterval() time.Duration {
	occupancy := float64(w.running) / float64(w.slots)
	return w.scaled(time.Duration(float64(tokenInterval) * (0.5 + occupancy/2)))
}

// emit passes a chunk of tokens to the entry host and schedules the next one.
func (w *worker) emit(a *attempt, tokens int) {
	if a.ended {
		return
	}
	a.emittedTokens += tokens
	w.stats.generatedTokens += tokens
	if !a.host.handleTokens(a, tokens) {
		return
	}
	remaining := a.request.outputTokens - a.resumeOffset - a.emittedTokens
	if remaining <= 0 {
		a.finish()
		return
	}
	next := min(remaining, chunkTokens)
	w.clock.after(time.Duration(next)*w.currentTokenInterval(), func() { w.emit(a, next) })
}

// release ends an attempt and gives its slot to the next ones in the queue.
func (w *worker) release(a *attempt) {
	a.ended = true
	if !a.started {
		w.queue = slices.DeleteFunc(w.queue, func(queued *attempt) bool { return queued == a })
		return
	}
	w.running--
	for len(w.queue) > 0 && w.running < w.slots && !w.down {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.admit(next)
	}
}

func (a *attempt) finish() {
	a.worker.release(a)
	a.host.handleCompletion(a)
}

func (a *attempt) fail() {
	if a.ended {
		return
	}
	a.worker.release(a)
	a.host.handleFailure(a)
}

// loadReport returns the current load of the worker.
func (w *worker) loadReport() persimrouter.Report {
	return persimrouter.Report{Running: w.running, Waiting: len(w.queue), Slots: w.slots}
}
