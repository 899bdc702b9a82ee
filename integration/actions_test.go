package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"greengageroute.example/greengageroute/standin"
)

const actionAttempts = 8

// TestActionsUnderKillsFreezesAndOutages guards against actions that run twice or
// are reported wrongly. Callers retry actions through all entries while entries
// are killed, or frozen for longer than any lease and resumed, while the platform
// is down or drops replies after applying the call, and while the targets drop
// responses.
func TestActionsUnderKillsFreezesAndOutages(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 3, engines: 0, vmsPerGroup: 1, groups: 0, services: 2})
	ctx, stop := context.WithCancel(context.Background())
	history := &history{}
	for _, address := range cluster.serviceAddresses {
		cluster.setFaults(address, standin.ServiceFaults{DelayBefore: 10, DelayAfter: 10})
	}
	var before standin.PlatformCounts
	getJSON(t, "http://"+cluster.platformAddress+"/control/counts", &before)
	var callers, injector sync.WaitGroup
	unresolved := make([]int, 6)
	sent := make([]int, 6)
	for worker := range unresolved {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for ctx.Err() == nil {
				key := fmt.Sprintf("deposit-%d-%d", worker, sent[worker])
				sent[worker]++
				if !cluster.retryUntilDone(history, random, key) {
					unresolved[worker]++
				}
			}
		})
	}
	injector.Go(func() {
		defer stop()
		cluster.injectFaults()
	})
	injector.Wait()
	callers.Wait()
	reportViolations(t, history.checkActions(cluster.records()))
	var after standin.PlatformCounts
	getJSON(t, "http://"+cluster.platformAddress+"/control/counts", &after)
	total, totalUnresolved := 0, 0
	for worker := range unresolved {
		total += sent[worker]
		totalUnresolved += unresolved[worker]
	}
	t.Logf("%d actions, %d attempts, %d unresolved for the caller; %d writes of all kinds to the table",
		total, len(history.actions), totalUnresolved, after.Writes-before.Writes)
	if total < 100 {
		t.Errorf("only %d actions were sent, want at least 100", total)
	}
}

// retryUntilDone sends an action through random entries until it is reported as
// done. It returns false after actionAttempts attempts.
func (cluster *cluster) retryUntilDone(history *history, random *rand.Rand, key string) bool {
	for range actionAttempts {
		entry := cluster.entries[random.IntN(len(cluster.entries))]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		outcome := history.sendAction(ctx, entry.listen, key, "body of "+key)
		cancel()
		if outcome.done() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// injectFaults injects faults into the entries, the platform and the targets, one
// after the other.
func (cluster *cluster) injectFaults() {
	t := cluster.t
	pause := func() { time.Sleep(700 * time.Millisecond) }
	for round := range 2 {
		killed, frozen := cluster.entries[round], cluster.entries[2]
		pause()
		killed.kill()
		pause()
		killed.start(t)
		cluster.setPlatformFaults(standin.PlatformFaults{DropResponses: 6, DropKeyPrefix: "action/"})
		pause()
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		frozen.signal(syscall.SIGCONT)
		for _, address := range cluster.serviceAddresses {
			cluster.setFaults(address, standin.ServiceFaults{DelayBefore: 10, DelayAfter: 10, DropResponses: 4})
		}
		pause()
		cluster.setPlatformFaults(standin.PlatformFaults{Down: true})
		pause()
		cluster.setPlatformFaults(standin.PlatformFaults{Delay: 300})
		pause()
		cluster.setPlatformFaults(standin.PlatformFaults{})
		cluster.serviceProxies[0].setBlocked(true)
		pause()
		cluster.serviceProxies[0].setBlocked(false)
		cluster.serviceProxies[1].stall()
		pause()
	}
}

// TestPlatformDown guards against entries that stop serving chats when they can't
// reach the platform, and against actions that wait for it: they have to be
// reported as not run within 2 s.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, clusterOptions{dataCentres: []string{"ne"}, entries: 2, engines: 2, vmsPerGroup: 2, groups: 1, services: 1, tokenInterval: time.Millisecond})
	ctx := context.Background()
	history := &history{}
	for _, entry := range cluster.entries {
		entry.platformProxy.setBlocked(true)
	}
	time.Sleep(8 * time.Second) // longer than any lease or probe result is valid
	for i, entry := range cluster.entries {
		request := chatRequest{content: "Is there stock?", seed: uint64(i), tokens: 20}
		reply := chat(ctx, entry.listen, request, nil)
		history.recordChat(request, 0, reply)
		if !reply.complete {
			t.Errorf("entry %s: chat failed without the platform: %+v", entry.name, reply)
		}
		began := time.Now()
		outcome := history.sendAction(ctx, entry.listen, fmt.Sprintf("tag-%d", i), "tag")
		if took := time.Since(began); !outcome.notRun() || took > 2*time.Second {
			t.Errorf("entry %s: action got %+v after %s, want not run within 2s", entry.name, outcome, took)
		}
	}
	for _, entry := range cluster.entries {
		entry.platformProxy.setBlocked(false)
	}
	eventually(t, startTimeout, "the action runs once the platform is reachable", func() bool {
		return history.sendAction(ctx, cluster.entries[0].listen, "tag-0", "tag").done()
	})
	reportViolations(t, history.checkAnswers())
	reportViolations(t, history.checkActions(cluster.records()))
}
