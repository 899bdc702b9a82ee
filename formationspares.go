package greengageroute

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// warmPrefix begins the names of the replicas that keep one spare each ready to
	// join another. They are never opened.
	preloadPrefix = "spare-"
	// warmTrial is how long a spare is told to load its model: a target that can't
	// do so alone is left as it is.
	preloadTimeout = 4 * time.Second
)

// warming is a spare that was told to load a staged model.
type preload struct {
	startUnixMilli int64
	model          string
	epoch          uint64
	orderedAt      time.Time
}

// keepsSpare tells whether the membership only keeps a spare's model loaded.
func (member Membership) isPreload() bool { return strings.HasPrefix(member.Replica, preloadPrefix) }

// PreloadOrders returns orders that have spares load the models that lie on their hosts:
// each joins a replica of its own that is never opened. A target that had the
// model in its last replica joins the next in a fraction of the time.
func (formation *Formation) PreloadOrders(view PoolView) []TargetOrder {
	var orders []TargetOrder
	names, _ := view.domains()
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
	if index < 0 || target.Staging != "" || target.Membership.Model == target.Staged[index] || formation.constraintOf(target, view).mustStay {
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

// StagingOrders returns orders that stage weights on free targets, so that each domain
// can replace members of the models that it runs. The limit is how many loads
// may start now.
func (formation *Formation) StagingOrders(view PoolView, limit int) []TargetOrder {
	var orders []TargetOrder
	names, _ := view.domains()
	for _, name := range names {
		if view.HasTraffic && view.recentlyListed(name) {
			continue // what is staged may be what the domain's replicas need
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

// stageOne picks the model with the most members for each staged spare, and a
// free target with nothing staged that the domain needs.
func (formation *Formation) stagingOrder(view PoolView, domain string, free []Target, spares map[string]int) (TargetOrder, bool) {
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
		if target.Staging != "" {
			continue
		}
		empty := len(target.Staged) == 0
		surplus := spares[wanted.Name] == 0 && members[wanted.Name] > 0 && len(target.Staged) > 0 && spares[target.Staged[0]] > 1
		unused := len(target.Staged) > 0 && members[target.Staged[0]] == 0 && members[wanted.Name] > 0
		if empty || surplus || unused {
			return TargetOrder{Kind: OrderStage, Target: target, Model: wanted.Name}, true
		}
	}
	return TargetOrder{}, false
}
