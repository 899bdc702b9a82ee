package greengageroute

import (
	"sync"
	"time"
)

// LinkState records whether an entry's own links to the targets work, as opposed to the
// targets themselves. It is safe for use by several goroutines.
type LinkState struct {
	mu       sync.Mutex
	isolated bool
	since    time.Time // of the isolation
}

// RecordCheck records whether targets responded in a check that ended at the given time.
// It reports whether that has changed, and since when the entry has been isolated.
func (state *LinkState) RecordCheck(responded bool, now time.Time) (changed bool, since time.Time) {
	state.mu.Lock()
	defer state.mu.Unlock()
	wasIsolated := state.isolated
	state.isolated = !responded
	if state.isolated && !wasIsolated {
		state.since = now
	}
	return state.isolated != wasIsolated, state.since
}

// Isolated reports whether most targets don't respond to this entry.
func (state *LinkState) Isolated() bool {
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.isolated
}
