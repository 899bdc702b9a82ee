package greengageroute

// constraint says whether a target has to stay in its present replica for now.
type constraint struct {
	mustStay    bool
	mustClose   bool // the head has to be sent an order to close
	mustRelease bool // one of the members has to leave, so that the head breaks
	mustLeave   bool // the target has to leave before it joins another replica
	head        Target
	member      Membership // of the target
}

// leavesFirst reports whether other members wait for the target, the head of their
// replica, to leave it.
func (constraint constraint) leavesFirst(target Target) bool {
	return constraint.head.ID == target.ID && !constraint.mustStay && !target.Membership.isPreload()
}

// Orders returns the orders that bring the targets closer to the assignments.
// Targets that are already joining their replica get none.
func (formation *Formation) Orders(view PoolView) []TargetOrder {
	view = view.Indexed()
	var orders []TargetOrder
	closed := map[ReplicaKey]bool{}
	for _, assignment := range formation.Assignments {
		orders = append(orders, formation.ordersFor(assignment, view, closed)...)
	}
	orders = append(orders, formation.closeAbandoned(view, closed)...)
	orders = append(orders, formation.freeAbandoned(view, closed)...)
	return append(orders, formation.leaveAbandoned(view)...)
}

func (formation *Formation) ordersFor(assignment Assignment, view PoolView, closed map[ReplicaKey]bool) []TargetOrder {
	if formation.isInherited(assignment, view) {
		return nil
	}
	var joins, headJoins, frees []TargetOrder
	formed, blocked := 0, false
	for _, id := range assignment.Members {
		target, found := view.Targets[id]
		if !found {
			return nil // Update replaces the member
		}
		if target.Membership.BelongsTo(assignment.Name, assignment.Epoch) {
			if target.Membership.Formed() {
				formed++
			}
			continue
		}
		constraint := formation.constraintOf(target, assignment.Name, view)
		blocked = blocked || constraint.mustStay || constraint.mustLeave
		frees = append(frees, formation.freeingOrders(target, constraint, view, closed)...)
		join := TargetOrder{
			Kind: OrderJoin, Target: target, Replica: assignment.Name, Epoch: assignment.Epoch,
			Model: assignment.Model, Members: assignment.Members, FormerHead: formation.formerHead(target, assignment.Name, view),
		}
		joins = append(joins, join)
		if constraint.leavesFirst(target) {
			headJoins = append(headJoins, join)
		}
	}
	if blocked {
		return append(frees, headJoins...)
	}
	if len(joins) > 0 {
		formation.recordMoves(joins, view)
		return joins
	}
	head := view.Targets[assignment.Members[0]]
	if formed == len(assignment.Members) && head.Membership.State == MemberReady {
		return []TargetOrder{{Kind: OrderOpen, Target: head, Replica: assignment.Name, Epoch: assignment.Epoch}}
	}
	return nil
}

// freeingOrders returns the orders that end the target's constraint, unless they have been
// returned for another member of its replica.
func (formation *Formation) freeingOrders(target Target, constraint constraint, view PoolView, closed map[ReplicaKey]bool) []TargetOrder {
	key := constraint.member.key()
	if constraint.mustLeave {
		return []TargetOrder{leaveOrder(target, constraint.member)}
	}
	if !constraint.mustClose && !constraint.mustRelease || closed[key] {
		return nil
	}
	closed[key] = true
	var orders []TargetOrder
	if _, listed := view.Targets[constraint.head.ID]; constraint.mustClose && listed {
		orders = append(orders, closeOrder(constraint.head, constraint.member, !view.complete(constraint.head)))
	} else if constraint.mustClose {
		// A head that only closed might be opened by an order of before, unseen.
		orders = append(orders, leaveOrder(constraint.head, constraint.member))
	}
	if constraint.mustRelease {
		orders = append(orders, formation.releaseOrder(target, constraint.member))
	}
	return orders
}

// constraintOf returns whether a target has to stay in its present replica for now instead of
// joining the named one, because the head of a replica that it is or was a member of serves, or
// isn't known to have stopped serving.
func (formation *Formation) constraintOf(target Target, replica string, view PoolView) constraint {
	if member := target.Membership; member.Replica != "" {
		if found := formation.memberConstraintOf(target, member, replica, view); found.mustStay || len(formation.releases[target.ID]) == 0 {
			return found
		}
	}
	for _, released := range formation.releases[target.ID] {
		if released.startUnixMilli != target.StartUnixMilli || released.member.Replica == replica {
			continue
		}
		if found := formation.memberConstraintOf(target, released.member, replica, view); found.mustStay {
			return found
		}
	}
	if target.Membership.Replica == "" {
		return constraint{}
	}
	return formation.memberConstraintOf(target, target.Membership, replica, view)
}

// memberConstraintOf is constraintOf for one membership. A closed head leaves its replica first:
// as long as it is ready there, a delayed order may open it again.
func (formation *Formation) memberConstraintOf(target Target, member Membership, replica string, view PoolView) constraint {
	id, known := formation.headOf(target, member, view)
	if head, listed := view.Targets[id]; known && listed {
		belongs := head.Membership.BelongsTo(member.Replica, member.Epoch)
		open := belongs && (head.Membership.State == MemberOpen || head.Membership.State == MemberReady && view.openPending(head))
		serving := open || belongs && head.Membership.State == MemberClosing
		// An earlier planner may have opened a head that the list shows as closed. Under its
		// replica's own name it may join again all the same.
		rejoins := target.ID == id && (replica == member.Replica || member.isPreload())
		stays := belongs && head.Membership.State == MemberReady && !rejoins && !view.hasLeft(head)
		return constraint{mustStay: serving || stays, mustClose: open, mustLeave: stays && !open && target.ID == id, head: head, member: member}
	}
	return formation.absentConstraintOf(target, member, replica, view)
}

// formerHead returns the head of the replica that a target leaves by joining another one, if it is
// listed. Its row may be behind it.
func (formation *Formation) formerHead(target Target, replica string, view PoolView) *Target {
	member := target.Membership
	if member.Replica == "" || member.Replica == replica || member.Rank == 0 {
		return nil
	}
	id, _ := formation.headOf(target, member, view)
	head, listed := view.Targets[id]
	if !listed || id == target.ID {
		return nil
	}
	return &head
}

// openPending reports whether the head was sent an order to open and may have
// carried it out.
func (view PoolView) openPending(head Target) bool {
	key, sent := view.PendingOpens[head.ID]
	return sent && head.Membership.BelongsTo(key.Name, key.Epoch)
}

// hasLeft reports whether the target accepted an order by which it left the replica
// that the list still shows.
func (view PoolView) hasLeft(target Target) bool {
	key, left := view.Left[target.ID]
	return left && target.Membership.BelongsTo(key.Name, key.Epoch)
}

// headOf returns the head of the replica that a target's membership names.
func (formation *Formation) headOf(target Target, member Membership, view PoolView) (string, bool) {
	if member.Rank == 0 {
		return target.ID, true
	}
	if id, known := formation.heads[member.key()]; known {
		return id, true
	}
	id, listed := view.Indexed().listedHeads[member.key()]
	return id, listed
}

// complete reports whether all members of the head's replica still belong to it and
// none is slow, so that running requests can end before it closes.
func (view PoolView) complete(head Target) bool {
	model, _ := view.Engine.Model(head.Membership.Model)
	members := 0
	for _, target := range view.Targets {
		if target.Membership.BelongsTo(head.Membership.Replica, head.Membership.Epoch) && target.Membership.Formed() && target.State != TargetSlow {
			members++
		}
	}
	return members >= model.Size
}

func closeOrder(head Target, member Membership, immediate bool) TargetOrder {
	return TargetOrder{Kind: OrderClose, Target: head, Replica: member.Replica, Epoch: member.Epoch, Immediate: immediate}
}

func leaveOrder(target Target, member Membership) TargetOrder {
	return TargetOrder{Kind: OrderLeave, Target: target, Replica: member.Replica, Epoch: member.Epoch}
}

// closeAbandoned returns orders that close the open heads of replicas without an
// assignment.
func (formation *Formation) closeAbandoned(view PoolView, closed map[ReplicaKey]bool) []TargetOrder {
	assigned := formation.assignedReplicas()
	var orders []TargetOrder
	for _, target := range view.Targets {
		member := target.Membership
		if member.Rank == 0 && member.State == MemberOpen && !assigned[member.key()] && !closed[member.key()] {
			closed[member.key()] = true
			orders = append(orders, closeOrder(target, member, !view.complete(target)))
		}
	}
	return orders
}

// leaveAbandoned returns orders that have closed heads leave replicas without an
// assignment. Otherwise a delayed order to open could open such a head although
// its other members have joined another replica.
func (formation *Formation) leaveAbandoned(view PoolView) []TargetOrder {
	var orders []TargetOrder
	for id, target := range view.Targets {
		member := target.Membership
		if member.Rank != 0 || member.State != MemberReady || member.isPreload() || formation.assigned.Has(id) || view.openPending(target) {
			continue
		}
		orders = append(orders, TargetOrder{Kind: OrderLeave, Target: target, Replica: member.Replica, Epoch: member.Epoch})
	}
	return orders
}
