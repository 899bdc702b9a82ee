package greengageroute

import "time"

// maxFullTime bounds how long a target counts as full after a rejection.
const maxFullTime = 500 * time.Millisecond

// TargetFullness records that a target of a plain service rejected requests as full. The zero
// value is that of a target that takes requests.
type TargetFullness struct {
	until      time.Time
	rejections int // in succession
}

// WithRejection returns the fullness after a rejection at the given time. Slots become free within
// the target's latency; one that goes on rejecting counts as full for twice as long each time.
func (fullness TargetFullness) WithRejection(latency time.Duration, now time.Time) TargetFullness {
	fullTime := min(latency<<min(fullness.rejections, 6), maxFullTime)
	return TargetFullness{until: now.Add(fullTime), rejections: fullness.rejections + 1}
}

// Remaining returns how long the target still counts as full.
func (fullness TargetFullness) Remaining(now time.Time) time.Duration {
	return max(fullness.until.Sub(now), 0)
}
