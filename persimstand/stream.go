package persimstand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"persimmonport.example/persimupstream"
)

func (s *stream) append(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	s.wake()
}

func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.wake()
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// abandoned reports whether nobody has read the stream for the grace period.
func (s *stream) abandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.read) > streamGrace
}

// from returns the tokens from an index of the whole answer on.
func (s *stream) from(index int) (tokens []string, done bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = time.Now()
	start := index - s.request.PriorLen
	return s.tokens[min(start, len(s.tokens)):], s.done, s.changed
}

func (e *Engine) find(id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	return s, ok
}

func (e *Engine) attach(w http.ResponseWriter, r *http.Request) {
	s, ok := e.find(r.PathValue("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if !ok || err != nil || from < s.request.PriorLen {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	e.send(w, r, s, from)
}

// send writes the tokens of a stream as server-sent events until its end.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	sent := 0
	for {
		tokens, done, changed := s.from(index)
		for _, token := range tokens {
			e.obeySilence(r)
			writeChunk(w, persimupstream.Chunk{ID: s.request.Stream, Index: index, Choices: []persimupstream.Choice{{Text: token}}})
			index++
			sent++
			if limit := e.faults.Get().Cut; limit > 0 && sent >= limit {
				_ = flush.Flush()
				cut()
			}
		}
		if done {
			writeEnd(w, s, index)
			return
		}
		_ = flush.Flush()
		select {
		case <-changed:
		case <-s.stopped:
			cut()
		case <-r.Context().Done():
			return
		}
	}
}

// obeySilence holds the connection open without a byte until its reader leaves.
func (e *Engine) obeySilence(r *http.Request) {
	if !e.faults.Get().Silent {
		return
	}
	<-r.Context().Done()
	cut()
}

func writeChunk(w http.ResponseWriter, chunk persimupstream.Chunk) {
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func writeEnd(w http.ResponseWriter, s *stream, index int) {
	writeChunk(w, persimupstream.Chunk{
		ID:      s.request.Stream,
		Index:   index,
		Choices: []persimupstream.Choice{{FinishReason: "stop"}},
		Usage: &persimupstream.Usage{
			PromptTokens:     len(strings.Fields(s.request.Prompt)),
			CompletionTokens: index - s.request.PriorLen,
		},
	})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	if s, ok := e.find(r.PathValue("id")); ok {
		s.stop()
	}
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	s, ok := e.find(r.PathValue("id"))
	if !ok || !e.config.Exports {
		http.Error(w, "no cache", http.StatusNotFound)
		return
	}
	tokens, _, _ := s.from(s.request.PriorLen)
	writeJSON(w, persimupstream.Cache{
		Handle: e.config.Incarnation + "/" + s.request.Stream,
		Prompt: s.request.Prompt,
		Tokens: len(strings.Fields(s.request.Prompt)) + s.request.PriorLen + len(tokens),
	})
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var cache persimupstream.Cache
	if err := json.NewDecoder(r.Body).Decode(&cache); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handles[cache.Handle] = cache
}

func (e *Engine) loadReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.lateReport())
}

// lateReport returns the load as it was at the last report.
func (e *Engine) lateReport() persimupstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if age := time.Since(e.at); age >= e.config.ReportLag {
		e.at = time.Now()
		e.report = persimupstream.LoadReport{
			Running:     e.running,
			Waiting:     len(e.waiting),
			Slots:       e.config.Slots,
			Incarnation: e.config.Incarnation,
		}
	}
	report := e.report
	report.AgeMillis = time.Since(e.at).Milliseconds()
	return report
}
