package greengageroute

import (
	"maps"
	"sync"
	"time"
)

const (
	// ProbeResultTTL is how long a healthy result for a group counts after its probe
	// began.
	ProbeResultTTL = 5 * time.Second
)

type (
	// ProbeResult is the result of one prober's probe of one group.
	ProbeResult struct {
		Group      string
		Generation uint64
		BootIDs    string    // joined boot ids of the members
		At         time.Time // when the probe began, on this entry's clock
		Healthy    bool
		Reason     string
		Streams    int  // streams that the first member reported
		Local      bool // probed by this entry, which reports it to the others
	}

	// ProbeResults holds the latest result for each group of a data centre. A
	// healthy result expires; an unhealthy one stands until a probe that began
	// later finds the group healthy.
	ProbeResults struct {
		mu          sync.RWMutex
		latest      map[string]ProbeResult
		onUnhealthy func(ProbeResult)
	}
)

// NewProbeResults returns an empty table. It calls onUnhealthy, outside the lock,
// when a group becomes unhealthy.
func NewProbeResults(onUnhealthy func(ProbeResult)) *ProbeResults {
	return &ProbeResults{latest: map[string]ProbeResult{}, onUnhealthy: onUnhealthy}
}

// Record stores a result and reports whether it was new: later than the one known
// for the group.
func (table *ProbeResults) Record(result ProbeResult) bool {
	table.mu.Lock()
	known, exists := table.latest[result.Group]
	if exists && !newer(result, known) {
		table.mu.Unlock()
		return false
	}
	table.latest[result.Group] = result
	table.mu.Unlock()
	if !result.Healthy && (!exists || known.Healthy || known.Generation != result.Generation) {
		table.onUnhealthy(result)
	}
	return true
}

func newer(result, known ProbeResult) bool {
	if result.Generation != known.Generation {
		return result.Generation > known.Generation
	}
	return result.At.After(known.At)
}

// Available returns the latest result for the group, and why the group may not take
// new work now: an empty string if it may.
func (table *ProbeResults) Available(group Group, now time.Time) (ProbeResult, string) {
	table.mu.RLock()
	result, known := table.latest[group.Name]
	table.mu.RUnlock()
	switch {
	case group.Draining:
		return result, "draining"
	case !group.Ready():
		return result, "still loading"
	case !known || result.Generation != group.Generation:
		return result, "no probe has found it whole yet"
	case !result.Healthy:
		return result, result.Reason
	case now.Sub(result.At) >= ProbeResultTTL:
		return result, "no probe has found it whole lately"
	}
	return result, ""
}

// HealthyUntil returns when the group's latest healthy result expires, or a time
// long past if there is none. A connection to the group has to be made before then,
// also to continue a response that has begun.
func (table *ProbeResults) HealthyUntil(group Group) time.Time {
	table.mu.RLock()
	defer table.mu.RUnlock()
	result, known := table.latest[group.Name]
	if !known || !result.Healthy || result.Generation != group.Generation {
		return time.Unix(0, 0)
	}
	return result.At.Add(ProbeResultTTL)
}

// All returns the latest results by group.
func (table *ProbeResults) All() map[string]ProbeResult {
	table.mu.RLock()
	defer table.mu.RUnlock()
	return maps.Clone(table.latest)
}
