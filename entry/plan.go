package entry

import (
	"context"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/peer"
	"greengageroute.example/greengageroute/target"
)

const (
	// leaseCandidates is how many entries of a data centre compete for the
	// planner's lease.
	leaseCandidates = 3
	planInterval    = time.Second
	// maxFleetChanges bounds the changes of the fleet that one planning round commits.
	maxFleetChanges = 16
)

// planLoop acquires and renews the planner's lease, and plans the data centre's
// groups while this entry holds it.
func (entry *Entry) planLoop(ctx context.Context) {
	wasHolder := false
	nextStep := time.Now()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			entry.releaseLease(ctx)
			return
		case <-ticker.C:
		}
		isHolder := entry.lease.Held().Holds(time.Now(), 0)
		if time.Now().After(nextStep) && !entry.stopping.Load() && (isHolder || entry.isSelected("plan", leaseCandidates)) {
			// If the step fails, the held lease expires.
			_ = entry.lease.Step(ctx)
			nextStep = time.Now().Add(entry.settings.LeaseTerm / 4)
		}
		isHolder = entry.lease.Held().Holds(time.Now(), 0)
		if isHolder != wasHolder {
			entry.log.Info("planner lease changed", "held", isHolder, "fence", entry.lease.Held().Fence)
		}
		if isHolder {
			entry.plan(ctx, !wasHolder)
		}
		wasHolder = isHolder
	}
}

func (entry *Entry) releaseLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	_ = entry.lease.Release(ctx) // a lease that is not released expires
}

// plan runs one planning round: it lists and checks the VMs, commits changes to
// the fleet, sends orders and adjusts the supply of VMs.
func (entry *Entry) plan(ctx context.Context, leaseAcquired bool) {
	if leaseAcquired {
		fleet, err := entry.fleets.Latest(ctx, entry.settings.DataCentre)
		if err != nil {
			entry.counters.Add(CountPlatformFailed, 1)
			return
		}
		entry.adoptFleet(ctx, fleet)
	}
	vms, err := entry.vmList.VMs(ctx, entry.settings.DataCentre)
	if err != nil {
		entry.counters.Add(CountPlatformFailed, 1)
		return
	}
	for _, vm := range vms {
		if vm.State == greengageroute.VMLeaving && !entry.leaving.has(vm.ID, time.Now()) {
			entry.reportLeaving(ctx, vm.ID)
		}
	}
	health := entry.checkVMs(ctx, vms)
	for range maxFleetChanges {
		change, found := greengageroute.Plan(entry.fleetView(vms, health))
		if !found {
			break
		}
		fleet, err := entry.fleets.Commit(ctx, entry.lease, change)
		if err != nil {
			entry.counters.Add(CountPlatformFailed, 1)
			entry.log.Info("fleet change not committed", "group", change.Group, "reason", change.Reason, "error", err.Error())
			entry.refreshFleet(ctx)
			return
		}
		entry.log.Info("fleet change committed", "group", change.Group, "reason", change.Reason, "revision", fleet.Revision)
		entry.adoptFleet(ctx, fleet)
	}
	entry.sendOrders(ctx, health)
	entry.adjustSupply(ctx, vms)
}

func (entry *Entry) refreshFleet(ctx context.Context) {
	if fleet, err := entry.fleets.Latest(ctx, entry.settings.DataCentre); err == nil {
		entry.adoptFleet(ctx, fleet)
	}
}

func (entry *Entry) fleetView(vms []greengageroute.VM, health map[string]greengageroute.VMHealth) greengageroute.FleetView {
	config := entry.Config()
	return greengageroute.FleetView{
		Fleet: entry.Fleet(), Specs: config.GroupSpecs(entry.settings.DataCentre), Models: config.Models(),
		VMs: vms, Health: health, UnreachableFor: entry.health.unreachableFor(time.Now()),
		Drained: entry.drained, Draining: config.Draining,
	}
}

// drained reports whether every entry of the data centre that may still start
// requests knows a fleet in which the group drains. An entry that peers consider dead
// may start requests until its healthy probe results have expired.
func (entry *Entry) drained(greengageroute.Group) bool {
	revision := entry.Fleet().Revision
	for _, other := range entry.members.All() {
		sameDataCentre := other.DataCentre == entry.settings.DataCentre
		expired := other.State >= peer.Dead && time.Since(other.ChangedAt) > greengageroute.ProbeResultTTL
		if sameDataCentre && !expired && other.State != peer.Left && other.Revisions.Fleet < revision {
			return false
		}
	}
	return true
}

// checkVMs returns the health of every VM. It probes all VMs now, except members
// of groups with a current healthy probe result.
func (entry *Entry) checkVMs(ctx context.Context, vms []greengageroute.VM) map[string]greengageroute.VMHealth {
	now := time.Now()
	health := map[string]greengageroute.VMHealth{}
	healthy := greengageroute.Set[string]{}
	fleet := entry.Fleet()
	addresses := map[string]string{}
	for _, group := range fleet.Groups {
		_, reason := entry.availability(group, now)
		for _, member := range group.Members {
			addresses[member.VM] = member.Address
			if reason == "" {
				healthy.Add(member.VM)
				health[member.VM] = greengageroute.VMHealth{Reachable: true, Report: greengageroute.EngineReport{
					VM: member.VM, Boot: member.Boot, Group: group.Name, Generation: group.Generation, Loaded: true,
				}}
			}
		}
	}
	for _, release := range fleet.Releasing {
		addresses[release.VM] = release.Address
	}
	for _, vm := range vms {
		addresses[vm.ID] = vm.Address
	}
	var toProbe []vmAddress
	for id, address := range addresses {
		if !healthy.Has(id) {
			toProbe = append(toProbe, vmAddress{id, address})
		}
	}
	for id, probed := range entry.probeVMs(ctx, toProbe) {
		health[id] = probed
	}
	return health
}

// sendOrders sends the orders that the fleet requires, each only if it ends before
// the lease expires.
func (entry *Entry) sendOrders(ctx context.Context, health map[string]greengageroute.VMHealth) {
	var sends sync.WaitGroup
	for _, order := range greengageroute.Orders(entry.Fleet(), health) {
		sends.Go(func() {
			held := entry.lease.Held()
			if !held.Holds(time.Now(), target.OrderTimeout) {
				return
			}
			order.Fence = held.Fence
			entry.counters.Add(CountOrders, 1)
			if err := entry.targets.SendOrder(ctx, order); err != nil {
				entry.counters.Add(CountOrdersFailed, 1)
			}
		})
	}
	sends.Wait()
}
