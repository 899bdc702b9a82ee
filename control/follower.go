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
	// configWait is the wait of a long poll for the config. The proof is up to two
	// waits old, and one more of the entries that ask this one; keys that were
	// taken away stop working within 5 s.
	configWait = 1200 * time.Millisecond
	// listWait is the wait of a long poll for the list: a reader that has lost the
	// store, or a silent connection, is noticed within the 2 s after which a leaving
	// target gets no more work.
	listWait = 500 * time.Millisecond
	// listPause joins changes that come together into one answer.
	listPause = 60 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// outageGrace is how long targets whose entries lapsed during an outage have to
	// come back: the platform says about two seconds.
	outageGrace = 2500 * time.Millisecond
)

// Counters of the follower; docs/OPERATIONS.md lists them.
const (
	CountConfigs      = "configs-adopted"
	CountConfigFaults = "configs-not-decoded"
	CountListFaults   = "list-rows-not-decoded"
	CountStoreFailed  = "store-calls-failed"
)

type (
	// Store is what following needs of the platform.
	Store interface {
		Read(ctx context.Context, name string) (platform.Rows, error)
		Changes(ctx context.Context, name string, after uint64, wait time.Duration) (platform.Rows, error)
	}

	// Follower keeps the config and the list up to date.
	Follower struct {
		store     Store
		clock     greengageroute.Clock
		log       logr.Logger
		counters  *expvar.Map
		directory *Directory
		routes    atomic.Pointer[greengageroute.RouteTable]
		proven    atomic.Int64 // moment at which the config was known to be the newest, in Unix nanoseconds of the clock

		mu       sync.Mutex
		failing  bool      // the last call failed
		regained time.Time // end of the last outage
		failedAt time.Time // begin of the present or last one
	}

	// feed follows one table.
	feed struct {
		table   string
		wait    time.Duration
		pause   time.Duration
		whole   func(rows platform.Rows)
		changes func(rows platform.Rows)
		current func(proven time.Time)
	}
)

// NewFollower returns a follower that fills the directory.
func NewFollower(store Store, directory *Directory, clock greengageroute.Clock, counters *expvar.Map, log logr.Logger) *Follower {
	return &Follower{store: store, directory: directory, clock: clock, counters: counters, log: log}
}

// Routes returns the newest config that this entry knows, or nil.
func (follower *Follower) Routes() *greengageroute.RouteTable { return follower.routes.Load() }

// Age returns how long ago the config was last known to be the newest.
func (follower *Follower) Age() time.Duration {
	return time.Duration(follower.clock.Now().UnixNano() - follower.proven.Load())
}

// RunConfig follows the config until the context ends.
func (follower *Follower) RunConfig(ctx context.Context) {
	follower.run(ctx, feed{
		table: platform.ConfigTable, wait: configWait,
		whole: follower.adopt, changes: follower.adopt,
		current: func(proven time.Time) {
			follower.proven.Store(max(proven.UnixNano(), follower.proven.Load()))
		},
	})
}

// RunList follows the list of targets until the context ends.
func (follower *Follower) RunList(ctx context.Context) {
	follower.run(ctx, feed{
		table: platform.TargetTable, wait: listWait, pause: listPause,
		whole: func(rows platform.Rows) {
			written, _ := follower.decode(rows.Rows)
			follower.directory.Replace(written, follower.dropTime())
		},
		changes: func(rows platform.Rows) {
			if len(rows.Rows) > 0 {
				written, removed := follower.decode(rows.Rows)
				follower.directory.Apply(written, removed, follower.dropTime())
			}
		},
		current: func(time.Time) { follower.directory.Expire() },
	})
}

func (follower *Follower) run(ctx context.Context, feed feed) {
	var version uint64
	known := false
	for ctx.Err() == nil {
		began := follower.clock.Now()
		var rows platform.Rows
		var err error
		if known {
			rows, err = follower.store.Changes(ctx, feed.table, version, feed.wait)
		} else {
			rows, err = follower.store.Read(ctx, feed.table)
		}
		var gone *platform.HistoryGoneError
		if errors.As(err, &gone) {
			follower.log.Info("table is read anew", "table", feed.table, "version", version, "cause", err.Error())
			known = false
			continue
		}
		follower.note(ctx, feed.table, err)
		if err != nil {
			greengageroute.Sleep(ctx, retryPause)
			continue
		}
		if known {
			feed.changes(rows)
		} else {
			feed.whole(rows)
		}
		known, version = true, max(version, rows.Version)
		feed.current(began.Add(-rows.Age))
		greengageroute.Sleep(ctx, feed.pause)
	}
}

// note keeps track of outages and logs their begin and end.
func (follower *Follower) note(ctx context.Context, table string, err error) {
	var reader *relay.NoReaderError
	if ctx.Err() != nil || errors.As(err, &reader) {
		return
	}
	now := follower.clock.Now()
	follower.mu.Lock()
	defer follower.mu.Unlock()
	switch {
	case err != nil:
		follower.counters.Add(CountStoreFailed, 1)
		if !follower.failing {
			follower.failing, follower.failedAt = true, now
			follower.log.Info("store lost", "table", table, "cause", err.Error())
		}
	case follower.failing:
		follower.failing, follower.regained = false, now
		follower.log.Info("store regained", "table", table, "after", now.Sub(follower.failedAt).String())
	}
}

// dropTime returns when targets that vanish now are dropped.
func (follower *Follower) dropTime() time.Time {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.regained.Add(outageGrace)
}

func (follower *Follower) adopt(rows platform.Rows) {
	for _, row := range rows.Rows {
		if row.Key != platform.ConfigKey || row.Deleted {
			continue
		}
		routes, err := platform.DecodeConfig(row.Value)
		if err != nil {
			follower.counters.Add(CountConfigFaults, 1)
			follower.log.Error(err, "config not adopted", "row-version", row.Version)
			continue
		}
		if known := follower.routes.Load(); known != nil && known.Version >= routes.Version {
			continue
		}
		follower.routes.Store(routes)
		follower.directory.SetRoutes(routes)
		follower.counters.Add(CountConfigs, 1)
		follower.log.Info("config adopted", "version", routes.Version, "row-version", row.Version)
	}
}

func (follower *Follower) decode(rows []platform.Row) (written []greengageroute.Target, removed []string) {
	for _, row := range rows {
		if row.Deleted {
			removed = append(removed, row.Key)
			continue
		}
		target, err := platform.DecodeTarget(row)
		if err != nil {
			follower.counters.Add(CountListFaults, 1)
			follower.log.V(1).Info("list row ignored", "row", row.Key, "cause", err.Error())
			continue
		}
		written = append(written, target)
	}
	return written, removed
}
