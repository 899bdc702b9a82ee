package greengageroute

import (
	"maps"
	"sync"
	"time"
)

const (
	// VerdictTerm is how long good news of a group lasts after its probe began.
	VerdictTerm = 5 * time.Second
)

type (
	// Verdict is one prober's finding on one group.
	Verdict struct {
		Group   string
		Number  uint64
		Boots   string    // boot ids of the members, joined
		At      time.Time // when the probe began, on this entry's clock
		Whole   bool
		Reason  string
		Streams int  // streams that the first member reported
		Own     bool // found by this entry, so it tells the others
	}

	// Verdicts holds the latest findings on the groups of a data centre. Good
	// news expires; bad news stands until a probe that began after it finds the
	// group whole.
	Verdicts struct {
		mu     sync.RWMutex
		latest map[string]Verdict
		lost   func(Verdict)
	}
)

// NewVerdicts returns an empty table. lost is called, outside the lock, for
// each group of which bad news arrives.
func NewVerdicts(lost func(Verdict)) *Verdicts {
	return &Verdicts{latest: map[string]Verdict{}, lost: lost}
}

// Record takes a finding in and tells whether it was news: later than what was
// known of the group.
func (table *Verdicts) Record(verdict Verdict) bool {
	table.mu.Lock()
	known, exists := table.latest[verdict.Group]
	if exists && !newer(verdict, known) {
		table.mu.Unlock()
		return false
	}
	table.latest[verdict.Group] = verdict
	table.mu.Unlock()
	if !verdict.Whole && (!exists || known.Whole || known.Number != verdict.Number) {
		table.lost(verdict)
	}
	return true
}

func newer(verdict, known Verdict) bool {
	if verdict.Number != known.Number {
		return verdict.Number > known.Number
	}
	return verdict.At.After(known.At)
}

// Servable returns the verdict on the group if it allows new work now, or the
// reason why there is none.
func (table *Verdicts) Servable(group Group, now time.Time) (Verdict, string) {
	table.mu.RLock()
	verdict, known := table.latest[group.Name]
	table.mu.RUnlock()
	switch {
	case group.Draining:
		return verdict, "draining"
	case !group.Ready():
		return verdict, "still loading"
	case !known || verdict.Number != group.Number:
		return verdict, "no probe has found it whole yet"
	case !verdict.Whole:
		return verdict, verdict.Reason
	case now.Sub(verdict.At) >= VerdictTerm:
		return verdict, "no probe has found it whole lately"
	}
	return verdict, ""
}

// WholeUntil returns when the latest good news of the group expires; a time long
// passed if there is none. A connection to the group is made before then, also
// for an answer that is under way.
func (table *Verdicts) WholeUntil(group Group) time.Time {
	table.mu.RLock()
	defer table.mu.RUnlock()
	verdict, known := table.latest[group.Name]
	if !known || !verdict.Whole || verdict.Number != group.Number {
		return time.Unix(0, 0)
	}
	return verdict.At.Add(VerdictTerm)
}

// All returns the latest findings by group.
func (table *Verdicts) All() map[string]Verdict {
	table.mu.RLock()
	defer table.mu.RUnlock()
	return maps.Clone(table.latest)
}
