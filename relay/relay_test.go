package relay

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

type (
	// fixedStore always returns the same rows or the same error.
	fixedStore struct {
		rows platform.Rows
		err  error
	}

	// fixedPeers name fixed readers.
	fixedPeers struct {
		addresses []string
		rank      int
	}
)

func (store *fixedStore) Read(context.Context, string) (platform.Rows, error) {
	return store.rows, store.err
}

func (store *fixedStore) Changes(context.Context, string, greengageroute.StoreRevision, time.Duration) (platform.Rows, error) {
	return platform.Rows{Version: store.rows.Version, Era: store.rows.Era}, store.err
}

func (peers *fixedPeers) Readers() ([]string, int) { return peers.addresses, peers.rank }

// at returns a version of a store that names no eras.
func at(version uint64) greengageroute.StoreRevision {
	return greengageroute.StoreRevision{Version: version}
}

// newSourcePair returns the source of a reader, and the source of a client, an entry that
// asks the reader. Calls counts the client's calls to the store itself.
func newSourcePair(t *testing.T, store *fixedStore) (reader, client *Source, calls *atomic.Int64) {
	clock := greengageroute.RuntimeClock{}
	reader = NewSource(store, &fixedPeers{}, NewCache(clock), clock, func() {})
	server := httptest.NewServer(reader.Handler())
	t.Cleanup(server.Close)
	calls = &atomic.Int64{}
	client = NewSource(store, &fixedPeers{[]string{strings.TrimPrefix(server.URL, "http://")}, 1}, NewCache(clock), clock, func() { calls.Add(1) })
	return reader, client, calls
}

func TestOthersReadThroughTheReader(t *testing.T) {
	ctx := context.Background()
	store := &fixedStore{rows: platform.Rows{Version: 7, Rows: []platform.Row{{Table: "op", Key: "config", Value: []byte("v7"), Version: 7}}}}
	reader, client, calls := newSourcePair(t, store)
	if _, err := reader.Read(ctx, "op"); err != nil {
		t.Fatal(err)
	}
	rows, err := client.Read(ctx, "op")
	if err != nil || len(rows.Rows) != 1 || string(rows.Rows[0].Value) != "v7" || calls.Load() != 0 {
		t.Fatalf("got %+v, %v after %d calls to the store, want version 7 after none", rows, err, calls.Load())
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		reader.cache.Apply("op", platform.Rows{Version: 9, Rows: []platform.Row{{Table: "op", Key: "config", Value: []byte("v9"), Version: 9}}}, time.Now())
	}()
	rows, err = client.Changes(ctx, "op", rows.Revision(), 5*time.Second)
	if err != nil || len(rows.Rows) != 1 || string(rows.Rows[0].Value) != "v9" || rows.Version != 9 {
		t.Errorf("got changes %+v, %v, want version 9", rows, err)
	}
	var gone *platform.HistoryGoneError
	if _, err := client.Changes(ctx, "op", at(3), 0); !errors.As(err, &gone) {
		t.Errorf("changes from before the reader's first read: got error %v, want HistoryGoneError", err)
	}
}

// TestEntriesBehindAReaderLearnOfARestoration guards against entries that poll a reader
// after a position that the store no longer has, and hear that nothing changed.
func TestEntriesBehindAReaderLearnOfARestoration(t *testing.T) {
	ctx := context.Background()
	reader, client, _ := newSourcePair(t, &fixedStore{rows: platform.Rows{Version: 298, Era: 1}})
	if _, err := reader.Read(ctx, "op"); err != nil {
		t.Fatal(err)
	}
	rows, err := client.Read(ctx, "op")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		reader.cache.Replace("op", platform.Rows{Version: 282, Era: 2}, time.Now())
	}()
	var gone *platform.HistoryGoneError
	if _, err := client.Changes(ctx, "op", rows.Revision(), 5*time.Second); !errors.As(err, &gone) {
		t.Errorf("changes after version 298 of a reader whose copy of the restored store is at version 282: got error %v, want HistoryGoneError", err)
	}
}

func TestResponseCarriesConfirmationAge(t *testing.T) {
	ctx := context.Background()
	reader, client, _ := newSourcePair(t, &fixedStore{rows: platform.Rows{Version: 7}})
	reader.Read(ctx, "op")
	reader.cache.Replace("op", platform.Rows{Version: 7}, time.Now().Add(-time.Second))
	rows, err := client.Changes(ctx, "op", at(7), time.Second)
	if err != nil || rows.Age < time.Second {
		t.Errorf("rows confirmed a second ago have the age %s; error: %v", rows.Age, err)
	}
}

func TestStoreIsAskedWhereTheReaderFails(t *testing.T) {
	tests := []struct {
		name string
		fail func(reader, client *Source)
	}{
		{"the reader's rows are too old", func(reader, _ *Source) {
			reader.cache.Replace("op", platform.Rows{Version: 7}, time.Now().Add(-2*maxReadAge))
		}},
		{"the reader itself reads through another entry", func(reader, _ *Source) { reader.recordRead("op", false) }},
		{"the reader refuses connections", func(_, client *Source) { client.peers.(*fixedPeers).addresses = []string{"127.0.0.1:1"} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx := context.Background()
			reader, client, calls := newSourcePair(t, &fixedStore{rows: platform.Rows{Version: 7}})
			reader.Read(ctx, "op")
			client.Read(ctx, "op")
			test.fail(reader, client)
			var gone *platform.HistoryGoneError
			// The store's changes can't follow rows that were read through the reader.
			if _, err := client.Changes(ctx, "op", at(7), 0); !errors.As(err, &gone) {
				t.Fatalf("got error %v, want HistoryGoneError", err)
			}
			if rows, err := client.Read(ctx, "op"); err != nil || rows.Version != 7 || calls.Load() != 1 {
				t.Errorf("got %+v, %v after %d calls to the store, want version 7 after one", rows, err, calls.Load())
			}
		})
	}
}

// When the reader of a large fleet fails, the entries of higher rank numbers wait for
// the next reader for a while instead of all calling the store at once.
func TestFleetWaitsForTheNextReader(t *testing.T) {
	ctx := context.Background()
	reader, client, calls := newSourcePair(t, &fixedStore{rows: platform.Rows{Version: 7}})
	reader.Read(ctx, "op")
	client.Read(ctx, "op")
	peers := client.peers.(*fixedPeers)
	peers.rank, peers.addresses = 30, []string{"127.0.0.1:1"}
	for range 5 {
		_, err := client.Changes(ctx, "op", at(7), 0)
		var noReader *NoReaderError
		if !errors.As(err, &noReader) || calls.Load() > 0 {
			t.Fatalf("got error %v after %d calls to the store, want NoReaderError after none", err, calls.Load())
		}
	}
	client.tables["op"].lastRead = time.Now().Add(-2 * client.failoverDelay)
	if _, err := client.Read(ctx, "op"); err != nil || calls.Load() != 1 {
		t.Errorf("after the failover delay: got error %v after %d calls to the store, want one call", err, calls.Load())
	}
}

// All entries of a large fleet start together. Those of higher rank numbers leave the
// store to the readers, though these have read nothing yet, and ask them again soon.
func TestWholeFleetStartsTogether(t *testing.T) {
	ctx := context.Background()
	reader, client, calls := newSourcePair(t, &fixedStore{rows: platform.Rows{Version: 7}})
	client.peers.(*fixedPeers).rank = 30
	var noReader *NoReaderError
	if _, err := client.Read(ctx, "op"); !errors.As(err, &noReader) || calls.Load() > 0 {
		t.Fatalf("got error %v after %d calls to the store, want NoReaderError after none", err, calls.Load())
	}
	reader.Read(ctx, "op")
	time.Sleep(notReadingBackoff)
	if rows, err := client.Read(ctx, "op"); err != nil || rows.Version != 7 || calls.Load() > 0 {
		t.Errorf("got %+v, %v after %d calls to the store, want the reader's rows", rows, err, calls.Load())
	}
}

// During an outage of the store an entry outside the first ranks calls it once and then
// leaves further calls to the readers. It takes no rows from a reader whose own call
// to the store failed.
func TestEntriesLeaveAnUnreachableStoreToItsReaders(t *testing.T) {
	ctx := context.Background()
	store := &fixedStore{rows: platform.Rows{Version: 7}}
	reader, client, calls := newSourcePair(t, store)
	reader.Read(ctx, "op")
	client.Read(ctx, "op")
	client.peers.(*fixedPeers).rank = 30
	store.err = errors.New("the store is down")
	reader.Changes(ctx, "op", at(7), 0)
	if reader.ReadsStore() {
		t.Error("ReadsStore is true of an entry whose last call to the store failed")
	}
	client.tables["op"].lastRead = time.Now().Add(-2 * client.failoverDelay)
	for range 5 {
		client.Read(ctx, "op")
	}
	if calls.Load() != 1 {
		t.Errorf("%d calls to the store during the outage, want 1", calls.Load())
	}
	store.err = nil
	reader.Read(ctx, "op")
	clear(client.backoffUntil)
	if _, err := client.Read(ctx, "op"); err != nil || calls.Load() != 1 || !reader.ReadsStore() || client.ReadsStore() {
		t.Errorf("after the outage: got error %v and %d calls to the store in all, want none and 1; or ReadsStore is wrong", err, calls.Load())
	}
}
