package greengageroute

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

type (
	// merger builds a Config and collects the diagnostics that span files.
	merger struct {
		config     *Config
		declaredIn map[string]string // file by kind and name of the declaration
		lists      []*diagnostics    // in the order of the file names
	}

	// parsedFile is the immutable result of parsing a file.
	parsedFile struct {
		text        string
		file        *File
		diagnostics diagnostics
	}
)

// declareName reserves a name and reports a name that is already declared.
func (merger *merger) declareName(list *diagnostics, path, kind, name string) {
	key := kind + " " + name
	if otherFile, declared := merger.declaredIn[key]; declared {
		list.add(path, "choose another name or remove the other declaration", "%s is already declared in file %q", key, otherFile)
		return
	}
	merger.declaredIn[key] = list.file
}

// declare adds the declarations of a file to the configuration.
func (merger *merger) declare(list *diagnostics, file *File) {
	config := merger.config
	for i, centre := range file.DataCentres {
		merger.declareName(list, fmt.Sprintf("data-centres[%d].name", i), "data centre", centre.Name)
		config.centres[centre.Name] = centre
	}
	for i, model := range file.Models {
		merger.declareName(list, fmt.Sprintf("models[%d].name", i), "model", model.Name)
		if model.Streams == 0 {
			model.Streams = defaultStreams
		}
		config.models[model.Name] = model
	}
	for i, spec := range file.Groups {
		merger.declareName(list, fmt.Sprintf("groups[%d].name", i), "group", spec.Name)
		config.groups = append(config.groups, spec)
	}
	for i, service := range file.Services {
		merger.declareName(list, fmt.Sprintf("services[%d].name", i), "service", service.Name)
		if service.Timeout == 0 {
			service.Timeout = defaultServiceTimeout
		}
		config.services[service.Name] = service
	}
	for i, class := range file.Classes {
		merger.declareName(list, fmt.Sprintf("classes[%d].name", i), "class", class.Name)
		config.classes[class.Name] = class
	}
	for i, workspace := range file.Workspaces {
		merger.declareName(list, fmt.Sprintf("workspaces[%d].name", i), "workspace", workspace.Name)
		config.workspaces[workspace.Name] = workspace
		for j, hash := range workspace.KeyHashes {
			merger.declareName(list, fmt.Sprintf("workspaces[%d].key-hashes[%d]", i, j), "key hash", hash)
			config.keys[hash] = workspace.Name
		}
	}
	for i, team := range file.Teams {
		merger.declareName(list, fmt.Sprintf("teams[%d].name", i), "team", team.Name)
		config.teams = append(config.teams, team)
	}
	for i, policy := range file.Policies {
		merger.declareName(list, fmt.Sprintf("policies[%d].data-centre", i), "policy of data centre", policy.DataCentre)
		config.policies[policy.DataCentre] = policy
	}
	for _, drain := range file.Drains {
		config.drains[drain] = struct{}{}
	}
}

// resolve checks the references of a file to declarations in all files.
func (merger *merger) resolve(list *diagnostics, file *File) {
	config := merger.config
	for i, spec := range file.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		model, modelFound := config.models[spec.Model]
		if !modelFound {
			addUnknown(list, path+".model", "model", spec.Model, config.models)
		}
		centre, centreFound := config.centres[spec.DataCentre]
		if !centreFound {
			addUnknown(list, path+".data-centre", "data centre", spec.DataCentre, config.centres)
		}
		if modelFound && centreFound && model.VMsPerGroup > centre.largestDomain() {
			list.add(path+".model", "choose a model that spans fewer VMs or a data centre with a larger fabric domain",
				"a group of model %q needs %d VMs, but the largest fabric domain of %q has %d", model.Name, model.VMsPerGroup, centre.Name, centre.largestDomain())
		}
	}
	for i, service := range file.Services {
		for j, target := range service.Targets {
			if _, found := config.centres[target.DataCentre]; !found {
				addUnknown(list, fmt.Sprintf("services[%d].targets[%d].data-centre", i, j), "data centre", target.DataCentre, config.centres)
			}
		}
		for j, call := range service.Calls {
			checkClass(list, fmt.Sprintf("services[%d].calls[%d].class", i, j), call.Class, config)
		}
	}
	for i, workspace := range file.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		checkClass(list, path+".class", workspace.Class, config)
		for j, name := range workspace.Models {
			if _, found := config.models[name]; !found {
				addUnknown(list, fmt.Sprintf("%s.models[%d]", path, j), "model", name, config.models)
			}
		}
		for j, name := range workspace.Services {
			if _, found := config.services[name]; !found {
				addUnknown(list, fmt.Sprintf("%s.services[%d]", path, j), "service", name, config.services)
			}
		}
	}
	for i, policy := range file.Policies {
		if _, found := config.centres[policy.DataCentre]; !found {
			addUnknown(list, fmt.Sprintf("policies[%d].data-centre", i), "data centre", policy.DataCentre, config.centres)
		}
	}
}

func checkClass(list *diagnostics, path, name string, config *Config) {
	if _, found := config.classes[name]; name != "" && !found {
		addUnknown(list, path, "class", name, config.classes)
	}
}

// addUnknown reports a reference to an undeclared name.
func addUnknown[V any](list *diagnostics, path, kind, name string, declared map[string]V) {
	names := strings.Join(slices.Sorted(maps.Keys(declared)), ", ")
	if names == "" {
		names = "(none declared)"
	}
	list.add(path, "declare it first or use one of: "+names, "unknown %s %q", kind, name)
}

func (centre DataCentre) largestDomain() int {
	largest := 0
	for _, domain := range centre.Domains {
		largest = max(largest, domain.VMs)
	}
	return largest
}

func parse(name, text string) *parsedFile {
	parsed := &parsedFile{text: text, file: &File{}, diagnostics: diagnostics{file: name}}
	decodeYAML(&parsed.diagnostics, []byte(text), parsed.file)
	parsed.file.validate(&parsed.diagnostics)
	return parsed
}
