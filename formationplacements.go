package greengageroute

import (
	"cmp"
	"slices"
)

// maxLayouts bounds the number of layouts of one domain that are compared.
const maxLayouts = 256

type (
	// Placement is one replica to be formed in a domain.
	Placement struct {
		Model  EngineModel
		Domain string
	}

	// layout is how many replicas of each model a domain has, by the model's index.
	layout []int
)

// PlanPlacements divides the targets of all domains among the models. It first
// maximises the targets per share of the model with the fewest, then the number of
// targets in use. Each domain keeps its spares.
func PlanPlacements(view PoolView) []Placement {
	names, sizes := view.domainSizes()
	models := view.Engine.Models
	options := map[string][]layout{}
	chosen := map[string]layout{}
	for _, name := range names {
		options[name] = layouts(models, sizes[name]-reserveSize(sizes[name], 1))
		chosen[name] = options[name][len(options[name])-1]
	}
	for improved := true; improved; {
		improved = false
		for _, name := range names {
			for _, option := range options[name] {
				before := chosen[name]
				worst, used := coverage(models, chosen)
				chosen[name] = option
				newWorst, newUsed := coverage(models, chosen)
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

// layouts returns the possible layouts of a domain with that many targets.
func layouts(models []EngineModel, targets int) []layout {
	options := []layout{make(layout, len(models))}
	for index, model := range models {
		for _, option := range slices.Clone(options) {
			for count := 1; option.targets(models)+count*model.Size <= targets && len(options) < maxLayouts; count++ {
				extended := slices.Clone(option)
				extended[index] = count
				options = append(options, extended)
			}
		}
	}
	return options
}

func (counts layout) targets(models []EngineModel) int {
	sum := 0
	for index, count := range counts {
		sum += count * models[index].Size
	}
	return sum
}

// coverage returns the targets per share of the model with the fewest, and how many
// targets are in use.
func coverage(models []EngineModel, chosen map[string]layout) (worst float64, used int) {
	for index, model := range models {
		targets := 0
		for _, counts := range chosen {
			targets += counts[index] * model.Size
		}
		used += targets
		if perShare := float64(targets) / max(model.Share, 0.01); index == 0 || perShare < worst {
			worst = perShare
		}
	}
	return worst, used
}

func placements(models []EngineModel, names []string, chosen map[string]layout) []Placement {
	var planned []Placement
	for _, name := range names {
		for index, count := range chosen[name] {
			for range count {
				planned = append(planned, Placement{Model: models[index], Domain: name})
			}
		}
	}
	return planned
}
