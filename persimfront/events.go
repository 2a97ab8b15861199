package persimfront

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimconn"
	"persimmonport.example/persimlog"
)

const (
	// streamBufferBytes is the initial size of the buffer for events, streamReadBytes the
	// least room for one read.
	streamBufferBytes = 16 << 10
	streamReadBytes   = 4 << 10
	// maxEventBytes is the size of an incomplete event above which the stream is broken
	// off. It bounds the memory for an upstream that never ends an event.
	maxEventBytes = 128 << 10
	// writeTimeout is how long a write of stream events to the caller may block.
	writeTimeout = 5 * time.Second
)

// eventWriter writes complete events to the caller and keeps the id of the last one.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// writeHead sends the status and the header.
	writeHead func(w http.ResponseWriter, status int)
	header    http.Header
	status    int
	// headerWritten is set once the response header was written, callerGone once a
	// write to the caller failed.
	headerWritten bool
	callerGone    bool
	lastID        string
	// onSound is called once the response has gone on for some events.
	onSound func()
	// pace tells how fast the events come.
	pace streamPace
	// held is the memory of the request, in which the buffer counts.
	held *holding
	// events counts the events, firstAt and lastAt are when the first and the last one
	// arrived.
	events          int
	firstAt, lastAt time.Time
	// resumed is set once another upstream has continued the stream.
	resumed bool
	// framed is set if the upstream marks the end of the stream, which otherwise ends with
	// its connection, eventsOnly if the stream consists of whole events.
	framed     bool
	eventsOnly bool
}

const eventStreamType = "text/event-stream"

// source prepares the writer for the response of an upstream.
func (e *eventWriter) source(exchange *persimconn.Exchange) {
	e.framed = exchange.Framed()
	e.eventsOnly = !e.framed || strings.HasPrefix(exchange.Response.Header.Get("Content-Type"), eventStreamType)
}

var (
	errCallerGone      = errors.New("front: write to caller failed")
	errEventTooLong    = errors.New("front: event of upstream too long")
	errEndsInsideEvent = errors.New("front: stream ends inside an event")
	errEndsAtOnce      = errors.New("front: connection ends before the first event")
)

// copy writes events to the caller until the stream ends. It returns an error if the
// stream breaks off, an event is too long or the caller is gone.
func (e *eventWriter) copy(from io.Reader) error {
	buffer := make([]byte, 0, streamBufferBytes)
	e.held.add(int64(cap(buffer)))
	defer func() { e.held.release(int64(cap(buffer))) }()
	for {
		if len(buffer) >= maxEventBytes {
			return errEventTooLong
		}
		before := cap(buffer)
		buffer = slices.Grow(buffer, streamReadBytes)
		e.held.add(int64(cap(buffer) - before))
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		// An end of event may begin in what was scanned before.
		scanned := max(0, len(buffer)-len(longestEventEnd))
		buffer = buffer[:len(buffer)+n]
		complete := 0
		if end := completeEvents(buffer[scanned:]); end > 0 {
			complete = scanned + end
		}
		if complete > 0 {
			if errWrite := e.write(buffer[:complete]); errWrite != nil {
				return errWrite
			}
			buffer = append(buffer[:0], buffer[complete:]...)
		}
		if errors.Is(err, io.EOF) {
			return e.end(buffer)
		}
		if err != nil {
			return err
		}
	}
}

// end ends the stream after its last bytes, which belong to no complete event. It returns an
// error if the stream was broken off.
func (e *eventWriter) end(rest []byte) error {
	if len(rest) > 0 && e.eventsOnly {
		return errEndsInsideEvent
	}
	if !e.framed && e.events == 0 {
		return errEndsAtOnce
	}
	return e.write(rest)
}

// The blank lines that end an event.
const (
	eventEnd        = "\n\n"
	longestEventEnd = "\r\n\r\n"
)

// completeEvents returns the length of the complete events at the start of data.
func completeEvents(data []byte) int {
	end := 0
	for _, mark := range []string{eventEnd, longestEventEnd} {
		if i := bytes.LastIndex(data, []byte(mark)); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

func (e *eventWriter) writeHeader() {
	if e.headerWritten {
		return
	}
	e.headerWritten = true
	copyHeader(e.w.Header(), e.header)
	e.writeHead(e.w, e.status)
}

// write sends complete events to the caller at once and records the id of the last one.
func (e *eventWriter) write(events []byte) error {
	e.writeHeader()
	e.countEvents(events)
	if err := e.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		klog.V(1).InfoS("stream: no write deadline", "error", persimlog.ErrorText(err))
	}
	_, err := e.w.Write(events)
	if err == nil {
		err = e.control.Flush()
	}
	if err != nil {
		e.callerGone = true
		return errors.Join(errCallerGone, err)
	}
	e.lastID = lastEventID(events, e.lastID)
	return nil
}

func (e *eventWriter) countEvents(events []byte) {
	e.lastAt = time.Now()
	if e.events == 0 {
		e.firstAt = e.lastAt
	}
	before := e.events
	e.events += bytes.Count(events, []byte(eventEnd)) + bytes.Count(events, []byte(longestEventEnd))
	e.pace.count(e.lastAt, e.events-before)
	if before < eventsWhenSound && e.events >= eventsWhenSound {
		e.onSound()
	}
}

// lastEventID returns the id of the last event that has one, or last if none has.
func lastEventID(events []byte, last string) string {
	for line := range strings.SplitSeq(string(events), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			last = strings.TrimSpace(value)
		}
	}
	return last
}
