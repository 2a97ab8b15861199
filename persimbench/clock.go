// Package persimbench measures policies in virtual time with small fakes of
// upstreams, so that its figures are the same on every run.
package persimbench

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clock runs events in the order of their virtual times.
type clock struct {
	now      time.Time
	sequence int
	queue    events
}

func newClock() *clock { return &clock{now: time.Unix(0, 0)} }

// after runs a function after a span.
func (c *clock) after(span time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(span), sequence: c.sequence, do: do})
}

// every runs a function at an interval until a time.
func (c *clock) every(interval time.Duration, until time.Time, do func()) {
	c.after(interval, func() {
		do()
		if c.now.Before(until) {
			c.every(interval, until, do)
		}
	})
}

// run runs events until none is left or a time is reached.
func (c *clock) run(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.do()
	}
}
