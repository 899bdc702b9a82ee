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
	probePeriod = 1250 * time.Millisecond
	// probers is how many entries probe each group.
	probers = 2
)

type (
	// healthTable is what this entry's own probes found of each VM.
	healthTable struct {
		mu   sync.Mutex
		vms  map[string]greengageroute.VMHealth
		lost map[string]time.Time // since when a VM has not answered
	}

	// probed is a VM that is to be probed.
	probed struct{ id, address string }
)

func newHealthTable() *healthTable {
	return &healthTable{vms: map[string]greengageroute.VMHealth{}, lost: map[string]time.Time{}}
}

func (table *healthTable) record(vm string, report greengageroute.EngineReport, err error) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if err != nil {
		known := table.vms[vm]
		if known.MissedProbes == 0 {
			table.lost[vm] = time.Now()
		}
		table.vms[vm] = greengageroute.VMHealth{Report: known.Report, MissedProbes: known.MissedProbes + 1}
		return
	}
	table.vms[vm] = greengageroute.VMHealth{Report: report, Reachable: true}
	delete(table.lost, vm)
}

// missing returns how long each VM that does not answer has not.
func (table *healthTable) missing(now time.Time) map[string]time.Duration {
	table.mu.Lock()
	defer table.mu.Unlock()
	missing := make(map[string]time.Duration, len(table.lost))
	for vm, since := range table.lost {
		missing[vm] = now.Sub(since)
	}
	return missing
}

func (table *healthTable) all() map[string]greengageroute.VMHealth {
	table.mu.Lock()
	defer table.mu.Unlock()
	return maps.Clone(table.vms)
}

// probeLoop probes the groups that this entry is responsible for.
func (entry *Entry) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		near := entry.members.LiveInDataCentre()
		for _, group := range entry.Fleet().Groups {
			responsible := slices.Contains(greengageroute.Rendezvous(group.Name, near, probers), entry.settings.Name)
			if group.Ready() && responsible {
				go entry.probeGroup(ctx, group)
			}
		}
	}
}

// probeGroup probes the members at once and records what it finds. The finding
// counts from before the first probe was sent.
func (entry *Entry) probeGroup(ctx context.Context, group greengageroute.Group) {
	began := time.Now()
	var vms []probed
	for _, member := range group.Members {
		vms = append(vms, probed{member.VM, member.Address})
	}
	health := entry.probeVMs(ctx, vms)
	reason := group.UnhealthyReason(health)
	entry.verdicts.Record(greengageroute.ProbeResult{
		Group: group.Name, Generation: group.Generation, At: began, Healthy: reason == "", Reason: reason,
		Streams: health[group.Leader().VM].Report.Streams, Local: true,
	})
}

// probeVMs probes VMs at once and returns what it found of them.
func (entry *Entry) probeVMs(ctx context.Context, vms []probed) map[string]greengageroute.VMHealth {
	var calls sync.WaitGroup
	for _, vm := range vms {
		calls.Go(func() {
			report, err := entry.targets.Probe(ctx, vm.address)
			entry.counters.Add(CountProbes, 1)
			entry.health.record(vm.id, report, err)
			if err == nil && report.Leaving {
				entry.noteLeaving(ctx, vm.id)
			}
		})
	}
	calls.Wait()
	all := entry.health.all()
	found := make(map[string]greengageroute.VMHealth, len(vms))
	for _, vm := range vms {
		found[vm.id] = all[vm.id]
	}
	return found
}
