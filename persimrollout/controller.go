package persimrollout

import (
	"time"

	"persimmonport.example/persimcatalog"
)

// Controller is what the lease holder decides for the rollouts of one service. A lease holder
// makes one for each service with an object or a record. It is not safe for concurrent use.
type Controller interface {
	// SetObject sets the operator's object as read from the store or returned by a write, or
	// nil if there is none.
	SetObject(now time.Time, object *Object)
	// SetRecord sets the record as read from the store or as written, or nil if there is none.
	SetRecord(now time.Time, record *Record)
	// Observe adds the counters of a host. Incarnation names one run of the host.
	Observe(now time.Time, host, incarnation string, report Report)
	// Decide returns what to announce and to write now. It is called at least twice a second
	// while the lease is held.
	Decide(now time.Time, fleet Fleet) Decision
}

// Fleet is what the lease holder knows of hosts and upstreams.
type Fleet struct {
	Hosts []Host
	// Upstreams are those of the service that take requests, in any version.
	Upstreams []persimcatalog.Upstream
	// Known is what Traffic.News of the lease holder says of the service, if anything.
	Known *News
	// Configured is set if the configuration has the service.
	Configured bool
}

// Host is a host as the lease holder knows it.
type Host struct {
	Name, Incarnation string
	// Registered is set if the host's registration is there.
	Registered bool
	// HeardAt is when the host was last heard of, or zero.
	HeardAt time.Time
}

// Decision is what the lease holder does next.
type Decision struct {
	// News is announced to all hosts, by Traffic.Merge and with replies and exchanges. It is nil
	// if there is no rollout.
	News *News
	// Record is written to the store if it is not nil. After the write, or a read that shows
	// the record, SetRecord is called. Forget is set if the record is deleted instead.
	Record *Record
	Forget bool
	// Status is written with the revision of the last object if it is not nil. Whatever the
	// write returns, the object is read again and SetObject called before the next one.
	Status *Status
	// Changes are the changes since the last decision, for the log.
	Changes []Change
	// Active is set while the planner must not order fewer upstreams of the service.
	Active bool
}

type controller struct {
	config
	Controller
	service string
	fence   int64
}

// NewController returns a Controller for a service under a lease with this fencing token.
func NewController(service string, fence int64, opts ...Option) Controller {
	return &controller{config: newConfig(opts), service: service, fence: fence}
}
