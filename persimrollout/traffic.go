package persimrollout

import (
	"time"

	"persimmonport.example/persimcatalog"
)

// Traffic is what one host does: it merges news of rollouts, assigns requests to sides and
// counts their results. It is not safe for concurrent use, nor are the functions that it
// returns.
type Traffic interface {
	// SetUpstreams replaces the upstreams by service, with those that are leaving.
	SetUpstreams(now time.Time, upstreams map[string][]persimcatalog.Upstream)
	// Merge adds what another host or the lease holder tells, and returns what changed.
	Merge(now time.Time, received []News) []Change
	// News returns what the other hosts are to know.
	News(now time.Time) []News
	// Assign returns the side of a request. Retries of a request have the same hash; one that
	// failed at the target, or finds no capacity there, is sent with Fallback.
	Assign(now time.Time, service string, requestHash uint64) Assignment
	// Allowed reports whether a request may be sent to an upstream of the service.
	Allowed(now time.Time, service string, upstream persimcatalog.Upstream, a Assignment) bool
	// Begin counts a request that is sent to an upstream. The function returned is called
	// once, when the request has ended there.
	Begin(now time.Time, service, route string, upstream persimcatalog.Upstream) (end func())
	// Record counts the result of a request for which Begin was called.
	Record(now time.Time, result Result)
	// Reports returns what the lease holder is to know of the rollouts that are not final.
	Reports(now time.Time) []Report
}

// Assignment tells which side of a rollout a request is sent to.
type Assignment struct{ Side Side }

// Fallback returns the assignment with which a request is sent that the target failed or has
// no capacity for, and whether that is another one.
func (a Assignment) Fallback() (Assignment, bool) {
	if a.Side != SideTarget {
		return a, false
	}
	return Assignment{Side: SideCurrent}, true
}

// Outcome tells how a request ended at an upstream.
type Outcome int

// Outcomes of requests.
const (
	// OutcomeIgnored says nothing of the version: the caller left, or the request was rejected
	// and has not run.
	OutcomeIgnored Outcome = iota
	// OutcomeSuccess is a whole response that is no failure.
	OutcomeSuccess
	// OutcomeFailed is a response of 500 or more that does not say that it has not run, one
	// that was broken off, bytes that are none, or a connection that broke after the request
	// was sent.
	OutcomeFailed
	// OutcomeTimeout is a response that did not come in time.
	OutcomeTimeout
)

// Result is the result of a request at an upstream.
type Result struct {
	Service, Route string
	Upstream       persimcatalog.Upstream
	Outcome        Outcome
	// First is the time to the first byte of the response, Pace that between output tokens.
	// Each is left out where its expected time is zero.
	First, FirstExpected time.Duration
	Pace, PaceExpected   time.Duration
	// Cold is set while the upstream says that it is still warming up.
	Cold bool
}

type traffic struct {
	config
	Traffic
}

// NewTraffic returns a Traffic that knows no upstreams and no rollouts.
func NewTraffic(opts ...Option) Traffic { return &traffic{config: newConfig(opts)} }
