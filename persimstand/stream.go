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
	s.notify()
}

func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	s.notify()
}

// notify wakes the readers that wait for a change.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// isAbandoned reports whether the stream has had no reader for the grace period.
func (s *stream) isAbandoned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastRead) > streamGracePeriod
}

// tokensFrom returns the tokens from an index of the whole answer on, whether the
// stream is done and a channel that is closed on its next change.
func (s *stream) tokensFrom(index int) (tokens []string, done bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = time.Now()
	start := index - s.request.PriorTokens
	return s.tokens[min(start, len(s.tokens)):], s.done, s.changed
}

func (e *Engine) findStream(id string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	return s, ok
}

func (e *Engine) attach(w http.ResponseWriter, r *http.Request) {
	s, ok := e.findStream(r.PathValue("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if !ok || err != nil || from < s.request.PriorTokens {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	e.sendEvents(w, r, s, from)
}

// sendEvents writes the tokens of a stream, from index on, as server-sent events until
// the stream ends.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, index int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	sent := 0
	for {
		tokens, done, changed := s.tokensFrom(index)
		for _, token := range tokens {
			e.waitIfSilent(r)
			writeChunk(w, persimupstream.Chunk{ID: s.request.RequestID, Index: index, Choices: []persimupstream.Choice{{Text: token}}})
			index++
			sent++
			if limit := e.faults.Get().CutAfterTokens; limit > 0 && sent >= limit {
				_ = controller.Flush()
				abortConnection()
			}
		}
		if done {
			writeEnd(w, s, index)
			return
		}
		_ = controller.Flush()
		select {
		case <-changed:
		case <-s.stopped:
			abortConnection()
		case <-r.Context().Done():
			return
		}
	}
}

// waitIfSilent keeps the connection of a silent engine open without sending anything
// until the reader disconnects.
func (e *Engine) waitIfSilent(r *http.Request) {
	if !e.faults.Get().Silent {
		return
	}
	<-r.Context().Done()
	abortConnection()
}

func writeChunk(w http.ResponseWriter, chunk persimupstream.Chunk) {
	data, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func writeEnd(w http.ResponseWriter, s *stream, index int) {
	writeChunk(w, persimupstream.Chunk{
		ID:      s.request.RequestID,
		Index:   index,
		Choices: []persimupstream.Choice{{FinishReason: "stop"}},
		Usage: &persimupstream.Usage{
			PromptTokens:     len(strings.Fields(s.request.Prompt)),
			CompletionTokens: index - s.request.PriorTokens,
		},
	})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	if s, ok := e.findStream(r.PathValue("id")); ok {
		s.stop()
	}
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	s, ok := e.findStream(r.PathValue("id"))
	if !ok || !e.config.ExportsCache {
		http.Error(w, "no cache", http.StatusNotFound)
		return
	}
	tokens, _, _ := s.tokensFrom(s.request.PriorTokens)
	writeJSON(w, persimupstream.Cache{
		Handle: e.config.Incarnation + "/" + s.request.RequestID,
		Prompt: s.request.Prompt,
		Tokens: len(strings.Fields(s.request.Prompt)) + s.request.PriorTokens + len(tokens),
	})
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var cache persimupstream.Cache
	if err := json.NewDecoder(r.Body).Decode(&cache); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handles[cache.Handle] = cache
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.delayedReport())
}

// delayedReport returns the last load report. It refreshes a report older than ReportLag.
func (e *Engine) delayedReport() persimupstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if age := time.Since(e.reportedAt); age >= e.config.ReportLag {
		e.reportedAt = time.Now()
		e.report = persimupstream.LoadReport{
			Running:     e.running,
			Waiting:     len(e.waiting),
			Slots:       e.config.Slots,
			Incarnation: e.config.Incarnation,
		}
	}
	report := e.report
	report.AgeMillis = time.Since(e.reportedAt).Milliseconds()
	return report
}
