package entry

import (
	"context"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/target"
)

// deliveryTimeout is how long VMs that were taken but are not listed yet count as
// pending.
const deliveryTimeout = 5 * time.Minute

// adjustSupply takes or gives back VMs so that the data centre holds those that its
// groups need. Unreachable VMs are given back first, and VMs are written into the
// contract before they are taken. It does nothing unless the policies set a peak.
func (entry *Entry) adjustSupply(ctx context.Context, vms []greengageroute.VM) {
	config := entry.Config()
	limit := config.PeakVMs()
	if limit == 0 || !entry.lease.Held().Holds(time.Now(), target.OrderTimeout) {
		return
	}
	contract, err := entry.contracts.Get(ctx, limit)
	if err != nil {
		entry.counters.Add(CountPlatformFailed, 1)
		return
	}
	dataCentre, _ := config.DataCentre(entry.settings.DataCentre)
	supply := greengageroute.Supply{
		Fleet: entry.Fleet(), Domains: dataCentre.Domains, Specs: config.GroupSpecs(dataCentre.Name), Models: config.Models(), VMs: vms,
		UnreachableFor: entry.health.unreachableFor(time.Now()), Policy: config.Policy(dataCentre.Name),
		PaidHeadroom: min(contract.Peak, limit) - contract.Total(),
	}
	if time.Since(entry.lastTakeAt) < deliveryTimeout {
		supply.Pending = max(contract.Held[dataCentre.Name]-len(vms), 0)
	}
	change, found := supply.Plan()
	switch {
	case !found && supply.Pending == 0 && contract.Held[dataCentre.Name] != len(vms):
		entry.setHeld(ctx, limit, len(vms))
	case len(change.GiveBack) > 0:
		entry.giveBack(ctx, change.GiveBack)
	case change.Take > 0:
		entry.take(ctx, limit, vms, change)
	}
}

// setHeld writes into the contract how many VMs the data centre may hold, and
// reports whether that succeeded.
func (entry *Entry) setHeld(ctx context.Context, limit, vms int) bool {
	if _, err := entry.contracts.SetHeld(ctx, limit, entry.settings.DataCentre, vms); err != nil {
		entry.counters.Add(CountSupplyRefused, 1)
		return false
	}
	return true
}

// giveBack gives VMs back. The contract is lowered only once the VMs are no longer
// listed.
func (entry *Entry) giveBack(ctx context.Context, vms []string) {
	if err := entry.supplier.GiveBack(ctx, vms...); err != nil {
		entry.counters.Add(CountPlatformFailed, 1)
		return
	}
	entry.counters.Add(CountVMsGivenBack, int64(len(vms)))
	entry.log.Info("VMs given back", "vms", vms)
}

func (entry *Entry) take(ctx context.Context, limit int, vms []greengageroute.VM, change greengageroute.SupplyChange) {
	if !entry.setHeld(ctx, limit, len(vms)+change.Take) {
		return
	}
	inDomain := 0
	for _, vm := range vms {
		if vm.Domain == change.Domain {
			inDomain++
		}
	}
	if err := entry.supplier.Take(ctx, entry.settings.DataCentre, change.Domain, inDomain+change.Take); err != nil {
		entry.counters.Add(CountPlatformFailed, 1)
		return
	}
	entry.lastTakeAt = time.Now()
	entry.counters.Add(CountVMsTaken, int64(change.Take))
	entry.log.Info("VMs taken", "domain", change.Domain, "count", change.Take)
}
