package control

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/relay"
)

const testTarget = `{"service":"ledger","address":"10.0.0.1:80","zone":"a","state":"%s","slots":6,"born":%d,"sequence":1}`

// follow runs a follower of a fake store during the body of a test.
func follow(t *testing.T, body func(store *fakeStore, conn *fakeConn, follower *Follower)) {
	synctest.Test(t, func(*testing.T) {
		store := newFakeStore()
		conn := &fakeConn{fakeStore: store, delay: 4 * time.Millisecond}
		clock := greengageroute.RuntimeClock{}
		follower := NewFollower(conn, NewDirectory(clock), func() bool { return true }, func() (uint64, bool) { return 0, true }, clock, new(expvar.Map).Init(), logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		go follower.RunConfig(ctx)
		go follower.RunList(ctx)
		defer time.Sleep(5 * time.Second) // lets both loops end
		defer cancel()
		body(store, conn, follower)
	})
}

func TestConfigIsConfirmedAndNeverRegresses(t *testing.T) {
	follow(t, func(store *fakeStore, conn *fakeConn, follower *Follower) {
		store.put("op", "config", `{"version":5}`)
		time.Sleep(time.Second)
		if routes := follower.Routes(); routes == nil || routes.Version != 5 {
			t.Fatalf("routes are %v, want version 5", routes)
		}
		// The config is confirmed as of the start of the last poll that ended; the next
		// poll is running.
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if age := follower.Age(); age > 2*configPollTimeout+100*time.Millisecond {
				t.Fatalf("the config was last confirmed %s ago, want at most two poll timeouts", age)
			}
		}
		store.put("op", "config", `{"version":9}`)
		store.put("op", "config", `{"version":8}`)
		store.put("op", "config", `not a config`)
		time.Sleep(200 * time.Millisecond)
		if version := follower.Routes().Version; version != 9 {
			t.Errorf("version %d is in force, want 9", version)
		}
		conn.set(func(conn *fakeConn) { conn.down = true })
		time.Sleep(4 * time.Second)
		if age := follower.Age(); age < 2*time.Second {
			t.Errorf("after 4 s without the store the config counts as confirmed %s ago", age)
		}
	})
}

// TestUndecodableConfigIsNotConfirmed guards against revoked keys that go on working because
// the config that revoked them can't be decoded here, and the one before counts as current.
func TestUndecodableConfigIsNotConfirmed(t *testing.T) {
	for _, config := range []string{`not a config`, `null`, `{}`, `{"version":null}`, `{"version":-9}`, `{"version":9,"tenants":7}`, `{"version":9,"routes":[{"timeout_ms":1e400}]}`} {
		t.Run(config, func(t *testing.T) {
			follow(t, func(store *fakeStore, _ *fakeConn, follower *Follower) {
				store.put("op", "config", `{"version":5}`)
				time.Sleep(time.Second)
				store.put("op", "config", config)
				time.Sleep(3 * configPollTimeout)
				if version := follower.Routes().Version; version != 5 {
					t.Errorf("version %d is in force, want 5", version)
				}
				if age := follower.Age(); age < 2*configPollTimeout {
					t.Errorf("version 5 counts as confirmed %s ago, want before the config that can't be decoded", age)
				}
				store.put("op", "config", `{"version":11}`)
				time.Sleep(configPollTimeout + 100*time.Millisecond)
				if version, age := follower.Routes().Version, follower.Age(); version != 11 || age > configPollTimeout+100*time.Millisecond {
					t.Errorf("version %d is in force, confirmed %s ago, want 11 and a fresh one", version, age)
				}
			})
		})
	}
}

func TestConfigSurvivesTruncatedHistory(t *testing.T) {
	follow(t, func(store *fakeStore, _ *fakeConn, follower *Follower) {
		store.put("op", "config", `{"version":5}`)
		time.Sleep(time.Second)
		store.put("op", "config", `{"version":6}`)
		store.truncateHistory()
		store.put("servers", "i-1", fmt.Sprintf(testTarget, "draining", 1))
		time.Sleep(3 * time.Second)
		if version := follower.Routes().Version; version != 6 {
			t.Errorf("version %d is in force, want 6", version)
		}
		if target, _ := follower.directory.View().Target("i-1"); target.State != greengageroute.TargetLeaving {
			t.Errorf("the target that left after the history was truncated has state %q, want leaving", target.State)
		}
	})
}

// TestConfigIsAdoptedAfterTheStoreIsRestored guards against a config that is confirmed to
// the operator and never comes into force, because its version was given out before.
func TestConfigIsAdoptedAfterTheStoreIsRestored(t *testing.T) {
	tests := []struct {
		name   string
		writes int // after the restoration and before the next config
		seen   bool
	}{
		{"while the store is behind the position of the entry", 0, true},
		{"at the position of the entry", 11, true},
		{"after the store has passed the position of the entry", 40, true},
		{"in one poll with the restoration", 11, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(store *fakeStore, conn *fakeConn, follower *Follower) {
				store.put("op", "config", `{"version":5}`)
				copied := store.backup()
				for i := range 10 {
					store.put("control", "planner", fmt.Sprint(i))
				}
				store.put("op", "config", `{"version":7}`)
				time.Sleep(time.Second)
				if !test.seen {
					conn.set(func(conn *fakeConn) { conn.down = true })
					time.Sleep(3 * time.Second)
				}
				store.restore(copied)
				store.put("op", "config", `{"version":7}`)
				if test.seen {
					time.Sleep(2 * time.Second)
				}
				for i := range test.writes {
					store.put("control", "planner", fmt.Sprint(i))
				}
				store.put("op", "config", `{"version":9}`)
				conn.set(func(conn *fakeConn) { conn.down = false })
				time.Sleep(400 * time.Millisecond)
				if version := follower.Routes().Version; version != 9 {
					t.Errorf("version %d is in force 0.4 s after it was written, want 9", version)
				}
				reads := store.readCount()
				time.Sleep(4 * time.Second)
				if count := store.readCount() - reads; count > 80 {
					t.Errorf("%d reads of the store in 4 s, want at most 80 as without a restoration", count)
				}
			})
		})
	}
}

// TestConfigThatPeersFollowIsReadAgain guards against an entry that follows an old config
// for good because a change didn't reach it, and against a config that counts as the
// newest while another entry follows a newer one.
func TestConfigThatPeersFollowIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		clock := greengageroute.RuntimeClock{}
		var peersVersion atomic.Uint64
		peersConfig := func() (uint64, bool) { return peersVersion.Load(), true }
		follower := NewFollower(&fakeConn{fakeStore: store, delay: 4 * time.Millisecond}, NewDirectory(clock), func() bool { return true }, peersConfig, clock, new(expvar.Map).Init(), logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(5 * time.Second) // lets the loop end
		defer cancel()
		store.put("op", "config", `{"version":5}`)
		go follower.RunConfig(ctx)
		time.Sleep(time.Second)
		store.putUnnoticed("op", "config", `{"version":9}`)
		peersVersion.Store(9)
		time.Sleep(2*configPollTimeout + 100*time.Millisecond)
		if version := follower.Routes().Version; version != 9 {
			t.Errorf("version %d is in force two polls after another entry adopted version 9", version)
		}
		peersVersion.Store(11)
		time.Sleep(3 * time.Second)
		if age := follower.Age(); age < 2*time.Second {
			t.Errorf("version 9 counts as confirmed %s ago while another entry has followed version 11 for 3 s", age)
		}
	})
}

// TestListOfARestoredStore guards against new work for targets that are leaving or gone,
// and against targets that are dropped, because the store came back from a copy.
func TestListOfARestoredStore(t *testing.T) {
	row := func(state string, sequence int) string {
		return fmt.Sprintf(`{"service":"ledger","address":"10.0.0.1:80","zone":"a","state":%q,"slots":6,"born":7,"sequence":%d}`, state, sequence)
	}
	follow(t, func(store *fakeStore, _ *fakeConn, follower *Follower) {
		usable := func(id string) bool {
			target, found := follower.directory.View().Target(id)
			return found && target.State == greengageroute.TargetReady
		}
		check := func(when string, want map[string]bool) {
			t.Helper()
			for id, wanted := range want {
				if usable(id) != wanted {
					t.Errorf("%s: target %s is used: %v, want %v", when, id, usable(id), wanted)
				}
			}
		}
		for _, id := range []string{"leaving", "gone", "standing", "back"} {
			store.put("servers", id, row("ready", 4))
		}
		time.Sleep(time.Second)
		copied := store.backup()
		store.put("servers", "leaving", row("draining", 5))
		store.remove("servers", "gone")
		store.remove("servers", "back")
		store.put("servers", "new", row("ready", 1))
		time.Sleep(time.Second)
		store.restore(copied)
		time.Sleep(time.Second)
		check("a second after the restoration", map[string]bool{"leaving": false, "gone": false, "standing": true, "new": true, "back": false})
		store.put("servers", "back", row("ready", 6))
		store.put("servers", "new", row("ready", 2))
		time.Sleep(200 * time.Millisecond)
		check("after targets have written again", map[string]bool{"leaving": false, "gone": false, "standing": true, "new": true, "back": true})
		store.remove("servers", "gone")
		store.put("servers", "leaving", row("draining", 7))
		time.Sleep(8 * time.Second)
		check("in the end", map[string]bool{"leaving": false, "gone": false, "standing": true, "new": true, "back": true})
	})
	// What the store shows counts in the end, also if nobody writes it again.
	follow(t, func(store *fakeStore, _ *fakeConn, follower *Follower) {
		store.put("servers", "leaving", row("ready", 4))
		time.Sleep(time.Second)
		copied := store.backup()
		store.put("servers", "leaving", row("draining", 5))
		time.Sleep(time.Second)
		store.restore(copied)
		time.Sleep(8 * time.Second)
		if target, found := follower.directory.View().Target("leaving"); !found || target.State != greengageroute.TargetReady {
			t.Errorf("8 s after the restoration the target that the store lists as ready is %v, found %v", target.State, found)
		}
	})
}

// TestLateRowsDontCount guards against targets that are taken for free, or for live, because of a
// row that they wrote before the last one and that arrived at the store after it.
func TestLateRowsDontCount(t *testing.T) {
	row := func(born, sequence int, address string) string {
		return fmt.Sprintf(`{"service":"ledger","address":%q,"zone":"a","state":"ready","slots":6,"born":%d,"sequence":%d}`, address, born, sequence)
	}
	const before, now = "10.0.0.1:80", "10.0.0.2:80"
	tests := []struct {
		name    string
		rows    []string
		removed bool // the row was removed before the last one arrived
		want    string
		later   string // 8 s later, if nobody writes the row again
	}{
		{"a later row", []string{row(7, 4, before), row(7, 5, now)}, false, now, now},
		{"a late row", []string{row(7, 5, now), row(7, 4, before)}, false, now, before},
		{"two late rows", []string{row(7, 5, now), row(7, 3, before), row(7, 4, before)}, false, now, before},
		{"a late row and a later one", []string{row(7, 5, before), row(7, 4, before), row(7, 6, now)}, false, now, now},
		{"a late row of an earlier start", []string{row(8, 1, now), row(7, 4, before)}, false, now, before},
		{"a start with the clock set back", []string{row(8, 5, before), row(7, 1, before), row(7, 2, now)}, false, now, now},
		{"another start", []string{row(7, 5, before), row(8, 1, now)}, false, now, now},
		{"a late row of a target that has ended", []string{row(7, 5, now), row(7, 4, before)}, true, "", before},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(store *fakeStore, _ *fakeConn, follower *Follower) {
				check := func(when, want string) {
					t.Helper()
					if target, _ := follower.directory.View().Target("i-1"); target.Address != want {
						t.Errorf("%s the target is listed at %q, want %q", when, target.Address, want)
					}
				}
				for i, value := range test.rows {
					if test.removed && i == len(test.rows)-1 {
						store.remove("servers", "i-1")
						time.Sleep(200 * time.Millisecond)
					}
					store.put("servers", "i-1", value)
					time.Sleep(200 * time.Millisecond)
				}
				check("at once", test.want)
				time.Sleep(8 * time.Second)
				check("8 s later", test.later)
			})
		})
	}
}

func TestListedTargets(t *testing.T) {
	follow(t, func(store *fakeStore, conn *fakeConn, follower *Follower) {
		listed := func(id string) bool {
			_, found := follower.directory.View().Target(id)
			return found
		}
		store.put("servers", "i-1", fmt.Sprintf(testTarget, "ready", 1))
		store.put("servers", "i-2", fmt.Sprintf(testTarget, "ready", 1))
		for name, value := range map[string]string{
			"other-state": fmt.Sprintf(testTarget, "asleep", 1), "no-address": `{"service":"ledger","state":"ready"}`,
			"bytes": "\xff\x00", "types": `{"service":7}`,
		} {
			store.put("servers", name, value)
		}
		time.Sleep(time.Second)
		if targets := follower.directory.View().Pool("ledger"); len(targets) != 2 || !listed("i-1") || !listed("i-2") {
			t.Fatalf("the targets are %v, want i-1 and i-2", targets)
		}
		store.remove("servers", "i-1")
		time.Sleep(200 * time.Millisecond)
		if listed("i-1") {
			t.Error("a target removed from a healthy store is still used")
		}
		// A failed reader is no outage of the store: targets removed then are dropped at once.
		follower.trackOutage(context.Background(), "servers", &relay.NoReaderError{Cause: errors.New("gone")})
		follower.trackOutage(context.Background(), "servers", nil)
		if drop := follower.dropTime(); drop.After(time.Now()) {
			t.Errorf("after a failed reader, removed targets are kept for %s", time.Until(drop))
		}
		// Rows that expire during an outage have until two seconds after it.
		conn.set(func(conn *fakeConn) { conn.down = true })
		time.Sleep(3 * time.Second)
		store.remove("servers", "i-2")
		conn.set(func(conn *fakeConn) { conn.down = false })
		time.Sleep(time.Second)
		if !listed("i-2") {
			t.Error("a target whose row expired during the outage was dropped at once")
		}
		time.Sleep(3 * time.Second)
		if listed("i-2") {
			t.Error("a target that did not come back after the outage is still used")
		}
	})
}

// TestOverwrittenRows guards against a sound target that counts as gone at once because another
// writer overwrote its row, and against one that is used for good by a row that is gone.
func TestOverwrittenRows(t *testing.T) {
	tests := []struct {
		name     string
		snapshot bool // the whole list is read with the odd row in it
		odd      string
	}{
		{"of another type", false, `{"service":7}`},
		{"of another type, read with the list", true, `{"service":7}`},
		{"of the same group without an epoch", false, `{"service":"ledger","address":"10.0.0.1:80","zone":"a","state":"ready","slots":6,"born":7,"sequence":9,"group":{"name":"g","rank":0,"state":"open"}}`},
		{"without a start", true, `{"service":"ledger","address":"10.0.0.1:80","zone":"a","state":"ready","slots":6,"sequence":9}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			follow(t, func(store *fakeStore, _ *fakeConn, follower *Follower) {
				check := func(when, id string, want bool) {
					t.Helper()
					if target, found := follower.directory.View().Target(id); found != want || found && target.StartUnixMilli != 7 {
						t.Errorf("%s: target %s is listed: %v, with the start %d; want it listed: %v", when, id, found, target.StartUnixMilli, want)
					}
				}
				for _, id := range []string{"overwritten", "gone", "removed"} {
					store.put("servers", id, fmt.Sprintf(testTarget, "ready", 7))
				}
				time.Sleep(time.Second)
				for _, id := range []string{"overwritten", "gone", "removed", "never-listed"} {
					store.put("servers", id, test.odd)
				}
				if test.snapshot {
					store.truncateHistory()
				}
				time.Sleep(1200 * time.Millisecond) // a heartbeat
				check("before the next heartbeat", "overwritten", true)
				check("before the next heartbeat", "gone", true)
				check("before the next heartbeat", "never-listed", false)
				store.put("servers", "overwritten", fmt.Sprintf(testTarget, "ready", 7))
				store.remove("servers", "removed")
				store.put("servers", "new", fmt.Sprintf(testTarget, "ready", 7))
				time.Sleep(400 * time.Millisecond)
				check("after its row was removed", "removed", false)
				check("after the odd rows", "new", true)
				for range 3 { // another writer overwrites the row again and again
					store.put("servers", "gone", test.odd)
					time.Sleep(time.Second)
				}
				check("after its heartbeats", "overwritten", true)
				check("after three heartbeats that didn't come", "gone", false)
			})
		})
	}
}
