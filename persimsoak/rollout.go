package persimsoak

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"time"

	"persimmonport.example/persimstand"
	"persimmonport.example/platform"
)

const (
	firstVersion  = "v1"
	targetVersion = "v2"
	// badShare is the share of its responses that a bad version fails, in hundredths.
	badShare = 30
	// rolloutDuration is the time from the order to its deadline.
	rolloutDuration = 12 * time.Second
	// rolloutTimeout is the time after the deadline within which there must be a final state.
	rolloutTimeout = 20 * time.Second
	rolloutPoll    = 5 * time.Millisecond
	// drainAfterRollback is how long the target's upstreams stay after a rollback.
	drainAfterRollback = 3 * time.Second
	// badResponses is the number of bad responses after which the time of a rollback counts.
	badResponses = 50
)

// rollout is what was observed of the rollout of a plan.
type rollout struct {
	bad bool

	mu        sync.Mutex
	orderedAt time.Time
	// states are the states of the operator's object in the order in which they came.
	states []observedState
	// versions maps the upstreams to their versions.
	versions map[string]string
	// failedAt holds when the target failed a response.
	failedAt []time.Time
}

type observedState struct {
	state platform.RolloutState
	at    time.Time
}

func newRollout() *rollout { return &rollout{versions: map[string]string{}} }

// final returns the first final state, or false if there was none.
func (r *rollout) final() (observedState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.states {
		if s.state == platform.RolloutCompleted || s.state == platform.RolloutRolledBack {
			return s, true
		}
	}
	return observedState{}, false
}

func (r *rollout) recordState(state platform.RolloutState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state != "" && (len(r.states) == 0 || r.states[len(r.states)-1].state != state) {
		r.states = append(r.states, observedState{state: state, at: time.Now()})
	}
}

func (r *rollout) setVersion(upstream, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[upstream] = version
}

func (r *rollout) version(upstream string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[upstream]
}

// fails reports whether the target fails a request, and records it.
func (r *rollout) fails(upstream, request string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(request))
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.bad || r.versions[upstream] != targetVersion || hash.Sum32()%100 >= badShare {
		return false
	}
	r.failedAt = append(r.failedAt, time.Now())
	return true
}

// respondFailure answers a request as an upstream that has run it and failed.
func respondFailure(w http.ResponseWriter, upstream, request string) {
	w.Header().Set(platform.HeaderRequestID, request)
	w.Header().Set(platform.HeaderSignature, persimstand.Signature(upstream, request))
	w.WriteHeader(http.StatusInternalServerError)
}

// rollOut starts upstreams of the target, orders the rollout and stops the upstreams of one
// version once it has a final state.
func (s *system) rollOut(event Event) error {
	r := s.upstreams.rollout
	targets, err := s.upstreams.startTargets()
	if err != nil {
		return err
	}
	time.Sleep(firstEventAt)
	spec, err := platform.EncodeRollout(platform.Rollout{Service: serviceName, Target: targetVersion, Duration: event.Duration})
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.bad, r.orderedAt = event.Kind == KindBadRollout, time.Now()
	r.mu.Unlock()
	s.store.Put(platform.RolloutKind, serviceName, spec)
	stop := make(chan struct{})
	var following sync.WaitGroup
	following.Go(func() { s.followRollout(stop) })
	s.onFinish = func() { close(stop); following.Wait() }
	for end := time.Now().Add(event.Duration + rolloutTimeout); time.Now().Before(end); time.Sleep(rolloutPoll) {
		final, ok := r.final()
		switch {
		case !ok:
		case final.state == platform.RolloutCompleted:
			s.upstreams.stopFormer(targets)
			return nil
		default:
			s.upstreams.withdraw(targets)
			return nil
		}
	}
	return nil
}

// followRollout records the states of the operator's object.
func (s *system) followRollout(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(rolloutPoll):
		}
		object, _ := s.store.Get(platform.RolloutKind, serviceName)
		if status, ok := platform.DecodeRolloutStatus(object.Status); ok {
			s.upstreams.rollout.recordState(status.State)
		}
	}
}

// startTargets starts as many upstreams of the target as carry the traffic.
func (u *upstreams) startTargets() ([]*upstream, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	targets := make([]*upstream, 0, len(u.active))
	for range u.active {
		started, err := u.startLocked(targetVersion)
		if err != nil {
			return nil, err
		}
		targets = append(targets, started)
	}
	return targets, nil
}

// stopFormer stops the upstreams of the former version at once, as a platform does that was
// told that the rollout is completed.
func (u *upstreams) stopFormer(targets []*upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, old := range u.active {
		old.close()
		u.store.Remove(platform.UpstreamKind, old.id)
	}
	u.retired = append(u.retired, u.active...)
	u.active = targets
}

// withdraw stops the upstreams of the target some time after a rollback.
func (u *upstreams) withdraw(targets []*upstream) {
	time.Sleep(drainAfterRollback)
	for _, target := range targets {
		u.store.Remove(platform.UpstreamKind, target.id)
	}
	time.Sleep(leaveMargin)
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, target := range targets {
		target.close()
	}
	u.retired = append(u.retired, targets...)
}

// checkRollout checks the exposure, the loss at completion and the final state of a rollout. It
// returns a description of what was seen, or an empty one without a rollout.
func (c *checker) checkRollout() string {
	r := c.system.upstreams.rollout
	if !c.system.plan.rollsOut() {
		return ""
	}
	final, ok := r.final()
	if !ok {
		c.recordViolation("rollouts end", "no final state, bad: %t", r.bad)
		return "no final state"
	}
	if last := r.states[len(r.states)-1]; last != final {
		c.recordViolation("rollouts have one final state", "%s after %s", last.state, final.state)
	}
	took := final.at.Sub(r.orderedAt)
	undisturbed := len(c.system.plan.Events) == 1
	switch {
	case r.bad && final.state == platform.RolloutCompleted:
		c.recordViolation("bad versions are rolled back", "completed after %s", took)
	case !r.bad && undisturbed && (final.state != platform.RolloutCompleted || took > rolloutDuration):
		c.recordViolation("good versions are completed", "%s after %s", final.state, took)
	}
	description := fmt.Sprintf("bad %t, %s after %.1f s", r.bad, final.state, took.Seconds())
	if r.bad {
		exposed, all := c.checkExposure(r)
		description += fmt.Sprintf(", %d of %d requests at the target", exposed, all)
	}
	if final.state == platform.RolloutCompleted {
		c.checkCompletion(r, final.at)
	}
	return description
}

// checkExposure checks that a bad version gets few requests, and none later. It returns their
// number and that of all requests until the deadline.
func (c *checker) checkExposure(r *rollout) (exposed, all int) {
	deadline := r.orderedAt.Add(rolloutDuration)
	bound := bounds().Rollback
	if slices.ContainsFunc(c.system.plan.Events, func(e Event) bool { return e.Kind.disturbsStore() }) {
		bound += bounds().Disturbance
	}
	for _, o := range c.outcomes {
		for _, e := range c.system.upstreams.executions.forRequest(o.id) {
			isTarget := r.versions[e.upstream] == targetVersion
			if e.at.After(r.orderedAt) && e.at.Before(deadline) {
				all++
				if isTarget {
					exposed++
				}
			}
			if isTarget && len(r.failedAt) >= badResponses && o.sent.After(r.failedAt[badResponses-1].Add(bound+timingTolerance)) {
				c.recordViolation("bad versions are withdrawn", "%s reached %s %s too late", o.id, e.upstream, o.sent.Sub(r.failedAt[badResponses-1])-bound)
			}
		}
	}
	if allowed := bounds().ExposureShare*float64(all) + bounds().ExposureSlack; float64(exposed) > allowed {
		c.recordViolation("bad versions get few requests", "%d of %d, %.0f allowed", exposed, all, allowed)
	}
	return exposed, all
}

// checkCompletion checks that no request is lost at the former version, whose upstreams stop
// at once.
func (c *checker) checkCompletion(r *rollout, at time.Time) {
	for _, o := range c.outcomes {
		h := c.system.hosts[o.hostIndex]
		if o.complete || o.timedOut || o.ended.Before(at) || h.overlaps(&h.processFaults, o.sent, o.ended) {
			continue
		}
		executions := c.system.upstreams.executions.forRequest(o.id)
		if slices.ContainsFunc(executions, func(e execution) bool { return r.versions[e.upstream] == firstVersion }) {
			c.recordViolation("completion loses no request", "%s ran at the former version and got status %d", o.id, o.status)
		}
	}
}
