// Package persimclock provides a monotonic clock that also advances while the
// machine is suspended.
package persimclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// An Instant is the time since the machine booted, including time in suspension.
type Instant time.Duration

// Now returns the current instant of CLOCK_BOOTTIME. Go's monotonic clock does not
// advance while the machine is suspended, so ages and leases are measured with this
// one. If that clock cannot be read, Now falls back to the wall clock.
func Now() Instant {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		return Instant(time.Duration(time.Now().UnixNano()))
	}
	return Instant(timespec.Nano())
}

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
