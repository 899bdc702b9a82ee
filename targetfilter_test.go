package greengageroute

import (
	"slices"
	"testing"
)

// TestTargetFilter guards against requests that reach an evacuated data centre, or a region that
// the route or the workspace doesn't permit, and against refusals where neither says so.
func TestTargetFilter(t *testing.T) {
	regions := DataCentreRegions{"a": "north", "b": "south", "c": "south", "odd": ""}
	dataCentres := []string{"a", "b", "c", "odd", "unnamed"}
	all := AllowedRegions{}
	tests := []struct {
		name             string
		evacuated        Set[string]
		route, workspace AllowedRegions
		permitted        []string
		entries          []string // data centres whose entries may have the body
		obstacle         FilterObstacle
	}{
		{"nothing is excluded", nil, all, all, dataCentres, dataCentres, NoObstacle},
		{"one is evacuated", NewSet("a"), all, all, []string{"b", "c", "odd", "unnamed"}, dataCentres, NoObstacle},
		{"all are evacuated", NewSet(dataCentres...), all, all, nil, dataCentres, OnlyEvacuated},
		{"another one is evacuated", NewSet("other"), all, all, dataCentres, dataCentres, NoObstacle},
		{"the route permits a region", nil, NewAllowedRegions("south"), all, []string{"b", "c"}, []string{"b", "c"}, NoObstacle},
		{"the workspace permits a region", nil, all, NewAllowedRegions("north"), []string{"a"}, []string{"a"}, NoObstacle},
		{"both permit one region", nil, NewAllowedRegions("south", "north"), NewAllowedRegions("west", "north"), []string{"a"}, []string{"a"}, NoObstacle},
		{"they permit different regions", nil, NewAllowedRegions("south"), NewAllowedRegions("north"), nil, nil, NoPermittedRegion},
		{"the route permits none", nil, NewAllowedRegions(), all, nil, nil, NoPermittedRegion},
		{"the workspace permits none", nil, NewAllowedRegions("south"), NewAllowedRegions(), nil, nil, NoPermittedRegion},
		{"an empty name is no region", nil, NewAllowedRegions(""), all, nil, nil, NoPermittedRegion},
		{"a region that no data centre is in", nil, NewAllowedRegions("west"), all, nil, nil, NoPermittedRegion},
		{"the permitted region is evacuated", NewSet("a"), NewAllowedRegions("north"), all, nil, []string{"a"}, OnlyEvacuated},
		{"a part of the permitted region is evacuated", NewSet("b"), NewAllowedRegions("south"), all, []string{"c"}, []string{"b", "c"}, NoObstacle},
		{"the excluded region is evacuated too", NewSet("a"), NewAllowedRegions("west"), all, nil, nil, NoPermittedRegion},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			filter := NewTargetFilter(test.evacuated, test.route.And(test.workspace), regions)
			permitted := slices.DeleteFunc(slices.Clone(dataCentres), func(dataCentre string) bool { return !filter.Permits(dataCentre) })
			entries := slices.DeleteFunc(slices.Clone(dataCentres), func(dataCentre string) bool { return !filter.PermitsRegionOf(dataCentre) })
			if !slices.Equal(permitted, test.permitted) || !slices.Equal(entries, test.entries) {
				t.Errorf("targets are permitted in %q and entries in %q, want %q and %q", permitted, entries, test.permitted, test.entries)
			}
			if obstacle := filter.Obstacle(slices.Values(dataCentres)); obstacle != test.obstacle {
				t.Errorf("the obstacle is %d, want %d", obstacle, test.obstacle)
			}
			if obstacle := filter.Obstacle(slices.Values([]string{})); obstacle != NoObstacle {
				t.Errorf("the obstacle without targets is %d", obstacle)
			}
		})
	}
}
