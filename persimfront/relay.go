package persimfront

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimlog"
	"persimmonport.example/persimplace"
	"persimmonport.example/platform"
)

const (
	// maxWholeBytes is the size up to which an answer is read before it is passed on.
	maxWholeBytes = 256 << 10
	relayBytes    = 16 << 10
	// writeTimeout is how long a caller may take nothing of an answer.
	writeTimeout = 5 * time.Second
)

// An answer is one of an upstream that was read whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		klog.V(1).InfoS("answer: caller does not take it", "error", persimlog.Cause(err))
	}
}

func copyHeader(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range platform.ReturnHeaders(from) {
		to[name] = values
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
}

// drainBody reads the rest of a short answer, so that its connection can be kept.
func (a *attempt) drainBody(exchange *persimconn.Exchange) {
	_, err := io.Copy(io.Discard, io.LimitReader(exchange, maxWholeBytes))
	if err != nil {
		exchange.Abandon()
		return
	}
	exchange.Finish()
}

func (a *attempt) relay(ctx context.Context, w http.ResponseWriter, exchange *persimconn.Exchange) (end, *answer, string) {
	response := exchange.Response
	if a.route.Kind == persimcatalog.KindStreaming && response.StatusCode < http.StatusMultipleChoices {
		return a.relayStream(ctx, w, exchange)
	}
	body, err := io.ReadAll(io.LimitReader(exchange, maxWholeBytes+1))
	if err != nil {
		exchange.Abandon()
		a.end(a.blame(ctx))
		return endUnknown, nil, "answer broke off"
	}
	if len(body) > maxWholeBytes {
		return a.relayLong(w, exchange, body)
	}
	exchange.Finish()
	whole := &answer{status: response.StatusCode, header: response.Header, body: body}
	return a.deliver(w, whole)
}

// blame says whether a break is the upstream's fault.
func (a *attempt) blame(ctx context.Context) persimplace.Outcome {
	if ctx.Err() != nil {
		return persimplace.OutcomeLeft
	}
	return persimplace.OutcomeFailed
}

// deliver passes a whole answer on. An upstream's failure is kept where the
// request may be sent elsewhere, and a status that promises that nothing ran is
// not passed on for a request that ran.
func (a *attempt) deliver(w http.ResponseWriter, whole *answer) (end, *answer, string) {
	if promises(whole.status) {
		a.end(persimplace.OutcomeFailed)
		return endUnknown, nil, "upstream refused a request that it may have run"
	}
	if whole.status >= http.StatusInternalServerError {
		a.end(persimplace.OutcomeFailed)
		return endAnswered, whole, "upstream failed"
	}
	a.end(persimplace.OutcomeGood)
	whole.write(w)
	a.record(whole.status, outcomeOK)
	return endDone, nil, ""
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayLong passes an answer on that is too long to be held.
func (a *attempt) relayLong(w http.ResponseWriter, exchange *persimconn.Exchange, first []byte) (end, *answer, string) {
	response := exchange.Response
	copyHeader(w.Header(), response.Header)
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	_, err := io.Copy(w, io.MultiReader(bytes.NewReader(first), exchange))
	if err != nil {
		exchange.Abandon()
		a.end(persimplace.OutcomeFailed)
		a.breakOff("answer broke off")
	}
	exchange.Finish()
	a.end(persimplace.OutcomeGood)
	a.record(response.StatusCode, outcomeOK)
	return endDone, nil, ""
}

// breakOff ends the caller's connection, so that the answer does not look whole.
func (c *call) breakOff(cause string) {
	c.record(0, cause)
	panic(http.ErrAbortHandler)
}

// relayStream passes events on as they come.
func (a *attempt) relayStream(ctx context.Context, w http.ResponseWriter, exchange *persimconn.Exchange) (end, *answer, string) {
	out := &eventWriter{
		w:       w,
		control: http.NewResponseController(w),
		header:  exchange.Response.Header,
		status:  exchange.Response.StatusCode,
	}
	err := out.copy(exchange)
	for err != nil && ctx.Err() == nil && !out.lost && a.route.Resumable {
		exchange.Abandon()
		a.end(persimplace.OutcomeFailed)
		next := a.resume(ctx, out.lastID)
		if next == nil {
			break
		}
		exchange = next
		err = out.copy(exchange)
	}
	if err == nil {
		exchange.Finish()
		a.end(persimplace.OutcomeGood)
		a.record(out.status, outcomeOK)
		return endDone, nil, ""
	}
	exchange.Abandon()
	a.end(a.blame(ctx))
	if !out.started && a.request.Context().Err() == nil {
		return endUnknown, nil, "stream broke off before its first event"
	}
	a.breakOff(a.breakCause(ctx, out))
	return endDone, nil, ""
}

func (a *attempt) breakCause(ctx context.Context, out *eventWriter) string {
	switch {
	case out.lost || a.request.Context().Err() != nil:
		return "caller left"
	case ctx.Err() != nil:
		return "time is over"
	default:
		return "stream broke off"
	}
}

// resume sends the request to another upstream, which goes on after an event.
// It returns nil where that is not possible.
func (a *attempt) resume(ctx context.Context, lastID string) *persimconn.Exchange {
	if a.attempts >= a.route.MaxAttempts || !a.mayRepeat() {
		return nil
	}
	choice, refused := a.choose()
	if refused != nil {
		return nil
	}
	f := a.front
	a.attempts++
	a.avoid = append(a.avoid, choice.Upstream.ID)
	conn, err := f.pool.Get(ctx, choice.Upstream.Address)
	if err != nil {
		a.note(choice.Upstream, persimplace.OutcomeFailed, choice)
		return nil
	}
	f.mu.Lock()
	a.ticket = f.desk.place(a.service).Send(time.Now(), a.need, choice)
	f.mu.Unlock()
	a.upstream = choice.Upstream
	req := a.upstreamRequest(ctx, choice.Upstream)
	if lastID != "" {
		req.Header.Set(platform.HeaderEventID, lastID)
	}
	exchange, err := persimconn.Send(ctx, conn, req)
	if err != nil {
		return nil
	}
	header := exchange.Response.Header
	if exchange.Response.StatusCode != http.StatusOK || header.Get(platform.HeaderSignature) == "" ||
		header.Get(platform.HeaderRequestID) != a.id {
		exchange.Abandon()
		return nil
	}
	klog.InfoS("stream resumed", "request", a.id, "upstream", choice.Upstream.ID, "after", lastID)
	return exchange
}

// An eventWriter passes whole events on and remembers the id of the last one.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	header  http.Header
	status  int
	// started says that the caller has the head of the answer, lost that it takes no more.
	started bool
	lost    bool
	lastID  string
}

var errCallerGone = errors.New("front: caller takes no more")

// copy passes events on until the stream ends. It returns an error where the
// stream broke off or the caller is gone.
func (e *eventWriter) copy(from io.Reader) error {
	buffer := make([]byte, 0, relayBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, make([]byte, relayBytes)...)[:len(buffer)]
		}
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		whole := wholeEvents(buffer)
		if errors.Is(err, io.EOF) {
			whole = len(buffer)
		}
		if whole > 0 {
			if errWrite := e.write(buffer[:whole]); errWrite != nil {
				return errWrite
			}
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		if errors.Is(err, io.EOF) {
			e.start()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// wholeEvents returns the length of the whole events at the start of data.
func wholeEvents(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	copyHeader(e.w.Header(), e.header)
	e.w.WriteHeader(e.status)
}

func (e *eventWriter) write(events []byte) error {
	e.start()
	if err := e.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		klog.V(1).InfoS("stream: no write deadline", "error", persimlog.Cause(err))
	}
	_, err := e.w.Write(events)
	if err == nil {
		err = e.control.Flush()
	}
	if err != nil {
		e.lost = true
		return errors.Join(errCallerGone, err)
	}
	e.lastID = lastEventID(events, e.lastID)
	return nil
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte, known string) string {
	for line := range strings.SplitSeq(string(events), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			known = strings.TrimSpace(value)
		}
	}
	return known
}
