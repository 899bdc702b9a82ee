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
	// maxFence is above any fence that entries give; its epochs are ones that targets take.
	maxFence = 1 << 32
	// overwrittenHolder stands for the holder in a row that no entry has written.
	overwrittenHolder = "?"
)

type (
	// LeaseStore is the part of the platform's store that a Lease uses.
	LeaseStore interface {
		Read(ctx context.Context, name string) (platform.Rows, error)
		Commit(ctx context.Context, writes ...platform.Write) (greengageroute.StoreRevision, error)
	}

	// Lease is the planner's lease as this entry holds it or observes its holder.
	Lease struct {
		store     LeaseStore
		clock     greengageroute.Clock
		log       logr.Logger
		holder    string // the entry's name and process instance
		createdAt time.Time
		// firstStart is set in the first start of the whole fleet, before which nobody can
		// have held the lease.
		firstStart bool

		mu         sync.Mutex
		held       greengageroute.HeldLease
		row        greengageroute.LeaseRow
		revision   greengageroute.StoreRevision // of the row; zero while unknown
		rowCurrent bool                         // false after a write that failed or conflicted
		observed   greengageroute.ObservedLease
		lastCall   time.Time // start of the last call to the store
		era        uint64    // of the store, by its last response; 0 while unknown
		restored   bool      // the store has been restored since this process started
		maxFence   uint64    // highest fence heard of
		// released is the row with which this entry released the lease, until it takes it
		// again.
		released greengageroute.LeaseRow
	}
)

// NewLease returns a lease that isn't held. firstStart is set in the first start of the
// whole fleet.
func NewLease(store LeaseStore, holder string, firstStart bool, clock greengageroute.Clock, log logr.Logger) *Lease {
	instance := strconv.FormatInt(time.Now().UnixNano(), 36)
	return &Lease{store: store, holder: holder + mesh.HolderSeparator + instance, createdAt: clock.Now(), firstStart: firstStart, clock: clock, log: log}
}

// Era returns the store's era by its last response, or 0.
func (lease *Lease) Era() uint64 {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	return lease.era
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

// PeerUpdate returns the update for the other entries: the lease if this entry holds it or
// was the last one to release it, else empty. A released one has no holder.
func (lease *Lease) PeerUpdate() mesh.LeaseUpdate {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	row := lease.released
	if lease.held.Holds(lease.clock.Now(), 0) {
		row = lease.row
	}
	return mesh.LeaseUpdate{Holder: row.Holder, Fence: row.Fence, Renewals: row.Renewals, Era: row.Era}
}

// ReceiveUpdate records an update of the holder that reports a renewal or the release. One from
// before a restoration of the store says nothing about the row that is there now.
func (lease *Lease) ReceiveUpdate(update mesh.LeaseUpdate) {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	now := lease.clock.Now()
	row := update.Row()
	if row.Fence > maxFence {
		return
	}
	lease.maxFence = max(lease.maxFence, row.Fence)
	if row.Era > 0 && row.Era < lease.era {
		return
	}
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
	next, revision := lease.row, lease.revision
	next.Renewals++
	lease.mu.Unlock()
	return lease.write(ctx, next, revision)
}

// read reads the row, and writes it if it is this entry's own after a lost
// response, is released, or has been unchanged for a term and the longest order. A row
// from before a restoration of the store says nothing about the present holder: the
// holder writes its own again, and others wait.
func (lease *Lease) read(ctx context.Context, longestOrder time.Duration) error {
	started := lease.clock.Now()
	lease.mu.Lock()
	lease.lastCall = started
	lease.mu.Unlock()
	rows, err := lease.store.Read(ctx, controlTable)
	if err != nil {
		return trace.Wrap(err, "reading the lease")
	}
	row, version := findLease(rows)
	lease.mu.Lock()
	if err := lease.recordEra(rows.Era); err != nil {
		lease.mu.Unlock()
		return err
	}
	revision := greengageroute.StoreRevision{Era: rows.Era, Version: version}
	holds, own, fromCopy := lease.held.Holds(started, 0), lease.row, row.Era < rows.Era
	ownRow := row.Holder == lease.holder && holds && row.Fence == lease.held.Fence
	neverHeld := version == 0 && lease.firstStart && !lease.restored
	free := neverHeld || !fromCopy && lease.isFree(row, started, longestOrder)
	expired := lease.observed.Row == row && lease.observed.Unchanged(started, leaseTerm+longestOrder)
	lease.observed = lease.observed.Observe(row, lease.clock.Now())
	next := greengageroute.LeaseRow{Holder: lease.holder, Fence: max(row.NextFence(rows.Era), lease.maxFence+1), Era: rows.Era}
	lease.mu.Unlock()
	switch {
	case holds && fromCopy:
		own.Renewals++
		own.Era = rows.Era
		return lease.write(ctx, own, revision)
	case ownRow:
		row.Renewals++
		return lease.write(ctx, row, revision)
	case expired || free:
		return lease.write(ctx, next, revision)
	default:
		lease.clearHeld("another entry holds the lease", row)
		return nil
	}
}

// isFree reports whether nobody holds the lease by its row: it was released, or its holder
// is a previous process of this entry, which has ended and whose orders have arrived.
func (lease *Lease) isFree(row greengageroute.LeaseRow, now time.Time, longestOrder time.Duration) bool {
	return row.Holder == "" || sameEntry(row.Holder, lease.holder) && now.Sub(lease.createdAt) > longestOrder
}

// recordEra records the era of a response of the store. It returns an error if the response
// is from before a restoration. The caller holds the lock.
func (lease *Lease) recordEra(era uint64) error {
	switch {
	case era < lease.era:
		return trace.ConnectionProblem(nil, "the response is of era %d of the store, which is in era %d; reading the lease again", era, lease.era)
	case era > lease.era && lease.era > 0:
		// The row may be as it was observed before, although it was renewed meanwhile.
		lease.observed, lease.restored = greengageroute.ObservedLease{}, true
	}
	lease.era = era
	return nil
}

// findLease returns the lease's row and its version, 0 if there is none. A row that no entry
// has written says nothing about the holder, who writes it again within its term; after
// that, others may. It counts as changed whenever it is overwritten.
func findLease(rows platform.Rows) (row greengageroute.LeaseRow, version uint64) {
	for _, found := range rows.Rows {
		if found.Key != leaseKey {
			continue
		}
		if err := json.Unmarshal(found.Value, &row); err != nil || row.Fence == 0 || row.Fence > maxFence {
			row = greengageroute.LeaseRow{Holder: overwrittenHolder, Renewals: found.Version}
		}
		return row, found.Version
	}
	return row, 0
}

// write writes the row if it still has the revision. Another entry may have written it in
// another era: then this entry doesn't hold the lease.
func (lease *Lease) write(ctx context.Context, next greengageroute.LeaseRow, expected greengageroute.StoreRevision) error {
	value, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	started := lease.clock.Now()
	lease.mu.Lock()
	lease.lastCall = started
	lease.mu.Unlock()
	revision, err := lease.store.Commit(ctx, platform.Write{Table: controlTable, Key: leaseKey, Value: value, ExpectedVersion: expected.Version})
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
	if revision.Era != expected.Era {
		lease.rowCurrent = false
		return lease.recordEra(revision.Era)
	}
	takenAt := lease.held.TakenAt
	if lease.held.Fence != next.Fence {
		takenAt = revision
		before := lease.observed
		lease.log.Info("lease taken", "fence", next.Fence, "holder", lease.holder, "holder-before", before.Row.Holder, "unchanged-ms", started.Sub(before.UnchangedSince).Milliseconds())
	}
	lease.row, lease.revision, lease.rowCurrent, lease.maxFence = next, revision, true, max(lease.maxFence, next.Fence)
	lease.held = greengageroute.HeldLease{Fence: next.Fence, RenewedAt: started, Term: leaseTerm, TakenAt: takenAt}
	lease.released = greengageroute.LeaseRow{}
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

// Release clears the holder in the row, so that another entry can take the lease at once. The
// following updates tell the others to read the row.
func (lease *Lease) Release(ctx context.Context) error {
	lease.mu.Lock()
	held := lease.held.Holds(lease.clock.Now(), 0) && lease.rowCurrent
	next, version := lease.row, lease.revision.Version
	lease.held = greengageroute.HeldLease{}
	lease.mu.Unlock()
	if !held {
		return nil
	}
	next.Holder = ""
	next.Renewals++
	value, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err = lease.store.Commit(ctx, platform.Write{Table: controlTable, Key: leaseKey, Value: value, ExpectedVersion: version}); err != nil {
		return trace.Wrap(err, "releasing the lease")
	}
	lease.mu.Lock()
	defer lease.mu.Unlock()
	lease.released = next
	return nil
}
