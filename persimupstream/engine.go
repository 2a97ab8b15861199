package persimupstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"persimmonport.example/persimrouter"
)

// A CompletionRequest is the body of an engine's completion call.
type CompletionRequest struct {
	// RequestID is the ID under which the engine runs the request.
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	// PriorText is the text released by earlier attempts, PriorTokens its number
	// of tokens.
	PriorText   string `json:"prior,omitempty"`
	PriorTokens int    `json:"prior_tokens,omitempty"`
	MaxTokens   int    `json:"max_tokens"`
	Priority    int    `json:"priority"`
	// Timeout is the time left until the deadline, in milliseconds.
	Timeout int64 `json:"timeout_ms,omitempty"`
	// CacheHandle is the handle of an imported key-value cache, if any.
	CacheHandle string `json:"kv,omitempty"`
	Streaming   bool   `json:"stream"`
}

// A Chunk is one server-sent event of a completion.
type Chunk struct {
	ID      string   `json:"id"`
	Index   int      `json:"index"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// A Choice is the text of a chunk.
type Choice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts the tokens that an engine has processed for an attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// A LoadReport is an engine's report of its load.
type LoadReport struct {
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Slots       int    `json:"slots"`
	AgeMillis   int64  `json:"age_ms"`
	Incarnation string `json:"incarnation"`
}

// A Cache identifies the exported key-value cache of one stream.
type Cache struct {
	Handle string `json:"handle"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// An EmitFunc receives the token at an index of the whole answer. An error ends
// the stream.
type EmitFunc func(index int, text string) error

// An Engine is a client of model engines.
type Engine interface {
	// Generate runs a completion and emits its tokens up to the end marker. It fails
	// with ErrNotRun, ErrBroken, ErrSilent or ErrRejected.
	Generate(ctx context.Context, address string, request CompletionRequest, emit EmitFunc) (Usage, error)
	// Attach resumes a running stream from an index, or fails with ErrUnknownStream.
	Attach(ctx context.Context, address, stream string, from int, emit EmitFunc) (Usage, error)
	// Cancel ends a stream.
	Cancel(ctx context.Context, address, stream string) error
	// Export exports the key-value cache of a stream.
	Export(ctx context.Context, address, stream string) (Cache, error)
	// Import makes an engine import an exported cache.
	Import(ctx context.Context, address string, cache Cache) error
	// Load returns the engine's load report.
	Load(ctx context.Context, address string) (LoadReport, error)
}

type engine struct {
	config
	client *http.Client
}

// NewEngine returns a client of model engines and a function that closes its idle
// connections.
func NewEngine(opts ...Option) (Engine, func()) {
	c := newConfig(opts)
	client, cleanup := newClient(c)
	return &engine{config: c, client: client}, cleanup
}

// Report converts the load report to the router's type.
func (l LoadReport) Report() persimrouter.Report {
	return persimrouter.Report{
		Running: l.Running,
		Waiting: l.Waiting,
		Slots:   l.Slots,
		Age:     time.Duration(l.AgeMillis) * time.Millisecond,
	}
}

func (e *engine) Generate(ctx context.Context, address string, request CompletionRequest, emit EmitFunc) (Usage, error) {
	request.Streaming = true
	body, err := json.Marshal(request)
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	return e.stream(ctx, http.MethodPost, "http://"+address+"/v1/completions", body, request.PriorTokens, emit)
}

func (e *engine) Attach(ctx context.Context, address, stream string, from int, emit EmitFunc) (Usage, error) {
	target := "http://" + address + "/v1/streams/" + url.PathEscape(stream) + "?from=" + strconv.Itoa(from)
	return e.stream(ctx, http.MethodGet, target, nil, from, emit)
}

// stream sends a request and reads its events. A watchdog timer cancels the
// request with ErrSilent when no token arrives in time.
func (e *engine) stream(ctx context.Context, method, target string, body []byte, from int, emit EmitFunc) (Usage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(e.firstTokenTimeout, func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return Usage{}, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req, exchange := identify(req)
	resp, err := e.client.Do(req)
	if err != nil {
		return Usage{}, trace.Wrap(cancelCause(ctx, classifySendError(err)))
	}
	defer func() { _ = resp.Body.Close() }()
	if err := exchange.classifyStatus(resp); err != nil {
		return Usage{}, trace.Wrap(err)
	}
	usage, err := readEvents(resp.Body, from, func(index int, text string) error {
		watchdog.Reset(e.silenceTimeout)
		return emit(index, text)
	})
	if err != nil {
		return Usage{}, trace.Wrap(cancelCause(ctx, err))
	}
	return usage, nil
}

// cancelCause replaces ErrBroken by the cause of the cancellation when the watchdog
// or the caller cancelled the request.
func cancelCause(ctx context.Context, err error) error {
	if !errors.Is(err, ErrBroken) {
		return err
	}
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

// readEvents emits the tokens of an event stream until the end marker, a chunk with
// a finish reason. It returns ErrBroken for a malformed event, for an index out of
// order and for a body that ends before the end marker.
func readEvents(body io.Reader, nextIndex int, emit EmitFunc) (Usage, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	lines.Split(splitWholeLines)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return Usage{}, ErrBroken
		}
		if len(chunk.Choices) != 1 || chunk.Index != nextIndex {
			return Usage{}, ErrBroken
		}
		if chunk.Choices[0].FinishReason != "" {
			return usageOf(chunk), nil
		}
		if err := emit(nextIndex, chunk.Choices[0].Text); err != nil {
			return Usage{}, err
		}
		nextIndex++
	}
	return Usage{}, ErrBroken
}

// splitWholeLines is a bufio.SplitFunc that splits as bufio.ScanLines does and drops a last line
// that broke off.
func splitWholeLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	advance, line, err = bufio.ScanLines(data, false)
	if atEOF && advance == 0 {
		return len(data), nil, err
	}
	return advance, line, err
}

func usageOf(chunk Chunk) Usage {
	if chunk.Usage == nil {
		return Usage{}
	}
	return *chunk.Usage
}

func (e *engine) Cancel(ctx context.Context, address, stream string) error {
	return e.call(ctx, http.MethodDelete, address, "/v1/streams/"+url.PathEscape(stream), nil, nil)
}

func (e *engine) Export(ctx context.Context, address, stream string) (Cache, error) {
	var cache Cache
	err := e.call(ctx, http.MethodPost, address, "/v1/kv/export/"+url.PathEscape(stream), nil, &cache)
	return cache, trace.Wrap(err)
}

func (e *engine) Import(ctx context.Context, address string, cache Cache) error {
	return e.call(ctx, http.MethodPost, address, "/v1/kv/import", cache, nil)
}

func (e *engine) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := e.call(ctx, http.MethodGet, address, "/load", nil, &report)
	return report, trace.Wrap(err)
}

func (e *engine) call(ctx context.Context, method, address, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	payload, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(payload))
	if err != nil {
		return trace.Wrap(err)
	}
	req, exchange := identify(req)
	resp, err := e.client.Do(req)
	if err != nil {
		return trace.Wrap(classifySendError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if err := exchange.classifyStatus(resp); err != nil {
		return trace.Wrap(err)
	}
	data, err := readBody(resp)
	if err != nil || result == nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.Unmarshal(data, result))
}
