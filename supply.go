package greengageroute

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	restartTimeout      = 4 * time.Minute
	domainOutageTimeout = 2 * time.Minute
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
func unreachableTimeout(domainOutage bool) time.Duration {
	if domainOutage {
		return domainOutageTimeout
	}
	return restartTimeout
}

// spares is how many VMs beyond the groups' own are held ready: a whole group
// of them if downtime outweighs stranded accelerators, since fewer can stand in
// for a lost VM of their own fabric domain only.
func (policy Policy) spares(groupSize int) int {
	if policy.DowntimeWeight >= 2*policy.StrandedWeight {
		return groupSize
	}
	return 0
}

// RequiredVMs is how many VMs the groups asked for span.
func (supply Supply) RequiredVMs() int {
	required := 0
	for _, spec := range supply.Specs {
		required += spec.Count * supply.Models[spec.Model].VMsPerGroup
	}
	return required
}

// Plan returns the next change of what is held. A VM that does not answer is
// held, and paid, until it is given back.
func (supply Supply) Plan() (SupplyChange, bool) {
	if timedOut := supply.timedOut(); len(timedOut) > 0 {
		return SupplyChange{GiveBack: timedOut}, true
	}
	wanted := supply.RequiredVMs()
	if wanted > 0 {
		wanted += supply.Policy.spares(supply.widestGroup())
	}
	held := len(supply.VMs) + supply.Pending
	switch {
	case held < wanted:
		if domain, capacity := supply.growthDomain(); capacity > 0 {
			return SupplyChange{Domain: domain, Take: min(wanted-held, capacity)}, true
		}
	case supply.Pending == 0 && held > wanted+max(supply.PaidHeadroom, 0):
		if free := supply.unused(held - wanted - max(supply.PaidHeadroom, 0)); len(free) > 0 {
			return SupplyChange{GiveBack: free}, true
		}
	}
	return SupplyChange{}, false
}

// gone returns the VMs that have been missing for longer than the patience and
// no longer belong to a group.
func (supply Supply) timedOut() []string {
	taken := supply.Fleet.Taken()
	unreachable := unreachableDomains(supply.VMs, supply.UnreachableFor)
	var timedOut []string
	for _, vm := range supply.VMs {
		if !taken.Has(vm.ID) && supply.UnreachableFor[vm.ID] > unreachableTimeout(unreachable.Has(vm.Domain)) {
			timedOut = append(timedOut, vm.ID)
		}
	}
	return timedOut
}

// emptiest returns the fabric domain that a new VM completes a group in soonest:
// the one whose VMs outside of groups lack the fewest, with its room.
func (supply Supply) growthDomain() (domain string, capacity int) {
	groupSize := supply.widestGroup()
	taken := supply.Fleet.Taken()
	unreachable := unreachableDomains(supply.VMs, supply.UnreachableFor)
	best := math.MaxInt
	for _, candidate := range supply.Domains {
		held, unassigned := 0, 0
		for _, vm := range supply.VMs {
			if vm.Domain == candidate.Name {
				held++
				if !taken.Has(vm.ID) && supply.UnreachableFor[vm.ID] == 0 {
					unassigned++
				}
			}
		}
		shortfall := groupSize - unassigned%groupSize
		if free := candidate.VMs - held; free > 0 && !unreachable.Has(candidate.Name) && shortfall < best {
			best, domain, capacity = shortfall, candidate.Name, min(free, shortfall)
		}
	}
	return domain, capacity
}

// width is the number of VMs of the widest group asked for.
func (supply Supply) widestGroup() int {
	widest := 1
	for _, spec := range supply.Specs {
		widest = max(widest, supply.Models[spec.Model].VMsPerGroup)
	}
	return widest
}

// darkDomains returns the fabric domains of several VMs none of which answers.
func unreachableDomains(vms []VM, unreachableFor map[string]time.Duration) Set[string] {
	unreachable, reachable := map[string]int{}, Set[string]{}
	for _, vm := range vms {
		if unreachableFor[vm.ID] > 0 {
			unreachable[vm.Domain]++
		} else {
			reachable.Add(vm.Domain)
		}
	}
	found := Set[string]{}
	for domain, count := range unreachable {
		if count > 1 && !reachable.Has(domain) {
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
