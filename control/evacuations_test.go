package control

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
)

// evacuated returns the evacuated data centres as the follower's directory shows them.
func (follower *Follower) evacuated() string {
	return strings.Join(follower.directory.View().Evacuated().Sorted(), " ")
}

// TestEvacuationsFollowTheStore guards against requests that reach an evacuated data centre, and
// against a data centre that receives none after its evacuation has ended.
func TestEvacuationsFollowTheStore(t *testing.T) {
	tests := []struct {
		name string
		play func(store *fakeStore, conn *fakeConn)
		want string
	}{
		{"no row", func(*fakeStore, *fakeConn) {}, ""},
		{"a row is written", func(store *fakeStore, _ *fakeConn) { store.put("op", "evacuate/a", `{}`) }, "a"},
		{"two rows", func(store *fakeStore, _ *fakeConn) {
			store.put("op", "evacuate/a", `{}`)
			store.put("op", "evacuate/b", ``)
		}, "a b"},
		{"a row without a data centre", func(store *fakeStore, _ *fakeConn) { store.put("op", "evacuate/", `{}`) }, ""},
		{"a row of another table", func(store *fakeStore, _ *fakeConn) { store.put("control", "evacuate/a", `{}`) }, ""},
		{"a row is removed", func(store *fakeStore, _ *fakeConn) {
			store.put("op", "evacuate/a", `{}`)
			time.Sleep(time.Second)
			store.remove("op", "evacuate/a")
		}, ""},
		{"a row is removed and written between polls", func(store *fakeStore, conn *fakeConn) {
			store.put("op", "evacuate/a", `{}`)
			time.Sleep(time.Second)
			conn.set(func(conn *fakeConn) { conn.delay = time.Second })
			store.remove("op", "evacuate/a")
			store.put("op", "evacuate/a", `{}`)
		}, "a"},
		{"a config is written beside it", func(store *fakeStore, _ *fakeConn) {
			store.put("op", "evacuate/a", `{}`)
			store.put("op", "config", `{"version":7}`)
		}, "a"},
		{"a config that can't be decoded", func(store *fakeStore, _ *fakeConn) {
			store.put("op", "config", `{"version":[]}`)
			store.put("op", "evacuate/a", `{}`)
		}, "a"},
		{"the history is gone and the row with it", func(store *fakeStore, conn *fakeConn) {
			store.put("op", "evacuate/a", `{}`)
			time.Sleep(time.Second)
			conn.set(func(conn *fakeConn) { conn.down = true })
			time.Sleep(2 * time.Second)
			store.remove("op", "evacuate/a")
			store.truncateHistory()
			conn.set(func(conn *fakeConn) { conn.down = false })
		}, ""},
		{"the store is lost", func(store *fakeStore, conn *fakeConn) {
			store.put("op", "evacuate/a", `{}`)
			time.Sleep(time.Second)
			conn.set(func(conn *fakeConn) { conn.down = true })
			store.remove("op", "evacuate/a")
		}, "a"},
		{"the restored store lacks the row", func(store *fakeStore, _ *fakeConn) {
			copied := store.backup()
			store.put("op", "evacuate/a", `{}`)
			time.Sleep(time.Second)
			store.restore(copied)
		}, ""},
		{"the restored store has a row that was removed", func(store *fakeStore, _ *fakeConn) {
			store.put("op", "evacuate/a", `{}`)
			copied := store.backup()
			store.remove("op", "evacuate/a")
			time.Sleep(time.Second)
			store.restore(copied)
		}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(store *fakeStore, conn *fakeConn, follower *Follower) {
				store.put("op", "config", `{"version":5}`)
				time.Sleep(time.Second)
				test.play(store, conn)
				time.Sleep(4 * time.Second)
				if got := follower.evacuated(); got != test.want {
					t.Errorf("%q are evacuated, want %q", got, test.want)
				}
				begun, ended := follower.counters.Get(CountEvacuationsBegun), follower.counters.Get(CountEvacuationsEnded)
				if test.want != "" && begun == nil || test.want == "" && (begun == nil) != (ended == nil) {
					t.Errorf("%v evacuations began and %v ended", begun, ended)
				}
			})
		})
	}
}

// TestEvacuationIsInForceWithTheConfig guards against an entry that has just started and sends its
// first requests to an evacuated data centre.
func TestEvacuationIsInForceWithTheConfig(t *testing.T) {
	follow(t, func(store *fakeStore, _ *fakeConn, follower *Follower) {
		store.put("op", "config", `{"version":5}`)
		store.put("op", "evacuate/a", `{}`)
		var first atomic.Pointer[string] // what is evacuated with the first config
		stop := follower.directory.Watch(func() {
			if evacuated := follower.evacuated(); follower.Routes() != nil {
				first.CompareAndSwap(nil, &evacuated)
			}
		})
		defer stop()
		time.Sleep(time.Second)
		if evacuated := first.Load(); evacuated == nil {
			t.Error("no config was adopted")
		} else if *evacuated != "a" {
			t.Errorf("with the first config %q are evacuated, want a", *evacuated)
		}
	})
}

// TestEvacuationEndIsRecorded guards against targets that don't count as cold after an evacuation.
func TestEvacuationEndIsRecorded(t *testing.T) {
	follow(t, func(store *fakeStore, _ *fakeConn, follower *Follower) {
		store.put("op", "evacuate/a", `{}`)
		time.Sleep(time.Second)
		if at, ended := follower.directory.View().EvacuationEndedAt("a"); ended {
			t.Errorf("the evacuation counts as ended at %s while it goes on", at)
		}
		store.remove("op", "evacuate/a")
		time.Sleep(time.Second)
		if at, ended := follower.directory.View().EvacuationEndedAt("a"); !ended || time.Since(at) > time.Second || time.Since(at) < 900*time.Millisecond {
			t.Errorf("the evacuation ended %s ago (%t), want 1 s", time.Since(at), ended)
		}
		store.put("op", "evacuate/a", `{}`)
		time.Sleep(time.Second)
		if _, ended := follower.directory.View().EvacuationEndedAt("a"); ended {
			t.Error("the end of the former evacuation counts although another one has begun")
		}
	})
}

// TestOldReadsEndNoEvacuation guards against an evacuation that ends for a moment because the
// table is read through an entry that doesn't have the row yet.
func TestOldReadsEndNoEvacuation(t *testing.T) {
	written := platform.Row{Key: "evacuate/a", Version: 10}
	known, _ := Evacuations{}.WithChanges(platform.Rows{Rows: []platform.Row{written}, Version: 10, Era: 2}, time.Now())
	tests := []struct {
		name string
		rows platform.Rows
		want string
	}{
		{"an older read", platform.Rows{Version: 8, Era: 2}, "a"},
		{"an older read with an older row", platform.Rows{Version: 8, Era: 2, Rows: []platform.Row{{Key: "evacuate/a", Version: 5}}}, "a"},
		{"a read of an earlier era", platform.Rows{Version: 80, Era: 1}, "a"},
		{"a read at the row's version", platform.Rows{Version: 10, Era: 2}, ""},
		{"a read of a later era", platform.Rows{Version: 4, Era: 3}, ""},
		{"a read with another row", platform.Rows{Version: 12, Era: 2, Rows: []platform.Row{{Key: "evacuate/b", Version: 11}}}, "b"},
	}
	for _, test := range tests {
		next, _ := known.WithSnapshot(test.rows, time.Now())
		if got := strings.Join(next.current.Sorted(), " "); got != test.want {
			t.Errorf("%s: %q are evacuated, want %q", test.name, got, test.want)
		}
	}
	removal := platform.Rows{Rows: []platform.Row{{Key: "evacuate/a", Version: 9, Deleted: true}}, Version: 9, Era: 2}
	if next, changes := known.WithChanges(removal, time.Now()); !next.current.Has("a") || len(changes) > 0 {
		t.Error("the removal of an earlier row ended the evacuation")
	}
	if before := known; !before.current.Has("a") || before.rows["a"] != (greengageroute.StoreRevision{Era: 2, Version: 10}) {
		t.Errorf("the earlier value was changed to %+v", before)
	}
}
