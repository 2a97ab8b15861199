package persimsettings

import "time"

// A Deployment is what the platform tells a host about its machine.
type Deployment struct {
	Host   string
	IP     string
	Centre string
	// Callers, Ready and Peers are addresses to listen on.
	Callers string
	Ready   string
	Peers   string
	// PeerPort is the port of all hosts for exchanges between them.
	PeerPort int
	// Store and Duties are addresses of the platform.
	Store  string
	Duties string
	// ReportsUsage and OrdersUpstreams say which duties are wanted.
	ReportsUsage    bool
	OrdersUpstreams bool
	// MemoryBytes is the memory that the host may use.
	MemoryBytes int64
	Bounds      Bounds
}

// Bounds are the times and shares to which the platform holds a host.
type Bounds struct {
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	// Drain is how long a leaving upstream still takes requests.
	Drain time.Duration
	// Apply is the time in which a configuration takes effect.
	Apply time.Duration
	// Revoke is the longest time for which a key may be used after its removal.
	Revoke time.Duration
	// Lease is the time within which a former holder must not act again.
	Lease time.Duration
	// Contact is the time after which a host in trouble counts as sound again.
	Contact time.Duration
	// UsageWindow is the length of a window of usage, UsageLate the time after its
	// end by which it is reported.
	UsageWindow time.Duration
	UsageLate   time.Duration
	// RetryRatio is the share of requests that may be sent again, within RetryWindow
	// and beyond RetrySlack of them.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound what goes beyond a quota.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
}
