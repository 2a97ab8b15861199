package persimfront

import "time"

// progressInterval is the least time between two records of the progress of a stream.
const progressInterval = 500 * time.Millisecond

// streamPace measures how fast the events of a stream come while it lasts, as a stream from
// an upstream that has become slow may last for long.
type streamPace struct {
	// record is called with the number of events in a time.
	record func(events int, took time.Duration)
	since  time.Time
	events int
}

// count counts events that arrived at a time.
func (p *streamPace) count(at time.Time, events int) {
	if p.since.IsZero() {
		p.since = at
		return
	}
	p.events += events
	if took := at.Sub(p.since); took >= progressInterval && p.events > 0 && p.record != nil {
		p.record(p.events, took)
		p.since, p.events = at, 0
	}
}

// recordProgress records with the placer how fast the upstream generates tokens.
func (a *attempt) recordProgress(events int, took time.Duration) {
	f := a.front
	catalogue, _ := f.Catalogue()
	service, ok := catalogue.Service(a.service)
	if !ok || service.Engine == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatcher.placer(a.service).RecordProgress(time.Now(), a.ticket, events*service.Engine.TokensPerEvent, took)
}
