package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, including the time in which it was suspended.
func bootTime() time.Duration {
	var spc unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spc); err != nil {
		// Linux has had the clock since 2.6.39. A lease on a clock that stops cannot be safe.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(spc.Nano())
}
