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
		mu     sync.RWMutex
		latest map[string]ProbeResult
		lost   func(ProbeResult)
	}
)

// NewProbeResults returns an empty table. lost is called, outside the lock, for
// each group of which bad news arrives.
func NewProbeResults(lost func(ProbeResult)) *ProbeResults {
	return &ProbeResults{latest: map[string]ProbeResult{}, lost: lost}
}

// Record takes a finding in and tells whether it was news: later than what was
// known of the group.
func (table *ProbeResults) Record(verdict ProbeResult) bool {
	table.mu.Lock()
	known, exists := table.latest[verdict.Group]
	if exists && !newer(verdict, known) {
		table.mu.Unlock()
		return false
	}
	table.latest[verdict.Group] = verdict
	table.mu.Unlock()
	if !verdict.Healthy && (!exists || known.Healthy || known.Generation != verdict.Generation) {
		table.lost(verdict)
	}
	return true
}

func newer(verdict, known ProbeResult) bool {
	if verdict.Generation != known.Generation {
		return verdict.Generation > known.Generation
	}
	return verdict.At.After(known.At)
}

// Available returns the probe result of the group if it allows new work now, or the
// reason why there is none.
func (table *ProbeResults) Available(group Group, now time.Time) (ProbeResult, string) {
	table.mu.RLock()
	verdict, known := table.latest[group.Name]
	table.mu.RUnlock()
	switch {
	case group.Draining:
		return verdict, "draining"
	case !group.Ready():
		return verdict, "still loading"
	case !known || verdict.Generation != group.Generation:
		return verdict, "no probe has found it whole yet"
	case !verdict.Healthy:
		return verdict, verdict.Reason
	case now.Sub(verdict.At) >= ProbeResultTTL:
		return verdict, "no probe has found it whole lately"
	}
	return verdict, ""
}

// HealthyUntil returns when the latest good news of the group expires; a time long
// passed if there is none. A connection to the group is made before then, also
// for an answer that is under way.
func (table *ProbeResults) HealthyUntil(group Group) time.Time {
	table.mu.RLock()
	defer table.mu.RUnlock()
	verdict, known := table.latest[group.Name]
	if !known || !verdict.Healthy || verdict.Generation != group.Generation {
		return time.Unix(0, 0)
	}
	return verdict.At.Add(ProbeResultTTL)
}

// All returns the latest findings by group.
func (table *ProbeResults) All() map[string]ProbeResult {
	table.mu.RLock()
	defer table.mu.RUnlock()
	return maps.Clone(table.latest)
}
