// Package persimqueue orders waiting jobs by class, organisation and arrival.
//
// Each class of jobs has its own lane. Within a lane, start-time fair queueing
// on the expected service time shares the capacity among organisations. Short
// jobs go first; once the next long job has waited for more than a set share of
// the time from its arrival to its deadline, the lanes alternate.
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

// A Lane selects the queue for one class of jobs.
type Lane int

// Defaults of a queue.
const (
	// DefaultLimit is the maximum number of waiting jobs.
	DefaultLimit = 4096
	// DefaultAgingThreshold is the share of the time from arrival to deadline after
	// which a waiting long job goes before a short one.
	DefaultAgingThreshold = 0.25
)

// An Item describes a waiting job to the queue.
type Item struct {
	ID           string
	Organisation string
	Lane         Lane
	// ServiceTime is the expected service time.
	ServiceTime time.Duration
	Arrived     time.Time
	Deadline    time.Time

	// startTag is the start tag of fair queueing, in seconds of virtual time.
	startTag float64
}

// WithArrived returns a copy of the item with the given arrival time.
func (i Item) WithArrived(arrived time.Time) Item {
	i.Arrived = arrived
	return i
}

type config struct {
	limit          int
	agingThreshold float64
}

// An Option changes the configuration of a queue.
type Option func(*config)

// WithLimit sets the maximum number of waiting jobs.
func WithLimit(limit int) Option { return func(c *config) { c.limit = limit } }

// WithAgingThreshold sets the share of the time from arrival to deadline after
// which a waiting long job goes before a short one.
func WithAgingThreshold(threshold float64) Option {
	return func(c *config) { c.agingThreshold = threshold }
}

// A Queue holds waiting jobs. It is not safe for concurrent use.
type Queue interface {
	// Push adds an item. When the queue is full, it removes and returns the newest
	// item of the organisation with the most waiting work, which may be the item itself.
	Push(item Item) (shed Item, full bool)
	// Pop removes the first item that accept reports true for and returns it.
	Pop(now time.Time, accept func(Item) bool) (Item, bool)
	// Remove removes an item and reports whether it was waiting.
	Remove(id string) bool
	// Expire removes and returns the items that cannot finish before their deadline, even
	// in half the expected service time.
	Expire(now time.Time) []Item
	// Len returns the number of waiting items.
	Len() int
	// Work returns the expected service time of all waiting items.
	Work() time.Duration
	// WorkOf returns the expected service time of one organisation's waiting items.
	WorkOf(organisation string) time.Duration
	// Organisations returns the number of organisations with waiting items.
	Organisations() int
}

// flow holds the waiting items of one organisation in one lane and the finish tag
// of the last one.
type flow struct {
	items     []Item
	finishTag float64
}

// lane is the fair queue of one class of jobs. Its virtual time is in seconds.
type lane struct {
	flows       map[string]*flow
	virtualTime float64
}

type queue struct {
	config
	lanes              [laneCount]lane
	workByOrganisation map[string]time.Duration
	length             int
	// lastLane is the lane of the last item that was popped.
	lastLane Lane
}

// New returns an empty queue.
func New(opts ...Option) Queue {
	c := config{limit: DefaultLimit, agingThreshold: DefaultAgingThreshold}
	for _, opt := range opts {
		opt(&c)
	}
	q := &queue{config: c, workByOrganisation: map[string]time.Duration{}}
	for i := range q.lanes {
		q.lanes[i].flows = map[string]*flow{}
	}
	return q
}

func (q *queue) Len() int { return q.length }

func (q *queue) Organisations() int { return len(q.workByOrganisation) }

func (q *queue) WorkOf(organisation string) time.Duration { return q.workByOrganisation[organisation] }

func (q *queue) Work() time.Duration {
	var total time.Duration
	for _, work := range q.workByOrganisation {
		total += work
	}
	return total
}

func (q *queue) Push(item Item) (Item, bool) {
	q.enqueue(item)
	if q.length <= q.limit {
		return Item{}, false
	}
	return q.shedNewest(), true
}

func (q *queue) enqueue(item Item) {
	l := &q.lanes[item.Lane]
	f, ok := l.flows[item.Organisation]
	if !ok {
		f = &flow{finishTag: l.virtualTime}
		l.flows[item.Organisation] = f
	}
	item.startTag = max(l.virtualTime, f.finishTag)
	f.finishTag = item.startTag + item.ServiceTime.Seconds()
	f.items = append(f.items, item)
	q.workByOrganisation[item.Organisation] += item.ServiceTime
	q.length++
}

// shedNewest removes the newest item of the organisation with the most waiting work.
func (q *queue) shedNewest() Item {
	heaviest := ""
	for organisation, work := range q.workByOrganisation {
		heavier := work > q.workByOrganisation[heaviest]
		tie := work == q.workByOrganisation[heaviest] && organisation < heaviest
		if heaviest == "" || heavier || tie {
			heaviest = organisation
		}
	}
	var target *flow
	for i := range q.lanes {
		f, ok := q.lanes[i].flows[heaviest]
		if !ok || len(f.items) == 0 {
			continue
		}
		if target == nil || newest(f).Arrived.After(newest(target).Arrived) {
			target = f
		}
	}
	item := newest(target)
	target.items = target.items[:len(target.items)-1]
	target.finishTag = item.startTag
	q.removeFromTotals(item)
	return item
}

func newest(f *flow) Item { return f.items[len(f.items)-1] }

// removeFromTotals subtracts a removed item from the length and the waiting work.
func (q *queue) removeFromTotals(item Item) {
	q.length--
	q.workByOrganisation[item.Organisation] -= item.ServiceTime
	if q.workByOrganisation[item.Organisation] <= 0 {
		delete(q.workByOrganisation, item.Organisation)
	}
}

func (q *queue) Pop(now time.Time, accept func(Item) bool) (Item, bool) {
	for _, index := range q.laneOrder(now) {
		if item, ok := q.popLane(index, accept); ok {
			return item, true
		}
	}
	return Item{}, false
}

// laneOrder returns the lanes in the order in which Pop tries them. While the
// next long job has waited past the aging threshold, the lanes alternate.
func (q *queue) laneOrder(now time.Time) []Lane {
	if q.longLaneDue(now) && q.lastLane == LaneShort {
		return []Lane{LaneLong, LaneShort}
	}
	return []Lane{LaneShort, LaneLong}
}

// longLaneDue reports whether the next long job has waited past the aging
// threshold. It checks only that job, so that an organisation does not speed up
// its own work by its backlog.
func (q *queue) longLaneDue(now time.Time) bool {
	l := &q.lanes[LaneLong]
	organisations := l.byStartTag()
	if len(organisations) == 0 {
		return false
	}
	head := l.flows[organisations[0]].items[0]
	patience := head.Deadline.Sub(head.Arrived)
	return now.Sub(head.Arrived).Seconds() > q.agingThreshold*patience.Seconds()
}

func (q *queue) popLane(index Lane, accept func(Item) bool) (Item, bool) {
	l := &q.lanes[index]
	for _, organisation := range l.byStartTag() {
		f := l.flows[organisation]
		item := f.items[0]
		if !accept(item) {
			continue
		}
		f.items = f.items[1:]
		l.virtualTime = max(l.virtualTime, item.startTag)
		q.lastLane = index
		q.removeFromTotals(item)
		return item, true
	}
	return Item{}, false
}

// byStartTag returns the organisations with waiting items, the least served first,
// and deletes idle flows whose finish tag has passed.
func (l *lane) byStartTag() []string {
	var organisations []string
	for organisation, f := range l.flows {
		if len(f.items) > 0 {
			organisations = append(organisations, organisation)
			continue
		}
		if f.finishTag <= l.virtualTime {
			delete(l.flows, organisation)
		}
	}
	slices.SortFunc(organisations, func(a, b string) int {
		first, second := l.flows[a].items[0].startTag, l.flows[b].items[0].startTag
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
	return organisations
}

func (q *queue) Remove(id string) bool {
	removed := q.removeMatching(func(item Item) bool { return item.ID == id })
	return len(removed) > 0
}

func (q *queue) Expire(now time.Time) []Item {
	return q.removeMatching(func(item Item) bool { return now.Add(item.ServiceTime / 2).After(item.Deadline) })
}

func (q *queue) removeMatching(match func(Item) bool) []Item {
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
		q.removeFromTotals(item)
	}
	slices.SortFunc(removed, func(a, b Item) int { return a.Arrived.Compare(b.Arrived) })
	return removed
}
