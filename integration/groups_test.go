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
	// outBound is the time from the loss of a member until no entry sends
	// anything new to its group: the term of good news, and one probe that was
	// under way with both its tries.
	outBound = greengageroute.ProbeResultTTL + time.Second
	// newsBound is the same where entries reach each other: the time between
	// two probes, both tries of one, and the push.
	newsBound = 3 * time.Second
)

// load sends short prompts through all entries until it is stopped.
func (cluster *cluster) load(ctx context.Context, history *history, callers int, entries ...*node) *sync.WaitGroup {
	workers := &sync.WaitGroup{}
	for i := range callers {
		workers.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				asked := prompt{content: fmt.Sprintf("load %d %d", i, round), seed: uint64(round), tokens: 10}
				reply := chat(ctx, entries[(i+round)%len(entries)].listen, asked, nil)
				if ctx.Err() == nil {
					history.answer(asked, 0, reply)
				}
			}
		})
	}
	return workers
}

// served returns what an engine began, also if it was killed and restarted; the
// history of the last start counts.
func (engine *engine) served(t *testing.T) []standin.StreamRecord {
	t.Helper()
	var served []standin.StreamRecord
	get(t, "http://"+engine.own+"/control/served", &served)
	return served
}

// servedBetween returns what engines began for a group in a span of time.
func (cluster *cluster) servedBetween(group string, from, to time.Time) int {
	count := 0
	for _, engine := range cluster.engines {
		select {
		case <-engine.done:
			continue
		default:
		}
		for _, served := range engine.served(cluster.t) {
			if served.Group == group && served.StartedAt.After(from) && served.StartedAt.Before(to) {
				count++
			}
		}
	}
	return count
}

func TestGroupIsOutOfServiceWhenAMemberGoes(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		lose func(*testing.T, *cluster, *engine)
		back func(*testing.T, *cluster, *engine)
	}{
		{"killed", func(_ *testing.T, _ *cluster, engine *engine) { engine.kill() }, func(t *testing.T, _ *cluster, engine *engine) { engine.start(t) }},
		{"frozen", func(_ *testing.T, _ *cluster, engine *engine) { engine.signal(syscall.SIGSTOP) }, func(_ *testing.T, _ *cluster, engine *engine) { engine.signal(syscall.SIGCONT) }},
		{"restarted at once", func(t *testing.T, _ *cluster, engine *engine) { engine.kill(); engine.start(t) }, func(*testing.T, *cluster, *engine) {}},
		{"unreachable", func(_ *testing.T, _ *cluster, engine *engine) { engine.relay.setBlocked(true) }, func(_ *testing.T, _ *cluster, engine *engine) { engine.relay.setBlocked(false) }},
		{"fabric domain dark", func(_ *testing.T, cluster *cluster, _ *engine) { cluster.setDark(true) }, func(_ *testing.T, cluster *cluster, _ *engine) { cluster.setDark(false) }},
		{"killed with the platform down", func(_ *testing.T, cluster *cluster, engine *engine) {
			cluster.setPlatformCut(true)
			engine.kill()
		}, func(t *testing.T, cluster *cluster, engine *engine) {
			cluster.setPlatformCut(false)
			engine.start(t)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := start(t, plan{centres: []string{"ne"}, entries: 3, engines: 4, width: 4, groups: 1, tokenInterval: time.Millisecond})
			ctx, stop := context.WithCancel(context.Background())
			history := &history{}
			workers := cluster.load(ctx, history, 3, cluster.entries...)
			last := cluster.engines[3]
			time.Sleep(time.Second)
			lost := time.Now()
			test.lose(t, cluster, last)
			out := eventually(t, outBound+time.Second, "the group is out of service", func() bool {
				return !slices.ContainsFunc(cluster.entries, func(entry *node) bool { return cluster.serving(entry) != 0 })
			})
			time.Sleep(time.Until(lost.Add(outBound + time.Second)))
			healed := time.Now()
			test.back(t, cluster, last)
			back := eventually(t, startTimeout, "the group is back", func() bool {
				return !slices.ContainsFunc(cluster.entries, func(entry *node) bool { return cluster.serving(entry) != 1 })
			})
			stop()
			workers.Wait()
			t.Logf("out of service at every entry %s after the loss (bound %s), back %s after the return", out.Round(10*time.Millisecond), newsBound, back.Round(10*time.Millisecond))
			if out > newsBound {
				t.Errorf("out of service only %s after the loss, want at most %s", out, newsBound)
			}
			if test.name != "restarted at once" {
				if count := cluster.servedBetween("ne-0", lost.Add(outBound), healed); count > 0 {
					t.Errorf("%d requests were begun after the bound while a member was missing", count)
				}
			}
			report(t, history.checkWhole())
			report(t, cluster.checkNumbers())
		})
	}
}

func (cluster *cluster) setDark(dark bool) {
	for _, engine := range cluster.engines {
		engine.relay.setBlocked(dark)
	}
}

func (cluster *cluster) setPlatformCut(cut bool) {
	for _, entry := range cluster.entries {
		entry.platform.setBlocked(cut)
	}
}

// checkNumbers finds engines that served under an assignment after a later one:
// a VM in two groups at once would show so.
func (cluster *cluster) checkNumbers() []string {
	var broken []string
	for _, engine := range cluster.engines {
		broken = append(broken, outOfOrder(engine.vm.ID, engine.served(cluster.t))...)
	}
	return broken
}

func outOfOrder(vm string, history []standin.StreamRecord) []string {
	var broken []string
	last := standin.StreamRecord{}
	for _, served := range history {
		if served.Generation < last.Generation || served.Generation == last.Generation && served.Group != last.Group {
			broken = append(broken, fmt.Sprintf("VM %s served group %s under number %d after number %d", vm, served.Group, served.Generation, last.Generation))
		}
		last = served
	}
	return broken
}

func TestOrderCheckersFindWhatTheyAreFor(t *testing.T) {
	for _, test := range []struct {
		name    string
		history []standin.StreamRecord
		want    int
	}{
		{"one group, then the next", []standin.StreamRecord{{Group: "a", Generation: 1}, {Group: "a", Generation: 1}, {Group: "b", Generation: 2}}, 0},
		{"back to an earlier assignment", []standin.StreamRecord{{Group: "a", Generation: 1}, {Group: "b", Generation: 2}, {Group: "a", Generation: 1}}, 1},
		{"two groups under one number", []standin.StreamRecord{{Group: "a", Generation: 1}, {Group: "b", Generation: 1}}, 1},
	} {
		if found := outOfOrder("vm", test.history); len(found) != test.want {
			t.Errorf("%s: got %q, want %d findings", test.name, found, test.want)
		}
	}
	sampled := &revisions{highest: map[*node]uint64{}}
	entry := &node{process: &process{name: "entry"}}
	for _, revision := range []uint64{1, 3, 3, 2} {
		sampled.sample(entry, revision)
	}
	if len(sampled.broken) != 1 {
		t.Errorf("got %q, want one revision that went back", sampled.broken)
	}
}

// TestIsolatedEntryNoticesALoss cuts an entry off from its peers and the
// platform, not from the engines.
func TestIsolatedEntryNoticesALoss(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 3, engines: 2, width: 2, groups: 1, tokenInterval: time.Millisecond})
	alone := cluster.entries[2]
	cluster.setCut([]*node{alone}, cluster.entries[:2], true)
	alone.platform.setBlocked(true)
	time.Sleep(8 * time.Second)
	if cluster.serving(alone) != 1 {
		t.Error("the entry that was cut off from its peers no longer serves")
	}
	cluster.engines[1].kill()
	out := eventually(t, outBound+time.Second, "the group is out of service everywhere", func() bool {
		return !slices.ContainsFunc(cluster.entries, func(entry *node) bool { return cluster.serving(entry) != 0 })
	})
	t.Logf("out of service after %s, bound %s", out.Round(10*time.Millisecond), outBound)
	if out > outBound {
		t.Errorf("out of service only after %s, want at most %s", out, outBound)
	}
}

// TestFrozenEntryDoesNotTrustOldNews freezes an entry while a member dies; when
// it wakes it must not send on what it knew, though requests wait at it.
func TestFrozenEntryDoesNotTrustOldNews(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 3, engines: 2, width: 2, groups: 1, tokenInterval: time.Millisecond})
	frozen := cluster.entries[2]
	ctx, stop := context.WithCancel(context.Background())
	history := &history{}
	workers := cluster.load(ctx, history, 20, frozen)
	time.Sleep(500 * time.Millisecond)
	frozen.signal(syscall.SIGSTOP)
	cluster.setCut([]*node{frozen}, cluster.entries[:2], true)
	cluster.engineOf(cluster.lastMemberSeenBy(cluster.entries[0])).kill()
	lost := time.Now()
	time.Sleep(outBound)
	thawed := time.Now()
	frozen.signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	stop()
	workers.Wait()
	if count := cluster.servedBetween("ne-0", lost.Add(outBound-time.Second), time.Now()); count > 0 {
		t.Errorf("the woken entry began %d requests at a group without one of its members, %s after the loss", count, time.Since(thawed))
	}
}

// TestSupersededPlannersAndStaleOrders freezes the planner of the moment past
// its lease again and again while groups change, and gives engines that ignore
// fencing numbers orders as an old planner would.
func TestSupersededPlannersAndStaleOrders(t *testing.T) {
	t.Parallel()
	for _, ignores := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignores=%t", ignores), func(t *testing.T) {
			t.Parallel()
			cluster := start(t, plan{centres: []string{"ne"}, entries: 3, engines: 6, width: 2, groups: 2, ignoresFences: ignores, tokenInterval: time.Millisecond})
			ctx, stop := context.WithCancel(context.Background())
			history := &history{}
			workers := cluster.load(ctx, history, 3, cluster.entries...)
			for round := range 3 {
				holder := cluster.planner()
				holder.signal(syscall.SIGSTOP)
				victim := cluster.engineOf(cluster.membersSeenBy(cluster.other(holder))[0])
				victim.kill()
				victim.start(t)
				time.Sleep(7 * time.Second)
				holder.signal(syscall.SIGCONT)
				stale := greengageroute.EngineOrder{VM: victim.vm.ID, Group: "ne-1", Model: modelName, Generation: uint64(round + 1), Fence: 1}
				post(t, "http://"+cluster.engines[round].own+"/order", stale)
				time.Sleep(time.Second)
				report(t, cluster.checkFleet())
			}
			cluster.waitServing(2)
			stop()
			workers.Wait()
			report(t, history.checkWhole())
			report(t, cluster.checkNumbers())
		})
	}
}

// planner returns the entry that holds the lease.
func (cluster *cluster) planner() *node {
	cluster.t.Helper()
	var row struct {
		Value []byte `json:"value"`
	}
	var holder *node
	eventually(cluster.t, startTimeout, "an entry holds the planning duty", func() bool {
		get(cluster.t, "http://"+cluster.table+"/rows?key=lease/plan/"+cluster.plan.centres[0], &row)
		lease := decode[greengageroute.LeaseRow](cluster.t, row.Value)
		for _, entry := range cluster.entries {
			if entry.name == lease.Holder {
				holder = entry
			}
		}
		return holder != nil
	})
	return holder
}

func (cluster *cluster) other(than *node) *node {
	for _, entry := range cluster.entries {
		if entry != than {
			return entry
		}
	}
	return nil
}

func (cluster *cluster) membersSeenBy(entry *node) []string {
	found, err := cluster.status(entry)
	if err != nil || len(found.Groups) == 0 {
		cluster.t.Fatalf("no group in the status: %v", err)
	}
	return found.Groups[0].VMs
}

func (cluster *cluster) lastMemberSeenBy(entry *node) string {
	members := cluster.membersSeenBy(entry)
	return members[len(members)-1]
}

// checkFleet finds a VM that stands twice in the fleet's row.
func (cluster *cluster) checkFleet() []string {
	var row struct {
		Value []byte `json:"value"`
	}
	get(cluster.t, "http://"+cluster.table+"/rows?key=fleet/"+cluster.plan.centres[0], &row)
	return twice(decode[greengageroute.Fleet](cluster.t, row.Value))
}

func twice(fleet greengageroute.Fleet) []string {
	var broken []string
	seen := map[string]string{}
	for _, group := range fleet.Groups {
		for _, vm := range group.VMs() {
			if other, taken := seen[vm]; taken {
				broken = append(broken, fmt.Sprintf("VM %s is in groups %s and %s", vm, other, group.Name))
			}
			seen[vm] = group.Name
		}
	}
	return broken
}

func TestFleetCheckerFindsAVMInTwoGroups(t *testing.T) {
	member := []greengageroute.Member{{VM: "vm-1"}}
	fleet := greengageroute.Fleet{Groups: []greengageroute.Group{{Name: "a", Members: member}, {Name: "b", Members: member}}}
	if len(twice(fleet)) != 1 {
		t.Errorf("got %q, want one finding", twice(fleet))
	}
}

// TestDutyIsTakenUp kills and freezes the holder of the planning duty.
func TestDutyIsTakenUp(t *testing.T) {
	t.Parallel()
	const bound = 3*time.Second + 2*time.Second + 3*time.Second // term, longest order, two rounds of watching
	cluster := start(t, plan{centres: []string{"ne"}, entries: 3, engines: 2, width: 2, groups: 1})
	for _, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		holder := cluster.planner()
		holder.signal(signal)
		took := eventually(t, startTimeout, "another entry holds the duty", func() bool { return cluster.planner() != holder })
		t.Logf("after %s taken up in %s, bound %s", signal, took.Round(10*time.Millisecond), bound)
		if took > bound {
			t.Errorf("after %s taken up in %s, want at most %s", signal, took, bound)
		}
		if signal == syscall.SIGSTOP {
			holder.signal(syscall.SIGCONT)
		} else {
			holder.start(t)
		}
	}
}

// TestRecoveryDoesNotStampede counts what the platform is asked in the seconds
// after a long outage.
func TestRecoveryDoesNotStampede(t *testing.T) {
	t.Parallel()
	const mostEach = 20 // requests a second of one entry, of the several hundred of all
	cluster := start(t, plan{centres: []string{"ne"}, entries: 5, engines: 4, width: 2, groups: 2, services: 1})
	cluster.platformFaults(standin.PlatformFaults{Down: true})
	time.Sleep(10 * time.Second)
	cluster.platformFaults(standin.PlatformFaults{})
	before := standin.PlatformCounts{}
	get(t, "http://"+cluster.table+"/control/counts", &before)
	peak := 0
	for range 5 {
		time.Sleep(time.Second)
		after := standin.PlatformCounts{}
		get(t, "http://"+cluster.table+"/control/counts", &after)
		peak = max(peak, after.Reads+after.Writes-before.Reads-before.Writes)
		before = after
	}
	t.Logf("peak of %d requests a second from %d entries", peak, len(cluster.entries))
	if peak > mostEach*len(cluster.entries) {
		t.Errorf("peak of %d requests a second, want at most %d", peak, mostEach*len(cluster.entries))
	}
	cluster.waitServing(2)
}
