package control

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// fakeTargets answers reports and orders. A target without a report doesn't respond, and others refuse orders
// that expect another number of accepted ones than their reports tell.
type fakeTargets struct {
	reports map[string]greengageroute.TargetReport // by target; missing: no response
	refuse  int                                    // status of the response to orders; 0: they are accepted
	sent    []greengageroute.TargetOrder
	asked   []string
}

func (targets *fakeTargets) Report(_ context.Context, target greengageroute.Target, _ time.Duration) (greengageroute.TargetReport, error) {
	targets.asked = append(targets.asked, target.ID)
	report, found := targets.reports[target.ID]
	if !found {
		return greengageroute.TargetReport{}, errors.New("no response")
	}
	return report, nil
}

func (targets *fakeTargets) Send(_ context.Context, order greengageroute.TargetOrder, _ time.Duration) error {
	report, found := targets.reports[order.Target.ID]
	if !found {
		return errors.New("no response")
	}
	if order.Expected != nil && *order.Expected != *report.AcceptedOrders {
		return &greengageroute.OrderRefusedError{Target: order.Target.ID, Status: http.StatusConflict}
	}
	targets.sent = append(targets.sent, order)
	if targets.refuse != 0 {
		return &greengageroute.OrderRefusedError{Target: order.Target.ID, Status: targets.refuse}
	}
	return nil
}

// TestJoinsNeedTheStateThatThePlannerKnows guards against targets that join another replica while the
// head of theirs serves, since their row, or that of the head, is behind.
func TestJoinsNeedTheStateThatThePlannerKnows(t *testing.T) {
	orders := uint64(7)
	in := func(replica string, epoch uint64, rank int, state greengageroute.MemberState) greengageroute.Membership {
		return greengageroute.Membership{Replica: replica, Epoch: epoch, Rank: rank, State: state}
	}
	report := func(start int64, member greengageroute.Membership) greengageroute.TargetReport {
		return greengageroute.TargetReport{StartUnixMilli: start, Membership: member, AcceptedOrders: &orders}
	}
	none := greengageroute.Membership{}
	for _, test := range []struct {
		name       string
		row        greengageroute.Membership
		report     greengageroute.TargetReport
		silent     bool
		formerHead greengageroute.Membership // by its report; none: there is no head to ask
		refuse     int
		sent       bool
		outdated   bool
	}{
		{"both show it free", none, report(1, none), false, none, 0, true, false},
		{"both show the same replica", in("r1", 3, 1, "ready"), report(1, in("r1", 3, 1, "ready")), false, none, 0, true, false},
		{"it is in a replica", none, report(1, in("r1", 3, 1, "ready")), false, none, 0, false, true},
		{"it is in a later epoch", in("r1", 3, 1, "ready"), report(1, in("r1", 4, 1, "ready")), false, none, 0, false, true},
		{"it has left", in("r1", 3, 1, "ready"), report(1, none), false, none, 0, false, true},
		{"it heads an open replica", in("r1", 3, 0, "ready"), report(1, in("r1", 3, 0, "open")), false, none, 0, false, true},
		{"it has restarted", none, report(2, none), false, none, 0, false, true},
		{"it doesn't respond", none, greengageroute.TargetReport{}, true, none, 0, false, false},
		{"it has accepted another order since", none, report(1, none), false, none, 409, true, true},
		{"it refuses the epoch", none, report(1, none), false, none, 412, true, false},
		{"its head is a member", in("r1", 3, 1, "ready"), report(1, in("r1", 3, 1, "ready")), false, in("r1", 3, 0, "ready"), 0, false, true},
		{"its head is broken", in("r1", 3, 1, "ready"), report(1, in("r1", 3, 1, "ready")), false, in("r1", 3, 0, "broken"), 0, true, false},
		{"its head has moved on", in("r1", 3, 1, "ready"), report(1, in("r1", 3, 1, "ready")), false, in("r1", 4, 0, "open"), 0, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			targets := &fakeTargets{reports: map[string]greengageroute.TargetReport{}, refuse: test.refuse}
			if !test.silent {
				targets.reports["i-1"] = test.report
			}
			order := greengageroute.TargetOrder{
				Kind: greengageroute.OrderJoin, Replica: "r2", Epoch: 9, Target: greengageroute.Target{ID: "i-1", StartUnixMilli: 1, Membership: test.row},
			}
			if test.formerHead != none {
				order.FormerHead = &greengageroute.Target{ID: "i-head"}
				targets.reports["i-head"] = report(1, test.formerHead)
			}
			err := NewStateCheck(targets, targets, greengageroute.RuntimeClock{}).Send(context.Background(), order, time.Second)
			var outdated *OutdatedTargetError
			if isOutdated := errors.As(err, &outdated); isOutdated != test.outdated {
				t.Errorf("got error %v, which says that the target is outdated: %t, want %t", err, isOutdated, test.outdated)
			}
			if wantError := test.silent || test.refuse != 0 || test.outdated; (err != nil) != wantError {
				t.Errorf("got error %v, want one: %t", err, wantError)
			}
			if sent := len(targets.sent) > 0; sent != test.sent {
				t.Fatalf("the order was sent: %t, want %t", sent, test.sent)
			}
			if test.sent && (targets.sent[0].Expected == nil || *targets.sent[0].Expected != orders) {
				t.Errorf("the order expects %v accepted orders, want %d", targets.sent[0].Expected, orders)
			}
		})
	}
}

// TestAcceptedOrdersTellTheState guards against repairs that wait for a report from after the last
// order, against joins that are refused since the report didn't count it, and against reports that
// are requested for orders that need none.
func TestAcceptedOrdersTellTheState(t *testing.T) {
	orders := uint64(7)
	targets := &fakeTargets{reports: map[string]greengageroute.TargetReport{"i-1": {StartUnixMilli: 1, AcceptedOrders: &orders}}}
	clock := &modelClock{now: time.Unix(1000, 0)}
	check := NewStateCheck(targets, targets, clock)
	order := func(kind greengageroute.OrderKind) greengageroute.TargetOrder {
		return greengageroute.TargetOrder{Kind: kind, Replica: "r1", Epoch: 3, Target: greengageroute.Target{ID: "i-1", StartUnixMilli: 1}}
	}
	for _, step := range []struct {
		kind    greengageroute.OrderKind
		after   time.Duration
		asks    bool
		expects bool
	}{
		{greengageroute.OrderJoin, 0, true, true},
		{greengageroute.OrderStage, 0, false, false},
		{greengageroute.OrderJoin, 0, true, false},
		{greengageroute.OrderLeave, 0, false, false},
		{greengageroute.OrderJoin, acceptedOrderTTL / 2, false, false},
		{greengageroute.OrderOpen, 0, false, false},
		{greengageroute.OrderJoin, 0, true, false},
		{greengageroute.OrderClose, 0, false, false},
		{greengageroute.OrderJoin, 0, false, false},
		{greengageroute.OrderJoin, acceptedOrderTTL * 2, true, true},
	} {
		targets.asked, targets.sent = nil, nil
		clock.now = clock.now.Add(step.after)
		err := check.Send(context.Background(), order(step.kind), time.Second)
		if asked := len(targets.asked) > 0; asked != step.asks || err != nil {
			t.Errorf("%s %s later: the target was asked: %t, want %t; got error %v", step.kind, step.after, asked, step.asks, err)
		}
		if expects := targets.sent[0].Expected != nil; expects != step.expects {
			t.Errorf("%s %s later: the order expects a number of others: %t, want %t", step.kind, step.after, expects, step.expects)
		}
	}
}

// TestUntouchedTargetsAreNotAsked guards against a request for a report before each of a fleet's first
// orders, and against targets that are taken for untouched although they aren't.
func TestUntouchedTargetsAreNotAsked(t *testing.T) {
	for _, test := range []struct {
		name     string
		row      greengageroute.Target
		accepted uint64
		asked    []string
		expected uint64
	}{
		{"it has just started", greengageroute.Target{}, 0, nil, 0},
		{"its row doesn't show an order", greengageroute.Target{}, 2, []string{"i-1"}, 2},
		{"it has weights staged", greengageroute.Target{Staged: []string{"m"}}, 1, []string{"i-1"}, 1},
		{"it was told to stage weights", greengageroute.Target{Staging: "m"}, 1, []string{"i-1"}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.row.ID = "i-1"
			targets := &fakeTargets{reports: map[string]greengageroute.TargetReport{"i-1": {AcceptedOrders: &test.accepted}}}
			order := greengageroute.TargetOrder{Kind: greengageroute.OrderJoin, Replica: "r1", Epoch: 3, Target: test.row}
			if err := NewStateCheck(targets, targets, greengageroute.RuntimeClock{}).Send(context.Background(), order, time.Second); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(targets.asked, test.asked) || *targets.sent[0].Expected != test.expected {
				t.Errorf("asked %q and expected %d accepted orders, want %q and %d", targets.asked, *targets.sent[0].Expected, test.asked, test.expected)
			}
		})
	}
}
