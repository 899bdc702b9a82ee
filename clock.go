package greengageroute

import (
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Clock is a monotonic clock that also advances while the VM is suspended.
	Clock interface {
		Now() time.Time
	}

	// BootClock reads the time since the VM booted, including suspension. Leases
	// and freshness bounds can use neither the runtime's monotonic clock, which
	// stops while a VM is suspended, nor the wall clock, which may be set.
	BootClock struct{}

	// RuntimeClock reads the runtime's clock, which tests can stop and advance.
	RuntimeClock struct{}
)

// bootEpoch keeps readings of the clock different from the zero time.Time.
var bootEpoch = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

// Now implements Clock. Readings can only be compared with each other.
func (BootClock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39, so an error means a broken system.
		panic("reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return bootEpoch.Add(time.Duration(now.Nano()))
}

// Now implements Clock.
func (RuntimeClock) Now() time.Time { return time.Now() }
