package integration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/standin"
)

const (
	// isolatedRemovalBound is the longest time from the loss of a member until an
	// entry that reaches no other starts no request at its group: the TTL of a
	// healthy probe result, and both attempts of a probe that was running.
	isolatedRemovalBound = greengageroute.ProbeResultTTL + time.Second
	// removalBound is the same for entries that reach each other: the interval
	// between two probes, both attempts of a probe, and the push of its result.
	removalBound = 3 * time.Second
)

// startLoad starts callers that send short prompts through the entries until the
// context ends.
func (cluster *cluster) startLoad(ctx context.Context, history *history, callers int, entries ...*clusterEntry) *sync.WaitGroup {
	workers := &sync.WaitGroup{}
	for i := range callers {
		workers.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				request := chatRequest{content: fmt.Sprintf("load %d %d", i, round), seed: uint64(round), tokens: 10}
				reply := chat(ctx, entries[(i+round)%len(entries)].listen, request, nil)
				if ctx.Err() == nil {
					history.recordChat(request, 0, reply)
				}
			}
		})
	}
	return workers
}

// servedRequests returns the requests that the engine has begun since its last
// start.
func (engine *engine) servedRequests(t *testing.T) []standin.StreamRecord {
	t.Helper()
	var served []standin.StreamRecord
	getJSON(t, "http://"+engine.directAddress+"/control/served", &served)
	return served
}

// countServed returns the number of requests that running engines began for a
// group between two times.
func (cluster *cluster) countServed(group string, from, to time.Time) int {
	count := 0
	for _, engine := range cluster.engines {
		select {
		case <-engine.exited:
			continue
		default:
		}
		for _, served := range engine.servedRequests(cluster.t) {
			if served.Group == group && served.StartedAt.After(from) && served.StartedAt.Before(to) {
				count++
			}
		}
	}
	return count
}

// TestGroupIsOutOfServiceWhenAMemberFails guards against requests to a group that
// lacks a member. Each case loses a member in another way and restores it; every
// entry has to stop routing to the group within removalBound, and to resume.
func TestGroupIsOutOfServiceWhenAMemberFails(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		fail    func(*testing.T, *cluster, *engine)
		restore func(*testing.T, *cluster, *engine)
	}{
		{"killed", func(_ *testing.T, _ *cluster, engine *engine) { engine.kill() }, func(t *testing.T, _ *cluster, engine *engine) { engine.start(t) }},
		{"frozen", func(_ *testing.T, _ *cluster, engine *engine) { engine.signal(syscall.SIGSTOP) }, func(_ *testing.T, _ *cluster, engine *engine) { engine.signal(syscall.SIGCONT) }},
		{"restarted at once", func(t *testing.T, _ *cluster, engine *engine) { engine.kill(); engine.start(t) }, func(*testing.T, *cluster, *engine) {}},
		{"unreachable", func(_ *testing.T, _ *cluster, engine *engine) { engine.proxy.setBlocked(true) }, func(_ *testing.T, _ *cluster, engine *engine) { engine.proxy.setBlocked(false) }},
		{"fabric domain unreachable", func(_ *testing.T, cluster *cluster, _ *engine) { cluster.setEnginesUnreachable(true) }, func(_ *testing.T, cluster *cluster, _ *engine) { cluster.setEnginesUnreachable(false) }},
		{"killed with the platform down", func(_ *testing.T, cluster *cluster, engine *engine) {
			cluster.setPlatformUnreachable(true)
			engine.kill()
		}, func(t *testing.T, cluster *cluster, engine *engine) {
			cluster.setPlatformUnreachable(false)
			engine.start(t)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 3, engines: 4, vmsPerGroup: 4, groups: 1, tokenInterval: time.Millisecond})
			ctx, stop := context.WithCancel(context.Background())
			history := &history{}
			workers := cluster.startLoad(ctx, history, 3, cluster.entries...)
			failed := cluster.engines[3]
			time.Sleep(time.Second)
			lostAt := time.Now()
			test.fail(t, cluster, failed)
			removed := eventually(t, isolatedRemovalBound+time.Second, "the group is out of service at every entry", func() bool {
				return !slices.ContainsFunc(cluster.entries, func(entry *clusterEntry) bool { return cluster.servingGroups(entry) != 0 })
			})
			time.Sleep(time.Until(lostAt.Add(isolatedRemovalBound + time.Second)))
			restoredAt := time.Now()
			test.restore(t, cluster, failed)
			restored := eventually(t, startTimeout, "the group is back in service at every entry", func() bool {
				return !slices.ContainsFunc(cluster.entries, func(entry *clusterEntry) bool { return cluster.servingGroups(entry) != 1 })
			})
			stop()
			workers.Wait()
			t.Logf("out of service at every entry %s after the loss (bound %s), back in service %s after the member", removed.Round(10*time.Millisecond), removalBound, restored.Round(10*time.Millisecond))
			if removed > removalBound {
				t.Errorf("group was out of service %s after the loss, want at most %s", removed, removalBound)
			}
			if test.name != "restarted at once" {
				if count := cluster.countServed("ne-0", lostAt.Add(isolatedRemovalBound), restoredAt); count > 0 {
					t.Errorf("%d requests began after the bound while a member was missing", count)
				}
			}
			reportViolations(t, history.checkAnswers())
			reportViolations(t, cluster.checkGenerations())
		})
	}
}

func (cluster *cluster) setEnginesUnreachable(unreachable bool) {
	for _, engine := range cluster.engines {
		engine.proxy.setBlocked(unreachable)
	}
}

func (cluster *cluster) setPlatformUnreachable(unreachable bool) {
	for _, entry := range cluster.entries {
		entry.platformProxy.setBlocked(unreachable)
	}
}

// checkGenerations finds engines that served under an assignment after a later
// one, as a VM that is in two groups at once does.
func (cluster *cluster) checkGenerations() []string {
	var violations []string
	for _, engine := range cluster.engines {
		violations = append(violations, generationViolations(engine.vm.ID, engine.servedRequests(cluster.t))...)
	}
	return violations
}

func generationViolations(vm string, history []standin.StreamRecord) []string {
	var violations []string
	last := standin.StreamRecord{}
	for _, served := range history {
		if served.Generation < last.Generation || served.Generation == last.Generation && served.Group != last.Group {
			violations = append(violations, fmt.Sprintf("VM %s served group %s under generation %d after generation %d", vm, served.Group, served.Generation, last.Generation))
		}
		last = served
	}
	return violations
}

func TestOrderCheckersFindViolations(t *testing.T) {
	for _, test := range []struct {
		name    string
		history []standin.StreamRecord
		want    int
	}{
		{"one group, then the next", []standin.StreamRecord{{Group: "a", Generation: 1}, {Group: "a", Generation: 1}, {Group: "b", Generation: 2}}, 0},
		{"back to an earlier assignment", []standin.StreamRecord{{Group: "a", Generation: 1}, {Group: "b", Generation: 2}, {Group: "a", Generation: 1}}, 1},
		{"two groups under one generation", []standin.StreamRecord{{Group: "a", Generation: 1}, {Group: "b", Generation: 1}}, 1},
	} {
		if found := generationViolations("vm", test.history); len(found) != test.want {
			t.Errorf("%s: got violations %q, want %d", test.name, found, test.want)
		}
	}
	sampler := &revisionSampler{highest: map[*clusterEntry]uint64{}}
	entry := &clusterEntry{process: &process{name: "entry"}}
	for _, revision := range []uint64{1, 3, 3, 2} {
		sampler.sample(entry, revision)
	}
	if len(sampler.violations) != 1 {
		t.Errorf("got violations %q, want one revision that went back", sampler.violations)
	}
}

// TestIsolatedEntryDetectsFailedMember guards against an entry that keeps routing
// to a failed group because it gets no updates. The entry is cut off from its
// peers and the platform, not from the engines.
func TestIsolatedEntryDetectsFailedMember(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 3, engines: 2, vmsPerGroup: 2, groups: 1, tokenInterval: time.Millisecond})
	isolated := cluster.entries[2]
	cluster.setPartitioned([]*clusterEntry{isolated}, cluster.entries[:2], true)
	isolated.platformProxy.setBlocked(true)
	time.Sleep(8 * time.Second)
	if cluster.servingGroups(isolated) != 1 {
		t.Error("entry that was cut off from its peers no longer routes to the group")
	}
	cluster.engines[1].kill()
	removed := eventually(t, isolatedRemovalBound+time.Second, "the group is out of service at every entry", func() bool {
		return !slices.ContainsFunc(cluster.entries, func(entry *clusterEntry) bool { return cluster.servingGroups(entry) != 0 })
	})
	t.Logf("out of service after %s, bound %s", removed.Round(10*time.Millisecond), isolatedRemovalBound)
	if removed > isolatedRemovalBound {
		t.Errorf("group was out of service after %s, want at most %s", removed, isolatedRemovalBound)
	}
}

// TestFrozenEntryDiscardsStaleProbeResults guards against an entry that routes by
// probe results from before a freeze. A member is killed while the entry is frozen
// with requests waiting; once resumed, it must not send them to the group.
func TestFrozenEntryDiscardsStaleProbeResults(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 3, engines: 2, vmsPerGroup: 2, groups: 1, tokenInterval: time.Millisecond})
	frozen := cluster.entries[2]
	ctx, stop := context.WithCancel(context.Background())
	history := &history{}
	workers := cluster.startLoad(ctx, history, 20, frozen)
	time.Sleep(500 * time.Millisecond)
	frozen.signal(syscall.SIGSTOP)
	cluster.setPartitioned([]*clusterEntry{frozen}, cluster.entries[:2], true)
	cluster.engineOf(cluster.lastMember(cluster.entries[0])).kill()
	lostAt := time.Now()
	time.Sleep(isolatedRemovalBound)
	resumedAt := time.Now()
	frozen.signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	stop()
	workers.Wait()
	if count := cluster.countServed("ne-0", lostAt.Add(isolatedRemovalBound-time.Second), time.Now()); count > 0 {
		t.Errorf("resumed entry began %d requests at a group that lacks a member, %s after it was resumed", count, time.Since(resumedAt))
	}
}

// TestSupersededPlannersAndStaleOrders guards against a VM in two groups. The
// holder of the planner's lease is frozen past the end of its lease while an
// engine restarts, three times, and engines get an order of an old planner. Half
// of the runs use engines that ignore fencing numbers.
func TestSupersededPlannersAndStaleOrders(t *testing.T) {
	t.Parallel()
	for _, ignoresFences := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignores=%t", ignoresFences), func(t *testing.T) {
			t.Parallel()
			cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 3, engines: 6, vmsPerGroup: 2, groups: 2, ignoresFences: ignoresFences, tokenInterval: time.Millisecond})
			ctx, stop := context.WithCancel(context.Background())
			history := &history{}
			workers := cluster.startLoad(ctx, history, 3, cluster.entries...)
			for round := range 3 {
				holder := cluster.planner()
				holder.signal(syscall.SIGSTOP)
				victim := cluster.engineOf(cluster.firstGroupMembers(cluster.anotherEntry(holder))[0])
				victim.kill()
				victim.start(t)
				time.Sleep(7 * time.Second)
				holder.signal(syscall.SIGCONT)
				stale := greengageroute.EngineOrder{VM: victim.vm.ID, Group: "ne-1", Model: modelName, Generation: uint64(round + 1), Fence: 1}
				postJSON(t, "http://"+cluster.engines[round].directAddress+"/order", stale)
				time.Sleep(time.Second)
				reportViolations(t, cluster.checkFleet())
			}
			cluster.waitUntilServing(2)
			stop()
			workers.Wait()
			reportViolations(t, history.checkAnswers())
			reportViolations(t, cluster.checkGenerations())
		})
	}
}

// planner returns the entry that holds the planner's lease.
func (cluster *cluster) planner() *clusterEntry {
	cluster.t.Helper()
	var row struct {
		Value []byte `json:"value"`
	}
	var holder *clusterEntry
	eventually(cluster.t, startTimeout, "an entry holds the planner's lease", func() bool {
		getJSON(cluster.t, "http://"+cluster.platformAddress+"/rows?key=lease/plan/"+cluster.options.dataCentres[0], &row)
		lease := decodeJSON[greengageroute.LeaseRow](cluster.t, row.Value)
		for _, entry := range cluster.entries {
			if entry.name == lease.Holder {
				holder = entry
			}
		}
		return holder != nil
	})
	return holder
}

func (cluster *cluster) anotherEntry(excluded *clusterEntry) *clusterEntry {
	for _, entry := range cluster.entries {
		if entry != excluded {
			return entry
		}
	}
	return nil
}

// firstGroupMembers returns the VMs of the first group in the entry's status.
func (cluster *cluster) firstGroupMembers(entry *clusterEntry) []string {
	status, err := cluster.status(entry)
	if err != nil || len(status.Groups) == 0 {
		cluster.t.Fatalf("status has no group: %v", err)
	}
	return status.Groups[0].VMs
}

func (cluster *cluster) lastMember(entry *clusterEntry) string {
	members := cluster.firstGroupMembers(entry)
	return members[len(members)-1]
}

// checkFleet finds VMs that are in two groups of the fleet's row.
func (cluster *cluster) checkFleet() []string {
	var row struct {
		Value []byte `json:"value"`
	}
	getJSON(cluster.t, "http://"+cluster.platformAddress+"/rows?key=fleet/"+cluster.options.dataCentres[0], &row)
	return membershipViolations(decodeJSON[greengageroute.Fleet](cluster.t, row.Value))
}

func membershipViolations(fleet greengageroute.Fleet) []string {
	var violations []string
	seen := map[string]string{}
	for _, group := range fleet.Groups {
		for _, vm := range group.VMs() {
			if earlier, found := seen[vm]; found {
				violations = append(violations, fmt.Sprintf("VM %s is in groups %s and %s", vm, earlier, group.Name))
			}
			seen[vm] = group.Name
		}
	}
	return violations
}

func TestFleetCheckerFindsAVMInTwoGroups(t *testing.T) {
	member := []greengageroute.Member{{VM: "vm-1"}}
	fleet := greengageroute.Fleet{Groups: []greengageroute.Group{{Name: "a", Members: member}, {Name: "b", Members: member}}}
	if len(membershipViolations(fleet)) != 1 {
		t.Errorf("got violations %q, want one", membershipViolations(fleet))
	}
}

// TestPlannerLeaseIsTakenOver guards against a fleet without a planner: the holder
// of the planner's lease is killed, then frozen, and another entry has to take the
// lease over within maxTakeover.
func TestPlannerLeaseIsTakenOver(t *testing.T) {
	t.Parallel()
	const maxTakeover = 3*time.Second + 2*time.Second + 3*time.Second // lease term, longest order, two rounds of observing the lease
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 3, engines: 2, vmsPerGroup: 2, groups: 1})
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		holder := cluster.planner()
		holder.signal(signal)
		takeover := eventually(t, startTimeout, "another entry holds the planner's lease", func() bool { return cluster.planner() != holder })
		t.Logf("after %s the lease was taken over in %s, bound %s", signal, takeover.Round(10*time.Millisecond), maxTakeover)
		if takeover > maxTakeover {
			t.Errorf("after %s the lease was taken over in %s, want at most %s", signal, takeover, maxTakeover)
		}
		if signal == syscall.SIGSTOP {
			holder.signal(syscall.SIGCONT)
		} else {
			holder.start(t)
		}
	}
}

// TestRecoveryDoesNotOverloadPlatform guards against a burst of requests when the
// platform is back: after an outage of 10 s it counts the requests of each of the
// first 5 seconds.
func TestRecoveryDoesNotOverloadPlatform(t *testing.T) {
	t.Parallel()
	const maxRequestsPerEntry = 20 // per second; all entries together may send several hundred
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 5, engines: 4, vmsPerGroup: 2, groups: 2, services: 1})
	cluster.setPlatformFaults(standin.PlatformFaults{Down: true})
	time.Sleep(10 * time.Second)
	cluster.setPlatformFaults(standin.PlatformFaults{})
	before := standin.PlatformCounts{}
	getJSON(t, "http://"+cluster.platformAddress+"/control/counts", &before)
	peak := 0
	for range 5 {
		time.Sleep(time.Second)
		after := standin.PlatformCounts{}
		getJSON(t, "http://"+cluster.platformAddress+"/control/counts", &after)
		peak = max(peak, after.Reads+after.Writes-before.Reads-before.Writes)
		before = after
	}
	t.Logf("peak of %d requests per second from %d entries", peak, len(cluster.entries))
	if peak > maxRequestsPerEntry*len(cluster.entries) {
		t.Errorf("platform got up to %d requests per second, want at most %d", peak, maxRequestsPerEntry*len(cluster.entries))
	}
	cluster.waitUntilServing(2)
}
