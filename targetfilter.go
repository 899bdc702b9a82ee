package greengageroute

import "iter"

// Reasons why no data centre takes a request.
const (
	NoObstacle FilterObstacle = iota
	// OnlyEvacuated means that all data centres in permitted regions are evacuated.
	OnlyEvacuated
	// NoPermittedRegion means that no data centre is in a permitted region.
	NoPermittedRegion
)

type (
	// TargetFilter says in which data centres a request may be served. It is immutable; nil
	// permits all.
	TargetFilter struct {
		evacuated Set[string]
		allowed   AllowedRegions
		regions   DataCentreRegions
	}

	// FilterObstacle is why no data centre takes a request.
	FilterObstacle int
)

// NewTargetFilter returns the filter of a request that the given regions are permitted for,
// while some data centres are evacuated; nil if nothing is excluded.
func NewTargetFilter(evacuated Set[string], allowed AllowedRegions, regions DataCentreRegions) *TargetFilter {
	if len(evacuated) == 0 && allowed.PermitsAll() {
		return nil
	}
	return &TargetFilter{evacuated: evacuated, allowed: allowed, regions: regions}
}

// Permits reports whether a request may be sent to the targets of a data centre.
func (filter *TargetFilter) Permits(dataCentre string) bool {
	return filter == nil || !filter.evacuated.Has(dataCentre) && filter.PermitsRegionOf(dataCentre)
}

// PermitsRegionOf reports whether the region of a data centre is permitted. Entries there may
// have the request's body, also while the data centre's targets are evacuated.
func (filter *TargetFilter) PermitsRegionOf(dataCentre string) bool {
	return filter == nil || filter.allowed.PermitsAll() || filter.allowed.Permits(filter.regions[dataCentre])
}

// Obstacle returns why a request can be served in none of the data centres that have targets
// for it. Without targets there is no obstacle.
func (filter *TargetFilter) Obstacle(dataCentres iter.Seq[string]) FilterObstacle {
	if filter == nil {
		return NoObstacle
	}
	obstacle := NoObstacle
	for dataCentre := range dataCentres {
		switch {
		case filter.Permits(dataCentre):
			return NoObstacle
		case filter.PermitsRegionOf(dataCentre):
			obstacle = OnlyEvacuated
		case obstacle == NoObstacle:
			obstacle = NoPermittedRegion
		}
	}
	return obstacle
}
