// Package persimlog writes log lines without ever blocking the one who logs.
package persimlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultQueue is the number of lines that may wait.
	DefaultQueue = 1024
	// DefaultPerSecond is the number of lines that are written in a second.
	DefaultPerSecond = 400
)

type config struct {
	queue     int
	perSecond int
}

// An Option changes the configuration of a sink.
type Option func(*config)

// WithPerSecond bounds the lines written in a second.
func WithPerSecond(lines int) Option { return func(c *config) { c.perSecond = lines } }

type sink struct {
	config
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a writer that passes lines on to out and drops those beyond its
// bounds, and a clean-up function that writes what still waits.
func New(out io.Writer, opts ...Option) (io.Writer, func()) {
	c := config{queue: DefaultQueue, perSecond: DefaultPerSecond}
	for _, opt := range opts {
		opt(&c)
	}
	s := &sink{config: c, out: out, lines: make(chan []byte, c.queue), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s, s.close
}

func (s *sink) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *sink) run() {
	defer close(s.done)
	window := &window{limit: s.perSecond}
	for {
		select {
		case line := <-s.lines:
			s.pass(window, line)
		case <-s.stop:
			s.drain(window)
			return
		}
	}
}

func (s *sink) drain(window *window) {
	for {
		select {
		case line := <-s.lines:
			s.pass(window, line)
		default:
			s.reportDropped()
			return
		}
	}
}

// window counts the lines of one second.
type window struct {
	limit   int
	start   time.Time
	written int
}

func (s *sink) pass(w *window, line []byte) {
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

// write ignores errors, since there is no other place to report them to.
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
