package greengageroute

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExamples checks that both users' deployments are valid, and checks their
// sizes and the number of spares that their weights result in.
func TestExamples(t *testing.T) {
	for _, test := range []struct {
		name       string
		vms        int
		workspaces int
		service    string
		targets    int
		atMostOnce string // path of a call that must not run twice
		wantSpares int
		urgent     string
		deferrable string
	}{
		{"department", 65, 10, "ledger", 3, "/deposits", 4, "counter", "advisories"},
		{"cooperative", 65, 10, "desk", 3, "/hand-overs", 0, "routes", "letters"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := readExample(t, test.name)
			vms, required := 0, 0
			for _, name := range config.DataCentres() {
				centre, _ := config.DataCentre(name)
				for _, domain := range centre.Domains {
					vms += domain.VMs
				}
				supply := Supply{Specs: config.GroupSpecs(name), Models: config.Models(), Policy: config.Policy(name)}
				if spares := supply.Policy.spares(supply.widestGroup()); spares != test.wantSpares {
					t.Errorf("data centre %s: got %d spares, want %d", name, spares, test.wantSpares)
				}
				required += supply.RequiredVMs() + test.wantSpares
			}
			service, err := config.Service(test.service)
			if err != nil {
				t.Fatal(err)
			}
			if len(config.DataCentres()) != 3 || vms != test.vms || len(config.workspaces) != test.workspaces || len(service.Targets) != test.targets {
				t.Errorf("got %d data centres, %d VMs, %d workspaces, %d targets", len(config.DataCentres()), vms, len(config.workspaces), len(service.Targets))
			}
			if required > config.PeakVMs() {
				t.Errorf("the groups and spares need %d VMs, more than the %d of peak-vms", required, config.PeakVMs())
			}
			if service.CallFor("POST", test.atMostOnce).Idempotent {
				t.Errorf("POST %s is idempotent, want non-idempotent", test.atMostOnce)
			}
			if config.Class(test.urgent).Rank >= config.Class(test.deferrable).Rank {
				t.Errorf("class %s is not served before class %s", test.urgent, test.deferrable)
			}
		})
	}
}

func readExample(t *testing.T, name string) *Config {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("examples", name, "*.yaml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no example %q: %v", name, err)
	}
	versions := map[string]FileVersion{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		file := strings.TrimSuffix(filepath.Base(path), ".yaml")
		versions[file] = FileVersion{Name: file, Text: string(text), Version: 1, Revision: 1}
	}
	config, err := NewConfig(1, versions)
	if err != nil {
		t.Fatal(err)
	}
	return config
}
