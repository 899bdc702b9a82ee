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
	// OrderTimeout bounds an order: targets answer within milliseconds.
	OrderTimeout = 500 * time.Millisecond
	// repeatOrder is how long an order has to show its effect before it is sent
	// again: the list shows changes within some hundred milliseconds.
	orderRetryInterval = 700 * time.Millisecond
	// planEvery is how often the planner looks, beside every change of the list.
	planInterval = 100 * time.Millisecond
	// epochsPerFence keeps the epochs of successive holders apart.
	epochsPerFence = 1_000_000
	// stagingShare of the loads that may start is used for spares; the rest is for
	// joins.
	stagingShare = 0.8
	// logEvery bounds the lines about a pool's state.
	poolLogInterval = 250 * time.Millisecond
	// silentOrders is how many orders in a row a dead target leaves unanswered.
	unansweredOrderLimit = 2
	// signsWithin is how recent an answer to any entry shows that a target lives.
	activityWindow = 600 * time.Millisecond
)

// Counters of the planner; docs/OPERATIONS.md lists them.
const (
	CountOrders            = "orders"
	CountOrdersRefused     = "orders-refused"
	CountOrdersNotAnswered = "orders-not-answered"
	CountReplicasAssigned  = "replicas-assigned"
	CountLeaseStepsFailed  = "lease-steps-failed"
)

type (
	// ActivityMonitor tells what the entries see of targets.
	ActivityMonitor interface {
		// Signs tells whether any entry has had an answer from a target lately.
		Signs(target string, within time.Duration) bool
		// Reaches tells whether entries of a data centre are heard.
		Reaches(dataCentre string) bool
	}

	// OrderSender gives orders to targets.
	OrderSender interface {
		Give(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error
	}

	// PlannerOptions are what a Planner is made of.
	PlannerOptions struct {
		Lease       *Lease
		OrderSender OrderSender
		Activity    ActivityMonitor
		Directory   *Directory
		Routes      func() *greengageroute.RouteTable
		// Serving tells whether requests have come to any entry.
		HasTraffic func() bool
		// Doubt has targets asked whether they live.
		Confirm func(vanished []mesh.TargetLife)
		// Eligible tells whether this entry may hold the lease.
		Eligible func() bool
		// Settle is how long the list must stand still before the first replicas.
		FormationDelay time.Duration
		Clock          greengageroute.Clock
		Counters       *expvar.Map
		Log            logr.Logger
	}

	// Planner forms the replicas of all pools with engines, while it holds the lease.
	Planner struct {
		PlannerOptions
		wake           chan struct{}
		targetCount    int       // targets at the last look before the first replicas
		countChangedAt time.Time // when their number last changed

		loggedStates map[string]string // the last state logged, by pool
		loggedAt     time.Time

		fence      uint64
		formations map[string]*greengageroute.Formation

		mu      sync.Mutex
		sent    map[string]sentOrder // by target
		staging map[string]stagingModel
		// settledAt is when an absent head was last found closed or dead, and silentFor
		// how many orders in a row it has left unanswered.
		closedAt         map[string]time.Time
		unansweredOrders map[string]int
		// opening are heads that were told to open, until the list is newer than that.
		pendingOpens map[string]pendingOpen
		// strangers are heads that only an earlier planner has seen.
		unknownHeads     map[string]greengageroute.Target
		headsWriteFailed bool // a write of heads failed

		storedHeads   map[string]string // heads as last written, by pool
		headsStoredAt time.Time
		loadStarts    []time.Time // when loads were started
	}

	sentOrder struct {
		text string
		at   time.Time
	}

	// openingHead is a head that was told to open.
	pendingOpen struct {
		key      greengageroute.ReplicaKey
		revision uint64 // of its row when it was told
		answered bool   // to that or to a later order; else it may still open at any time
	}

	stagingModel struct {
		model string
		until time.Time
	}
)

// NewPlanner returns a planner made of its parts.
func NewPlanner(options PlannerOptions) *Planner {
	return &Planner{
		PlannerOptions: options, wake: make(chan struct{}, 1),
		formations: map[string]*greengageroute.Formation{}, sent: map[string]sentOrder{}, staging: map[string]stagingModel{},
		loggedStates: map[string]string{}, unknownHeads: map[string]greengageroute.Target{}, pendingOpens: map[string]pendingOpen{}, storedHeads: map[string]string{},
		closedAt: map[string]time.Time{}, unansweredOrders: map[string]int{},
	}
}

// Run plans until the context ends, then gives the lease up.
func (planner *Planner) Run(ctx context.Context) {
	stop := planner.Directory.Watch(planner.Wake)
	defer stop()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), OrderTimeout)
			defer cancel()
			if err := planner.Lease.Release(releaseCtx); err != nil {
				planner.Log.Info("lease not released; it expires", "cause", err.Error())
			}
			return
		case <-ticker.C:
			if !planner.Eligible() {
				continue
			}
			if err := planner.Lease.Step(ctx, OrderTimeout); err != nil {
				planner.Counters.Add(CountLeaseStepsFailed, 1)
				planner.Log.V(1).Info("lease step failed", "cause", err.Error())
			}
		case <-planner.wake:
		}
		planner.plan(ctx)
	}
}

// Wake has the planner look again.
func (planner *Planner) Wake() {
	select {
	case planner.wake <- struct{}{}:
	default:
	}
}

func (planner *Planner) plan(ctx context.Context) {
	held := planner.Lease.Held()
	routes, view := planner.Routes(), planner.Directory.View()
	if !held.Holds(planner.Clock.Now(), OrderTimeout) || routes == nil || !view.Listed {
		return
	}
	planner.Confirm(planner.Directory.Unlisted())
	if held.Fence != planner.fence {
		planner.fence = held.Fence
		clear(planner.formations)
	}
	for name, pool := range routes.Pools {
		if pool.Engine != nil && len(pool.Engine.Models) > 0 {
			planner.planPool(ctx, planner.poolView(name, pool.Engine, view))
		}
	}
}

func (planner *Planner) poolView(name string, engine *greengageroute.Engine, view *View) greengageroute.PoolView {
	now, slow := planner.Clock.Now(), planner.Directory.Slow()
	planner.mu.Lock()
	defer planner.mu.Unlock()
	targets := map[string]greengageroute.Target{}
	for _, target := range view.Pools[name] {
		// What was found of a head while it was absent says nothing once it is back.
		delete(planner.closedAt, target.ID)
		delete(planner.unansweredOrders, target.ID)
		if staged, underway := planner.staging[target.ID]; underway && now.Before(staged.until) && !target.HasStaged(staged.model) {
			target.Staging = staged.model
		}
		if slow.Has(target.ID) && target.State == greengageroute.TargetReady {
			target.State = greengageroute.TargetSlow
		}
		targets[target.ID] = target
	}
	absent := maps.Clone(view.Absent)
	for id, head := range planner.unknownHeads {
		if _, known := absent[id]; !known {
			absent[id] = head
		}
	}
	return greengageroute.PoolView{
		Pool: name, Engine: engine, Targets: targets, HasTraffic: planner.HasTraffic(), Now: now,
		Absent: absent, ClosedAt: maps.Clone(planner.closedAt), PendingOpens: planner.pendingOpensIn(targets),
	}
}

func (planner *Planner) planPool(ctx context.Context, view greengageroute.PoolView) {
	formation, known := planner.formations[view.Pool]
	if !known && !planner.listStable(view) {
		return
	}
	if !known {
		heads, err := planner.readHeads(ctx, view.Pool)
		if err != nil {
			planner.Log.Info("heads not read; trying again", "pool", view.Pool, "cause", err.Error())
			return
		}
		formation = greengageroute.NewFormation(view, planner.fence*epochsPerFence)
		formation.RestoreHeads(heads)
		planner.recordUnknownHeads(heads, view)
		planner.formations[view.Pool] = formation
		planner.Log.Info("formation adopted", "pool", view.Pool, "replicas", len(formation.Assignments), "targets", len(view.Targets))
	}
	for _, assignment := range formation.Update(view) {
		planner.Counters.Add(CountReplicasAssigned, 1)
		planner.Log.Info("replica assigned", "replica", assignment.Name, "epoch", assignment.Epoch, "model", assignment.Model,
			"domain", assignment.Domain, "members", strings.Join(assignment.Members, ","))
	}
	planner.storeHeads(ctx, view, formation)
	orders := formation.Orders(view)
	for _, order := range orders {
		planner.send(ctx, order, view)
	}
	planner.logPoolState(view, formation, len(orders))
	for _, order := range slices.Concat(formation.StagingOrders(view, planner.spareLoadBudget(view)), formation.PreloadOrders(view)) {
		planner.send(ctx, order, view)
	}
}

// settled tells whether the list is likely complete: targets that start together
// list themselves within about a heartbeat of each other, and replicas formed of
// the first to come would suit the first models only.
func (planner *Planner) listStable(view greengageroute.PoolView) bool {
	now := planner.Clock.Now()
	if len(view.Targets) != planner.targetCount {
		planner.targetCount, planner.countChangedAt = len(view.Targets), now
	}
	return view.HasTraffic || planner.targetCount > 0 && now.Sub(planner.countChangedAt) >= planner.FormationDelay
}

// logState logs how the pool stands, when that has changed.
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
	planner.Log.Info("pool", "pool", view.Pool, "targets", len(view.Targets), "absent", len(view.Absent),
		"assigned", len(formation.Assignments), "open", fmt.Sprint(open), "orders", orders)
}

// send gives an order in the background, unless the same was given just before. An
// order that needs a load is left for later while as many have started as the
// weights' store allows in a second.
func (planner *Planner) send(ctx context.Context, order greengageroute.TargetOrder, view greengageroute.PoolView) {
	now := planner.Clock.Now()
	text := fmt.Sprint(order)
	planner.mu.Lock()
	last := planner.sent[order.Target.ID]
	if last.text == text && now.Sub(last.at) < orderRetryInterval {
		planner.mu.Unlock()
		return
	}
	loading := needsLoad(order)
	if loading && view.HasTraffic && planner.recentLoads(now) >= int(view.Engine.LoadsPerSecond) {
		planner.mu.Unlock()
		return
	}
	planner.sent[order.Target.ID] = sentOrder{text, now}
	model, _ := view.Engine.Model(order.Model)
	if order.Kind == greengageroute.OrderOpen {
		planner.pendingOpens[order.Target.ID] = pendingOpen{
			key: greengageroute.ReplicaKey{Name: order.Replica, Epoch: order.Epoch}, revision: order.Target.Revision,
		}
	}
	if order.Kind == greengageroute.OrderStage {
		planner.staging[order.Target.ID] = stagingModel{order.Model, now.Add(model.LoadTime)}
	}
	if loading {
		planner.loadStarts = append(planner.loadStarts, now)
	}
	planner.mu.Unlock()
	go planner.deliver(ctx, order)
}

func (planner *Planner) deliver(ctx context.Context, order greengageroute.TargetOrder) {
	if !planner.Lease.Held().Holds(planner.Clock.Now(), OrderTimeout) {
		return
	}
	started := planner.Clock.Now()
	err := planner.OrderSender.Give(ctx, order, OrderTimeout)
	planner.Counters.Add(CountOrders, 1)
	var refused *greengageroute.OrderRefusedError
	outcome := "accepted"
	switch {
	case errors.As(err, &refused):
		outcome = fmt.Sprintf("refused with %d", refused.Status)
		planner.Counters.Add(CountOrdersRefused, 1)
	case err != nil:
		outcome = "not answered: " + err.Error()
		planner.Counters.Add(CountOrdersNotAnswered, 1)
	}
	switch order.Kind {
	case greengageroute.OrderOpen:
		planner.recordResponse(order, err)
	case greengageroute.OrderClose:
		planner.recordResponse(order, err)
		planner.recordCloseResult(order, err)
	}
	planner.Log.Info("order", "kind", order.Kind.String(), "target", order.Target.ID, "replica", order.Replica, "epoch", order.Epoch,
		"model", order.Model, "cut", order.Immediate, "took", planner.Clock.Now().Sub(started).String(), "outcome", outcome)
	planner.Wake()
}
