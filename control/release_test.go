package control

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/table"
)

// TestReplicaHasLostMemberOnlyWithCertainty guards against members that join another replica
// while their head stands still: it counts from a response by which a member isn't in it.
func TestReplicaHasLostMemberOnlyWithCertainty(t *testing.T) {
	key := greengageroute.ReplicaKey{Name: "r1", Epoch: 7}
	member := greengageroute.Target{ID: "i-member", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1, Revision: greengageroute.StoreRevision{Version: 20}}
	member.Membership = greengageroute.Membership{Replica: key.Name, Epoch: key.Epoch, Model: "m", Rank: 1, State: greengageroute.MemberReady}
	newer, gone, restarted := member, member, member
	newer.Revision.Version = 21
	gone.Revision.Version, gone.Membership = 21, greengageroute.Membership{}
	restarted.Revision.Version, restarted.StartUnixMilli = 21, 2
	leave := greengageroute.TargetOrder{Kind: greengageroute.OrderLeave, Target: member, Replica: key.Name, Epoch: key.Epoch}
	join := greengageroute.TargetOrder{Kind: greengageroute.OrderJoin, Target: member, Replica: "r1", Epoch: 8}
	otherEpoch := leave
	otherEpoch.Epoch = 6
	tests := []struct {
		name     string
		order    greengageroute.TargetOrder
		response error
		listed   greengageroute.Target
		lost     bool
	}{
		{"it left", leave, nil, member, true},
		{"it left, and the list shows it", leave, nil, gone, true},
		{"it wasn't a member", leave, &greengageroute.OrderRefusedError{Status: 409}, member, true},
		{"it joined again under a newer epoch", join, nil, member, true},
		{"it left a replica of another epoch", otherEpoch, nil, member, false},
		{"no response", leave, errors.New("unanswered"), member, false},
		{"it was busy", leave, &greengageroute.OrderRefusedError{Status: 503}, member, false},
		{"the join was refused", join, &greengageroute.OrderRefusedError{Status: 412}, member, false},
		{"it left, and an earlier order to join took it back", leave, nil, newer, false},
		{"it left and restarted", leave, nil, restarted, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			planner, directory := newTestPlanner(fakeActivity{})
			planner.recordResult(test.order, test.response)
			directory.Replace([]greengageroute.Target{test.listed}, time.Time{})
			if _, lost := planner.poolView("llm", nil, directory.View()).MemberLostAt[key]; lost != test.lost {
				t.Errorf("the replica has lost a member: %t, want %t", lost, test.lost)
			}
		})
	}
}

// TestFindingsEndWithTheLease guards against members that are taken from a serving head, since this
// planner had them leave, or heard that the head had left, before another one held the lease and
// had them join again.
func TestFindingsEndWithTheLease(t *testing.T) {
	target := func(id string) greengageroute.Target {
		member := greengageroute.Membership{Replica: "r1", Epoch: 7, Model: "m", Rank: 1, State: greengageroute.MemberReady}
		return greengageroute.Target{ID: id, Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1, Membership: member}
	}
	order := func(kind greengageroute.OrderKind, id string) greengageroute.TargetOrder {
		return greengageroute.TargetOrder{Kind: kind, Target: target(id), Replica: "r1", Epoch: 7}
	}
	planner, directory := newTestPlanner(fakeActivity{})
	directory.Replace([]greengageroute.Target{target("i-member")}, time.Time{})
	for _, err := range []error{errors.New("unanswered"), &greengageroute.OrderUnansweredError{}} {
		planner.recordResult(order(greengageroute.OrderLeave, "i-head"), err)
	}
	planner.recordResult(order(greengageroute.OrderLeave, "i-member"), nil)
	opening := order(greengageroute.OrderOpen, "i-opening")
	planner.pendingOpens["i-opening"] = pendingOpen{key: opening.Key()}
	counts := func() []int {
		view := planner.poolView("llm", nil, directory.View())
		return []int{len(view.SuspectedHeads), len(view.StoodStillAt), len(view.MemberLostAt), len(view.Left), len(view.PendingOpens)}
	}
	if found := counts(); !slices.Equal(found, []int{1, 1, 1, 1, 1}) {
		t.Errorf("heads suspected, standing still, members lost, targets that left, and pending opens: %d, want 1 of each", found)
	}
	planner.forgetFindings()
	if found := counts(); !slices.Equal(found, []int{0, 0, 0, 0, 1}) {
		t.Errorf("heads suspected, standing still, members lost, targets that left, and pending opens of an earlier term: %d, want the last only", found)
	}
}

// TestReleaseIsStoredFirst guards against a next planner that takes a released member for free,
// since this one ended before it had stored the release.
func TestReleaseIsStoredFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner, directory := newTestPlanner(fakeActivity{})
		engine := &greengageroute.Engine{Models: []greengageroute.EngineModel{{Name: "m", Size: 2, Share: 1}}}
		target := func(id string, rank int) greengageroute.Target {
			member := greengageroute.Membership{Replica: "r1", Epoch: 7, Model: "m", Rank: rank, State: greengageroute.MemberReady}
			return greengageroute.Target{ID: id, Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1, Membership: member}
		}
		head := target("i-head", 0)
		directory.Replace([]greengageroute.Target{head, target("i-member", 1)}, time.Time{})
		formation := greengageroute.NewFormation(planner.poolView("llm", engine, directory.View()), 100)
		formation.RestoreHeads([]greengageroute.ReplicaHead{{Replica: "r1", Epoch: 7, ID: head.ID}})
		directory.MarkUnreachable(head.Instance())
		planner.poolView("llm", engine, directory.View())
		closing := greengageroute.TargetOrder{Kind: greengageroute.OrderClose, Target: head, Replica: "r1", Epoch: 7, Immediate: true}
		for range unansweredOrderLimit {
			planner.recordCloseResult(closing, errors.New("unanswered"))
		}
		time.Sleep(3 * time.Second)
		view := planner.poolView("llm", engine, directory.View())
		formation.Update(view)
		var release greengageroute.TargetOrder
		for _, order := range formation.Orders(view) {
			if order.Kind == greengageroute.OrderLeave {
				release = order
			}
		}
		if release.Target.ID != "i-member" {
			t.Fatalf("the orders have no release of the member: %v", formation.Orders(view))
		}
		if planner.maySend(release, formation, "llm") {
			t.Error("the release is sent before it is stored")
		}
		planner.storeHeads(context.Background(), view, formation)
		synctest.Wait()
		if !planner.maySend(release, formation, "llm") {
			t.Error("the release isn't sent once it is stored")
		}
		heads, err := planner.readHeads(context.Background(), "llm")
		if err != nil || len(heads) != 1 || len(heads[0].Released) != 1 {
			t.Errorf("the stored heads are %v, %v, want one with a released member", heads, err)
		}
	})
}

// TestOverwrittenHeadsAreOutwaited guards against planning that stops for good because the row
// of heads was overwritten, and against members that a next planner takes for free although
// the head from which they were released may serve.
func TestOverwrittenHeadsAreOutwaited(t *testing.T) {
	for _, odd := range []string{"", "\xff", "7", "{}", `[7]`, `[{"replica":"r1","epoch":-1}]`, `[{"replica":"r1","epoch":7,"id":"i-head","released":7}]`} {
		t.Run(odd, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				planner, _ := newTestPlanner(fakeActivity{})
				planner.StallTimeout = 6 * time.Second
				store := planner.Lease.store.(*fakeConn)
				read := func() ([]greengageroute.ReplicaHead, error) { return planner.readHeads(context.Background(), "llm") }
				store.put("control", "heads-llm", odd)
				if heads, err := read(); err == nil {
					t.Errorf("read %v at once, want an error", heads)
				}
				time.Sleep(5 * time.Second)
				store.put("control", "heads-llm", odd)
				if heads, err := read(); err == nil {
					t.Errorf("read %v after the row was overwritten again, want an error", heads)
				}
				time.Sleep(greengageroute.TimeToBreak(planner.StallTimeout) - time.Second)
				if heads, err := read(); err == nil {
					t.Errorf("read %v while a head may serve without a member, want an error", heads)
				}
				time.Sleep(2 * time.Second)
				if heads, err := read(); err != nil || len(heads) > 0 {
					t.Errorf("read %v with error %v once such heads are broken, want none", heads, err)
				}
				store.put("control", "heads-llm", `[{"replica":"r1","epoch":7,"id":"i-head"}]`)
				if heads, err := read(); err != nil || len(heads) != 1 {
					t.Errorf("read %v with error %v, want the head that was stored again", heads, err)
				}
			})
		})
	}
}

// lateStore answers the first write without an error only once it is released.
type lateStore struct {
	*fakeConn
	held   []platform.Write
	writes int
}

func (store *lateStore) Commit(ctx context.Context, writes ...platform.Write) (greengageroute.StoreRevision, error) {
	if store.writes++; store.writes == 1 {
		store.held = writes
		return greengageroute.StoreRevision{}, &table.UncertainError{Cause: errors.New("the response was lost")}
	}
	return store.fakeConn.Commit(ctx, writes...)
}

// TestLateWriteOfHeadsDoesntCount guards against a next planner that takes released members for
// free, since a write that the planner before had given up replaced the one that named them, and
// against a store that is written to in every round while it refuses.
func TestLateWriteOfHeadsDoesntCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner, directory := newTestPlanner(fakeActivity{})
		store := &lateStore{fakeConn: planner.Lease.store.(*fakeConn)}
		planner.Lease.store = store
		engine := &greengageroute.Engine{Models: []greengageroute.EngineModel{{Name: "m", Size: 1, Share: 1}}}
		write := func(epoch uint64) {
			target := greengageroute.Target{ID: "i-head", Pool: "llm", State: greengageroute.TargetReady, StartUnixMilli: 1}
			target.Membership = greengageroute.Membership{Replica: "r1", Epoch: epoch, Model: "m", State: greengageroute.MemberOpen}
			target.Revision.Version, target.Statement = epoch, epoch
			directory.Replace([]greengageroute.Target{target}, time.Time{})
			view := planner.poolView("llm", engine, directory.View())
			planner.storeHeads(t.Context(), view, greengageroute.NewFormation(view, 100))
			time.Sleep(headsWriteInterval)
		}
		write(6)
		write(7)
		if _, err := store.commit(store.held); err == nil {
			t.Error("the first write is carried out after the second one")
		}
		if heads, err := planner.readHeads(t.Context(), "llm"); err != nil || len(heads) != 1 || heads[0].Epoch != 7 {
			t.Errorf("the stored heads are %v, %v, want those of epoch 7", heads, err)
		}
		store.put("control", "heads-llm", "[]")
		write(8)
		write(8)
		if heads, err := planner.readHeads(t.Context(), "llm"); err != nil || len(heads) != 1 || heads[0].Epoch != 8 {
			t.Errorf("the stored heads are %v, %v, want those of epoch 8 after another writer's row", heads, err)
		}
		store.set(func(conn *fakeConn) { conn.down = true })
		before := store.writes
		for range 20 {
			view := planner.poolView("llm", engine, directory.View())
			planner.storeHeads(t.Context(), view, greengageroute.NewFormation(greengageroute.PoolView{}, 100))
			time.Sleep(50 * time.Millisecond)
		}
		if writes := store.writes - before; writes > 4 {
			t.Errorf("%d writes in a second to a store that refuses, want 4 at most", writes)
		}
	})
}
