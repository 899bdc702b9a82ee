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
	warmPrefix = "spare-"
	// warmTrial is how long a spare is told to load its model: a target that can't
	// do so alone is left as it is.
	warmTrial = 4 * time.Second
)

// warming is a spare that was told to load a staged model.
type warming struct {
	born  int64
	model string
	epoch uint64
	since time.Time
}

// keepsSpare tells whether the membership only keeps a spare's model loaded.
func (member Membership) keepsSpare() bool { return strings.HasPrefix(member.Replica, warmPrefix) }

// PreloadOrders returns orders that have spares load the models that lie on their hosts:
// each joins a replica of its own that is never opened. A target that had the
// model in its last replica joins the next in a fraction of the time.
func (formation *Formation) PreloadOrders(view PoolView) []TargetOrder {
	var orders []TargetOrder
	names, _ := view.domains()
	for _, name := range names {
		for _, target := range formation.free(view, name, nil) {
			if order, found := formation.warm(target, view); found {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

func (formation *Formation) warm(target Target, view PoolView) (TargetOrder, bool) {
	place := slices.IndexFunc(target.Staged, func(staged string) bool {
		_, known := view.Engine.Model(staged)
		return known
	})
	if place < 0 || target.Staging != "" || target.Membership.Model == target.Staged[place] || formation.tieOf(target, view).bound {
		return TargetOrder{}, false
	}
	model := target.Staged[place]
	told, known := formation.warmed[target.ID]
	if !known || told.born != target.StartUnixMilli || told.model != model {
		formation.epoch++
		told = warming{born: target.StartUnixMilli, model: model, epoch: formation.epoch, since: view.Now}
		formation.warmed[target.ID] = told
	}
	if view.Now.Sub(told.since) > warmTrial {
		return TargetOrder{}, false
	}
	return TargetOrder{
		Kind: OrderJoin, Target: target, Replica: warmPrefix + strconv.FormatUint(told.epoch, 36), Epoch: told.epoch,
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
		if view.HasTraffic && view.arriving(name) {
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
		if target.Staging != "" {
			continue
		}
		idle := len(target.Staged) == 0
		surplus := spares[wanted.Name] == 0 && members[wanted.Name] > 0 && len(target.Staged) > 0 && spares[target.Staged[0]] > 1
		unused := len(target.Staged) > 0 && members[target.Staged[0]] == 0 && members[wanted.Name] > 0
		if idle || surplus || unused {
			return TargetOrder{Kind: OrderStage, Target: target, Model: wanted.Name}, true
		}
	}
	return TargetOrder{}, false
}
