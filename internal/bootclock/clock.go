// Package bootclock reads a clock that keeps counting while the host is
// suspended.
//
// Go's monotonic clock stops during a suspend. A host that woke up after
// ten seconds would take a lease it held before for fresh and renew grants
// that another host has already given away. Everything that bounds a lease
// is therefore measured with this clock.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading in time since boot, suspends included.
type Time time.Duration

// Clock returns the present reading. Tests pass their own.
type Clock func() Time

// Now reads CLOCK_BOOTTIME. If the kernel refuses it, the monotonic clock
// since process start stands in; suspends then go unnoticed.
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
