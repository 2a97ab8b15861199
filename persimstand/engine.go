package persimstand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonport.example/persimupstream"
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	Incarnation string
	Slots       int
	// TokenInterval is the time between the tokens of a stream on an idle engine. It
	// doubles on a full one.
	TokenInterval time.Duration
	// PrefillPerToken is the time per uncached prompt token.
	PrefillPerToken time.Duration
	// CachePrompts is the number of prompts whose prefix stays cached.
	CachePrompts int
	// ReportLag is the maximum age of load reports.
	ReportLag time.Duration
	// Salt is mixed into the generated text, so that it differs from that of other engines.
	Salt string
	// EventLag is the delay after which cache events are published.
	EventLag time.Duration
	// CheckFence makes the engine reject orders with an old fencing token.
	CheckFence bool
	// ExportsCache lets key-value caches be exported.
	ExportsCache bool
}

// DefaultEngineConfig returns the configuration of a small engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Incarnation:     "1",
		Slots:           16,
		TokenInterval:   5 * time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond,
		CachePrompts:    32,
		ReportLag:       500 * time.Millisecond,
		EventLag:        time.Second,
		ExportsCache:    true,
	}
}

const (
	// streamGracePeriod is how long a stream without a reader runs on, and how long a
	// stream that has ended stays available.
	streamGracePeriod   = 10 * time.Second
	defaultAnswerTokens = 40
)

// EngineStats counts the streams of an engine and the tokens that it prefilled, found in
// its cache and generated.
type EngineStats struct {
	Streams   int `json:"streams"`
	Prefilled int `json:"prefilled"`
	Cached    int `json:"cached"`
	Generated int `json:"generated"`
}

// Engine is a stand-in for a model engine.
type Engine struct {
	config EngineConfig
	faults *faults
	orders engineOrders

	mu      sync.Mutex
	streams map[string]*stream
	running int
	waiting []*stream
	cache   []string
	// handles holds the imported caches by handle.
	handles    map[string]persimupstream.Cache
	report     persimupstream.LoadReport
	reportedAt time.Time
	stats      EngineStats
}

// NewEngine returns an idle engine with an empty cache.
func NewEngine(config EngineConfig) *Engine {
	return &Engine{
		config:  config,
		faults:  newFaults(),
		orders:  engineOrders{checkFence: config.CheckFence, lag: config.EventLag},
		streams: map[string]*stream{},
		handles: map[string]persimupstream.Cache{},
	}
}

// SetFault replaces the injected faults.
func (e *Engine) SetFault(fault Fault) { e.faults.Set(fault) }

// Stats returns what the engine has computed so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Handler serves the API of the engine and fault injection.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.withFaults(e.complete))
	mux.HandleFunc("GET /v1/streams/{id}", e.withFaults(e.attach))
	mux.HandleFunc("DELETE /v1/streams/{id}", e.withFaults(e.cancel))
	mux.HandleFunc("POST /v1/kv/export/{id}", e.withFaults(e.exportCache))
	mux.HandleFunc("POST /v1/kv/import", e.withFaults(e.importCache))
	mux.HandleFunc("POST /v1/orders", e.withFaults(e.orders.serveOrder))
	mux.HandleFunc("GET /v1/cache/events", e.withFaults(e.orders.serveCacheEvents))
	mux.HandleFunc("GET /load", e.withFaults(e.serveLoad))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("POST /fault", e.faults.handler(func() { os.Exit(1) }))
	return repeatAttempt(mux)
}

// withFaults adds the incarnation to each response and injects refusals before next.
func (e *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(persimupstream.HeaderIncarnation, e.config.Incarnation)
		if e.faults.consumeRefusal() {
			w.Header().Set(persimupstream.HeaderNotRun, "true")
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// stream is a completion. It outlives the connection of its reader, so that the reader
// can attach to it again.
type stream struct {
	request  persimupstream.CompletionRequest
	admitted chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	tokens   []string
	done     bool
	changed  chan struct{}
	lastRead time.Time
}

func (s *stream) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

func (s *stream) stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request persimupstream.CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 8<<20)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := &stream{
		request:  request,
		admitted: make(chan struct{}),
		stopped:  make(chan struct{}),
		changed:  make(chan struct{}),
		lastRead: time.Now(),
	}
	e.admit(s)
	go e.run(s)
	e.sendEvents(w, r, s, request.PriorTokens)
}

// admit gives a stream a free slot or else queues it by priority, in order of arrival
// within a priority.
func (e *Engine) admit(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[s.request.RequestID] = s
	e.stats.Streams++
	if e.running < e.config.Slots {
		e.running++
		close(s.admitted)
		return
	}
	index := len(e.waiting)
	for index > 0 && e.waiting[index-1].request.Priority > s.request.Priority {
		index--
	}
	e.waiting = append(e.waiting[:index], append([]*stream{s}, e.waiting[index:]...)...)
}

// releaseSlot passes a slot to the first waiting stream or else frees it.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.admitted)
}

func (e *Engine) run(s *stream) {
	<-s.admitted
	defer e.releaseSlot()
	defer time.AfterFunc(streamGracePeriod, func() { e.removeStream(s.request.RequestID) })
	e.sleep(time.Duration(e.prefill(s)) * e.config.PrefillPerToken)
	length := answerLength(s.request)
	for index := s.request.PriorTokens; index < length; index++ {
		e.sleep(e.tokenInterval())
		if s.isStopped() {
			return
		}
		s.append(e.token(s.request.Prompt, index))
		e.countToken()
		if s.isAbandoned() {
			return
		}
	}
	s.finish()
}

func (e *Engine) sleep(d time.Duration) {
	if slow := e.faults.Get().SlowFactor; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	time.Sleep(d)
}

// tokenInterval returns the time between tokens at the current number of running streams.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.TokenInterval + e.config.TokenInterval*time.Duration(e.running)/time.Duration(e.config.Slots)
}

func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Generated++
}

func (e *Engine) removeStream(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
}

// prefill returns the number of uncached tokens to compute before the first generated
// one, and adds the prompt to the cache.
func (e *Engine) prefill(s *stream) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := len(strings.Fields(s.request.Prompt)) + s.request.PriorTokens
	cached := 0
	if handle, ok := e.handles[s.request.CacheHandle]; ok && handle.Prompt == s.request.Prompt {
		cached = min(handle.Tokens, tokens)
	} else if e.isCached(s.request.Prompt) {
		cached = len(strings.Fields(s.request.Prompt))
	}
	e.addToCache(s.request.Prompt)
	e.stats.Cached += cached
	e.stats.Prefilled += tokens - cached
	return tokens - cached
}

func (e *Engine) isCached(prompt string) bool {
	for _, entry := range e.cache {
		if entry == prompt {
			return true
		}
	}
	return false
}

func (e *Engine) addToCache(prompt string) {
	e.cache = append(e.cache, prompt)
	e.orders.recordCacheEvent(prompt, false)
	if len(e.cache) > e.config.CachePrompts {
		e.orders.recordCacheEvent(e.cache[0], true)
		e.cache = e.cache[1:]
	}
}

func (e *Engine) token(prompt string, index int) string {
	return Token(e.config.Salt+prompt, index)
}

// Token returns the token at an index of the answer to a prompt.
func Token(prompt string, index int) string {
	return fmt.Sprintf("t%d-%04x ", index, xxhash.Sum64String(prompt+"\x00"+strconv.Itoa(index))&0xffff)
}

// Answer returns the given number of first tokens of the answer to a prompt.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for index := range tokens {
		text.WriteString(Token(prompt, index))
	}
	return text.String()
}

// answerLength returns the number of tokens in the answer to a request. The prompt can
// contain it, as in "len=200"; the request limits it.
func answerLength(request persimupstream.CompletionRequest) int {
	length := defaultAnswerTokens
	for _, word := range strings.Fields(request.Prompt) {
		if value, ok := strings.CutPrefix(word, "len="); ok {
			if n, err := strconv.Atoi(value); err == nil {
				length = n
			}
		}
	}
	if request.MaxTokens > 0 {
		length = min(length, request.MaxTokens)
	}
	return length
}
