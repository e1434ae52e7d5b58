package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including time in which the machine was suspended. The monotonic
// clock of package time leaves that out, so that the holder of a lease would believe in it for too long.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock, which no supported kernel has.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
