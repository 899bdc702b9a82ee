package greengageroute

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxBackoff limits the backoff that a target can ask for, so that a mistaken value, such as
	// a year, doesn't take it out of service for good.
	maxBackoff = time.Minute
	// maxOrderBackoff limits it for orders: a head may be needed to release the members of
	// its replica.
	maxOrderBackoff = 10 * time.Second
)

type (
	// TargetBackoff is the time in which a target wants no requests from this entry, as it
	// named it when it turned one away. The zero value means none.
	TargetBackoff struct {
		from, until time.Time
		// start tells the process that asked from a later one of the same target.
		start int64
	}

	// BackoffError reports that an order or a probe was not sent because the target has
	// asked for a backoff.
	BackoffError struct {
		Target string
		After  time.Duration
	}
)

func (err *BackoffError) Error() string {
	return fmt.Sprintf("target %q wants nothing from this entry for %s; nothing was sent, try again then", err.Target, err.After)
}

// BackoffFromSeconds returns the backoff in a number of seconds, which may be anything, or 0
// if it is no time.
func BackoffFromSeconds(seconds float64) time.Duration {
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}

// WithBackoff returns the backoff after the target's process has asked for one. A shorter one
// doesn't end a longer one: other requests may have been turned away with that.
func (backoff TargetBackoff) WithBackoff(asked time.Duration, startUnixMilli int64, now time.Time) TargetBackoff {
	until := now.Add(min(asked, maxBackoff))
	if backoff.start == startUnixMilli && backoff.until.After(until) {
		until = backoff.until
	}
	return TargetBackoff{from: now, until: until, start: startUnixMilli}
}

// Remaining returns how long the target's process wants no requests, 0 if it takes some.
func (backoff TargetBackoff) Remaining(startUnixMilli int64, now time.Time) time.Duration {
	if backoff.start != startUnixMilli {
		return 0
	}
	return max(backoff.until.Sub(now), 0)
}

// RemainingForOrders returns the same for orders, which wait less long.
func (backoff TargetBackoff) RemainingForOrders(startUnixMilli int64, now time.Time) time.Duration {
	return min(backoff.Remaining(startUnixMilli, now), max(backoff.from.Add(maxOrderBackoff).Sub(now), 0))
}
