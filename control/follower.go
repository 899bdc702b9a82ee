package control

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/relay"
)

const (
	// configPollTimeout is the timeout of a long poll for the config. The config was
	// confirmed up to two timeouts ago, and up to three on entries that read it
	// through this one; revoked keys must stop working within 5 s.
	configPollTimeout = 1200 * time.Millisecond
	// listPollTimeout is the timeout of a long poll for the list. A reader (an
	// entry that reads the store for others) that has lost the store, or an
	// unresponsive connection, is noticed within the 2 s after which a leaving target
	// must get no more work.
	listPollTimeout = 500 * time.Millisecond
	// planningBatchDelay is the delay between polls of the list by an entry that may
	// plan replicas or read the list for it; it batches changes that come together
	// into one response.
	planningBatchDelay = 60 * time.Millisecond
	// listBatchDelay is the same for the other entries of a large fleet, which hear of
	// lost targets by messages.
	listBatchDelay = 200 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 150 * time.Millisecond
	// outageGrace is how long targets whose rows expired during an outage have to be
	// listed again; the platform specifies about two seconds.
	outageGrace = 2500 * time.Millisecond
	// undecodableGrace is how long a target whose row was overwritten by another writer has
	// to write it again: a heartbeat, and shorter than a target that is gone may get requests.
	undecodableGrace = 1500 * time.Millisecond
)

// Counters of the follower; docs/OPERATIONS.md lists them.
const (
	CountConfigsAdopted     = "configs-adopted"
	CountConfigsNotDecoded  = "configs-not-decoded"
	CountListRowsNotDecoded = "list-rows-not-decoded"
	CountStoreCallsFailed   = "store-calls-failed"
	// CountStoreRestorations counts how often the store was found to be restored from a
	// copy; GaugeStoreEra is its era.
	CountStoreRestorations = "store-restorations"
	GaugeStoreEra          = "store-era"
	// CountConfigsBehind counts polls of the config that ended while another entry followed
	// a newer one.
	CountConfigsBehind = "configs-behind-peers"
	// CountEvacuationsBegun and CountEvacuationsEnded count the evacuations of data centres that
	// this entry saw begin and end; GaugeEvacuated is how many are evacuated.
	CountEvacuationsBegun = "evacuations-begun"
	CountEvacuationsEnded = "evacuations-ended"
	GaugeEvacuated        = "data-centres-evacuated"
)

type (
	// Store is the part of the platform's store that a Follower uses.
	Store interface {
		Read(ctx context.Context, name string) (platform.Rows, error)
		Changes(ctx context.Context, name string, after greengageroute.StoreRevision, wait time.Duration) (platform.Rows, error)
	}

	// Follower keeps the config and the list of targets up to date.
	Follower struct {
		store       Store
		clock       greengageroute.Clock
		log         logr.Logger
		counters    *expvar.Map
		directory   *Directory
		plans       func() bool
		peersConfig func() (version uint64, known bool)
		routes      atomic.Pointer[greengageroute.RouteTable]
		listedAt    atomic.Pointer[greengageroute.StoreRevision] // see ListRevision
		confirmedAt atomic.Int64                                 // when the config was last known to be current, in Unix nanoseconds of the clock
		// polledAt is when a poll last found it current, whatever other entries know.
		polledAt atomic.Int64
		// configUndecodable is set while the newest config can't be decoded: the one in force
		// isn't current.
		configUndecodable atomic.Bool
		evacuations       Evacuations // used by RunConfig alone

		mu          sync.Mutex
		failing     bool      // the last call failed
		outageEnd   time.Time // end of the last outage, or when the store was last found restored
		outageStart time.Time // start of the current or last outage
		era         uint64    // of the store; 0 while unknown
	}

	// feed describes how one table is followed.
	feed struct {
		table       string
		pollTimeout time.Duration
		batchDelay  func() time.Duration
		onSnapshot  func(rows platform.Rows)
		onChanges   func(rows platform.Rows)
		onConfirmed func(confirmedAt time.Time, position greengageroute.StoreRevision)
		// outdated reports whether other entries know newer rows.
		outdated func() bool
	}
)

// NewFollower returns a follower that updates the directory. plans reports whether this
// entry needs changes of the list at once, and peersConfig returns the highest version of
// the config that another entry follows, once it is known.
func NewFollower(store Store, directory *Directory, plans func() bool, peersConfig func() (version uint64, known bool), clock greengageroute.Clock, counters *expvar.Map, log logr.Logger) *Follower {
	return &Follower{store: store, directory: directory, plans: plans, peersConfig: peersConfig, clock: clock, counters: counters, log: log}
}

// Routes returns the newest config that this entry knows, or nil.
func (follower *Follower) Routes() *greengageroute.RouteTable { return follower.routes.Load() }

// ListRevision returns the store's revision up to which the list of targets is known.
func (follower *Follower) ListRevision() greengageroute.StoreRevision {
	if position := follower.listedAt.Load(); position != nil {
		return *position
	}
	return greengageroute.StoreRevision{}
}

// Age returns how long ago the config was last known to be current. A poll counts only
// while no other entry follows a newer config: a restored store may have an older one.
func (follower *Follower) Age() time.Duration {
	if polledAt := follower.polledAt.Load(); polledAt > follower.confirmedAt.Load() && !follower.behindPeers() {
		follower.confirmedAt.Store(polledAt)
	}
	return time.Duration(follower.clock.Now().UnixNano() - follower.confirmedAt.Load())
}

// RunConfig follows the config until the context ends.
func (follower *Follower) RunConfig(ctx context.Context) {
	follower.run(ctx, feed{
		table: platform.ConfigTable, pollTimeout: configPollTimeout,
		// Requests are served once there is a config: the evacuations come before it.
		onSnapshot: func(rows platform.Rows) {
			follower.adoptEvacuations(rows, Evacuations.WithSnapshot)
			follower.adoptConfig(rows)
		},
		onChanges: func(rows platform.Rows) {
			follower.adoptEvacuations(rows, Evacuations.WithChanges)
			follower.adoptConfig(rows)
		},
		onConfirmed: func(confirmedAt time.Time, _ greengageroute.StoreRevision) {
			if !follower.configUndecodable.Load() {
				follower.polledAt.Store(max(confirmedAt.UnixNano(), follower.polledAt.Load()))
			}
		},
		outdated: func() bool {
			behind := follower.behindPeers()
			if behind {
				follower.counters.Add(CountConfigsBehind, 1)
			}
			return behind
		},
	})
}

// behindPeers reports whether another entry follows a newer config than this one, or may do
// so. Only a store that names its era may have been restored before this entry started.
func (follower *Follower) behindPeers() bool {
	routes := follower.routes.Load()
	if routes == nil {
		return false
	}
	newest, known := follower.peersConfig()
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return routes.Version < newest || !known && follower.era > 0
}

// RunList follows the list of targets until the context ends.
func (follower *Follower) RunList(ctx context.Context) {
	follower.run(ctx, feed{
		table: platform.TargetTable, pollTimeout: listPollTimeout, batchDelay: follower.listDelay,
		onSnapshot: func(rows platform.Rows) {
			written, _, undecodable := follower.decodeTargets(rows)
			follower.directory.Replace(written, follower.dropTime(), undecodable...)
			follower.directory.DropUnlessWritten(undecodable, follower.clock.Now().Add(undecodableGrace))
		},
		onChanges: func(rows platform.Rows) {
			if len(rows.Rows) > 0 {
				written, removed, undecodable := follower.decodeTargets(rows)
				follower.directory.Apply(written, removed, follower.dropTime())
				follower.directory.DropUnlessWritten(undecodable, follower.clock.Now().Add(undecodableGrace))
			}
		},
		onConfirmed: func(_ time.Time, position greengageroute.StoreRevision) {
			follower.listedAt.Store(&position)
			follower.directory.Expire()
		},
		outdated: func() bool { return false },
	})
}

func (follower *Follower) listDelay() time.Duration {
	if follower.plans() {
		return planningBatchDelay
	}
	return listBatchDelay
}

func (follower *Follower) run(ctx context.Context, feed feed) {
	var position greengageroute.StoreRevision // up to which the table is known
	synced, followed := false, true           // followed: changes came since the last read of the whole table
	outdated := false
	for ctx.Err() == nil {
		started := follower.clock.Now()
		var rows platform.Rows
		var err error
		if synced {
			rows, err = follower.store.Changes(ctx, feed.table, position, feed.pollTimeout)
		} else {
			rows, err = follower.store.Read(ctx, feed.table)
		}
		var historyGone *platform.HistoryGoneError
		if errors.As(err, &historyGone) {
			follower.log.Info("table history is gone; reading the whole table", "table", feed.table, "era", position.Era, "version", position.Version, "cause", err.Error())
			if !followed {
				greengageroute.Sleep(ctx, retryDelay)
			}
			synced, followed = false, false
			continue
		}
		follower.trackOutage(ctx, feed.table, err)
		if err != nil {
			greengageroute.Sleep(ctx, retryDelay)
			continue
		}
		follower.trackEra(feed.table, position, rows)
		if synced {
			feed.onChanges(rows)
			followed, position.Version = true, max(position.Version, rows.Version)
		} else {
			feed.onSnapshot(rows)
			synced, position = true, rows.Revision()
		}
		feed.onConfirmed(started.Add(-rows.Age), position)
		// The poll may have ended just before the change came: only the second one shows
		// that this entry has missed it.
		wasOutdated := outdated
		if outdated = feed.outdated(); outdated && wasOutdated {
			follower.log.Info("other entries know newer rows; reading the whole table", "table", feed.table, "era", position.Era, "version", position.Version)
			synced, outdated = false, false
		}
		if feed.batchDelay != nil {
			greengageroute.Sleep(ctx, feed.batchDelay())
		}
	}
}

// trackOutage records outages of the store and logs their start and end. The
// failure of a reader, an entry that reads the store for others, is no outage.
func (follower *Follower) trackOutage(ctx context.Context, tableName string, err error) {
	var readerErr *relay.NoReaderError
	if ctx.Err() != nil || errors.As(err, &readerErr) {
		return
	}
	now := follower.clock.Now()
	follower.mu.Lock()
	defer follower.mu.Unlock()
	switch {
	case err != nil:
		follower.counters.Add(CountStoreCallsFailed, 1)
		if !follower.failing {
			follower.failing, follower.outageStart = true, now
			follower.log.Info("store unreachable", "table", tableName, "cause", err.Error())
		}
	case follower.failing:
		follower.failing, follower.outageEnd = false, now
		follower.log.Info("store reachable again", "table", tableName, "after", now.Sub(follower.outageStart).String())
	}
}

// trackEra records the store's era and logs its restoration, and versions that went back
// within an era.
func (follower *Follower) trackEra(tableName string, position greengageroute.StoreRevision, rows platform.Rows) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if rows.Era == position.Era && rows.Version < position.Version {
		follower.log.Info("table read at a lower version than before", "table", tableName, "era", rows.Era, "version", rows.Version, "before", position.Version, "age", rows.Age.String())
	}
	if rows.Era <= follower.era {
		return
	}
	if follower.era > 0 {
		// Rows that were written after the copy are missing until they are written again.
		follower.outageEnd = follower.clock.Now()
		follower.counters.Add(CountStoreRestorations, 1)
		follower.log.Info("store was restored from a copy", "table", tableName, "era", rows.Era, "version", rows.Version, "before", position.Version)
	}
	follower.era = rows.Era
	era := new(expvar.Int)
	era.Set(int64(rows.Era))
	follower.counters.Set(GaugeStoreEra, era)
}

// dropTime returns when targets that are unlisted now are dropped.
func (follower *Follower) dropTime() time.Time {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.outageEnd.Add(outageGrace)
}

func (follower *Follower) adoptConfig(rows platform.Rows) {
	for _, row := range rows.Rows {
		if row.Key != platform.ConfigKey || row.Deleted {
			continue
		}
		routes, err := platform.DecodeConfig(row.Value)
		follower.configUndecodable.Store(err != nil)
		if err != nil {
			follower.counters.Add(CountConfigsNotDecoded, 1)
			follower.log.Error(err, "config not decoded; the previous one stays in force", "row-version", row.Version)
			continue
		}
		if current := follower.routes.Load(); current != nil && current.Version >= routes.Version {
			continue
		}
		follower.routes.Store(routes)
		follower.directory.SetRoutes(routes)
		follower.counters.Add(CountConfigsAdopted, 1)
		follower.log.Info("config adopted", "version", routes.Version, "row-version", row.Version)
	}
}

// adoptEvacuations applies the rows that request evacuations of data centres.
func (follower *Follower) adoptEvacuations(rows platform.Rows, with func(Evacuations, platform.Rows, time.Time) (Evacuations, []EvacuationChange)) {
	next, changes := with(follower.evacuations, rows, follower.clock.Now())
	follower.evacuations = next
	if len(changes) == 0 {
		return
	}
	follower.directory.SetEvacuations(next)
	for _, change := range changes {
		counter, message := CountEvacuationsEnded, "evacuation of a data centre ended"
		if change.Evacuated {
			counter, message = CountEvacuationsBegun, "evacuation of a data centre began"
		}
		follower.counters.Add(counter, 1)
		follower.log.Info(message, "data-centre", change.DataCentre, "row-version", change.RowVersion, "evacuated", len(next.current))
	}
	evacuated := new(expvar.Int)
	evacuated.Set(int64(len(next.current)))
	follower.counters.Set(GaugeEvacuated, evacuated)
}

func (follower *Follower) decodeTargets(rows platform.Rows) (written []greengageroute.Target, removed, undecodable []string) {
	for _, row := range rows.Rows {
		if row.Deleted {
			removed = append(removed, row.Key)
			continue
		}
		target, err := platform.DecodeTarget(row, rows.Era)
		if err != nil {
			follower.counters.Add(CountListRowsNotDecoded, 1)
			follower.log.V(1).Info("list row not decoded; ignoring it", "row", row.Key, "cause", err.Error())
			undecodable = append(undecodable, row.Key)
			continue
		}
		written = append(written, target)
	}
	return written, removed, undecodable
}
