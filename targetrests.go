package greengageroute

import (
	"slices"
	"sync"
	"time"
)

const (
	// firstTargetRest is how long a target of a plain service comes last after a failed call.
	// The rest doubles with each failure in a row up to maxTargetRest.
	firstTargetRest = time.Second
	maxTargetRest   = 30 * time.Second
)

type (
	// TargetRests orders the targets of plain services by how calls at them ended: targets that
	// failed rest for a time, and are then tried by one call. It is safe for use by several
	// goroutines.
	TargetRests struct {
		mu    sync.Mutex
		rests map[string]targetRest // of targets whose last call failed
	}

	targetRest struct {
		duration time.Duration
		until    time.Time
	}
)

// NewTargetRests returns an empty table.
func NewTargetRests() *TargetRests { return &TargetRests{rests: map[string]targetRest{}} }

// RecordFailure has a target rest after a failed call, and reports whether the last call before
// that had succeeded. Failures of calls that were sent before the rest began don't prolong it.
func (rests *TargetRests) RecordFailure(target string, sentAt, now time.Time) bool {
	rests.mu.Lock()
	defer rests.mu.Unlock()
	rest, known := rests.rests[target]
	if known && sentAt.Before(rest.until.Add(-rest.duration)) {
		return false
	}
	duration := min(max(2*rest.duration, firstTargetRest), maxTargetRest)
	rests.rests[target] = targetRest{duration: duration, until: now.Add(duration)}
	return !known
}

// RecordSuccess ends a target's rest.
func (rests *TargetRests) RecordSuccess(target string) {
	rests.mu.Lock()
	defer rests.mu.Unlock()
	delete(rests.rests, target)
}

// Order returns the targets with those that rest at the end. A target whose rest is over keeps
// its place for this call and rests on for others until the call has ended or the rest passed
// once more.
func (rests *TargetRests) Order(targets []string, now time.Time) []string {
	rests.mu.Lock()
	defer rests.mu.Unlock()
	ordered := slices.Clone(targets)
	isResting := func(target string) int {
		if rest, known := rests.rests[target]; known && now.Before(rest.until) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(ordered, func(a, b string) int { return isResting(a) - isResting(b) })
	if len(ordered) > 0 {
		if rest, known := rests.rests[ordered[0]]; known && !now.Before(rest.until) {
			rest.until = now.Add(rest.duration)
			rests.rests[ordered[0]] = rest
		}
	}
	return ordered
}
