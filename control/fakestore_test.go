package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/table"
)

type (
	// fakeStore is an in-memory store.
	fakeStore struct {
		mu      sync.Mutex
		version uint64
		era     uint64
		oldest  uint64 // first version of the history
		rows    map[string]platform.Row
		history []platform.Row
		changed chan struct{}
		reads   int // calls that read, by all entries
	}

	// storeCopy is a copy of the fake store.
	storeCopy struct {
		version uint64
		rows    map[string]platform.Row
		history []platform.Row
	}

	// fakeConn is one entry's connection to the store, with injected faults.
	fakeConn struct {
		*fakeStore
		mu          sync.Mutex
		delay       time.Duration
		down        bool
		dropReplies bool // to writes, after they were applied
		frozen      chan struct{}
	}
)

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]platform.Row{}, changed: make(chan struct{}), era: 1}
}

func (store *fakeStore) backup() storeCopy {
	store.mu.Lock()
	defer store.mu.Unlock()
	return storeCopy{store.version, maps.Clone(store.rows), slices.Clone(store.history)}
}

// restore replaces the content with that of a copy and begins a new era: later versions
// are given out again.
func (store *fakeStore) restore(backup storeCopy) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.version, store.rows, store.history = backup.version, maps.Clone(backup.rows), slices.Clone(backup.history)
	store.era++
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *fakeStore) readCount() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.reads
}

func (conn *fakeConn) set(edit func(conn *fakeConn)) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	edit(conn)
}

func (conn *fakeConn) call() (dropReply bool, err error) {
	conn.mu.Lock()
	delay, down, dropReply := conn.delay, conn.down, conn.dropReplies
	conn.mu.Unlock()
	time.Sleep(delay)
	if down {
		return false, &table.UnavailableError{Cause: errors.New("down")}
	}
	return dropReply, nil
}

func (conn *fakeConn) Read(_ context.Context, name string) (platform.Rows, error) {
	if _, err := conn.call(); err != nil {
		return platform.Rows{}, err
	}
	store := conn.fakeStore
	store.mu.Lock()
	defer store.mu.Unlock()
	store.reads++
	rows := platform.Rows{Version: store.version, Era: store.era}
	for _, row := range store.rows {
		if row.Table == name {
			rows.Rows = append(rows.Rows, row)
		}
	}
	return rows, nil
}

func (conn *fakeConn) Changes(ctx context.Context, name string, after greengageroute.StoreRevision, wait time.Duration) (platform.Rows, error) {
	deadline := time.Now().Add(wait)
	for {
		if _, err := conn.call(); err != nil {
			return platform.Rows{}, err
		}
		store := conn.fakeStore
		store.mu.Lock()
		store.reads++
		rows, changed := platform.Rows{Version: store.version, Era: store.era}, store.changed
		truncated := after.Era != store.era || after.Version < store.oldest || after.Version > store.version
		for _, row := range store.history {
			if row.Table == name && row.Version > after.Version {
				rows.Rows = append(rows.Rows, row)
			}
		}
		store.mu.Unlock()
		switch {
		case truncated:
			return platform.Rows{}, &platform.HistoryGoneError{Table: name}
		case len(rows.Rows) > 0 || !time.Now().Before(deadline):
			return rows, nil
		}
		select {
		case <-ctx.Done():
			return platform.Rows{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(deadline)):
		}
	}
}

func (conn *fakeConn) Commit(_ context.Context, writes ...platform.Write) (greengageroute.StoreRevision, error) {
	var none greengageroute.StoreRevision
	dropReply, err := conn.call()
	if err != nil {
		return none, err
	}
	version, err := conn.commit(writes)
	if dropReply {
		return none, &table.UncertainError{Cause: errors.New("the response was lost")}
	}
	return version, err
}

func (store *fakeStore) commit(writes []platform.Write) (greengageroute.StoreRevision, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, write := range writes {
		if !write.Unconditional && store.rows[write.Table+"/"+write.Key].Version != write.ExpectedVersion {
			return greengageroute.StoreRevision{}, &table.ConflictError{Key: write.Key}
		}
	}
	store.version++
	for _, write := range writes {
		row := platform.Row{Table: write.Table, Key: write.Key, Value: write.Value, Version: store.version, Deleted: write.Remove}
		store.history = append(store.history, row)
		if write.Remove {
			delete(store.rows, write.Table+"/"+write.Key)
		} else {
			store.rows[write.Table+"/"+write.Key] = row
		}
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return greengageroute.StoreRevision{Era: store.era, Version: store.version}, nil
}

func (store *fakeStore) put(name, key, value string) {
	// Unconditional writes can't conflict.
	_, _ = store.commit([]platform.Write{{Table: name, Key: key, Value: []byte(value), Unconditional: true}})
}

// putUnnoticed writes a row without a change that polls return.
func (store *fakeStore) putUnnoticed(name, key, value string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.version++
	store.rows[name+"/"+key] = platform.Row{Table: name, Key: key, Value: []byte(value), Version: store.version}
}

func (store *fakeStore) remove(name, key string) {
	_, _ = store.commit([]platform.Write{{Table: name, Key: key, Unconditional: true, Remove: true}})
}

// truncateHistory drops the history so far.
func (store *fakeStore) truncateHistory() {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.oldest, store.history = store.version+1, nil
}
