package control

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/table"
)

const (
	controlTable = "control"
	leaseKey     = "planner"
	// leaseTerm outlasts two renewals. It is short because a failed member is not
	// replaced while nobody holds the lease.
	leaseTerm = 1600 * time.Millisecond
	// renewInterval leaves two more attempts within a term.
	renewInterval = 500 * time.Millisecond
	// leaseReadInterval is how often the row is read while no updates of its holder
	// arrive.
	leaseReadInterval = 300 * time.Millisecond
)

type (
	// LeaseStore is the part of the platform's store that a Lease uses.
	LeaseStore interface {
		Read(ctx context.Context, name string) (platform.Rows, error)
		Commit(ctx context.Context, writes ...platform.Write) (uint64, error)
	}

	// Lease is the planner's lease as this entry holds it or observes its holder.
	Lease struct {
		store     LeaseStore
		clock     greengageroute.Clock
		log       logr.Logger
		holder    string // the entry's name and process instance
		createdAt time.Time

		mu         sync.Mutex
		held       greengageroute.HeldLease
		row        greengageroute.LeaseRow
		version    uint64 // of the row; 0 while unknown
		rowCurrent bool   // false after a write that failed or conflicted
		observed   greengageroute.ObservedLease
		lastCall   time.Time // start of the last call to the store
	}
)

// NewLease returns a lease that isn't held.
func NewLease(store LeaseStore, holder string, clock greengageroute.Clock, log logr.Logger) *Lease {
	instance := strconv.FormatInt(time.Now().UnixNano(), 36)
	return &Lease{store: store, holder: holder + mesh.HolderSeparator + instance, createdAt: clock.Now(), clock: clock, log: log}
}

// sameEntry reports whether two holders are different process instances of one entry.
func sameEntry(first, second string) bool {
	firstName, _, _ := strings.Cut(first, mesh.HolderSeparator)
	secondName, _, _ := strings.Cut(second, mesh.HolderSeparator)
	return firstName == secondName && first != second
}

// Held returns the lease as this entry holds it. It is checked before each order.
func (lease *Lease) Held() greengageroute.HeldLease {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	return lease.held
}

// PeerUpdate returns the update for the other entries: the lease if this entry
// holds it, else empty.
func (lease *Lease) PeerUpdate() mesh.LeaseUpdate {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	if !lease.held.Holds(lease.clock.Now(), 0) {
		return mesh.LeaseUpdate{}
	}
	return mesh.LeaseUpdate{Holder: lease.row.Holder, Fence: lease.row.Fence, Renewals: lease.row.Renewals}
}

// ReceiveUpdate records an update of the holder that reports a renewal.
func (lease *Lease) ReceiveUpdate(update mesh.LeaseUpdate) {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	now := lease.clock.Now()
	row := update.Row()
	if row.Fence > lease.observed.Row.Fence || row.Fence == lease.observed.Row.Fence && row.Renewals > lease.observed.Row.Renewals {
		lease.observed = greengageroute.ObservedLease{Row: row, UnchangedSince: now}
	}
}

// Step renews the lease if it is held and due, and takes it if its holder has
// let it expire. An order that the holder sent has arrived within longestOrder.
func (lease *Lease) Step(ctx context.Context, longestOrder time.Duration) error {
	now := lease.clock.Now()
	lease.mu.Lock()
	held, rowCurrent, sinceCall := lease.held.Holds(now, 0), lease.rowCurrent, now.Sub(lease.lastCall)
	// The row isn't read while updates of the holder arrive.
	due := lease.observed.UnchangedSince.IsZero() || lease.observed.Expired(now, leaseTerm, longestOrder)
	lease.mu.Unlock()
	switch {
	case held && rowCurrent && sinceCall >= renewInterval:
		return lease.renew(ctx)
	case held && !rowCurrent && sinceCall >= leaseReadInterval, !held && due && sinceCall >= leaseReadInterval:
		return lease.read(ctx, longestOrder)
	}
	return nil
}

func (lease *Lease) renew(ctx context.Context) error {
	lease.mu.Lock()
	next, version := lease.row, lease.version
	next.Renewals++
	lease.mu.Unlock()
	return lease.write(ctx, next, version)
}

// read reads the row, and writes it if it is this entry's own after a lost
// response, is released, or has been unchanged for a term and the longest order.
func (lease *Lease) read(ctx context.Context, longestOrder time.Duration) error {
	started := lease.clock.Now()
	lease.mu.Lock()
	lease.lastCall = started
	lease.mu.Unlock()
	rows, err := lease.store.Read(ctx, controlTable)
	if err != nil {
		return trace.Wrap(err, "reading the lease")
	}
	row, version, err := findLease(rows)
	if err != nil {
		return err
	}
	lease.mu.Lock()
	ownRow := row.Holder == lease.holder && lease.held.Holds(started, 0) && row.Fence == lease.held.Fence
	expired := lease.observed.Row == row && lease.observed.Expired(started, leaseTerm, longestOrder)
	// A previous process of this entry has ended, and its orders have arrived.
	expired = expired || sameEntry(row.Holder, lease.holder) && started.Sub(lease.createdAt) > longestOrder
	lease.observed = lease.observed.Observe(row, lease.clock.Now())
	lease.mu.Unlock()
	switch {
	case ownRow:
		row.Renewals++
		return lease.write(ctx, row, version)
	case expired || row.Holder == "":
		return lease.write(ctx, greengageroute.LeaseRow{Holder: lease.holder, Fence: row.Fence + 1}, version)
	default:
		lease.clearHeld("another entry holds the lease", row)
		return nil
	}
}

func findLease(rows platform.Rows) (row greengageroute.LeaseRow, version uint64, err error) {
	for _, found := range rows.Rows {
		if found.Key == leaseKey {
			err := json.Unmarshal(found.Value, &row)
			return row, found.Version, trace.Wrap(err, "decoding the lease")
		}
	}
	return row, 0, nil
}

func (lease *Lease) write(ctx context.Context, next greengageroute.LeaseRow, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	started := lease.clock.Now()
	lease.mu.Lock()
	lease.lastCall = started
	lease.mu.Unlock()
	newVersion, err := lease.store.Commit(ctx, platform.Write{Table: controlTable, Key: leaseKey, Value: value, ExpectedVersion: version})
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		// The conflicting row may be this entry's own write whose response was lost:
		// read it again.
		lease.markRowStale()
		return nil
	case err != nil:
		lease.markRowStale()
		return trace.Wrap(err, "writing the lease")
	}
	lease.mu.Lock()
	defer lease.mu.Unlock()
	if lease.held.Fence != next.Fence {
		lease.log.Info("lease taken", "fence", next.Fence)
	}
	lease.row, lease.version, lease.rowCurrent = next, newVersion, true
	lease.held = greengageroute.HeldLease{Fence: next.Fence, RenewedAt: started, Term: leaseTerm}
	return nil
}

func (lease *Lease) markRowStale() {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	lease.rowCurrent = false
}

func (lease *Lease) clearHeld(cause string, row greengageroute.LeaseRow) {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	if lease.held.Fence > 0 {
		lease.log.Info("lease lost", "cause", cause, "holder", row.Holder, "fence", row.Fence)
	}
	lease.held, lease.rowCurrent = greengageroute.HeldLease{}, false
}

// Release clears the holder in the row, so that another entry can take the lease
// at once.
func (lease *Lease) Release(ctx context.Context) error {
	lease.mu.Lock()
	held := lease.held.Holds(lease.clock.Now(), 0) && lease.rowCurrent
	next, version := lease.row, lease.version
	lease.held = greengageroute.HeldLease{}
	lease.mu.Unlock()
	if !held {
		return nil
	}
	next.Holder = ""
	value, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = lease.store.Commit(ctx, platform.Write{Table: controlTable, Key: leaseKey, Value: value, ExpectedVersion: version})
	return trace.Wrap(err, "releasing the lease")
}
