package greengageroute

import (
	"slices"
	"strings"
)

// reportedReplicas returns the newest epoch of each replica that listed or silent targets
// report, with the members known of it.
func (view PoolView) reportedReplicas() map[string]Assignment {
	replicas := map[string]Assignment{}
	for _, target := range view.Targets {
		view.addMember(replicas, target)
	}
	lost := map[string]Target{}
	for id, target := range view.Absent {
		_, listed := view.Targets[id]
		switch {
		case listed || target.Pool != view.Pool:
		case view.isSilent(id):
			view.addMember(replicas, target)
		default:
			lost[id] = target
		}
	}
	for _, target := range lost {
		if replica, known := replicas[target.Membership.Replica]; known && replica.Epoch == target.Membership.Epoch {
			view.addMember(replicas, target)
		}
	}
	return replicas
}

// addMember adds a target to the replica that it reports, unless others report a newer epoch of
// that, or one of them holds its place.
func (view PoolView) addMember(replicas map[string]Assignment, target Target) {
	member := target.Membership
	model, known := view.Engine.Model(member.Model)
	if !known || member.Epoch == 0 || member.Rank < 0 || member.Rank >= model.Size || member.isPreload() {
		return
	}
	replica := replicas[member.Replica]
	if replica.Epoch < member.Epoch {
		replica = Assignment{
			Name: member.Replica, Epoch: member.Epoch, Model: member.Model, Domain: target.Domain,
			Members: make([]string, model.Size),
		}
	}
	if replica.Epoch > member.Epoch || member.Rank >= len(replica.Members) || view.hasPrecedence(replica.Members[member.Rank], target) {
		return
	}
	replica.Members[member.Rank] = target.ID
	if member.Rank == 0 {
		replica.Opened = member.State == MemberOpen
	}
	replicas[member.Replica] = replica
}

// hasPrecedence reports whether a target, if there is one of that id, holds the place in its
// replica that another one claims too.
func (view PoolView) hasPrecedence(id string, rival Target) bool {
	if id == "" {
		return false
	}
	holder, listed := view.Targets[id]
	if !listed {
		holder = view.Absent[id]
	}
	return comparePrecedence(holder, rival) < 0
}

// claimsTakenPlace reports whether a target claims a place that an assignment gives to another
// one. No order has given it that place.
func (formation *Formation) claimsTakenPlace(target Target) bool {
	member := target.Membership
	if member.Replica == "" || member.isPreload() || formation.assigned.Has(target.ID) {
		return false
	}
	isTaken := func(assignment Assignment) bool {
		if !member.BelongsTo(assignment.Name, assignment.Epoch) || member.Rank >= len(assignment.Members) {
			return false
		}
		holder := assignment.Members[member.Rank]
		return holder != "" && holder != target.ID
	}
	return slices.ContainsFunc(formation.Assignments, isTaken) || slices.ContainsFunc(formation.repairing, isTaken)
}

// isSilent reports whether a target has been absent for no longer than one that works may be
// silent.
func (view PoolView) isSilent(id string) bool {
	since, absent := view.AbsentSince[id]
	return absent && view.Now.Sub(since) < silenceTolerance
}

// isPresent reports whether a target is listed, or silent for a moment.
func (view PoolView) isPresent(id string) bool {
	_, listed := view.Targets[id]
	return listed || view.isSilent(id)
}

// adoptAll assigns the replicas that the targets report, except those whose members have all
// been absent for long.
func (formation *Formation) adoptAll(view PoolView) {
	for _, replica := range view.reportedReplicas() {
		if slices.ContainsFunc(replica.Members, view.isPresent) {
			formation.adopt(replica)
		}
	}
	slices.SortFunc(formation.Assignments, func(a, b Assignment) int { return strings.Compare(a.Name, b.Name) })
}

// adoptOpen assigns open replicas that this formation doesn't know, or only under an epoch from
// which the planner before had moved on: their members were silent, or their rows on the way, as
// it began. A replica that was given up is assigned again once it is listed as a whole.
func (formation *Formation) adoptOpen(view PoolView) {
	if !formation.hasUnknownHead(view) {
		return
	}
	for _, replica := range view.reportedReplicas() {
		if !replica.Opened || formation.dissolved.Has(replica.Name) {
			continue
		}
		index := slices.IndexFunc(formation.Assignments, func(assignment Assignment) bool { return assignment.Name == replica.Name })
		var known Assignment
		if index >= 0 {
			known = formation.Assignments[index]
		}
		inOther := func(id string) bool { return formation.assigned.Has(id) && !slices.Contains(known.Members, id) }
		isMissing := func(id string) bool { return !view.isPresent(id) }
		isUnlisted := func(id string) bool { _, listed := view.Targets[id]; return !listed }
		if !formation.names.Has(replica.Name) {
			formation.unassignUnbegun(replica.Members, view)
		}
		switch {
		case slices.ContainsFunc(replica.Members, inOther):
		case index >= 0:
			if replica.Epoch > known.Epoch && replica.Epoch <= formation.firstEpoch && !slices.ContainsFunc(replica.Members, isMissing) {
				formation.unassign(func(assignment Assignment) bool { return assignment.Name == replica.Name })
				formation.adopt(replica)
			}
		case formation.names.Has(replica.Name):
			if !slices.ContainsFunc(replica.Members, isUnlisted) {
				formation.adopt(replica)
			}
		case slices.ContainsFunc(replica.Members, view.isPresent):
			formation.adopt(replica)
		}
	}
}

// unassignUnbegun removes the assignments of any of the members that no target has joined: they were
// made from rows that were behind their targets.
func (formation *Formation) unassignUnbegun(members []string, view PoolView) {
	begun := map[ReplicaKey]bool{}
	for _, targets := range []map[string]Target{view.Targets, view.Absent} {
		for _, target := range targets {
			begun[target.Membership.key()] = true
		}
	}
	formation.unassign(func(assignment Assignment) bool {
		return !assignment.Opened && !begun[assignment.key()] && slices.ContainsFunc(assignment.Members, func(id string) bool {
			return id != "" && slices.Contains(members, id)
		})
	})
}

// hasUnknownHead reports whether an open head, listed or silent, belongs to no assignment.
func (formation *Formation) hasUnknownHead(view PoolView) bool {
	assigned := formation.assignedReplicas()
	isUnknown := func(member Membership) bool {
		return member.Rank == 0 && member.State == MemberOpen && !assigned[member.key()]
	}
	for _, target := range view.Targets {
		if isUnknown(target.Membership) {
			return true
		}
	}
	for id, target := range view.Absent {
		if target.Pool == view.Pool && isUnknown(target.Membership) && view.isSilent(id) {
			return true
		}
	}
	return false
}

// adopt assigns a replica as the targets report it.
func (formation *Formation) adopt(replica Assignment) {
	formation.assign(replica)
	if replica.Members[0] != "" {
		formation.recordHead(replica)
	}
}

// isInherited reports whether an assignment has the epoch of an earlier planner and isn't known to
// serve, or its head isn't open. Orders of that planner may still be on their way, and a member
// whose row is old may have left: such a replica forms again under an epoch of this planner.
func (formation *Formation) isInherited(assignment Assignment, view PoolView) bool {
	head, listed := view.Targets[assignment.Members[0]]
	isReady := listed && head.Membership.BelongsTo(assignment.Name, assignment.Epoch) && head.Membership.State == MemberReady
	return assignment.Epoch <= formation.firstEpoch && (!assignment.Opened || isReady)
}

// needsNewEpoch reports whether an inherited replica may form again now: loads of its members that
// are under way would begin anew.
func (formation *Formation) needsNewEpoch(assignment Assignment, view PoolView) bool {
	return formation.isInherited(assignment, view) && !slices.ContainsFunc(assignment.Members, func(id string) bool {
		target := view.Targets[id]
		return target.Membership.BelongsTo(assignment.Name, assignment.Epoch) && target.joinsWithLoad()
	})
}

// takesNewEpoch reports whether an inherited replica forms again with the members that it has, some
// of which may be slow. The row of one that isn't listed may be old.
func (formation *Formation) takesNewEpoch(damaged damagedAssignment, view PoolView) bool {
	return formation.needsNewEpoch(damaged.Assignment, view) && view.allFormed(damaged.Assignment) &&
		!slices.ContainsFunc(damaged.Members, func(id string) bool {
			target := view.Targets[id]
			return target.Unlisted || target.State == TargetLeaving
		})
}
