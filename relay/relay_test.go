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
	// fixedStore always answers the same, or fails.
	fixedStore struct {
		rows platform.Rows
		err  error
	}

	// fixedReader names the readers.
	fixedPeers struct {
		addresses []string
		rank      int
	}
)

func (store *fixedStore) Read(context.Context, string) (platform.Rows, error) {
	return store.rows, store.err
}

func (store *fixedStore) Changes(context.Context, string, uint64, time.Duration) (platform.Rows, error) {
	return platform.Rows{Version: store.rows.Version}, store.err
}

func (reader *fixedPeers) Readers() ([]string, int) { return reader.addresses, reader.rank }

// pair returns a reader's source, and another entry's that asks it; calls counts
// how often the second asked the store itself.
func newSourcePair(t *testing.T, store *fixedStore) (first, second *Source, calls *atomic.Int64) {
	clock := greengageroute.RuntimeClock{}
	first = NewSource(store, &fixedPeers{}, NewCache(clock), clock, func() {})
	server := httptest.NewServer(first.Handler())
	t.Cleanup(server.Close)
	calls = &atomic.Int64{}
	second = NewSource(store, &fixedPeers{[]string{strings.TrimPrefix(server.URL, "http://")}, 1}, NewCache(clock), clock, func() { calls.Add(1) })
	return first, second, calls
}

func TestOthersReadThroughTheReader(t *testing.T) {
	ctx := context.Background()
	store := &fixedStore{rows: platform.Rows{Version: 7, Rows: []platform.Row{{Table: "op", Key: "config", Value: []byte("v7"), Version: 7}}}}
	first, second, calls := newSourcePair(t, store)
	if _, err := first.Read(ctx, "op"); err != nil {
		t.Fatal(err)
	}
	rows, err := second.Read(ctx, "op")
	if err != nil || len(rows.Rows) != 1 || string(rows.Rows[0].Value) != "v7" || calls.Load() != 0 {
		t.Fatalf("got %+v, %v after %d calls", rows, err, calls.Load())
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		first.cache.Apply("op", platform.Rows{Version: 9, Rows: []platform.Row{{Table: "op", Key: "config", Value: []byte("v9"), Version: 9}}}, time.Now())
	}()
	rows, err = second.Changes(ctx, "op", rows.Version, 5*time.Second)
	if err != nil || len(rows.Rows) != 1 || string(rows.Rows[0].Value) != "v9" || rows.Version != 9 {
		t.Errorf("got %+v, %v", rows, err)
	}
	var gone *platform.HistoryGoneError
	if _, err := second.Changes(ctx, "op", 3, 0); !errors.As(err, &gone) {
		t.Errorf("changes before the reader's first reading: %v", err)
	}
}

func TestResponseCarriesConfirmationAge(t *testing.T) {
	ctx := context.Background()
	first, second, _ := newSourcePair(t, &fixedStore{rows: platform.Rows{Version: 7}})
	first.Read(ctx, "op")
	first.cache.Replace("op", platform.Rows{Version: 7}, time.Now().Add(-time.Second))
	rows, err := second.Changes(ctx, "op", 7, time.Second)
	if err != nil || rows.Age < time.Second {
		t.Errorf("a proof of a second ago has the age %s, %v", rows.Age, err)
	}
}

func TestStoreIsAskedWhereTheReaderFails(t *testing.T) {
	tests := []struct {
		name string
		fail func(first, second *Source)
	}{
		{"the reader has lost the store", func(first, _ *Source) {
			first.cache.Replace("op", platform.Rows{Version: 7}, time.Now().Add(-2*maxReadAge))
		}},
		{"the reader reads through another itself", func(first, _ *Source) { first.recordRead("op", false) }},
		{"the reader is gone", func(_, second *Source) { second.peers.(*fixedPeers).addresses = []string{"127.0.0.1:1"} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx := context.Background()
			first, second, calls := newSourcePair(t, &fixedStore{rows: platform.Rows{Version: 7}})
			first.Read(ctx, "op")
			second.Read(ctx, "op")
			test.fail(first, second)
			var gone *platform.HistoryGoneError
			// What was read through the reader can't be gone on with elsewhere.
			if _, err := second.Changes(ctx, "op", 7, 0); !errors.As(err, &gone) {
				t.Fatalf("got %v", err)
			}
			if rows, err := second.Read(ctx, "op"); err != nil || rows.Version != 7 || calls.Load() != 1 {
				t.Errorf("got %+v, %v after %d calls", rows, err, calls.Load())
			}
		})
	}
}

// A reader fails in a fleet of many: those behind it wait for the next reader for
// a while instead of all turning to the store.
func TestFleetWaitsForTheNextReader(t *testing.T) {
	ctx := context.Background()
	first, second, calls := newSourcePair(t, &fixedStore{rows: platform.Rows{Version: 7}})
	first.Read(ctx, "op")
	second.Read(ctx, "op")
	peers := second.peers.(*fixedPeers)
	peers.rank, peers.addresses = 30, []string{"127.0.0.1:1"}
	for range 5 {
		_, err := second.Changes(ctx, "op", 7, 0)
		var reader *NoReaderError
		if !errors.As(err, &reader) || calls.Load() > 0 {
			t.Fatalf("got %v after %d calls to the store", err, calls.Load())
		}
	}
	second.tables["op"].lastRead = time.Now().Add(-2 * second.failoverDelay)
	if _, err := second.Read(ctx, "op"); err != nil || calls.Load() != 1 {
		t.Errorf("got %v after %d calls to the store", err, calls.Load())
	}
}

// An outage of the store for all: an entry behind the first asks it once and then
// leaves it to these, and nobody takes the word of a reader that has lost the store.
func TestEntriesLeaveAnUnreachableStoreToItsReaders(t *testing.T) {
	ctx := context.Background()
	store := &fixedStore{rows: platform.Rows{Version: 7}}
	first, second, calls := newSourcePair(t, store)
	first.Read(ctx, "op")
	second.Read(ctx, "op")
	second.peers.(*fixedPeers).rank = 30
	store.err = errors.New("the store is down")
	first.Changes(ctx, "op", 7, 0)
	if first.ReadsStore() {
		t.Error("an entry whose call has failed says that it reads the store")
	}
	second.tables["op"].lastRead = time.Now().Add(-2 * second.failoverDelay)
	for range 5 {
		second.Read(ctx, "op")
	}
	if calls.Load() != 1 {
		t.Errorf("%d calls to the store, want 1", calls.Load())
	}
	store.err = nil
	first.Read(ctx, "op")
	clear(second.failedReaders)
	if _, err := second.Read(ctx, "op"); err != nil || calls.Load() != 1 || !first.ReadsStore() || second.ReadsStore() {
		t.Errorf("after the outage: %v, %d calls", err, calls.Load())
	}
}
