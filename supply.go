package greengageroute

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	restartPatience = 4 * time.Minute
	darkPatience    = 2 * time.Minute
)

type (
	// Supply is what a data centre holds and needs.
	Supply struct {
		Fleet          Fleet
		Domains        []FabricDomain
		Specs          []GroupSpec
		Models         map[string]Model
		VMs            []VM
		UnreachableFor map[string]time.Duration // how long each VM has not answered
		Policy         Policy
		Pending        int // VMs taken that the list does not show yet
		PaidHeadroom   int // VMs that may be held beyond those held now without raising the month's peak
	}

	// SupplyChange is one change of what is held: VMs given back, or VMs taken in
	// a fabric domain. Giving back comes first.
	SupplyChange struct {
		GiveBack []string
		Domain   string
		Take     int
	}
)

// patienceWith is how long a VM may be missing before it is given back: longer
// than a restart takes, but for a fabric domain that is dark, since its VMs are
// not being restarted.
func patienceWith(dark bool) time.Duration {
	if dark {
		return darkPatience
	}
	return restartPatience
}

// spares is how many VMs beyond the groups' own are held ready: a whole group
// of them if downtime outweighs stranded accelerators, since fewer can stand in
// for a lost VM of their own fabric domain only.
func (policy Policy) spares(width int) int {
	if policy.DowntimeWeight >= 2*policy.StrandedWeight {
		return width
	}
	return 0
}

// RequiredVMs is how many VMs the groups asked for span.
func (supply Supply) RequiredVMs() int {
	need := 0
	for _, spec := range supply.Specs {
		need += spec.Count * supply.Models[spec.Model].VMsPerGroup
	}
	return need
}

// Plan returns the next change of what is held. A VM that does not answer is
// held, and paid, until it is given back.
func (supply Supply) Plan() (SupplyChange, bool) {
	if gone := supply.gone(); len(gone) > 0 {
		return SupplyChange{GiveBack: gone}, true
	}
	target := supply.RequiredVMs()
	if target > 0 {
		target += supply.Policy.spares(supply.width())
	}
	held := len(supply.VMs) + supply.Pending
	switch {
	case held < target:
		if domain, room := supply.emptiest(); room > 0 {
			return SupplyChange{Domain: domain, Take: min(target-held, room)}, true
		}
	case supply.Pending == 0 && held > target+max(supply.PaidHeadroom, 0):
		if free := supply.unused(held - target - max(supply.PaidHeadroom, 0)); len(free) > 0 {
			return SupplyChange{GiveBack: free}, true
		}
	}
	return SupplyChange{}, false
}

// gone returns the VMs that have been missing for longer than the patience and
// no longer belong to a group.
func (supply Supply) gone() []string {
	taken := supply.Fleet.Taken()
	dark := darkDomains(supply.VMs, supply.UnreachableFor)
	var gone []string
	for _, vm := range supply.VMs {
		if !taken.Has(vm.ID) && supply.UnreachableFor[vm.ID] > patienceWith(dark.Has(vm.Domain)) {
			gone = append(gone, vm.ID)
		}
	}
	return gone
}

// emptiest returns the fabric domain that a new VM completes a group in soonest:
// the one whose VMs outside of groups lack the fewest, with its room.
func (supply Supply) emptiest() (domain string, room int) {
	width := supply.width()
	taken := supply.Fleet.Taken()
	dark := darkDomains(supply.VMs, supply.UnreachableFor)
	best := math.MaxInt
	for _, candidate := range supply.Domains {
		held, loose := 0, 0
		for _, vm := range supply.VMs {
			if vm.Domain == candidate.Name {
				held++
				if !taken.Has(vm.ID) && supply.UnreachableFor[vm.ID] == 0 {
					loose++
				}
			}
		}
		lacking := width - loose%width
		if free := candidate.VMs - held; free > 0 && !dark.Has(candidate.Name) && lacking < best {
			best, domain, room = lacking, candidate.Name, min(free, lacking)
		}
	}
	return domain, room
}

// width is the number of VMs of the widest group asked for.
func (supply Supply) width() int {
	width := 1
	for _, spec := range supply.Specs {
		width = max(width, supply.Models[spec.Model].VMsPerGroup)
	}
	return width
}

// darkDomains returns the fabric domains of several VMs none of which answers.
func darkDomains(vms []VM, missing map[string]time.Duration) Set[string] {
	dark, lit := map[string]int{}, Set[string]{}
	for _, vm := range vms {
		if missing[vm.ID] > 0 {
			dark[vm.Domain]++
		} else {
			lit.Add(vm.Domain)
		}
	}
	found := Set[string]{}
	for domain, count := range dark {
		if count > 1 && !lit.Has(domain) {
			found.Add(domain)
		}
	}
	return found
}

// unused returns VMs outside of groups, those first that do not answer.
func (supply Supply) unused(count int) []string {
	taken := supply.Fleet.Taken()
	var free []VM
	for _, vm := range supply.VMs {
		if !taken.Has(vm.ID) {
			free = append(free, vm)
		}
	}
	slices.SortStableFunc(free, func(a, b VM) int { return cmp.Compare(supply.UnreachableFor[b.ID], supply.UnreachableFor[a.ID]) })
	var ids []string
	for _, vm := range free[:min(count, len(free))] {
		ids = append(ids, vm.ID)
	}
	return ids
}
