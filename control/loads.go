package control

import (
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// spareLoadBudget returns how many loads for spares may start now. The limit leaves
// capacity of the weights' store for joins.
func (planner *Planner) spareLoadBudget(view greengageroute.PoolView) int {
	if !view.HasTraffic {
		return len(view.Targets)
	}
	now := planner.Clock.Now()
	planner.mu.Lock()
	defer planner.mu.Unlock()
	running := 0
	for _, staged := range planner.staging {
		if now.Before(staged.until) {
			running++
		}
	}
	perSecond := int(view.Engine.LoadsPerSecond*stagingShare) - planner.recentLoads(now)
	return max(min(perSecond, view.Engine.ConcurrentLoads-running), 0)
}

// recentLoads returns how many loads started within the last second. The caller
// holds the lock.
func (planner *Planner) recentLoads(now time.Time) int {
	planner.loadStarts = slices.DeleteFunc(planner.loadStarts, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	return len(planner.loadStarts)
}

// needsLoad reports whether an order makes its target read weights from the
// weights' store.
func needsLoad(order greengageroute.TargetOrder) bool {
	switch order.Kind {
	case greengageroute.OrderStage:
		return true
	case greengageroute.OrderJoin:
		return !order.Target.HasStaged(order.Model) && order.Target.Membership.Model != order.Model
	default:
		return false
	}
}
