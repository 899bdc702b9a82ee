package table

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

const leasePrefix = "lease/"

type (
	// Lease is one entry's view of a named lease. It observes the lease while
	// another entry holds it, takes it when it has expired, and renews it.
	Lease struct {
		table        Table
		key          string
		holder       string
		term         time.Duration
		longestOrder time.Duration // until an order sent under the lease has arrived

		mu       sync.Mutex
		held     greengageroute.HeldLease
		row      greengageroute.LeaseRow
		version  uint64
		observed greengageroute.ObservedLease
	}
)

// NewLease returns the named lease, not held. The longest order is the time
// after which no order that a holder sent can still arrive.
func NewLease(table Table, name, holder string, term, longestOrder time.Duration) *Lease {
	return &Lease{table: table, key: leasePrefix + name, holder: holder, term: term, longestOrder: longestOrder}
}

// Step reads the lease's row once. It renews the lease if this entry holds it,
// and takes it if it is free or has expired.
func (lease *Lease) Step(ctx context.Context) error {
	started := time.Now()
	row, version, err := readRow[greengageroute.LeaseRow](ctx, lease.table, lease.key)
	if err != nil {
		return trace.Wrap(err)
	}
	lease.mu.Lock()
	held := lease.held.Fence == row.Fence && row.Holder == lease.holder && lease.held.Fence > 0
	expired := lease.observed.Row == row && lease.observed.Expired(started, lease.term, lease.longestOrder)
	lease.observed = lease.observed.Observe(row, time.Now())
	lease.mu.Unlock()
	switch {
	case held:
		next := row
		next.Renewals++
		return lease.write(ctx, next, version)
	case expired || row.Holder == "":
		return lease.write(ctx, greengageroute.LeaseRow{Holder: lease.holder, Fence: row.Fence + 1}, version)
	default:
		lease.clearHeld()
		return nil
	}
}

func (lease *Lease) write(ctx context.Context, next greengageroute.LeaseRow, version uint64) error {
	writes, err := encodeWrites(rowWrite{lease.key, version, next})
	if err != nil {
		return err
	}
	started := time.Now()
	err = lease.table.Commit(ctx, writes...)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		lease.clearHeld()
	}
	if err != nil {
		return trace.Wrap(err, "writing %q", lease.key)
	}
	lease.setHeld(next, version+1, started)
	return nil
}

func (lease *Lease) setHeld(row greengageroute.LeaseRow, version uint64, started time.Time) {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	lease.row, lease.version = row, version
	lease.held = greengageroute.HeldLease{Fence: row.Fence, RenewedAt: started, Term: lease.term}
}

func (lease *Lease) clearHeld() {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	lease.held = greengageroute.HeldLease{}
}

// Held returns the lease as this entry holds it. The caller checks before each
// order that the lease lasts long enough.
func (lease *Lease) Held() greengageroute.HeldLease {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	return lease.held
}

// Release gives the lease up, so that another entry can take it at once. The row
// keeps the fencing number.
func (lease *Lease) Release(ctx context.Context) error {
	lease.mu.Lock()
	held, row, version := lease.held.Fence > 0, lease.row, lease.version
	lease.held = greengageroute.HeldLease{}
	lease.mu.Unlock()
	if !held {
		return nil
	}
	row.Holder = ""
	writes, err := encodeWrites(rowWrite{lease.key, version, row})
	if err != nil {
		return err
	}
	return trace.Wrap(lease.table.Commit(ctx, writes...))
}

// Guard returns a write that renews the lease, and a function to call after the
// write is committed. A transaction with this write fails if another entry has
// taken the lease. The error says that the lease has expired on this entry's
// clock.
func (lease *Lease) Guard() (Write, func(), error) {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	if !lease.held.Holds(time.Now(), 0) {
		return Write{}, nil, trace.CompareFailed("the lease %q has expired; wait until it is taken again", lease.key)
	}
	next, version, started := lease.row, lease.version, time.Now()
	next.Renewals++
	writes, err := encodeWrites(rowWrite{lease.key, version, next})
	if err != nil {
		return Write{}, nil, err
	}
	return writes[0], func() { lease.setHeld(next, version+1, started) }, nil
}
