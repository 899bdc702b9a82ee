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

// follow runs a follower of a store for the length of a test.
func follow(t *testing.T, body func(store *fakeStore, line *fakeLine, follower *Follower)) {
	synctest.Test(t, func(*testing.T) {
		store := newFakeStore()
		line := &fakeLine{fakeStore: store, delay: 4 * time.Millisecond}
		clock := greengageroute.RuntimeClock{}
		follower := NewFollower(line, NewDirectory(clock), clock, new(expvar.Map).Init(), logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		go follower.RunConfig(ctx)
		go follower.RunList(ctx)
		defer time.Sleep(5 * time.Second) // lets both end
		defer cancel()
		body(store, line, follower)
	})
}

func TestConfigIsProvenFreshAndNeverRegresses(t *testing.T) {
	follow(t, func(store *fakeStore, line *fakeLine, follower *Follower) {
		store.put("op", "config", `{"version":5}`)
		time.Sleep(time.Second)
		if routes := follower.Routes(); routes == nil || routes.Version != 5 {
			t.Fatalf("the config is %v", routes)
		}
		// The proof is the start of the last poll that ended; the next is under way.
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if age := follower.Age(); age > 2*configWait+100*time.Millisecond {
				t.Fatalf("the config is proven only as of %s ago", age)
			}
		}
		store.put("op", "config", `{"version":9}`)
		store.put("op", "config", `{"version":8}`)
		store.put("op", "config", `not a config`)
		time.Sleep(200 * time.Millisecond)
		if version := follower.Routes().Version; version != 9 {
			t.Errorf("version %d is in force, want 9", version)
		}
		line.set(func(line *fakeLine) { line.down = true })
		time.Sleep(4 * time.Second)
		if age := follower.Age(); age < 2*time.Second {
			t.Errorf("without the store the config counts as proven %s ago", age)
		}
	})
}

func TestConfigSurvivesForgottenHistory(t *testing.T) {
	follow(t, func(store *fakeStore, _ *fakeLine, follower *Follower) {
		store.put("op", "config", `{"version":5}`)
		time.Sleep(time.Second)
		store.put("op", "config", `{"version":6}`)
		store.forget()
		store.put("servers", "i-1", fmt.Sprintf(testTarget, "draining", 1))
		time.Sleep(3 * time.Second)
		if version := follower.Routes().Version; version != 6 {
			t.Errorf("version %d is in force, want 6", version)
		}
		if target := follower.directory.View().Targets["i-1"]; target.State != greengageroute.TargetLeaving {
			t.Errorf("the target that left in the gap is %q", target.State)
		}
	})
}

func TestListedTargets(t *testing.T) {
	follow(t, func(store *fakeStore, line *fakeLine, follower *Follower) {
		targets := func() map[string]greengageroute.Target { return follower.directory.View().Targets }
		store.put("servers", "i-1", fmt.Sprintf(testTarget, "ready", 1))
		store.put("servers", "i-2", fmt.Sprintf(testTarget, "ready", 1))
		for name, value := range map[string]string{
			"other-state": fmt.Sprintf(testTarget, "asleep", 1), "no-address": `{"service":"ledger","state":"ready"}`,
			"bytes": "\xff\x00", "types": `{"service":7}`,
		} {
			store.put("servers", name, value)
		}
		time.Sleep(time.Second)
		if len(targets()) != 2 {
			t.Fatalf("the targets are %v, want i-1 and i-2", targets())
		}
		store.remove("servers", "i-1")
		time.Sleep(200 * time.Millisecond)
		if _, found := targets()["i-1"]; found {
			t.Error("a target that vanished from a healthy store is still used")
		}
		// A reader that fails is no outage: what vanishes then is gone at once.
		follower.note(context.Background(), "servers", &relay.NoReaderError{Cause: errors.New("gone")})
		follower.note(context.Background(), "servers", nil)
		if drop := follower.dropTime(); drop.After(time.Now()) {
			t.Errorf("targets that vanish are kept for %s more after a reader failed", time.Until(drop))
		}
		// Entries that lapse during an outage have until two seconds after it.
		line.set(func(line *fakeLine) { line.down = true })
		time.Sleep(3 * time.Second)
		store.remove("servers", "i-2")
		line.set(func(line *fakeLine) { line.down = false })
		time.Sleep(time.Second)
		if _, found := targets()["i-2"]; !found {
			t.Error("a target whose entry lapsed during the outage is gone at once")
		}
		time.Sleep(3 * time.Second)
		if _, found := targets()["i-2"]; found {
			t.Error("a target that did not come back after the outage is still used")
		}
	})
}
