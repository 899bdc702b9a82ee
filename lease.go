package greengageroute

import "time"

// fencesPerEra is more than the changes of holder that a restoration of the store loses:
// its copies are seconds old, and a change takes a term.
const fencesPerEra = 100

type (
	// LeaseRow is a lease as stored in the platform's table.
	LeaseRow struct {
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`    // grows with every change of holder
		Renewals uint64 `json:"renewals"` // grows with every renewal
		// Era is the era of the store in which the row was written. A row of an earlier era
		// than the store's comes from a copy, and its holder may have been another one
		// since.
		Era uint64 `json:"era,omitempty"`
	}

	// HeldLease is a holder's own view of its lease. RenewedAt is taken from the
	// holder's clock before the renewal was sent.
	HeldLease struct {
		Fence     uint64
		RenewedAt time.Time
		Term      time.Duration
		// TakenAt is the store's revision with the row by which the lease was taken. What was
		// read before may lack what the holder before has done.
		TakenAt StoreRevision
	}

	// ObservedLease is a waiting entry's view of a lease that another entry holds.
	// By the observer's clock, the lease is free only after the row was unchanged
	// for a whole term plus the duration of the longest order that its holder may
	// still be carrying out.
	ObservedLease struct {
		Row            LeaseRow
		UnchangedSince time.Time
	}
)

// NextFence returns the fence of the next holder in an era of the store. It is higher than
// the fences of later holders that a restored store has lost.
func (row LeaseRow) NextFence(era uint64) uint64 {
	return row.Fence + 1 + (max(era, row.Era)-row.Era)*fencesPerEra
}

// Holds reports whether work of the given length, started now, ends before the
// lease's term does.
func (held HeldLease) Holds(now time.Time, work time.Duration) bool {
	return held.Fence > 0 && now.Add(work).Before(held.RenewedAt.Add(held.Term))
}

// Observe returns the observed lease after a read of the row that ended at the
// given time. The renewal that wrote the row was sent before then.
func (observed ObservedLease) Observe(row LeaseRow, ended time.Time) ObservedLease {
	if row == observed.Row && !observed.UnchangedSince.IsZero() {
		return observed
	}
	return ObservedLease{Row: row, UnchangedSince: ended}
}

// Expired reports whether the holder can no longer act on its lease, given a read
// that began at the given time and found the row unchanged.
func (observed ObservedLease) Expired(began time.Time, term, longestOrder time.Duration) bool {
	return observed.Row.Holder == "" || observed.Unchanged(began, term+longestOrder)
}

// Unchanged reports whether the row was observed to be unchanged for longer than a time,
// given a read that began at the given time and found it so.
func (observed ObservedLease) Unchanged(began time.Time, longerThan time.Duration) bool {
	return !observed.UnchangedSince.IsZero() && began.Sub(observed.UnchangedSince) > longerThan
}
