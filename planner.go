package greengageroute

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// missedUntilGone is how many probes in a row a VM misses before its group
	// is regrouped.
	missedUntilGone = 4
)

type (
	// FleetView is what a planner knows of its data centre.
	FleetView struct {
		Fleet  Fleet
		Specs  []GroupSpec
		Models map[string]Model
		VMs    []VM
		Health map[string]VMHealth
		// UnreachableFor is how long each VM has not answered.
		UnreachableFor map[string]time.Duration
		// Drained tells whether no entry can still be sending to the group.
		Drained func(group Group) bool
		// Draining tells whether an operator marked the thing as leaving.
		Draining func(kind, name string) bool

		listed map[string]VM
		models map[string]string // of the groups asked for, by name
	}

	// FleetChange is one change of the fleet with its reason.
	FleetChange struct {
		Fleet  Fleet
		Group  string
		Reason string
	}

	// EngineOrder tells an engine to load or to release.
	EngineOrder struct {
		VM         string   `json:"vm"`
		Address    string   `json:"address"`
		Group      string   `json:"group"` // empty to release
		Model      string   `json:"model"`
		Generation uint64   `json:"number"`
		Members    []string `json:"members"`
		Fence      uint64   `json:"fence"` // fencing number of the lease under which it is given
	}
)

// Plan returns the next change that the situation calls for. Each change is
// committed before the next is planned.
func Plan(now FleetView) (FleetChange, bool) {
	now.listed = make(map[string]VM, len(now.VMs))
	for _, vm := range now.VMs {
		now.listed[vm.ID] = vm
	}
	now.models = map[string]string{}
	for _, spec := range now.Specs {
		for index := range spec.Count {
			now.models[spec.group(index)] = spec.Model
		}
	}
	for _, find := range []func(FleetView) (FleetChange, bool){
		confirmRelease, dissolveBroken, dissolveUnwanted, recordLoaded, reloadBroken, formMissing,
	} {
		if step, found := find(now); found {
			return step, true
		}
	}
	return FleetChange{}, false
}

func confirmRelease(now FleetView) (FleetChange, bool) {
	for _, release := range now.Fleet.Releasing {
		seen := now.Health[release.VM]
		_, known := now.listed[release.VM]
		if seen.Reachable && seen.Report.Released(release.Generation) {
			return FleetChange{Fleet: now.Fleet.WithReleased(release.VM), Group: release.VM, Reason: "released"}, true
		}
		gone := !known || now.UnreachableFor[release.VM] > now.patience(now.listed[release.VM].Domain)
		if gone && !seen.Reachable && seen.MissedProbes >= missedUntilGone {
			return FleetChange{Fleet: now.Fleet.WithReleased(release.VM), Group: release.VM, Reason: "gone"}, true
		}
	}
	return FleetChange{}, false
}

// dissolveBroken dissolves a group that lost a member if that lets a whole one
// be formed at once: in the same fabric domain, from VMs that are free and from
// survivors of broken groups, or in another from free VMs alone. Otherwise the
// group waits for the member to come back, until patience ends or the VM is no
// longer listed.
func dissolveBroken(now FleetView) (FleetChange, bool) {
	for _, group := range now.Fleet.Groups {
		lost := now.lost(group)
		if lost == "" {
			continue
		}
		_, known := now.listed[lost]
		waited := now.UnreachableFor[lost] > now.patience(group.Members[0].Domain)
		if !known || waited || now.formable(group) {
			return FleetChange{Fleet: now.Fleet.WithoutGroup(group.Name), Group: group.Name, Reason: "VM " + lost + " is gone"}, true
		}
	}
	return FleetChange{}, false
}

// lost returns a member of the group that no longer answers.
func (now FleetView) lost(group Group) string {
	for _, member := range group.Members {
		if now.Health[member.VM].MissedProbes >= missedUntilGone {
			return member.VM
		}
	}
	return ""
}

// patience is how long a VM of the fabric domain is waited for.
func (now FleetView) patience(domain string) time.Duration {
	return patienceWith(darkDomains(now.VMs, now.UnreachableFor).Has(domain))
}

// formable tells whether a whole group can be formed without the lost member.
func (now FleetView) formable(broken Group) bool {
	domain := broken.Members[0].Domain
	free := now.free()
	for _, members := range free {
		if len(members) >= len(broken.Members) {
			return true
		}
	}
	usable := len(free[domain])
	for _, group := range now.Fleet.Groups {
		if group.Members[0].Domain != domain || now.lost(group) == "" {
			continue
		}
		for _, member := range group.Members {
			if now.Health[member.VM].MissedProbes < missedUntilGone {
				usable++
			}
		}
	}
	return usable >= len(broken.Members)
}

func dissolveUnwanted(now FleetView) (FleetChange, bool) {
	for _, group := range now.Fleet.Groups {
		reason := now.unwanted(group)
		switch {
		case reason == "":
			continue
		case !group.Draining:
			return FleetChange{Fleet: now.Fleet.WithDrain(group.Name), Group: group.Name, Reason: "draining: " + reason}, true
		case now.Drained(group) && now.idle(group):
			return FleetChange{Fleet: now.Fleet.WithoutGroup(group.Name), Group: group.Name, Reason: "dissolved: " + reason}, true
		}
	}
	return FleetChange{}, false
}

func recordLoaded(now FleetView) (FleetChange, bool) {
	for _, group := range now.Fleet.Groups {
		if !group.Ready() && now.loaded(group) {
			return FleetChange{Fleet: now.Fleet.WithBoots(group.Name, now.Health), Group: group.Name, Reason: "loaded"}, true
		}
	}
	return FleetChange{}, false
}

// reloadBroken assigns a group anew when a member lost what it had loaded: it
// was restarted, or took an order of a superseded planner.
func reloadBroken(now FleetView) (FleetChange, bool) {
	for _, group := range now.Fleet.Groups {
		if !group.Ready() || !now.reachable(group) {
			continue
		}
		if reason := group.UnhealthyReason(now.Health); reason != "" {
			return FleetChange{Fleet: now.Fleet.WithReload(group.Name), Group: group.Name, Reason: reason}, true
		}
	}
	return FleetChange{}, false
}

func formMissing(now FleetView) (FleetChange, bool) {
	if len(now.models) <= len(now.Fleet.Groups) && !slices.ContainsFunc(now.Fleet.Groups, func(group Group) bool { return !now.wanted(group) }) {
		return FleetChange{}, false
	}
	free := now.free()
	for _, spec := range now.Specs {
		members := pickDomain(free, now.Models[spec.Model].VMsPerGroup)
		for index := 0; index < spec.Count && members != nil; index++ {
			name := spec.group(index)
			if _, exists := now.Fleet.Group(name); exists || now.Draining(DrainGroup, name) {
				continue
			}
			fleet, err := now.Fleet.WithGroup(Group{Name: name, Spec: spec.Name, Model: spec.Model, Members: members})
			if err != nil {
				break
			}
			return FleetChange{Fleet: fleet, Group: name, Reason: "formed"}, true
		}
	}
	return FleetChange{}, false
}

func (now FleetView) unwanted(group Group) string {
	if now.Draining(DrainGroup, group.Name) {
		return "an operator drains the group"
	}
	if !now.wanted(group) {
		return "no longer asked for"
	}
	for _, member := range group.Members {
		if now.Draining(DrainVM, member.VM) || now.listed[member.VM].State == VMLeaving || now.Health[member.VM].Report.Leaving {
			return "VM " + member.VM + " is leaving"
		}
	}
	return ""
}

func (now FleetView) wanted(group Group) bool {
	return now.models[group.Name] == group.Model && len(group.Members) == now.Models[group.Model].VMsPerGroup
}

func (now FleetView) idle(group Group) bool {
	return !slices.ContainsFunc(group.Members, func(member Member) bool {
		seen := now.Health[member.VM]
		return seen.Reachable && seen.Report.Streams > 0
	})
}

func (now FleetView) reachable(group Group) bool {
	return !slices.ContainsFunc(group.Members, func(member Member) bool { return !now.Health[member.VM].Reachable })
}

func (now FleetView) loaded(group Group) bool {
	return !slices.ContainsFunc(group.Members, func(member Member) bool {
		seen := now.Health[member.VM]
		return !seen.Reachable || !seen.Report.LoadedFor(group.Name, group.Generation)
	})
}

// free returns the VMs that can join a group, by fabric domain.
func (now FleetView) free() map[string][]Member {
	taken := now.Fleet.Taken()
	free := map[string][]Member{}
	for _, vm := range now.VMs {
		seen := now.Health[vm.ID]
		usable := vm.State == VMLive && seen.Reachable && seen.Report.Streams == 0 && !seen.Report.Leaving && !now.Draining(DrainVM, vm.ID)
		if usable && !taken.Has(vm.ID) {
			free[vm.Domain] = append(free[vm.Domain], Member{VM: vm.ID, Address: vm.Address, Domain: vm.Domain})
		}
	}
	return free
}

// pickDomain takes the members from the fabric domain with the fewest free VMs
// that still has enough, so that wide domains stay usable.
func pickDomain(free map[string][]Member, width int) []Member {
	var best []Member
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		members := free[domain]
		if width > 0 && len(members) >= width && (best == nil || len(members) < len(best)) {
			best = members
		}
	}
	if best == nil {
		return nil
	}
	slices.SortFunc(best, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return slices.Clone(best[:width])
}

// Orders returns what engines have to be told for their reports to match the
// fleet. An engine that took an order of a superseded planner is told again.
func Orders(fleet Fleet, health map[string]VMHealth) []EngineOrder {
	var orders []EngineOrder
	for _, group := range fleet.Groups {
		for _, member := range group.Members {
			seen := health[member.VM]
			matches := seen.Report.Group == group.Name && seen.Report.Generation == group.Generation
			if seen.Reachable && !matches && !group.Ready() {
				orders = append(orders, EngineOrder{
					VM: member.VM, Address: member.Address, Group: group.Name,
					Model: group.Model, Generation: group.Generation, Members: group.VMs(),
				})
			}
		}
	}
	for _, release := range fleet.Releasing {
		seen := health[release.VM]
		if seen.Reachable && (seen.Report.Group != "" || seen.Report.Generation < release.Generation) {
			orders = append(orders, EngineOrder{VM: release.VM, Address: release.Address, Generation: release.Generation})
		}
	}
	return orders
}
