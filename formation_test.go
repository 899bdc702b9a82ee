package greengageroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

type (
	// rack is a pool of targets that obey orders, as the planner sees it.
	rack struct {
		t       *testing.T
		engine  *Engine
		targets map[string]*rackTarget
		now     time.Time
		orders  []TargetOrder // accepted, for assertions
		formed  map[string]Set[string]
	}

	// rackTarget is one target with its true state.
	rackTarget struct {
		Target
		dead     bool
		unlisted bool
		until    time.Time // when a join is done
	}
)

var rackEngine = &Engine{
	Slots: 26, StepsPerIteration: 6, StepTime: 6450 * time.Microsecond, StepTimePerSequence: 97 * time.Microsecond, PrefillRate: 56_100, PrefillChunk: 2048,
	MeanPromptTokens: 1115, MeanAnswerTokens: 152, LoadsPerSecond: 5.5, ConcurrentLoads: 8,
	Models: []EngineModel{
		{Name: "large", Size: 6, Share: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, StageTime: 1600 * time.Millisecond},
		{Name: "small", Size: 3, Share: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, StageTime: 1100 * time.Millisecond},
	},
}

func newRack(t *testing.T, domains, each int) *rack {
	rack := &rack{
		t: t, engine: rackEngine, targets: map[string]*rackTarget{}, now: time.Unix(1000, 0), formed: map[string]Set[string]{},
	}
	for domain := range domains {
		for place := range each {
			id := fmt.Sprintf("d%d-%02d", domain, place)
			rack.targets[id] = &rackTarget{Target: Target{
				ID: id, Pool: "llm", Domain: fmt.Sprintf("d%d", domain), State: TargetReady, StartUnixMilli: 1, ListedSince: rack.now.Add(-time.Minute),
			}}
		}
	}
	return rack
}

func (rack *rack) view(serving bool) PoolView {
	view := PoolView{
		Pool: "llm", Engine: rack.engine, Targets: map[string]Target{}, Absent: map[string]Target{},
		ClosedAt: map[string]time.Time{}, Now: rack.now, HasTraffic: serving,
	}
	for id, target := range rack.targets {
		if target.dead || target.unlisted {
			view.Absent[id] = target.Target
			if target.dead {
				view.ClosedAt[id] = rack.now
			}
			continue
		}
		view.Targets[id] = target.Target
	}
	return view
}

// obey carries an order out and checks what must hold on every pool.
func (rack *rack) obey(order TargetOrder) {
	target := rack.targets[order.Target.ID]
	if target.dead {
		return
	}
	rack.orders = append(rack.orders, order)
	member := target.Membership
	switch order.Kind {
	case OrderJoin:
		rack.join(target, order)
	case OrderOpen:
		if member.BelongsTo(order.Replica, order.Epoch) && member.State == MemberReady {
			rack.checkWhole(order)
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
	case OrderStage:
		target.Staged = []string{order.Model}
	}
}

func (rack *rack) join(target *rackTarget, order TargetOrder) {
	if target.Membership.Epoch > order.Epoch {
		return // refused: a newer epoch has been seen
	}
	if target.Membership.Replica != "" && !target.Membership.BelongsTo(order.Replica, order.Epoch) {
		for _, head := range rack.targets {
			serves := head.Membership.Rank == 0 && head.Membership.BelongsTo(target.Membership.Replica, target.Membership.Epoch)
			if serves && !head.dead && head.Membership.State == MemberOpen {
				rack.t.Errorf("%s joined %s at %d while %s headed %s open", target.ID, order.Replica, order.Epoch, head.ID, head.Membership.Replica)
			}
		}
	}
	took := 200 * time.Millisecond
	model, _ := rack.engine.Model(order.Model)
	switch {
	case target.Membership.Model == order.Model:
	case target.HasStaged(order.Model):
		took = model.StageTime
	default:
		took = model.LoadTime
	}
	target.until, target.Staged = rack.now.Add(took), []string{order.Model}
	target.Membership = Membership{
		Replica: order.Replica, Epoch: order.Epoch, Model: order.Model, State: MemberJoining,
		Rank: slices.Index(order.Members, target.ID),
	}
}

// checkWhole fails the test if a head opens whose members aren't all formed
// under the same name and epoch.
func (rack *rack) checkWhole(order TargetOrder) {
	whole := 0
	for id, target := range rack.targets {
		if target.Membership.BelongsTo(order.Replica, order.Epoch) && rack.formed[fmt.Sprint(order.Replica, order.Epoch)].Has(id) {
			whole++
		}
	}
	model, _ := rack.engine.Model(rack.targets[order.Target.ID].Membership.Model)
	if whole != model.Size {
		rack.t.Errorf("%s opened at %d with %d of %d members", order.Replica, order.Epoch, whole, model.Size)
	}
}

// advance lets time pass: joins that are due come to their end.
func (rack *rack) advance(length time.Duration) {
	rack.now = rack.now.Add(length)
	for id, target := range rack.targets {
		if !target.dead && target.Membership.State == MemberJoining && !target.until.After(rack.now) {
			target.Membership.State = MemberReady
			key := fmt.Sprint(target.Membership.Replica, target.Membership.Epoch)
			if rack.formed[key] == nil {
				rack.formed[key] = Set[string]{}
			}
			rack.formed[key].Add(id)
		}
	}
}

// run plans and obeys for a while.
func (rack *rack) run(formation *Formation, length time.Duration, serving bool) {
	for end := rack.now.Add(length); rack.now.Before(end); {
		rack.plan(formation, serving)
		rack.advance(100 * time.Millisecond)
	}
}

func (rack *rack) plan(formation *Formation, serving bool) {
	view := rack.view(serving)
	formation.Update(view)
	for _, order := range formation.Orders(view) {
		rack.obey(order)
	}
	for _, order := range slices.Concat(formation.StagingOrders(view, 4), formation.PreloadOrders(view)) {
		rack.obey(order)
	}
}

func (rack *rack) open() map[string]int {
	open := map[string]int{}
	for _, target := range rack.targets {
		if !target.dead && target.Membership.Rank == 0 && target.Membership.State == MemberOpen {
			open[target.Membership.Model]++
		}
	}
	return open
}

// formAll returns a rack whose replicas all serve.
func formAll(t *testing.T, domains, each int) (*rack, *Formation) {
	rack := newRack(t, domains, each)
	formation := NewFormation(rack.view(false), 1000)
	rack.run(formation, 20*time.Second, false)
	rack.orders = nil
	return rack, formation
}

func TestComposeDividesByShare(t *testing.T) {
	tests := []struct {
		name          string
		domains, each int
		large, small  int
	}{
		{"six domains of eleven", 6, 11, 6, 6},
		{"one domain of eleven", 1, 11, 1, 1},
		{"three domains of seven", 3, 7, 2, 2}, // 12 to 6 targets is closer to the shares than 6 to 12
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			counts := map[string]int{}
			for _, placement := range PlanPlacements(newRack(t, test.domains, test.each).view(false)) {
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
			rack, formation := formAll(t, 6, 11)
			place := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
			rack.targets[formation.Assignments[place].Members[test.rank]].dead = true
			rack.run(formation, 2500*time.Millisecond, true)
			if open := rack.open(); open["large"] != 6 || open["small"] != 6 {
				t.Errorf("2.5 s after the loss %v serve", open)
			}
			for _, order := range rack.orders {
				if order.Kind == OrderJoin && !order.Target.HasStaged("large") && order.Target.Membership.Model != "large" {
					t.Errorf("the order %v needs a load", order)
				}
			}
		})
	}
}

// A spare that has loaded its model beforehand takes a lost member's place as fast
// as the members that are left join again. A later planner leaves it as it is.
func TestWarmSpareTakesALostMembersPlaceAtOnce(t *testing.T) {
	rack, formation := formAll(t, 6, 11)
	rack.run(formation, 3*time.Second, true)
	if orders := formation.PreloadOrders(rack.view(true)); len(orders) > 0 {
		t.Errorf("spares are told again: %v", orders)
	}
	rack.orders = nil
	formation = NewFormation(rack.view(true), 2_000_000)
	rack.run(formation, time.Second, true)
	if len(formation.Assignments) != 12 || len(rack.orders) > 0 {
		t.Fatalf("the next planner has %d replicas and gives the orders %v", len(formation.Assignments), rack.orders)
	}
	place := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
	rack.targets[formation.Assignments[place].Members[3]].dead = true
	rack.run(formation, 700*time.Millisecond, true)
	if open := rack.open(); open["large"] != 6 || open["small"] != 6 {
		t.Errorf("0.7 s after the loss %v serve", open)
	}
}

// A slow member holds its whole replica up: a warm spare takes its place, and what
// runs on the replica is cut. Without a spare the replica serves on as it is.
func TestSlowMemberGivesWayToAWarmSpare(t *testing.T) {
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
			rack, formation := formAll(t, 6, 11)
			rack.run(formation, 3*time.Second, true)
			rack.orders = nil
			place := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
			members := formation.Assignments[place].Members
			for _, id := range members[:test.slow] {
				rack.targets[id].State = TargetSlow
			}
			rack.run(formation, 700*time.Millisecond, true)
			if open := rack.open(); open["large"] != 6 || open["small"] != 6 || len(rack.orders) > 0 != test.orders {
				t.Errorf("0.7 s later %v serve after the orders %v", open, rack.orders)
			}
			for _, order := range rack.orders {
				if order.Kind == OrderClose && !order.Immediate {
					t.Errorf("%v waits for streams on a slow replica", order)
				}
			}
		})
	}
}

// A replica that lacks one member has another that is slow: it keeps the slow one
// rather than end for want of a second spare.
func TestSlowMemberStaysWhereAnotherIsLost(t *testing.T) {
	rack, formation := formAll(t, 6, 11)
	rack.run(formation, 3*time.Second, true)
	place := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Model == "large" })
	members := formation.Assignments[place].Members
	for _, id := range members[:3] {
		rack.targets[id].State = TargetSlow
	}
	rack.targets[members[5]].dead = true
	rack.run(formation, 900*time.Millisecond, true)
	if open := rack.open(); open["large"] != 6 || open["small"] != 6 {
		t.Errorf("0.9 s after the loss %v serve", open)
	}
}

// An order to open that comes late finds the head of a replica whose other members
// have joined another: the head has left it (seed 30 of the random faults).
func TestLateOpenFindsNothingToOpen(t *testing.T) {
	rack, formation := formAll(t, 6, 11)
	rack.run(formation, 3*time.Second, true)
	assignment := formation.Assignments[0]
	rack.targets[assignment.Members[0]].State = TargetSlow
	rack.run(formation, time.Second, true)
	late := TargetOrder{Kind: OrderOpen, Target: rack.targets[assignment.Members[0]].Target, Replica: assignment.Name, Epoch: assignment.Epoch}
	rack.obeyLate(late)
	if member := rack.targets[assignment.Members[0]].Membership; member.State == MemberOpen {
		t.Errorf("the head that was replaced opens %+v again", member)
	}
}

// A head that was told to open a moment ago counts as open although the list
// doesn't show it yet (soak seed 141: a new planner opened a replica that it
// repaired a millisecond later).
func TestOpenOnItsWayIsClosedFirst(t *testing.T) {
	rack, formation := formAll(t, 6, 11)
	assignment := formation.Assignments[0]
	head := rack.targets[assignment.Members[0]]
	head.Membership.State = MemberReady // as the list still has it
	rack.targets[assignment.Members[2]].State = TargetLeaving
	view := rack.view(true)
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
	rack, formation := formAll(t, 1, 9) // one of each model, no spare
	rack.targets[formation.Assignments[0].Members[1]].State = TargetLeaving
	rack.run(formation, 2*time.Second, true)
	if open := rack.open(); open["large"] != 1 || open["small"] != 1 {
		t.Errorf("a replica was closed for a leaving member that nobody can replace: %v", open)
	}
}

// A zone that was cut off is listed again target by target. No member is taken
// before its head is known to serve no longer.
func TestDomainIsListedAgainOneByOne(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		rack, formation := formAll(t, 2, 11)
		var ids []string
		for id, target := range rack.targets {
			if target.Domain == "d0" {
				target.unlisted = true
				ids = append(ids, id)
			}
		}
		rack.run(formation, 5*time.Second, true)
		slices.Sort(ids)
		random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		for _, id := range ids {
			rack.targets[id].unlisted, rack.targets[id].ListedSince = false, rack.now
			rack.run(formation, 100*time.Millisecond, true)
		}
		rack.run(formation, 6*time.Second, true)
		if open := rack.open(); open["large"] != 2 {
			t.Errorf("seed %d: 6 s after the domain came back %v serve", seed, open)
		}
	}
}

func TestRebalanceLeavesSparesAndEnds(t *testing.T) {
	rack := newRack(t, 6, 11)
	formation := NewFormation(rack.view(false), 1000)
	for _, domain := range []string{"d0", "d1", "d2", "d3", "d4", "d5"} {
		for range 3 {
			formation.form(rack.view(false), rackEngine.Models[1], domain)
		}
	}
	first := len(formation.Update(rack.view(false)))
	for round := range 20 {
		if changed := formation.Update(rack.view(false)); len(changed) > 0 && round > 5 {
			t.Fatalf("round %d still changes %v (%d in the first)", round, changed, first)
		}
	}
	if covered := formation.covered(rackEngine); covered["large"] == 0 {
		t.Errorf("the large model has no replica: %v", covered)
	}
}

// Random losses, returns, restarts and changes of the planner, with orders that
// are lost, or carried out seconds later: whatever happens, no target joins a
// second replica while its first is open, and none opens without its members.
func TestFormationUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		playFaults(t, seed)
	}
}

// An order to join that the head doesn't get leaves it, closed, under the old epoch
// while its members join under the new one; an order to open of seconds before may
// then be carried out.
func TestFormationUnderRandomFaultsSeed860(t *testing.T) { playFaults(t, 860) }

// playFaults plays orders that are lost or come late, targets that die, vanish and
// turn slow, and planners that take over.
func playFaults(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	rack := newRack(t, 3, 11)
	formation := NewFormation(rack.view(false), 1000)
	var late []TargetOrder
	var dueAt []time.Time
	for round := range 300 {
		view := rack.view(round > 80)
		formation.Update(view)
		for _, order := range append(formation.Orders(view), formation.StagingOrders(view, 4)...) {
			switch {
			case random.Float64() < 0.1:
				late, dueAt = append(late, order), append(dueAt, rack.now.Add(time.Duration(2+random.IntN(10))*time.Second))
			case random.Float64() < 0.9:
				rack.obey(order)
			}
		}
		for i := 0; i < len(late); i++ {
			if !dueAt[i].After(rack.now) {
				rack.obeyLate(late[i])
				late, dueAt = slices.Delete(late, i, i+1), slices.Delete(dueAt, i, i+1)
				i--
			}
		}
		rack.disturb(random)
		rack.advance(100 * time.Millisecond)
		if random.Float64() < 0.02 {
			heads := formation.Heads(rack.view(true))
			formation = NewFormation(rack.view(true), uint64(round+2)*10_000)
			formation.RestoreHeads(heads)
		}
		if t.Failed() {
			t.Fatalf("seed %d, round %d", seed, round)
		}
	}
}

// obeyLate carries out an order that was given long ago. A join that comes late
// is the target's to refuse by its epoch; one that it can't refuse may take it
// out of its replica, which the operator's rule counts against whoever sent it
// only if the replica's head is open.
func (rack *rack) obeyLate(order TargetOrder) {
	if order.Kind == OrderJoin && rack.targets[order.Target.ID].Membership.Epoch >= order.Epoch {
		return
	}
	if order.Kind != OrderJoin {
		rack.obey(order)
	}
}

func (rack *rack) disturb(random *rand.Rand) {
	ids := make([]string, 0, len(rack.targets))
	for id := range rack.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	target := rack.targets[ids[random.IntN(len(ids))]]
	switch chance := random.Float64(); {
	case chance < 0.04:
		target.dead = true
	case chance < 0.08 && target.dead:
		// It comes back as a new start that knows nothing.
		target.dead, target.Membership, target.ListedSince = false, Membership{}, rack.now
		target.StartUnixMilli++
	case chance < 0.12:
		target.unlisted = true
	case chance < 0.30 && target.unlisted:
		target.unlisted, target.ListedSince = false, rack.now
	case chance < 0.33:
		target.State = TargetSlow
	case chance < 0.5 && target.State == TargetSlow:
		target.State = TargetReady
	}
}
