package greengageroute

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Kinds of drains.
const (
	DrainVM     = "vm"
	DrainGroup  = "group"
	DrainTarget = "target"

	// DrainsFile is the name of the file that the drain call maintains.
	DrainsFile = "drains"

	undeclaredClassDeadline = 30 * time.Second
	defaultServiceTimeout   = 10 * time.Second
	undeclaredClassRank     = 1 << 20
)

type (
	// FileVersion is one accepted version of a configuration file.
	FileVersion struct {
		Name     string `json:"name" cbor:"1,keyasint"`
		Version  uint64 `json:"version" cbor:"2,keyasint"`
		Revision uint64 `json:"revision" cbor:"3,keyasint"`
		ApplyID  string `json:"apply-id" cbor:"4,keyasint"`
		Actor    string `json:"who" cbor:"5,keyasint"`
		Text     string `json:"text" cbor:"6,keyasint"`
	}

	// Config is the merged set of files at one revision. It is immutable.
	Config struct {
		revision   uint64
		versions   map[string]FileVersion
		centres    map[string]DataCentre
		models     map[string]Model
		groups     []GroupSpec
		services   map[string]Service
		classes    map[string]Class
		workspaces map[string]Workspace
		keys       map[string]string // workspace by key hash
		teams      []Team
		policies   map[string]Policy
		drains     map[Drain]struct{}
		parsed     map[string]*parsedFile
	}
)

// HashKey returns the form in which workspace keys and team tokens are stored:
// SHA-256 in lower-case hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewConfig merges files into the configuration of a revision. The error is a
// *ValidationError that lists every duplicate name and every unknown reference.
func NewConfig(revision uint64, versions map[string]FileVersion) (*Config, error) {
	return newConfig(revision, versions, nil)
}

// newConfig merges files as NewConfig does. It reuses cached files with the same
// text instead of parsing them again.
func newConfig(revision uint64, versions map[string]FileVersion, cached map[string]*parsedFile) (*Config, error) {
	config := &Config{
		parsed: make(map[string]*parsedFile, len(versions)),

		revision: revision, versions: maps.Clone(versions),
		centres: map[string]DataCentre{}, models: map[string]Model{}, services: map[string]Service{},
		classes: map[string]Class{}, workspaces: map[string]Workspace{}, keys: map[string]string{},
		policies: map[string]Policy{}, drains: map[Drain]struct{}{},
	}
	merger := &merger{config: config, declaredIn: map[string]string{}}
	files := map[*diagnostics]*File{}
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		parsed, found := cached[name]
		if !found || parsed.text != versions[name].Text {
			parsed = parse(name, versions[name].Text)
		}
		config.parsed[name] = parsed
		list := parsed.diagnostics.clone()
		merger.lists = append(merger.lists, list)
		files[list] = parsed.file
		merger.declare(list, parsed.file)
	}
	for _, list := range merger.lists {
		merger.resolve(list, files[list])
	}
	var diagnostics []Diagnostic
	for _, list := range merger.lists {
		diagnostics = append(diagnostics, list.sorted()...)
	}
	if len(diagnostics) > 0 {
		return nil, &ValidationError{Diagnostics: diagnostics}
	}
	return config, nil
}

// Revision returns the number of the last accepted change in this configuration.
func (config *Config) Revision() uint64 { return config.revision }

// Versions returns the files in force by name.
func (config *Config) Versions() map[string]FileVersion { return maps.Clone(config.versions) }

// Version returns the file in force under a name.
func (config *Config) Version(name string) (FileVersion, bool) {
	version, ok := config.versions[name]
	return version, ok
}

// WithFiles returns the configuration after the given files were accepted.
// revision is the highest among them.
func (config *Config) WithFiles(revision uint64, changed ...FileVersion) (*Config, error) {
	versions := make(map[string]FileVersion, len(config.versions)+len(changed))
	maps.Copy(versions, config.versions)
	for _, version := range changed {
		versions[version.Name] = version
	}
	return newConfig(revision, versions, config.parsed)
}

// ChangedSince returns the files accepted after a revision, by name.
func (config *Config) ChangedSince(revision uint64) []FileVersion {
	var changed []FileVersion
	for _, name := range slices.Sorted(maps.Keys(config.versions)) {
		if config.versions[name].Revision > revision {
			changed = append(changed, config.versions[name])
		}
	}
	return changed
}

// DataCentres returns the names of all data centres, sorted.
func (config *Config) DataCentres() []string { return slices.Sorted(maps.Keys(config.centres)) }

// DataCentre returns a data centre by name.
func (config *Config) DataCentre(name string) (DataCentre, bool) {
	centre, ok := config.centres[name]
	return centre, ok
}

// Model returns a model by name.
func (config *Config) Model(name string) (Model, error) {
	model, ok := config.models[name]
	if !ok {
		return Model{}, trace.NotFound("model %q is not declared; declare it in a configuration file", name)
	}
	return model, nil
}

// Models returns all models by name.
func (config *Config) Models() map[string]Model { return maps.Clone(config.models) }

// GroupSpecs returns the group specifications of a data centre.
func (config *Config) GroupSpecs(dataCentre string) []GroupSpec {
	var specs []GroupSpec
	for _, spec := range config.groups {
		if spec.DataCentre == dataCentre {
			specs = append(specs, spec)
		}
	}
	return specs
}

// Service returns a plain service by name.
func (config *Config) Service(name string) (Service, error) {
	service, ok := config.services[name]
	if !ok {
		return Service{}, trace.NotFound("service %q is not declared; declare it in a configuration file", name)
	}
	return service, nil
}

// Class returns a class by name. Requests of an undeclared class are served last.
func (config *Config) Class(name string) Class {
	class, ok := config.classes[name]
	if !ok {
		return Class{Name: name, Rank: undeclaredClassRank, Deadline: undeclaredClassDeadline}
	}
	return class
}

// Policy returns the policy of a data centre.
func (config *Config) Policy(dataCentre string) Policy {
	policy, ok := config.policies[dataCentre]
	if !ok {
		return Policy{DataCentre: dataCentre, DowntimeWeight: 1, StrandedWeight: 1}
	}
	return policy
}

// PeakVMs returns the maximum number of VMs that all data centres may hold
// together, or 0 if the policies set no bound and the number of VMs is managed
// elsewhere.
func (config *Config) PeakVMs() int {
	total := 0
	for _, policy := range config.policies {
		total += policy.PeakVMs
	}
	return total
}

// Draining reports whether an operator drains the VM, group or target.
func (config *Config) Draining(kind, name string) bool {
	_, ok := config.drains[Drain{Kind: kind, Name: name}]
	return ok
}

// Drains returns all drains, sorted by kind and name.
func (config *Config) Drains() []Drain {
	drains := slices.Collect(maps.Keys(config.drains))
	slices.SortFunc(drains, func(a, b Drain) int {
		return strings.Compare(a.Kind+" "+a.Name, b.Kind+" "+b.Name)
	})
	return drains
}

// WorkspaceByKey returns the workspace that a key belongs to.
func (config *Config) WorkspaceByKey(key string) (Workspace, error) {
	name, ok := config.keys[HashKey(key)]
	if !ok {
		return Workspace{}, trace.AccessDenied("the key is not known; send a workspace's key as \"Authorization: Bearer KEY\"")
	}
	return config.workspaces[name], nil
}

// Workspace returns a workspace by name.
func (config *Config) Workspace(name string) (Workspace, error) {
	workspace, ok := config.workspaces[name]
	if !ok {
		return Workspace{}, trace.NotFound("workspace %q is not declared; declare it in a configuration file", name)
	}
	return workspace, nil
}

// TeamByToken returns the team that a token belongs to.
func (config *Config) TeamByToken(token string) (Team, error) {
	hash := HashKey(token)
	for _, team := range config.teams {
		if team.TokenHash == hash {
			return team, nil
		}
	}
	return Team{}, trace.AccessDenied("the token is not known; send a team's token as \"Authorization: Bearer TOKEN\"")
}

// Allows reports whether the team may use a scope on a file.
func (team Team) Allows(scope, file string) bool {
	if !slices.Contains(team.Scopes, scope) {
		return false
	}
	if file == "" {
		return true
	}
	return slices.ContainsFunc(team.Files, func(pattern string) bool {
		matched, err := path.Match(pattern, file)
		return err == nil && matched
	})
}

// CallFor returns the declaration of a call, or a default for a call that is not
// declared.
func (service Service) CallFor(method, callPath string) Call {
	for _, call := range service.Calls {
		if matched, err := path.Match(call.Path, callPath); err == nil && matched && call.Method == method {
			return call
		}
	}
	return Call{Method: method, Path: callPath, Idempotent: method == "GET"}
}
