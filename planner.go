package greengageroute

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// missedProbesUntilLost is how many probes in a row a VM misses before it counts as
	// lost and its group is formed anew.
	missedProbesUntilLost = 4
)

type (
	// FleetView is what a planner knows about its data centre.
	FleetView struct {
		Fleet  Fleet
		Specs  []GroupSpec
		Models map[string]Model
		VMs    []VM
		Health map[string]VMHealth
		// UnreachableFor is for how long each VM has not answered.
		UnreachableFor map[string]time.Duration
		// Drained reports whether no entry can still be sending to the group.
		Drained func(group Group) bool
		// Draining reports whether an operator marked the group or VM as draining.
		Draining func(kind, name string) bool

		vmsByID      map[string]VM
		modelByGroup map[string]string // model of each requested group, by the group's name
	}

	// FleetChange is one change of the fleet and its reason.
	FleetChange struct {
		Fleet  Fleet
		Group  string
		Reason string
	}

	// EngineOrder tells an engine to load a model or to release it.
	EngineOrder struct {
		VM         string   `json:"vm"`
		Address    string   `json:"address"`
		Group      string   `json:"group"` // empty to release
		Model      string   `json:"model"`
		Generation uint64   `json:"number"`
		Members    []string `json:"members"`
		Fence      uint64   `json:"fence"` // fencing number of the lease under which the order is sent
	}
)

// Plan returns the next change that the view calls for. Each change is committed
// before the next is planned.
func Plan(view FleetView) (FleetChange, bool) {
	view.vmsByID = make(map[string]VM, len(view.VMs))
	for _, vm := range view.VMs {
		view.vmsByID[vm.ID] = vm
	}
	view.modelByGroup = map[string]string{}
	for _, spec := range view.Specs {
		for index := range spec.Count {
			view.modelByGroup[spec.group(index)] = spec.Model
		}
	}
	for _, rule := range []func(FleetView) (FleetChange, bool){
		confirmRelease, dissolveDamaged, dissolveUnwanted, recordLoaded, reloadUnhealthy, formMissing,
	} {
		if change, found := rule(view); found {
			return change, true
		}
	}
	return FleetChange{}, false
}

func confirmRelease(view FleetView) (FleetChange, bool) {
	for _, release := range view.Fleet.Releasing {
		vmHealth := view.Health[release.VM]
		_, known := view.vmsByID[release.VM]
		if vmHealth.Reachable && vmHealth.Report.Released(release.Generation) {
			return FleetChange{Fleet: view.Fleet.WithReleased(release.VM), Group: release.VM, Reason: "released"}, true
		}
		unlistedOrTimedOut := !known || view.UnreachableFor[release.VM] > view.unreachableTimeout(view.vmsByID[release.VM].Domain)
		if unlistedOrTimedOut && !vmHealth.Reachable && vmHealth.MissedProbes >= missedProbesUntilLost {
			return FleetChange{Fleet: view.Fleet.WithReleased(release.VM), Group: release.VM, Reason: "gone"}, true
		}
	}
	return FleetChange{}, false
}

// dissolveDamaged dissolves a group that lost a member if a complete one can then
// be formed at once: in the same fabric domain from free VMs and survivors of
// damaged groups, or in another domain from free VMs alone. Otherwise the group
// waits until the member answers again, the unreachable timeout ends or the VM is no
// longer listed.
func dissolveDamaged(view FleetView) (FleetChange, bool) {
	for _, group := range view.Fleet.Groups {
		lost := view.lostMember(group)
		if lost == "" {
			continue
		}
		_, known := view.vmsByID[lost]
		waited := view.UnreachableFor[lost] > view.unreachableTimeout(group.Members[0].Domain)
		if !known || waited || view.canReform(group) {
			return FleetChange{Fleet: view.Fleet.WithoutGroup(group.Name), Group: group.Name, Reason: "VM " + lost + " is gone"}, true
		}
	}
	return FleetChange{}, false
}

// lostMember returns a member of the group that no longer answers.
func (view FleetView) lostMember(group Group) string {
	for _, member := range group.Members {
		if view.Health[member.VM].MissedProbes >= missedProbesUntilLost {
			return member.VM
		}
	}
	return ""
}

// unreachableTimeout is how long the planner waits for an unreachable VM of the
// fabric domain.
func (view FleetView) unreachableTimeout(domain string) time.Duration {
	return unreachableTimeout(unreachableDomains(view.VMs, view.UnreachableFor).Has(domain))
}

// canReform reports whether a complete group can be formed without the lost member.
func (view FleetView) canReform(damaged Group) bool {
	domain := damaged.Members[0].Domain
	free := view.free()
	for _, members := range free {
		if len(members) >= len(damaged.Members) {
			return true
		}
	}
	usable := len(free[domain])
	for _, group := range view.Fleet.Groups {
		if group.Members[0].Domain != domain || view.lostMember(group) == "" {
			continue
		}
		for _, member := range group.Members {
			if view.Health[member.VM].MissedProbes < missedProbesUntilLost {
				usable++
			}
		}
	}
	return usable >= len(damaged.Members)
}

func dissolveUnwanted(view FleetView) (FleetChange, bool) {
	for _, group := range view.Fleet.Groups {
		reason := view.dissolveReason(group)
		switch {
		case reason == "":
			continue
		case !group.Draining:
			return FleetChange{Fleet: view.Fleet.WithDrain(group.Name), Group: group.Name, Reason: "draining: " + reason}, true
		case view.Drained(group) && view.idle(group):
			return FleetChange{Fleet: view.Fleet.WithoutGroup(group.Name), Group: group.Name, Reason: "dissolved: " + reason}, true
		}
	}
	return FleetChange{}, false
}

func recordLoaded(view FleetView) (FleetChange, bool) {
	for _, group := range view.Fleet.Groups {
		if !group.Ready() && view.loaded(group) {
			return FleetChange{Fleet: view.Fleet.WithBoots(group.Name, view.Health), Group: group.Name, Reason: "loaded"}, true
		}
	}
	return FleetChange{}, false
}

// reloadUnhealthy makes a group load again when a member lost what it had loaded:
// it was restarted, or it took an order of a superseded planner.
func reloadUnhealthy(view FleetView) (FleetChange, bool) {
	for _, group := range view.Fleet.Groups {
		if !group.Ready() || !view.reachable(group) {
			continue
		}
		if reason := group.UnhealthyReason(view.Health); reason != "" {
			return FleetChange{Fleet: view.Fleet.WithReload(group.Name), Group: group.Name, Reason: reason}, true
		}
	}
	return FleetChange{}, false
}

func formMissing(view FleetView) (FleetChange, bool) {
	if len(view.modelByGroup) <= len(view.Fleet.Groups) && !slices.ContainsFunc(view.Fleet.Groups, func(group Group) bool { return !view.requested(group) }) {
		return FleetChange{}, false
	}
	free := view.free()
	for _, spec := range view.Specs {
		members := pickDomain(free, view.Models[spec.Model].VMsPerGroup)
		for index := 0; index < spec.Count && members != nil; index++ {
			name := spec.group(index)
			if _, exists := view.Fleet.Group(name); exists || view.Draining(DrainGroup, name) {
				continue
			}
			fleet, err := view.Fleet.WithGroup(Group{Name: name, Spec: spec.Name, Model: spec.Model, Members: members})
			if err != nil {
				break
			}
			return FleetChange{Fleet: fleet, Group: name, Reason: "formed"}, true
		}
	}
	return FleetChange{}, false
}

func (view FleetView) dissolveReason(group Group) string {
	if view.Draining(DrainGroup, group.Name) {
		return "an operator drains the group"
	}
	if !view.requested(group) {
		return "no longer asked for"
	}
	for _, member := range group.Members {
		if view.Draining(DrainVM, member.VM) || view.vmsByID[member.VM].State == VMLeaving || view.Health[member.VM].Report.Leaving {
			return "VM " + member.VM + " is leaving"
		}
	}
	return ""
}

func (view FleetView) requested(group Group) bool {
	return view.modelByGroup[group.Name] == group.Model && len(group.Members) == view.Models[group.Model].VMsPerGroup
}

func (view FleetView) idle(group Group) bool {
	return !slices.ContainsFunc(group.Members, func(member Member) bool {
		vmHealth := view.Health[member.VM]
		return vmHealth.Reachable && vmHealth.Report.Streams > 0
	})
}

func (view FleetView) reachable(group Group) bool {
	return !slices.ContainsFunc(group.Members, func(member Member) bool { return !view.Health[member.VM].Reachable })
}

func (view FleetView) loaded(group Group) bool {
	return !slices.ContainsFunc(group.Members, func(member Member) bool {
		vmHealth := view.Health[member.VM]
		return !vmHealth.Reachable || !vmHealth.Report.LoadedFor(group.Name, group.Generation)
	})
}

// free returns the VMs that can join a group, by fabric domain.
func (view FleetView) free() map[string][]Member {
	taken := view.Fleet.Taken()
	free := map[string][]Member{}
	for _, vm := range view.VMs {
		vmHealth := view.Health[vm.ID]
		usable := vm.State == VMLive && vmHealth.Reachable && vmHealth.Report.Streams == 0 && !vmHealth.Report.Leaving && !view.Draining(DrainVM, vm.ID)
		if usable && !taken.Has(vm.ID) {
			free[vm.Domain] = append(free[vm.Domain], Member{VM: vm.ID, Address: vm.Address, Domain: vm.Domain})
		}
	}
	return free
}

// pickDomain takes the members from the fabric domain with the fewest free VMs that
// still has enough, so that larger domains stay available for larger groups.
func pickDomain(free map[string][]Member, size int) []Member {
	var best []Member
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		members := free[domain]
		if size > 0 && len(members) >= size && (best == nil || len(members) < len(best)) {
			best = members
		}
	}
	if best == nil {
		return nil
	}
	slices.SortFunc(best, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return slices.Clone(best[:size])
}

// Orders returns the orders that engines need for their reports to match the fleet.
// An engine that took an order of a superseded planner gets its order again.
func Orders(fleet Fleet, health map[string]VMHealth) []EngineOrder {
	var orders []EngineOrder
	for _, group := range fleet.Groups {
		for _, member := range group.Members {
			vmHealth := health[member.VM]
			matches := vmHealth.Report.Group == group.Name && vmHealth.Report.Generation == group.Generation
			if vmHealth.Reachable && !matches && !group.Ready() {
				orders = append(orders, EngineOrder{
					VM: member.VM, Address: member.Address, Group: group.Name,
					Model: group.Model, Generation: group.Generation, Members: group.VMs(),
				})
			}
		}
	}
	for _, release := range fleet.Releasing {
		vmHealth := health[release.VM]
		if vmHealth.Reachable && (vmHealth.Report.Group != "" || vmHealth.Report.Generation < release.Generation) {
			orders = append(orders, EngineOrder{VM: release.VM, Address: release.Address, Generation: release.Generation})
		}
	}
	return orders
}
