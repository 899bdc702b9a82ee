package greengageroute

import (
	"slices"
	"testing"
	"time"
)

// newTakeover returns a pool of formed replicas and the first of them, whose members fall silent
// under requests, just before another planner takes over.
func newTakeover(t *testing.T) (*simulatedPool, *Formation, Assignment) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	pool.orders, pool.orderedAt = nil, nil
	replica := formation.Assignments[0]
	pool.busy = NewSet(replica.Members[0])
	for _, id := range replica.Members {
		pool.targets[id].unlisted, pool.targets[id].absentSince = true, pool.now
	}
	return pool, formation, replica
}

// requireUntouched checks that no order went to the members of a replica.
func (pool *simulatedPool) requireUntouched(replica Assignment) {
	pool.t.Helper()
	for _, order := range pool.orders {
		if slices.Contains(replica.Members, order.Target.ID) {
			pool.t.Errorf("the order %v goes to a member of a replica that serves, want none", order)
		}
	}
}

// TestNewPlannerKeepsReplicasThatWereSilent guards against an open replica that is ended, and
// its streams with it, because all its members were silent as a planner took over and go on one
// after the other (calm soak, seed 9002).
func TestNewPlannerKeepsReplicasThatWereSilent(t *testing.T) {
	tests := []struct {
		name  string
		first int // rank of the member that goes on first
		// prepare changes the pool before the planner takes over, and change afterwards.
		prepare, change func(pool *simulatedPool, replica Assignment)
	}{
		{name: "its head goes on first"},
		{name: "another member goes on first", first: 1},
		{name: "the last member goes on first", first: 5},
		{name: "a member of an earlier epoch is listed", first: 2, prepare: func(pool *simulatedPool, replica Assignment) {
			for _, target := range pool.targets {
				if target.Domain == replica.Domain && target.Membership.isPreload() {
					target.Membership = Membership{Replica: replica.Name, Epoch: replica.Epoch - 1, Rank: 3, Model: replica.Model, State: MemberReady}
				}
			}
		}},
		{name: "its rows were missing in the list", prepare: func(pool *simulatedPool, replica Assignment) {
			for _, id := range replica.Members {
				pool.targets[id].unknown = true
			}
		}, change: func(pool *simulatedPool, replica Assignment) {
			for _, id := range replica.Members {
				pool.targets[id].unknown = false
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, formation, replica := newTakeover(t)
			if test.prepare != nil {
				test.prepare(pool, replica)
			}
			successor := NewFormation(pool.view(true), 1_000_000)
			successor.RestoreHeads(formation.Heads(pool.view(true)))
			pool.run(successor, 300*time.Millisecond, true)
			if test.change != nil {
				test.change(pool, replica)
			}
			for offset := range replica.Members {
				pool.targets[replica.Members[(test.first+offset)%len(replica.Members)]].unlisted = false
				pool.run(successor, 200*time.Millisecond, true)
			}
			pool.run(successor, 3*time.Second, true)
			pool.requireUntouched(replica)
			if open := pool.openByModel(); open["large"] != 6 || open["small"] != 6 {
				t.Errorf("the open replicas are %v, want 6 of each model", open)
			}
		})
	}
}

// TestNewPlannerFollowsTheEpochBeforeIt guards against a replica that is repaired once more
// because the list that a planner began with shows an epoch from which the planner before had
// moved on.
func TestNewPlannerFollowsTheEpochBeforeIt(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	before := pool.view(true)
	replica := formation.Assignments[0]
	lost := pool.targets[replica.Members[2]]
	lost.crashed = true
	pool.run(formation, 2*time.Second, true)
	index := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Name == replica.Name })
	repaired := formation.Assignments[index]
	if repaired.Epoch == replica.Epoch || pool.openByModel()["large"] != 6 {
		t.Fatalf("the replica wasn't repaired: %+v", repaired)
	}
	pool.orders, pool.orderedAt = nil, nil
	successor := NewFormation(before, 1_000_000)
	pool.run(successor, time.Second, true)
	pool.requireUntouched(repaired)
}

// TestLostTargetDecidesNoEpoch guards against a replica that serves and isn't known to a planner
// that takes over, since a target that is long gone had joined it under a later epoch.
func TestLostTargetDecidesNoEpoch(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	replica := formation.Assignments[0]
	lost := &simulatedTarget{Target: pool.targets[replica.Members[2]].Target, crashed: true}
	lost.ID, lost.Membership.Epoch = "lost", replica.Epoch+1
	pool.targets[lost.ID] = lost
	pool.orders, pool.orderedAt = nil, nil
	pool.run(NewFormation(pool.view(true), 1_000_000), time.Second, true)
	pool.requireUntouched(replica)
}

// TestDissolvedReplicasAreNotAdopted guards against a replica that made room for another model
// and is assigned again as long as its head is open.
func TestDissolvedReplicasAreNotAdopted(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	replica := formation.Assignments[0]
	formation.dissolved.Add(replica.Name)
	formation.unassign(func(assignment Assignment) bool { return assignment.Name == replica.Name })
	pool.run(formation, time.Second, true)
	if slices.ContainsFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Name == replica.Name }) {
		t.Errorf("the dissolved replica %s is assigned again", replica.Name)
	}
}

// TestReplicaThatReturnsAsAWholeIsKept guards against an open replica that was given up, as it
// was cut off for long, and is closed once it is back although nothing has replaced it.
func TestReplicaThatReturnsAsAWholeIsKept(t *testing.T) {
	pool, formation, replica := newTakeover(t)
	pool.busy = nil
	pool.run(formation, silenceTolerance+time.Second, true)
	for _, id := range replica.Members {
		pool.targets[id].unlisted = false
	}
	pool.run(formation, time.Second, true)
	pool.requireUntouched(replica)
}

// TestReplicaIsNotGivenUpForSilence guards against members that move to another replica because
// too few spares are left to replace others that are only silent (calm soak, seeds 1 and 9005).
func TestReplicaIsNotGivenUpForSilence(t *testing.T) {
	tests := []struct {
		name string
		// change changes a replica as its last member falls silent.
		change func(pool *simulatedPool, replica Assignment)
		open   int // replicas at the end, when the silent members turn out to be lost
	}{
		{"it serves", func(*simulatedPool, Assignment) {}, 1},
		{"it isn't open yet", func(pool *simulatedPool, replica Assignment) {
			pool.targets[replica.Members[0]].Membership.State = MemberReady
		}, 1},
		{"a member has yet to join", func(pool *simulatedPool, replica Assignment) {
			pool.targets[replica.Members[0]].Membership.State = MemberReady
			pool.targets[replica.Members[1]].Membership = Membership{}
		}, 1},
		{"another member is leaving", func(pool *simulatedPool, replica Assignment) {
			pool.targets[replica.Members[1]].State = TargetLeaving
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, formation := newSmallModelPool(t, 7)
			delete(pool.targets, formation.free(pool.view(false), "d0", nil)[0].ID)
			replicas := slices.Clone(formation.Assignments)
			for i, replica := range replicas {
				test.change(pool, replica)
				formation.Assignments[i].Opened = pool.targets[replica.Members[0]].Membership.State == MemberOpen
				silent := pool.targets[replica.Members[2]]
				silent.unlisted, silent.absentSince = true, pool.now
			}
			pool.orders, pool.orderedAt = nil, nil
			pool.run(formation, silenceTolerance-100*time.Millisecond, true)
			for _, replica := range replicas {
				for _, order := range pool.orders {
					if order.Kind == OrderJoin && slices.Contains(replica.Members, order.Target.ID) && order.Replica != replica.Name {
						t.Errorf("%v while a member is silent", order)
					}
				}
				if !slices.ContainsFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Name == replica.Name }) {
					t.Errorf("replica %s was given up while a member is silent", replica.Name)
				}
				pool.targets[replica.Members[2]].crashed = true
			}
			pool.run(formation, 15*time.Second, true)
			if open := pool.openByModel()["small"]; open != test.open {
				t.Errorf("%d replicas are open once the silent members are lost, want %d", open, test.open)
			}
		})
	}
}

// TestRivalIsNoSpareForTheReplicaThatItClaims guards against streams that are cut because a row
// of another writer claims a place in a replica while another member of it is silent: the head
// would be ordered to leave, to free the rival for the replica's repair.
func TestRivalIsNoSpareForTheReplicaThatItClaims(t *testing.T) {
	tests := []struct {
		name          string
		rank, silence int // places of the rival and of the silent member
	}{
		{"a member's place, the head is silent", 1, 0},
		{"a member's place, another member is silent", 1, 2},
		{"the head's place, a member is silent", 0, 1},
		{"the place of the silent member", 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, formation := newFormedPool(t, 6, 11)
			pool.run(formation, 3*time.Second, true)
			replica := formation.Assignments[0]
			for id, target := range pool.targets { // no other spare is left
				if target.Domain == replica.Domain && !slices.Contains(replica.Members, id) {
					target.crashed = true
				}
			}
			rival := &simulatedTarget{Target: pool.targets[replica.Members[test.rank]].Target, crashed: true, listed: true}
			rival.ID, rival.Address, rival.ListedSince = "a-rival", "nowhere", pool.now
			pool.targets[rival.ID] = rival
			silent := pool.targets[replica.Members[test.silence]]
			silent.unlisted, silent.absentSince = true, pool.now
			pool.orders, pool.orderedAt, pool.sent = nil, nil, nil
			pool.run(formation, time.Second, true)
			for _, order := range pool.sent {
				if order.Target.ID == rival.ID || slices.Contains(replica.Members, order.Target.ID) {
					t.Errorf("the order %v is sent", order)
				}
			}
		})
	}
}

// TestRowsThatClaimATakenPlaceAreIgnored guards against rows of another writer that are valid in
// every field and claim a place in a replica that exists: the replica would count as incomplete,
// or be closed to free the target for another one.
func TestRowsThatClaimATakenPlaceAreIgnored(t *testing.T) {
	tests := []struct {
		name string
		rank int
		took bool // another planner takes over
	}{
		{"another member's place", 2, false},
		{"the head's place", 0, false},
		{"another member's place, as a planner begins", 2, true},
		{"the head's place, as a planner begins", 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, formation := newFormedPool(t, 6, 11)
			pool.run(formation, 3*time.Second, true)
			replica := formation.Assignments[0]
			holder := pool.targets[replica.Members[test.rank]]
			rival := &simulatedTarget{Target: holder.Target, crashed: true, listed: true}
			rival.ID, rival.Address, rival.ListedSince = "a-rival", "nowhere", pool.now
			pool.targets[rival.ID] = rival
			var members []Target
			for _, target := range pool.view(true).Targets {
				if target.Membership.BelongsTo(replica.Name, replica.Epoch) {
					members = append(members, target)
				}
			}
			complete, rest := AssembleReplicas(members)
			if len(complete) != 1 || !complete[0].IsOpen(len(replica.Members)) || complete[0].Members[test.rank].ID != holder.ID || len(rest) != 1 || rest[0].ID != rival.ID {
				t.Errorf("assembled %v, and the rest is %v, want the replica without its rival", complete, rest)
			}
			if test.took {
				formation = NewFormation(pool.view(true), 1_000_000)
			}
			// The domain needs all its spares.
			for _, assignment := range formation.Assignments {
				if assignment.Domain == replica.Domain && assignment.Name != replica.Name {
					pool.targets[assignment.Members[1]].crashed = true
					pool.targets[assignment.Members[2]].crashed = true
				}
			}
			pool.orders, pool.orderedAt, pool.sent = nil, nil, nil
			pool.run(formation, 3*time.Second, true)
			pool.requireUntouched(replica)
			for _, order := range pool.sent {
				if order.Target.ID == rival.ID && order.Kind != OrderClose {
					t.Errorf("the order %v goes to the rival", order)
				}
			}
		})
	}
}

// TestInheritedReplicaOpens guards against a replica that an earlier planner formed and that stays
// closed, or whose members load again, after a change of the planner.
func TestInheritedReplicaOpens(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(pool *simulatedPool, member *simulatedTarget)
		within time.Duration
	}{
		{"all members are ready", func(*simulatedPool, *simulatedTarget) {}, time.Second},
		{"a member is slow", func(_ *simulatedPool, member *simulatedTarget) { member.State = TargetSlow }, time.Second},
		{"a member loads weights", func(pool *simulatedPool, member *simulatedTarget) {
			member.Membership.State, member.Staged, member.joinEnd = MemberJoining, nil, pool.now.Add(2*time.Second)
		}, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool, before := newSmallModelPool(t, 3)
			for _, spare := range before.free(pool.view(true), "d0", nil) {
				delete(pool.targets, spare.ID)
			}
			replica := before.Assignments[0]
			pool.targets[replica.Members[0]].Membership.State = MemberReady
			test.change(pool, pool.targets[replica.Members[1]])
			formation := NewFormation(pool.view(true), 1_000_000)
			pool.run(formation, test.within, true)
			if open := pool.openByModel()["small"]; open != 1 {
				t.Errorf("%d replicas are open after %s, want 1", open, test.within)
			}
		})
	}
}
