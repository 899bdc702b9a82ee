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
	// Lease keeps one duty's lease for one entry: it watches while another
	// holds it, takes it when it has expired, and renews it.
	Lease struct {
		table        Table
		key          string
		holder       string
		term         time.Duration
		longestOrder time.Duration // longest order given under it

		mu       sync.Mutex
		held     greengageroute.HeldLease
		row      greengageroute.LeaseRow
		version  uint64
		observed greengageroute.ObservedLease
	}
)

// NewLease returns the lease of a duty, not held. The longest order is the time
// after which nothing that a holder sent can still arrive.
func NewLease(table Table, name, holder string, term, longestOrder time.Duration) *Lease {
	return &Lease{table: table, key: leasePrefix + name, holder: holder, term: term, longestOrder: longestOrder}
}

// Step makes one round: renew if held, else watch and take if expired.
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

// Held returns this entry's view of its hold, which the caller checks before
// each order.
func (lease *Lease) Held() greengageroute.HeldLease {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	return lease.held
}

// Release gives the lease up so that another entry can take it at once. The
// fencing number stays in the row.
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

// Guard returns the write that makes a transaction fail if the lease was taken
// meanwhile, and a function to call once the transaction was made.
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
