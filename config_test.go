package greengageroute

import (
	"fmt"
	"strings"
	"testing"
)

// manyFiles returns a configuration of the given number of files, each with a
// model, a group, five workspaces and a class.
func manyFiles(b testing.TB, count int) *Config {
	b.Helper()
	versions := map[string]FileVersion{"centres": {
		Name: "centres", Version: 1, Revision: 1,
		Text: "data-centres: [{name: dc, region: r, fabric-domains: [{name: d, vms: 16}]}]",
	}}
	for i := range count {
		var text strings.Builder
		fmt.Fprintf(&text, "models: [{name: m%d, vms-per-group: 4}]\ngroups: [{name: g%d, model: m%d, data-centre: dc, count: 1}]\n", i, i, i)
		fmt.Fprintf(&text, "classes: [{name: c%d, rank: 1, deadline: 5s}]\nworkspaces:\n", i)
		for j := range 5 {
			fmt.Fprintf(&text, "  - {name: w%d-%d, class: c%d, models: [m%d], key-hashes: [%s]}\n", i, j, i, i, HashKey(fmt.Sprint(i, j)))
		}
		name := fmt.Sprintf("file-%d", i)
		versions[name] = FileVersion{Name: name, Version: 1, Revision: uint64(i + 2), Text: text.String()}
	}
	config, err := NewConfig(uint64(count+1), versions)
	if err != nil {
		b.Fatal(err)
	}
	return config
}

// BenchmarkConfigWithFiles measures the cost of one accepted change at an entry.
func BenchmarkConfigWithFiles(b *testing.B) {
	for _, count := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("files=%d", count), func(b *testing.B) {
			config := manyFiles(b, count)
			changed, _ := config.Version("file-0")
			b.ReportAllocs()
			for b.Loop() {
				changed.Version++
				if _, err := config.WithFiles(config.Revision()+1, changed); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlan measures one run of the planner that finds nothing to change.
func BenchmarkPlan(b *testing.B) {
	for _, groups := range []int{5, 44} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			view := convergedFleet(groups)
			b.ReportAllocs()
			for b.Loop() {
				if change, found := Plan(view); found {
					b.Fatalf("the planner wants to change group %s: %s; want no change", change.Group, change.Reason)
				}
			}
		})
	}
}

func convergedFleet(groups int) FleetView {
	view := FleetView{
		Fleet: Fleet{DataCentre: "dc"}, Specs: []GroupSpec{{Name: "g", Model: "m", Count: groups}},
		Models: map[string]Model{"m": {Name: "m", VMsPerGroup: 4}}, Health: map[string]VMHealth{},
		Drained: func(Group) bool { return true }, Draining: func(string, string) bool { return false },
	}
	for i := range groups {
		group := Group{Name: fmt.Sprintf("g-%d", i), Spec: "g", Model: "m", Generation: uint64(i + 1)}
		for j := range 4 {
			id := fmt.Sprintf("vm-%d-%d", i, j)
			group.Members = append(group.Members, Member{VM: id, Domain: "d", Boot: "b"})
			view.VMs = append(view.VMs, VM{ID: id, Domain: "d", State: VMLive})
			view.Health[id] = VMHealth{Reachable: true, Report: EngineReport{VM: id, Boot: "b", Group: group.Name, Generation: group.Generation, Loaded: true}}
		}
		view.Fleet.Groups = append(view.Fleet.Groups, group)
	}
	return view
}
