package greengageroute

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// planScenario holds a data centre that a datadriven test changes step by step.
type planScenario struct {
	view     FleetView
	draining map[Drain]bool
	busy     bool // an entry may still send to a draining group
}

func newPlanScenario() *planScenario {
	scenario := &planScenario{draining: map[Drain]bool{}}
	scenario.view = FleetView{
		Fleet: Fleet{DataCentre: "ne"}, Health: map[string]VMHealth{}, UnreachableFor: map[string]time.Duration{},
		Models:   map[string]Model{"m": {Name: "m", VMsPerGroup: 2}},
		Drained:  func(Group) bool { return !scenario.busy },
		Draining: func(kind, name string) bool { return scenario.draining[Drain{Kind: kind, Name: name}] },
	}
	return scenario
}

// TestPlan runs the files under testdata/plan. Commands change the data centre;
// "plan" commits changes until there are none, prints them with the orders, and has
// the engines carry the orders out.
func TestPlan(t *testing.T) {
	datadriven.Walk(t, "testdata/plan", func(t *testing.T, path string) {
		scenario := newPlanScenario()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "specs":
				scenario.specs(data)
			case "vm":
				scenario.vm(data)
			case "report":
				scenario.report(data)
			case "drain":
				scenario.draining[Drain{Kind: data.CmdArgs[0].Key, Name: data.CmdArgs[1].Key}] = true
			case "busy":
				scenario.busy = data.CmdArgs[0].Key == "true"
			case "plan":
				return scenario.plan(t)
			default:
				t.Fatalf("unknown command %q", data.Cmd)
			}
			return ""
		})
	})
}

func (scenario *planScenario) specs(data *datadriven.TestData) {
	scenario.view.Specs = nil
	for _, arg := range data.CmdArgs {
		spec := GroupSpec{Name: arg.Key, Model: "m"}
		_, _ = fmt.Sscan(arg.Vals[0], &spec.Count)
		scenario.view.Specs = append(scenario.view.Specs, spec)
	}
}

// vm adds or replaces a VM: vm ID DOMAIN [state].
func (scenario *planScenario) vm(data *datadriven.TestData) {
	vm := VM{ID: data.CmdArgs[0].Key, Domain: data.CmdArgs[1].Key, State: VMLive}
	if len(data.CmdArgs) > 2 {
		vm.State = data.CmdArgs[2].Key
	}
	for i, other := range scenario.view.VMs {
		if other.ID == vm.ID {
			scenario.view.VMs[i] = vm
			return
		}
	}
	scenario.view.VMs = append(scenario.view.VMs, vm)
	scenario.view.Health[vm.ID] = VMHealth{Reachable: true, Report: EngineReport{VM: vm.ID, Boot: vm.ID + "/1"}}
}

// report changes what a VM reports: report ID missed|lost|gone|boot=B|streams=N.
func (scenario *planScenario) report(data *datadriven.TestData) {
	id := data.CmdArgs[0].Key
	health := scenario.view.Health[id]
	for _, arg := range data.CmdArgs[1:] {
		switch arg.Key {
		case "lost":
			health.Reachable, health.MissedProbes = false, missedProbesUntilLost
		case "missed":
			health.Reachable, health.MissedProbes = false, 1
		case "gone":
			scenario.view.UnreachableFor[id] = restartTimeout + time.Second
		case "boot":
			health = VMHealth{Reachable: true, Report: EngineReport{VM: id, Boot: arg.Vals[0]}}
			delete(scenario.view.UnreachableFor, id)
		case "streams":
			_, _ = fmt.Sscan(arg.Vals[0], &health.Report.Streams)
		}
	}
	scenario.view.Health[id] = health
}

func (scenario *planScenario) plan(t *testing.T) string {
	var out strings.Builder
	for change, found := Plan(scenario.view); found; change, found = Plan(scenario.view) {
		fmt.Fprintf(&out, "%s: %s\n", change.Group, change.Reason)
		scenario.view.Fleet = change.Fleet
		checkVMsUnique(t, change.Fleet)
	}
	for _, order := range Orders(scenario.view.Fleet, scenario.view.Health) {
		fmt.Fprintf(&out, "order %s group=%q number=%d\n", order.VM, order.Group, order.Generation)
		health := scenario.view.Health[order.VM]
		health.Report.Group, health.Report.Generation, health.Report.Loaded = order.Group, order.Generation, order.Group != ""
		scenario.view.Health[order.VM] = health
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func checkVMsUnique(t *testing.T, fleet Fleet) {
	t.Helper()
	seen := Set[string]{}
	for _, group := range fleet.Groups {
		for _, vm := range group.VMs() {
			if !seen.Add(vm) {
				t.Errorf("VM %s is in the fleet twice", vm)
			}
		}
	}
	for _, release := range fleet.Releasing {
		if !seen.Add(release.VM) {
			t.Errorf("VM %s is being released while it is in a group or in another release", release.VM)
		}
	}
}
