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
	repeatOrder = 700 * time.Millisecond
	// planEvery is how often the planner looks, beside every change of the list.
	planEvery = 100 * time.Millisecond
	// epochsPerFence keeps the epochs of successive holders apart.
	epochsPerFence = 1_000_000
	// stagingShare of the loads that may start is used for spares; the rest is for
	// joins.
	stagingShare = 0.8
	// logEvery bounds the lines about a pool's state.
	logEvery = 250 * time.Millisecond
	// silentOrders is how many orders in a row a dead target leaves unanswered.
	silentOrders = 2
	// signsWithin is how recent an answer to any entry shows that a target lives.
	signsWithin = 600 * time.Millisecond
)

// Counters of the planner; docs/OPERATIONS.md lists them.
const (
	CountOrders        = "orders"
	CountOrdersRefused = "orders-refused"
	CountOrdersLost    = "orders-not-answered"
	CountRepairs       = "replicas-assigned"
	CountLeaseFailed   = "lease-steps-failed"
)

type (
	// Witness tells what the entries see of targets.
	Witness interface {
		// Active reports whether any entry has had an answer from a target lately.
		Active(target string, within time.Duration) bool
		// Reaches tells whether entries of a data centre are heard.
		Reaches(dataCentre string) bool
	}

	// Orderer gives orders to targets.
	Orderer interface {
		Give(ctx context.Context, order greengageroute.TargetOrder, timeout time.Duration) error
	}

	// PlannerParts are what a Planner is made of.
	PlannerParts struct {
		Lease     *Lease
		Orderer   Orderer
		Witness   Witness
		Directory *Directory
		Routes    func() *greengageroute.RouteTable
		// Serving tells whether requests have come to any entry.
		Serving func() bool
		// Doubt has targets asked whether they live.
		Doubt func(vanished []mesh.TargetInstance)
		// Eligible tells whether this entry may hold the lease.
		Eligible func() bool
		// Settle is how long the list must stand still before the first replicas.
		Settle   time.Duration
		Clock    greengageroute.Clock
		Counters *expvar.Map
		Log      logr.Logger
	}

	// Planner forms the replicas of all pools with engines, while it holds the lease.
	Planner struct {
		PlannerParts
		wake    chan struct{}
		listed  int       // targets at the last look before the first replicas
		changed time.Time // when their number last changed

		logged   map[string]string // the last state logged, by pool
		loggedAt time.Time

		fence      uint64
		formations map[string]*greengageroute.Formation

		mu     sync.Mutex
		sent   map[string]sentOrder // by target
		staged map[string]stagedModel
		// settledAt is when an absent head was last found closed or dead, and silentFor
		// how many orders in a row it has left unanswered.
		settledAt map[string]time.Time
		silentFor map[string]int
		// opening are heads that were told to open, until the list is newer than that.
		opening map[string]openingHead
		// strangers are heads that only an earlier planner has seen.
		strangers map[string]greengageroute.Target
		unkept    bool // a write of heads failed

		kept   map[string]string // heads as last written, by pool
		keptAt time.Time
		loads  []time.Time // when loads were started
	}

	sentOrder struct {
		text string
		at   time.Time
	}

	// openingHead is a head that was told to open.
	openingHead struct {
		key      greengageroute.ReplicaKey
		revision uint64 // of its row when it was told
		answered bool   // to that or to a later order; else it may still open at any time
	}

	stagedModel struct {
		model string
		until time.Time
	}
)

// NewPlanner returns a planner made of its parts.
func NewPlanner(parts PlannerParts) *Planner {
	return &Planner{
		PlannerParts: parts, wake: make(chan struct{}, 1),
		formations: map[string]*greengageroute.Formation{}, sent: map[string]sentOrder{}, staged: map[string]stagedModel{},
		logged: map[string]string{}, strangers: map[string]greengageroute.Target{}, opening: map[string]openingHead{}, kept: map[string]string{},
		settledAt: map[string]time.Time{}, silentFor: map[string]int{},
	}
}

// Run plans until the context ends, then gives the lease up.
func (planner *Planner) Run(ctx context.Context) {
	stop := planner.Directory.Watch(planner.Wake)
	defer stop()
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), OrderTimeout)
			defer cancel()
			if err := planner.Lease.Release(leaving); err != nil {
				planner.Log.Info("lease not released; it expires", "cause", err.Error())
			}
			return
		case <-ticker.C:
			if !planner.Eligible() {
				continue
			}
			if err := planner.Lease.Step(ctx, OrderTimeout); err != nil {
				planner.Counters.Add(CountLeaseFailed, 1)
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
	tenure := planner.Lease.Tenure()
	routes, view := planner.Routes(), planner.Directory.View()
	if !tenure.Holds(planner.Clock.Now(), OrderTimeout) || routes == nil || !view.Listed {
		return
	}
	planner.Doubt(planner.Directory.Unlisted())
	if tenure.Fence != planner.fence {
		planner.fence = tenure.Fence
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
		delete(planner.settledAt, target.ID)
		delete(planner.silentFor, target.ID)
		if staged, underway := planner.staged[target.ID]; underway && now.Before(staged.until) && !target.HasStaged(staged.model) {
			target.Staging = staged.model
		}
		if slow.Has(target.ID) && target.State == greengageroute.TargetReady {
			target.State = greengageroute.TargetSlow
		}
		targets[target.ID] = target
	}
	absent := maps.Clone(view.Absent)
	for id, head := range planner.strangers {
		if _, known := absent[id]; !known {
			absent[id] = head
		}
	}
	return greengageroute.PoolView{
		Pool: name, Engine: engine, Targets: targets, HasTraffic: planner.Serving(), Now: now,
		Absent: absent, ClosedAt: maps.Clone(planner.settledAt), PendingOpens: planner.openingIn(targets),
	}
}

func (planner *Planner) planPool(ctx context.Context, view greengageroute.PoolView) {
	formation, known := planner.formations[view.Pool]
	if !known && !planner.settled(view) {
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
		planner.rememberHeads(heads, view)
		planner.formations[view.Pool] = formation
		planner.Log.Info("formation adopted", "pool", view.Pool, "replicas", len(formation.Assignments), "targets", len(view.Targets))
	}
	for _, changed := range formation.Update(view) {
		planner.Counters.Add(CountRepairs, 1)
		planner.Log.Info("replica assigned", "replica", changed.Name, "epoch", changed.Epoch, "model", changed.Model,
			"domain", changed.Domain, "members", strings.Join(changed.Members, ","))
	}
	planner.keepHeads(ctx, view, formation)
	orders := formation.Orders(view)
	for _, order := range orders {
		planner.send(ctx, order, view)
	}
	planner.logState(view, formation, len(orders))
	for _, order := range slices.Concat(formation.StagingOrders(view, planner.loadsLeft(view)), formation.PreloadOrders(view)) {
		planner.send(ctx, order, view)
	}
}

// settled tells whether the list is likely complete: targets that start together
// list themselves within about a heartbeat of each other, and replicas formed of
// the first to come would suit the first models only.
func (planner *Planner) settled(view greengageroute.PoolView) bool {
	now := planner.Clock.Now()
	if len(view.Targets) != planner.listed {
		planner.listed, planner.changed = len(view.Targets), now
	}
	return view.HasTraffic || planner.listed > 0 && now.Sub(planner.changed) >= planner.Settle
}

// logState logs how the pool stands, when that has changed.
func (planner *Planner) logState(view greengageroute.PoolView, formation *greengageroute.Formation, orders int) {
	open := map[string]int{}
	for _, assignment := range formation.Assignments {
		if view.Targets[assignment.Members[0]].Membership.BelongsTo(assignment.Name, assignment.Epoch) && assignment.Opened {
			open[assignment.Model]++
		}
	}
	state := fmt.Sprint(len(view.Targets), len(formation.Assignments), open)
	now := planner.Clock.Now()
	if state == planner.logged[view.Pool] || now.Sub(planner.loggedAt) < logEvery {
		return
	}
	planner.logged[view.Pool], planner.loggedAt = state, now
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
	if last.text == text && now.Sub(last.at) < repeatOrder {
		planner.mu.Unlock()
		return
	}
	loads := needsLoad(order)
	if loads && view.HasTraffic && planner.recentLoads(now) >= int(view.Engine.LoadsPerSecond) {
		planner.mu.Unlock()
		return
	}
	planner.sent[order.Target.ID] = sentOrder{text, now}
	model, _ := view.Engine.Model(order.Model)
	if order.Kind == greengageroute.OrderOpen {
		planner.opening[order.Target.ID] = openingHead{
			key: greengageroute.ReplicaKey{Name: order.Replica, Epoch: order.Epoch}, revision: order.Target.Revision,
		}
	}
	if order.Kind == greengageroute.OrderStage {
		planner.staged[order.Target.ID] = stagedModel{order.Model, now.Add(model.LoadTime)}
	}
	if loads {
		planner.loads = append(planner.loads, now)
	}
	planner.mu.Unlock()
	go planner.give(ctx, order)
}

func (planner *Planner) give(ctx context.Context, order greengageroute.TargetOrder) {
	if !planner.Lease.Tenure().Holds(planner.Clock.Now(), OrderTimeout) {
		return
	}
	began := planner.Clock.Now()
	err := planner.Orderer.Give(ctx, order, OrderTimeout)
	planner.Counters.Add(CountOrders, 1)
	var refused *greengageroute.OrderRefusedError
	outcome := "accepted"
	switch {
	case errors.As(err, &refused):
		outcome = fmt.Sprintf("refused with %d", refused.Status)
		planner.Counters.Add(CountOrdersRefused, 1)
	case err != nil:
		outcome = "not answered: " + err.Error()
		planner.Counters.Add(CountOrdersLost, 1)
	}
	switch order.Kind {
	case greengageroute.OrderOpen:
		planner.noteAnswer(order, err)
	case greengageroute.OrderClose:
		planner.noteAnswer(order, err)
		planner.settleHead(order, err)
	}
	planner.Log.Info("order", "kind", order.Kind.String(), "target", order.Target.ID, "replica", order.Replica, "epoch", order.Epoch,
		"model", order.Model, "cut", order.Immediate, "took", planner.Clock.Now().Sub(began).String(), "outcome", outcome)
	planner.Wake()
}
