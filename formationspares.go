package greengageroute

import (
	"cmp"
	"math"
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
	// idleUse is the share of slots in use below which a model's replicas are missed less, by a
	// power of how much below: in bursts of 1.7 times the usual load, others take their work.
	idleUse      = 0.4
	idleUsePower = 4
	// minIdleValue keeps the order by members and spares for models without requests.
	minIdleValue = 1e-3
	// restageRatio is the ratio between the expected losses of two models from which a spare of
	// one is staged for the other by their demand: that takes 12 to 16 s.
	restageRatio = 2
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
			for _, model := range target.Staged {
				spares[model]++
			}
			if target.Staging != "" {
				spares[target.Staging]++
			}
		}
		for len(orders) < limit {
			order, found := formation.stagingOrder(view, name, free, spares)
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

// isSurplus reports whether a staged spare of a model should be staged for the wanted one: if that
// has none, and by the demand also if it is missed much more.
func (formation *Formation) isSurplus(view PoolView, domain, staged, wanted string, spares map[string]int) bool {
	if spares[staged] < 2 || staged == wanted {
		return false
	}
	missed, left := formation.expectedLoss(view, domain, wanted, spares[wanted]), formation.expectedLoss(view, domain, staged, spares[staged]-1)
	return spares[wanted] == 0 || len(view.Demand) > 0 && missed >= restageRatio*left
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

// replicaValue compares what callers lose without one of a model's replicas: it is the share of
// all of them that it makes up, and less if their slots are known to be idle.
func (formation *Formation) replicaValue(view PoolView, model string) float64 {
	assigned, serving := Set[string]{}, 0
	for _, assignment := range slices.Concat(formation.repairing, formation.Assignments) {
		if assignment.Model != model || !assigned.Add(assignment.Name) {
			continue
		}
		if assignment.Opened && view.allFormed(assignment) {
			serving++
		}
	}
	value := 1 / float64(max(len(assigned), 1))
	if demand, known := view.Demand[model]; known {
		use := modelUse{ModelDemand: demand, replicas: serving}.of(view.Engine.Slots)
		value *= max(math.Pow(min(use/idleUse, 1), idleUsePower), minIdleValue)
	}
	return value
}
