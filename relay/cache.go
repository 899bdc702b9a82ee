// Package relay lets one entry of a data centre, the reader, read the platform's store
// for the others. The reader caches the tables that it follows and serves them over
// HTTP, with the time since it last confirmed them with the store.
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

// maxHistory is how many changes of a table are kept: more than come within maxWait.
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
		era          uint64        // of all versions
		confirmedAt  time.Time     // when the rows were last known to be current
		changed      chan struct{} // closed at the next change
	}
)

// NewCache returns an empty cache.
func NewCache(clock greengageroute.Clock) *Cache {
	return &Cache{clock: clock, tables: map[string]*cachedTable{}}
}

// Replace stores all rows of a table, as the store returned them to a call that began
// at requestedAt.
func (cache *Cache) Replace(name string, rows platform.Rows, requestedAt time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	fresh := &cachedTable{
		rows: map[string]platform.Row{}, historyStart: rows.Version, version: rows.Version, era: rows.Era, confirmedAt: requestedAt, changed: make(chan struct{}),
	}
	for _, row := range rows.Rows {
		fresh.rows[row.Key] = row
	}
	if previous := cache.tables[name]; previous != nil {
		close(previous.changed)
	}
	cache.tables[name] = fresh
}

// Apply applies changes of a table, as the store returned them to a call that began at
// requestedAt. It ignores a table that was never replaced.
func (cache *Cache) Apply(name string, changes platform.Rows, requestedAt time.Time) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	table := cache.tables[name]
	if table == nil {
		return
	}
	table.version, table.confirmedAt = max(table.version, changes.Version), requestedAt
	if len(changes.Rows) == 0 {
		return
	}
	for _, row := range changes.Rows {
		if row.Deleted {
			delete(table.rows, row.Key)
		} else {
			table.rows[row.Key] = row
		}
	}
	table.history = append(table.history, changes.Rows...)
	if excess := len(table.history) - maxHistory; excess > 0 {
		table.historyStart = table.history[excess-1].Version
		table.history = slices.Delete(table.history, 0, excess)
	}
	close(table.changed)
	table.changed = make(chan struct{})
}

// Read returns all rows of a table and the time since they were confirmed as current.
// It reports false if the table isn't cached here.
func (cache *Cache) Read(name string) (platform.Rows, bool) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	table := cache.tables[name]
	if table == nil {
		return platform.Rows{}, false
	}
	rows := platform.Rows{Version: table.version, Era: table.era, Age: cache.clock.Now().Sub(table.confirmedAt)}
	for _, row := range table.rows {
		rows.Rows = append(rows.Rows, row)
	}
	slices.SortFunc(rows.Rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, true
}

// Changes returns the changes after a revision as soon as there are any or the wait is
// over. It also reports whether the history no longer reaches back to the revision
// (gone), and whether the table is cached here, of the revision's era or a later one
// (found).
func (cache *Cache) Changes(ctx context.Context, name string, after greengageroute.StoreRevision, wait time.Duration) (rows platform.Rows, gone, found bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		rows, gone, changed := cache.changesSince(name, after)
		if changed == nil || gone || len(rows.Rows) > 0 || expired {
			return rows, gone, changed != nil
		}
		select {
		case <-ctx.Done():
			expired = true
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

func (cache *Cache) changesSince(name string, after greengageroute.StoreRevision) (rows platform.Rows, gone bool, changed <-chan struct{}) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	table := cache.tables[name]
	switch {
	case table == nil || after.Era > table.era:
		return rows, false, nil
	case after.Era > 0 && after.Era < table.era:
		return rows, true, table.changed
	}
	rows = platform.Rows{Version: max(table.version, after.Version), Era: table.era, Age: cache.clock.Now().Sub(table.confirmedAt)}
	for _, row := range table.history {
		if row.Version > after.Version {
			rows.Rows = append(rows.Rows, row)
		}
	}
	return rows, after.Version < table.historyStart, table.changed
}
