package entry

import (
	"context"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/target"
)

// deliveryTerm is how long a VM that was taken may not be listed yet.
const deliveryTerm = 5 * time.Minute

// supply makes the data centre hold the VMs that its groups need: what is gone
// is given back first, and what is taken is first written into the contract.
// It does nothing unless the policies set a bound.
func (entry *Entry) supply(ctx context.Context, vms []greengageroute.VM) {
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
	centre, _ := config.DataCentre(entry.settings.DataCentre)
	supply := greengageroute.Supply{
		Fleet: entry.Fleet(), Domains: centre.Domains, Specs: config.GroupSpecs(centre.Name), Models: config.Models(), VMs: vms,
		UnreachableFor: entry.health.missing(time.Now()), Policy: config.Policy(centre.Name),
		PaidHeadroom: min(contract.Peak, limit) - contract.Total(),
	}
	if time.Since(entry.tookAt) < deliveryTerm {
		supply.Pending = max(contract.Held[centre.Name]-len(vms), 0)
	}
	step, found := supply.Plan()
	switch {
	case !found && supply.Pending == 0 && contract.Held[centre.Name] != len(vms):
		entry.hold(ctx, limit, len(vms))
	case len(step.GiveBack) > 0:
		entry.giveBack(ctx, step.GiveBack)
	case step.Take > 0:
		entry.take(ctx, limit, vms, step)
	}
}

func (entry *Entry) hold(ctx context.Context, limit, vms int) bool {
	if _, err := entry.contracts.SetHeld(ctx, limit, entry.settings.DataCentre, vms); err != nil {
		entry.counters.Add(CountSupplyRefused, 1)
		return false
	}
	return true
}

// giveBack gives VMs back; the contract follows once the list no longer shows
// them.
func (entry *Entry) giveBack(ctx context.Context, vms []string) {
	if err := entry.supplier.GiveBack(ctx, vms...); err != nil {
		entry.counters.Add(CountPlatformFailed, 1)
		return
	}
	entry.counters.Add(CountGivenBack, int64(len(vms)))
	entry.log.Info("VMs given back", "vms", vms)
}

func (entry *Entry) take(ctx context.Context, limit int, vms []greengageroute.VM, step greengageroute.SupplyChange) {
	if !entry.hold(ctx, limit, len(vms)+step.Take) {
		return
	}
	there := 0
	for _, vm := range vms {
		if vm.Domain == step.Domain {
			there++
		}
	}
	if err := entry.supplier.Take(ctx, entry.settings.DataCentre, step.Domain, there+step.Take); err != nil {
		entry.counters.Add(CountPlatformFailed, 1)
		return
	}
	entry.tookAt = time.Now()
	entry.counters.Add(CountTaken, int64(step.Take))
	entry.log.Info("VMs taken", "domain", step.Domain, "count", step.Take)
}
