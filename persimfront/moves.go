package persimfront

import (
	"time"

	"k8s.io/klog/v2"

	"persimmonport.example/persimconn"
	"persimmonport.example/persimplace"
	"persimmonport.example/persimrollout"
)

const (
	// moveTime is the time before the deadline of a rollout at which streams are moved, in
	// addition to two reports to the lease holder: the final state is written in it.
	moveTime = time.Second
	// maxMoveShare limits it, as a share of the duration: shifting may begin a quarter of the
	// duration before the deadline.
	maxMoveShare = 0.2
)

// movableStream is a stream that another upstream can continue.
type movableStream struct {
	attempt  *attempt
	exchange *persimconn.Exchange
	// moved is set once the stream was broken off to be continued elsewhere.
	moved bool
}

// track registers a stream that may be moved to the target of a rollout. It returns nil if the
// stream can't be.
func (a *attempt) track(exchange *persimconn.Exchange) *movableStream {
	f := a.front
	if f.rollouts == nil || !a.route.Resumable || a.attempts >= a.route.MaxAttempts {
		return nil
	}
	stream := &movableStream{attempt: a, exchange: exchange}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.streams[stream] = struct{}{}
	return stream
}

// untrack ends the registration of a stream and reports whether it was moved. Its connection
// may serve other requests only then.
func (a *attempt) untrack(stream *movableStream) bool {
	if stream == nil {
		return false
	}
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.dispatcher.streams, stream)
	return stream.moved
}

// moveStreams breaks off the streams at former versions whose rollouts are about to reach their
// deadline, so that they are continued at the target. A stream for which there is no retry
// left or no upstream is awaited instead. The caller must hold the lock of the front.
func (d *dispatcher) moveStreams(now time.Time) {
	if len(d.streams) == 0 {
		return
	}
	due := map[string]bool{}
	for _, news := range d.rollouts.News(now) {
		due[news.Service] = d.moveDue(news)
	}
	for stream := range d.streams {
		a := stream.attempt
		if stream.moved || !due[a.service] || !d.mayMove(now, a) {
			continue
		}
		stream.moved = true
		stream.exchange.Abandon()
		klog.InfoS("stream is moved", "request", a.id, "service", a.service, "upstream", a.upstream.ID, "version", a.upstream.Version)
	}
}

// moveDue reports whether streams at former versions are to be moved now.
func (d *dispatcher) moveDue(news persimrollout.News) bool {
	if news.Phase != persimrollout.PhaseShifting || news.Age > persimrollout.FreshTime {
		return false
	}
	lead := moveTime + 2*persimrollout.ReportInterval(d.hostCount)
	lead = min(lead, time.Duration(maxMoveShare*float64(news.Duration)))
	return news.Duration-news.Elapsed-news.Age <= lead
}

// mayMove reports whether a stream is at a version that takes no requests any more and can be
// continued elsewhere. It counts the retry.
func (d *dispatcher) mayMove(now time.Time, a *attempt) bool {
	target := persimrollout.Assignment{Side: persimrollout.SideTarget}
	if d.rollouts.Allowed(now, a.service, a.upstream, target) || a.deadline.Sub(now) < minRetryTime {
		return false
	}
	request := persimplace.Request{Tokens: a.placement.Tokens, Parts: a.placement.Parts, Exclude: a.tried}
	if _, ok := d.chooseFor(now, a.service, request, target); !ok {
		return false
	}
	return d.budget(now, a.service).Withdraw(now)
}
