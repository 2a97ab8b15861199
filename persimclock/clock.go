// Package persimclock reads a clock that also counts while the machine is suspended.
package persimclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// An Instant is a time since the machine started, with suspensions counted.
type Instant time.Duration

// Now returns the current instant. Go's own monotonic clock stands still while
// the machine is suspended, so ages and leases are measured on this one.
func Now() Instant {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return Instant(time.Duration(time.Now().UnixNano()))
	}
	return Instant(spec.Nano())
}

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant after a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
