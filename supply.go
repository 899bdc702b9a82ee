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
		UnreachableFor map[string]time.Duration // for how long each VM has not answered
		Policy         Policy
		Pending        int // VMs taken that are not listed yet
		PaidHeadroom   int // VMs that may be held beyond those held now without raising the month's peak
	}

	// SupplyChange is one change of the VMs held: either VMs to give back or VMs
	// to take in a fabric domain. Giving back comes first.
	SupplyChange struct {
		GiveBack []string
		Domain   string
		Take     int
	}
)

// unreachableTimeout is how long a VM may be unreachable before it is given back:
// longer than a restart takes. It is shorter if the VM's whole fabric domain is
// unreachable, since its VMs are not being restarted then.
func unreachableTimeout(domainOutage bool) time.Duration {
	if domainOutage {
		return domainOutageTimeout
	}
	return restartTimeout
}

// spares is how many VMs are held ready in addition to those of the groups. If
// downtime outweighs stranded accelerators, they are enough for a complete group:
// fewer could only replace a lost VM of their own fabric domain.
func (policy Policy) spares(groupSize int) int {
	if policy.DowntimeWeight >= 2*policy.StrandedWeight {
		return groupSize
	}
	return 0
}

// RequiredVMs returns how many VMs the requested groups span.
func (supply Supply) RequiredVMs() int {
	required := 0
	for _, spec := range supply.Specs {
		required += spec.Count * supply.Models[spec.Model].VMsPerGroup
	}
	return required
}

// Plan returns the next change of the VMs held. An unreachable VM is held, and
// paid for, until it is given back.
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

// timedOut returns the VMs that have been unreachable for longer than the timeout
// and no longer belong to a group.
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

// growthDomain returns the fabric domain where the fewest new VMs complete a group
// with the VMs that belong to none, and how many VMs to take there at most.
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

// widestGroup is the number of VMs of the largest requested group.
func (supply Supply) widestGroup() int {
	widest := 1
	for _, spec := range supply.Specs {
		widest = max(widest, supply.Models[spec.Model].VMsPerGroup)
	}
	return widest
}

// unreachableDomains returns the fabric domains with several VMs of which none
// answers.
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

// unused returns up to count VMs outside of groups, longest unreachable first.
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
