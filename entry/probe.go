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
	// probePeriod is the time between two probes of a group by one entry.
	probeInterval = 1250 * time.Millisecond
	// probers is how many entries probe each group.
	probersPerGroup = 2
)

type (
	// healthTable is what this entry's own probes found of each VM.
	healthTable struct {
		mu               sync.Mutex
		vms              map[string]greengageroute.VMHealth
		unreachableSince map[string]time.Time // since when a VM has not answered
	}

	// probed is a VM that is to be probed.
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

// missing returns how long each VM that does not answer has not.
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

// probeLoop probes the groups that this entry is responsible for.
func (entry *Entry) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		live := entry.members.Near()
		for _, group := range entry.Fleet().Groups {
			responsible := slices.Contains(greengageroute.Rendezvous(group.Name, live, probersPerGroup), entry.settings.Name)
			if group.Ready() && responsible {
				go entry.probeGroup(ctx, group)
			}
		}
	}
}

// probeGroup probes the members at once and records what it finds. The finding
// counts from before the first probe was sent.
func (entry *Entry) probeGroup(ctx context.Context, group greengageroute.Group) {
	startedAt := time.Now()
	var vms []vmAddress
	for _, member := range group.Members {
		vms = append(vms, vmAddress{member.VM, member.Address})
	}
	health := entry.probeVMs(ctx, vms)
	reason := group.UnhealthyReason(health)
	entry.probeResults.Record(greengageroute.ProbeResult{
		Group: group.Name, Generation: group.Generation, At: startedAt, Healthy: reason == "", Reason: reason,
		Streams: health[group.Leader().VM].Report.Streams, Local: true,
	})
}

// probeVMs probes VMs at once and returns what it found of them.
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
