package persimsettings

import "time"

// Deployment describes the machine of a host and its surroundings, as the platform
// states them.
type Deployment struct {
	Host   string
	IP     string
	Centre string
	// CallerAddress, ReadyAddress and PeerAddress are the listen addresses for callers,
	// for readiness checks and for other hosts.
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	// PeerPort is the port on which every host serves exchanges with other hosts.
	PeerPort int
	// StoreAddress and DutiesAddress are the platform addresses of the object store and
	// of the duty calls.
	StoreAddress  string
	DutiesAddress string
	// ReportsUsage and OrdersUpstreams enable the duties.
	ReportsUsage    bool
	OrdersUpstreams bool
	// Rollouts enables rollouts of services to new versions.
	Rollouts bool
	// MemoryBytes is the memory limit of the host.
	MemoryBytes int64
	// Descriptors is the limit on open file descriptors of the host, or zero if it is not known.
	Descriptors int
	Bounds      Bounds
}

// Bounds are the time and ratio limits that the platform requires of a host.
type Bounds struct {
	// ShutdownGrace is the time between the stop request and the exit of the process.
	ShutdownGrace time.Duration
	// UpstreamDrain is how long a leaving upstream still accepts requests.
	UpstreamDrain time.Duration
	// ConfigApply is the time within which a new configuration takes effect.
	ConfigApply time.Duration
	// KeyRevocation is the maximum time for which a key is accepted after its removal.
	KeyRevocation time.Duration
	// Lease is the time within which a former lease holder must not act again.
	Lease time.Duration
	// Contact is the time after a fault at a host until the host counts as healthy again.
	Contact time.Duration
	// UsageWindow is the length of a usage window, UsageLate the time after its end
	// within which it must be reported.
	UsageWindow time.Duration
	UsageLate   time.Duration
	// RetryRatio is the ratio of retries to requests allowed within RetryWindow, in
	// addition to RetrySlack retries.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow, QuotaOvershoot and QuotaSlack limit the excess over a quota.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
	// ExposureShare is the largest share of a service's requests that a bad version may get
	// during a rollout, in addition to ExposureSlack requests.
	ExposureShare float64
	ExposureSlack float64
	// Rollback is the time after the 50th bad response of a version within which it must get
	// no more requests. Disturbance is added while the store is disturbed. No decision depends
	// on them: reports and announcements are faster.
	Rollback    time.Duration
	Disturbance time.Duration
}
