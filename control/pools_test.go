package control

import (
	"errors"
	"expvar"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
)

// TestFindingsHoldForOnePool guards against members that leave an open head since the head of
// another pool's replica with the same name and epoch has closed, is silent or lost a member.
func TestFindingsHoldForOnePool(t *testing.T) {
	key := greengageroute.ReplicaKey{Name: "r2z60x", Epoch: 5_000_001}
	target := func(pool string) greengageroute.Target {
		return greengageroute.Target{ID: "i-" + pool, Pool: pool, State: greengageroute.TargetReady, StartUnixMilli: 1, Membership: greengageroute.Membership{Replica: key.Name, Epoch: key.Epoch, Model: "m"}}
	}
	order := func(kind greengageroute.OrderKind) greengageroute.TargetOrder {
		return greengageroute.TargetOrder{Kind: kind, Target: target("a"), Replica: key.Name, Epoch: key.Epoch, Immediate: true}
	}
	unanswered := errors.New("unanswered")
	tests := []struct {
		name      string
		order     greengageroute.TargetOrder
		responses []error
		found     func(view greengageroute.PoolView) bool
	}{
		{"the head isn't a member", order(greengageroute.OrderLeave), []error{&greengageroute.OrderRefusedError{Status: 409}}, func(view greengageroute.PoolView) bool {
			return !view.ClosedAt[key].IsZero()
		}},
		{"the head is silent", order(greengageroute.OrderClose), []error{unanswered, unanswered}, func(view greengageroute.PoolView) bool {
			return view.SuspectedHeads[key]
		}},
		{"a member left", order(greengageroute.OrderLeave), []error{nil}, func(view greengageroute.PoolView) bool {
			return !view.MemberLostAt[key].IsZero()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeActivity{})
			for _, response := range test.responses {
				planner.recordResult(test.order, response)
			}
			if !test.found(planner.poolView("a", nil, directory.View())) {
				t.Error("the finding doesn't hold for the replica itself")
			}
			if test.found(planner.poolView("b", nil, directory.View())) {
				t.Error("the finding holds for a replica of another pool")
			}
			planner.recordResult(order(greengageroute.OrderLeave), &greengageroute.OrderRefusedError{Status: 409})
			directory.Replace([]greengageroute.Target{target("b")}, time.Time{})
			if planner.poolView("b", nil, directory.View()); planner.poolView("a", nil, directory.View()).ClosedAt[key].IsZero() {
				t.Error("the finding is void since the head of another pool is listed")
			}
		})
	}
}

// TestReplicasOfPoolsAreProbedApart guards against a silent replica that isn't probed since one
// of another pool with the same name and epoch was.
func TestReplicasOfPoolsAreProbedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reporter, directory := &linkReporter{}, NewDirectory(greengageroute.RuntimeClock{})
		prober := NewProber("a", reporter, directory, &fakeNotifier{}, greengageroute.RuntimeClock{}, new(expvar.Map).Init(), logr.Discard())
		for _, pool := range []string{"a", "b"} {
			target := greengageroute.Target{ID: "i-" + pool, Pool: pool, StartUnixMilli: 1, State: greengageroute.TargetReady}
			directory.Apply([]greengageroute.Target{target}, nil, time.Time{})
			prober.ProbeReplica(greengageroute.Replica{Name: "r", Epoch: 1, Pool: pool, Members: []greengageroute.Target{target}})
		}
		time.Sleep(300 * time.Millisecond)
		if found := len(directory.View().Absent); found != 2 {
			t.Errorf("%d silent targets found, want that of each pool", found)
		}
		directory.Replace(nil, time.Time{})
		time.Sleep(2 * unreachableTTL)
		directory.Expire()
		time.Sleep(time.Second)
	})
}
