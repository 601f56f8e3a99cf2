package node

import (
	"time"

	"golang.org/x/sys/unix"

	"gypsumwinch/internal/cell/owner"
)

// bootTime returns the time since boot, including time suspended, because
// workers' leases keep running while this machine is suspended. Every
// goroutine reads the time with it.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// eventTime returns the current time as an owner event carries it. It is read
// for each call of the state machine.
func eventTime() owner.Time {
	return owner.Time{Mono: bootTime(), Wall: time.Now()}
}
