package greengageroute

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// preloadPrefix begins the names of the single-target replicas that keep a spare's
	// model loaded. They are never opened.
	preloadPrefix = "spare-"
	// preloadTimeout limits how long a spare is sent the order to load its model. A
	// target that can't load the model alone is left as it is after that.
	preloadTimeout = 4 * time.Second
	// idleUse is the share of a model's slots in use, at its peak lately, below which its replicas
	// aren't missed: in bursts of 1.7 times the usual load, others take their work.
	idleUse = 0.4
)

type (
	// preload is the order to a spare to load its staged model.
	preload struct {
		startUnixMilli int64
		model          string
		epoch          uint64
		orderedAt      time.Time
	}

	// replicaValues compares what callers lose without one of each model's replicas.
	replicaValues struct {
		of      map[string]float64 // by model
		anyIdle bool               // a model is known to use few of its slots
		lacking Set[string]        // models without any replica
	}
)

// isPreload reports whether the membership only keeps a spare's model loaded.
func (member Membership) isPreload() bool { return strings.HasPrefix(member.Replica, preloadPrefix) }

// PreloadOrders returns orders that have spares load the model staged on their
// hosts: each joins a replica of its own that is never opened. A target whose last
// replica had the same model joins the next one in a fraction of the time.
func (formation *Formation) PreloadOrders(view PoolView) []TargetOrder {
	var orders []TargetOrder
	view = view.Indexed()
	names, _ := view.domainSizes()
	for _, name := range names {
		for _, target := range formation.free(view, name, nil) {
			if order, found := formation.preloadOrder(target, view); found {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

func (formation *Formation) preloadOrder(target Target, view PoolView) (TargetOrder, bool) {
	index := slices.IndexFunc(target.Staged, func(staged string) bool {
		_, known := view.Engine.Model(staged)
		return known
	})
	if index < 0 || target.Staging != "" || target.Membership.Model == target.Staged[index] {
		return TargetOrder{}, false
	}
	constraint := formation.constraintOf(target, preloadPrefix, view)
	switch {
	case constraint.mustStay:
		return TargetOrder{}, false
	case constraint.mustLeave:
		return leaveOrder(target, constraint.member), true
	}
	model := target.Staged[index]
	ordered, known := formation.preloads[target.ID]
	if !known || ordered.startUnixMilli != target.StartUnixMilli || ordered.model != model {
		formation.lastEpoch++
		ordered = preload{startUnixMilli: target.StartUnixMilli, model: model, epoch: formation.lastEpoch, orderedAt: view.Now}
		formation.preloads[target.ID] = ordered
	}
	if view.Now.Sub(ordered.orderedAt) > preloadTimeout {
		return TargetOrder{}, false
	}
	return TargetOrder{
		Kind: OrderJoin, Target: target, Replica: preloadPrefix + strconv.FormatUint(ordered.epoch, 36), Epoch: ordered.epoch,
		Model: model, Members: []string{target.ID}, FormerHead: formation.formerHead(target, "", view),
	}, true
}

// StagingOrders returns orders that stage weights on free targets, so that each
// domain can replace members of the models that it runs. The limit is how many
// loads may start now.
func (formation *Formation) StagingOrders(view PoolView, limit int) []TargetOrder {
	var orders []TargetOrder
	view = view.Indexed()
	names, _ := view.domainSizes()
	values := formation.replicaValues(view)
	for _, name := range names {
		if view.HasTraffic && view.recentlyListed(name) {
			continue // the weights staged on targets still to be listed may be the ones that the replicas need
		}
		free := formation.free(view, name, nil)
		spares := map[string]int{}
		for _, target := range free {
			if target.Staging != "" {
				spares[target.Staging]++ // in place of what is staged
				continue
			}
			for _, model := range target.Staged {
				spares[model]++
			}
		}
		members := formation.membersIn(name)
		for len(orders) < limit {
			order, found := stagingOrder(view, values, free, members, spares)
			if !found {
				break
			}
			orders = append(orders, order)
			spares[order.Model]++
			for _, model := range order.Target.Staged {
				spares[model]--
			}
			free = slices.DeleteFunc(free, func(target Target) bool { return target.ID == order.Target.ID })
		}
	}
	return orders
}

// stagingOrder picks the model with the highest expected loss without a further staged spare,
// and a free target that has nothing staged or whose staged model the domain can spare.
func stagingOrder(view PoolView, values replicaValues, free []Target, members, spares map[string]int) (TargetOrder, bool) {
	models := slices.Clone(view.Engine.Models)
	slices.SortStableFunc(models, func(a, b EngineModel) int {
		return cmp.Compare(values.expectedLoss(b.Name, members[b.Name], spares[b.Name]), values.expectedLoss(a.Name, members[a.Name], spares[a.Name]))
	})
	if len(models) == 0 {
		return TargetOrder{}, false
	}
	wanted := models[0]
	for _, target := range free {
		if target.Staging != "" {
			continue
		}
		empty := len(target.Staged) == 0
		surplus := members[wanted.Name] > 0 && len(target.Staged) > 0 && values.isSurplus(target.Staged[0], wanted.Name, members, spares)
		// The weights of a model without any replica are kept for the return of those that it lacks.
		unused := len(target.Staged) > 0 && members[target.Staged[0]] == 0 && members[wanted.Name] > 0 && !values.lacking.Has(target.Staged[0])
		if empty || surplus || unused {
			return TargetOrder{Kind: OrderStage, Target: target, Model: wanted.Name}, true
		}
	}
	return TargetOrder{}, false
}

// membersIn returns how many members the replicas of each model have in a domain.
func (formation *Formation) membersIn(domain string) map[string]int {
	members := map[string]int{}
	for _, assignment := range formation.Assignments {
		if assignment.Domain == domain {
			members[assignment.Model] += len(assignment.Members)
		}
	}
	return members
}

// expectedLoss compares what callers lose by the losses of a number of members of a model in a
// domain that has a number of staged spares for it.
func (values replicaValues) expectedLoss(model string, members, spares int) float64 {
	return float64(members) / float64(1+spares) * values.of[model]
}

// isSurplus reports whether a staged spare of a model should be staged for the wanted one: if that
// has none, or, as a model is known to be idle, if it is missed more by the members of both.
func (values replicaValues) isSurplus(staged, wanted string, members, spares map[string]int) bool {
	if spares[staged] < 2 || staged == wanted {
		return false
	}
	missed := values.expectedLoss(wanted, members[wanted], spares[wanted])
	return spares[wanted] == 0 || values.anyIdle && missed > values.expectedLoss(staged, members[staged], spares[staged]-1)
}

// replicaValues compares what callers lose without one of each model's replicas: the share of all
// of the model's replicas that it makes up. While a model is known to use few of its slots, it is
// the same for all: others take the work of its replicas.
func (formation *Formation) replicaValues(view PoolView) replicaValues {
	replicas := map[string]Set[string]{}
	for _, model := range view.Engine.Models {
		replicas[model.Name] = Set[string]{}
	}
	for _, assignment := range slices.Concat(formation.repairing, formation.Assignments) {
		if names, known := replicas[assignment.Model]; known {
			names.Add(assignment.Name)
		}
	}
	values := replicaValues{of: map[string]float64{}, lacking: Set[string]{}}
	for name, names := range replicas {
		if len(names) == 0 {
			values.lacking.Add(name)
		}
		demand, known := view.Demand[name]
		use := modelUse{ModelDemand: ModelDemand{Running: max(demand.Peak, demand.Running)}, replicas: len(names)}
		values.anyIdle = values.anyIdle || known && use.of(view.Engine.Slots) < idleUse
		values.of[name] = 1 / float64(max(len(names), 1))
	}
	if values.anyIdle {
		for name := range values.of {
			values.of[name] = 1
		}
	}
	return values
}
