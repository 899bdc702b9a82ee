package greengageroute

import (
	"testing"

	"github.com/gravitational/trace"
)

func TestUnhealthyReason(t *testing.T) {
	group := Group{Name: "g", Generation: 3, Members: []Member{{VM: "vm-1", Boot: "a"}, {VM: "vm-2", Boot: "b"}}}
	loaded := func(vm, boot string) VMHealth {
		return VMHealth{Reachable: true, Report: EngineReport{VM: vm, Boot: boot, Group: "g", Generation: 3, Loaded: true}}
	}
	for _, test := range []struct {
		name   string
		second func(VMHealth) VMHealth
		want   string
	}{
		{"healthy", func(health VMHealth) VMHealth { return health }, ""},
		{"a member does not answer", func(VMHealth) VMHealth { return VMHealth{} }, "VM vm-2 does not answer"},
		{"restarted and loaded again", func(health VMHealth) VMHealth { health.Report.Boot = "c"; return health }, "VM vm-2 was restarted"},
		{"under another generation", func(health VMHealth) VMHealth { health.Report.Generation = 2; return health }, "VM vm-2 is not loaded for this group"},
		{"in another group", func(health VMHealth) VMHealth { health.Report.Group = "h"; return health }, "VM vm-2 is not loaded for this group"},
		{"not loaded", func(health VMHealth) VMHealth { health.Report.Loaded = false; return health }, "VM vm-2 is not loaded for this group"},
	} {
		t.Run(test.name, func(t *testing.T) {
			health := map[string]VMHealth{"vm-1": loaded("vm-1", "a"), "vm-2": test.second(loaded("vm-2", "b"))}
			if got := group.UnhealthyReason(health); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestFleetRefusesATakenVM(t *testing.T) {
	fleet, err := Fleet{}.WithGroup(Group{Name: "a", Members: []Member{{VM: "vm-1"}, {VM: "vm-2"}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.WithGroup(Group{Name: "b", Members: []Member{{VM: "vm-2"}}}); !trace.IsAlreadyExists(err) {
		t.Errorf("joining a second group: got error %v, want AlreadyExists", err)
	}
	released := fleet.WithoutGroup("a")
	if _, err := released.WithGroup(Group{Name: "b", Members: []Member{{VM: "vm-2"}}}); !trace.IsAlreadyExists(err) {
		t.Errorf("joining a group before the release is confirmed: got error %v, want AlreadyExists", err)
	}
	if _, err := released.WithReleased("vm-2").WithGroup(Group{Name: "b", Members: []Member{{VM: "vm-2"}}}); err != nil {
		t.Errorf("a released VM cannot join a group: %v", err)
	}
	if _, err := fleet.WithGroup(Group{Name: "c", Members: []Member{{VM: "vm-3"}, {VM: "vm-3"}}}); !trace.IsAlreadyExists(err) {
		t.Errorf("a group with the same VM twice: got error %v, want AlreadyExists", err)
	}
}
