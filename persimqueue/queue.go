// Package persimqueue orders waiting jobs by class, organisation and arrival.
//
// Jobs of each class wait in one lane. Within a lane the organisations share
// by start-time fair queueing on the expected service time. Short jobs go
// first, until a long job has waited for its share of its patience.
package persimqueue

import (
	"slices"
	"time"
)

// Lanes of a queue.
const (
	LaneShort Lane = iota
	LaneLong
	laneCount
)

// A Lane holds the jobs of one expected length.
type Lane int

// Defaults of a queue.
const (
	// DefaultLimit is the number of waiting jobs.
	DefaultLimit = 4096
	// DefaultAgeShare is the share of its patience after which a long job goes first.
	DefaultAgeShare = 0.25
)

// An Item is a waiting job as the queue sees it.
type Item struct {
	ID           string
	Organisation string
	Lane         Lane
	// Expected is the expected service time.
	Expected time.Duration
	Arrived  time.Time
	Deadline time.Time

	start float64
}

// WithArrived returns a copy of the item that arrived at another time.
func (i Item) WithArrived(arrived time.Time) Item {
	i.Arrived = arrived
	return i
}

type config struct {
	limit    int
	ageShare float64
}

// An Option changes the configuration of a queue.
type Option func(*config)

// WithLimit sets the number of waiting jobs.
func WithLimit(limit int) Option { return func(c *config) { c.limit = limit } }

// WithAgeShare sets the share of its patience after which a long job goes first.
func WithAgeShare(share float64) Option { return func(c *config) { c.ageShare = share } }

// A Queue holds waiting jobs. It is not safe for concurrent use.
type Queue interface {
	// Push adds an item. When the queue is full, it removes and returns the newest
	// item of the organisation with the most waiting work, which may be the item itself.
	Push(item Item) (shed Item, full bool)
	// Pop removes and returns the first item that fits.
	Pop(now time.Time, fits func(Item) bool) (Item, bool)
	// Remove removes an item and reports whether it was waiting.
	Remove(id string) bool
	// Expire removes and returns the items that cannot finish before their deadline.
	Expire(now time.Time) []Item
	// Len returns the number of waiting items.
	Len() int
	// Work returns the expected service time of all waiting items.
	Work() time.Duration
	// WorkOf returns the expected service time of one organisation's waiting items.
	WorkOf(organisation string) time.Duration
	// Organisations returns the number of organisations that wait.
	Organisations() int
}

// flow is the waiting work of one organisation in one lane.
type flow struct {
	items  []Item
	finish float64
}

type lane struct {
	flows   map[string]*flow
	virtual float64
}

type queue struct {
	config
	lanes [laneCount]lane
	work  map[string]time.Duration
	size  int
	// lastLane is the lane of the last item that was popped.
	lastLane Lane
}

// New returns an empty queue.
func New(opts ...Option) Queue {
	c := config{limit: DefaultLimit, ageShare: DefaultAgeShare}
	for _, opt := range opts {
		opt(&c)
	}
	q := &queue{config: c, work: map[string]time.Duration{}}
	for i := range q.lanes {
		q.lanes[i].flows = map[string]*flow{}
	}
	return q
}

func (q *queue) Len() int { return q.size }

func (q *queue) Organisations() int { return len(q.work) }

func (q *queue) WorkOf(organisation string) time.Duration { return q.work[organisation] }

func (q *queue) Work() time.Duration {
	var total time.Duration
	for _, work := range q.work {
		total += work
	}
	return total
}

func (q *queue) Push(item Item) (Item, bool) {
	q.add(item)
	if q.size <= q.limit {
		return Item{}, false
	}
	return q.shed(), true
}

func (q *queue) add(item Item) {
	l := &q.lanes[item.Lane]
	f, ok := l.flows[item.Organisation]
	if !ok {
		f = &flow{finish: l.virtual}
		l.flows[item.Organisation] = f
	}
	item.start = max(l.virtual, f.finish)
	f.finish = item.start + item.Expected.Seconds()
	f.items = append(f.items, item)
	q.work[item.Organisation] += item.Expected
	q.size++
}

// shed removes the newest item of the organisation with the most waiting work.
func (q *queue) shed() Item {
	heaviest := ""
	for organisation, work := range q.work {
		heavier := work > q.work[heaviest]
		tie := work == q.work[heaviest] && organisation < heaviest
		if heaviest == "" || heavier || tie {
			heaviest = organisation
		}
	}
	var newest *flow
	for i := range q.lanes {
		f, ok := q.lanes[i].flows[heaviest]
		if !ok || len(f.items) == 0 {
			continue
		}
		if newest == nil || last(f).Arrived.After(last(newest).Arrived) {
			newest = f
		}
	}
	item := last(newest)
	newest.items = newest.items[:len(newest.items)-1]
	newest.finish = item.start
	q.forget(item)
	return item
}

func last(f *flow) Item { return f.items[len(f.items)-1] }

func (q *queue) forget(item Item) {
	q.size--
	q.work[item.Organisation] -= item.Expected
	if q.work[item.Organisation] <= 0 {
		delete(q.work, item.Organisation)
	}
}

func (q *queue) Pop(now time.Time, fits func(Item) bool) (Item, bool) {
	for _, index := range q.order(now) {
		if item, ok := q.popLane(index, fits); ok {
			return item, true
		}
	}
	return Item{}, false
}

// order returns the lanes in the order in which they are asked. While long jobs
// have waited for their share of patience, the lanes take turns.
func (q *queue) order(now time.Time) []Lane {
	if q.longIsDue(now) && q.lastLane == LaneShort {
		return []Lane{LaneLong, LaneShort}
	}
	return []Lane{LaneShort, LaneLong}
}

// longIsDue looks at the long job that would be next, so that the backlog of one
// organisation does not speed up its own work.
func (q *queue) longIsDue(now time.Time) bool {
	l := &q.lanes[LaneLong]
	names := l.byStart()
	if len(names) == 0 {
		return false
	}
	head := l.flows[names[0]].items[0]
	patience := head.Deadline.Sub(head.Arrived)
	return now.Sub(head.Arrived).Seconds() > q.ageShare*patience.Seconds()
}

func (q *queue) popLane(index Lane, fits func(Item) bool) (Item, bool) {
	l := &q.lanes[index]
	for _, organisation := range l.byStart() {
		f := l.flows[organisation]
		item := f.items[0]
		if !fits(item) {
			continue
		}
		f.items = f.items[1:]
		l.virtual = max(l.virtual, item.start)
		q.lastLane = index
		q.forget(item)
		return item, true
	}
	return Item{}, false
}

// byStart returns the organisations with waiting items, the least served first.
func (l *lane) byStart() []string {
	var names []string
	for name, f := range l.flows {
		if len(f.items) > 0 {
			names = append(names, name)
			continue
		}
		if f.finish <= l.virtual {
			delete(l.flows, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		first, second := l.flows[a].items[0].start, l.flows[b].items[0].start
		switch {
		case first < second:
			return -1
		case first > second:
			return 1
		case a < b:
			return -1
		default:
			return 1
		}
	})
	return names
}

func (q *queue) Remove(id string) bool {
	removed := q.removeIf(func(item Item) bool { return item.ID == id })
	return len(removed) > 0
}

func (q *queue) Expire(now time.Time) []Item {
	return q.removeIf(func(item Item) bool { return now.Add(item.Expected / 2).After(item.Deadline) })
}

func (q *queue) removeIf(match func(Item) bool) []Item {
	var removed []Item
	for i := range q.lanes {
		for _, f := range q.lanes[i].flows {
			f.items = slices.DeleteFunc(f.items, func(item Item) bool {
				if !match(item) {
					return false
				}
				removed = append(removed, item)
				return true
			})
		}
	}
	for _, item := range removed {
		q.forget(item)
	}
	slices.SortFunc(removed, func(a, b Item) int { return a.Arrived.Compare(b.Arrived) })
	return removed
}
