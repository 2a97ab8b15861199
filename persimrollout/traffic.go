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

// maxServices bounds the services whose rollouts are known.
const maxServices = 1024

type traffic struct {
	config
	services map[string]*service
}

// NewTraffic returns a Traffic that knows no upstreams and no rollouts.
func NewTraffic(opts ...Option) Traffic {
	return &traffic{config: newConfig(opts), services: map[string]*service{}}
}

func (t *traffic) SetUpstreams(now time.Time, upstreams map[string][]persimcatalog.Upstream) {
	for name, list := range upstreams {
		t.service(name).setUpstreams(now, list, t.config)
	}
	for name, s := range t.services {
		if _, ok := upstreams[name]; ok {
			continue
		}
		s.setUpstreams(now, nil, t.config)
		if s.forgettable() {
			delete(t.services, name)
		}
	}
}

// service returns the state of a service and creates it on first use.
func (t *traffic) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = newService()
		t.services[name] = s
	}
	return s
}

func (t *traffic) Merge(now time.Time, received []News) []Change {
	var changes []Change
	for _, news := range received {
		s, ok := t.services[news.Service]
		// A final rollout of a service that is not listed is not kept.
		if !ok && (news.Phase.Final() || len(t.services) >= maxServices) || !news.valid() {
			continue
		}
		if !ok {
			s = t.service(news.Service)
		}
		if change, ok := s.merge(now, news, t.config); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

func (t *traffic) News(now time.Time) []News {
	var list []News
	for _, s := range t.services {
		if s.news.Phase != PhaseNone {
			list = append(list, s.export(now))
		}
	}
	return list
}

func (t *traffic) Assign(now time.Time, service string, requestHash uint64) Assignment {
	s, ok := t.services[service]
	if !ok {
		return Assignment{}
	}
	return Assignment{Side: s.assign(now, requestHash)}
}

func (t *traffic) Allowed(now time.Time, service string, upstream persimcatalog.Upstream, a Assignment) bool {
	s, ok := t.services[service]
	return !ok || s.allowed(now, &upstream, a.Side)
}

func (t *traffic) Begin(_ time.Time, service, route string, upstream persimcatalog.Upstream) (end func()) {
	s := t.service(service)
	version := upstream.Version
	s.running[version]++
	if count, ok := s.count(route, upstream); ok {
		count.Begun++
	}
	return func() {
		s.running[version]--
		if s.running[version] == 0 {
			delete(s.running, version)
		}
	}
}

func (t *traffic) Record(now time.Time, result Result) {
	s, ok := t.services[result.Service]
	if !ok || result.Outcome == OutcomeIgnored {
		return
	}
	count, ok := s.count(result.Route, result.Upstream)
	if !ok {
		return
	}
	count.add(result, s.timed(now, result))
}

func (t *traffic) Reports(now time.Time) []Report {
	var reports []Report
	for _, s := range t.services {
		if s.active() {
			reports = append(reports, s.report(now))
		}
	}
	return reports
}
