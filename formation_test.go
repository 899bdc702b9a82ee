package greengageroute

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

type (
	// simulatedPool is a pool of targets that carry out orders, as the planner sees it.
	simulatedPool struct {
		t       *testing.T
		engine  *Engine
		targets map[string]*simulatedTarget
		now     time.Time
		// hasTraffic is that of the last view: from then on loads take their full time.
		hasTraffic bool
		orders     []TargetOrder // orders carried out, for assertions
		orderedAt  []time.Time
		formed     map[string]Set[string]   // members that have formed, by replica and epoch
		heads      map[ReplicaKey]string    // as named by the orders to join
		lostAt     map[ReplicaKey]time.Time // when a member first accepted an order to leave
		// unansweredAt is when a crashed head last left an order to close or leave unanswered.
		unansweredAt map[ReplicaKey]time.Time
		busy         Set[string]   // targets with requests in progress
		sent         []TargetOrder // all orders, carried out or not
		demand       map[string]ModelDemand
	}

	// simulatedTarget is one target with its true state.
	simulatedTarget struct {
		Target
		crashed     bool
		unlisted    bool
		unknown     bool      // unlisted, and never seen by the planner
		listed      bool      // although it has crashed
		absentSince time.Time // zero: for longer than a target may be silent
		joinEnd     time.Time // when the join completes
		stageEnd    time.Time // when the staging completes
	}
)

var testEngine = &Engine{
	Slots: 26, StepsPerIteration: 6, StepTime: 6450 * time.Microsecond, StepTimePerSequence: 97 * time.Microsecond, PrefillRate: 56_100, PrefillChunk: 2048,
	MeanPromptTokens: 1115, MeanAnswerTokens: 152, LoadsPerSecond: 5.5, ConcurrentLoads: 8,
	Models: []EngineModel{
		{Name: "large", Size: 6, Share: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, StageTime: 1600 * time.Millisecond},
		{Name: "small", Size: 3, Share: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, StageTime: 1100 * time.Millisecond},
	},
}

func newSimulatedPool(t *testing.T, domains, perDomain int) *simulatedPool {
	pool := &simulatedPool{
		t: t, engine: testEngine, targets: map[string]*simulatedTarget{}, now: time.Unix(1000, 0), formed: map[string]Set[string]{}, heads: map[ReplicaKey]string{}, lostAt: map[ReplicaKey]time.Time{}, unansweredAt: map[ReplicaKey]time.Time{},
	}
	for domain := range domains {
		for index := range perDomain {
			id := fmt.Sprintf("d%d-%02d", domain, index)
			pool.targets[id] = &simulatedTarget{Target: Target{
				ID: id, Pool: "llm", Domain: fmt.Sprintf("d%d", domain), State: TargetReady, StartUnixMilli: 1, ListedSince: pool.now.Add(-time.Minute),
			}}
		}
	}
	return pool
}

func (pool *simulatedPool) view(hasTraffic bool) PoolView {
	pool.hasTraffic = hasTraffic
	view := PoolView{
		Pool: "llm", Engine: pool.engine, Targets: map[string]Target{}, Absent: map[string]Target{},
		ClosedAt: map[ReplicaKey]time.Time{}, Now: pool.now, HasTraffic: hasTraffic,
		AbsentSince: map[string]time.Time{}, SuspectedHeads: map[ReplicaKey]bool{}, UnansweredAt: maps.Clone(pool.unansweredAt), MemberLostAt: maps.Clone(pool.lostAt), StallTimeout: 6 * time.Second,
		Busy: pool.busy, Demand: pool.demand,
	}
	for id, target := range pool.targets {
		if target.unknown {
			continue
		}
		if (target.crashed || target.unlisted) && !target.listed {
			view.Absent[id], view.AbsentSince[id] = target.Target, target.absentSince
			continue
		}
		view.Targets[id] = target.Target
	}
	for key, id := range pool.heads {
		if head, known := pool.targets[id]; known && head.crashed {
			view.SuspectedHeads[key] = true
		}
	}
	return view
}

// apply carries out an order and checks the rules that hold for every pool.
func (pool *simulatedPool) apply(order TargetOrder) {
	target := pool.targets[order.Target.ID]
	pool.sent = append(pool.sent, order)
	if target.crashed {
		if order.Kind == OrderLeave || order.Kind == OrderClose {
			pool.unansweredAt[order.Key()] = pool.now
		}
		return
	}
	pool.orders, pool.orderedAt = append(pool.orders, order), append(pool.orderedAt, pool.now)
	member := target.Membership
	switch order.Kind {
	case OrderJoin:
		pool.join(target, order)
	case OrderOpen:
		if member.BelongsTo(order.Replica, order.Epoch) && member.State == MemberReady {
			pool.checkFormed(order)
			target.Membership.State = MemberOpen
		}
	case OrderClose:
		if member.BelongsTo(order.Replica, order.Epoch) && member.State == MemberOpen {
			target.Membership.State = MemberReady
		}
	case OrderLeave:
		if member.BelongsTo(order.Replica, order.Epoch) {
			target.Membership = Membership{}
		}
		pool.recordLost(order.Key())
	case OrderStage:
		model, _ := pool.engine.Model(order.Model)
		loadTime := model.LoadTime
		if !pool.hasTraffic {
			loadTime /= 10
		}
		target.Staging, target.stageEnd = order.Model, pool.now.Add(loadTime)
	}
}

func (pool *simulatedPool) join(target *simulatedTarget, order TargetOrder) {
	if target.Membership.Epoch > order.Epoch {
		return // refused: a newer epoch has been seen
	}
	if target.Membership.Replica != "" && !target.Membership.BelongsTo(order.Replica, order.Epoch) {
		for _, head := range pool.targets {
			isHead := head.Membership.Rank == 0 && head.Membership.BelongsTo(target.Membership.Replica, target.Membership.Epoch)
			if isHead && !head.crashed && head.Membership.State == MemberOpen {
				pool.t.Errorf("target %s joined %s at epoch %d while %s was the open head of its replica %s", target.ID, order.Replica, order.Epoch, head.ID, head.Membership.Replica)
			}
		}
	}
	joinTime := 200 * time.Millisecond
	model, _ := pool.engine.Model(order.Model)
	switch {
	case target.Membership.Model == order.Model && target.Membership.State != MemberJoining:
	case target.HasStaged(order.Model):
		joinTime = model.StageTime
	default:
		joinTime = model.LoadTime
		if !pool.hasTraffic {
			joinTime /= 10
		}
	}
	target.joinEnd = pool.now.Add(joinTime)
	pool.recordLost(target.Membership.key())
	pool.heads[ReplicaKey{order.Replica, order.Epoch}] = order.Members[0]
	target.Membership = Membership{
		Replica: order.Replica, Epoch: order.Epoch, Model: order.Model, State: MemberJoining,
		Rank: slices.Index(order.Members, target.ID),
	}
}

func (pool *simulatedPool) recordLost(key ReplicaKey) {
	if _, known := pool.lostAt[key]; !known && key.Name != "" {
		pool.lostAt[key] = pool.now
	}
}

// checkFormed fails the test if a head opens before all of its members have formed
// under the same name and epoch.
func (pool *simulatedPool) checkFormed(order TargetOrder) {
	formed := 0
	for id, target := range pool.targets {
		if target.Membership.BelongsTo(order.Replica, order.Epoch) && pool.formed[fmt.Sprint(order.Replica, order.Epoch)].Has(id) {
			formed++
		}
	}
	model, _ := pool.engine.Model(pool.targets[order.Target.ID].Membership.Model)
	if formed != model.Size {
		pool.t.Errorf("%s opened at %d with %d of %d members", order.Replica, order.Epoch, formed, model.Size)
	}
}

// advance moves the clock forward and completes the joins that are due.
func (pool *simulatedPool) advance(length time.Duration) {
	pool.now = pool.now.Add(length)
	for id, target := range pool.targets {
		if !target.crashed && target.Staging != "" && !target.stageEnd.After(pool.now) {
			target.Staged, target.Staging = []string{target.Staging}, ""
		}
		if !target.crashed && target.Membership.State == MemberJoining && !target.joinEnd.After(pool.now) {
			target.Membership.State, target.Staged = MemberReady, []string{target.Membership.Model}
			key := fmt.Sprint(target.Membership.Replica, target.Membership.Epoch)
			if pool.formed[key] == nil {
				pool.formed[key] = Set[string]{}
			}
			pool.formed[key].Add(id)
		}
	}
}

// run plans and carries out orders for the given time.
func (pool *simulatedPool) run(formation *Formation, length time.Duration, hasTraffic bool) {
	for end := pool.now.Add(length); pool.now.Before(end); {
		pool.plan(formation, hasTraffic)
		pool.advance(100 * time.Millisecond)
	}
}

func (pool *simulatedPool) plan(formation *Formation, hasTraffic bool) {
	view := pool.view(hasTraffic)
	formation.Update(view)
	for _, order := range formation.Orders(view) {
		pool.apply(order)
	}
	for _, order := range slices.Concat(formation.StagingOrders(view, 4), formation.PreloadOrders(view)) {
		pool.apply(order)
	}
}

func (pool *simulatedPool) openByModel() map[string]int {
	heads := map[string]int{}
	for _, target := range pool.targets {
		if !target.crashed && target.Membership.Rank == 0 && target.Membership.State == MemberOpen {
			heads[target.Membership.Model]++
		}
	}
	return heads
}

// newFormedPool returns a pool whose replicas are all open.
func newFormedPool(t *testing.T, domains, perDomain int) (*simulatedPool, *Formation) {
	pool := newSimulatedPool(t, domains, perDomain)
	formation := NewFormation(pool.view(false), 1000)
	pool.run(formation, 20*time.Second, false)
	pool.orders, pool.orderedAt = nil, nil
	return pool, formation
}

func TestPlanPlacementsDividesByShare(t *testing.T) {
	tests := []struct {
		name               string
		domains, perDomain int
		large, small       int
	}{
		{"six domains of eleven", 6, 11, 6, 6},
		{"one domain of eleven", 1, 11, 1, 1},
		{"three domains of seven", 3, 7, 2, 2}, // 12 to 6 targets is closer to the shares than 6 to 12
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			counts := map[string]int{}
			for _, placement := range PlanPlacements(newSimulatedPool(t, test.domains, test.perDomain).view(false)) {
				counts[placement.Model.Name]++
			}
			if counts["large"] != test.large || counts["small"] != test.small {
				t.Errorf("got %v, want %d large and %d small", counts, test.large, test.small)
			}
		})
	}
}

func TestLostMemberIsReplacedByStagedSpare(t *testing.T) {
	tests := []struct {
		name string
		rank int
	}{
		{"the head is lost", 0},
		{"another member is lost", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, formation := newFormedPool(t, 6, 11)
			index := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
			pool.targets[formation.Assignments[index].Members[test.rank]].crashed = true
			pool.run(formation, 2500*time.Millisecond, true)
			if serving := pool.openByModel(); serving["large"] != 6 || serving["small"] != 6 {
				t.Errorf("2.5 s after the loss the open replicas are %v, want 6 of each model", serving)
			}
			for _, order := range pool.orders {
				if order.Kind == OrderJoin && !order.Target.HasStaged("large") && order.Target.Membership.Model != "large" {
					t.Errorf("the order %v makes a target load weights that are not staged", order)
				}
			}
		})
	}
}

// A spare that has preloaded its model replaces a lost member as fast as the
// remaining members join again. The next planner leaves the spare as it is.
func TestPreloadedSpareReplacesLostMember(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	if orders := formation.PreloadOrders(pool.view(true)); len(orders) > 0 {
		t.Errorf("preloaded spares got orders again: %v", orders)
	}
	pool.orders, pool.orderedAt = nil, nil
	formation = NewFormation(pool.view(true), 2_000_000)
	pool.run(formation, time.Second, true)
	if len(formation.Assignments) != 12 || len(pool.orders) > 0 {
		t.Fatalf("the next planner has %d replicas, want 12, and sent the orders %v, want none", len(formation.Assignments), pool.orders)
	}
	index := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
	pool.targets[formation.Assignments[index].Members[3]].crashed = true
	pool.run(formation, 700*time.Millisecond, true)
	if serving := pool.openByModel(); serving["large"] != 6 || serving["small"] != 6 {
		t.Errorf("0.7 s after the loss the open replicas are %v, want 6 of each model", serving)
	}
}

// A slow member delays its whole replica, so a preloaded spare replaces it and the
// requests running on the replica are aborted. Without a spare the replica keeps
// serving as it is.
func TestPreloadedSpareReplacesSlowMember(t *testing.T) {
	tests := []struct {
		name   string
		slow   int // members of one replica
		orders bool
	}{
		{"one of six", 1, true},
		{"more than the domain has spares", 4, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool, formation := newFormedPool(t, 6, 11)
			pool.run(formation, 3*time.Second, true)
			pool.orders, pool.orderedAt = nil, nil
			index := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
			members := formation.Assignments[index].Members
			for _, id := range members[:test.slow] {
				pool.targets[id].State = TargetSlow
			}
			pool.run(formation, 700*time.Millisecond, true)
			if serving := pool.openByModel(); serving["large"] != 6 || serving["small"] != 6 || len(pool.orders) > 0 != test.orders {
				t.Errorf("0.7 s later the open replicas are %v, want 6 of each model; the orders were %v", serving, pool.orders)
			}
			for _, order := range pool.orders {
				if order.Kind == OrderClose && !order.Immediate {
					t.Errorf("the order %v waits for the streams of a slow replica", order)
				}
			}
		})
	}
}

// A replica has slow members and loses another one. It keeps the slow ones:
// the spares are too few to replace all of them, and the replica would be dissolved.
func TestSlowMemberStaysWhereAnotherIsLost(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	index := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
	members := formation.Assignments[index].Members
	for _, id := range members[:3] {
		pool.targets[id].State = TargetSlow
	}
	pool.targets[members[5]].crashed = true
	pool.run(formation, 900*time.Millisecond, true)
	if serving := pool.openByModel(); serving["large"] != 6 || serving["small"] != 6 {
		t.Errorf("0.9 s after the loss the open replicas are %v, want 6 of each model", serving)
	}
}

// An order to open arrives late, at the head of a replica whose other members have
// joined another one. The head has to have left the replica by then, or it opens
// without its members (seed 30 of TestFormationUnderRandomFaults).
func TestDelayedOpenOrderHasNoEffect(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	assignment := formation.Assignments[0]
	pool.targets[assignment.Members[0]].State = TargetSlow
	pool.run(formation, time.Second, true)
	delayed := TargetOrder{Kind: OrderOpen, Target: pool.targets[assignment.Members[0]].Target, Replica: assignment.Name, Epoch: assignment.Epoch}
	pool.applyDelayed(delayed)
	if member := pool.targets[assignment.Members[0]].Membership; member.State == MemberOpen {
		t.Errorf("a delayed order opened the replaced head again: %+v", member)
	}
}

// A head that was sent an order to open a moment ago counts as open although the
// list doesn't show it yet. Otherwise its members join another replica while it is
// open: a new planner opened a replica and repaired it a millisecond later (soak
// seed 141).
func TestPendingOpenIsClosedFirst(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	assignment := formation.Assignments[0]
	head := pool.targets[assignment.Members[0]]
	head.Membership.State = MemberReady // as the list still shows
	pool.targets[assignment.Members[2]].State = TargetLeaving
	view := pool.view(true)
	view.PendingOpens = map[string]ReplicaKey{head.ID: {assignment.Name, assignment.Epoch}}
	if changed := formation.Update(view); len(changed) != 1 {
		t.Fatalf("the replica was not repaired: %v", changed)
	}
	orders := formation.Orders(view)
	if len(orders) != 1 || orders[0].Kind != OrderClose || orders[0].Target.ID != head.ID {
		t.Errorf("got the orders %v, want the head closed", orders)
	}
}

func TestLeavingMemberServesOnWithoutStagedSubstitute(t *testing.T) {
	pool, formation := newFormedPool(t, 1, 9) // one of each model, no spare
	pool.targets[formation.Assignments[0].Members[1]].State = TargetLeaving
	pool.run(formation, 2*time.Second, true)
	if serving := pool.openByModel(); serving["large"] != 1 || serving["small"] != 1 {
		t.Errorf("a replica was closed for a leaving member that no spare can replace; open replicas: %v", serving)
	}
}

// The targets of a domain that was cut off are listed again one by one. No member
// is moved to another replica before its head is known to have stopped serving.
func TestDomainIsListedAgainOneByOne(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		pool, formation := newFormedPool(t, 2, 11)
		var ids []string
		for id, target := range pool.targets {
			if target.Domain == "d0" {
				target.unlisted = true
				ids = append(ids, id)
			}
		}
		pool.run(formation, 5*time.Second, true)
		slices.Sort(ids)
		random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range ids {
			pool.targets[id].unlisted, pool.targets[id].ListedSince = false, pool.now
			pool.run(formation, 100*time.Millisecond, true)
		}
		pool.run(formation, 6*time.Second, true)
		if serving := pool.openByModel(); serving["large"] != 2 {
			t.Errorf("seed %d: 6 s after the domain is listed again the open replicas are %v, want 2 large", seed, serving)
		}
	}
}

func TestRebalanceLeavesSparesAndEnds(t *testing.T) {
	pool := newSimulatedPool(t, 6, 11)
	formation := NewFormation(pool.view(false), 1000)
	for _, domain := range []string{"d0", "d1", "d2", "d3", "d4", "d5"} {
		for range 3 {
			formation.form(pool.view(false), testEngine.Models[1], domain)
		}
	}
	first := len(formation.Update(pool.view(false)))
	for round := range 20 {
		if changed := formation.Update(pool.view(false)); len(changed) > 0 && round > 5 {
			t.Fatalf("round %d still changes assignments: %v (%d changed in the first round)", round, changed, first)
		}
	}
	if targets := formation.targetsByModel(testEngine); targets["large"] == 0 {
		t.Errorf("the large model has no replica: %v", targets)
	}
}

// TestDissolvedReplicasAreNotFormedAgain guards against a planner that dissolves a replica for a model
// that has none, and forms it again from the same targets, round after round.
func TestDissolvedReplicasAreNotFormedAgain(t *testing.T) {
	pool, formation := newFormedPool(t, 1, 11)
	large := formation.Assignments[slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })]
	for _, id := range large.Members[2:] {
		pool.targets[id].crashed = true
	}
	assigned := 0
	for range 300 {
		changed := formation.Update(pool.view(true))
		assigned += len(changed)
		for _, order := range formation.Orders(pool.view(true)) {
			pool.apply(order)
		}
		pool.advance(100 * time.Millisecond)
	}
	if assigned > 3 {
		t.Errorf("%d replicas were assigned in 30 s, want 3 at most", assigned)
	}
	if serving := pool.openByModel(); serving["large"] != 1 {
		t.Errorf("30 s after the loss the open replicas are %v, want 1 large", serving)
	}
}

// TestWeightsOfALostModelAreKept guards against a model whose targets return and have to load its weights, as
// those that were left staged another model meanwhile.
func TestWeightsOfALostModelAreKept(t *testing.T) {
	pool, formation := newFormedPool(t, 1, 11)
	large := formation.Assignments[slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })]
	lost := slices.Clone(large.Members[3:])
	for _, spare := range formation.free(pool.view(true), "d0", nil) {
		lost = append(lost, spare.ID)
	}
	for _, id := range lost {
		pool.targets[id].crashed = true
	}
	pool.run(formation, 15*time.Second, true)
	for _, id := range lost {
		target := pool.targets[id]
		target.crashed, target.Membership, target.ListedSince = false, Membership{}, pool.now
		target.StartUnixMilli++
	}
	pool.run(formation, 4*time.Second, true)
	if serving := pool.openByModel(); serving["large"] != 1 {
		t.Errorf("4 s after the return the open replicas are %v, want 1 large", serving)
	}
}

// TestAssignmentsSettle guards against a planner that goes on changing replicas although it learns
// nothing new, whatever was lost.
func TestAssignmentsSettle(t *testing.T) {
	const rounds = 12
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		pool, formation := newFormedPool(t, 1+random.IntN(3), 5+random.IntN(8))
		ids := slices.Sorted(maps.Keys(pool.targets))
		for range 1 + random.IntN(len(ids)) {
			target := pool.targets[ids[random.IntN(len(ids))]]
			switch random.IntN(6) {
			case 0, 1, 2:
				target.crashed = true
			case 3:
				target.unlisted = true
			case 4:
				target.State = TargetLeaving
			case 5:
				target.Staged, target.Membership = []string{testEngine.Models[random.IntN(2)].Name}, Membership{}
			}
		}
		view := pool.view(random.IntN(4) > 0)
		var changed []Assignment
		for range rounds {
			changed = formation.Update(view)
		}
		if len(changed) > 0 {
			t.Errorf("seed %d: round %d of the same view still assigns %v", seed, rounds, changed)
		}
	}
}

// Random losses, returns, restarts and changes of the planner, with orders that are
// lost or carried out seconds later. Throughout, no target joins a second replica
// while its first is open, and no replica opens without all of its members.
func TestFormationUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		runRandomFaults(t, seed)
	}
}

// The head's order to join is lost, so the head stays closed under the old epoch
// while its members join under the new one. A delayed order to open then opens it
// under the old epoch without them.
func TestFormationUnderRandomFaultsSeed860(t *testing.T) { runRandomFaults(t, 860) }

// A closed head is still in its replica, and the order to open it again may be
// delayed, so its members are sent nothing before it has left.
func TestHeadLeavesReplicaBeforeItsMembers(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	pool.run(formation, 3*time.Second, true)
	assignment := formation.Assignments[0]
	head := pool.targets[assignment.Members[0]]
	head.Membership.State = MemberReady
	pool.targets[assignment.Members[2]].crashed = true
	view := pool.view(true)
	formation.Update(view)
	orders := formation.Orders(view)
	if len(orders) != 1 || orders[0].Kind != OrderJoin || orders[0].Target.ID != head.ID {
		t.Errorf("got the orders %v, want only the head to join under the new epoch", orders)
	}
	view.Left = map[string]ReplicaKey{head.ID: {assignment.Name, assignment.Epoch}}
	if orders := formation.Orders(view); len(orders) != len(assignment.Members) {
		t.Errorf("after the head left the orders are %v, want one for each member", orders)
	}
	// A head that is broken, or still joins, can't be opened by an order of before.
	for _, state := range []MemberState{MemberBroken, MemberJoining} {
		head.Membership.State = state
		if orders := formation.Orders(pool.view(true)); len(orders) != len(assignment.Members) {
			t.Errorf("of a head that is %s the orders are %v, want one for each member", state, orders)
		}
	}
}

// Two members of a replica know its absent head under different epochs. Each epoch has its own
// order to the head to leave, and only the member of the epoch that the head no longer has is released.
func TestHeadIsClosedUnderEachEpoch(t *testing.T) {
	pool, formation := newFormedPool(t, 6, 11)
	assignment := formation.Assignments[0]
	older, newer := ReplicaKey{assignment.Name, assignment.Epoch}, ReplicaKey{assignment.Name, assignment.Epoch + 1}
	pool.targets[assignment.Members[0]].unlisted = true
	for _, id := range assignment.Members[2:] {
		pool.targets[id].Membership.Epoch++
	}
	formation.heads[newer] = assignment.Members[0]
	formation.lastEpoch++
	view := pool.view(true)
	formation.Update(view)
	closes := map[ReplicaKey]bool{}
	for _, order := range formation.Orders(view) {
		if order.Kind == OrderJoin && order.Target.Membership.Replica == assignment.Name {
			t.Errorf("the order %v takes a member from a head that may be open", order)
		}
		if order.Kind == OrderLeave && order.Target.ID == assignment.Members[0] {
			closes[ReplicaKey{order.Replica, order.Epoch}] = true
		}
	}
	if !closes[older] || !closes[newer] {
		t.Errorf("the head is ordered to leave under %v, want both epochs", closes)
	}
	view.ClosedAt[older] = pool.now
	if member := pool.targets[assignment.Members[1]]; formation.constraintOf(member.Target, "", view).mustStay {
		t.Error("the member of the closed epoch isn't released")
	}
	if member := pool.targets[assignment.Members[2]]; !formation.constraintOf(member.Target, "", view).mustStay {
		t.Error("a member of the epoch that may be open is released")
	}
}

// runRandomFaults runs a pool in which orders are lost or delayed, targets crash,
// vanish from the list and turn slow, and new planners take over.
func runRandomFaults(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	pool := newSimulatedPool(t, 3, 11)
	formation := NewFormation(pool.view(false), 1000)
	var delayed []TargetOrder
	var dueAt []time.Time
	for round := range 300 {
		view := pool.view(round > 80)
		formation.Update(view)
		for _, order := range append(formation.Orders(view), formation.StagingOrders(view, 4)...) {
			switch {
			case random.Float64() < 0.1:
				delayed, dueAt = append(delayed, order), append(dueAt, pool.now.Add(time.Duration(2+random.IntN(10))*time.Second))
			case random.Float64() < 0.9:
				pool.apply(order)
			}
		}
		for i := 0; i < len(delayed); i++ {
			if !dueAt[i].After(pool.now) {
				pool.applyDelayed(delayed[i])
				delayed, dueAt = slices.Delete(delayed, i, i+1), slices.Delete(dueAt, i, i+1)
				i--
			}
		}
		pool.injectFault(random)
		pool.advance(100 * time.Millisecond)
		if random.Float64() < 0.02 {
			heads := formation.Heads(pool.view(true))
			formation = NewFormation(pool.view(true), uint64(round+2)*10_000)
			formation.RestoreHeads(heads)
		}
		if t.Failed() {
			t.Fatalf("seed %d, round %d", seed, round)
		}
	}
}

// applyDelayed carries out an order that was sent long ago. A target refuses a
// delayed join by its epoch. A join that it can't refuse may take it out of its
// replica; the operator counts that against the sender only if the replica's head
// is open, so it is left out here.
func (pool *simulatedPool) applyDelayed(order TargetOrder) {
	if order.Kind == OrderJoin && pool.targets[order.Target.ID].Membership.Epoch >= order.Epoch {
		return
	}
	if order.Kind != OrderJoin {
		pool.apply(order)
	}
}

func (pool *simulatedPool) injectFault(random *rand.Rand) {
	ids := make([]string, 0, len(pool.targets))
	for id := range pool.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	target := pool.targets[ids[random.IntN(len(ids))]]
	switch chance := random.Float64(); {
	case chance < 0.04:
		target.crashed = true
	case chance < 0.08 && target.crashed:
		// The target restarts and has lost its state.
		target.crashed, target.Membership, target.Staging, target.ListedSince = false, Membership{}, "", pool.now
		target.StartUnixMilli++
	case chance < 0.12:
		target.unlisted = true
	case chance < 0.30 && target.unlisted:
		target.unlisted, target.ListedSince = false, pool.now
	case chance < 0.33:
		target.State = TargetSlow
	case chance < 0.5 && target.State == TargetSlow:
		target.State = TargetReady
	}
}

// BenchmarkPlanLargeFleet plans a round for 875 targets in 25 domains whose replicas
// are open, after the loss of a member.
func BenchmarkPlanLargeFleet(b *testing.B) {
	pool := newSimulatedPool(nil, 25, 35)
	formation := NewFormation(pool.view(false), 1000)
	pool.run(formation, 20*time.Second, false)
	pool.run(formation, 3*time.Second, true)
	lost := pool.targets[formation.Assignments[3].Members[1]]
	for b.Loop() {
		lost.crashed = !lost.crashed
		view := pool.view(true).Indexed()
		formation.Update(view)
		formation.Orders(view)
		formation.Heads(view)
		formation.StagingOrders(view, 4)
		formation.PreloadOrders(view)
	}
}

// newSmallModelPool returns a domain whose replicas, all of the small model, are open.
func newSmallModelPool(t *testing.T, targets int) (*simulatedPool, *Formation) {
	pool := newSimulatedPool(t, 1, targets)
	engine := *testEngine
	engine.Models = testEngine.Models[1:]
	pool.engine = &engine
	formation := NewFormation(pool.view(false), 1000)
	pool.run(formation, 20*time.Second, false)
	return pool, formation
}

// Members are lost one after the other in a domain whose spares are used up, while
// newcomers load weights. Two replicas that each wait for a newcomer make one complete
// replica out of their members.
func TestWaitingReplicasAreMerged(t *testing.T) {
	pool, formation := newSmallModelPool(t, 10)
	delete(pool.targets, formation.free(pool.view(false), "d0", nil)[0].ID)
	if open := pool.openByModel()["small"]; open != 3 {
		t.Fatalf("%d replicas are open, want 3", open)
	}
	for index := range 2 {
		id := fmt.Sprint("new-", index)
		pool.targets[id] = &simulatedTarget{Target: Target{ID: id, Pool: "llm", Domain: "d0", State: TargetReady, StartUnixMilli: 1, ListedSince: pool.now.Add(-time.Minute)}}
	}
	for index := range 2 {
		pool.targets[formation.Assignments[0].Members[1]].crashed = true
		pool.run(formation, 3*time.Second, true)
		if open := pool.openByModel()["small"]; open != 2 {
			t.Errorf("3 s after loss %d, %d replicas are open, want 2", index+1, open)
		}
	}
}

// A member that is cut off from the list is replaced by a target that loads weights,
// and comes back long before the load ends. The replica takes it back at once.
func TestReturnedTargetEndsTheWaitForALoad(t *testing.T) {
	pool, formation := newSmallModelPool(t, 7)
	spare := formation.free(pool.view(false), "d0", nil)[0].ID
	pool.targets[spare].Staged, pool.targets[spare].Membership = nil, Membership{}
	cutOff := pool.targets[formation.Assignments[0].Members[1]]
	cutOff.unlisted, cutOff.Membership = true, Membership{Model: "small"}
	pool.run(formation, 4*time.Second, true)
	if open := pool.openByModel()["small"]; open != 1 {
		t.Errorf("%d replicas are open while a member loads, want 1", open)
	}
	cutOff.unlisted, cutOff.ListedSince = false, pool.now
	pool.run(formation, 2*time.Second, true)
	if open := pool.openByModel()["small"]; open != 2 {
		t.Errorf("2 s after the member is listed again %d replicas are open, want 2", open)
	}
}

// TestFormationIgnoresInvalidMemberships guards against a planner that panics on a target
// with an epoch or a rank that no order has given.
func TestFormationIgnoresInvalidMemberships(t *testing.T) {
	tests := []struct {
		name  string
		epoch uint64
		rank  int
	}{
		{"no epoch", 0, 1},
		{"no epoch and rank", 0, 0},
		{"a negative rank", 7, -3},
		{"the lowest rank", 7, math.MinInt},
		{"a rank past the size", 7, 6},
		{"the highest rank", 7, math.MaxInt},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := newSimulatedPool(t, 1, 6)
			for _, target := range pool.targets {
				target.Membership = Membership{Replica: "g7", Epoch: test.epoch, Rank: test.rank, Model: "large", State: MemberReady}
			}
			if formation := NewFormation(pool.view(true), 0); len(formation.Assignments) > 0 {
				t.Errorf("adopted %v, want no assignment", formation.Assignments)
			}
		})
	}
}
