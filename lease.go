package greengageroute

import "time"

type (
	// LeaseRow is a lease as it stands in the platform's table.
	LeaseRow struct {
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`    // grows with every change of holder
		Renewals uint64 `json:"renewals"` // grows with every renewal
	}

	// Tenure is a holder's own view of its lease, counted on its own clock from
	// before the renewal was sent.
	Tenure struct {
		Fence uint64
		Since time.Time
		Term  time.Duration
	}

	// Watch is a waiting entry's view of somebody else's lease. The lease is
	// free only after the row stood unchanged for a whole term, and the longest
	// order that its holder may still have under way, on the watcher's clock.
	Watch struct {
		Row   LeaseRow
		Since time.Time
	}
)

// Holds tells whether work that ends within the given time ends before the term.
func (tenure Tenure) Holds(now time.Time, work time.Duration) bool {
	return tenure.Fence > 0 && now.Add(work).Before(tenure.Since.Add(tenure.Term))
}

// Seen returns the watch after a read of the row that ended at the given time:
// the renewal that wrote the row was sent before then.
func (watch Watch) Seen(row LeaseRow, ended time.Time) Watch {
	if row == watch.Row && !watch.Since.IsZero() {
		return watch
	}
	return Watch{Row: row, Since: ended}
}

// Expired tells whether the holder can no longer act on its lease, given a read
// that began at the given time and found the row unchanged.
func (watch Watch) Expired(began time.Time, term, longestOrder time.Duration) bool {
	if watch.Row.Holder == "" {
		return true
	}
	return began.Sub(watch.Since) > term+longestOrder
}
