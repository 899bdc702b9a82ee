package greengageroute

import (
	"cmp"
	"slices"
)

// repair gives every assignment that lacks members new ones of its domain: those
// with staged weights if there are enough, after dissolving others of the model
// if need be, and else ones that have to load. A replica that only has members
// about to leave, or slow ones, goes on until staged targets can take their places.
func (formation *Formation) repair(view PoolView) []Assignment {
	broken := formation.takeBroken(view)
	if len(broken) == 0 {
		return nil
	}
	held := NewSet[string]()
	for _, one := range broken {
		for _, id := range one.kept {
			held.Add(id)
		}
	}
	var changed []Assignment
	fill := func(one brokenAssignment, longest int) bool {
		spares := formation.spares(view, one.Assignment, held, longest)
		if len(spares) < one.missing() {
			return false
		}
		changed = append(changed, formation.reassign(one, spares[:one.missing()]))
		return true
	}
	broken = slices.DeleteFunc(broken, func(one brokenAssignment) bool { return fill(one, joinStaged) })
	broken = slices.DeleteFunc(broken, func(one brokenAssignment) bool {
		if view.serves(one.Assignment) {
			formation.Assignments = append(formation.Assignments, one.Assignment)
			return true
		}
		return false
	})
	broken = formation.merge(broken, held, fill)
	for _, one := range broken {
		if !fill(one, joinLoading) {
			for _, id := range one.kept {
				delete(held, id)
			}
		}
	}
	return changed
}

// takeBroken removes the assignments that need repair and returns them, those
// first that miss the fewest members.
func (formation *Formation) takeBroken(view PoolView) []brokenAssignment {
	var broken []brokenAssignment
	formation.Assignments = slices.DeleteFunc(formation.Assignments, func(assignment Assignment) bool {
		if !view.needsRepair(assignment) {
			return false
		}
		broken = append(broken, brokenAssignment{assignment, view.survivors(assignment)})
		return true
	})
	slices.SortStableFunc(broken, func(a, b brokenAssignment) int { return cmp.Compare(a.missing(), b.missing()) })
	return broken
}

// merge dissolves broken replicas whose members fill others of their model and
// domain, from the emptiest on, and returns those that are still broken.
func (formation *Formation) merge(broken []brokenAssignment, held Set[string], fill func(brokenAssignment, int) bool) []brokenAssignment {
	for giver := len(broken) - 1; giver > 0; giver-- {
		for taker := range giver {
			if broken[taker].Model != broken[giver].Model || broken[taker].Domain != broken[giver].Domain {
				continue
			}
			for _, id := range broken[giver].kept {
				delete(held, id)
			}
			if fill(broken[taker], joinStaged) {
				broken = slices.Delete(broken, giver, giver+1)
				return formation.merge(slices.Delete(broken, taker, taker+1), held, fill)
			}
			for _, id := range broken[giver].kept {
				held.Add(id)
			}
		}
	}
	return broken
}

// reassign puts a broken assignment back with new members under a new epoch.
func (formation *Formation) reassign(one brokenAssignment, spares []string) Assignment {
	assignment := one.Assignment
	formation.epoch++
	assignment.Epoch, assignment.Opened = formation.epoch, false
	assignment.Members = append(slices.Clone(one.kept), spares...)
	formation.Assignments = append(formation.Assignments, assignment)
	formation.noteHead(assignment)
	return assignment
}

func (one brokenAssignment) missing() int { return len(one.Members) - len(one.kept) }

// needsRepair tells whether the replica can't serve, or soon won't.
func (view PoolView) needsRepair(assignment Assignment) bool {
	for _, id := range assignment.Members {
		target, found := view.Targets[id]
		if !found || target.State == TargetLeaving || target.State == TargetSlow && view.serves(assignment) {
			return true
		}
		member := target.Membership
		in := member.BelongsTo(assignment.Name, assignment.Epoch)
		if in && member.State == MemberBroken || assignment.Opened && (!in || !member.Formed()) {
			return true
		}
	}
	return false
}

// serves tells whether all members are there: those that are about to leave, or
// are slow, can stay until others take their places.
func (view PoolView) serves(assignment Assignment) bool {
	for _, id := range assignment.Members {
		target, found := view.Targets[id]
		if !found || !target.Membership.BelongsTo(assignment.Name, assignment.Epoch) || !target.Membership.Formed() {
			return false
		}
	}
	return true
}

// survivors returns the members that stay in a replica that is repaired. Slow ones
// stay where others are lost: what spares there are have to replace those first.
func (view PoolView) survivors(assignment Assignment) []string {
	var kept []string
	serves := view.serves(assignment)
	for _, id := range assignment.Members {
		target, found := view.Targets[id]
		stays := target.State == TargetReady || target.State == TargetSlow && !serves
		if found && stays && !target.Unlisted {
			kept = append(kept, id)
		}
	}
	return kept
}
