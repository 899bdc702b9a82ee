package greengageroute

import "slices"

// unknownRegion is the region of a data centre that the settings don't name.
const unknownRegion = ""

type (
	// AllowedRegions are the regions that requests may be served in. The zero value permits
	// all regions.
	AllowedRegions struct {
		limited bool
		names   []string // sorted
	}

	// DataCentreRegions maps data centres to their regions, as the settings name them.
	DataCentreRegions map[string]string
)

// NewAllowedRegions returns the regions with the given names: none for an empty list.
func NewAllowedRegions(names ...string) AllowedRegions {
	return AllowedRegions{limited: true, names: slices.Sorted(slices.Values(names))}
}

// And returns the regions that both lists permit.
func (regions AllowedRegions) And(other AllowedRegions) AllowedRegions {
	switch {
	case !regions.limited:
		return other
	case !other.limited:
		return regions
	}
	isMissing := func(name string) bool { return !other.Permits(name) }
	return AllowedRegions{limited: true, names: slices.DeleteFunc(slices.Clone(regions.names), isMissing)}
}

// PermitsAll reports whether no region is excluded.
func (regions AllowedRegions) PermitsAll() bool { return !regions.limited }

// Permits reports whether a region is permitted. A limited list never permits an unknown one.
func (regions AllowedRegions) Permits(region string) bool {
	if !regions.limited {
		return true
	}
	_, listed := slices.BinarySearch(regions.names, region)
	return listed && region != unknownRegion
}
