package greengageroute

import (
	"maps"
	"sync"
	"time"
)

const (
	// ProbeResultTTL is how long good news of a group lasts after its probe began.
	ProbeResultTTL = 5 * time.Second
)

type (
	// ProbeResult is one prober's finding on one group.
	ProbeResult struct {
		Group      string
		Generation uint64
		BootIDs    string    // boot ids of the members, joined
		At         time.Time // when the probe began, on this entry's clock
		Healthy    bool
		Reason     string
		Streams    int  // streams that the first member reported
		Local      bool // found by this entry, so it tells the others
	}

	// ProbeResults holds the latest findings on the groups of a data centre. Good
	// news expires; bad news stands until a probe that began after it finds the
	// group whole.
	ProbeResults struct {
		mu          sync.RWMutex
		latest      map[string]ProbeResult
		onUnhealthy func(ProbeResult)
	}
)

// NewProbeResults returns an empty table. lost is called, outside the lock, for
// each group of which bad news arrives.
func NewProbeResults(onUnhealthy func(ProbeResult)) *ProbeResults {
	return &ProbeResults{latest: map[string]ProbeResult{}, onUnhealthy: onUnhealthy}
}

// Record takes a finding in and tells whether it was news: later than what was
// known of the group.
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

// Available returns the probe result of the group if it allows new work now, or the
// reason why there is none.
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

// HealthyUntil returns when the latest good news of the group expires; a time long
// passed if there is none. A connection to the group is made before then, also
// for an answer that is under way.
func (table *ProbeResults) HealthyUntil(group Group) time.Time {
	table.mu.RLock()
	defer table.mu.RUnlock()
	result, known := table.latest[group.Name]
	if !known || !result.Healthy || result.Generation != group.Generation {
		return time.Unix(0, 0)
	}
	return result.At.Add(ProbeResultTTL)
}

// All returns the latest findings by group.
func (table *ProbeResults) All() map[string]ProbeResult {
	table.mu.RLock()
	defer table.mu.RUnlock()
	return maps.Clone(table.latest)
}
