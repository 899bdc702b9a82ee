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

const actionTries = 8

// TestActionsUnderKillsFreezesAndOutages sends actions through all entries while
// these are killed, frozen past any term and woken, while the platform loses
// replies after their effect and is down, and while the target loses answers.
func TestActionsUnderKillsFreezesAndOutages(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 3, engines: 0, width: 1, groups: 0, services: 2})
	ctx, stop := context.WithCancel(context.Background())
	history := &history{}
	for _, ledger := range cluster.ledgers {
		cluster.fault(ledger, standin.ServiceFaults{DelayBefore: 10, DelayAfter: 10})
	}
	var before standin.PlatformCounts
	get(t, "http://"+cluster.table+"/control/counts", &before)
	var callers, breaker sync.WaitGroup
	unknown := make([]int, 6)
	actions := make([]int, 6)
	for worker := range unknown {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for ctx.Err() == nil {
				key := fmt.Sprintf("deposit-%d-%d", worker, actions[worker])
				actions[worker]++
				if !cluster.insist(history, random, key) {
					unknown[worker]++
				}
			}
		})
	}
	breaker.Go(func() {
		defer stop()
		cluster.breakEntriesAndPlatform()
	})
	breaker.Wait()
	callers.Wait()
	report(t, history.checkOnce(cluster.records()))
	var after standin.PlatformCounts
	get(t, "http://"+cluster.table+"/control/counts", &after)
	total, open := 0, 0
	for worker := range unknown {
		total += actions[worker]
		open += unknown[worker]
	}
	t.Logf("%d actions, %d tries, %d without an end for the caller; %d writes of all kinds to the table",
		total, len(history.actions), open, after.Writes-before.Writes)
	if total < 100 {
		t.Errorf("only %d actions were sent, too few to show anything", total)
	}
}

// insist sends an action again until its caller knows what became of it. It
// returns false if the caller gave up.
func (cluster *cluster) insist(history *history, random *rand.Rand, key string) bool {
	for range actionTries {
		entry := cluster.entries[random.IntN(len(cluster.entries))]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		outcome := history.act(ctx, entry.listen, key, "body of "+key)
		cancel()
		if outcome.done() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (cluster *cluster) breakEntriesAndPlatform() {
	t := cluster.t
	pause := func() { time.Sleep(700 * time.Millisecond) }
	for round := range 2 {
		killed, frozen := cluster.entries[round], cluster.entries[2]
		pause()
		killed.kill()
		pause()
		killed.start(t)
		cluster.platformFaults(standin.PlatformFaults{DropResponses: 6, DropKeyPrefix: "action/"})
		pause()
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		frozen.signal(syscall.SIGCONT)
		for _, ledger := range cluster.ledgers {
			cluster.fault(ledger, standin.ServiceFaults{DelayBefore: 10, DelayAfter: 10, DropResponses: 4})
		}
		pause()
		cluster.platformFaults(standin.PlatformFaults{Down: true})
		pause()
		cluster.platformFaults(standin.PlatformFaults{Delay: 300})
		pause()
		cluster.platformFaults(standin.PlatformFaults{})
		cluster.relays[0].setBlocked(true)
		pause()
		cluster.relays[0].setBlocked(false)
		cluster.relays[1].stall()
		pause()
	}
}

// TestPlatformDown shows that model work goes on without the platform and that
// actions are told not run at once.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 2, engines: 2, width: 2, groups: 1, services: 1, tokenInterval: time.Millisecond})
	ctx := context.Background()
	history := &history{}
	for _, entry := range cluster.entries {
		entry.platform.setBlocked(true)
	}
	time.Sleep(8 * time.Second) // longer than any lease or verdict
	for i, entry := range cluster.entries {
		asked := prompt{content: "Is there stock?", seed: uint64(i), tokens: 20}
		reply := chat(ctx, entry.listen, asked, nil)
		history.answer(asked, 0, reply)
		if !reply.whole {
			t.Errorf("entry %s: not served without the platform: %+v", entry.name, reply)
		}
		began := time.Now()
		outcome := history.act(ctx, entry.listen, fmt.Sprintf("tag-%d", i), "tag")
		if took := time.Since(began); !outcome.notRun() || took > 2*time.Second {
			t.Errorf("entry %s: got %+v after %s, want not run at once", entry.name, outcome, took)
		}
	}
	for _, entry := range cluster.entries {
		entry.platform.setBlocked(false)
	}
	eventually(t, startTimeout, "the action is run", func() bool {
		return history.act(ctx, cluster.entries[0].listen, "tag-0", "tag").done()
	})
	report(t, history.checkWhole())
	report(t, history.checkOnce(cluster.records()))
}
