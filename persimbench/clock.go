// Package persimbench benchmarks the scheduling policies in a discrete-event
// simulation with stub upstreams, so that these figures are the same on every run.
// It also measures the overhead of an entry host and the costs behind the capacity
// page.
package persimbench

import (
	"container/heap"
	"time"
)

// event is an action scheduled at a virtual time; events at the same time run in
// the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

// eventQueue implements heap.Interface, with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// clock is a virtual clock that runs events in the order of their times.
type clock struct {
	now      time.Time
	sequence int
	queue    eventQueue
}

func newClock() *clock { return &clock{now: time.Unix(0, 0)} }

// after schedules an action after a delay.
func (c *clock) after(delay time.Duration, action func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now.Add(delay), sequence: c.sequence, action: action})
}

// every schedules an action at a fixed interval until the clock reaches end.
func (c *clock) every(interval time.Duration, end time.Time, action func()) {
	c.after(interval, func() {
		action()
		if c.now.Before(end) {
			c.every(interval, end, action)
		}
	})
}

// runUntil runs events until the queue is empty or the next event is later than end.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.action()
	}
}
