package node

import (
	"time"

	"golang.org/x/sys/unix"

	"gypsumwinch/internal/cell/owner"
)

// boot returns the time since the machine's start, suspension included: leases
// of workers go on while this machine is suspended.
func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// now returns the time for an event.
func now() owner.Time {
	return owner.Time{Mono: boot(), Wall: time.Now()}
}
