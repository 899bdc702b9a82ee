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
	// suspensionLimit is how long a head that takes connections without answering counts as
	// suspended, from when it became absent.
	suspensionLimit = 30 * time.Second
	// releasedRank stands for the rank of a released member. It isn't the head's.
	releasedRank = 1
)

// release is an order by which a member leaves its replica although the head may serve.
type release struct {
	startUnixMilli int64
	member         Membership
}

// absentConstraintOf is constraintOf for a target whose head is absent. The head may serve
// without being seen until it says that it doesn't, or until it has been without a member for
// so long that it is broken. An order without response tells neither: it lets the members join
// again under their replica's own name only. A member that time alone has freed leaves before it
// joins another replica: then it is in none, whatever the head does.
func (formation *Formation) absentConstraintOf(target Target, member Membership, replica string, view PoolView) constraint {
	key := member.key()
	if formation.leftByHead(target, member, view) {
		return constraint{}
	}
	if formation.hasBroken(key, view) {
		leaves := replica != member.Replica && target.Membership.key() == key && !view.hasLeft(target)
		return constraint{mustLeave: leaves, member: member}
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
// it or is broken, or that it has joined another one since.
func (formation *Formation) leftByHead(target Target, member Membership, view PoolView) bool {
	if closedAt, found := view.ClosedAt[member.key()]; found && closedAt.After(target.ListedSince) {
		return true
	}
	id, known := formation.heads[member.key()]
	head, found := view.Absent[id]
	isBroken := head.Membership.key() == member.key() && head.Membership.State == MemberBroken
	return known && found && (isBroken || head.Membership.Epoch > member.Epoch)
}

func (view PoolView) hasLostMember(key ReplicaKey) bool {
	_, lost := view.MemberLostAt[key]
	return lost
}

// hasBroken reports whether the replica has been without a member for so long that its head,
// if it still runs, is broken. A head may notice the loss late: it counts from when the head last
// stood still or was present, or wrote that it serves although it should have been broken. A head
// whose address is known has to leave an order unanswered after that time: it may have been
// suspended since.
func (formation *Formation) hasBroken(key ReplicaKey, view PoolView) bool {
	since, lost := view.MemberLostAt[key]
	if !lost || view.StallTimeout <= 0 {
		return false
	}
	id := formation.heads[key]
	head, known := view.Absent[id]
	serves := head.Membership.key() == key && (head.Membership.State == MemberOpen || head.Membership.State == MemberClosing)
	if serves && head.StatedAt.Sub(since) > view.StallTimeout {
		since = head.StatedAt
	}
	absentSince := view.AbsentSince[id]
	if stoodStillAt := view.StoodStillAt[key]; stoodStillAt.After(since) && view.Now.Sub(absentSince) < suspensionLimit {
		since = stoodStillAt
	}
	if known && absentSince.After(since) {
		since = absentSince
	}
	asked := view.Now
	if known {
		asked = view.UnansweredAt[key]
	}
	return asked.Sub(since) >= TimeToBreak(view.StallTimeout)
}

// TimeToBreak returns how long after it has lost a member a head is broken for certain.
func TimeToBreak(stallTimeout time.Duration) time.Duration { return stallTimeout + stallMargin }

// isHeld reports whether a target has to stay in its replica because of an absent head, or
// because of the head of a replica that it left although that may serve.
func (formation *Formation) isHeld(target Target, view PoolView) bool {
	if member := target.Membership; member.Replica != "" && member.Rank > 0 {
		id, known := formation.headOf(target, member, view)
		if _, listed := view.Targets[id]; !(known && listed) && formation.absentConstraintOf(target, member, "", view).mustStay {
			return true
		}
	}
	return len(formation.releases[target.ID]) > 0 && formation.constraintOf(target, "", view).mustStay
}

// releaseOrder returns an order to a member to leave its replica.
func (formation *Formation) releaseOrder(target Target, member Membership) TargetOrder {
	formation.recordRelease(target.ID, target.StartUnixMilli, member)
	return leaveOrder(target, member)
}

// recordMoves records the targets that are ordered to join again under their replica's name
// although its head may serve under the epoch of before.
func (formation *Formation) recordMoves(joins []TargetOrder, view PoolView) {
	for _, join := range joins {
		member := join.Target.Membership
		if member.Replica == join.Replica && member.Rank > 0 && formation.memberConstraintOf(join.Target, member, "", view).mustStay {
			formation.recordRelease(join.Target.ID, join.Target.StartUnixMilli, member)
		}
	}
}

func (formation *Formation) recordRelease(id string, startUnixMilli int64, member Membership) {
	known := slices.ContainsFunc(formation.releases[id], func(released release) bool {
		return released.startUnixMilli == startUnixMilli && released.member.key() == member.key()
	})
	if !known {
		formation.releases[id] = append(formation.releases[id], release{startUnixMilli: startUnixMilli, member: member})
	}
}

// ReleasedBy returns the replicas whose heads may serve and which a target leaves by an order, or
// by joining again under a newer epoch.
func (formation *Formation) ReleasedBy(order TargetOrder) (keys []ReplicaKey) {
	for _, released := range formation.releases[order.Target.ID] {
		leaves := order.Kind == OrderLeave && released.member.key() == order.Key()
		joinsAgain := order.Kind == OrderJoin && released.member.Replica == order.Replica && released.member.Epoch < order.Epoch
		if leaves || joinsAgain {
			keys = append(keys, released.member.key())
		}
	}
	return keys
}

// dropReleases forgets the releases of targets that have ended, and those from replicas whose
// heads no longer serve.
func (formation *Formation) dropReleases(view PoolView) {
	for id, releases := range formation.releases {
		target, listed := view.Targets[id]
		if !listed {
			target, listed = view.Absent[id]
		}
		kept := slices.DeleteFunc(releases, func(released release) bool {
			return !listed || target.StartUnixMilli != released.startUnixMilli || !formation.memberConstraintOf(target, released.member, "", view).mustStay
		})
		formation.releases[id] = kept
		if len(kept) == 0 {
			delete(formation.releases, id)
		}
	}
}

// releasedFrom returns the members that were ordered to leave a replica, sorted by id.
func (formation *Formation) releasedFrom(key ReplicaKey) (members []ReleasedMember) {
	for id, releases := range formation.releases {
		for _, released := range releases {
			if released.member.key() == key {
				members = append(members, ReleasedMember{ID: id, StartUnixMilli: released.startUnixMilli})
			}
		}
	}
	slices.SortFunc(members, func(a, b ReleasedMember) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// freeAbandoned returns orders that free the targets without an assignment from absent heads.
func (formation *Formation) freeAbandoned(view PoolView, closed map[ReplicaKey]bool) []TargetOrder {
	var held []Target
	for id, target := range view.Targets {
		if !formation.assigned.Has(id) && target.State == TargetReady && !target.Unlisted && !formation.claimsTakenPlace(target) && formation.isHeld(target, view) {
			held = append(held, target)
		}
	}
	// The same member of a replica is told to leave in each round.
	slices.SortFunc(held, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	var orders []TargetOrder
	for _, target := range held {
		orders = append(orders, formation.freeingOrders(target, formation.constraintOf(target, "", view), view, closed)...)
	}
	return orders
}
