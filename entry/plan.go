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
	// planCandidates is how many entries of a data centre wait for the duty.
	planCandidates = 3
	planPeriod     = time.Second
	maxSteps       = 16
)

// planLoop holds the duty of planning the data centre's groups while this entry
// has its lease.
func (entry *Entry) planLoop(ctx context.Context) {
	held := false
	next := time.Now()
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			entry.giveUp(ctx)
			return
		case <-ticker.C:
		}
		holds := entry.lease.Held().Holds(time.Now(), 0)
		if time.Now().After(next) && !entry.stopping.Load() && (holds || entry.chosen("plan", planCandidates)) {
			// A round that fails leaves the tenure to run out.
			_ = entry.lease.Step(ctx)
			next = time.Now().Add(entry.settings.LeaseTerm / 4)
		}
		holds = entry.lease.Held().Holds(time.Now(), 0)
		if holds != held {
			entry.log.Info("planning duty", "held", holds, "fence", entry.lease.Held().Fence)
		}
		if holds {
			entry.plan(ctx, !held)
		}
		held = holds
	}
}

func (entry *Entry) giveUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	_ = entry.lease.Release(ctx) // else it expires
}

// plan makes one round of the duty: look, change the fleet, give orders.
func (entry *Entry) plan(ctx context.Context, taken bool) {
	if taken {
		fleet, err := entry.fleets.Latest(ctx, entry.settings.DataCentre)
		if err != nil {
			entry.counters.Add(CountPlatformFailed, 1)
			return
		}
		entry.adoptFleet(ctx, fleet)
	}
	vms, err := entry.list.VMs(ctx, entry.settings.DataCentre)
	if err != nil {
		entry.counters.Add(CountPlatformFailed, 1)
		return
	}
	for _, vm := range vms {
		if vm.State == greengageroute.VMLeaving && !entry.leaving.has(vm.ID, time.Now()) {
			entry.noteLeaving(ctx, vm.ID)
		}
	}
	health := entry.survey(ctx, vms)
	for range maxSteps {
		step, found := greengageroute.Plan(entry.situation(vms, health))
		if !found {
			break
		}
		fleet, err := entry.fleets.Commit(ctx, entry.lease, step)
		if err != nil {
			entry.counters.Add(CountPlatformFailed, 1)
			entry.log.Info("fleet not changed", "group", step.Group, "reason", step.Reason, "error", err.Error())
			entry.refreshFleet(ctx)
			return
		}
		entry.log.Info("fleet changed", "group", step.Group, "reason", step.Reason, "revision", fleet.Revision)
		entry.adoptFleet(ctx, fleet)
	}
	entry.order(ctx, health)
	entry.supply(ctx, vms)
}

func (entry *Entry) refreshFleet(ctx context.Context) {
	if fleet, err := entry.fleets.Latest(ctx, entry.settings.DataCentre); err == nil {
		entry.adoptFleet(ctx, fleet)
	}
}

func (entry *Entry) situation(vms []greengageroute.VM, health map[string]greengageroute.VMHealth) greengageroute.FleetView {
	config := entry.Config()
	return greengageroute.FleetView{
		Fleet: entry.Fleet(), Specs: config.GroupSpecs(entry.settings.DataCentre), Models: config.Models(),
		VMs: vms, Health: health, UnreachableFor: entry.health.missing(time.Now()),
		Drained: entry.drained, Draining: config.Draining,
	}
}

// drained tells whether every live entry knows a fleet in which the group
// drains, so that none starts anything there.
func (entry *Entry) drained(greengageroute.Group) bool {
	revision := entry.Fleet().Revision
	for _, other := range entry.members.All() {
		near := other.DataCentre == entry.settings.DataCentre
		lapsed := other.State >= peer.Dead && time.Since(other.ChangedAt) > greengageroute.ProbeResultTTL
		if near && !lapsed && other.State != peer.Left && other.Revisions.Fleet < revision {
			return false
		}
	}
	return true
}

// survey returns the health of every VM: probed now, but for the members of
// groups that a prober has lately found whole.
func (entry *Entry) survey(ctx context.Context, vms []greengageroute.VM) map[string]greengageroute.VMHealth {
	now := time.Now()
	health := map[string]greengageroute.VMHealth{}
	whole := greengageroute.Set[string]{}
	fleet := entry.Fleet()
	addresses := map[string]string{}
	for _, group := range fleet.Groups {
		_, reason := entry.servable(group, now)
		for _, member := range group.Members {
			addresses[member.VM] = member.Address
			if reason == "" {
				whole.Add(member.VM)
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
	var unsure []probed
	for id, address := range addresses {
		if !whole.Has(id) {
			unsure = append(unsure, probed{id, address})
		}
	}
	for id, found := range entry.probeVMs(ctx, unsure) {
		health[id] = found
	}
	return health
}

// order gives the orders that the fleet calls for, each only if it ends before
// the lease does.
func (entry *Entry) order(ctx context.Context, health map[string]greengageroute.VMHealth) {
	var calls sync.WaitGroup
	for _, order := range greengageroute.Orders(entry.Fleet(), health) {
		calls.Go(func() {
			tenure := entry.lease.Held()
			if !tenure.Holds(time.Now(), target.OrderTimeout) {
				return
			}
			order.Fence = tenure.Fence
			entry.counters.Add(CountOrders, 1)
			if err := entry.targets.SendOrder(ctx, order); err != nil {
				entry.counters.Add(CountOrdersFailed, 1)
			}
		})
	}
	calls.Wait()
}
