package persimsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonport.example/persimstand"
)

// Report is the result of one run.
type Report struct {
	Requests int
	Served   int
	Refused  int
	// AfterIdle counts the requests on connections that had been idle for longer than
	// longIdleTime.
	AfterIdle int
	// Poison describes what was checked of requests with the deadly part, if there were any.
	Poison string
	// Rollout describes what was checked of a rollout, if there was one.
	Rollout string
	// Drills describes what was checked after the last drill of the store, if there was one.
	Drills string
	// Tolerated lists the violations that do not fail the run.
	Tolerated []string
	// Violations lists each violated guarantee with the observation.
	Violations []string
}

const (
	// maxTolerated is the number of violations recorded by recordTolerated that a
	// guarantee may have before the run fails.
	maxTolerated = 3
	// timingTolerance is added to each bound, since callers and upstreams read the
	// clock only after the event.
	timingTolerance = 50 * time.Millisecond
	// storeFaultSlack is how much faults of the store extend the time bound of a
	// configuration change.
	storeFaultSlack = 6 * time.Second
	recoveryWindow  = time.Second
	// maxHoldTime is the time that a host may take to pass on the end of a response.
	maxHoldTime = 500 * time.Millisecond
	// longIdleTime is above the time limit of a host for a write to a caller.
	longIdleTime = 5 * time.Second
)

// checker compares what callers and upstreams observe with the guarantees of the hosts.
type checker struct {
	system *system

	mu         sync.Mutex
	outcomes   []outcome
	sentIDs    map[string]bool
	violations []string
	// tolerated holds, by guarantee, the violations of which maxTolerated are allowed.
	tolerated map[string][]string
}

func newChecker(s *system) *checker {
	return &checker{system: s, sentIDs: map[string]bool{}, tolerated: map[string][]string{}}
}

// recordViolation records a violated guarantee, which fails the run.
func (c *checker) recordViolation(guarantee, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, guarantee+": "+fmt.Sprintf(format, args...))
}

// recordTolerated records a violation that fails the run only if there are more than
// maxTolerated of its guarantee.
func (c *checker) recordTolerated(guarantee, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tolerated[guarantee] = append(c.tolerated[guarantee], fmt.Sprintf(format, args...))
}

// recordError records an error of the soak test itself.
func (c *checker) recordError(err error) {
	if err != nil {
		c.recordViolation("soak", "%v", err)
	}
}

func (c *checker) hostExited(host string) {
	c.recordViolation("processes stay up", "%s exited unexpectedly", host)
}

// observe checks an outcome as soon as its request has ended, and keeps it.
func (c *checker) observe(o outcome) {
	executions := c.system.upstreams.executions.forRequest(o.id)
	c.checkResponse(o, executions)
	c.checkRevokedKey(o, executions)
	c.checkRouteChange(o, executions)
	c.checkDenials(o)
	c.checkLeaving(o, executions)
	c.checkLost(o, executions)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	c.sentIDs[o.id] = true
}

// checkResponse checks that a response comes from an upstream that ran this request and
// that its body is unchanged.
func (c *checker) checkResponse(o outcome, executions []execution) {
	if o.status != http.StatusOK {
		return
	}
	signed := slices.ContainsFunc(executions, func(e execution) bool { return persimstand.Signature(e.upstream, o.id) == o.signature })
	if !signed || o.echoedID != o.id {
		c.recordViolation("responses belong to their requests", "%s got signature %q and id %q", o.id, o.signature, o.echoedID)
	}
	want := persimstand.ResponseBody(o.path, o.requestBody)
	if o.isStream() {
		want = ""
		for number := 1; number <= persimstand.StreamEvents; number++ {
			want += persimstand.StreamEvent(o.id, number)
		}
	}
	got := string(o.body)
	if o.complete && got != want || !strings.HasPrefix(want, got) {
		c.recordViolation("responses are unchanged", "%s got %d bytes, complete %t, of %d", o.id, len(got), o.complete, len(want))
	}
}

func (c *checker) checkRevokedKey(o outcome, executions []execution) {
	revokedAt, revoked := c.system.operator.revokedAt(o.key)
	if revoked && len(executions) > 0 && o.sent.After(revokedAt.Add(bounds().KeyRevocation+timingTolerance)) {
		c.recordViolation("revoked keys stop working", "%s ran %s after its key was revoked", o.id, o.sent.Sub(revokedAt))
	}
}

func (c *checker) checkRouteChange(o outcome, executions []execution) {
	if !strings.HasPrefix(o.path, toggledPath) {
		return
	}
	change, ok := c.system.operator.lastRouteChange(o.sent)
	if later, _ := c.system.operator.lastRouteChange(o.ended); !ok || later != change {
		return
	}
	if !c.mustBeApplied(o, change.at) {
		return
	}
	if !change.present && len(executions) > 0 {
		c.recordViolation("configurations take effect", "%s ran %s after its route was removed", o.id, o.sent.Sub(change.at))
	}
	if change.present && o.status == http.StatusNotFound {
		c.recordViolation("configurations take effect", "%s got 404 %s after its route was added", o.id, o.sent.Sub(change.at))
	}
}

// mustBeApplied reports whether the host of an outcome must have applied a configuration
// that was stored at storedAt.
func (c *checker) mustBeApplied(o outcome, storedAt time.Time) bool {
	h := c.system.hosts[o.hostIndex]
	return o.sent.After(storedAt.Add(bounds().ConfigApply+timingTolerance)) && h.faultFree(storedAt, o.ended, true)
}

// checkDenials checks that valid requests are not answered with 401 or 404.
func (c *checker) checkDenials(o outcome) {
	if strings.HasPrefix(o.path, toggledPath) {
		return
	}
	if o.status == http.StatusNotFound {
		c.recordViolation("valid requests are not denied", "%s got 404", o.id)
	}
	if _, revoked := c.system.operator.revokedAt(o.key); revoked || o.status != http.StatusUnauthorized {
		return
	}
	if c.mustBeApplied(o, c.system.operator.issuedAt(o.key)) {
		c.recordViolation("valid requests are not denied", "%s got 401 with key %s", o.id, o.key)
	}
}

func (c *checker) checkLeaving(o outcome, executions []execution) {
	for _, e := range executions {
		leaveTime, ok := c.system.upstreams.leaveTime(e.upstream)
		if ok && e.at.After(leaveTime.Add(bounds().UpstreamDrain+timingTolerance)) && c.system.hosts[o.hostIndex].faultFree(leaveTime, o.ended, true) {
			c.recordViolation("leaving upstreams get no new requests", "%s reached %s %s after it left", o.id, e.upstream, e.at.Sub(leaveTime))
		}
	}
}

// checkLost checks that a host closes no connection while a request that it forwarded
// is unanswered.
func (c *checker) checkLost(o outcome, executions []execution) {
	h := c.system.hosts[o.hostIndex]
	if o.complete || o.timedOut || len(executions) == 0 || h.overlaps(&h.processFaults, o.sent, o.ended) {
		return
	}
	if ranOutOfTime(o, executions) {
		return
	}
	for _, e := range executions {
		if c.system.upstreams.hadFault(e.upstream, e.at.Add(-bounds().Contact), o.ended) {
			return
		}
	}
	record := c.recordTolerated
	if h.overlaps(&h.plannedStops, o.sent, o.ended) || c.system.operator.changedConfig(o.sent.Add(-bounds().Contact), o.ended) {
		// During a planned stop or a configuration change no lost request is tolerated.
		record = c.recordViolation
	}
	record("requests are not lost", "%s on %s got status %d and no complete response after %s idle at %s",
		o.id, h.name, o.status, o.idle, o.ended.Format(time.TimeOnly))
}

// ranOutOfTime reports whether a response was cut when the time of its request was over, while
// its upstream was still at work or had only just finished.
func ranOutOfTime(o outcome, executions []execution) bool {
	heldBack := slices.ContainsFunc(executions, func(e execution) bool {
		return !e.finished.IsZero() && o.ended.Sub(e.finished) > maxHoldTime
	})
	return o.ended.Sub(o.began) >= requestTimeout && !heldBack
}

// awaitRecovery waits until requests are served again after the last event.
func (c *checker) awaitRecovery() {
	end := time.Now().Add(recoveryTimeout)
	for {
		windowStart := time.Now()
		time.Sleep(recoveryWindow)
		if c.servedShare(windowStart) >= minServedShare && c.allReady() && c.system.dutiesRecovered() {
			return
		}
		if time.Now().After(end) {
			c.recordViolation("service recovers", "after %s the served share is %.2f, all hosts ready: %t, usage reported since the last drill: %t",
				recoveryTimeout, c.servedShare(windowStart), c.allReady(), c.system.dutiesRecovered())
			return
		}
	}
}

func (c *checker) allReady() bool {
	return !slices.ContainsFunc(c.system.hosts, func(h *host) bool { return !h.inRotation() })
}

func (c *checker) servedShare(from time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, served := 0, 0
	for _, o := range slices.Backward(c.outcomes) {
		if o.sent.Before(from) || strings.HasPrefix(o.path, toggledPath) || o.deadly {
			continue
		}
		sent++
		if o.served() {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// finish runs the checks that need the whole run, and returns the report.
func (c *checker) finish() Report {
	for _, o := range c.outcomes {
		executions := c.system.upstreams.executions.forRequest(o.id)
		c.checkExecutionCount(o, executions)
		c.checkForwarding(o, executions)
	}
	c.checkUnsolicited()
	c.checkSignals()
	c.checkMemory()
	report := Report{Requests: len(c.outcomes), Rollout: c.checkRollout(), Poison: c.checkPoison(), Drills: c.system.describeDrills()}
	for _, violation := range c.system.store.Violations() {
		c.recordViolation("each duty has one holder at a time", "%s", violation)
	}
	for guarantee, violations := range c.tolerated {
		report.Tolerated = append(report.Tolerated, violations...)
		if len(violations) > maxTolerated {
			c.recordViolation(guarantee, "%d times, first %s", len(violations), violations[0])
		}
	}
	report.Violations = c.violations
	for _, o := range c.outcomes {
		if o.served() {
			report.Served++
		}
		if o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable {
			report.Refused++
		}
		if o.idle > longIdleTime {
			report.AfterIdle++
		}
	}
	return report
}

// checkExecutionCount checks that a request runs no more often than it may, and not at
// all if its response is a refusal.
func (c *checker) checkExecutionCount(o outcome, executions []execution) {
	upstreams := map[string]bool{}
	for _, e := range executions {
		upstreams[e.upstream] = true
	}
	if o.idempotent() {
		if len(upstreams) > maxAttempts {
			c.recordTolerated("requests are not sent too often", "%s ran at %d upstreams", o.id, len(upstreams))
		}
		return
	}
	if len(executions) > 1 {
		c.recordViolation("non-idempotent requests run at most once", "%s ran %d times", o.id, len(executions))
	}
	refused := o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable ||
		o.status == http.StatusRequestTimeout || o.status == http.StatusMisdirectedRequest
	if refused && len(executions) > 0 {
		c.recordViolation("refused requests are not run", "%s got %d and ran", o.id, o.status)
	}
}

// checkForwarding checks that upstreams receive what callers sent, with the organisation
// that hosts add and without the API key that they remove.
func (c *checker) checkForwarding(o outcome, executions []execution) {
	for _, e := range executions {
		if e.path != o.path || e.organisation != organisationName || e.key != "" {
			c.recordViolation("requests are unchanged", "%s arrived as %s of %q with key %q", o.id, e.path, e.organisation, e.key)
		}
	}
}

// checkMemory checks that the processes have stayed within the memory of their hosts.
func (c *checker) checkMemory() {
	for _, h := range c.system.hosts {
		most, err := h.mostMemory()
		c.recordError(err)
		if most > hostMemory {
			c.recordViolation("processes stay within their memory", "%s had %d of %d MiB", h.name, most>>20, hostMemory>>20)
		}
	}
}

func (c *checker) checkUnsolicited() {
	executions := c.system.upstreams.executions
	executions.mu.Lock()
	defer executions.mu.Unlock()
	for id := range executions.byRequest {
		if !c.sentIDs[id] {
			c.recordViolation("upstreams run only requests that callers sent", "%s ran but no caller sent it", id)
		}
	}
}
