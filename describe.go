package greengageroute

import (
	"fmt"
	"maps"
	"slices"
)

// DiffFiles lists the differences between two texts by the declared things.
func DiffFiles(name, before, after string) []string {
	old, _ := ParseFile(name, []byte(before))
	changed, _ := ParseFile(name, []byte(after))
	was, is := old.summary(), changed.summary()
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(was)) {
		if _, kept := is[key]; !kept {
			lines = append(lines, "removed "+key)
		} else if is[key] != was[key] {
			lines = append(lines, "changed "+key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(is)) {
		if _, known := was[key]; !known {
			lines = append(lines, "added "+key)
		}
	}
	return lines
}

func (file *File) summary() map[string]string {
	things := map[string]string{}
	summarise(things, "data centre", file.DataCentres, func(centre DataCentre) string { return centre.Name })
	summarise(things, "model", file.Models, func(model Model) string { return model.Name })
	summarise(things, "group", file.Groups, func(spec GroupSpec) string { return spec.Name })
	summarise(things, "service", file.Services, func(service Service) string { return service.Name })
	summarise(things, "class", file.Classes, func(class Class) string { return class.Name })
	summarise(things, "workspace", file.Workspaces, func(workspace Workspace) string { return workspace.Name })
	summarise(things, "team", file.Teams, func(team Team) string { return team.Name })
	summarise(things, "policy", file.Policies, func(policy Policy) string { return policy.DataCentre })
	summarise(things, "drain", file.Drains, func(drain Drain) string { return drain.Kind + " " + drain.Name })
	return things
}

func summarise[T any](things map[string]string, kind string, items []T, name func(T) string) {
	for _, item := range items {
		things[kind+" "+name(item)] = fmt.Sprintf("%+v", item)
	}
}
