package greengageroute

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxRest limits the rest that a target can ask for, so that a mistaken value, such as
	// a year, doesn't take it out of service for good.
	maxRest = time.Minute
	// maxOrderRest limits it for orders: a head at rest may be needed to release the members
	// of its replica.
	maxOrderRest = 10 * time.Second
)

type (
	// TargetRest is the time in which a target wants no requests from this entry, as it
	// named it when it turned one away. The zero value means none.
	TargetRest struct {
		from, until time.Time
		// start tells the process that asked from a later one of the same target.
		start int64
	}

	// TargetRestsError reports that an order or a probe was not sent because the target has
	// asked for rest.
	TargetRestsError struct {
		Target string
		After  time.Duration
	}
)

func (err *TargetRestsError) Error() string {
	return fmt.Sprintf("target %q wants nothing from this entry for %s; nothing was sent, try again then", err.Target, err.After)
}

// RestFromSeconds returns the rest in a number of seconds, 0 if there is none to keep: the
// number may be anything.
func RestFromSeconds(seconds float64) time.Duration {
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}

// WithRest returns the rest after the target's process has asked for one. A shorter one
// doesn't end a longer one: other requests may have been turned away with that.
func (rest TargetRest) WithRest(asked time.Duration, startUnixMilli int64, now time.Time) TargetRest {
	until := now.Add(min(asked, maxRest))
	if rest.start == startUnixMilli && rest.until.After(until) {
		until = rest.until
	}
	return TargetRest{from: now, until: until, start: startUnixMilli}
}

// Remaining returns how long the target's process wants no requests, 0 if it takes some.
func (rest TargetRest) Remaining(startUnixMilli int64, now time.Time) time.Duration {
	if rest.start != startUnixMilli {
		return 0
	}
	return max(rest.until.Sub(now), 0)
}

// RemainingForOrders returns the same for orders, which wait less long.
func (rest TargetRest) RemainingForOrders(startUnixMilli int64, now time.Time) time.Duration {
	return min(rest.Remaining(startUnixMilli, now), max(rest.from.Add(maxOrderRest).Sub(now), 0))
}
