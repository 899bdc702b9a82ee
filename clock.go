package greengageroute

import (
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Clock tells the time on a clock that is never set and that also counts
	// while the VM is suspended.
	Clock interface {
		Now() time.Time
	}

	// BootClock reads the time since the VM started, suspension included. The
	// runtime's own monotonic clock stands still while a VM is suspended, and the
	// time of day may be set; leases and freshness bounds can rely on neither.
	BootClock struct{}

	// RuntimeClock reads the runtime's clock, which tests pause and advance.
	RuntimeClock struct{}
)

// bootEpoch keeps the zero time.Time apart from readings of the clock.
var bootEpoch = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

// Now implements Clock. Readings can be compared with each other only.
func (BootClock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39: only a broken system gets here.
		panic("the system has no clock that counts suspension: " + err.Error())
	}
	return bootEpoch.Add(time.Duration(now.Nano()))
}

// Now implements Clock.
func (RuntimeClock) Now() time.Time { return time.Now() }
