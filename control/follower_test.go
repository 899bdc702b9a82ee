package control

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/relay"
)

const testTarget = `{"service":"ledger","address":"10.0.0.1:80","zone":"a","state":"%s","slots":6,"born":%d}`

// follow runs a follower of a fake store during the body of a test.
func follow(t *testing.T, body func(store *fakeStore, conn *fakeConn, follower *Follower)) {
	synctest.Test(t, func(*testing.T) {
		store := newFakeStore()
		conn := &fakeConn{fakeStore: store, delay: 4 * time.Millisecond}
		clock := greengageroute.RuntimeClock{}
		follower := NewFollower(conn, NewDirectory(clock), func() bool { return true }, clock, new(expvar.Map).Init(), logr.Discard())
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
