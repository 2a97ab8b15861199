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
	// Gap is the time between tokens of a single stream.
	Gap time.Duration
	// Prefill is the time per prompt token that is not cached.
	Prefill time.Duration
	// CachePrompts is the number of prompts whose prefix stays cached.
	CachePrompts int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// Salt makes the text of this engine differ from that of others.
	Salt string
	// EventLag is the age of cache events when they are published.
	EventLag time.Duration
	// CheckFence makes the engine refuse orders with an old fencing number.
	CheckFence bool
	// Exports says whether key-value caches can be exported.
	Exports bool
}

// DefaultEngineConfig returns a small engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Incarnation:  "1",
		Slots:        16,
		Gap:          5 * time.Millisecond,
		Prefill:      100 * time.Microsecond,
		CachePrompts: 32,
		ReportLag:    500 * time.Millisecond,
		EventLag:     time.Second,
		Exports:      true,
	}
}

const (
	streamGrace   = 10 * time.Second
	defaultLength = 40
)

// EngineStats counts what an engine has computed.
type EngineStats struct {
	Streams   int `json:"streams"`
	Prefilled int `json:"prefilled"`
	Cached    int `json:"cached"`
	Generated int `json:"generated"`
}

// An Engine is a stand-in of a model engine.
type Engine struct {
	config EngineConfig
	faults *faults
	orders engineOrders

	mu      sync.Mutex
	streams map[string]*stream
	running int
	waiting []*stream
	cache   []string
	handles map[string]persimupstream.Cache
	report  persimupstream.LoadReport
	at      time.Time
	stats   EngineStats
}

// NewEngine returns an engine.
func NewEngine(config EngineConfig) *Engine {
	return &Engine{
		config:  config,
		faults:  newFaults(),
		orders:  engineOrders{checkFence: config.CheckFence, lag: config.EventLag},
		streams: map[string]*stream{},
		handles: map[string]persimupstream.Cache{},
	}
}

// SetFault replaces the fault switches.
func (e *Engine) SetFault(fault Fault) { e.faults.Set(fault) }

// Stats returns what the engine has computed so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Handler serves the engine's interface and its fault switches.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.guard(e.complete))
	mux.HandleFunc("GET /v1/streams/{id}", e.guard(e.attach))
	mux.HandleFunc("DELETE /v1/streams/{id}", e.guard(e.cancel))
	mux.HandleFunc("POST /v1/kv/export/{id}", e.guard(e.export))
	mux.HandleFunc("POST /v1/kv/import", e.guard(e.load))
	mux.HandleFunc("POST /v1/orders", e.guard(e.orders.take))
	mux.HandleFunc("GET /v1/cache/events", e.guard(e.orders.list))
	mux.HandleFunc("GET /load", e.guard(e.loadReport))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("POST /fault", e.faults.handler(func() { os.Exit(1) }))
	return mux
}

func (e *Engine) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(persimupstream.HeaderIncarnation, e.config.Incarnation)
		if e.faults.takeRefusal() {
			w.Header().Set(persimupstream.HeaderNotRun, "true")
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

// stream is one completion, which outlives the connection of its reader.
type stream struct {
	request  persimupstream.CompletionRequest
	admitted chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once

	mu      sync.Mutex
	tokens  []string
	done    bool
	changed chan struct{}
	read    time.Time
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
		read:     time.Now(),
	}
	e.admit(s)
	go e.run(s)
	e.send(w, r, s, request.PriorLen)
}

// admit starts a stream when a slot is free, else queues it by priority.
func (e *Engine) admit(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[s.request.Stream] = s
	e.stats.Streams++
	if e.running < e.config.Slots {
		e.running++
		close(s.admitted)
		return
	}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].request.Priority > s.request.Priority {
		at--
	}
	e.waiting = append(e.waiting[:at], append([]*stream{s}, e.waiting[at:]...)...)
}

func (e *Engine) leave() {
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
	defer e.leave()
	defer time.AfterFunc(streamGrace, func() { e.forget(s.request.Stream) })
	e.sleep(time.Duration(e.prefill(s)) * e.config.Prefill)
	length := answerLength(s.request)
	for index := s.request.PriorLen; index < length; index++ {
		e.sleep(e.gap())
		if s.isStopped() {
			return
		}
		s.append(e.token(s.request.Prompt, index))
		e.countToken()
		if s.abandoned() {
			return
		}
	}
	s.finish()
}

func (e *Engine) sleep(d time.Duration) {
	if slow := e.faults.Get().Slow; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	time.Sleep(d)
}

func (e *Engine) gap() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config.Gap + e.config.Gap*time.Duration(e.running)/time.Duration(e.config.Slots)
}

func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Generated++
}

func (e *Engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
}

// prefill returns the number of tokens to compute before the first new one.
func (e *Engine) prefill(s *stream) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := len(strings.Fields(s.request.Prompt)) + s.request.PriorLen
	cached := 0
	if handle, ok := e.handles[s.request.Cache]; ok && handle.Prompt == s.request.Prompt {
		cached = min(handle.Tokens, tokens)
	} else if e.cached(s.request.Prompt) {
		cached = len(strings.Fields(s.request.Prompt))
	}
	e.remember(s.request.Prompt)
	e.stats.Cached += cached
	e.stats.Prefilled += tokens - cached
	return tokens - cached
}

func (e *Engine) cached(prompt string) bool {
	for _, known := range e.cache {
		if known == prompt {
			return true
		}
	}
	return false
}

func (e *Engine) remember(prompt string) {
	e.cache = append(e.cache, prompt)
	e.orders.record(prompt, false)
	if len(e.cache) > e.config.CachePrompts {
		e.orders.record(e.cache[0], true)
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

// Answer returns the first tokens of the answer to a prompt.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for index := range tokens {
		text.WriteString(Token(prompt, index))
	}
	return text.String()
}

// answerLength reads a length such as "len=200" from the prompt.
func answerLength(request persimupstream.CompletionRequest) int {
	length := defaultLength
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
