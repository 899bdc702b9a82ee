package control

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

type (
	// unansweredOrderSender fails each order as one without a response.
	unansweredOrderSender struct{}

	// fakeActivity reports the same activity of all targets and data centres.
	fakeActivity struct{ active, cutOff bool }
)

func (unansweredOrderSender) Send(_ context.Context, _ greengageroute.TargetOrder, timeout time.Duration) error {
	time.Sleep(timeout)
	return errors.New("no response")
}

func (activity fakeActivity) Active(string, time.Duration) bool { return activity.active }

func (fakeActivity) Busy() greengageroute.Set[string] { return nil }

func (activity fakeActivity) Reaches(string) bool { return !activity.cutOff }

func newTestPlanner(activity fakeActivity) (*Planner, *Directory) {
	clock := greengageroute.RuntimeClock{}
	directory := NewDirectory(clock)
	lease := NewLease(&fakeConn{fakeStore: newFakeStore()}, "entry", true, clock, logr.Discard())
	planner := NewPlanner(PlannerOptions{
		Lease: lease, OrderSender: unansweredOrderSender{}, Activity: activity, Directory: directory, HasTraffic: func() bool { return true }, Confirm: func([]mesh.TargetInstance) {}, Isolated: func() bool { return false },
		Clock: clock, Counters: new(expvar.Map).Init(), Log: logr.Discard(),
	})
	return planner, directory
}

// TestAbsentHeadIsRecordedAsClosed guards against members that are taken from an open head,
// also because it turned an order away without saying anything about its state, or didn't
// answer.
func TestAbsentHeadIsRecordedAsClosed(t *testing.T) {
	head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
	leaving := greengageroute.TargetOrder{Kind: greengageroute.OrderLeave, Target: head, Replica: "r1", Epoch: 7}
	tests := []struct {
		name              string
		activity          fakeActivity
		responses         []error
		relisted          bool // the head is listed again afterwards, then unlisted once more
		closed, suspected bool
		stoodStill        bool
	}{
		{"the head left", fakeActivity{}, []error{nil}, false, true, false, false},
		{"the head refused because it isn't a member", fakeActivity{}, []error{&greengageroute.OrderRefusedError{Status: 409}}, false, true, false, false},
		{"the head turned the order away because it is busy", fakeActivity{}, []error{&greengageroute.OrderRefusedError{Status: 503}}, false, false, false, false},
		{"orders were held back because the head asked for a backoff", fakeActivity{}, []error{&greengageroute.BackoffError{}, &greengageroute.BackoffError{}, &greengageroute.BackoffError{}}, false, false, false, false},
		{"the head failed", fakeActivity{}, []error{&greengageroute.OrderRefusedError{Status: 500}, &greengageroute.OrderRefusedError{Status: 500}}, false, false, false, false},
		{"one order is unanswered, the next turned away", fakeActivity{}, []error{errors.New("unanswered"), &greengageroute.OrderRefusedError{Status: 503}, errors.New("unanswered")}, false, false, false, false},
		{"one order is unanswered", fakeActivity{}, []error{errors.New("unanswered")}, false, false, false, false},
		{"orders are unanswered", fakeActivity{}, []error{errors.New("unanswered"), errors.New("unanswered")}, false, false, true, false},
		{"orders are unanswered, and the head goes on", fakeActivity{}, []error{errors.New("unanswered"), errors.New("unanswered"), &greengageroute.OrderRefusedError{Status: 503}}, false, false, false, false},
		{"orders are unanswered, but an entry hears from the head", fakeActivity{active: true}, []error{errors.New("unanswered"), errors.New("unanswered")}, false, false, false, false},
		{"orders are unanswered, but the whole data centre is unreachable", fakeActivity{cutOff: true}, []error{errors.New("unanswered"), errors.New("unanswered")}, false, false, false, false},
		{"the head left, was listed again and may serve since", fakeActivity{}, []error{nil}, true, false, false, false},
		{"orders are unanswered, and the head took the connections", fakeActivity{}, []error{&greengageroute.OrderUnansweredError{}, &greengageroute.OrderUnansweredError{}}, false, false, true, true},
		{"the head took one connection, but the whole data centre is unreachable", fakeActivity{cutOff: true}, []error{&greengageroute.OrderUnansweredError{}}, false, false, false, true},
		{"the head stood still, and was listed again", fakeActivity{}, []error{&greengageroute.OrderUnansweredError{}}, true, false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(test.activity)
			for _, response := range test.responses {
				planner.recordResult(leaving, response)
			}
			if test.relisted {
				directory.Replace([]greengageroute.Target{head}, time.Time{})
				planner.poolView("llm", nil, directory.View())
				directory.Replace(nil, time.Time{})
			}
			view := planner.poolView("llm", nil, directory.View())
			if _, closed := view.ClosedAt[leaving.Key()]; closed != test.closed {
				t.Errorf("head recorded as closed: %t, want %t", closed, test.closed)
			}
			if suspected := view.SuspectedHeads[leaving.Key()]; suspected != test.suspected {
				t.Errorf("head suspected: %t, want %t", suspected, test.suspected)
			}
			if _, stoodStill := view.StoodStillAt[leaving.Key()]; stoodStill != test.stoodStill {
				t.Errorf("head recorded as one that stood still: %t, want %t", stoodStill, test.stoodStill)
			}
		})
	}
}

// TestClosedHeadMayOpenAgain guards against members that are taken from an open head, since it had
// closed, or refused to close, before an order to open reached it, and was silent after that.
func TestClosedHeadMayOpenAgain(t *testing.T) {
	head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
	for _, test := range []struct {
		name      string
		immediate bool
		response  error
	}{
		{"closed at once", true, nil},
		{"closes once its requests have ended", false, nil},
		{"wasn't open", true, &greengageroute.OrderRefusedError{Status: 409}},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeActivity{})
			closing := greengageroute.TargetOrder{Kind: greengageroute.OrderClose, Target: head, Replica: "r1", Epoch: 7, Immediate: test.immediate}
			planner.recordResult(closing, test.response)
			if closedAt := planner.poolView("llm", nil, directory.View()).ClosedAt; len(closedAt) > 0 {
				t.Errorf("the head counts as one that doesn't serve: %v", closedAt)
			}
		})
	}
}

// TestClosedHeadIsRecordedForOneEpoch guards against members that leave an open head because
// it refused, carried out or did not answer an order to close with another epoch.
func TestClosedHeadIsRecordedForOneEpoch(t *testing.T) {
	head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
	ordered, other := greengageroute.ReplicaKey{Name: "r1", Epoch: 6}, greengageroute.ReplicaKey{Name: "r1", Epoch: 7}
	leaving := greengageroute.TargetOrder{Kind: greengageroute.OrderLeave, Target: head, Replica: ordered.Name, Epoch: ordered.Epoch}
	for _, test := range []struct {
		name     string
		response error
	}{
		{"refused", &greengageroute.OrderRefusedError{Status: 409}},
		{"refused by another target at the address", &greengageroute.OrderRefusedError{Status: 421}},
		{"accepted", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeActivity{})
			planner.recordResult(leaving, test.response)
			closedAt := planner.poolView("llm", nil, directory.View()).ClosedAt
			if _, closed := closedAt[ordered]; !closed {
				t.Error("the head isn't recorded as closed under the epoch of the order")
			}
			if _, closed := closedAt[other]; closed {
				t.Error("the head is recorded as closed under another epoch")
			}
		})
	}
}

// TestCloseOfOtherEpochKeepsPendingOpen guards against members that leave a head that is about to
// open, because it responded to an order to close under an older epoch.
func TestCloseOfOtherEpochKeepsPendingOpen(t *testing.T) {
	tests := []struct {
		name     string
		response error
	}{
		{"refused", &greengageroute.OrderRefusedError{Status: 409}},
		{"accepted", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1, Revision: greengageroute.StoreRevision{Version: 20}}
			head.Membership = greengageroute.Membership{Replica: "r1", Epoch: 7, Model: "m", State: greengageroute.MemberReady}
			planner, directory := newTestPlanner(fakeActivity{})
			planner.send(context.Background(), greengageroute.TargetOrder{Kind: greengageroute.OrderOpen, Target: head, Replica: "r1", Epoch: 7}, greengageroute.PoolView{Engine: &greengageroute.Engine{}})
			planner.recordResult(greengageroute.TargetOrder{Kind: greengageroute.OrderClose, Target: head, Replica: "r1", Epoch: 6}, test.response)
			head.Revision.Version++
			directory.Replace([]greengageroute.Target{head}, time.Time{})
			if _, pending := planner.poolView("llm", nil, directory.View()).PendingOpens[head.ID]; !pending {
				t.Error("the order to open is no longer pending")
			}
		})
	}
}

// TestClosesOfOneHeadAreRetriedApart guards against orders to close one head under two epochs
// that are sent again in every round, each as if the other had replaced it.
func TestClosesOfOneHeadAreRetriedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner, _ := newTestPlanner(fakeActivity{})
		planner.Lease.held = greengageroute.HeldLease{Fence: 1, RenewedAt: time.Now(), Term: time.Hour}
		head := greengageroute.Target{ID: "i-head", Pool: "llm", StartUnixMilli: 1}
		view := greengageroute.PoolView{Engine: &greengageroute.Engine{}, Targets: map[string]greengageroute.Target{head.ID: head}}
		for range 7 {
			for _, epoch := range []uint64{6, 7} {
				planner.send(context.Background(), greengageroute.TargetOrder{Kind: greengageroute.OrderClose, Target: head, Replica: "r1", Epoch: epoch}, view)
			}
			time.Sleep(planInterval)
		}
		synctest.Wait()
		time.Sleep(time.Second)
		if orders := planner.Counters.Get(CountOrders).String(); orders != "2" {
			t.Errorf("%s orders were sent in 700 ms, want 2", orders)
		}
	})
}

// TestLostHeadIsSuspectedSoon guards against replicas whose head is lost, of all losses one
// in four where replicas have four members, and whose other members wait over a second
// before they may join again under the replica's name.
func TestLostHeadIsSuspectedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner, directory := newTestPlanner(fakeActivity{})
		planner.Lease.held = greengageroute.HeldLease{Fence: 1, RenewedAt: time.Now(), Term: time.Hour}
		head := greengageroute.Target{ID: "i-head", Pool: "llm", StartUnixMilli: 1}
		closing := greengageroute.TargetOrder{Kind: greengageroute.OrderClose, Target: head, Replica: "r1", Epoch: 7, Immediate: true}
		view := greengageroute.PoolView{Engine: &greengageroute.Engine{}, Absent: map[string]greengageroute.Target{head.ID: head}}
		started := time.Now()
		for suspected := false; !suspected && time.Since(started) < 5*time.Second; {
			planner.send(context.Background(), closing, view)
			time.Sleep(10 * time.Millisecond)
			suspected = planner.poolView("llm", nil, directory.View()).SuspectedHeads[closing.Key()]
		}
		if took := time.Since(started); took > 600*time.Millisecond {
			t.Errorf("the head was suspected after %s, want at most 600ms", took)
		}
	})
}

// TestAcceptedJoinLeavesReplica guards against members that wait for the list to show
// that their head has left, and against taking a head that did not answer for one
// that left.
func TestAcceptedJoinLeavesReplica(t *testing.T) {
	key := greengageroute.ReplicaKey{Name: "r1", Epoch: 7}
	head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
	head.Membership = greengageroute.Membership{Replica: key.Name, Epoch: key.Epoch, Model: "m", State: greengageroute.MemberReady}
	rejoined, restarted := head, head
	rejoined.Membership.Epoch = 8
	restarted.StartUnixMilli = 2
	tests := []struct {
		name     string
		response error
		listed   greengageroute.Target
		left     bool
	}{
		{"accepted, and the list is older", nil, head, true},
		{"accepted, and the list shows it", nil, rejoined, false},
		{"accepted, and the target restarted", nil, restarted, false},
		{"not answered", errors.New("unanswered"), head, false},
		{"refused", &greengageroute.OrderRefusedError{Status: 412}, head, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeActivity{})
			planner.recordResult(greengageroute.TargetOrder{Kind: greengageroute.OrderJoin, Target: head, Replica: "r1", Epoch: 8}, test.response)
			directory.Replace([]greengageroute.Target{test.listed}, time.Time{})
			view := planner.poolView("llm", nil, directory.View())
			if found := view.Left[head.ID] == key; found != test.left {
				t.Errorf("the head has left its replica: %t, want %t", found, test.left)
			}
		})
	}
}

func TestPendingOpens(t *testing.T) {
	key := greengageroute.ReplicaKey{Name: "r1", Epoch: 7}
	head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1, Revision: greengageroute.StoreRevision{Version: 20}}
	head.Membership = greengageroute.Membership{Replica: key.Name, Epoch: key.Epoch, Model: "m", State: greengageroute.MemberReady}
	unanswered, refused := errors.New("unanswered"), &greengageroute.OrderRefusedError{Status: 409}
	tests := []struct {
		name      string
		responses []error // to the order to open, then to close
		revision  uint64  // of the head's row afterwards
		pending   bool
	}{
		{"no response yet", nil, 20, true},
		{"the head opened, and the list is older", []error{nil}, 20, true},
		{"the head opened, and the list is newer", []error{nil}, 21, false},
		{"without a response the head may open later", []error{unanswered}, 21, true},
		{"the head refused to open", []error{refused}, 20, false},
		{"the head closes, and the list is older", []error{nil, nil}, 20, true},
		{"the head closes, and the list is newer", []error{unanswered, nil}, 21, false},
		{"the head refused to close", []error{unanswered, refused}, 20, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeActivity{})
			open := greengageroute.TargetOrder{Kind: greengageroute.OrderOpen, Target: head, Replica: key.Name, Epoch: key.Epoch}
			planner.send(context.Background(), open, greengageroute.PoolView{Engine: &greengageroute.Engine{}})
			for _, response := range test.responses {
				planner.recordResponse(open, response)
			}
			listed := head
			listed.Revision.Version = test.revision
			directory.Replace([]greengageroute.Target{listed}, time.Time{})
			if found := planner.poolView("llm", nil, directory.View()).PendingOpens[head.ID] == key; found != test.pending {
				t.Errorf("open is pending: %t, want %t", found, test.pending)
			}
		})
	}
}

// TestRepeatedOpenStaysPending guards against members that leave a head which has opened,
// because it refused to open once more before the list showed it as open.
func TestRepeatedOpenStaysPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		head := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
		head.Membership = greengageroute.Membership{Replica: "r1", Epoch: 7, Model: "m", State: greengageroute.MemberReady}
		planner, directory := newTestPlanner(fakeActivity{})
		open := greengageroute.TargetOrder{Kind: greengageroute.OrderOpen, Target: head, Replica: "r1", Epoch: 7}
		for _, response := range []error{nil, &greengageroute.OrderRefusedError{Status: 409}} {
			planner.send(context.Background(), open, greengageroute.PoolView{Engine: &greengageroute.Engine{}})
			planner.recordResult(open, response)
			time.Sleep(orderRetryInterval)
		}
		directory.Replace([]greengageroute.Target{head}, time.Time{})
		if _, pending := planner.poolView("llm", nil, directory.View()).PendingOpens[head.ID]; !pending {
			t.Error("the order to open is no longer pending")
		}
	})
}

// TestLoadStartsStayWithinTheStoresRate guards against overloading the weights'
// store when many targets without weights join at once, as after the loss of whole
// fabric domains.
func TestLoadStartsStayWithinTheStoresRate(t *testing.T) {
	tests := []struct {
		name       string
		hasTraffic bool
		staged     []string
		most       int // orders in 5 s
		least      int
	}{
		{"targets without weights", true, nil, 5 * 5, 5 * 4},
		{"targets with staged weights", true, []string{"m"}, 60, 60},
		{"before the first request", false, nil, 60, 60},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				planner, _ := newTestPlanner(fakeActivity{})
				view := greengageroute.PoolView{HasTraffic: test.hasTraffic, Engine: &greengageroute.Engine{
					LoadsPerSecond: 5.5, ConcurrentLoads: 8, Models: []greengageroute.EngineModel{{Name: "m", Size: 6}},
				}}
				for range 50 {
					for i := range 60 {
						target := greengageroute.Target{ID: fmt.Sprint("i-", i), Staged: test.staged}
						if planner.sent[target.ID].text == "" {
							planner.send(context.Background(), greengageroute.TargetOrder{Kind: greengageroute.OrderJoin, Target: target, Model: "m"}, view)
						}
					}
					time.Sleep(planInterval)
				}
				if sent := len(planner.sent); sent > test.most || sent < test.least {
					t.Errorf("%d orders in 5 s, want %d to %d", sent, test.least, test.most)
				}
			})
		})
	}
}

// TestStagingHoldsForOneRun guards against a spare that gets no weights for as long as a load
// takes, since an order was given to its run of before, or was refused.
func TestStagingHoldsForOneRun(t *testing.T) {
	engine := &greengageroute.Engine{LoadsPerSecond: 10, Models: []greengageroute.EngineModel{{Name: "m", Size: 2, Share: 1, LoadTime: 16 * time.Second}}}
	spare := greengageroute.Target{ID: "i-spare", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
	restarted := spare
	restarted.StartUnixMilli = 2
	tests := []struct {
		name    string
		result  error
		listed  greengageroute.Target
		staging string
	}{
		{"the order was accepted", nil, spare, "m"},
		{"no response", errors.New("no response"), spare, "m"},
		{"the order was refused", &greengageroute.OrderRefusedError{Status: 409}, spare, ""},
		{"the target restarted", nil, restarted, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeActivity{})
			directory.Replace([]greengageroute.Target{spare}, time.Time{})
			order := greengageroute.TargetOrder{Kind: greengageroute.OrderStage, Target: spare, Model: "m"}
			planner.send(context.Background(), order, planner.poolView("llm", engine, directory.View()))
			planner.recordResult(order, test.result)
			directory.Replace([]greengageroute.Target{test.listed}, time.Time{})
			if staging := planner.poolView("llm", engine, directory.View()).Targets[spare.ID].Staging; staging != test.staging {
				t.Errorf("the target stages %q, want %q", staging, test.staging)
			}
		})
	}
}

// TestTargetsThatLeaveJoinsUnansweredAreProbed guards against replicas that wait for a dark spare
// as long as its row is listed: nobody else probes a target that serves nowhere.
func TestTargetsThatLeaveJoinsUnansweredAreProbed(t *testing.T) {
	target := greengageroute.Target{ID: "i-spare", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
	tests := []struct {
		name   string
		kind   greengageroute.OrderKind
		err    error
		probed bool
	}{
		{"a join without response", greengageroute.OrderJoin, errors.New("no response"), true},
		{"an accepted join", greengageroute.OrderJoin, nil, false},
		{"a refused join", greengageroute.OrderJoin, &greengageroute.OrderRefusedError{Status: 412}, false},
		{"a join that wasn't sent", greengageroute.OrderJoin, &greengageroute.BackoffError{}, false},
		{"a close without response", greengageroute.OrderClose, errors.New("no response"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeActivity{})
			directory.Replace([]greengageroute.Target{target}, time.Time{})
			var probed []mesh.TargetInstance
			planner.Confirm = func(instances []mesh.TargetInstance) { probed = append(probed, instances...) }
			planner.recordResult(greengageroute.TargetOrder{Kind: test.kind, Target: target, Replica: "r1", Epoch: 7}, test.err)
			if found := slices.Contains(probed, target.Instance()); found != test.probed {
				t.Errorf("the target is probed: %t, want %t", found, test.probed)
			}
		})
	}
}

// TestPlannerKnowsSinceWhenTargetsAreSilent guards against replicas that are repaired under their
// requests by an entry that takes the lease again, and counts a member's silence from an earlier
// one (calm soak, seed 9004), and against one that takes the lease and counts from then only.
func TestPlannerKnowsSinceWhenTargetsAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner, directory := newTestPlanner(fakeActivity{})
		member := greengageroute.Target{ID: "i-member", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
		directory.Replace([]greengageroute.Target{member}, time.Time{})
		silentFor := func() (time.Duration, bool) {
			view := planner.poolView("llm", nil, directory.View())
			since, absent := view.AbsentSince[member.ID]
			return view.Now.Sub(since), absent
		}
		directory.MarkUnreachable(member.Instance())
		time.Sleep(time.Second)
		if silence, absent := silentFor(); !absent || silence != time.Second {
			t.Errorf("absent: %t, for %s, want 1 s though the planner has just begun", absent, silence)
		}
		directory.MarkResponding(member.Instance())
		time.Sleep(10 * time.Second) // another entry holds the lease
		directory.MarkUnreachable(member.Instance())
		time.Sleep(300 * time.Millisecond)
		if silence, absent := silentFor(); !absent || silence != 300*time.Millisecond {
			t.Errorf("absent: %t, for %s, want 300 ms since its second silence", absent, silence)
		}
		directory.MarkResponding(member.Instance())
		if _, absent := silentFor(); absent {
			t.Error("absent although it responds")
		}
		directory.Replace(nil, time.Time{})
		time.Sleep(time.Second)
		if silence, absent := silentFor(); !absent || silence != time.Second {
			t.Errorf("absent: %t, for %s, want 1 s since its row lapsed", absent, silence)
		}
	})
}

// TestUnknownHeadIsForgottenOnceListed guards against a silence that counts as old at once, since
// the head was once known from an earlier planner alone, and against a map that grows.
func TestUnknownHeadIsForgottenOnceListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner, directory := newTestPlanner(fakeActivity{})
		head := greengageroute.Target{ID: "i-head", Pool: "llm", Address: "a", State: greengageroute.TargetReady, StartUnixMilli: 1}
		absentFor := func() (time.Duration, bool) {
			view := planner.poolView("llm", nil, directory.View())
			since, absent := view.AbsentSince[head.ID]
			return view.Now.Sub(since), absent
		}
		directory.Replace([]greengageroute.Target{{ID: "i-other", Pool: "llm"}}, time.Time{})
		planner.recordUnknownHeads([]greengageroute.ReplicaHead{{Replica: "r1", Epoch: 7, ID: head.ID, Address: "a"}, {Replica: "r2", Epoch: 7, ID: "i-lost", Address: "b"}},
			planner.poolView("llm", nil, directory.View()))
		if _, absent := absentFor(); !absent {
			t.Error("the head that isn't listed doesn't count as absent")
		}
		time.Sleep(time.Second)
		directory.Replace([]greengageroute.Target{head}, time.Time{})
		if _, absent := absentFor(); absent {
			t.Error("the listed head counts as absent")
		}
		time.Sleep(time.Minute)
		directory.MarkUnreachable(head.Instance())
		if since, absent := absentFor(); !absent || since > 0 {
			t.Errorf("the head that has just fallen silent counts as absent: %t, for %s", absent, since)
		}
		planner.forgetFindings()
		if len(planner.unknownHeads) > 0 {
			t.Errorf("%d heads of an earlier formation are remembered, want none", len(planner.unknownHeads))
		}
	})
}

// TestLoadedModelOfJoiningTargets guards against members that count as loading although their last
// replica had the same model.
func TestLoadedModelOfJoiningTargets(t *testing.T) {
	planner, _ := newTestPlanner(fakeActivity{})
	listed := func(start int64, replica string, epoch uint64, model string, state greengageroute.MemberState) greengageroute.Target {
		return greengageroute.Target{ID: "i-1", Pool: "llm", StartUnixMilli: start, Membership: greengageroute.Membership{Replica: replica, Epoch: epoch, Model: model, State: state}}
	}
	for _, step := range []struct {
		name string
		row  greengageroute.Target
		want string
	}{
		{"it loads", listed(1, "spare-1", 1, "m", greengageroute.MemberJoining), ""},
		{"it joins again before the load has ended", listed(1, "r1", 2, "m", greengageroute.MemberJoining), ""},
		{"it has formed", listed(1, "r1", 2, "m", greengageroute.MemberReady), ""},
		{"it is in no replica", listed(1, "", 0, "", ""), ""},
		{"it joins one of the same model", listed(1, "r2", 3, "m", greengageroute.MemberJoining), "m"},
		{"it joins another one before it has formed", listed(1, "r3", 4, "m", greengageroute.MemberJoining), "m"},
		{"it joins one of another model", listed(1, "r4", 5, "n", greengageroute.MemberJoining), "m"},
		{"it joins one of the first model again", listed(1, "r5", 6, "m", greengageroute.MemberJoining), ""},
		{"it has restarted", listed(2, "r6", 7, "m", greengageroute.MemberJoining), ""},
	} {
		if got := planner.recordLoaded(step.row).Loaded; step.row.Membership.State == greengageroute.MemberJoining && got != step.want {
			t.Errorf("%s: the loaded model is %q, want %q", step.name, got, step.want)
		}
	}
}

// TestModelsListedAsTheyLoadAreNotStaged guards against a replica that waits for a load, since the member
// that loads is listed with the model as staged, while a target that has it staged is free.
func TestModelsListedAsTheyLoadAreNotStaged(t *testing.T) {
	planner, _ := newTestPlanner(fakeActivity{})
	listed := func(start int64, replica, model string, state greengageroute.MemberState, staged ...string) greengageroute.Target {
		return greengageroute.Target{ID: "i-1", Pool: "llm", StartUnixMilli: start, Staged: staged, Membership: greengageroute.Membership{Replica: replica, Epoch: 1, Model: model, State: state}}
	}
	for _, step := range []struct {
		name string
		row  greengageroute.Target
		want []string
	}{
		{"another model is staged", listed(1, "", "", "", "n"), []string{"n"}},
		{"it loads", listed(1, "r1", "m", greengageroute.MemberJoining, "m"), nil},
		{"it joins another replica while it loads", listed(1, "r2", "m", greengageroute.MemberJoining, "m"), nil},
		{"it is in no replica, and may load on", listed(1, "", "", "", "m"), []string{"m"}},
		{"it joins with the model staged", listed(1, "r3", "m", greengageroute.MemberJoining, "m"), []string{"m"}},
		{"it has formed", listed(1, "r3", "m", greengageroute.MemberReady, "m"), []string{"m"}},
		{"it joins one of another model", listed(1, "r4", "n", greengageroute.MemberJoining, "n"), nil},
		{"that load has ended", listed(1, "r4", "n", greengageroute.MemberReady, "n"), []string{"n"}},
		{"it has restarted", listed(2, "r5", "m", greengageroute.MemberJoining, "m"), []string{"m"}},
	} {
		if got := planner.recordLoaded(step.row).Staged; !slices.Equal(got, step.want) {
			t.Errorf("%s: the staged models are %q, want %q", step.name, got, step.want)
		}
	}
}
