package greengageroute

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shiftUse is the share of a model's slots in use from which other models give targets to
	// it: bursts reach 1.7 times the usual load.
	shiftUse = 0.5
	// giverUse is the share up to which a model may be left after it gave targets. The use of
	// slots doesn't show how long its callers wait for each other's prompts.
	giverUse = 0.35
	// shiftRatio is the least ratio between the uses of the two models. A target that changes
	// its model loads weights for 12 to 16 s, so small differences aren't followed.
	shiftRatio = 1.5
	// shiftInterval is the time between two shifts: until the demand shows the effect of the
	// first, its loads included.
	shiftInterval = 20 * time.Second
)

type (
	// ModelDemand is what callers ask of a model.
	ModelDemand struct {
		Running float64 // requests in progress at all entries, mean over some seconds
		Peak    float64 // the highest mean of the last minute or so
		Rank    int     // of the most urgent route requested lately
		HasRank bool    // a request for the model was seen lately
	}

	// modelUse is the use that a model's callers make of its replicas.
	modelUse struct {
		EngineModel
		ModelDemand
		replicas int
		gained   bool // it has more targets than before the first shift
	}
)

// of returns the share of the model's slots in use.
func (use modelUse) of(slots int) float64 {
	return use.Running / float64(max(use.replicas, 1)*max(slots, 1))
}

// shouldGiveTo reports whether targets of the model should serve the other one: a busier one with
// more urgent requests, or one that gave them before.
func (use modelUse) shouldGiveTo(other modelUse, slots int) bool {
	isUrgent := use.HasRank && other.HasRank && other.Rank < use.Rank
	return (isUrgent || use.gained && other.HasRank) && other.of(slots) >= max(shiftUse, shiftRatio*use.of(slots))
}

// dropOutdatedShares forgets what the last shift planned if it lacks a model that the engine has
// now: it doesn't say how many targets that one should have.
func (formation *Formation) dropOutdatedShares(engine *Engine) {
	if formation.shares != nil && slices.ContainsFunc(engine.Models, func(model EngineModel) bool { return formation.shares[model.Name] == 0 }) {
		formation.shares, formation.unshifted = nil, nil
	}
}

// share returns a model's weight when targets are divided among the models: that of the
// configuration, until targets were shifted by demand.
func (formation *Formation) share(model EngineModel) float64 {
	if shifted, known := formation.shares[model.Name]; known {
		return max(shifted, 0.01)
	}
	return max(model.Share, 0.01)
}

// ShiftedAt returns when targets were last moved to a busier model; zero if never.
func (formation *Formation) ShiftedAt() time.Time { return formation.shiftedAt }

// PlannedTargets returns the targets planned for each model by the last shift; nil without one.
func (formation *Formation) PlannedTargets() map[string]float64 { return formation.shares }

// yieldsTargets reports whether a model has the targets that the last shift left to it while
// another one lacks some. Its weights are still staged on the targets that it gave.
func (formation *Formation) yieldsTargets(model EngineModel, targets map[string]float64) bool {
	if targets[model.Name]+float64(model.Size) <= formation.shares[model.Name] {
		return false
	}
	for name, planned := range formation.shares {
		if name != model.Name && targets[name] < planned {
			return true
		}
	}
	return false
}

// shift dissolves replicas of a model whose slots are idle so that their targets can serve a
// busier model with more urgent requests. Each data centre keeps a replica of the former. It
// reports whether it dissolved any.
func (formation *Formation) shift(view PoolView) bool {
	if !view.HasTraffic || view.Now.Sub(formation.shiftedAt) < shiftInterval {
		return false
	}
	donor, recipient, found := formation.shiftPair(view)
	used := Set[string]{} // domains whose free targets are counted already
	for {
		if !found || !donor.shouldGiveTo(recipient, view.Engine.Slots) {
			return len(used) > 0
		}
		replica, gained := formation.shiftReplica(view, donor.EngineModel, recipient.EngineModel, used)
		donor.replicas--
		recipient.replicas += gained
		if gained == 0 || donor.of(view.Engine.Slots) > giverUse {
			return len(used) > 0
		}
		if formation.unshifted == nil {
			formation.unshifted = formation.targetsByModel(view.Engine)
		}
		formation.unassign(func(assignment Assignment) bool { return assignment.Name == replica.Name })
		formation.dissolved.Add(replica.Name)
		used.Add(replica.Domain)
		formation.shiftedAt = view.Now
		formation.shares = formation.targetsByModel(view.Engine)
		formation.shares[recipient.Name] = float64(recipient.replicas * recipient.Size)
	}
}

// shiftPair returns the model with the most idle slots and the busiest one, if the demand for
// all of several models is known.
func (formation *Formation) shiftPair(view PoolView) (donor, recipient modelUse, found bool) {
	var uses []modelUse
	targets := formation.targetsByModel(view.Engine)
	for _, model := range view.Engine.Models {
		demand, known := view.Demand[model.Name]
		if !known {
			return donor, recipient, false
		}
		before, shifted := formation.unshifted[model.Name]
		uses = append(uses, modelUse{
			EngineModel: model, ModelDemand: demand, replicas: int(targets[model.Name]) / model.Size, gained: shifted && targets[model.Name] > before,
		})
	}
	if len(uses) < 2 {
		return donor, recipient, false
	}
	slots := view.Engine.Slots
	slices.SortStableFunc(uses, func(a, b modelUse) int { return cmp.Compare(a.of(slots), b.of(slots)) })
	return uses[0], uses[len(uses)-1], true
}

// shiftReplica returns the replica of the donor whose domain can form the most replicas of the
// recipient with its targets, and how many. Replicas that don't serve are preferred, and the
// used domains are left out.
func (formation *Formation) shiftReplica(view PoolView, donor, recipient EngineModel, used Set[string]) (replica Assignment, gained int) {
	byDataCentre := map[string]int{}
	var candidates []Assignment
	for _, assignment := range formation.Assignments {
		if head, listed := view.Targets[assignment.Members[0]]; assignment.Model == donor.Name && listed {
			byDataCentre[head.DataCentre]++
			candidates = append(candidates, assignment)
		}
	}
	_, sizes := view.domainSizes()
	slices.SortFunc(candidates, func(a, b Assignment) int { return cmp.Compare(a.Name, b.Name) })
	serves := false
	for _, candidate := range candidates {
		if used.Has(candidate.Domain) || view.recentlyListed(candidate.Domain) || byDataCentre[view.Targets[candidate.Members[0]].DataCentre] < 2 {
			continue
		}
		targets := len(formation.free(view, candidate.Domain, nil)) - reserveSize(sizes[candidate.Domain], 1) + len(view.survivors(candidate))
		count, formed := targets/recipient.Size, view.allFormed(candidate)
		if count > gained || count == gained && count > 0 && serves && !formed {
			replica, gained, serves = candidate, count, formed
		}
	}
	return replica, gained
}
