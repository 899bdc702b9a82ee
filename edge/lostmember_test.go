package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/control"
)

// listeningFixture is a fixture whose peers received something from all targets some time ago.
type listeningFixture struct {
	*fixture
	receivedAt time.Time
}

func (fixture *listeningFixture) Active(_ string, within time.Duration) bool {
	return time.Since(fixture.receivedAt) < within
}

// TestSuspicionIsShort guards against a sound replica that gets no requests since an entry or its
// relay repeats a suspicion, and against one that lasts although the replica goes on.
func TestSuspicionIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := &listeningFixture{newFixture(nil), time.Now()}
		service := newTestService("", fixture.service.Directory, fixture)
		head, _ := service.Directory.View().Target("llm-a")
		tell := func() { service.RecordSuspected([]greengageroute.TargetInstance{head.Instance()}) }
		time.Sleep(time.Second)
		tell()
		time.Sleep(200 * time.Millisecond)
		if !service.isSuspected(head) || service.mayProbe(head) {
			t.Error("the replica isn't suspected, or its members are probed besides")
		}
		fixture.receivedAt = time.Now()
		time.Sleep(100 * time.Millisecond)
		if service.isSuspected(head) {
			t.Error("the replica is suspected although an entry has received an event since")
		}
		fixture.receivedAt = time.Time{}
		time.Sleep(200 * time.Millisecond)
		if !service.mayProbe(head) {
			t.Error("the entry waits for the other one's probes for good")
		}
		time.Sleep(700 * time.Millisecond)
		tell()
		if service.isSuspected(head) {
			t.Error("a repetition renews the suspicion")
		}
	})
}

// TestLostMemberIsFoundTogether guards against entries of a large fleet that each find a replica
// that has lost a member by requests of their own, and against new requests there that pass for a
// sign of life.
func TestLostMemberIsFoundTogether(t *testing.T) {
	if raceDetector {
		t.Skip("too slow under the race detector; TestSuspicionIsShort runs the same code")
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet := newFleetWith(ctx, zoneCutEntries, zoneCutDataCentres, zoneCutRoutes, zoneCutTargets())
		fleet.events, fleet.models = 20, []string{"m"}
		time.Sleep(3 * time.Second) // the entries hear from each other
		calling, stopCalling := context.WithCancel(ctx)
		callers := fleet.startCallers(calling, 4)
		time.Sleep(2 * time.Second)
		for _, lost := range []string{"i-0-17", "i-1-21", "i-2-25", "i-3-29"} {
			fleet.kill(lost)
			began, all := time.Now(), 0
			for all < zoneCutEntries && time.Since(began) < 5*time.Second {
				time.Sleep(10 * time.Millisecond)
				all = 0
				for _, entry := range fleet.all() {
					process, _ := entry.running()
					if _, listed := process.directory.View().Target(lost); !listed {
						all++
					}
				}
			}
			fleet.mu.Lock()
			sent := fleet.sentToLost
			fleet.mu.Unlock()
			t.Logf("%s known to %d entries after %s; %d requests sent to lost replicas; %d probes", lost, all, time.Since(began), sent, fleet.count(control.CountProbes))
			if all < zoneCutEntries || time.Since(began) > time.Second {
				t.Errorf("%d entries know after %s that %s is lost, want all within 1 s", all, time.Since(began), lost)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if probes := fleet.count(control.CountProbes); probes > 4*100 {
			t.Errorf("%d probes for four lost members, want at most 100 each", probes)
		}
		stopCalling()
		callers.Wait()
		fleet.mu.Lock()
		clear(fleet.dead)
		fleet.mu.Unlock()
		time.Sleep(6 * time.Second) // the marks end
		cancel()
		time.Sleep(time.Minute) // lets the probes end
	})
}
