package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

const (
	// probeInterval is the time between two probes of a group by one entry.
	probeInterval = 1250 * time.Millisecond
	// probersPerGroup is how many entries probe each group.
	probersPerGroup = 2
)

type (
	// healthTable holds the result of this entry's own probes of each VM.
	healthTable struct {
		mu               sync.Mutex
		vms              map[string]greengageroute.VMHealth
		unreachableSince map[string]time.Time // when the first of a VM's consecutive missed probes failed
	}

	// vmAddress is a VM to probe.
	vmAddress struct{ id, address string }
)

func newHealthTable() *healthTable {
	return &healthTable{vms: map[string]greengageroute.VMHealth{}, unreachableSince: map[string]time.Time{}}
}

func (table *healthTable) record(vm string, report greengageroute.EngineReport, err error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if err != nil {
		previous := table.vms[vm]
		if previous.MissedProbes == 0 {
			table.unreachableSince[vm] = time.Now()
		}
		table.vms[vm] = greengageroute.VMHealth{Report: previous.Report, MissedProbes: previous.MissedProbes + 1}
		return
	}
	table.vms[vm] = greengageroute.VMHealth{Report: report, Reachable: true}
	delete(table.unreachableSince, vm)
}

// unreachableFor returns how long each unreachable VM has not answered probes.
func (table *healthTable) unreachableFor(now time.Time) map[string]time.Duration {
	table.mu.Lock()
	defer table.mu.Unlock()
	durations := make(map[string]time.Duration, len(table.unreachableSince))
	for vm, since := range table.unreachableSince {
		durations[vm] = now.Sub(since)
	}
	return durations
}

func (table *healthTable) snapshot() map[string]greengageroute.VMHealth {
	table.mu.Lock()
	defer table.mu.Unlock()
	return maps.Clone(table.vms)
}

// probeLoop probes the ready groups for which this entry is a prober.
func (entry *Entry) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		live := entry.members.LiveInDataCentre()
		for _, group := range entry.Fleet().Groups {
			responsible := slices.Contains(greengageroute.Rendezvous(group.Name, live, probersPerGroup), entry.settings.Name)
			if group.Ready() && responsible {
				go entry.probeGroup(ctx, group)
			}
		}
	}
}

// probeGroup probes the members concurrently and records the result, dated before
// the first probe was sent, so that no delay makes it look newer.
func (entry *Entry) probeGroup(ctx context.Context, group greengageroute.Group) {
	startedAt := time.Now()
	var vms []vmAddress
	for _, member := range group.Members {
		vms = append(vms, vmAddress{member.VM, member.Address})
	}
	health := entry.probeVMs(ctx, vms)
	reason := group.UnhealthyReason(health)
	if reason != "" && unreachableMember(group, health) && !entry.linksWork(ctx, group) {
		// The other prober's healthy results stand until they expire.
		entry.counters.Add(CountProbesInDoubt, 1)
		return
	}
	entry.probeResults.Record(greengageroute.ProbeResult{
		Group: group.Name, Generation: group.Generation, At: startedAt, Healthy: reason == "", Reason: reason,
		Streams: health[group.Leader().VM].Report.Streams, Local: true,
	})
}

// probeVMs probes the VMs concurrently and returns the health of each.
func (entry *Entry) probeVMs(ctx context.Context, vms []vmAddress) map[string]greengageroute.VMHealth {
	var probes sync.WaitGroup
	for _, vm := range vms {
		probes.Go(func() {
			report, err := entry.targets.Probe(ctx, vm.address)
			entry.counters.Add(CountProbes, 1)
			entry.health.record(vm.id, report, err)
			if err == nil && report.Leaving {
				entry.reportLeaving(ctx, vm.id)
			}
		})
	}
	probes.Wait()
	all := entry.health.snapshot()
	results := make(map[string]greengageroute.VMHealth, len(vms))
	for _, vm := range vms {
		results[vm.id] = all[vm.id]
	}
	return results
}
