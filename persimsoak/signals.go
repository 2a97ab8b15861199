package persimsoak

import (
	"slices"
	"sync"
	"time"

	"persimmonport.example/persimpressure"
	"persimmonport.example/platform"
)

const (
	// limitWindow is the time in which requests are counted.
	limitWindow = 4 * time.Second
	// An upstream may get limitFactor times its limit in a window, and limitSlack more.
	limitFactor = 1.5
	limitSlack  = 5
	// toldAfter is the time after which a host must act on a response.
	toldAfter = 500 * time.Millisecond
	// maxEarly is the number of requests that may come before a wait is over.
	maxEarly = 2
)

// soakLimits are the limits that upstreams name, in requests a second.
var soakLimits = []float64{0.5, 1, 1.4, 2.5, 6}

// arrival is a request that has reached an upstream, rejected or not.
type arrival struct {
	at      time.Time
	request string
}

// arrivalLog holds the arrivals of all upstreams and what these have asked for.
type arrivalLog struct {
	mu         sync.Mutex
	byUpstream map[string][]arrival
	asked      []asked
}

// asked is a period in which an upstream asks for something.
type asked struct {
	interval
	upstream string
	signals  persimpressure.Signals
}

func (l *arrivalLog) record(upstream, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byUpstream[upstream] = append(l.byUpstream[upstream], arrival{at: time.Now(), request: request})
}

// begin records that an upstream begins to ask for something, until the returned function is
// called.
func (l *arrivalLog) begin(upstream string, signals persimpressure.Signals) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := len(l.asked)
	l.asked = append(l.asked, asked{upstream: upstream, signals: signals, interval: interval{from: time.Now()}})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.asked[index].until = time.Now()
	}
}

// asking reports whether an upstream asks for something already.
func (l *arrivalLog) asking(upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.asked, func(a asked) bool { return a.upstream == upstream && a.until.IsZero() })
}

// ask lets an upstream name a limit or ask to wait for the time of an event.
func (u *upstreams) ask(target *upstream, event Event) {
	if u.arrivals.asking(target.id) {
		return
	}
	signals := persimpressure.Signals{Wait: event.Duration}
	if event.Kind == KindUpstreamLimit {
		limit := soakLimits[int(event.Duration.Milliseconds())%len(soakLimits)]
		signals = persimpressure.Signals{LimitState: persimpressure.LimitNamed, Limit: limit}
	}
	defer u.arrivals.begin(target.id, signals)()
	target.stand.SetSignals(signals)
	time.Sleep(event.Duration)
	target.stand.SetSignals(persimpressure.Signals{})
}

// sayLeaving lets an upstream say that it leaves, starts its replacement and removes its
// entry, which never says so, after the drain bound and leaveMargin.
func (u *upstreams) sayLeaving(target *upstream) error {
	if _, leaves := u.leaveTime(target.id); leaves || u.arrivals.asking(target.id) {
		return nil
	}
	defer u.arrivals.begin(target.id, persimpressure.Signals{Leaving: true})()
	target.stand.SetSignals(persimpressure.Signals{Leaving: true})
	time.Sleep(2 * (bounds().UpstreamDrain + leaveMargin))
	defer u.store.Remove(platform.UpstreamKind, target.id)
	return u.replace(target)
}

// checkSignals checks that hosts keep to what upstreams have asked them for.
func (c *checker) checkSignals() {
	hosts := map[string]int{}
	for _, o := range c.outcomes {
		hosts[o.id] = o.hostIndex
	}
	arrivals := c.system.upstreams.arrivals
	arrivals.mu.Lock()
	defer arrivals.mu.Unlock()
	for _, period := range arrivals.asked {
		within := slices.DeleteFunc(slices.Clone(arrivals.byUpstream[period.upstream]), func(a arrival) bool {
			_, known := hosts[a.request]
			return !known || a.at.Before(period.from) || a.at.After(period.until)
		})
		switch {
		case period.signals.Leaving:
			c.checkSaidLeaving(period, within, hosts)
		case period.signals.Wait > 0:
			c.checkWait(period, within, hosts)
		default:
			c.checkLimit(period, within, hosts)
		}
	}
}

// told returns when each host first got a response of a period.
func (c *checker) told(within []arrival, hosts map[string]int) map[int]time.Time {
	first := map[int]time.Time{}
	for _, o := range c.outcomes {
		if !o.complete || !slices.ContainsFunc(within, func(a arrival) bool { return a.request == o.id }) {
			continue
		}
		host := hosts[o.id]
		if at, ok := first[host]; !ok || o.ended.Before(at) {
			first[host] = o.ended
		}
	}
	return first
}

// bound reports whether the host of an arrival has been told for a time and its process was
// not disturbed meanwhile, nor was the upstream. Faults of the store excuse nothing.
func (c *checker) bound(period asked, a arrival, told map[int]time.Time, hosts map[string]int, after time.Duration) bool {
	at, ok := told[hosts[a.request]]
	h := c.system.hosts[hosts[a.request]]
	return ok && a.at.After(at.Add(after+timingTolerance)) &&
		!h.overlaps(&h.processFaults, at, a.at) && !h.overlaps(&h.plannedStops, at, a.at) &&
		!c.system.upstreams.hadFault(period.upstream, period.from, a.at)
}

func (c *checker) checkLimit(period asked, within []arrival, hosts map[string]int) {
	told := c.told(within, hosts)
	allowed := limitFactor*period.signals.Limit*limitWindow.Seconds() + limitSlack
	var window []time.Time
	for _, a := range within {
		if a.at.Before(period.from.Add(bounds().Contact)) || !c.bound(period, a, told, hosts, toldAfter) {
			continue
		}
		window = append(window, a.at)
		window = slices.DeleteFunc(window, func(at time.Time) bool { return a.at.Sub(at) >= limitWindow })
		if float64(len(window)) > allowed {
			c.recordViolation("limits of upstreams are kept", "%s got %d requests in %s at a limit of %g a second",
				period.upstream, len(window), limitWindow, period.signals.Limit)
			return
		}
	}
}

func (c *checker) checkSaidLeaving(period asked, within []arrival, hosts map[string]int) {
	told := c.told(within, hosts)
	for _, a := range within {
		if c.bound(period, a, told, hosts, bounds().UpstreamDrain) {
			c.recordViolation("upstreams that say they leave get no new requests", "%s reached %s", a.request, period.upstream)
		}
	}
}

func (c *checker) checkWait(period asked, within []arrival, hosts map[string]int) {
	early := map[int]int{}
	told := map[int]time.Time{}
	for _, a := range within {
		host := hosts[a.request]
		if at, ok := told[host]; ok && a.at.Before(at.Add(period.signals.Wait)) {
			if c.bound(period, a, told, hosts, toldAfter) {
				early[host]++
			}
			if early[host] == maxEarly+1 {
				c.recordViolation("upstreams that ask to wait are left alone", "%s got more than %d requests of host %d within %s",
					period.upstream, maxEarly, host, period.signals.Wait)
			}
			continue
		}
		told[host], early[host] = a.at, 0
	}
}
