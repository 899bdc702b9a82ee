package greengageroute

import (
	"maps"
	"sync"
	"time"
)

const (
	// firstTargetRest is how long a target comes last after a failed call.
	// The rest doubles with each failure in a row up to maxTargetRest.
	firstTargetRest = time.Second
	maxTargetRest   = 30 * time.Second
)

type (
	// TargetRests tells which targets come after others, by how calls at them ended: a target
	// that failed rests for a time, and is then tried by one call. It is safe for use by several
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
	maps.DeleteFunc(rests.rests, func(_ string, other targetRest) bool { return now.Sub(other.until) > maxTargetRest })
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

// Rests reports whether a target is to come after others.
func (rests *TargetRests) Rests(target string, now time.Time) bool {
	rests.mu.Lock()
	defer rests.mu.Unlock()
	return rests.rests[target].isOn(now)
}

// Any reports whether any target rests or is to be tried after a rest.
func (rests *TargetRests) Any() bool {
	rests.mu.Lock()
	defer rests.mu.Unlock()
	return len(rests.rests) > 0
}

// Try records that a target gets a call. If its rest is over, it rests on for others until the
// call has ended or the rest passed once more.
func (rests *TargetRests) Try(target string, now time.Time) {
	rests.mu.Lock()
	defer rests.mu.Unlock()
	if rest, known := rests.rests[target]; known && !rest.isOn(now) {
		rest.until = now.Add(rest.duration)
		rests.rests[target] = rest
	}
}

// Order returns the targets with those that rest at the end, for a call that tries the first.
func (rests *TargetRests) Order(targets []string, now time.Time) []string {
	var sound, resting []string
	for _, target := range targets {
		if rests.Rests(target, now) {
			resting = append(resting, target)
		} else {
			sound = append(sound, target)
		}
	}
	if len(sound) > 0 {
		rests.Try(sound[0], now)
	}
	return append(sound, resting...)
}

func (rest targetRest) isOn(now time.Time) bool { return now.Before(rest.until) }
