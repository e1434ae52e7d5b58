package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, including the time for which it was suspended. The monotonic clock
// of package time excludes that time, so the holder of a lease would rely on the lease after its end.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock, which no supported kernel has.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
