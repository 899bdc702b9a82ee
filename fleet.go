package greengageroute

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

type (
	// Fleet says which VM of a data centre belongs to which group. It is one row of
	// the platform's table, so every change of it is one conditional write. Its
	// methods never put a VM into it twice. It is immutable.
	Fleet struct {
		DataCentre     string    `json:"data-centre" cbor:"1,keyasint"`
		Revision       uint64    `json:"revision" cbor:"2,keyasint"`
		LastGeneration uint64    `json:"last" cbor:"3,keyasint"` // highest generation assigned so far
		Groups         []Group   `json:"groups" cbor:"4,keyasint"`
		Releasing      []Release `json:"releasing" cbor:"5,keyasint"`
	}

	// Group is one replica of a model on several VMs of one fabric domain.
	Group struct {
		Name       string   `json:"name" cbor:"1,keyasint"`
		Spec       string   `json:"spec" cbor:"2,keyasint"`
		Model      string   `json:"model" cbor:"3,keyasint"`
		Generation uint64   `json:"number" cbor:"4,keyasint"`
		Members    []Member `json:"members" cbor:"5,keyasint"`
		Draining   bool     `json:"draining" cbor:"6,keyasint"`
	}

	// Member is a VM of a group. The first member receives the group's requests.
	Member struct {
		VM      string `json:"vm" cbor:"1,keyasint"`
		Address string `json:"address" cbor:"2,keyasint"`
		Domain  string `json:"domain" cbor:"3,keyasint"`
		// Boot is the boot id under which the member loaded; empty until every
		// member has loaded.
		Boot string `json:"boot" cbor:"4,keyasint"`
	}

	// Release is a VM that left its group and has not yet confirmed the release.
	Release struct {
		VM         string `json:"vm" cbor:"1,keyasint"`
		Address    string `json:"address" cbor:"2,keyasint"`
		Generation uint64 `json:"number" cbor:"3,keyasint"`
	}
)

// Ready reports whether every member was seen loaded under the group's
// generation.
func (group Group) Ready() bool {
	return len(group.Members) > 0 && group.Members[0].Boot != ""
}

// Assignment returns the group's name with its generation.
func (group Group) Assignment() string { return fmt.Sprintf("%s#%d", group.Name, group.Generation) }

// Leader returns the member that receives the group's requests.
func (group Group) Leader() Member { return group.Members[0] }

// VMs returns the ids of the members.
func (group Group) VMs() []string {
	ids := make([]string, 0, len(group.Members))
	for _, member := range group.Members {
		ids = append(ids, member.VM)
	}
	return ids
}

// UnhealthyReason checks the members' reports against the group: every member has
// to be reachable, loaded under the group's generation, and in the boot that loaded
// it. It returns why the group is not healthy, or an empty string.
func (group Group) UnhealthyReason(health map[string]VMHealth) string {
	if !group.Ready() {
		return "still loading"
	}
	for _, member := range group.Members {
		vmHealth, known := health[member.VM]
		switch {
		case !known || !vmHealth.Reachable:
			return "VM " + member.VM + " does not answer"
		case vmHealth.Report.Boot != member.Boot:
			return "VM " + member.VM + " was restarted"
		case !vmHealth.Report.LoadedFor(group.Name, group.Generation):
			return "VM " + member.VM + " is not loaded for this group"
		}
	}
	return ""
}

// Group returns a group by name.
func (fleet Fleet) Group(name string) (Group, bool) {
	for _, group := range fleet.Groups {
		if group.Name == name {
			return group, true
		}
	}
	return Group{}, false
}

// Taken returns the VMs that belong to a group or are being released.
func (fleet Fleet) Taken() Set[string] {
	taken := Set[string]{}
	for _, group := range fleet.Groups {
		for _, member := range group.Members {
			taken.Add(member.VM)
		}
	}
	for _, release := range fleet.Releasing {
		taken.Add(release.VM)
	}
	return taken
}

// WithGroup returns the fleet with a new group under the next generation. It fails
// with trace.AlreadyExists if the group's name is in use, or if a member belongs to
// a group, is being released or is listed twice.
func (fleet Fleet) WithGroup(group Group) (Fleet, error) {
	taken := fleet.Taken()
	for _, member := range group.Members {
		if !taken.Add(member.VM) {
			return fleet, trace.AlreadyExists("VM %q already belongs to a group or is being released; release it before it joins group %q", member.VM, group.Name)
		}
	}
	if _, exists := fleet.Group(group.Name); exists {
		return fleet, trace.AlreadyExists("group %q already exists; dissolve it first", group.Name)
	}
	fleet.LastGeneration++
	group.Generation = fleet.LastGeneration
	fleet.Groups = append(slices.Clone(fleet.Groups), group)
	slices.SortFunc(fleet.Groups, func(a, b Group) int { return strings.Compare(a.Name, b.Name) })
	return fleet, nil
}

// WithoutGroup returns the fleet without the group, whose members are being
// released under the next generation.
func (fleet Fleet) WithoutGroup(name string) Fleet {
	group, exists := fleet.Group(name)
	if !exists {
		return fleet
	}
	fleet.LastGeneration++
	fleet.Releasing = slices.Clone(fleet.Releasing)
	for _, member := range group.Members {
		fleet.Releasing = append(fleet.Releasing, Release{VM: member.VM, Address: member.Address, Generation: fleet.LastGeneration})
	}
	fleet.Groups = slices.DeleteFunc(slices.Clone(fleet.Groups), func(other Group) bool { return other.Name == name })
	return fleet
}

// WithReload returns the fleet with the group under the next generation, so that
// all of its members load again.
func (fleet Fleet) WithReload(name string) Fleet {
	fleet.LastGeneration++
	return fleet.withChange(name, func(group *Group) {
		group.Generation = fleet.LastGeneration
		for i := range group.Members {
			group.Members[i].Boot = ""
		}
	})
}

// WithBoots returns the fleet with the boot ids under which the group loaded.
func (fleet Fleet) WithBoots(name string, health map[string]VMHealth) Fleet {
	return fleet.withChange(name, func(group *Group) {
		for i, member := range group.Members {
			group.Members[i].Boot = health[member.VM].Report.Boot
		}
	})
}

// WithDrain returns the fleet with the group marked as draining.
func (fleet Fleet) WithDrain(name string) Fleet {
	return fleet.withChange(name, func(group *Group) { group.Draining = true })
}

// WithReleased returns the fleet after a release was confirmed.
func (fleet Fleet) WithReleased(vm string) Fleet {
	fleet.Releasing = slices.DeleteFunc(slices.Clone(fleet.Releasing), func(release Release) bool { return release.VM == vm })
	return fleet
}

func (fleet Fleet) withChange(name string, edit func(*Group)) Fleet {
	fleet.Groups = slices.Clone(fleet.Groups)
	for i := range fleet.Groups {
		if fleet.Groups[i].Name == name {
			fleet.Groups[i].Members = slices.Clone(fleet.Groups[i].Members)
			edit(&fleet.Groups[i])
		}
	}
	return fleet
}
