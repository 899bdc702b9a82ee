package greengageroute

import (
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

const (
	maxVMsPerGroup = 64
	maxGroupCount  = 1024
	maxStreams     = 4096
	defaultStreams = 32
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	methods = NewSet("GET", "PUT", "POST", "DELETE")
	scopes  = NewSet(ScopeRead, ScopeApply, ScopeDrain)
)

// Scopes that a team's token may carry.
const (
	ScopeRead  = "read"
	ScopeApply = "apply"
	ScopeDrain = "drain"
)

type (
	// File is the content of one configuration file. A team applies a file as a
	// whole.
	File struct {
		DataCentres []DataCentre `yaml:"data-centres"`
		Models      []Model      `yaml:"models"`
		Groups      []GroupSpec  `yaml:"groups"`
		Services    []Service    `yaml:"services"`
		Classes     []Class      `yaml:"classes"`
		Workspaces  []Workspace  `yaml:"workspaces"`
		Teams       []Team       `yaml:"teams"`
		Policies    []Policy     `yaml:"policies"`
		Drains      []Drain      `yaml:"drains"`
	}

	// DataCentre is one data centre with the fabric domains of its VMs.
	DataCentre struct {
		Name    string         `yaml:"name"`
		Region  string         `yaml:"region"`
		Domains []FabricDomain `yaml:"fabric-domains"`
	}

	// FabricDomain is a set of VMs that share a fast network.
	FabricDomain struct {
		Name string `yaml:"name"`
		VMs  int    `yaml:"vms"`
	}

	// Model is one model and the number of VMs that a replica of it spans.
	Model struct {
		Name        string `yaml:"name"`
		VMsPerGroup int    `yaml:"vms-per-group"`
		// Streams is how many responses one group generates concurrently.
		Streams int `yaml:"streams-per-group"`
	}

	// GroupSpec requests a number of groups. Each group is one replica of a model.
	GroupSpec struct {
		Name       string `yaml:"name"`
		Model      string `yaml:"model"`
		DataCentre string `yaml:"data-centre"`
		Count      int    `yaml:"count"`
	}

	// Service is a plain service, as opposed to a model engine.
	Service struct {
		Name    string          `yaml:"name"`
		Targets []ServiceTarget `yaml:"targets"`
		Calls   []Call          `yaml:"calls"`
		// OutcomePath is the path at which a target returns the outcome of an
		// idempotency key, with {key} as the placeholder of the key. It is empty
		// if targets do not support that.
		OutcomePath string        `yaml:"outcome-path"`
		Timeout     time.Duration `yaml:"timeout"`
	}

	// ServiceTarget is one target of a plain service.
	ServiceTarget struct {
		Address    string `yaml:"address"`
		DataCentre string `yaml:"data-centre"`
	}

	// Call describes one call of a service. Calls that are not listed are
	// idempotent if their method is GET, and need an idempotency key otherwise.
	Call struct {
		Method     string `yaml:"method"`
		Path       string `yaml:"path"`
		Idempotent bool   `yaml:"idempotent"`
		Class      string `yaml:"class"`
	}

	// Class is a priority class of requests. Lower ranks are served first.
	Class struct {
		Name     string        `yaml:"name"`
		Rank     int           `yaml:"rank"`
		Deadline time.Duration `yaml:"deadline"`
	}

	// Workspace is one customer of the system.
	Workspace struct {
		Name            string   `yaml:"name"`
		KeyHashes       []string `yaml:"key-hashes"`
		Models          []string `yaml:"models"`
		Services        []string `yaml:"services"`
		Class           string   `yaml:"class"`
		Share           int      `yaml:"share"`
		TokensPerMinute int      `yaml:"tokens-per-minute"`
	}

	// Team is a group of operators that share a token.
	Team struct {
		Name      string   `yaml:"name"`
		TokenHash string   `yaml:"token-hash"`
		Files     []string `yaml:"files"`
		Scopes    []string `yaml:"scopes"`
	}

	// Policy weighs the downtime of groups against the cost of stranded
	// accelerators.
	Policy struct {
		DataCentre     string  `yaml:"data-centre"`
		DowntimeWeight float64 `yaml:"downtime-weight"`
		StrandedWeight float64 `yaml:"stranded-weight"`
		PeakVMs        int     `yaml:"peak-vms"`
	}

	// Drain marks a VM, a group or a target of a service to receive no new work.
	Drain struct {
		Kind string `yaml:"kind"`
		Name string `yaml:"name"`
	}
)

// ParseFile parses a configuration file and checks everything that does not
// depend on other files. The error is a *ValidationError.
func ParseFile(name string, text []byte) (*File, error) {
	parsed := parse(name, string(text))
	return parsed.file, parsed.diagnostics.err()
}

func (file *File) validate(list *diagnostics) {
	for i, centre := range file.DataCentres {
		path := fmt.Sprintf("data-centres[%d]", i)
		checkName(list, path+".name", centre.Name)
		for j, domain := range centre.Domains {
			domainPath := fmt.Sprintf("%s.fabric-domains[%d]", path, j)
			checkName(list, domainPath+".name", domain.Name)
			checkRange(list, domainPath+".vms", domain.VMs, 1, maxGroupCount)
		}
	}
	for i, model := range file.Models {
		path := fmt.Sprintf("models[%d]", i)
		checkName(list, path+".name", model.Name)
		checkRange(list, path+".vms-per-group", model.VMsPerGroup, 1, maxVMsPerGroup)
		checkRange(list, path+".streams-per-group", model.Streams, 0, maxStreams)
	}
	for i, spec := range file.Groups {
		path := fmt.Sprintf("groups[%d]", i)
		checkName(list, path+".name", spec.Name)
		checkRange(list, path+".count", spec.Count, 0, maxGroupCount)
	}
	for i, service := range file.Services {
		service.validate(list, fmt.Sprintf("services[%d]", i))
	}
	for i, class := range file.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		checkName(list, path+".name", class.Name)
		if class.Deadline == 0 {
			list.add(path+".deadline", "give a duration such as 2s", "the class has no deadline")
		}
	}
	for i, workspace := range file.Workspaces {
		workspace.validate(list, fmt.Sprintf("workspaces[%d]", i))
	}
	for i, team := range file.Teams {
		team.validate(list, fmt.Sprintf("teams[%d]", i))
	}
	for i, drain := range file.Drains {
		if drain.Kind != DrainVM && drain.Kind != DrainGroup && drain.Kind != DrainTarget {
			list.add(fmt.Sprintf("drains[%d].kind", i), "use vm, group or target", "%q cannot be drained", drain.Kind)
		}
	}
}

// group returns the name of the group with the given index.
func (spec GroupSpec) group(index int) string { return fmt.Sprintf("%s-%d", spec.Name, index) }

func (service Service) validate(list *diagnostics, path string) {
	checkName(list, path+".name", service.Name)
	if len(service.Targets) == 0 {
		list.add(path+".targets", "list at least one target", "service %q has no target", service.Name)
	}
	for i, target := range service.Targets {
		checkAddress(list, fmt.Sprintf("%s.targets[%d].address", path, i), target.Address)
	}
	for i, call := range service.Calls {
		callPath := fmt.Sprintf("%s.calls[%d]", path, i)
		if !methods.Has(call.Method) {
			list.add(callPath+".method", "use GET, PUT, POST or DELETE", "unknown method %q", call.Method)
		}
		if len(call.Path) == 0 || call.Path[0] != '/' {
			list.add(callPath+".path", "start the path with a slash", "path %q is not absolute", call.Path)
		}
	}
}

func (workspace Workspace) validate(list *diagnostics, path string) {
	checkName(list, path+".name", workspace.Name)
	for i, hash := range workspace.KeyHashes {
		checkHash(list, fmt.Sprintf("%s.key-hashes[%d]", path, i), hash)
	}
	checkRange(list, path+".share", workspace.Share, 0, maxGroupCount)
	if workspace.TokensPerMinute < 0 {
		list.add(path+".tokens-per-minute", "use 0 for no limit", "%d is out of range", workspace.TokensPerMinute)
	}
}

func (team Team) validate(list *diagnostics, path string) {
	checkName(list, path+".name", team.Name)
	checkHash(list, path+".token-hash", team.TokenHash)
	for i, scope := range team.Scopes {
		if !scopes.Has(scope) {
			list.add(fmt.Sprintf("%s.scopes[%d]", path, i), "use read, apply or drain", "unknown scope %q", scope)
		}
	}
}

func checkName(list *diagnostics, path, name string) {
	if !namePattern.MatchString(name) {
		list.add(path, "use up to 63 lower-case letters, digits, dots and dashes", "%q is not a valid name", name)
	}
}

func checkHash(list *diagnostics, path, hash string) {
	if !hashPattern.MatchString(hash) {
		list.add(path, "paste the hash that \"greengageroute token\" prints", "%q is not a SHA-256 hash in hex", hash)
	}
}

func checkRange(list *diagnostics, path string, value, least, most int) {
	if value < least || value > most {
		list.add(path, fmt.Sprintf("use a number from %d to %d", least, most), "%d is out of range", value)
	}
}

func checkAddress(list *diagnostics, path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		list.add(path, "write an address such as 10.0.0.7:9000", "%q is not an IP address and port", address)
	}
}
