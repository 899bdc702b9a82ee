package greengageroute

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// newSilentHeadPool returns a pool and its first large replica, whose head doesn't respond.
func newSilentHeadPool(t *testing.T) (*simulatedPool, *Formation, Assignment) {
	pool, formation := newFormedPool(t, 1, 9) // one of each model, no spare
	index := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
	assignment := formation.Assignments[index]
	pool.targets[assignment.Members[0]].unlisted = true
	return pool, formation, assignment
}

// A head that may be silent for a moment keeps its members from other replicas until it says
// that it doesn't serve, has joined again, or must be broken. Under the replica's own name they
// may join again as soon as it is suspected.
func TestSilentHeadKeepsItsMembers(t *testing.T) {
	tests := []struct {
		name                string
		change              func(view *PoolView, key ReplicaKey, head string)
		ownFreed, otherFree bool
	}{
		{"it is absent", func(*PoolView, ReplicaKey, string) {}, false, false},
		{"it is suspected", func(view *PoolView, key ReplicaKey, _ string) { view.SuspectedHeads[key] = true }, true, false},
		{"it closed", func(view *PoolView, key ReplicaKey, _ string) { view.ClosedAt[key] = view.Now }, true, true},
		{"it closed under another epoch", func(view *PoolView, key ReplicaKey, _ string) {
			view.ClosedAt[ReplicaKey{key.Name, key.Epoch - 1}] = view.Now
		}, false, false},
		{"it joined again later", func(view *PoolView, _ ReplicaKey, head string) {
			target := view.Absent[head]
			target.Membership.Epoch++
			view.Absent[head] = target
		}, true, true},
		{"it restarted and is listed", func(view *PoolView, _ ReplicaKey, head string) {
			target := view.Absent[head]
			delete(view.Absent, head)
			target.StartUnixMilli, target.Membership = target.StartUnixMilli+1, Membership{}
			view.Targets[head] = target
		}, true, true},
		{"a member left a moment ago", func(view *PoolView, key ReplicaKey, _ string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout)
		}, false, false},
		{"a member left so long ago that it is broken", func(view *PoolView, key ReplicaKey, _ string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
		}, true, true},
		{"a member left so long ago, and the head was asked before it had to break", func(view *PoolView, key ReplicaKey, _ string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
			view.UnansweredAt[key] = view.Now.Add(-time.Second)
		}, false, false},
		{"a member left so long ago, and the head was never asked", func(view *PoolView, key ReplicaKey, _ string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
			delete(view.UnansweredAt, key)
		}, false, false},
		{"a member left long ago, and it is unknown when heads break", func(view *PoolView, key ReplicaKey, _ string) {
			view.MemberLostAt[key] = view.Now.Add(-time.Hour)
			view.StallTimeout = 0
		}, false, false},
		{"its row shows it broken", func(view *PoolView, _ ReplicaKey, head string) {
			target := view.Absent[head]
			target.Membership.State = MemberBroken
			view.Absent[head] = target
		}, true, true},
		{"its row shows it broken under another epoch", func(view *PoolView, _ ReplicaKey, head string) {
			target := view.Absent[head]
			target.Membership.State = MemberBroken
			target.Membership.Epoch--
			view.Absent[head] = target
		}, false, false},
		{"a member left long ago, and its row has shown it open since", func(view *PoolView, key ReplicaKey, head string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
			target := view.Absent[head]
			target.Membership.State, target.StatedAt = MemberOpen, view.Now.Add(-time.Second)
			view.Absent[head] = target
		}, false, false},
		{"a member left long ago, and its row has shown it closing since", func(view *PoolView, key ReplicaKey, head string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
			target := view.Absent[head]
			target.Membership.State, target.StatedAt = MemberClosing, view.Now.Add(-time.Second)
			view.Absent[head] = target
		}, false, false},
		{"its row showed it open while it stood still", func(view *PoolView, key ReplicaKey, head string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
			target := view.Absent[head]
			target.Membership.State, target.StatedAt = MemberOpen, view.MemberLostAt[key].Add(view.StallTimeout)
			view.Absent[head] = target
		}, true, true},
		{"a member left long ago, and its row has shown it closed since", func(view *PoolView, key ReplicaKey, head string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
			target := view.Absent[head]
			target.Membership.State, target.StatedAt = MemberReady, view.Now
			view.Absent[head] = target
		}, true, true},
		{"a member left so long ago, and it stood still a moment ago", func(view *PoolView, key ReplicaKey, head string) {
			view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
			view.AbsentSince[head] = view.MemberLostAt[key]
			view.StoodStillAt = map[ReplicaKey]time.Time{key: view.Now.Add(-time.Second)}
		}, false, false},
		{"it stood still so long ago that it is broken", func(view *PoolView, key ReplicaKey, head string) {
			view.MemberLostAt[key] = view.Now.Add(-suspensionLimit / 2)
			view.AbsentSince[head] = view.MemberLostAt[key]
			view.StoodStillAt = map[ReplicaKey]time.Time{key: view.Now.Add(-view.StallTimeout - stallMargin)}
		}, true, true},
		{"it has stood still for longer than a suspension", func(view *PoolView, key ReplicaKey, head string) {
			view.MemberLostAt[key] = view.Now.Add(-suspensionLimit / 2)
			view.AbsentSince[head] = view.Now.Add(-suspensionLimit)
			view.StoodStillAt = map[ReplicaKey]time.Time{key: view.Now}
		}, true, true},
		{"it is forgotten", func(view *PoolView, _ ReplicaKey, head string) { delete(view.Absent, head) }, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, formation, assignment := newSilentHeadPool(t)
			view := pool.view(true)
			view.UnansweredAt[assignment.key()] = view.Now
			test.change(&view, assignment.key(), assignment.Members[0])
			member := view.Targets[assignment.Members[1]]
			if free := !formation.constraintOf(member, assignment.Name, view).mustStay; free != test.ownFreed {
				t.Errorf("may join again under the own name: %t, want %t", free, test.ownFreed)
			}
			if free := !formation.constraintOf(member, "other", view).mustStay; free != test.otherFree {
				t.Errorf("may join another replica: %t, want %t", free, test.otherFree)
			}
		})
	}
}

// TestMembersFreedByTimeLeaveFirst guards against members that are in two replicas at once because
// the head of the first one, which must be broken by the planner's clock, isn't.
func TestMembersFreedByTimeLeaveFirst(t *testing.T) {
	longAgo := func(view *PoolView, key ReplicaKey, _ Target) {
		view.MemberLostAt[key] = view.Now.Add(-view.StallTimeout - stallMargin)
	}
	tests := []struct {
		name    string
		change  func(view *PoolView, key ReplicaKey, member Target)
		replica string // that the member is to join; empty: its own
		leaves  bool
	}{
		{"another replica", longAgo, "other", true},
		{"a replica of its own to load weights", longAgo, preloadPrefix, true},
		{"the same replica", longAgo, "", false},
		{"the head said that it doesn't serve", func(view *PoolView, key ReplicaKey, _ Target) { view.ClosedAt[key] = view.Now }, "other", false},
		{"it has left", func(view *PoolView, key ReplicaKey, member Target) {
			longAgo(view, key, member)
			view.Left = map[string]ReplicaKey{member.ID: key}
		}, "other", false},
		{"it left another epoch", func(view *PoolView, key ReplicaKey, member Target) {
			longAgo(view, key, member)
			view.Left = map[string]ReplicaKey{member.ID: {key.Name, key.Epoch - 1}}
		}, "other", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, formation, assignment := newSilentHeadPool(t)
			view := pool.view(true)
			view.UnansweredAt[assignment.key()] = view.Now
			member := view.Targets[assignment.Members[1]]
			test.change(&view, assignment.key(), member)
			replica := cmp.Or(test.replica, assignment.Name)
			if found := formation.constraintOf(member, replica, view); found.mustStay || found.mustLeave != test.leaves {
				t.Errorf("has to stay: %t, to leave first: %t, want false and %t", found.mustStay, found.mustLeave, test.leaves)
			}
			next := Assignment{Name: replica, Epoch: 9_000_000, Model: assignment.Model, Members: []string{member.ID}}
			want := OrderJoin
			if test.leaves {
				want = OrderLeave
			}
			if orders := formation.ordersFor(next, view, map[ReplicaKey]bool{}); len(orders) != 1 || orders[0].Kind != want || orders[0].Target.ID != member.ID {
				t.Errorf("the orders are %v, want one to %s", orders, want)
			}
			member.Membership.Model = "other"
			if order, found := formation.preloadOrder(member, view); test.replica == preloadPrefix && (!found || order.Kind != want) {
				t.Errorf("the order before it loads weights is %v, want one to %s", order, want)
			}
		})
	}
}

// A head or another member falls silent for a moment, and no spare is at hand. The replica gets
// no order, so that it serves as soon as the member goes on.
func TestSilentMemberWithoutSparesStays(t *testing.T) {
	for _, rank := range []int{0, 3} {
		pool, formation := newFormedPool(t, 1, 9)
		index := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
		silent := pool.targets[formation.Assignments[index].Members[rank]]
		silent.unlisted, silent.absentSince = true, pool.now
		pool.run(formation, silenceTolerance-100*time.Millisecond, true)
		if len(pool.orders) > 0 {
			t.Errorf("rank %d: while a member is silent the orders are %v, want none", rank, pool.orders)
		}
		silent.unlisted, silent.ListedSince = false, pool.now
		pool.run(formation, time.Second, true)
		if serving := pool.openByModel(); len(pool.orders) > 0 || serving["large"] != 1 || serving["small"] != 1 {
			t.Errorf("rank %d: after the silence the orders are %v, and the open replicas %v", rank, pool.orders, serving)
		}
	}
}

// Two replicas lose their heads, which never answer again. A member of each is told to leave,
// and the members make one replica only when the head that they leave must be broken.
func TestMembersOfLostHeadsAreReleased(t *testing.T) {
	pool, formation := newSmallModelPool(t, 7)
	delete(pool.targets, formation.free(pool.view(false), "d0", nil)[0].ID)
	pool.orders, pool.orderedAt = nil, nil
	heads := map[string]string{}
	for _, assignment := range formation.Assignments {
		head := pool.targets[assignment.Members[0]]
		head.crashed, head.absentSince = true, pool.now
		heads[assignment.Name] = head.ID
	}
	started := pool.now
	pool.run(formation, silenceTolerance+6*time.Second+stallMargin+3*time.Second, true)
	left, former := map[string]time.Time{}, map[string]string{}
	for i, order := range pool.orders {
		at, member := pool.orderedAt[i], order.Target.Membership
		if order.Kind == OrderLeave {
			former[order.Target.ID] = order.Replica
		}
		_, known := left[member.Replica]
		switch {
		case order.Kind == OrderLeave && order.Target.ID == heads[order.Replica]:
		case order.Kind == OrderLeave && !known:
			left[order.Replica] = at
			if at.Sub(started) < silenceTolerance {
				t.Errorf("a member was told to leave after %s, want at least %s", at.Sub(started), silenceTolerance)
			}
		case order.Kind == OrderJoin && heads[member.Replica] != "" && order.Replica != member.Replica:
			t.Errorf("%s joined another replica at %s, before it left its own one", order.Target.ID, at.Sub(started))
		case order.Kind == OrderJoin && former[order.Target.ID] != "" && order.Replica != former[order.Target.ID]:
			if leftAt, known := left[former[order.Target.ID]]; !known || at.Sub(leftAt) < 6*time.Second+stallMargin {
				t.Errorf("%s joined another replica at %s; of its own one a member left at %s", order.Target.ID, at.Sub(started), leftAt.Sub(started))
			}
		}
	}
	if open := pool.openByModel()["small"]; open != 1 {
		t.Errorf("%d replicas are open at the end, want 1", open)
	}
}

// Where a replica with a silent head and one with a live head have lost members, the members of
// the second complete the first: its own members may join again under their name.
func TestReplicaWithLiveHeadIsTheDonor(t *testing.T) {
	for _, silent := range []int{0, 1} {
		pool, formation := newSmallModelPool(t, 7)
		delete(pool.targets, formation.free(pool.view(false), "d0", nil)[0].ID)
		recipient, donor := formation.Assignments[silent], formation.Assignments[1-silent]
		pool.targets[recipient.Members[0]].crashed = true
		pool.targets[donor.Members[1]].crashed = true
		pool.run(formation, 3*time.Second, true)
		if open := pool.openByModel()["small"]; open != 1 {
			t.Errorf("%d replicas are open 3 s after the losses, want 1", open)
		}
		if !slices.ContainsFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Name == recipient.Name }) {
			t.Errorf("replica %s, whose head is silent, was dissolved: %v", recipient.Name, formation.Assignments)
		}
	}
}

// The next planner knows which members were released: the list shows them in no replica while
// their head may serve.
func TestNextPlannerKnowsReleasedMembers(t *testing.T) {
	pool, formation, assignment := newSilentHeadPool(t)
	key := ReplicaKey{assignment.Name, assignment.Epoch}
	view := pool.view(true)
	member := pool.targets[assignment.Members[1]]
	formation.releaseOrder(member.Target, member.Membership)
	heads := formation.Heads(view)
	member.Membership = Membership{}
	view = pool.view(true)
	next := NewFormation(view, 2_000_000)
	next.RestoreHeads(heads)
	if !next.isHeld(member.Target, view) {
		t.Error("the next planner takes a released member for free")
	}
	view.MemberLostAt[key], view.UnansweredAt[key] = view.Now.Add(-view.StallTimeout-stallMargin), view.Now
	if next.isHeld(member.Target, view) {
		t.Error("a released member is held although its head must be broken")
	}
	member.StartUnixMilli++
	if next.isHeld(member.Target, pool.view(true)) {
		t.Error("a released member is held although it has restarted")
	}
}

// A member is silent for a moment, a spare is at hand, and requests wait at the head. They are
// cut if the replica is repaired before they have moved or the member goes on.
func TestRepairWaitsForRequestsThatMayGoOn(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	assignment := formation.Assignments[0]
	silent := pool.targets[assignment.Members[1]]
	silent.unlisted, silent.absentSince = true, pool.now
	view := pool.view(true)
	view.Busy = NewSet(assignment.Members[0])
	if changed := formation.Update(view); len(changed) > 0 || len(formation.Orders(view)) > 0 {
		t.Errorf("while requests wait %v were changed and the orders are %v, want none", changed, formation.Orders(view))
	}
	view.Busy = nil
	if changed := formation.Update(view); len(changed) != 1 {
		t.Errorf("once the requests have moved %v were changed, want the replica", changed)
	}
	pool, formation = newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	silent = pool.targets[formation.Assignments[0].Members[1]]
	silent.unlisted, silent.absentSince = true, pool.now.Add(-silenceTolerance)
	view = pool.view(true)
	view.Busy = NewSet(formation.Assignments[0].Members[0])
	if changed := formation.Update(view); len(changed) != 1 {
		t.Errorf("after a silence of %s %v were changed, want the replica", silenceTolerance, changed)
	}
}

// A member joins again under its replica's name while the head is silent, and is needed by
// another replica soon after. The head of before still stands still (calm soak, seed 3).
func TestMemberThatJoinedAgainWaitsForItsFormerHead(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	assignment := formation.Assignments[0]
	former := ReplicaKey{assignment.Name, assignment.Epoch}
	head := pool.targets[assignment.Members[0]]
	head.crashed = true
	pool.run(formation, time.Second, true)
	member := pool.targets[assignment.Members[1]]
	if member.Membership.Replica != former.Name || member.Membership.Epoch == former.Epoch {
		t.Fatalf("the member hasn't joined again: %+v", member.Membership)
	}
	newHead := pool.targets[pool.heads[member.Membership.key()]]
	newHead.Membership = Membership{} // it doesn't hold its members either
	if !formation.constraintOf(member.Target, "other", pool.view(true)).mustStay {
		t.Error("the member may join another replica while its former head may stand still")
	}
	next := NewFormation(pool.view(true), 2_000_000)
	next.RestoreHeads(formation.Heads(pool.view(true)))
	if !slices.ContainsFunc(next.releases[member.ID], func(released release) bool { return released.member.key() == former }) {
		t.Error("the next planner doesn't know that the member has a former head")
	}
	pool.now = pool.now.Add(6*time.Second + stallMargin)
	pool.unansweredAt[former] = pool.now
	if formation.constraintOf(member.Target, "other", pool.view(true)).mustStay {
		t.Error("the member has to stay although its former head must be broken")
	}
}

// TestNewPlannerWaitsForSilentMembers guards against streams that are cut because a planner that
// takes over while a member is silent doesn't know the member, and repairs its replica at once.
func TestNewPlannerWaitsForSilentMembers(t *testing.T) {
	for rank, name := range []string{"the head", "another member"} {
		t.Run(name, func(t *testing.T) {
			pool, formation := newFormedPool(t, 6, 11)
			pool.run(formation, 3*time.Second, true)
			assignment := formation.Assignments[0]
			silent := pool.targets[assignment.Members[rank]]
			silent.unlisted, silent.absentSince = true, pool.now
			view := pool.view(true)
			view.Busy = NewSet(assignment.Members[0])
			successor := NewFormation(view, 1_000_000)
			successor.RestoreHeads(formation.Heads(view))
			if changed, orders := successor.Update(view), successor.Orders(view); len(changed) > 0 || len(orders) > 0 {
				t.Errorf("while requests wait %v were changed and the orders are %v, want none", changed, orders)
			}
			silent.unlisted = false
			if changed := successor.Update(pool.view(true)); len(changed) > 0 {
				t.Errorf("once the member has gone on %v were changed, want none", changed)
			}
		})
	}
}

// TestNewPlannerAdoptsReplicasThatReturn guards against open replicas that are closed at once
// because all their members were silent as a planner took over.
func TestNewPlannerAdoptsReplicasThatReturn(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	assignment := formation.Assignments[0]
	for _, id := range assignment.Members {
		pool.targets[id].unlisted, pool.targets[id].absentSince = true, pool.now
	}
	view := pool.view(true)
	successor := NewFormation(view, 1_000_000)
	successor.RestoreHeads(formation.Heads(view))
	successor.Update(view)
	for _, id := range assignment.Members {
		pool.targets[id].unlisted = false
	}
	view = pool.view(true)
	successor.Update(view)
	for _, order := range successor.Orders(view) {
		if slices.Contains(assignment.Members, order.Target.ID) {
			t.Errorf("the order %v goes to a member of a whole replica, want none", order)
		}
	}
}
