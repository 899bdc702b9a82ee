package control

import (
	"errors"

	greengageroute "greengageroute.example/greengageroute"
)

// openingIn returns the heads that were told to open and may have, without the
// list showing it. The caller holds the lock.
func (planner *Planner) openingIn(targets map[string]greengageroute.Target) map[string]greengageroute.ReplicaKey {
	opening := map[string]greengageroute.ReplicaKey{}
	for id, told := range planner.opening {
		head, listed := targets[id]
		newer := listed && head.Revision > told.revision
		if newer && (told.answered || !head.Membership.BelongsTo(told.key.Name, told.key.Epoch)) {
			delete(planner.opening, id)
			continue
		}
		opening[id] = told.key
	}
	return opening
}

// noteAnswer takes note of a head's answer to an order to open or close: one that
// refuses doesn't serve, and what one that obeys does is in the list soon.
func (planner *Planner) noteAnswer(order greengageroute.TargetOrder, err error) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	told, known := planner.opening[order.Target.ID]
	var refused *greengageroute.OrderRefusedError
	switch {
	case !known:
	case errors.As(err, &refused):
		delete(planner.opening, order.Target.ID)
	case err == nil:
		told.answered = true
		planner.opening[order.Target.ID] = told
	}
}

// settleHead takes note of how a head took the order to close. A head that isn't
// listed is settled once it has refused, which it does if it doesn't serve, or
// has left orders unanswered while no entry hears of it either.
func (planner *Planner) settleHead(order greengageroute.TargetOrder, err error) {
	var refused *greengageroute.OrderRefusedError
	id, now := order.Target.ID, planner.Clock.Now()
	planner.mu.Lock()
	defer planner.mu.Unlock()
	switch {
	case err == nil && order.Immediate:
		planner.silentFor[id] = 0
		planner.settledAt[id] = now
	case errors.As(err, &refused):
		planner.settledAt[id] = now
	case !planner.Witness.Reaches(order.Target.DataCentre):
		// The whole data centre is cut off: the head may serve on behind the cut.
		planner.silentFor[id] = 0
	default:
		planner.silentFor[id]++
		if planner.silentFor[id] >= silentOrders && !planner.Witness.Active(id, signsWithin) {
			planner.settledAt[id] = now
		}
	}
}
