package integration

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/standin"
)

// leaveBound is the time after which a VM that is known to leave must get no new
// requests.
const leaveBound = 3 * time.Second

// TestLeavingVMGetsNoNewWork checks that entries stop sending to a VM that leaves,
// whoever reports it, and that its running responses finish.
func TestLeavingVMGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name         string
		startLeaving func(*testing.T, *cluster, *engine)
	}{
		{"reported by the VM list", func(t *testing.T, cluster *cluster, engine *engine) {
			vm := engine.vm
			vm.State = greengageroute.VMLeaving
			postJSON(t, "http://"+cluster.platformAddress+"/control/vms", vm)
		}},
		{"reported by the VM, platform unreachable", func(_ *testing.T, cluster *cluster, engine *engine) {
			cluster.setPlatformUnreachable(true)
			cluster.setFaults(engine.directAddress, standin.EngineFaults{Leaving: true})
		}},
		{"drained by an operator, VM list not updated", func(_ *testing.T, cluster *cluster, engine *engine) {
			cluster.runCommand("drain", "vm", engine.vm.ID, "--entry", cluster.entries[1].listen)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 3, engines: 4, vmsPerGroup: 2, groups: 2, tokenInterval: time.Millisecond})
			ctx, stop := context.WithCancel(context.Background())
			history := &history{}
			workers := cluster.startLoad(ctx, history, 6, cluster.entries...)
			leaving := cluster.engineOf(cluster.firstMember())
			longReply := make(chan chatResponse, 1)
			longPrompt := chatRequest{content: "long", seed: 5, tokens: 2500}
			go func() { longReply <- chat(context.Background(), cluster.entries[0].listen, longPrompt, nil) }()
			time.Sleep(500 * time.Millisecond)
			test.startLeaving(t, cluster, leaving)
			knownAt := time.Now()
			time.Sleep(leaveBound + 3*time.Second)
			lateStarts := 0
			for _, served := range leaving.servedRequests(t) {
				if served.StartedAt.After(knownAt.Add(leaveBound)) {
					lateStarts++
				}
			}
			if lateStarts > 0 {
				t.Errorf("the VM started %d requests more than %s after it was known to leave", lateStarts, leaveBound)
			}
			reply := <-longReply
			history.recordChat(longPrompt, 0, reply)
			if !reply.complete {
				t.Errorf("the long answer was truncated: %d tokens, %s, %v", len(reply.tokens), reply.body, reply.err)
			}
			stop()
			workers.Wait()
			for _, answer := range history.answers {
				if !answer.reply.complete {
					t.Errorf("an answer was truncated: status %d, %d tokens, %s, %v", answer.reply.status, len(answer.reply.tokens), answer.reply.body, answer.reply.err)
				}
			}
			reportViolations(t, history.checkAnswers())
			cluster.wantNoFailovers()
		})
	}
}

// wantNoFailovers fails if an answer continued at another group: a planned stop
// must not move requests in flight.
func (cluster *cluster) wantNoFailovers() {
	cluster.t.Helper()
	for _, entry := range cluster.entries {
		if count := cluster.counter(entry, "caller-failovers"); count > 0 {
			cluster.t.Errorf("entry %s: %d answers continued at another group, want none", entry.name, count)
		}
	}
}

// TestDrainedGroupFinishesItsRequests drains a group under load. The group must be
// dissolved only after its last answer.
func TestDrainedGroupFinishesItsRequests(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 2, engines: 4, vmsPerGroup: 2, groups: 2, tokenInterval: 10 * time.Millisecond})
	history := &history{}
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			request := chatRequest{content: fmt.Sprintf("minutes %d", i), seed: uint64(i), tokens: 500}
			reply := chat(context.Background(), cluster.entries[i%2].listen, request, nil)
			history.recordChat(request, 0, reply)
			if !reply.complete {
				t.Errorf("answer to \"minutes %d\" was truncated after %d tokens: %s", i, len(reply.tokens), reply.body)
			}
		})
	}
	time.Sleep(time.Second)
	cluster.runCommand("drain", "group", "ne-0", "--entry", cluster.entries[0].listen)
	callers.Wait()
	dissolved := eventually(t, startTimeout, "the group is dissolved", func() bool {
		found, err := cluster.status(cluster.entries[1])
		return err == nil && len(found.Groups) == 1 && found.Groups[0].Name == "ne-1"
	})
	t.Logf("dissolved %s after the last answer", dissolved.Round(10*time.Millisecond))
	if count := countTruncated(history); count > 0 {
		t.Errorf("%d answers were truncated, want none", count)
	}
	cluster.wantNoFailovers()
	cluster.runCommand("drain", "group", "ne-0", "--undo", "--entry", cluster.entries[0].listen)
	cluster.waitUntilServing(2)
	reportViolations(t, history.checkAnswers())
}

// countTruncated returns the number of answers that did not arrive whole.
func countTruncated(history *history) int {
	count := 0
	for _, answer := range history.answers {
		if !answer.reply.complete {
			count++
		}
	}
	return count
}

// TestRollingRestart restarts every entry gracefully under load. Callers pick
// entries through a load balancer that checks each entry's health.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 3, engines: 4, vmsPerGroup: 2, groups: 2, services: 1, tokenInterval: 5 * time.Millisecond})
	balancer := &balancer{cluster: cluster, healthy: map[*clusterEntry]bool{}}
	ctx, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { balancer.run(ctx) })
	history := &history{}
	time.Sleep(time.Second)
	for i := range 6 {
		workers.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				entry := balancer.pick(i + round)
				request := chatRequest{content: fmt.Sprintf("rolling %d %d", i, round), seed: uint64(i), tokens: 240}
				history.recordChat(request, 0, chat(context.Background(), entry.listen, request, nil))
				entry = balancer.pick(i + round) // the first may have stopped meanwhile
				history.sendAction(context.Background(), entry.listen, fmt.Sprintf("tag-%d-%d", i, round), "tag")
			}
		})
	}
	for _, entry := range cluster.entries {
		time.Sleep(time.Second)
		entry.signal(syscall.SIGTERM)
		<-entry.exited
		entry.start(t)
		eventually(t, startTimeout, "the entry is healthy again", func() bool { return healthy(entry) })
		time.Sleep(2 * time.Second)
	}
	stop()
	workers.Wait()
	t.Logf("%d answers and %d actions during the restart of %d entries, %d answers truncated", len(history.answers), len(history.actions), len(cluster.entries), countTruncated(history))
	for _, answer := range history.answers {
		if !answer.reply.complete {
			t.Errorf("an answer was truncated: status %d, %d tokens, %s, %v", answer.reply.status, len(answer.reply.tokens), answer.reply.body, answer.reply.err)
		}
	}
	for _, action := range history.actions {
		if !action.outcome.done() {
			t.Errorf("action %s was not executed: %+v", action.key, action.outcome)
		}
	}
	reportViolations(t, history.checkAnswers())
	reportViolations(t, history.checkActions(cluster.records()))
}

// balancer stands for the platform's load balancer: it sends to entries that pass
// the health check.
type balancer struct {
	cluster *cluster
	mu      sync.Mutex
	healthy map[*clusterEntry]bool
}

func (balancer *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, entry := range balancer.cluster.entries {
			passes := healthy(entry)
			balancer.mu.Lock()
			balancer.healthy[entry] = passes
			balancer.mu.Unlock()
		}
		time.Sleep(pollInterval)
	}
}

func (balancer *balancer) pick(turn int) *clusterEntry {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	entries := balancer.cluster.entries
	for i := range entries {
		if entry := entries[(turn+i)%len(entries)]; balancer.healthy[entry] {
			return entry
		}
	}
	return entries[turn%len(entries)]
}
