// Package persimlog provides a log sink that never blocks the code that logs.
package persimlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultQueueSize is the number of lines that the queue holds.
	DefaultQueueSize = 1024
	// DefaultLinesPerSecond is the number of lines that are written per second.
	DefaultLinesPerSecond = 400
)

type config struct {
	queueSize      int
	linesPerSecond int
}

// Option configures a sink.
type Option func(*config)

// WithLinesPerSecond limits the number of lines written per second.
func WithLinesPerSecond(lines int) Option { return func(c *config) { c.linesPerSecond = lines } }

type sink struct {
	config
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a writer that forwards lines to out from a bounded queue, and a clean-up
// function that writes the queued lines. Lines that exceed the queue or the rate limit
// are dropped and counted.
func New(out io.Writer, opts ...Option) (io.Writer, func()) {
	c := config{queueSize: DefaultQueueSize, linesPerSecond: DefaultLinesPerSecond}
	for _, opt := range opts {
		opt(&c)
	}
	s := &sink{config: c, out: out, lines: make(chan []byte, c.queueSize), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s, s.close
}

func (s *sink) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case s.lines <- copied:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *sink) run() {
	defer close(s.done)
	window := &rateWindow{limit: s.linesPerSecond}
	for {
		select {
		case line := <-s.lines:
			s.writeLimited(window, line)
		case <-s.stop:
			s.drain(window)
			return
		}
	}
}

func (s *sink) drain(window *rateWindow) {
	for {
		select {
		case line := <-s.lines:
			s.writeLimited(window, line)
		default:
			s.reportDropped()
			return
		}
	}
}

// rateWindow counts the lines written within one second.
type rateWindow struct {
	limit   int
	start   time.Time
	written int
}

func (s *sink) writeLimited(w *rateWindow, line []byte) {
	now := time.Now()
	if now.Sub(w.start) >= time.Second {
		s.reportDropped()
		w.start = now
		w.written = 0
	}
	if w.written >= w.limit {
		s.dropped.Add(1)
		return
	}
	w.written++
	s.write(line)
}

// write ignores errors, since they cannot be reported anywhere else.
func (s *sink) write(line []byte) { _, _ = s.out.Write(line) }

func (s *sink) reportDropped() {
	if dropped := s.dropped.Swap(0); dropped > 0 {
		s.write(fmt.Appendf(nil, "log: lines dropped=%d\n", dropped))
	}
}

func (s *sink) close() {
	s.once.Do(func() {
		close(s.stop)
		<-s.done
	})
}
