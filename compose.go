package greengageroute

import (
	"cmp"
	"slices"
)

// maxCompositions bounds the ways of dividing one domain that are weighed.
const maxCompositions = 256

type (
	// Placement is one replica to be formed in a domain.
	Placement struct {
		Model  EngineModel
		Domain string
	}

	// composition is how many replicas of each model a domain has.
	composition []int
)

// PlanPlacements divides the targets of all domains among the models so that the model
// that has least, against its share, has as much as can be, and then that as
// many targets as can be serve. Each domain keeps its spares.
func PlanPlacements(view PoolView) []Placement {
	names, sizes := view.domains()
	models := view.Engine.Models
	options := map[string][]composition{}
	chosen := map[string]composition{}
	for _, name := range names {
		options[name] = compositions(models, sizes[name]-reserveOf(sizes[name], 1))
		chosen[name] = options[name][len(options[name])-1]
	}
	for improved := true; improved; {
		improved = false
		for _, name := range names {
			for _, option := range options[name] {
				before := chosen[name]
				worst, used := weigh(models, chosen)
				chosen[name] = option
				newWorst, newUsed := weigh(models, chosen)
				if cmp.Or(cmp.Compare(newWorst, worst), cmp.Compare(newUsed, used)) > 0 {
					improved = true
					continue
				}
				chosen[name] = before
			}
		}
	}
	return placements(models, names, chosen)
}

// compositions returns the ways of forming replicas of that many targets.
func compositions(models []EngineModel, targets int) []composition {
	options := []composition{make(composition, len(models))}
	for place, model := range models {
		for _, option := range slices.Clone(options) {
			for count := 1; option.targets(models)+count*model.Size <= targets && len(options) < maxCompositions; count++ {
				more := slices.Clone(option)
				more[place] = count
				options = append(options, more)
			}
		}
	}
	return options
}

func (composition composition) targets(models []EngineModel) int {
	sum := 0
	for place, count := range composition {
		sum += count * models[place].Size
	}
	return sum
}

// weigh returns what the model with least has against its share, and how many
// targets serve.
func weigh(models []EngineModel, chosen map[string]composition) (worst float64, used int) {
	for place, model := range models {
		targets := 0
		for _, composition := range chosen {
			targets += composition[place] * model.Size
		}
		used += targets
		if covered := float64(targets) / max(model.Share, 0.01); place == 0 || covered < worst {
			worst = covered
		}
	}
	return worst, used
}

func placements(models []EngineModel, names []string, chosen map[string]composition) []Placement {
	var list []Placement
	for _, name := range names {
		for place, count := range chosen[name] {
			for range count {
				list = append(list, Placement{Model: models[place], Domain: name})
			}
		}
	}
	return list
}
