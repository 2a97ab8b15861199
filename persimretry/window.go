package persimretry

import "time"

const (
	// bucketsPerWindow is the number of parts in which a window is counted.
	bucketsPerWindow = 20
	// initialSlackShare is the share of its slack that a host may use at once after its
	// start. The rest accrues over a window, as the host may have used it before a restart.
	initialSlackShare = 0.2
)

// Window permits the retries of one host so that those of all hosts together stay
// within a share of the requests of any span of the window's length, plus a slack.
//
// It is built for upstreams that fail for all hosts at once, in deployments where one
// host's part of the slack is less than one retry: a host may use the retries that its
// own requests of the last window earn, at any moment. Hosts need no news of each
// other for that. It is not safe for concurrent use.
type Window interface {
	// RecordRequest counts a fresh request.
	RecordRequest(now time.Time)
	// Withdraw counts a retry and reports whether it is permitted.
	Withdraw(now time.Time) bool
	// SetHosts sets the number of hosts that divide the slack.
	SetHosts(hosts int)
}

type windowConfig struct {
	ratio  float64
	slack  float64
	length time.Duration
}

// WindowOption changes the configuration of a Window.
type WindowOption func(*windowConfig)

// WithRatio sets the retries permitted for each request.
func WithRatio(ratio float64) WindowOption { return func(c *windowConfig) { c.ratio = ratio } }

// WithSlack sets the retries that all hosts together are permitted in a window without
// any request.
func WithSlack(retries float64) WindowOption { return func(c *windowConfig) { c.slack = retries } }

// WithLength sets the length of the window.
func WithLength(length time.Duration) WindowOption {
	return func(c *windowConfig) { c.length = length }
}

// DefaultLength is the default length of a window.
const DefaultLength = 10 * time.Second

// bucket counts one part of the window.
type bucket struct {
	requests int
	retries  int
}

type window struct {
	windowConfig
	startedAt time.Time
	hosts     int
	// buckets is a ring; index is the number of the newest bucket since the start. One
	// bucket more than the window is kept, since the oldest one has partly left it.
	buckets [bucketsPerWindow + 1]bucket
	index   int64
}

// NewWindow returns a Window of a host that starts at a time.
func NewWindow(now time.Time, opts ...WindowOption) Window {
	c := windowConfig{length: DefaultLength}
	for _, opt := range opts {
		opt(&c)
	}
	return &window{windowConfig: c, startedAt: now, hosts: 1}
}

func (w *window) SetHosts(hosts int) { w.hosts = max(1, hosts) }

func (w *window) RecordRequest(now time.Time) { w.current(now).requests++ }

func (w *window) Withdraw(now time.Time) bool {
	current := w.current(now)
	requests, retries := w.counts()
	if float64(retries+1) > w.ratio*float64(requests)+w.slackPart(now) {
		return false
	}
	current.retries++
	return true
}

// slackPart returns this host's part of the slack.
func (w *window) slackPart(now time.Time) float64 {
	accrued := min(1, now.Sub(w.startedAt).Seconds()/w.length.Seconds())
	return w.slack / float64(w.hosts) * (initialSlackShare + (1-initialSlackShare)*accrued)
}

// counts returns the requests of the last window and the retries of a span that is
// longer by up to one bucket: what may have left the window counts against a retry.
func (w *window) counts() (requests, retries int) {
	oldest := (w.index + 1) % int64(len(w.buckets))
	for i, b := range w.buckets {
		retries += b.retries
		if int64(i) != oldest {
			requests += b.requests
		}
	}
	return requests, retries
}

// current returns the bucket of a time and empties those that have passed since the
// last call.
func (w *window) current(now time.Time) *bucket {
	index := int64(now.Sub(w.startedAt) / (w.length / bucketsPerWindow))
	steps := min(index-w.index, int64(len(w.buckets)))
	for range steps {
		w.index++
		w.buckets[w.index%int64(len(w.buckets))] = bucket{}
	}
	w.index = max(w.index, index)
	return &w.buckets[w.index%int64(len(w.buckets))]
}
