// Package relay lets one entry of a data centre read the platform's store for the
// others: it keeps the rows that it follows and serves them, with the age of
// their proof, to entries that ask over HTTP.
package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

// maxHistory is how many changes of a table are kept: more than come within the
// longest wait of a call.
const maxHistory = 1024

type (
	// Cache holds the tables that this entry follows.
	Cache struct {
		clock  greengageroute.Clock
		mu     sync.Mutex
		tables map[string]*cachedTable
	}

	cachedTable struct {
		rows         map[string]platform.Row
		history      []platform.Row // ascending by version
		historyStart uint64         // version after which the history is complete
		version      uint64
		confirmedAt  time.Time // when this was known to be the newest
		changed      chan struct{}
	}
)

// NewCache returns an empty cache.
func NewCache(clock greengageroute.Clock) *Cache {
	return &Cache{clock: clock, tables: map[string]*cachedTable{}}
}

// Replace takes a whole reading of a table that was asked for at the given moment.
func (cache *Cache) Replace(name string, rows platform.Rows, asked time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	fresh := &cachedTable{
		rows: map[string]platform.Row{}, historyStart: rows.Version, version: rows.Version, confirmedAt: asked, changed: make(chan struct{}),
	}
	for _, row := range rows.Rows {
		fresh.rows[row.Key] = row
	}
	if known := cache.tables[name]; known != nil {
		close(known.changed)
	}
	cache.tables[name] = fresh
}

// Apply takes changes of a table that were asked for at the given moment.
func (cache *Cache) Apply(name string, changes platform.Rows, asked time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	known := cache.tables[name]
	if known == nil {
		return
	}
	known.version, known.confirmedAt = max(known.version, changes.Version), asked
	if len(changes.Rows) == 0 {
		return
	}
	for _, row := range changes.Rows {
		if row.Deleted {
			delete(known.rows, row.Key)
		} else {
			known.rows[row.Key] = row
		}
	}
	known.history = append(known.history, changes.Rows...)
	if extra := len(known.history) - maxHistory; extra > 0 {
		known.historyStart = known.history[extra-1].Version
		known.history = slices.Delete(known.history, 0, extra)
	}
	close(known.changed)
	known.changed = make(chan struct{})
}

// Read returns all rows of a table, and how old their proof is; false if the
// table isn't followed here.
func (cache *Cache) Read(name string) (platform.Rows, bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	known := cache.tables[name]
	if known == nil {
		return platform.Rows{}, false
	}
	rows := platform.Rows{Version: known.version, Age: cache.clock.Now().Sub(known.confirmedAt)}
	for _, row := range known.rows {
		rows.Rows = append(rows.Rows, row)
	}
	slices.SortFunc(rows.Rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, true
}

// Changes returns what has changed after a version, as soon as there is
// something or the wait is over. Gone tells that the history doesn't reach back.
func (cache *Cache) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (rows platform.Rows, gone, found bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		rows, gone, changed := cache.changesSince(name, after)
		if changed == nil || gone || len(rows.Rows) > 0 || over {
			return rows, gone, changed != nil
		}
		select {
		case <-ctx.Done():
			over = true
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}

func (cache *Cache) changesSince(name string, after uint64) (rows platform.Rows, gone bool, changed <-chan struct{}) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	known := cache.tables[name]
	if known == nil {
		return rows, false, nil
	}
	rows = platform.Rows{Version: max(known.version, after), Age: cache.clock.Now().Sub(known.confirmedAt)}
	for _, row := range known.history {
		if row.Version > after {
			rows.Rows = append(rows.Rows, row)
		}
	}
	return rows, after < known.historyStart, known.changed
}
