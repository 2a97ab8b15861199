package persimfront

import (
	"net/http"
	"time"

	"persimmonport.example/persimadmit"
	"persimmonport.example/persimplace"
)

// setOrder sets how the placer and upstreams are to treat the prompt and returns the value of
// HeaderPriority.
func (c *call) setOrder() string {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.dispatcher.admission.order(c.service, c.route.Name, c.rank, c.placement.Tokens, c.maxExpectedWait())
	c.placement.Urgent, c.placement.Spread = o.urgent, o.spread
	return o.priority
}

// checkShare returns a refusal if other requests of a ranked service come before this one. The
// caller must hold the lock of the front.
func (c *call) checkShare(now time.Time, choice persimplace.Choice, maxWait time.Duration) *refusal {
	d := c.front.dispatcher
	wait, cause := d.admission.admit(now, arrival{
		service:  c.service,
		key:      persimadmit.Key{Rank: c.rank, Organisation: c.organisation},
		work:     persimadmit.Work{Prefill: float64(choice.PrefillTokens), Output: c.outputTokens},
		hash:     hashID(c.id),
		expected: choice.Expected,
		maxWait:  maxWait,
	}, d.placer(c.service))
	if cause == "" {
		return nil
	}
	d.addDemand(now, c.service, Demand{Refused: 1})
	if c.front.metrics != nil {
		c.front.metrics.Count("requests_refused_by_priority")
	}
	return &refusal{status: http.StatusServiceUnavailable, cause: cause, retryDelay: wait, longDelay: true}
}

// reportAdmission sets the gauges of ranked services.
func (f *front) reportAdmission() {
	if f.metrics == nil {
		return
	}
	now := time.Now()
	ranked, short, lowest := 0, 0, 1.0
	f.mu.Lock()
	a := f.dispatcher.admission
	for name, s := range a.services {
		if !s.ranked {
			continue
		}
		ranked++
		shares, isShort := a.limiter.Shares(now, name)
		if isShort {
			short++
		}
		for _, share := range shares {
			lowest = min(lowest, share)
		}
	}
	f.mu.Unlock()
	f.metrics.Gauge("services_ranked", float64(ranked))
	f.metrics.Gauge("services_short", float64(short))
	f.metrics.Gauge("lowest_admitted_share", lowest)
}
