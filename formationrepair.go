package greengageroute

import (
	"cmp"
	"slices"
)

// repair replaces the missing members of assignments by targets of the same
// domain: by targets with staged weights if there are enough, if need be after
// dissolving other replicas of the model that are damaged or wait for a member to
// load, and else by targets that have to load. A replica that only has leaving or slow
// members keeps running until staged targets can replace these. One whose missing members may
// return is left as it is while requests wait there for them, or if no staged targets are free:
// it is neither dissolved nor given a member that has to load while a target that was in it is
// only silent.
func (formation *Formation) repair(view PoolView) []Assignment {
	damaged := append(formation.takeDamaged(view), formation.takeWaiting(view)...)
	slices.SortStableFunc(damaged, func(a, b damagedAssignment) int { return cmp.Compare(a.missing(), b.missing()) })
	reserved := NewSet[string]()
	for _, assignment := range damaged {
		assignment.reserve(reserved)
		formation.repairing = append(formation.repairing, assignment.Assignment)
	}
	defer func() { formation.repairing = nil }()
	var changed []Assignment
	fill := func(assignment damagedAssignment, maxCost int) bool {
		spares := formation.spares(view, assignment.Assignment, reserved, maxCost)
		if len(spares) < assignment.missing() {
			return false
		}
		changed = append(changed, formation.reassign(view, assignment, spares[:assignment.missing()]))
		assignment.release(reserved) // its members are assigned or free now
		return true
	}
	leave := func(when func(damagedAssignment) bool) {
		damaged = slices.DeleteFunc(damaged, func(assignment damagedAssignment) bool {
			if when(assignment) {
				formation.assign(assignment.Assignment)
				assignment.release(reserved)
				return true
			}
			return false
		})
	}
	leave(func(assignment damagedAssignment) bool {
		return view.mayReturn(assignment) && view.Busy.Has(assignment.Members[0])
	})
	damaged = slices.DeleteFunc(damaged, func(assignment damagedAssignment) bool { return fill(assignment, joinCostStaged) })
	damaged = slices.DeleteFunc(damaged, func(assignment damagedAssignment) bool {
		if !formation.takesNewEpoch(assignment, view) {
			return false
		}
		assignment.survivors = assignment.Members
		return fill(assignment, joinCostStaged)
	})
	leave(func(assignment damagedAssignment) bool {
		return view.allFormed(assignment.Assignment) || view.awaitsSilent(assignment.Assignment)
	})
	damaged = formation.merge(damaged, reserved, fill)
	for _, assignment := range damaged {
		switch {
		case len(assignment.loading) > 0:
			formation.assign(assignment.Assignment) // waits on
		case formation.needsSparesOfWider(view, assignment, reserved) || !fill(assignment, joinCostLoading):
			assignment.release(reserved)
		}
	}
	return changed
}

// takeWaiting removes the assignments that wait for a member to load, while a load
// takes its full time, and returns them.
func (formation *Formation) takeWaiting(view PoolView) []damagedAssignment {
	var waiting []damagedAssignment
	if !view.HasTraffic {
		return nil
	}
	formation.unassign(func(assignment Assignment) bool {
		candidate := damagedAssignment{Assignment: assignment}
		for _, id := range assignment.Members {
			if target := view.Targets[id]; joinCost(target, assignment.Model) > joinCostStaged {
				candidate.loading = append(candidate.loading, id)
			} else {
				candidate.survivors = append(candidate.survivors, id)
			}
		}
		if len(candidate.loading) == 0 {
			return false
		}
		waiting = append(waiting, candidate)
		return true
	})
	return waiting
}

// reserve keeps the members from being used as spares.
func (damaged damagedAssignment) reserve(reserved Set[string]) {
	for _, id := range slices.Concat(damaged.survivors, damaged.loading) {
		reserved.Add(id)
	}
}

// release ends the reservation of the members.
func (damaged damagedAssignment) release(reserved Set[string]) {
	for _, id := range slices.Concat(damaged.survivors, damaged.loading) {
		delete(reserved, id)
	}
}

// takeDamaged removes the assignments that need repair, or a new epoch, and returns them.
func (formation *Formation) takeDamaged(view PoolView) []damagedAssignment {
	var damaged []damagedAssignment
	formation.unassign(func(assignment Assignment) bool {
		if !view.needsRepair(assignment) && !formation.needsNewEpoch(assignment, view) {
			return false
		}
		damaged = append(damaged, damagedAssignment{Assignment: assignment, survivors: view.survivors(assignment)})
		return true
	})
	return damaged
}

// merge dissolves damaged replicas to complete others of the same model and domain
// with their members, and returns the replicas that are still damaged. Those with
// the most missing members are dissolved first, unless their heads are absent and hold them.
func (formation *Formation) merge(damaged []damagedAssignment, reserved Set[string], fill func(damagedAssignment, int) bool) []damagedAssignment {
	for last := len(damaged) - 1; last > 0; last-- {
		for first := range last {
			if damaged[first].Model != damaged[last].Model || damaged[first].Domain != damaged[last].Domain {
				continue
			}
			if mergeInto(damaged[first], damaged[last], reserved, fill) || mergeInto(damaged[last], damaged[first], reserved, fill) {
				damaged = slices.Delete(damaged, last, last+1)
				return formation.merge(slices.Delete(damaged, first, first+1), reserved, fill)
			}
		}
	}
	return damaged
}

// mergeInto completes the recipient with members of the donor. It reports whether they were
// enough.
func mergeInto(recipient, donor damagedAssignment, reserved Set[string], fill func(damagedAssignment, int) bool) bool {
	donor.release(reserved)
	if fill(recipient, joinCostStaged) {
		return true
	}
	donor.reserve(reserved)
	return false
}

// needsSparesOfWider reports whether a damaged replica could only be completed by targets that
// have the weights of a wider model staged, of which callers miss a replica more. Without that
// spare the loss of a single member leaves more targets idle than this replica has.
func (formation *Formation) needsSparesOfWider(view PoolView, damaged damagedAssignment, reserved Set[string]) bool {
	spares := formation.spares(view, damaged.Assignment, reserved, joinCostLoading)
	if len(spares) < damaged.missing() {
		return false
	}
	values := formation.replicaValues(view)
	return slices.ContainsFunc(spares[:damaged.missing()], func(id string) bool {
		return slices.ContainsFunc(view.Targets[id].Staged, func(staged string) bool {
			model, known := view.Engine.Model(staged)
			return known && model.Size > len(damaged.Members) &&
				values.of[staged] > values.of[damaged.Model]
		})
	})
}

// mayReturn reports whether a replica that served lacks only members that have been absent for
// no longer than a target that works may be silent.
func (view PoolView) mayReturn(damaged damagedAssignment) bool {
	if !damaged.Opened || len(damaged.loading) > 0 {
		return false
	}
	silent := false
	for _, id := range damaged.Members {
		target, found := view.Targets[id]
		switch {
		case found && target.Membership.BelongsTo(damaged.Name, damaged.Epoch) && target.Membership.Formed() && target.State != TargetLeaving:
		case !found && view.isSilent(id):
			silent = true
		default:
			return false
		}
	}
	return silent
}

// awaitsSilent reports whether a member of the replica, or of an earlier epoch of it, is silent.
// Until it goes on, or has been absent for too long, its replica isn't given up.
func (view PoolView) awaitsSilent(assignment Assignment) bool {
	for id := range view.AbsentSince {
		_, listed := view.Targets[id]
		target := view.Absent[id]
		isMember := slices.Contains(assignment.Members, id) || target.Pool == view.Pool && target.Membership.Replica == assignment.Name
		if !listed && isMember && view.isSilent(id) {
			return true
		}
	}
	return false
}

// reassign puts a damaged assignment back with its spares as new members, under a
// new epoch. A head that stays keeps its place, also if it is cold.
func (formation *Formation) reassign(view PoolView, damaged damagedAssignment, spares []string) Assignment {
	assignment := damaged.Assignment
	formation.lastEpoch++
	assignment.Epoch, assignment.Opened = formation.lastEpoch, false
	assignment.Members = append(slices.Clone(damaged.survivors), spares...)
	if assignment.Members[0] != damaged.Members[0] {
		assignment.Members = view.withWarmHead(assignment.Members)
	}
	formation.assign(assignment)
	formation.recordHead(assignment)
	return assignment
}

func (damaged damagedAssignment) missing() int { return len(damaged.Members) - len(damaged.survivors) }

// needsRepair reports whether the replica can't serve, will soon be unable to, or
// is slowed down by a member.
func (view PoolView) needsRepair(assignment Assignment) bool {
	for _, id := range assignment.Members {
		target, found := view.Targets[id]
		if !found || target.State == TargetLeaving || target.State == TargetSlow && view.allFormed(assignment) {
			return true
		}
		member := target.Membership
		joined := member.BelongsTo(assignment.Name, assignment.Epoch)
		if joined && member.State == MemberBroken || assignment.Opened && (!joined || !member.Formed()) {
			return true
		}
	}
	return false
}

// allFormed reports whether all members are listed and have joined under the
// assignment's epoch. Leaving or slow ones can then stay until they are replaced.
func (view PoolView) allFormed(assignment Assignment) bool {
	for _, id := range assignment.Members {
		target, found := view.Targets[id]
		if !found || !target.Membership.BelongsTo(assignment.Name, assignment.Epoch) || !target.Membership.Formed() {
			return false
		}
	}
	return true
}

// survivors returns the members that stay in a replica under repair. If other
// members are lost, slow ones stay: the spares have to replace the lost ones first.
func (view PoolView) survivors(assignment Assignment) []string {
	var survivors []string
	allFormed := view.allFormed(assignment)
	for _, id := range assignment.Members {
		target, found := view.Targets[id]
		usable := target.State == TargetReady || target.State == TargetSlow && !allFormed
		if found && usable && !target.Unlisted {
			survivors = append(survivors, id)
		}
	}
	return survivors
}
