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
	// idleUse is the share of a model's slots in use below which its replicas aren't missed: in
	// bursts of 1.7 times the usual load, others take their work.
	idleUse = 0.35
)

// preload is the order to a spare to load its staged model.
type preload struct {
	startUnixMilli int64
	model          string
	epoch          uint64
	orderedAt      time.Time
}

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
	if index < 0 || target.Staging != "" || target.Membership.Model == target.Staged[index] || formation.constraintOf(target, preloadPrefix, view).mustStay {
		return TargetOrder{}, false
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
		Model: model, Members: []string{target.ID},
	}, true
}

// StagingOrders returns orders that stage weights on free targets, so that each
// domain can replace members of the models that it runs. The limit is how many
// loads may start now.
func (formation *Formation) StagingOrders(view PoolView, limit int) []TargetOrder {
	var orders []TargetOrder
	view = view.Indexed()
	names, _ := view.domainSizes()
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
		for len(orders) < limit {
			order, found := formation.stagingOrder(view, name, free, spares)
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
func (formation *Formation) stagingOrder(view PoolView, domain string, free []Target, spares map[string]int) (TargetOrder, bool) {
	members := formation.membersIn(domain)
	models := slices.Clone(view.Engine.Models)
	slices.SortStableFunc(models, func(a, b EngineModel) int {
		return cmp.Compare(formation.expectedLoss(view, domain, b.Name, spares[b.Name]), formation.expectedLoss(view, domain, a.Name, spares[a.Name]))
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
		surplus := members[wanted.Name] > 0 && len(target.Staged) > 0 && formation.isSurplus(view, domain, target.Staged[0], wanted.Name, spares)
		unused := len(target.Staged) > 0 && members[target.Staged[0]] == 0 && members[wanted.Name] > 0
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

// expectedLoss compares what callers lose by the losses of members in a domain that has a
// number of staged spares for a model.
func (formation *Formation) expectedLoss(view PoolView, domain, model string, spares int) float64 {
	return float64(formation.membersIn(domain)[model]) / float64(1+spares) * formation.replicaValue(view, model)
}

// replicaValue compares what callers lose without one of a model's replicas: the share of all of
// them that it makes up, as long as no model is known to be idle.
func (formation *Formation) replicaValue(view PoolView, model string) float64 {
	if formation.anyIdle(view) {
		return 1
	}
	return 1 / float64(max(formation.replicasOf(model), 1))
}

// anyIdle reports whether a model is known to use few of its slots. Others take the work of its
// replicas.
func (formation *Formation) anyIdle(view PoolView) bool {
	return slices.ContainsFunc(view.Engine.Models, func(model EngineModel) bool {
		demand, known := view.Demand[model.Name]
		use := modelUse{ModelDemand: demand, replicas: formation.replicasOf(model.Name)}
		return known && use.of(view.Engine.Slots) < idleUse
	})
}

// replicasOf returns how many replicas of a model are assigned or being repaired.
func (formation *Formation) replicasOf(model string) int {
	replicas := Set[string]{}
	for _, assignment := range slices.Concat(formation.repairing, formation.Assignments) {
		if assignment.Model == model {
			replicas.Add(assignment.Name)
		}
	}
	return len(replicas)
}

// isSurplus reports whether a staged spare of a model should be staged for the wanted one: if that
// has none, or, as a model is known to be idle, if it is missed more by the members of both.
func (formation *Formation) isSurplus(view PoolView, domain, staged, wanted string, spares map[string]int) bool {
	if spares[staged] < 2 || staged == wanted {
		return false
	}
	missed, left := formation.expectedLoss(view, domain, wanted, spares[wanted]), formation.expectedLoss(view, domain, staged, spares[staged]-1)
	return spares[wanted] == 0 || formation.anyIdle(view) && missed > left
}
