// Package persimrollout moves the traffic of a service to upstreams of another version, and
// back where that version is bad.
//
// It is built for a service with some requests a minute to thousands a second at up to 300
// hosts, where a bad version must get a small share of all requests and a good one all of
// them before a deadline that may be seconds away. Each host samples requests by the hash of
// their id, so that no host needs a grant for a request; counters go from the hosts to the
// lease holder, which compares both versions and announces phases. Hosts that hear of no
// phase for some seconds return to the version that was in use. It reads no clock and does
// no I/O.
package persimrollout

import "time"

const (
	// DefaultExposureShare is the share of all requests that a bad version may get.
	DefaultExposureShare = 0.1
	// DefaultExposureSlack is the number of requests that it may get beyond that.
	DefaultExposureSlack = 50
	// FreshTime is the age up to which state updates are acted on, and the silence after
	// which a host does not delay completion.
	FreshTime = 3 * time.Second
)

type config struct {
	exposureShare float64
	exposureSlack float64
}

// Option changes the configuration of a Traffic or a Controller.
type Option func(*config)

// WithExposure sets the share of all requests that a bad version may get, and the number
// beyond that.
func WithExposure(share float64, slack int) Option {
	return func(c *config) { c.exposureShare, c.exposureSlack = share, float64(slack) }
}

func newConfig(opts []Option) config {
	c := config{exposureShare: DefaultExposureShare, exposureSlack: DefaultExposureSlack}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

// ReportInterval is the time between the reports of a host in a deployment of so many hosts.
func ReportInterval(hosts int) time.Duration {
	return max(500*time.Millisecond, time.Duration(hosts)*5*time.Millisecond)
}
