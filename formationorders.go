package greengageroute

import (
	"cmp"
	"slices"
	"time"
)

// absentGrace is how long a member waits for its head to be listed again: the
// entries of live targets are back within two seconds of an outage.
const absentGrace = 2500 * time.Millisecond

// tie is what holds a target in its replica.
type tie struct {
	bound bool
	close bool // the head has to be told
	head  Target
}

// Orders returns what to tell which targets now, so that the assignments come
// about. Nothing is said to targets that are on their way already.
func (formation *Formation) Orders(view PoolView) []TargetOrder {
	var orders []TargetOrder
	closed := NewSet[string]()
	for _, assignment := range formation.Assignments {
		orders = append(orders, formation.ordersFor(assignment, view, closed)...)
	}
	return append(orders, formation.closeAbandoned(view, closed)...)
}

func (formation *Formation) ordersFor(assignment Assignment, view PoolView, closed Set[string]) []TargetOrder {
	var joins, closes []TargetOrder
	formed, blocked := 0, false
	for _, id := range assignment.Members {
		target, found := view.Targets[id]
		if !found {
			return nil // Update replaces the member
		}
		if target.Member.Serves(assignment.Name, assignment.Epoch) {
			if target.Member.Formed() {
				formed++
			}
			continue
		}
		tie := formation.tieOf(target, view)
		blocked = blocked || tie.bound
		if tie.close && closed.Add(tie.head.ID) {
			closes = append(closes, closeOrder(tie.head, target.Member, !view.complete(tie.head)))
		}
		joins = append(joins, TargetOrder{
			Kind: OrderJoin, Target: target, Replica: assignment.Name, Epoch: assignment.Epoch,
			Model: assignment.Model, Members: assignment.Members,
		})
	}
	if blocked {
		return closes
	}
	if len(joins) > 0 {
		return joins
	}
	head := view.Targets[assignment.Members[0]]
	if formed == len(assignment.Members) && head.Member.State == MemberReady {
		return []TargetOrder{{Kind: OrderOpen, Target: head, Replica: assignment.Name, Epoch: assignment.Epoch}}
	}
	return nil
}

// tieOf tells whether a target has to stay in its replica for now: the replica's
// head serves, or nobody knows yet that it doesn't.
func (formation *Formation) tieOf(target Target, view PoolView) tie {
	member := target.Member
	if member.Replica == "" {
		return tie{}
	}
	id, known := formation.headOf(member, view)
	if !known {
		return tie{bound: view.Now.Sub(target.Since) < absentGrace}
	}
	if head, listed := view.Targets[id]; listed {
		serves := head.Member.Serves(member.Replica, member.Epoch)
		open := serves && (head.Member.State == MemberOpen || head.Member.State == MemberReady && view.opening(head))
		return tie{bound: open || serves && head.Member.State == MemberClosing, close: open, head: head}
	}
	if settled, found := view.Settled[id]; found && settled.After(target.Since) {
		return tie{}
	}
	head, found := view.Absent[id]
	if !found {
		return tie{bound: view.Now.Sub(target.Since) < absentGrace}
	}
	return tie{bound: true, close: true, head: head}
}

// opening tells whether the head was told to open and may have.
func (view PoolView) opening(head Target) bool {
	key, told := view.Opening[head.ID]
	return told && head.Member.Serves(key.Name, key.Epoch)
}

// headOf returns the head of the replica that a membership names.
func (formation *Formation) headOf(member Membership, view PoolView) (string, bool) {
	if id, known := formation.heads[ReplicaKey{member.Replica, member.Epoch}]; known {
		return id, true
	}
	for id, target := range view.Targets {
		if target.Member.Rank == 0 && target.Member.Serves(member.Replica, member.Epoch) {
			return id, true
		}
	}
	return "", false
}

// complete tells whether all members of the replica of a head still belong to it.
func (view PoolView) complete(head Target) bool {
	model, _ := view.Engine.Model(head.Member.Model)
	members := 0
	for _, target := range view.Targets {
		if target.Member.Serves(head.Member.Replica, head.Member.Epoch) && target.Member.Formed() {
			members++
		}
	}
	return members >= model.Size
}

func closeOrder(head Target, member Membership, cut bool) TargetOrder {
	return TargetOrder{Kind: OrderClose, Target: head, Replica: member.Replica, Epoch: member.Epoch, Cut: cut}
}

// closeAbandoned closes open heads whose replica no assignment has any more.
func (formation *Formation) closeAbandoned(view PoolView, closed Set[string]) []TargetOrder {
	wanted := map[ReplicaKey]bool{}
	for _, assignment := range formation.Assignments {
		wanted[ReplicaKey{assignment.Name, assignment.Epoch}] = true
	}
	var orders []TargetOrder
	for _, target := range view.Targets {
		member := target.Member
		if member.Rank == 0 && member.State == MemberOpen && !wanted[ReplicaKey{member.Replica, member.Epoch}] && closed.Add(target.ID) {
			orders = append(orders, closeOrder(target, member, !view.complete(target)))
		}
	}
	return orders
}

// Stage returns orders that stage weights on free targets, so that each domain
// can replace members of the models that it runs. The limit is how many loads
// may start now.
func (formation *Formation) Stage(view PoolView, limit int) []TargetOrder {
	var orders []TargetOrder
	names, _ := view.domains()
	for _, name := range names {
		if view.Serving && view.arriving(name) {
			continue // what is staged may be what the domain's replicas need
		}
		free := formation.free(view, name, nil)
		spares := map[string]int{}
		for _, target := range free {
			for _, model := range target.Staged {
				spares[model]++
			}
		}
		for len(orders) < limit {
			order, found := formation.stageOne(view, name, free, spares)
			if !found {
				break
			}
			orders = append(orders, order)
			spares[order.Model]++
			free = slices.DeleteFunc(free, func(target Target) bool { return target.ID == order.Target.ID })
		}
	}
	return orders
}

// stageOne picks the model with the most members for each staged spare, and a
// free target with nothing staged that the domain needs.
func (formation *Formation) stageOne(view PoolView, domain string, free []Target, spares map[string]int) (TargetOrder, bool) {
	members := map[string]int{}
	for _, assignment := range formation.Assignments {
		if assignment.Domain == domain {
			members[assignment.Model] += len(assignment.Members)
		}
	}
	models := slices.Clone(view.Engine.Models)
	slices.SortStableFunc(models, func(a, b EngineModel) int {
		return cmp.Compare(members[b.Name]*(1+spares[a.Name]), members[a.Name]*(1+spares[b.Name]))
	})
	if len(models) == 0 {
		return TargetOrder{}, false
	}
	wanted := models[0]
	for _, target := range free {
		idle := len(target.Staged) == 0
		surplus := spares[wanted.Name] == 0 && members[wanted.Name] > 0 && len(target.Staged) > 0 && spares[target.Staged[0]] > 1
		unused := len(target.Staged) > 0 && members[target.Staged[0]] == 0 && members[wanted.Name] > 0
		if idle || surplus || unused {
			return TargetOrder{Kind: OrderStage, Target: target, Model: wanted.Name}, true
		}
	}
	return TargetOrder{}, false
}
