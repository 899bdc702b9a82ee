package control

import (
	"context"
	"errors"
	"expvar"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

// What becomes of the orders of a planning round.
const (
	fateAnswered fate = iota // carried out and answered
	fateUnheard              // carried out, and the response is lost
	fateLost
	fateLate // not answered, and carried out by a later event
)

const (
	modelStall   = 6 * time.Second
	modelAdvance = 4 * time.Second // more than a silence, less than the time in which a head breaks
	modelRound   = time.Second     // between two rounds
	// modelHeartbeats is after which a target that reaches the store has written its row again.
	modelHeartbeats = 8 * time.Second
	// modelSuspension is the longest suspension.
	modelSuspension = 20 * time.Second
	// Times of joins and orders to open, as long as a round or longer.
	modelJoinTime      = 1600 * time.Millisecond
	modelFormationTime = 1500 * time.Millisecond
)

var (
	sequences     = flag.Uint64("sequences", 200, "random sequences of events to follow")
	firstSequence = flag.Uint64("first-sequence", 1, "seed of the first sequence")
)

type (
	fate int

	// modelClock is a clock that the model sets.
	modelClock struct{ now time.Time }

	// modelTarget is the true state of a target.
	modelTarget struct {
		greengageroute.Target
		members   []string // of its replica
		former    []modelReplica
		silent    bool
		suspended time.Time // since when it is silent and its clock stands still; zero if it isn't
		unlisted  bool
		earlier   *greengageroute.Target  // the row before the last one
		rows      []greengageroute.Target // all that were written
		published time.Time               // when the last row was written
		stalledAt time.Time               // of a head that serves and lacks a member
		seenEpoch uint64
		readyAt   time.Time // when its join ends; zero if none is under way
		opensAt   time.Time // when it opens after an order; zero if it had none
		accepted  uint64    // orders that began something since the start
	}

	// modelReplica is a replica that a target was a member of.
	modelReplica struct {
		key     greengageroute.ReplicaKey
		members []string
	}

	// modelWorld is a planner, its view, and targets with their true states.
	modelWorld struct {
		clock      *modelClock
		directory  *Directory
		planner    *Planner
		before     *Planner // the planner that had the lease before
		formation  *greengageroute.Formation
		engine     *greengageroute.Engine
		targets    map[string]*modelTarget
		everReady  map[string]bool // by target and replica
		late       []greengageroute.TargetOrder
		store      *fakeStore
		revision   uint64
		era        uint64 // of the store
		fence      uint64
		fate       fate
		used       map[string]int // how often each limited event has happened
		repeats    int            // how many times as often as usual it may happen
		violations []string
		troubled   []string // ids of the targets that fall silent
		guard      modelGuard
		heads      []greengageroute.ReplicaHead // known from before
		afterRows  func()                       // changes targets after the rows were written
		prelude    int                          // rounds, each with its rows, before the first event
		takesTime  bool                         // joins and orders to open and close take time, and targets restart
		// refusesForming has heads refuse other orders to open and close between an order to open
		// and its end.
		refusesForming bool
	}

	// modelGuard switches off one of the planner's guards, as a test does it from outside.
	modelGuard struct {
		name       string
		events     []string                // the only ones, by prefix; nil: all
		stall      time.Duration           // that the planner believes in; 0: the true one
		afterRound func(world *modelWorld) // changes what the planner has recorded
		beforePlan func(world *modelWorld, view *greengageroute.PoolView)
		// unchecked has joins sent without a look at the targets' state, which prevents some of the
		// same faults.
		unchecked bool
	}

	// modelEvent is something that may happen next.
	modelEvent struct {
		name string
		run  func(world *modelWorld)
	}
)

func (clock *modelClock) Now() time.Time { return clock.now }

func newModelWorld(guard modelGuard, build func(world *modelWorld)) *modelWorld {
	world := &modelWorld{
		clock: &modelClock{now: time.Unix(1000, 0)}, targets: map[string]*modelTarget{}, everReady: map[string]bool{}, used: map[string]int{}, repeats: 1, troubled: []string{"a", "b"}, guard: guard,
		engine: &greengageroute.Engine{LoadsPerSecond: 10, ConcurrentLoads: 10, Models: []greengageroute.EngineModel{{Name: "m", Size: 2, Share: 1}, {Name: "n", Size: 9, Share: 0.01}}},
		store:  newFakeStore(),
	}
	world.directory = NewDirectory(world.clock)
	build(world)
	for _, id := range slices.Sorted(maps.Keys(world.targets)) {
		world.publish(id)
	}
	if world.afterRows != nil {
		world.afterRows()
	}
	world.clock.now = world.clock.now.Add(time.Minute)
	world.replacePlanner()
	world.guard = modelGuard{stall: guard.stall, unchecked: guard.unchecked}
	for range world.prelude {
		world.plan(fateAnswered)
		world.publishAll()
	}
	world.guard = guard
	return world
}

// add adds a target that is a member of a replica, or of none.
func (world *modelWorld) add(id, replica string, epoch uint64, rank int, state greengageroute.MemberState, members ...string) {
	target := &modelTarget{Target: greengageroute.Target{ID: id, Pool: "llm", Domain: "d0", Address: id, State: greengageroute.TargetReady, StartUnixMilli: 1, Staged: []string{"n"}}}
	if replica != "" {
		target.Membership = greengageroute.Membership{Replica: replica, Epoch: epoch, Model: "m", Rank: rank, State: state}
		target.members, target.seenEpoch = members, epoch
		world.everReady[fmt.Sprint(id, replica, epoch)] = true
	}
	world.targets[id] = target
}

// replacePlanner has a new planner take over, which knows what is stored.
func (world *modelWorld) replacePlanner() {
	world.fence++
	world.before = world.planner
	lease := NewLease(&fakeConn{fakeStore: world.store}, "entry", true, world.clock, logr.Discard())
	lease.held = greengageroute.HeldLease{Fence: world.fence, RenewedAt: world.clock.now, Term: 1000 * time.Hour}
	stall := modelStall
	if world.guard.stall > 0 {
		stall = world.guard.stall
	}
	var sender OrderSender = world
	if !world.guard.unchecked {
		sender = NewStateCheck(world, world, world.clock)
	}
	world.planner = NewPlanner(PlannerOptions{
		Lease: lease, OrderSender: sender, Activity: fakeActivity{}, Directory: world.directory, HasTraffic: func() bool { return true },
		Confirm: func([]mesh.TargetInstance) {}, Isolated: func() bool { return false }, StallTimeout: stall, Clock: world.clock, Counters: new(expvar.Map).Init(), Log: logr.Discard(),
	})
	world.buildFormation()
}

// restore brings the store back from a copy of some revisions before, which lacks the planner's rows, and
// has an entry that has just started take over. The targets write their rows again later. Who left a
// replica of which the head may still serve isn't known any more, also if the order to leave is still on
// its way: such a target is in no replica.
func (world *modelWorld) restore(revisions uint64) {
	world.era++
	world.store = newFakeStore()
	world.directory = NewDirectory(world.clock)
	world.late = slices.DeleteFunc(world.late, func(order greengageroute.TargetOrder) bool { return order.Kind == greengageroute.OrderLeave })
	for _, id := range slices.Sorted(maps.Keys(world.targets)) {
		target := world.targets[id]
		target.earlier, target.former = nil, nil
		for _, row := range slices.Backward(target.rows) {
			if row.Revision.Version+revisions <= world.revision {
				row.Revision.Era = world.era
				world.directory.Apply([]greengageroute.Target{row}, nil, time.Time{})
				break
			}
		}
	}
	world.replacePlanner()
	world.before = world.planner
}

// returnPlanner has the planner of before take the lease again.
func (world *modelWorld) returnPlanner() {
	world.fence++
	world.planner, world.before = world.before, world.planner
	world.planner.Lease.held = greengageroute.HeldLease{Fence: world.fence, RenewedAt: world.clock.now, Term: 1000 * time.Hour}
	world.planner.forgetFindings()
	clear(world.planner.storedHeads)
	world.buildFormation()
}

// buildFormation has the planner begin its term.
func (world *modelWorld) buildFormation() {
	view := world.planner.poolView("llm", world.engine, world.directory.View())
	heads, err := world.planner.readHeads(context.Background(), "llm")
	if err != nil {
		panic(err)
	}
	world.formation = greengageroute.NewFormation(view, world.fence*epochsPerFence)
	world.formation.RestoreHeads(append(heads, world.heads...))
	world.planner.recordUnknownHeads(heads, view)
}

// plan runs a round of the planner, whose orders all meet the fate.
func (world *modelWorld) plan(met fate) {
	world.fate = met
	view := world.planner.poolView("llm", world.engine, world.directory.View())
	if world.guard.beforePlan != nil {
		world.guard.beforePlan(world, &view)
	}
	world.formation.Update(view)
	world.planner.storeHeads(context.Background(), view, world.formation)
	world.awaitHeads()
	orders := slices.Concat(world.formation.Orders(view), world.formation.PreloadOrders(view))
	world.planner.storeHeads(context.Background(), view, world.formation)
	world.awaitHeads()
	slices.SortStableFunc(orders, func(a, b greengageroute.TargetOrder) int { return strings.Compare(a.String(), b.String()) })
	for _, order := range orders {
		if !world.planner.maySend(order, world.formation, "llm") {
			continue
		}
		world.planner.send(context.Background(), order, view)
		world.planner.sending.Wait()
	}
	if world.guard.afterRound != nil {
		world.guard.afterRound(world)
	}
	world.advance(modelRound)
}

func (world *modelWorld) awaitHeads() {
	for {
		world.planner.mu.Lock()
		writing := world.planner.headsWriting
		world.planner.mu.Unlock()
		if !writing {
			return
		}
		time.Sleep(time.Microsecond)
	}
}

// Send implements OrderSender.
func (world *modelWorld) Send(_ context.Context, order greengageroute.TargetOrder, _ time.Duration) error {
	unanswered := errors.New("no response")
	target := world.targets[order.Target.ID]
	switch {
	case target.silent || world.fate == fateLate:
		world.late = append(world.late, order)
		if !target.suspended.IsZero() {
			return &greengageroute.OrderUnansweredError{Target: target.ID}
		}
		return unanswered
	case world.fate == fateLost:
		return unanswered
	}
	status := world.execute(order)
	switch {
	case world.fate == fateUnheard:
		return unanswered
	case status >= 400:
		return &greengageroute.OrderRefusedError{Target: target.ID, Status: status}
	default:
		return nil
	}
}

// Report implements Reporter. It isn't lost with the orders of a round.
func (world *modelWorld) Report(_ context.Context, known greengageroute.Target, _ time.Duration) (greengageroute.TargetReport, error) {
	target := world.targets[known.ID]
	if target.silent {
		return greengageroute.TargetReport{}, errors.New("no response")
	}
	accepted := target.accepted
	return greengageroute.TargetReport{StartUnixMilli: target.StartUnixMilli, Membership: target.Membership, AcceptedOrders: &accepted}, nil
}

// execute carries out an order as a target does, and checks the rules on groups.
func (world *modelWorld) execute(order greengageroute.TargetOrder) int {
	target := world.targets[order.Target.ID]
	if order.Expected != nil && *order.Expected != target.accepted {
		return 409
	}
	status := world.begin(order)
	if status == 202 {
		target.accepted++
	}
	world.checkHeads()
	return status
}

// begin carries out an order if the target's state allows it.
func (world *modelWorld) begin(order greengageroute.TargetOrder) int {
	target := world.targets[order.Target.ID]
	member := target.Membership
	belongs := member.BelongsTo(order.Replica, order.Epoch)
	switch order.Kind {
	case greengageroute.OrderJoin:
		switch {
		case order.Epoch < target.seenEpoch || belongs && !slices.Equal(target.members, order.Members):
			return 412
		case belongs:
			return 200
		}
		world.join(target, order)
	case greengageroute.OrderOpen:
		if !belongs || member.State != greengageroute.MemberReady || world.refusesForming && !target.opensAt.IsZero() {
			return 409
		}
		if world.takesTime {
			if !target.opensAt.IsZero() {
				return 200
			}
			target.opensAt = world.clock.now.Add(modelFormationTime)
			return 202
		}
		world.open(target)
	case greengageroute.OrderClose:
		if !belongs || member.State != greengageroute.MemberOpen && target.opensAt.IsZero() || world.refusesForming && !target.opensAt.IsZero() {
			return 409
		}
		target.opensAt = time.Time{}
		target.Membership.State = greengageroute.MemberReady
		if world.takesTime && member.State == greengageroute.MemberOpen && !order.Immediate {
			target.Membership.State = greengageroute.MemberClosing
		}
	case greengageroute.OrderLeave:
		if !belongs {
			return 409
		}
		target.leave()
		target.Membership, target.members = greengageroute.Membership{}, nil
	}
	return 202
}

// open has a head serve.
func (world *modelWorld) open(target *modelTarget) {
	member := target.Membership
	target.opensAt = time.Time{}
	for _, id := range target.members {
		if !world.everReady[fmt.Sprint(id, member.Replica, member.Epoch)] {
			world.violations = append(world.violations, fmt.Sprintf("PARTIAL: %s opens, and %s was never ready", target.ID, id))
		}
	}
	target.Membership.State = greengageroute.MemberOpen
}

func (target *modelTarget) leave() {
	if member := target.Membership; member.Replica != "" {
		target.former = append(target.former, modelReplica{greengageroute.ReplicaKey{Name: member.Replica, Epoch: member.Epoch}, target.members})
	}
	target.readyAt, target.opensAt = time.Time{}, time.Time{}
}

// restart ends the process of a target and starts another one, whose row isn't written yet. Orders
// that the earlier one hasn't carried out end with it.
func (world *modelWorld) restart(id string) {
	target := world.targets[id]
	target.leave()
	target.Membership, target.members, target.former, target.seenEpoch, target.accepted = greengageroute.Membership{}, nil, nil, 0, 0
	target.StartUnixMilli++
	target.earlier, target.unlisted = nil, false
	world.late = slices.DeleteFunc(world.late, func(order greengageroute.TargetOrder) bool { return order.Target.ID == id })
	world.checkHeads()
}

// endOrders ends joins, and orders to open and close, whose time has passed.
func (world *modelWorld) endOrders() {
	for _, id := range slices.Sorted(maps.Keys(world.targets)) {
		target := world.targets[id]
		now := world.clock.now
		if !target.suspended.IsZero() {
			continue
		}
		if !target.readyAt.IsZero() && !now.Before(target.readyAt) {
			target.readyAt = time.Time{}
			target.Membership.State = greengageroute.MemberReady
			world.everReady[fmt.Sprint(target.ID, target.Membership.Replica, target.Membership.Epoch)] = true
		}
		if !target.opensAt.IsZero() && !now.Before(target.opensAt) {
			world.open(target)
		}
		if target.Membership.State == greengageroute.MemberClosing && world.used[id+" closes"]%3 == 2 {
			target.Membership.State = greengageroute.MemberReady
		}
		if target.Membership.State == greengageroute.MemberClosing {
			world.used[id+" closes"]++
		}
	}
}

// join has a target join a replica. The join ends at once, unless joins take time.
func (world *modelWorld) join(target *modelTarget, order greengageroute.TargetOrder) {
	target.leave()
	for _, former := range target.former {
		head := world.targets[former.members[0]]
		serves := head.Membership.BelongsTo(former.key.Name, former.key.Epoch) && (head.Membership.State == greengageroute.MemberOpen || head.Membership.State == greengageroute.MemberClosing)
		if former.key.Name != order.Replica && serves {
			world.violations = append(world.violations, fmt.Sprintf("TWO: %s joins %s while %s serves %v", target.ID, order.Replica, head.ID, former.key))
		}
	}
	target.Membership = greengageroute.Membership{
		Replica: order.Replica, Epoch: order.Epoch, Model: order.Model, Rank: slices.Index(order.Members, target.ID), State: greengageroute.MemberReady,
	}
	target.members, target.seenEpoch = order.Members, order.Epoch
	if world.takesTime {
		target.Membership.State, target.readyAt = greengageroute.MemberJoining, world.clock.now.Add(modelJoinTime)
		return
	}
	world.everReady[fmt.Sprint(target.ID, order.Replica, order.Epoch)] = true
}

// checkHeads records since when heads lack members, and breaks those that did so for too long.
func (world *modelWorld) checkHeads() {
	for _, head := range world.targets {
		member := head.Membership
		if member.Rank != 0 || member.State != greengageroute.MemberOpen && member.State != greengageroute.MemberClosing {
			head.stalledAt = time.Time{}
			continue
		}
		whole := !slices.ContainsFunc(head.members, func(id string) bool {
			return !world.targets[id].Membership.BelongsTo(member.Replica, member.Epoch)
		})
		switch {
		case whole:
			head.stalledAt = time.Time{}
		case !head.suspended.IsZero():
		case head.stalledAt.IsZero():
			head.stalledAt = world.clock.now
		case world.clock.now.Sub(head.stalledAt) >= modelStall:
			head.Membership.State = greengageroute.MemberBroken
		}
	}
}

func (world *modelWorld) advance(length time.Duration) {
	world.clock.now = world.clock.now.Add(length)
	world.endOrders()
	world.checkHeads()
	for _, id := range slices.Sorted(maps.Keys(world.targets)) {
		target := world.targets[id]
		if !target.suspended.IsZero() && world.clock.now.Sub(target.suspended) >= modelSuspension {
			world.goOn(id)
		}
		if world.clock.now.Sub(target.published) >= modelHeartbeats {
			world.publish(id)
		}
	}
}

// goOn ends the silence of a target.
func (world *modelWorld) goOn(id string) {
	world.targets[id].silent, world.targets[id].suspended = false, time.Time{}
	world.directory.MarkResponding(world.targets[id].Instance())
}

// publish has the list show a target as it is.
func (world *modelWorld) publish(id string) {
	target := world.targets[id]
	if target.silent || target.unlisted {
		return
	}
	row := target.Target
	target.published = world.clock.now
	world.revision++
	row.Revision, row.Statement = greengageroute.StoreRevision{Era: world.era, Version: world.revision}, world.revision
	target.rows = append(target.rows, row)
	if known, listed := world.directory.View().Target(id); listed {
		target.earlier = &known
	}
	world.directory.Apply([]greengageroute.Target{row}, nil, time.Time{})
}

func (world *modelWorld) publishAll() {
	for _, id := range slices.Sorted(maps.Keys(world.targets)) {
		world.publish(id)
	}
}

// publishLate has the row before the last one arrive at the store again, as a write does that its
// target has given up.
func (world *modelWorld) publishLate(id string) {
	row := *world.targets[id].earlier
	world.revision++
	row.Revision = greengageroute.StoreRevision{Era: world.era, Version: world.revision}
	world.directory.Apply([]greengageroute.Target{row}, nil, time.Time{})
}

// events returns what may happen next.
func (world *modelWorld) events() []modelEvent {
	events := []modelEvent{
		{"plan, answered", func(world *modelWorld) { world.plan(fateAnswered) }},
		{"plan, unheard", func(world *modelWorld) { world.plan(fateUnheard) }},
		{"plan, lost", func(world *modelWorld) { world.plan(fateLost) }},
		{"plan, late", func(world *modelWorld) { world.plan(fateLate) }},
		{"rows", (*modelWorld).publishAll},
	}
	limited := func(name string, limit int, run func(world *modelWorld)) {
		if world.used[name] < limit*world.repeats {
			events = append(events, modelEvent{name, func(world *modelWorld) {
				world.used[name]++
				run(world)
			}})
		}
	}
	limited("4 s pass", 4, func(world *modelWorld) { world.advance(modelAdvance) })
	limited("planner", 1, (*modelWorld).replacePlanner)
	if world.takesTime {
		limited("store restored", 1, func(world *modelWorld) { world.restore(uint64(4 * (1 + world.used["store restored"]%4))) })
	}
	if world.used["planner"] > 0 {
		limited("first planner", 1, (*modelWorld).returnPlanner)
	}
	for _, id := range world.troubled {
		target := world.targets[id]
		instance := target.Instance()
		switch {
		case target.silent:
			events = append(events, modelEvent{id + " goes on", func(world *modelWorld) {
				world.goOn(id)
			}})
		case target.unlisted:
			events = append(events, modelEvent{id + " is listed", func(world *modelWorld) {
				world.targets[id].unlisted = false
				world.publish(id)
			}})
		default:
			limited(id+" is silent", 1, func(world *modelWorld) {
				world.targets[id].silent = true
				world.directory.MarkUnreachable(instance)
			})
			limited(id+" is suspended", 1, func(world *modelWorld) {
				world.targets[id].silent, world.targets[id].suspended = true, world.clock.now
				world.directory.MarkUnreachable(instance)
			})
			limited(id+" is cut off from the list", 1, func(world *modelWorld) {
				world.targets[id].unlisted = true
				world.directory.Apply(nil, []string{id}, time.Time{})
				world.directory.MarkUnreachable(instance)
				world.directory.MarkResponding(instance)
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(world.targets)) {
		if world.takesTime && !world.targets[id].silent {
			limited(id+" restarts", 1, func(world *modelWorld) { world.restart(id) })
		}
		if world.targets[id].earlier != nil {
			limited("earlier row of "+id, 1, func(world *modelWorld) { world.publishLate(id) })
		}
	}
	for i, order := range world.late {
		if !world.targets[order.Target.ID].silent {
			events = append(events, modelEvent{"late " + order.String(), func(world *modelWorld) {
				world.late = slices.Delete(world.late, i, i+1)
				world.execute(order)
			}})
		}
	}
	if world.guard.events == nil {
		return events
	}
	return slices.DeleteFunc(events, func(event modelEvent) bool {
		return !slices.ContainsFunc(world.guard.events, func(prefix string) bool { return strings.HasPrefix(event.name, prefix) })
	})
}

// state describes the world, so that equal ones are explored once.
func (world *modelWorld) state() string {
	text := strings.Builder{}
	for _, id := range slices.Sorted(maps.Keys(world.targets)) {
		target := world.targets[id]
		fmt.Fprint(&text, id, target.Membership, target.silent, world.age(target.suspended), target.unlisted, target.former, world.age(target.stalledAt), ";")
	}
	view := world.planner.poolView("llm", world.engine, world.directory.View())
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		fmt.Fprint(&text, id, view.Targets[id].Membership, view.Targets[id].Unlisted, ";")
	}
	for _, id := range slices.Sorted(maps.Keys(view.Absent)) {
		fmt.Fprint(&text, id, view.Absent[id].Membership, world.age(view.AbsentSince[id]), ";")
	}
	world.planner.mu.Lock()
	for id, last := range world.planner.sent {
		if world.clock.now.Sub(last.at) >= orderRetryInterval {
			delete(world.planner.sent, id)
		}
	}
	fmt.Fprint(&text, world.late, view.ClosedAt, view.StoodStillAt, view.SuspectedHeads, view.PendingOpens, view.Left, world.planner.absentHeads, world.planner.sent, world.used)
	for _, lost := range view.MemberLostAt {
		fmt.Fprint(&text, world.age(lost))
	}
	world.planner.mu.Unlock()
	fmt.Fprint(&text, world.formation.Assignments, world.formation.Heads(view))
	return text.String()
}

func (world *modelWorld) age(at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return min(world.clock.now.Sub(at), 20*time.Second)
}

// explore runs all sequences of events up to a depth, except what follows a state that was
// reached before by as few events. It returns the first sequence that breaks a rule, if any,
// and how many states were reached.
func explore(guard modelGuard, build func(world *modelWorld), depth int) (sequence []string, violation string, states int) {
	type path struct{ choices []int }
	replay := func(choices []int) (*modelWorld, []string) {
		world := newModelWorld(guard, build)
		var names []string
		for _, choice := range choices {
			events := world.events()
			if choice >= len(events) {
				return world, names // the order of a map's values led elsewhere this time
			}
			event := events[choice]
			names = append(names, event.name)
			event.run(world)
		}
		return world, names
	}
	seen := map[string]bool{}
	level := []path{{}}
	for range depth {
		var next []path
		for _, reached := range level {
			world, _ := replay(reached.choices)
			for choice := range world.events() {
				choices := append(slices.Clone(reached.choices), choice)
				after, names := replay(choices)
				if len(after.violations) > 0 {
					return names, after.violations[0], len(seen)
				}
				if state := after.state(); !seen[state] {
					seen[state] = true
					next = append(next, path{choices})
				}
			}
		}
		level = next
	}
	return nil, "", len(seen)
}

// oneReplica is a replica of two that serves, and nothing else. Targets without a replica are
// given one of their own, since they have another model's weights staged.
func oneReplica(world *modelWorld) {
	world.add("a", "r1", 1, 0, greengageroute.MemberOpen, "a", "b")
	world.add("b", "r1", 1, 1, greengageroute.MemberReady, "a", "b")
}

// twoEpochs is a replica that serves under its second epoch, with a member left in the first. The
// list still shows the head in the first.
func twoEpochs(world *modelWorld) {
	world.add("a", "r1", 1, 0, greengageroute.MemberOpen, "a", "b")
	world.add("b", "r1", 1, 1, greengageroute.MemberReady, "a", "b")
	world.targets["b"].Domain = "d1"
	world.add("c", "r1", 2, 1, greengageroute.MemberReady, "a", "c")
	for epoch := range uint64(2) {
		world.heads = append(world.heads, greengageroute.ReplicaHead{Replica: "r1", Epoch: epoch + 1, ID: "a", Address: "a"})
	}
	world.afterRows = func() { world.add("a", "r1", 2, 0, greengageroute.MemberOpen, "a", "c") }
}

// inherited is a replica whose members have all formed for an earlier planner.
func inherited(world *modelWorld) {
	world.add("a", "r1", 1, 0, greengageroute.MemberReady, "a", "b")
	world.add("b", "r1", 1, 1, greengageroute.MemberReady, "a", "b")
}

// notOpen is a replica whose members have all formed.
func notOpen(world *modelWorld) {
	inherited(world)
	world.prelude = 2
}

// formedLately is a replica that serves, and whose members wrote rows before they joined it.
func formedLately(world *modelWorld) {
	world.add("a", "", 0, 0, "")
	world.add("b", "", 0, 0, "")
	world.heads = []greengageroute.ReplicaHead{{Replica: "r1", Epoch: 1, ID: "a", Address: "a"}}
	world.afterRows = func() {
		oneReplica(world)
		world.publish("a")
		world.publish("b")
	}
}

// TestGroupsUnderAllInterleavings walks all sequences of planning rounds, lost, late and
// unheard orders, rows, late rows, silences, suspensions, losses of the list and changes of the
// planner, and guards
// against members that join another replica while their head serves, and replicas that open
// without a member.
func TestGroupsUnderAllInterleavings(t *testing.T) {
	for _, test := range []struct {
		name  string
		build func(world *modelWorld)
		depth int
	}{
		{"a replica serves", oneReplica, 5},
		{"a member is left in an earlier epoch", twoEpochs, 4},
		{"a replica is about to open", notOpen, 4},
		{"a replica has formed lately", formedLately, 4},
		{"a replica is about to open as the planner changes", inherited, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			sequence, violation, states := explore(modelGuard{}, test.build, test.depth)
			t.Logf("%d states to depth %d in %s", states, test.depth, time.Since(started).Round(time.Millisecond))
			if violation != "" {
				t.Errorf("%s after %q", violation, sequence)
			}
		})
	}
}

// TestSequencesThatBrokeRules repeats sequences of events that random ones and the walk found, and
// guards against targets that join another replica while their head serves. Events are named by
// the beginning of their names.
func TestSequencesThatBrokeRules(t *testing.T) {
	for _, test := range []struct {
		name   string
		build  func(world *modelWorld)
		events []string
	}{
		{"a row of a member arrives after a later one", formedLately, []string{"b is cut off", "earlier row of a", "plan, answered"}},
		{"a head that refused to close opens late and falls silent", notOpen, []string{
			"plan, late", "b is silent", "4 s", "plan, answered", "b goes on", "plan, answered", "late open", "a is silent", "4 s", "plan, answered",
		}},
		{"a member that moved on is opened with by its old row", twoReplicas, []string{
			"b is silent", "4 s", "plan, late", "b goes on", "c is silent", "late close r1", "rows", "planner", "a is cut off", "4 s", "plan, answered", "plan, answered",
			"first planner", "a is listed", "e is cut off", "b is cut off", "plan, unheard", "rows", "plan, answered", "a is cut off", "b is listed", "plan, unheard", "plan, late", "plan, answered", "plan, answered",
		}},
		{"a planner ends before it stored whom it had join again", twoReplicas, []string{
			"c is silent", "plan, answered", "plan, answered", "planner", "plan, late", "plan, answered", "plan, answered", "d is silent", "c goes on", "a is silent", "plan, answered",
			"late leave r2", "plan, answered", "rows", "b is cut off", "plan, answered", "first planner", "plan, answered", "b is listed", "plan, answered", "plan, answered",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newModelWorld(modelGuard{}, test.build)
			for _, prefix := range test.events {
				events := world.events()
				i := slices.IndexFunc(events, func(event modelEvent) bool { return strings.HasPrefix(event.name, prefix) })
				if i < 0 {
					t.Fatalf("there is no event %q", prefix)
				}
				events[i].run(world)
			}
			if len(world.violations) > 0 {
				t.Error(world.violations)
			}
		})
	}
}

// TestTargetsAreAskedBeforeTheyJoin repeats sequences that random ones found, and guards against targets
// that join another replica since the list still shows them free, or their head closed. Without a look
// at the targets' state each sequence breaks the rule.
func TestTargetsAreAskedBeforeTheyJoin(t *testing.T) {
	for _, events := range [][]string{
		{
			"plan, answered", "plan, answered", "b restarts", "plan, answered", "plan, answered", "plan, answered", "plan, answered", "plan, answered", "plan, answered",
			"plan, answered", "plan, answered", "c is cut off", "plan, answered", "rows", "plan, answered", "c is listed", "b restarts", "b is cut off",
			"a is suspended", "a goes on", "a is silent", "a goes on", "b is listed", "plan, answered", "planner", "plan, answered",
		},
		{
			"plan, answered", "plan, answered", "a is silent", "plan, answered", "plan, answered", "d is suspended", "c is silent", "b restarts", "rows", "plan, answered", "plan, unheard",
			"c goes on", "plan, answered", "plan, answered", "plan, answered", "plan, answered", "plan, lost", "plan, answered", "4 s pass", "b restarts", "plan, answered", "plan, answered",
			"a goes on", "a restarts", "plan, unheard", "plan, answered", "plan, answered", "c is silent", "planner", "plan, answered",
		},
	} {
		for _, unchecked := range []bool{true, false} {
			world := newModelWorld(modelGuard{unchecked: unchecked}, slowOrders)
			for _, prefix := range events {
				i := slices.IndexFunc(world.events(), func(event modelEvent) bool { return strings.HasPrefix(event.name, prefix) })
				if i < 0 {
					t.Fatalf("unchecked %t: there is no event %q", unchecked, prefix)
				}
				world.events()[i].run(world)
			}
			if broken := len(world.violations) > 0; broken != unchecked {
				t.Errorf("unchecked %t: violations are %v", unchecked, world.violations)
			}
		}
	}
}

// twoReplicas are two replicas that serve, and a spare.
func twoReplicas(world *modelWorld) {
	oneReplica(world)
	world.add("c", "r2", 2, 0, greengageroute.MemberOpen, "c", "d")
	world.add("d", "r2", 2, 1, greengageroute.MemberReady, "c", "d")
	world.add("e", "", 0, 0, "")
	world.repeats, world.troubled = 4, []string{"a", "b", "c", "d", "e"}
}

// slowOrders are the same targets, which take time for orders and restart.
func slowOrders(world *modelWorld) {
	twoReplicas(world)
	world.takesTime = true
}

// unstaged are the same, and no row shows that a target has accepted orders.
func unstaged(world *modelWorld) {
	slowOrders(world)
	for _, target := range world.targets {
		target.Staged = nil
	}
}

// refusesForming are the same, whose heads refuse orders while they form.
func refusesForming(world *modelWorld) {
	slowOrders(world)
	world.refusesForming = true
}

// twoModels are two replicas of one model, and too few free targets for one of the other model.
func twoModels(world *modelWorld) {
	slowOrders(world)
	world.engine.Models = []greengageroute.EngineModel{{Name: "m", Size: 2, Share: 0.5}, {Name: "n", Size: 3, Share: 0.5}}
	world.add("f", "", 0, 0, "")
	for _, id := range []string{"a", "b", "c", "d"} {
		world.targets[id].Staged = []string{"m"}
	}
	world.troubled = append(world.troubled, "f")
}

// TestGroupsInRandomSequences follows long random sequences of the same events on two replicas and
// a spare, also with orders that take time and targets that restart, and guards against faults that
// need more of them than a walk reaches. To run more:
//
//	go test ./control -run GroupsInRandomSequences -sequences 100000
func TestGroupsInRandomSequences(t *testing.T) {
	for worker := range uint64(4) {
		t.Run(fmt.Sprint(worker), func(t *testing.T) {
			t.Parallel()
			for seed := worker; seed < *sequences; seed += 4 {
				for name, build := range map[string]func(world *modelWorld){"orders take no time": twoReplicas, "orders take time": slowOrders, "heads that form refuse": refusesForming, "a model lacks a replica": twoModels, "nothing is staged": unstaged} {
					if names, violation := followSequence(*firstSequence+seed, build); violation != "" {
						t.Fatalf("%s, -first-sequence %d: %s after %q", name, *firstSequence+seed, violation, names)
					}
				}
			}
		})
	}
}

// followSequence runs a random sequence of events. It returns their names and the first rule
// broken.
func followSequence(seed uint64, build func(world *modelWorld)) (names []string, violation string) {
	world, random := newModelWorld(modelGuard{}, build), rand.New(rand.NewPCG(seed, 1))
	for range 60 {
		events := world.events()
		event := events[random.IntN(len(events))]
		if random.IntN(3) == 0 {
			event = events[0] // a round that is answered
		}
		names = append(names, event.name)
		event.run(world)
		if len(world.violations) > 0 {
			return names, world.violations[0]
		}
	}
	return names, ""
}

// leaveUnheard has the planner believe that closed heads have left their replicas.
func leaveUnheard(view *greengageroute.PoolView) {
	for id, target := range view.Targets {
		if target.Membership.Rank == 0 && target.Membership.State == greengageroute.MemberReady {
			view.Left[id] = replicaIDOf(&target).ReplicaKey
		}
	}
}

// TestGroupGuardsAreNeeded guards against a walk that would miss the faults that the planner's
// guards prevent: without each of them it finds a sequence that breaks a rule.
func TestGroupGuardsAreNeeded(t *testing.T) {
	for _, test := range []struct {
		guard modelGuard
		build func(world *modelWorld)
		depth int
	}{
		{modelGuard{name: "a finding holds for one epoch", events: []string{"plan, answered", "a ", "rows", "4 s"}, beforePlan: func(_ *modelWorld, view *greengageroute.PoolView) {
			for _, key := range []greengageroute.ReplicaKey{{Name: "r1", Epoch: 1}, {Name: "r1", Epoch: 2}} {
				for _, at := range view.ClosedAt {
					view.ClosedAt[key] = at
				}
			}
		}}, twoEpochs, 7},
		{modelGuard{name: "silence is no word", events: []string{"plan, answered", "a ", "rows", "4 s"}, beforePlan: func(_ *modelWorld, view *greengageroute.PoolView) {
			for key := range view.SuspectedHeads {
				view.ClosedAt[key] = view.Now
			}
		}}, oneReplica, 7},
		{modelGuard{name: "the bound is that of the heads", events: []string{"plan, answered", "a ", "rows", "4 s"}, stall: time.Nanosecond}, oneReplica, 10},
		{modelGuard{name: "the bound begins as a member leaves", events: []string{"plan, answered", "plan, lost", "a ", "rows", "4 s"}, beforePlan: func(_ *modelWorld, view *greengageroute.PoolView) {
			for key := range view.SuspectedHeads {
				view.MemberLostAt[key] = view.AbsentSince["a"]
			}
		}}, oneReplica, 9},
		{modelGuard{name: "a head that may have opened leaves first", unchecked: true, events: []string{"plan, answered", "b ", "planner"}, beforePlan: func(_ *modelWorld, view *greengageroute.PoolView) {
			leaveUnheard(view)
		}}, notOpen, 10},
		{modelGuard{name: "an order to open is pending, and the head leaves first", unchecked: true, events: []string{"plan, answered", "b "}, beforePlan: func(_ *modelWorld, view *greengageroute.PoolView) {
			leaveUnheard(view)
			view.PendingOpens = nil
		}}, notOpen, 9},
	} {
		t.Run(test.guard.name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			sequence, violation, states := explore(test.guard, test.build, test.depth)
			t.Logf("%d states in %s: %s after %q", states, time.Since(started).Round(time.Millisecond), violation, sequence)
			if violation == "" {
				t.Error("no sequence breaks a rule without the guard")
			}
			if sequence, violation, _ := explore(modelGuard{events: test.guard.events, unchecked: test.guard.unchecked}, test.build, len(sequence)); violation != "" {
				t.Errorf("with the guard: %s after %q", violation, sequence)
			}
		})
	}
}
