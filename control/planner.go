package control

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

const (
	// OrderTimeout is the timeout of an order; targets respond within milliseconds.
	OrderTimeout = 500 * time.Millisecond
	// orderRetryInterval is how long an order has to take effect before it is sent
	// again; the list shows changes within a few hundred milliseconds.
	orderRetryInterval = 700 * time.Millisecond
	// absentOrderTimeout and absentRetryInterval are the same for a head that is not
	// listed or was found unreachable: its members wait until it is suspected.
	absentOrderTimeout  = 200 * time.Millisecond
	absentRetryInterval = 220 * time.Millisecond
	// planInterval is how often the planner runs, in addition to every change of
	// the list.
	planInterval = 100 * time.Millisecond
	// epochsPerFence is the number of epochs of one fence; it keeps the epochs of
	// successive lease holders distinct.
	epochsPerFence = 1_000_000
	// stagingShare is the share of the permitted load rate that spares may use; the
	// rest is for joins.
	stagingShare = 0.8
	// poolLogInterval is the minimum interval between log lines on the state of pools, and
	// deferralLogInterval between those on orders that wait.
	poolLogInterval     = 250 * time.Millisecond
	deferralLogInterval = time.Second
	// unansweredOrderLimit is how many orders in a row go unanswered before a head is
	// suspected.
	unansweredOrderLimit = 2
	// lostMemberTTL is how long a replica is remembered to have lost a member, longer than
	// its head may take to break.
	lostMemberTTL = 10 * time.Minute
	// leftTTL is how long a target is remembered to have left a replica; the list
	// shows it long before.
	leftTTL = time.Minute
	// sentTTL is how long the last order to a target is remembered, longer than any retry
	// interval.
	sentTTL = time.Minute
	// activityWindow is how recent a response to any entry must be to show that a
	// target is alive.
	activityWindow = 600 * time.Millisecond
)

// Counters of the planner; docs/OPERATIONS.md lists them.
const (
	CountOrders = "orders"
	// CountOrdersHeldBack counts orders not sent because the target had asked for a backoff.
	CountOrdersHeldBack = "orders-held-back"
	CountOrdersRefused  = "orders-refused"
	// CountOrdersOutdated counts orders that targets in another state than the list shows didn't
	// get or refused.
	CountOrdersOutdated    = "orders-outdated"
	CountOrdersNotAnswered = "orders-not-answered"
	// CountOrdersLate counts orders whose timeout this entry noticed late; they say nothing about
	// their targets. CountOrdersDeferred counts planning rounds whose orders had to wait for those
	// under way.
	CountOrdersLate       = "orders-late"
	CountOrdersDeferred   = "orders-deferred"
	CountReplicasAssigned = "replicas-assigned"
	// CountTargetShifts counts the times that targets were moved to a busier model.
	CountTargetShifts     = "target-shifts"
	CountLeaseStepsFailed = "lease-steps-failed"
	// CountHeadsSuspected counts absent heads that left orders unanswered, CountHeadsClosed
	// those that said that they don't serve.
	CountHeadsSuspected = "absent-heads-suspected"
	CountHeadsClosed    = "absent-heads-closed"
	// CountHeadsStandingStill counts absent heads that took connections without responding.
	CountHeadsStandingStill = "absent-heads-standing-still"
)

type (
	// ActivityMonitor reports which targets and data centres have recently sent data
	// to an entry.
	ActivityMonitor interface {
		// Active reports whether any entry has received a response from a target
		// within the given time.
		Active(target string, within time.Duration) bool
		// Busy returns the targets at which any entry has requests in progress.
		Busy() greengageroute.Set[string]
		// Reaches reports whether messages from entries of a data centre arrive.
		Reaches(dataCentre string) bool
	}

	// OrderSender sends orders to targets.
	OrderSender interface {
		Send(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error
	}

	// PlannerOptions are the dependencies and settings of a Planner.
	PlannerOptions struct {
		Lease       *Lease
		OrderSender OrderSender
		Activity    ActivityMonitor
		Directory   *Directory
		// ListRevision returns the store's revision up to which the directory is known.
		ListRevision func() greengageroute.StoreRevision
		Routes       func() *greengageroute.RouteTable
		// HasTraffic reports whether any entry has received requests.
		HasTraffic func() bool
		// Demand returns what callers ask of the models of a pool; nil while it isn't known.
		Demand func(pool string, engine *greengageroute.Engine) map[string]greengageroute.ModelDemand
		// Confirm probes members that are no longer listed and marks those that
		// don't respond as unreachable.
		Confirm func(unlisted []mesh.TargetInstance)
		// Isolated reports whether no target responds to this entry. It gives the lease up
		// then, since it can neither tell which targets have failed nor send orders.
		Isolated func() bool
		// Eligible reports whether this entry may hold the lease.
		Eligible func() bool
		// FormationDelay is how long the number of listed targets must stay the same
		// before the first replicas are formed.
		FormationDelay time.Duration
		// StallTimeout is after which a head that has lost a member is broken.
		StallTimeout time.Duration
		Clock        greengageroute.Clock
		Counters     *expvar.Map
		Log          logr.Logger
	}

	// Planner forms the replicas of all pools with engines while this entry holds
	// the lease.
	Planner struct {
		PlannerOptions
		wake           chan struct{}
		sending        sync.WaitGroup // orders under way
		targetCount    int            // listed targets at the last check before the first replicas
		countChangedAt time.Time      // when targetCount last changed

		loggedStates map[string]string // the last state logged, by pool
		loggedAt     time.Time
		deferralAt   time.Time // when it was last logged that orders wait

		fence      uint64
		formations map[string]*greengageroute.Formation

		mu      sync.Mutex
		sent    map[string]sentOrder // last order by sentKey
		window  greengageroute.OrderWindow
		staging map[string]stagingModel
		loaded  map[string]loadedModel // by target
		// absentHeads holds what is known of heads that were ordered to close, until they
		// are listed again.
		absentHeads map[replicaID]absentHead
		// pendingOpens are heads that were ordered to open, until the list shows their
		// state after the order.
		pendingOpens map[string]pendingOpen
		// lostMembers holds the first member that each replica is known to have lost.
		lostMembers map[replicaID]lostMember
		// left holds targets that accepted an order by which they left a replica,
		// until the list shows it.
		left map[string]leftReplica
		// unknownHeads are heads that only an earlier planner has seen, until they are listed.
		unknownHeads     map[string]datedTarget
		oddHeads         map[string]oddHeads // stored heads that can't be decoded, by pool
		headsWriteFailed bool                // storedHeads has to be written again
		headsWriting     bool

		storedHeads    map[string]string // heads as last written, by pool
		storedHeadsEra uint64            // of the store, when they were written
		headsStoredAt  time.Time
		headsTerm      uint64                            // counts the terms of the lease
		headsVersions  map[string]uint64                 // of the rows of heads in the store, by pool; missing if unknown
		storedReleases map[string]map[storedRelease]bool // members named as released by the stored heads, by pool
		loadStarts     []time.Time                       // start times of the loads of the last second
	}

	sentOrder struct {
		text string
		at   time.Time
	}

	// pendingOpen is an order to a head to open whose effect the list may not show yet.
	pendingOpen struct {
		key      greengageroute.ReplicaKey
		revision greengageroute.StoreRevision // of the head's row when the order was sent
		answered bool                         // the head responded to this order or a later one; until then it may open at any time
		accepted bool                         // the head said that it opens; it may refuse a repetition
	}

	// absentHead is what the responses to orders tell of the head of a replica.
	absentHead struct {
		id               string
		unansweredOrders int       // in a row
		closedAt         time.Time // when it last said that it doesn't serve
		unansweredAt     time.Time // when it last left an order unanswered
		stoodStillAt     time.Time // when it last took a connection without responding
	}

	// lostMember is a member that has left its replica, which is without it from then on.
	lostMember struct {
		leftReplica
		id       string
		revision greengageroute.StoreRevision // of the member's row before
	}

	// leftReplica is the replica that one run of a target has left.
	leftReplica struct {
		key            greengageroute.ReplicaKey
		startUnixMilli int64
		at             time.Time
	}

	// loadedModel is the replica that one run of a target was last listed in, and the model that it
	// had loaded before.
	loadedModel struct {
		startUnixMilli int64
		replica        greengageroute.ReplicaKey
		model          string
		formed         bool
		before         string
		loads          bool     // it had neither loaded nor staged the model before
		staged         []string // at the last sight, without a model that it loads
	}

	// stagingModel is a model that one run of a target was ordered to stage.
	stagingModel struct {
		model          string
		startUnixMilli int64
		until          time.Time
	}
)

// NewPlanner returns a planner with the given options.
func NewPlanner(options PlannerOptions) *Planner {
	return &Planner{
		PlannerOptions: options, wake: make(chan struct{}, 1),
		formations: map[string]*greengageroute.Formation{}, window: greengageroute.NewOrderWindow(), sent: map[string]sentOrder{}, staging: map[string]stagingModel{}, loaded: map[string]loadedModel{},
		loggedStates: map[string]string{}, unknownHeads: map[string]datedTarget{}, oddHeads: map[string]oddHeads{}, pendingOpens: map[string]pendingOpen{}, storedHeads: map[string]string{},
		absentHeads: map[replicaID]absentHead{}, lostMembers: map[replicaID]lostMember{},
		storedReleases: map[string]map[storedRelease]bool{}, headsVersions: map[string]uint64{}, left: map[string]leftReplica{},
	}
}

// Run plans until the context ends, then releases the lease.
func (planner *Planner) Run(ctx context.Context) {
	stop := planner.Directory.Watch(planner.Wake)
	defer stop()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			planner.release(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
			if planner.Isolated() {
				planner.release(ctx)
				continue
			}
			if !planner.Eligible() {
				continue
			}
			if err := planner.Lease.Step(ctx, OrderTimeout); err != nil {
				planner.Counters.Add(CountLeaseStepsFailed, 1)
				planner.Log.V(1).Info("lease step failed", "cause", err.Error())
			}
		case <-planner.wake:
		}
		started := planner.Clock.Now()
		planner.plan(ctx)
		// Half of the processor is left to the orders and to callers, however many changes there are.
		greengageroute.Sleep(ctx, min(planner.Clock.Now().Sub(started), planInterval))
	}
}

// release gives the lease up if this entry holds it, once the orders under way have ended.
func (planner *Planner) release(ctx context.Context) {
	planner.sending.Wait()
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	if err := planner.Lease.Release(ctx); err != nil {
		planner.Log.Info("lease not released; it will expire", "cause", err.Error())
	}
}

// SetBounds changes the planner's bounds.
func (planner *Planner) SetBounds(bounds greengageroute.Bounds) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	planner.FormationDelay, planner.StallTimeout = bounds.HeartbeatInterval, bounds.StallTimeout
}

// Wake triggers another planning round. It does not block.
func (planner *Planner) Wake() {
	select {
	case planner.wake <- struct{}{}:
	default:
	}
}

func (planner *Planner) plan(ctx context.Context) {
	held := planner.Lease.Held()
	routes, view := planner.Routes(), planner.Directory.View()
	if !held.Holds(planner.Clock.Now(), OrderTimeout) || routes == nil || !view.Listed || planner.Isolated() {
		return
	}
	planner.Confirm(planner.Directory.Unlisted())
	if planner.ListRevision().Before(held.TakenAt) {
		// The list may lack what the orders of the holder before have changed.
		return
	}
	if held.Fence != planner.fence {
		planner.fence = held.Fence
		clear(planner.formations)
		planner.forgetFindings()
	}
	for name, pool := range routes.Pools {
		if pool.Engine != nil && len(pool.Engine.Models) > 0 {
			poolView := planner.poolView(name, pool.Engine, view)
			poolView.ColdPerSecond = pool.ColdPerSecond
			planner.planPool(ctx, poolView)
		}
	}
}

func (planner *Planner) poolView(name string, engine *greengageroute.Engine, view *View) greengageroute.PoolView {
	now, slow := planner.Clock.Now(), planner.Directory.Slow()
	var busy greengageroute.Set[string]
	if len(view.Absent) > 0 {
		busy = planner.Activity.Busy()
	}
	var demand map[string]greengageroute.ModelDemand
	if planner.Demand != nil && len(engine.Models) > 1 {
		demand = planner.Demand(name, engine)
	}
	planner.mu.Lock()
	defer planner.mu.Unlock()
	targets := map[string]greengageroute.Target{}
	for _, target := range view.Pool(name) {
		staged, underway := planner.staging[target.ID]
		if underway && staged.startUnixMilli == target.StartUnixMilli && now.Before(staged.until) && !target.HasStaged(staged.model) {
			target.Staging = staged.model
		}
		if slow.Has(target.ID) && target.State == greengageroute.TargetReady {
			target.State = greengageroute.TargetSlow
		}
		targets[target.ID] = planner.recordLoaded(target)
	}
	absent, absentSince := maps.Clone(view.Absent), maps.Clone(view.AbsentSince)
	maps.DeleteFunc(planner.unknownHeads, func(id string, _ datedTarget) bool {
		_, listed := view.Target(id)
		return listed
	})
	for id, head := range planner.unknownHeads {
		if _, known := absent[id]; !known {
			absent[id], absentSince[id] = head.target, head.since
		}
	}
	poolView := greengageroute.PoolView{
		Pool: name, Engine: engine, Targets: targets, HasTraffic: planner.HasTraffic(), Now: now,
		Absent: absent, AbsentSince: absentSince, Busy: busy,
		Demand: demand, MemberLostAt: planner.memberLostAt(name, targets), StallTimeout: planner.StallTimeout, PendingOpens: planner.pendingOpensIn(targets),
		Left: planner.leftReplicasOf(targets),
	}
	planner.addAbsentHeadStates(&poolView)
	return poolView.Indexed()
}

func (planner *Planner) planPool(ctx context.Context, view greengageroute.PoolView) {
	formation, known := planner.formations[view.Pool]
	if !known && !planner.listStable(view) {
		return
	}
	if !known {
		heads, err := planner.readHeads(ctx, view.Pool)
		if err != nil {
			planner.Log.Info("replica heads not read; trying again", "pool", view.Pool, "cause", err.Error())
			return
		}
		formation = greengageroute.NewFormation(view, planner.fence*epochsPerFence)
		formation.RestoreHeads(heads)
		planner.recordUnknownHeads(heads, view)
		planner.formations[view.Pool] = formation
		planner.Log.Info("formation built from the listed targets", "pool", view.Pool, "replicas", len(formation.Assignments), "targets", len(view.Targets))
	}
	shiftedAt := formation.ShiftedAt()
	changed := formation.Update(view)
	if formation.ShiftedAt() != shiftedAt {
		planner.Counters.Add(CountTargetShifts, 1)
		planner.Log.Info("targets move to a busier model", "pool", view.Pool, "demand", fmt.Sprint(view.Demand), "planned-targets", fmt.Sprint(formation.PlannedTargets()))
	}
	for _, assignment := range changed {
		planner.Counters.Add(CountReplicasAssigned, 1)
		planner.Log.Info("replica assigned", "replica", assignment.Name, "epoch", assignment.Epoch, "model", assignment.Model,
			"domain", assignment.Domain, "members", strings.Join(assignment.Members, ","))
	}
	orders := formation.Orders(view)
	planner.storeHeads(ctx, view, formation)
	planner.logPoolState(view, formation, len(orders))
	orders = slices.DeleteFunc(orders, func(order greengageroute.TargetOrder) bool { return !planner.maySend(order, formation, view.Pool) })
	for _, order := range slices.Concat(orders, formation.StagingOrders(view, planner.spareLoadBudget(view)), formation.PreloadOrders(view)) {
		if !planner.send(ctx, order, view) {
			planner.recordDeferral(view)
			return // the end of an order under way triggers the next round
		}
	}
}

// recordDeferral counts and logs that orders wait for those under way.
func (planner *Planner) recordDeferral(view greengageroute.PoolView) {
	planner.Counters.Add(CountOrdersDeferred, 1)
	if view.Now.Sub(planner.deferralAt) < deferralLogInterval {
		return
	}
	planner.deferralAt = view.Now
	planner.mu.Lock()
	limit := planner.window.Limit()
	planner.mu.Unlock()
	planner.Log.Info("orders wait for those under way", "pool", view.Pool, "window", limit)
}

// listStable reports whether the list is likely complete. Targets that start
// together are listed within about a heartbeat of each other; replicas formed from
// the first of them would serve only the first models.
func (planner *Planner) listStable(view greengageroute.PoolView) bool {
	planner.mu.Lock()
	delay := planner.FormationDelay
	planner.mu.Unlock()
	now := planner.Clock.Now()
	if len(view.Targets) != planner.targetCount {
		planner.targetCount, planner.countChangedAt = len(view.Targets), now
	}
	return view.HasTraffic || planner.targetCount > 0 && now.Sub(planner.countChangedAt) >= delay
}

// logPoolState logs the state of a pool when it has changed.
func (planner *Planner) logPoolState(view greengageroute.PoolView, formation *greengageroute.Formation, orders int) {
	open := map[string]int{}
	for _, assignment := range formation.Assignments {
		if view.Targets[assignment.Members[0]].Membership.BelongsTo(assignment.Name, assignment.Epoch) && assignment.Opened {
			open[assignment.Model]++
		}
	}
	state := fmt.Sprint(len(view.Targets), len(formation.Assignments), open)
	now := planner.Clock.Now()
	if state == planner.loggedStates[view.Pool] || now.Sub(planner.loggedAt) < poolLogInterval {
		return
	}
	planner.loggedStates[view.Pool], planner.loggedAt = state, now
	planner.Log.Info("pool state changed", "pool", view.Pool, "targets", len(view.Targets), "absent", len(view.Absent),
		"assigned", len(formation.Assignments), "open", fmt.Sprint(open), "orders", orders)
}

// send sends an order in the background, unless the same order was sent within
// its retry interval. An order that needs a load is skipped, to be sent later,
// while the loads of the last second reach the rate that the weights' store allows, and so is one that is
// sent again while many of these are under way. It reports whether further orders may be sent.
func (planner *Planner) send(ctx context.Context, order greengageroute.TargetOrder, view greengageroute.PoolView) bool {
	now := planner.Clock.Now()
	text := fmt.Sprint(order)
	planner.mu.Lock()
	key := sentKey(order)
	last := planner.sent[key]
	timeout, retryInterval := OrderTimeout, orderRetryInterval
	if _, listed := view.Targets[order.Target.ID]; !listed {
		timeout = absentOrderTimeout
		if planner.absentHeads[replicaIDOfOrder(order)].unansweredOrders < unansweredOrderLimit {
			retryInterval = absentRetryInterval
		}
	}
	repeat := last.text == text
	if repeat && (now.Sub(last.at) < retryInterval || !planner.window.Admits(repeat)) {
		planner.mu.Unlock()
		return true
	}
	loading := needsLoad(order)
	if loading && view.HasTraffic && planner.recentLoads(now) >= int(view.Engine.LoadsPerSecond) {
		planner.mu.Unlock()
		return true
	}
	if !planner.window.Admits(repeat) {
		planner.mu.Unlock()
		return false
	}
	planner.window = planner.window.WithBegun(repeat)
	if key != order.Target.ID {
		delete(planner.sent, order.Target.ID)
		maps.DeleteFunc(planner.sent, func(_ string, last sentOrder) bool { return now.Sub(last.at) > sentTTL })
	}
	planner.sent[key] = sentOrder{text, now}
	model, _ := view.Engine.Model(order.Model)
	if order.Kind == greengageroute.OrderOpen {
		earlier := planner.pendingOpens[order.Target.ID]
		planner.pendingOpens[order.Target.ID] = pendingOpen{
			key: order.Key(), revision: order.Target.Revision, accepted: earlier.accepted && earlier.key == order.Key(),
		}
	}
	if order.Kind == greengageroute.OrderStage {
		planner.staging[order.Target.ID] = stagingModel{order.Model, order.Target.StartUnixMilli, now.Add(model.LoadTime)}
	}
	if loading {
		planner.loadStarts = append(planner.loadStarts, now)
	}
	planner.mu.Unlock()
	planner.sending.Go(func() {
		answered, late := planner.deliver(context.WithoutCancel(ctx), order, timeout)
		planner.mu.Lock()
		planner.window = planner.window.WithEnded(repeat, answered, late)
		planner.mu.Unlock()
		planner.Wake()
	})
	return true
}

// sentKey returns what an order is the last one of: a target has one to close or leave for each
// replica that it may belong to, and one other order.
func sentKey(order greengageroute.TargetOrder) string {
	if order.Kind == greengageroute.OrderClose || order.Kind == greengageroute.OrderLeave {
		return fmt.Sprint(order.Target.ID, " ", order.Replica, " ", order.Epoch)
	}
	return order.Target.ID
}

// deliver sends an order and records its result. It reports whether the target answered, and whether this
// entry noticed the end of the timeout late.
func (planner *Planner) deliver(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) (answered, late bool) {
	if !planner.Lease.Held().Holds(planner.Clock.Now(), OrderTimeout) {
		return false, false
	}
	started := planner.Clock.Now()
	err := planner.OrderSender.Send(ctx, order, timeout)
	took := planner.Clock.Now().Sub(started)
	late = greengageroute.TookTooLong(took, timeout)
	planner.Counters.Add(CountOrders, 1)
	var refused *greengageroute.OrderRefusedError
	var heldBack *greengageroute.BackoffError
	var outdated *OutdatedTargetError
	outcome := "accepted"
	switch {
	case err == nil:
		answered = true
	case errors.As(err, &heldBack):
		outcome = "not sent: the target asked for a backoff"
		planner.Counters.Add(CountOrdersHeldBack, 1)
	case errors.As(err, &outdated):
		outcome = "not carried out: " + outdated.Reason
		planner.Counters.Add(CountOrdersOutdated, 1)
	case errors.As(err, &refused):
		outcome = fmt.Sprintf("refused with %d", refused.Status)
		planner.Counters.Add(CountOrdersRefused, 1)
		answered = true
	case late:
		outcome = "not answered, and this entry is late: " + err.Error()
		planner.Counters.Add(CountOrdersLate, 1)
	default:
		outcome = "not answered: " + err.Error()
		planner.Counters.Add(CountOrdersNotAnswered, 1)
	}
	if answered || !late {
		planner.recordResult(order, err)
	}
	planner.Log.Info("order sent", "kind", order.Kind.String(), "target", order.Target.ID, "replica", order.Replica, "epoch", order.Epoch,
		"model", order.Model, "cut", order.Immediate, "took", took.String(), "outcome", outcome)
	return answered, late
}
