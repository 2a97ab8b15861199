package persimfront

import (
	"context"
	"errors"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimcatalog"
	"persimmonport.example/persimconn"
	"persimmonport.example/persimpressure"
	"persimmonport.example/platform"
)

// exchange sends the request to an upstream, which may run it from then on, and records what the
// upstream asks for in its response.
func (c *call) exchange(ctx context.Context, conn *persimconn.Conn, upstream persimcatalog.Upstream, req *http.Request) (*persimconn.Exchange, error) {
	sentAt := time.Now()
	head := responseHead{held: &c.held}
	conn.ReserveHead(head.reserve)
	exchange, err := persimconn.Send(ctx, conn, req)
	if !errors.Is(err, persimconn.ErrNotSent) {
		c.possibleRuns++
	}
	if err != nil {
		head.settle(nil)
		return nil, err
	}
	head.settle(exchange.Response)
	c.recordSignals(sentAt, upstream.Incarnation, exchange.Response)
	return exchange, nil
}

// recordSignals records what an upstream asks for in a response to a request sent at sentAt.
func (c *call) recordSignals(sentAt time.Time, upstream persimcatalog.Incarnation, response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		// The response is that of another process at the upstream's address.
		return
	}
	signals := platform.DecodeSignals(response)
	if response.Header.Get(platform.HeaderRequestID) != c.id {
		signals = signals.WithoutEnd()
	}
	f := c.front
	f.mu.Lock()
	changes := f.dispatcher.pressure.Record(time.Now(), sentAt, upstream, signals)
	f.mu.Unlock()
	f.applyChanges(changes, "request "+c.id)
}

func (f *front) MergePressure(source string, news []persimpressure.News) {
	f.mu.Lock()
	changes := f.dispatcher.pressure.Merge(time.Now(), news)
	f.mu.Unlock()
	f.applyChanges(changes, source)
}

func (f *front) SetHostNames(self string, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.pressure.SetHosts(time.Now(), self, others)
}

func (f *front) Limits(upstreams []persimcatalog.Upstream) []float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var limits []float64
	for _, upstream := range upstreams {
		if limit, named := f.dispatcher.pressure.Limit(upstream.Hash()); named && !upstream.Leaving {
			limits = append(limits, limit)
		}
	}
	return limits
}

// expireSignals logs what upstreams no longer ask for and sets the gauges.
func (f *front) expireSignals() {
	now := time.Now()
	f.mu.Lock()
	changes := f.dispatcher.pressure.Expire(now)
	counts := f.dispatcher.pressure.Counts(now)
	f.mu.Unlock()
	f.applyChanges(changes, "end of the time")
	if f.metrics != nil {
		f.metrics.Gauge("upstreams_limited", float64(counts.Limited))
		f.metrics.Gauge("upstreams_leaving", float64(counts.Leaving))
		f.metrics.Gauge("upstreams_waiting", float64(counts.Waiting))
		f.metrics.Gauge("held_bytes", float64(f.memory.heldBytes()))
		f.metrics.Gauge("caller_connections", float64(f.callerConns.size()))
	}
}

// applyChanges logs what upstreams begin and end to ask for, and reports those that leave.
func (f *front) applyChanges(changes []persimpressure.Change, source string) {
	for _, change := range changes {
		logChange(change, source)
		if change.Kind == persimpressure.ChangeLeaving && f.onLeaving != nil {
			f.onLeaving(change.Upstream)
		}
	}
}

func logChange(change persimpressure.Change, source string) {
	upstream := []any{"upstream", change.Upstream.ID, "born", change.Upstream.Born}
	var details []any
	switch change.Kind {
	case persimpressure.ChangeLimit:
		details = []any{"perSecond", change.Limit, "holder", change.Held, "age", change.Age}
	case persimpressure.ChangeLimitEnd:
		details = []any{"age", change.Age}
	case persimpressure.ChangeWait:
		details = []any{"wait", change.Wait}
	case persimpressure.ChangeMalformed:
		details = []any{"header", change.Header}
	case persimpressure.ChangeLeaving, persimpressure.ChangeWaitEnd:
	}
	details = append(append(upstream, "what", string(change.Kind), "source", source), details...)
	klog.InfoS("upstream asks", details...)
}
