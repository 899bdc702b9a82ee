package greengageroute

import (
	"cmp"
	"slices"
	"time"
)

const (
	// headListingGrace is how long a member waits for its head to be listed again. Live
	// targets are listed again within two seconds after an outage.
	headListingGrace = 2500 * time.Millisecond
	// silenceTolerance is how long a target that works may be silent. Until then its replica
	// is left as it is, unless targets are at hand that join it at once.
	silenceTolerance = 2 * time.Second
	// stallMargin is added to the time after which a head without one of its members is
	// broken: its VM may be suspended for as long as a target may be silent, and its clock
	// may be slow.
	stallMargin = 3 * time.Second
	// releasedRank stands for the rank of a released member. It isn't the head's.
	releasedRank = 1
)

// release is an order to a member to leave its replica although the head may serve.
type release struct {
	startUnixMilli int64
	member         Membership
}

// absentConstraintOf is constraintOf for a target whose head is absent. The head may serve
// without being seen until it says that it doesn't, or until it has been without a member for
// so long that it is broken. An order without response tells neither: it lets the members join
// again under their replica's own name only.
func (formation *Formation) absentConstraintOf(target Target, member Membership, replica string, view PoolView) constraint {
	key := member.key()
	if formation.leftByHead(target, member, view) || view.hasBroken(key) {
		return constraint{}
	}
	if view.SuspectedHeads[key] && replica == member.Replica {
		return constraint{}
	}
	id, known := formation.heads[key]
	head, found := view.Absent[id]
	if !known || !found {
		unseen := view.Now.Sub(target.ListedSince) >= headListingGrace
		return constraint{mustStay: true, mustRelease: unseen && !view.hasLostMember(key), member: member}
	}
	lost := view.SuspectedHeads[key] && view.Now.Sub(view.AbsentSince[id]) >= silenceTolerance
	return constraint{mustStay: true, mustClose: true, mustRelease: lost && !view.hasLostMember(key), head: head, member: member}
}

// leftByHead reports whether the absent head of a target's replica said that it doesn't serve
// it, or that it has joined another one since.
func (formation *Formation) leftByHead(target Target, member Membership, view PoolView) bool {
	if closedAt, found := view.ClosedAt[member.key()]; found && closedAt.After(target.ListedSince) {
		return true
	}
	id, known := formation.heads[member.key()]
	head, found := view.Absent[id]
	return known && found && head.Membership.Epoch > member.Epoch
}

func (view PoolView) hasLostMember(key ReplicaKey) bool {
	_, lost := view.MemberLostAt[key]
	return lost
}

// hasBroken reports whether the replica has been without a member for so long that its head,
// if it still runs, is broken.
func (view PoolView) hasBroken(key ReplicaKey) bool {
	lostAt, lost := view.MemberLostAt[key]
	return lost && view.StallTimeout > 0 && view.Now.Sub(lostAt) >= view.StallTimeout+stallMargin
}

// isHeld reports whether a target has to stay in its replica because of an absent head.
func (formation *Formation) isHeld(target Target, view PoolView) bool {
	member := formation.membershipOf(target)
	if member.Replica == "" || member.Rank == 0 {
		return false
	}
	if id, known := formation.headOf(target, member, view); known {
		if _, listed := view.Targets[id]; listed {
			return false
		}
	}
	return formation.absentConstraintOf(target, member, "", view).mustStay
}

// membershipOf returns a target's membership. A released member counts as one, as long as
// its replica's head may serve, until it joins another replica or restarts.
func (formation *Formation) membershipOf(target Target) Membership {
	released, found := formation.releases[target.ID]
	if target.Membership.Replica == "" && found && released.startUnixMilli == target.StartUnixMilli {
		return released.member
	}
	return target.Membership
}

// releaseOrder returns an order to a member to leave its replica.
func (formation *Formation) releaseOrder(target Target, member Membership) TargetOrder {
	formation.releases[target.ID] = release{startUnixMilli: target.StartUnixMilli, member: member}
	return TargetOrder{Kind: OrderLeave, Target: target, Replica: member.Replica, Epoch: member.Epoch}
}

// IsRelease reports whether an order has a member leave a replica whose head may serve.
func (formation *Formation) IsRelease(order TargetOrder) bool {
	released, found := formation.releases[order.Target.ID]
	return order.Kind == OrderLeave && found && released.member.key() == order.Key()
}

// dropReleases forgets the releases of targets that have joined another replica since, or
// have ended.
func (formation *Formation) dropReleases(view PoolView) {
	for id, released := range formation.releases {
		target, listed := view.Targets[id]
		if !listed {
			target, listed = view.Absent[id]
		}
		member := target.Membership
		if !listed || target.StartUnixMilli != released.startUnixMilli || member.Replica != "" && member.key() != released.member.key() {
			delete(formation.releases, id)
		}
	}
}

// releasedFrom returns the members that were ordered to leave a replica, sorted by id.
func (formation *Formation) releasedFrom(key ReplicaKey) (members []ReleasedMember) {
	for id, released := range formation.releases {
		if released.member.key() == key {
			members = append(members, ReleasedMember{ID: id, StartUnixMilli: released.startUnixMilli})
		}
	}
	slices.SortFunc(members, func(a, b ReleasedMember) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// freeAbandoned returns orders that free the targets without an assignment from absent heads.
func (formation *Formation) freeAbandoned(view PoolView, closed map[ReplicaKey]bool) []TargetOrder {
	var orders []TargetOrder
	for id, target := range view.Targets {
		if !formation.assigned.Has(id) && target.State == TargetReady && !target.Unlisted && formation.isHeld(target, view) {
			constraint := formation.constraintOf(target, "", view)
			orders = append(orders, formation.freeingOrders(target, constraint, view, closed)...)
		}
	}
	return orders
}
