// Package bootclock reads a clock that keeps running while the host is
// suspended.
//
// Go's monotonic clock stops during a suspend. A planner that resumes after ten
// seconds would regard its planner lease as valid and renew grants of keys that
// another host has granted anew. Leases and grants are therefore timed with this
// clock.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since boot, including suspends.
type Time time.Duration

// Clock returns the current time. Tests replace it.
type Clock func() Time

// Now reads CLOCK_BOOTTIME. If that fails, Now returns the monotonic time since
// the start of the process, which does not include suspends.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart))
	}
	return Time(ts.Nano())
}

var processStart = time.Now()

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }
