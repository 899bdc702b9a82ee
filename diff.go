package greengageroute

import (
	"fmt"
	"maps"
	"slices"
)

// DiffFiles lists the declarations that were removed, changed or added between
// two versions of a file.
func DiffFiles(name, before, after string) []string {
	oldFile, _ := ParseFile(name, []byte(before))
	newFile, _ := ParseFile(name, []byte(after))
	oldItems, newItems := oldFile.summary(), newFile.summary()
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(oldItems)) {
		if _, exists := newItems[key]; !exists {
			lines = append(lines, "removed "+key)
		} else if newItems[key] != oldItems[key] {
			lines = append(lines, "changed "+key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(newItems)) {
		if _, exists := oldItems[key]; !exists {
			lines = append(lines, "added "+key)
		}
	}
	return lines
}

// summary returns a comparable form of each declaration by its kind and name.
func (file *File) summary() map[string]string {
	items := map[string]string{}
	summarise(items, "data centre", file.DataCentres, func(centre DataCentre) string { return centre.Name })
	summarise(items, "model", file.Models, func(model Model) string { return model.Name })
	summarise(items, "group", file.Groups, func(spec GroupSpec) string { return spec.Name })
	summarise(items, "service", file.Services, func(service Service) string { return service.Name })
	summarise(items, "class", file.Classes, func(class Class) string { return class.Name })
	summarise(items, "workspace", file.Workspaces, func(workspace Workspace) string { return workspace.Name })
	summarise(items, "team", file.Teams, func(team Team) string { return team.Name })
	summarise(items, "policy", file.Policies, func(policy Policy) string { return policy.DataCentre })
	summarise(items, "drain", file.Drains, func(drain Drain) string { return drain.Kind + " " + drain.Name })
	return items
}

func summarise[T any](summaries map[string]string, kind string, items []T, name func(T) string) {
	for _, item := range items {
		summaries[kind+" "+name(item)] = fmt.Sprintf("%+v", item)
	}
}
