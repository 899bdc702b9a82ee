package greengageroute

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// planBench holds a data centre that a datadriven test changes step by step.
type planBench struct {
	now      FleetView
	draining map[Drain]bool
	busy     bool // an entry may still send to a draining group
}

func newPlanBench() *planBench {
	bench := &planBench{draining: map[Drain]bool{}}
	bench.now = FleetView{
		Fleet: Fleet{DataCentre: "ne"}, Health: map[string]VMHealth{}, UnreachableFor: map[string]time.Duration{},
		Models:   map[string]Model{"m": {Name: "m", VMsPerGroup: 2}},
		Drained:  func(Group) bool { return !bench.busy },
		Draining: func(kind, name string) bool { return bench.draining[Drain{Kind: kind, Name: name}] },
	}
	return bench
}

// TestPlan runs the files under testdata/plan. Commands change the data centre;
// "plan" commits steps until there is none and prints them and the orders, and
// lets the engines obey.
func TestPlan(t *testing.T) {
	datadriven.Walk(t, "testdata/plan", func(t *testing.T, path string) {
		bench := newPlanBench()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "specs":
				bench.specs(data)
			case "vm":
				bench.vm(data)
			case "report":
				bench.report(data)
			case "drain":
				bench.draining[Drain{Kind: data.CmdArgs[0].Key, Name: data.CmdArgs[1].Key}] = true
			case "busy":
				bench.busy = data.CmdArgs[0].Key == "true"
			case "plan":
				return bench.plan(t)
			default:
				t.Fatalf("unknown command %q", data.Cmd)
			}
			return ""
		})
	})
}

func (bench *planBench) specs(data *datadriven.TestData) {
	bench.now.Specs = nil
	for _, arg := range data.CmdArgs {
		spec := GroupSpec{Name: arg.Key, Model: "m"}
		_, _ = fmt.Sscan(arg.Vals[0], &spec.Count)
		bench.now.Specs = append(bench.now.Specs, spec)
	}
}

// vm adds VMs: vm ID DOMAIN [state].
func (bench *planBench) vm(data *datadriven.TestData) {
	vm := VM{ID: data.CmdArgs[0].Key, Domain: data.CmdArgs[1].Key, State: VMLive}
	if len(data.CmdArgs) > 2 {
		vm.State = data.CmdArgs[2].Key
	}
	for i, other := range bench.now.VMs {
		if other.ID == vm.ID {
			bench.now.VMs[i] = vm
			return
		}
	}
	bench.now.VMs = append(bench.now.VMs, vm)
	bench.now.Health[vm.ID] = VMHealth{Reachable: true, Report: EngineReport{VM: vm.ID, Boot: vm.ID + "/1"}}
}

// report changes what a VM reports: report ID missed|lost|gone|boot=B|streams=N.
func (bench *planBench) report(data *datadriven.TestData) {
	id := data.CmdArgs[0].Key
	health := bench.now.Health[id]
	for _, arg := range data.CmdArgs[1:] {
		switch arg.Key {
		case "lost":
			health.Reachable, health.MissedProbes = false, missedUntilGone
		case "missed":
			health.Reachable, health.MissedProbes = false, 1
		case "gone":
			bench.now.UnreachableFor[id] = restartPatience + time.Second
		case "boot":
			health = VMHealth{Reachable: true, Report: EngineReport{VM: id, Boot: arg.Vals[0]}}
			delete(bench.now.UnreachableFor, id)
		case "streams":
			_, _ = fmt.Sscan(arg.Vals[0], &health.Report.Streams)
		}
	}
	bench.now.Health[id] = health
}

func (bench *planBench) plan(t *testing.T) string {
	var out strings.Builder
	for step, found := Plan(bench.now); found; step, found = Plan(bench.now) {
		fmt.Fprintf(&out, "%s: %s\n", step.Group, step.Reason)
		bench.now.Fleet = step.Fleet
		checkOnceInFleet(t, step.Fleet)
	}
	for _, order := range Orders(bench.now.Fleet, bench.now.Health) {
		fmt.Fprintf(&out, "order %s group=%q number=%d\n", order.VM, order.Group, order.Generation)
		health := bench.now.Health[order.VM]
		health.Report.Group, health.Report.Generation, health.Report.Loaded = order.Group, order.Generation, order.Group != ""
		bench.now.Health[order.VM] = health
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func checkOnceInFleet(t *testing.T, fleet Fleet) {
	t.Helper()
	seen := Set[string]{}
	for _, group := range fleet.Groups {
		for _, vm := range group.VMs() {
			if !seen.Add(vm) {
				t.Errorf("VM %s stands twice in the fleet", vm)
			}
		}
	}
	for _, release := range fleet.Releasing {
		if !seen.Add(release.VM) {
			t.Errorf("VM %s is being released and in a group", release.VM)
		}
	}
}
