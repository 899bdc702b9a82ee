package control

import (
	"errors"
	"slices"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/mesh"
)

// pendingOpensIn returns the heads that were ordered to open and may have opened
// without the list showing it. The caller holds the lock.
func (planner *Planner) pendingOpensIn(targets map[string]greengageroute.Target) map[string]greengageroute.ReplicaKey {
	pendingOpens := map[string]greengageroute.ReplicaKey{}
	for id, pending := range planner.pendingOpens {
		head, listed := targets[id]
		newer := listed && pending.revision.Before(head.Revision)
		if newer && (pending.answered || !head.Membership.BelongsTo(pending.key.Name, pending.key.Epoch)) {
			delete(planner.pendingOpens, id)
			continue
		}
		pendingOpens[id] = pending.key
	}
	return pendingOpens
}

// recordResult records what the response to an order, or its absence, says about the
// target.
func (planner *Planner) recordResult(order greengageroute.TargetOrder, err error) {
	switch order.Kind {
	case greengageroute.OrderOpen:
		planner.recordResponse(order, err)
	case greengageroute.OrderClose:
		planner.recordResponse(order, err)
		planner.recordCloseResult(order, err)
	case greengageroute.OrderJoin:
		if err == nil {
			planner.recordLeft(order.Target, replicaIDOf(&order.Target).ReplicaKey)
		}
		planner.confirmUnanswered(order.Target, err)
	case greengageroute.OrderStage:
		planner.recordStageResult(order, err)
	case greengageroute.OrderLeave:
		var refused *greengageroute.OrderRefusedError
		if err == nil || errors.As(err, &refused) && refused.TellsState() {
			planner.recordLeft(order.Target, order.Key())
		}
		if _, listed := planner.Directory.View().Target(order.Target.ID); !listed {
			planner.recordCloseResult(order, err)
		}
	}
}

// recordLoaded records the replica that a target is listed in. It returns the target with the model
// that it had loaded before, if that is known, and without a model that it still loads: it may be listed
// as staged as soon as the load begins. The caller holds the lock.
func (planner *Planner) recordLoaded(target greengageroute.Target) greengageroute.Target {
	member := target.Membership
	last, known := planner.loaded[target.ID]
	if !known || last.startUnixMilli != target.StartUnixMilli {
		last, known = loadedModel{startUnixMilli: target.StartUnixMilli}, false
	}
	if key := replicaIDOf(&target).ReplicaKey; member.Replica != "" && last.replica != key {
		before := ""
		if last.formed || last.before == last.model {
			before = last.model
		}
		loads := known && before != member.Model && !slices.Contains(last.staged, member.Model)
		last = loadedModel{startUnixMilli: target.StartUnixMilli, replica: key, model: member.Model, before: before, loads: loads}
	}
	last.formed = last.formed || member.Replica != "" && member.Formed()
	if last.loads && !last.formed && member.Replica != "" {
		target.Staged = slices.DeleteFunc(slices.Clone(target.Staged), func(model string) bool { return model == member.Model })
	}
	last.staged, target.Loaded = target.Staged, last.before
	planner.loaded[target.ID] = last
	return target
}

// recordStageResult forgets that a target stages a model if it has refused to.
func (planner *Planner) recordStageResult(order greengageroute.TargetOrder, err error) {
	var refused *greengageroute.OrderRefusedError
	if !errors.As(err, &refused) {
		return
	}
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if staged := planner.staging[order.Target.ID]; staged.model == order.Model && staged.startUnixMilli == order.Target.StartUnixMilli {
		delete(planner.staging, order.Target.ID)
	}
}

// confirmUnanswered has a target probed that left an order to join unanswered. One that serves
// nowhere is probed by nobody else, and its replica would wait for it as long as it is listed.
func (planner *Planner) confirmUnanswered(target greengageroute.Target, err error) {
	var refused *greengageroute.OrderRefusedError
	var heldBack *greengageroute.BackoffError
	var outdated *OutdatedTargetError
	if err != nil && !errors.As(err, &refused) && !errors.As(err, &heldBack) && !errors.As(err, &outdated) {
		planner.Confirm([]mesh.TargetInstance{target.Instance()})
	}
}

// replicaIDOfOrder returns the replica that an order is about. Planners name the replicas of
// each pool alike.
func replicaIDOfOrder(order greengageroute.TargetOrder) replicaID {
	return replicaID{order.Target.Pool, order.Key()}
}

// recordFinding counts and logs what the response to an order, or its absence, says about an
// absent head.
func (planner *Planner) recordFinding(counter, finding string, order greengageroute.TargetOrder) {
	planner.Counters.Add(counter, 1)
	planner.Log.Info(finding, "target", order.Target.ID, "replica", order.Replica, "epoch", order.Epoch, "order", order.Kind.String())
}

// recordLeft records that a target has accepted an order by which it left a replica, or has
// said that it isn't a member.
func (planner *Planner) recordLeft(target greengageroute.Target, key greengageroute.ReplicaKey) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	left := leftReplica{key: key, startUnixMilli: target.StartUnixMilli, at: planner.Clock.Now()}
	planner.left[target.ID] = left
	id := replicaID{target.Pool, key}
	if _, known := planner.lostMembers[id]; !known && key.Name != "" {
		planner.lostMembers[id] = lostMember{id: target.ID, revision: target.Revision, leftReplica: left}
	}
}

// memberLostAt returns since when replicas of a pool have been without one of their members.
// A member that an order of before took back, as the list shows, hasn't been lost. The caller
// holds the lock.
func (planner *Planner) memberLostAt(pool string, targets map[string]greengageroute.Target) map[greengageroute.ReplicaKey]time.Time {
	lostAt := map[greengageroute.ReplicaKey]time.Time{}
	now := planner.Clock.Now()
	for id, lost := range planner.lostMembers {
		if id.pool != pool {
			continue
		}
		key := id.ReplicaKey
		target, listed := targets[lost.id]
		isBack := listed && target.StartUnixMilli == lost.startUnixMilli && lost.revision.Before(target.Revision) && target.Membership.BelongsTo(key.Name, key.Epoch)
		if isBack || now.Sub(lost.at) > lostMemberTTL {
			delete(planner.lostMembers, id)
			continue
		}
		lostAt[key] = lost.at
	}
	return lostAt
}

// leftReplicasOf returns the targets that have left the replica that the list still
// shows. The caller holds the lock.
func (planner *Planner) leftReplicasOf(targets map[string]greengageroute.Target) map[string]greengageroute.ReplicaKey {
	replicas := map[string]greengageroute.ReplicaKey{}
	now := planner.Clock.Now()
	for id, left := range planner.left {
		target, listed := targets[id]
		shown := listed && (target.StartUnixMilli != left.startUnixMilli || !target.Membership.BelongsTo(left.key.Name, left.key.Epoch))
		switch {
		case shown || now.Sub(left.at) > leftTTL:
			delete(planner.left, id)
		case listed:
			replicas[id] = left.key
		}
	}
	return replicas
}

// addAbsentHeadStates adds to a view when absent heads of its pool said that they don't serve
// their replicas, last left an order unanswered or stood still, and which of them are suspected.
// Findings about a head are void once it is listed again. The caller holds the lock.
func (planner *Planner) addAbsentHeadStates(view *greengageroute.PoolView) {
	view.ClosedAt, view.SuspectedHeads = map[greengageroute.ReplicaKey]time.Time{}, map[greengageroute.ReplicaKey]bool{}
	view.UnansweredAt, view.StoodStillAt = map[greengageroute.ReplicaKey]time.Time{}, map[greengageroute.ReplicaKey]time.Time{}
	for id, head := range planner.absentHeads {
		if id.pool != view.Pool {
			continue
		}
		if _, listed := view.Targets[head.id]; listed {
			delete(planner.absentHeads, id)
			continue
		}
		if !head.unansweredAt.IsZero() {
			view.UnansweredAt[id.ReplicaKey] = head.unansweredAt
		}
		if !head.stoodStillAt.IsZero() {
			view.StoodStillAt[id.ReplicaKey] = head.stoodStillAt
		}
		switch {
		case !head.closedAt.IsZero():
			view.ClosedAt[id.ReplicaKey] = head.closedAt
		case head.unansweredOrders >= unansweredOrderLimit && !planner.Activity.Active(head.id, activityWindow):
			view.SuspectedHeads[id.ReplicaKey] = true
		}
	}
}

// recordResponse records a head's response to an order to open or close. A head
// whose state refuses doesn't serve; a head that carries out the order is soon listed in
// its new state.
func (planner *Planner) recordResponse(order greengageroute.TargetOrder, err error) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	pending, known := planner.pendingOpens[order.Target.ID]
	var refused *greengageroute.OrderRefusedError
	switch {
	case !known:
	case errors.As(err, &refused):
		// A head that has opened may refuse to open again.
		opened := order.Kind == greengageroute.OrderOpen && pending.accepted
		if refused.TellsState() && pending.key == order.Key() && !opened {
			delete(planner.pendingOpens, order.Target.ID)
		}
	case err == nil && pending.key == order.Key():
		pending.answered = true
		pending.accepted = pending.accepted || order.Kind == greengageroute.OrderOpen
		planner.pendingOpens[order.Target.ID] = pending
	}
}

// recordCloseResult records the result of an order to close or leave that a head got. An
// unlisted head doesn't serve, under the epoch of the order alone, once it has left, or has
// refused to since it isn't a member. That it has closed, or refused to close, says nothing about
// later: an order to open that is still on its way may open it. It is suspected once it has left
// orders unanswered while no entry has received data from it either. One that took the connection
// stands still.
func (planner *Planner) recordCloseResult(order greengageroute.TargetOrder, err error) {
	var refused *greengageroute.OrderRefusedError
	var heldBack *greengageroute.BackoffError
	var unanswered *greengageroute.OrderUnansweredError
	planner.mu.Lock()
	defer planner.mu.Unlock()
	id := replicaIDOfOrder(order)
	head := planner.absentHeads[id]
	head.id = order.Target.ID
	if errors.As(err, &unanswered) {
		if head.stoodStillAt.IsZero() {
			planner.recordFinding(CountHeadsStandingStill, "absent head stands still: it takes connections, and doesn't respond", order)
		}
		head.stoodStillAt = planner.Clock.Now()
	}
	switch {
	case errors.As(err, &heldBack): // not sent
	case order.Kind == greengageroute.OrderLeave && (err == nil || errors.As(err, &refused) && refused.TellsState()):
		if head.closedAt.IsZero() {
			planner.recordFinding(CountHeadsClosed, "absent head doesn't serve", order)
		}
		head.unansweredOrders, head.closedAt = 0, planner.Clock.Now()
	case err == nil, errors.As(err, &refused):
		// The head may serve, and is neither lost nor silent.
		head.unansweredOrders = 0
	case !planner.Activity.Reaches(order.Target.DataCentre):
		// The whole data centre is unreachable from here: the head may still serve there.
		head.unansweredOrders = 0
	default:
		head.unansweredOrders++
		head.unansweredAt = planner.Clock.Now()
		if head.unansweredOrders == unansweredOrderLimit {
			planner.recordFinding(CountHeadsSuspected, "absent head is suspected: it leaves orders unanswered", order)
		}
	}
	planner.absentHeads[id] = head
}
