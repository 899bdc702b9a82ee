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
	// lifeMark parts an entry's name from its life in the holder's name.
	lifeMark = "#"
	// leaseTerm outlasts two renewals: a lost member goes without a substitute for
	// as long as nobody holds the lease.
	leaseTerm = 1600 * time.Millisecond
	// renewEvery leaves two more tries within a term.
	renewEvery = 500 * time.Millisecond
	// watchEvery is how often the lease is read while its holder is silent.
	watchEvery = 300 * time.Millisecond
)

type (
	// LeaseStore is what the lease needs of the platform.
	LeaseStore interface {
		Read(ctx context.Context, name string) (platform.Rows, error)
		Commit(ctx context.Context, writes ...platform.Write) (uint64, error)
	}

	// Lease is this entry's hold, or watch, of the planner's lease.
	Lease struct {
		store  LeaseStore
		clock  greengageroute.Clock
		log    logr.Logger
		holder string // the entry's name and its life
		born   time.Time

		mu      sync.Mutex
		tenure  greengageroute.HeldLease
		row     greengageroute.LeaseRow
		version uint64 // of the row; 0 while it is not known
		sure    bool   // the row is as this entry last wrote or read it
		watch   greengageroute.ObservedLease
		step    time.Time // of the last call
	}
)

// NewLease returns the lease, not held.
func NewLease(store LeaseStore, holder string, clock greengageroute.Clock, log logr.Logger) *Lease {
	life := strconv.FormatInt(time.Now().UnixNano(), 36)
	return &Lease{store: store, holder: holder + lifeMark + life, born: clock.Now(), clock: clock, log: log}
}

// sameEntry tells whether two holders are lives of one entry.
func sameEntry(a, b string) bool {
	nameA, _, _ := strings.Cut(a, lifeMark)
	nameB, _, _ := strings.Cut(b, lifeMark)
	return nameA == nameB && a != b
}

// Tenure returns this entry's hold. It is checked before each order.
func (lease *Lease) Tenure() greengageroute.HeldLease {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	return lease.tenure
}

// News returns what the other entries are told: the lease, if it is held.
func (lease *Lease) News() mesh.LeaseUpdate {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	if !lease.tenure.Holds(lease.clock.Now(), 0) {
		return mesh.LeaseUpdate{}
	}
	return mesh.LeaseUpdate{Holder: lease.row.Holder, Fence: lease.row.Fence, Renewals: lease.row.Renewals}
}

// Heard takes the holder's word that it has renewed.
func (lease *Lease) Heard(news mesh.LeaseUpdate) {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	now := lease.clock.Now()
	row := news.Row()
	if row.Fence > lease.watch.Row.Fence || row.Fence == lease.watch.Row.Fence && row.Renewals > lease.watch.Row.Renewals {
		lease.watch = greengageroute.ObservedLease{Row: row, UnchangedSince: now}
	}
}

// Step renews the lease if it is held and due, and takes it if its holder has
// let it expire. The longest order is the time within which an order that the
// holder sent has arrived.
func (lease *Lease) Step(ctx context.Context, longestOrder time.Duration) error {
	now := lease.clock.Now()
	lease.mu.Lock()
	held, sure, since := lease.tenure.Holds(now, 0), lease.sure, now.Sub(lease.step)
	// While the holder's word comes, the row needs no reading.
	due := lease.watch.UnchangedSince.IsZero() || lease.watch.Expired(now, leaseTerm, longestOrder)
	lease.mu.Unlock()
	switch {
	case held && sure && since >= renewEvery:
		return lease.renew(ctx)
	case held && !sure && since >= watchEvery, !held && due && since >= watchEvery:
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

// read looks at the row: it may be this entry's own after a lost answer, be
// free, or have stood unchanged for a term.
func (lease *Lease) read(ctx context.Context, longestOrder time.Duration) error {
	began := lease.clock.Now()
	lease.mu.Lock()
	lease.step = began
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
	own := row.Holder == lease.holder && lease.tenure.Holds(began, 0) && row.Fence == lease.tenure.Fence
	expired := lease.watch.Row == row && lease.watch.Expired(began, leaseTerm, longestOrder)
	// An earlier life of this entry is over, and its orders have arrived.
	expired = expired || sameEntry(row.Holder, lease.holder) && began.Sub(lease.born) > longestOrder
	lease.watch = lease.watch.Observe(row, lease.clock.Now())
	lease.mu.Unlock()
	switch {
	case own:
		row.Renewals++
		return lease.write(ctx, row, version)
	case expired || row.Holder == "":
		return lease.write(ctx, greengageroute.LeaseRow{Holder: lease.holder, Fence: row.Fence + 1}, version)
	default:
		lease.drop("another entry holds the lease", row)
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
	began := lease.clock.Now()
	lease.mu.Lock()
	lease.step = began
	lease.mu.Unlock()
	written, err := lease.store.Commit(ctx, platform.Write{Table: controlTable, Key: leaseKey, Value: value, Expect: version})
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict):
		// The row may also be this entry's own, after a lost answer: read it again.
		lease.doubt()
		return nil
	case err != nil:
		lease.doubt()
		return trace.Wrap(err, "writing the lease")
	}
	lease.mu.Lock()
	defer lease.mu.Unlock()
	if lease.tenure.Fence != next.Fence {
		lease.log.Info("lease taken", "fence", next.Fence)
	}
	lease.row, lease.version, lease.sure = next, written, true
	lease.tenure = greengageroute.HeldLease{Fence: next.Fence, RenewedAt: began, Term: leaseTerm}
	return nil
}

func (lease *Lease) doubt() {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	lease.sure = false
}

func (lease *Lease) drop(why string, row greengageroute.LeaseRow) {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	if lease.tenure.Fence > 0 {
		lease.log.Info("lease lost", "cause", why, "holder", row.Holder, "fence", row.Fence)
	}
	lease.tenure, lease.sure = greengageroute.HeldLease{}, false
}

// Release gives the lease up, so that another entry can take it at once.
func (lease *Lease) Release(ctx context.Context) error {
	lease.mu.Lock()
	held := lease.tenure.Holds(lease.clock.Now(), 0) && lease.sure
	next, version := lease.row, lease.version
	lease.tenure = greengageroute.HeldLease{}
	lease.mu.Unlock()
	if !held {
		return nil
	}
	next.Holder = ""
	value, err := json.Marshal(next)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = lease.store.Commit(ctx, platform.Write{Table: controlTable, Key: leaseKey, Value: value, Expect: version})
	return trace.Wrap(err, "releasing the lease")
}
