package persimrollout

import (
	"slices"
	"time"

	"persimmonport.example/persimcatalog"
)

func (c *controller) SetObject(_ time.Time, object *Object) {
	c.objectRead = true
	c.object = nil
	if object != nil {
		copied := *object
		c.object = &copied
	}
}

func (c *controller) SetRecord(_ time.Time, record *Record) {
	c.recordRead = true
	c.record = nil
	if record != nil {
		copied := *record
		copied.Closed = slices.Clone(record.Closed)
		c.record = &copied
	}
}

// settle determines the order to carry out and takes over what former lease holders did.
func (c *controller) settle(now time.Time, fleet Fleet) {
	if !c.ordered {
		c.resume(now, fleet.Known)
	}
	c.follow(now, fleet.Known)
	if c.objectRead && c.recordRead {
		c.obey(now)
		// Where the record is lost, the status still tells that the order is decided.
		c.follow(now, fleet.Known)
	}
	c.forgetClosed(fleet)
}

// resume takes up the order of the record or the one that hosts know, the later one if they
// differ: the record can be written later than the order is announced.
func (c *controller) resume(now time.Time, known *News) {
	if c.record != nil {
		c.begin(now, c.record.Order, c.record.Start, c.record.Closed)
		c.phase, c.removed = c.record.Phase, c.record.Removed
	}
	if known == nil {
		return
	}
	start := now.Add(-known.Elapsed - known.Age)
	switch {
	case !c.ordered || !known.same(c.order) && start.After(c.start):
		c.begin(now, known.Order, start, known.Closed)
		c.phase = known.Phase
	case known.same(c.order):
		// The clock of the host that wrote the record may differ.
		c.start = start
	}
}

// begin takes up an order. Its counters start anew.
func (c *controller) begin(now time.Time, order Order, start time.Time, closed []string) {
	c.order, c.ordered, c.phase = order, true, PhaseObserving
	c.start, c.orderAt, c.phaseAt = start, now, now
	c.closed = slices.Clone(closed)
	c.removed, c.shift, c.done = false, false, false
	c.unusableAt = time.Time{}
	c.metrics, c.hosts, c.lastRate = metrics{}, map[string]*reporter{}, 0
}

// follow takes over a later phase of the order that hosts or the store know.
func (c *controller) follow(now time.Time, known *News) {
	if !c.ordered {
		return
	}
	if known != nil && known.same(c.order) && known.Phase.follows(c.phase) {
		c.closed = merge(c.closed, known.Closed)
		c.enter(now, known.Phase, "a former lease holder announced it")
	}
	if !c.shift && c.record != nil && c.record.same(c.order) && c.record.Phase.follows(c.phase) {
		c.closed = merge(c.closed, c.record.Closed)
		c.enter(now, c.record.Phase, "the record says so")
	}
	if c.object == nil || c.refusal != "" || c.object.Target != c.order.Target || c.object.Status.Target != c.order.Target {
		return
	}
	switch state := c.object.Status.State; {
	case state == StateCompleted && PhaseCompleted.follows(c.phase):
		c.enter(now, PhaseCompleted, "the status says so")
	case state == StateRolledBack && PhaseRolledBack.follows(c.phase):
		c.close(c.order.Target)
		c.enter(now, PhaseRolledBack, "the status says so")
	}
}

// obey does what the operator's object asks for where that is another order.
func (c *controller) obey(now time.Time) {
	refusal := ""
	if c.object != nil {
		refusal = c.object.refusal()
	}
	decided := c.object != nil && c.ordered && c.phase.Final() && !c.removed && c.object.Target == c.order.Target
	switch {
	case decided:
		c.refusal = ""
	case c.object == nil:
		c.refusal = ""
		c.remove(now, "the object was removed")
	case refusal != "":
		c.refuse(now, refusal)
	case !c.ordered || c.removed || c.object.Target != c.order.Target:
		c.refusal = ""
		c.replace(now)
	}
}

// refusal tells why an order can't be carried out, or is empty.
func (o *Object) refusal() string {
	switch {
	case o.Problem != "":
		return o.Problem
	case o.Target == "":
		return "the target is empty"
	case o.Duration <= 0:
		return "the duration is not positive"
	case o.Duration > MaxDuration:
		return "the duration is above 24 h"
	default:
		return ""
	}
}

// refuse leaves the traffic as it is, but for an order that the refused one replaces.
func (c *controller) refuse(now time.Time, refusal string) {
	if c.refusal != refusal {
		c.changes = append(c.changes, Change{Order: c.object.Order, To: PhaseRolledBack, Cause: refusal, Fence: c.fence})
	}
	c.refusal = refusal
	c.remove(now, "the order was replaced by one that is refused")
}

// remove ends an order that is not decided.
func (c *controller) remove(now time.Time, cause string) {
	if !c.ordered || c.phase.Final() || c.removed {
		return
	}
	c.removed = true
	c.close(c.order.Target)
	if c.phase != PhaseReverting {
		c.enter(now, PhaseReverting, cause)
	}
}

// replace begins the order of the object. The target of a former one that was not completed
// stays closed.
func (c *controller) replace(now time.Time) {
	closed := c.closed
	if c.ordered && c.phase != PhaseCompleted {
		closed = merge(closed, []string{c.order.Target})
	}
	target := c.object.Target
	closed = slices.DeleteFunc(slices.Clone(closed), func(version string) bool { return version == target })
	c.begin(now, c.object.Order, now, closed)
	c.changes = append(c.changes, Change{Order: c.order, To: PhaseObserving, Cause: "the operator ordered it", Fence: c.fence})
}

func (c *controller) close(version string) { c.closed = merge(c.closed, []string{version}) }

// forgetClosed forgets the closed versions that no upstream has. The target of the order is
// kept, as hosts are told of it with the phase.
func (c *controller) forgetClosed(fleet Fleet) {
	if len(fleet.Upstreams) == 0 {
		return
	}
	c.closed = slices.DeleteFunc(c.closed, func(version string) bool {
		return version != c.order.Target && !slices.ContainsFunc(fleet.Upstreams, func(u persimcatalog.Upstream) bool { return u.Version == version })
	})
}

// merge returns the versions of both lists, the last ones where there are too many.
func merge(closed, more []string) []string {
	merged := slices.Clone(closed)
	for _, version := range more {
		if !slices.Contains(merged, version) {
			merged = append(merged, version)
		}
	}
	return merged[max(0, len(merged)-maxClosed):]
}
