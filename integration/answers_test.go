package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"greengageroute.example/greengageroute/standin"
)

// TestAnswersSurviveTheirGroup kills the first member of a group in the middle
// of an answer; the answer goes on at another group.
func TestAnswersSurviveTheirGroup(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 2, engines: 4, width: 2, groups: 2, tokenInterval: 20 * time.Millisecond})
	history := &history{}
	var callers sync.WaitGroup
	started := make(chan struct{}, 8)
	for i := range 8 {
		callers.Go(func() {
			asked := prompt{content: fmt.Sprintf("letter %d", i), seed: uint64(i), tokens: 150}
			reply := chat(context.Background(), cluster.entries[i%2].listen, asked, func(count int) {
				if count == 20 {
					started <- struct{}{}
				}
			})
			history.answer(asked, 0, reply)
			if !reply.whole {
				t.Errorf("letter %d: answer not whole: status %d, %d tokens, cut %t %s, error %v", i, reply.status, len(reply.tokens), reply.cut, reply.body, reply.err)
			}
		})
	}
	for range 8 {
		<-started
	}
	cluster.engineOf(cluster.firstGroup()).kill()
	callers.Wait()
	report(t, history.checkWhole())
}

// firstGroup returns the first member of the first group.
func (cluster *cluster) firstGroup() string { return cluster.membersSeenBy(cluster.entries[0])[0] }

func (cluster *cluster) engineOf(vm string) *engine {
	for _, engine := range cluster.engines {
		if engine.vm.ID == vm {
			return engine
		}
	}
	cluster.t.Fatalf("no engine %q", vm)
	return nil
}

// TestSilentConnections makes the connections under answers go silent for good
// while new ones work; the answers go on within a bound.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	const bound = 4 * time.Second
	cluster := start(t, plan{centres: []string{"ne"}, entries: 1, engines: 2, width: 2, groups: 1, tokenInterval: 10 * time.Millisecond})
	history := &history{}
	asked := prompt{content: "advisory", seed: 3, tokens: 200}
	longest, last := time.Duration(0), time.Now()
	reply := chat(context.Background(), cluster.entries[0].listen, asked, func(count int) {
		if count > 1 {
			longest = max(longest, time.Since(last))
		}
		last = time.Now()
		if count == 50 || count == 120 {
			for _, engine := range cluster.engines {
				engine.relay.stall()
			}
		}
	})
	history.answer(asked, 0, reply)
	if !reply.whole {
		t.Errorf("answer not whole: %+v", reply)
	}
	t.Logf("longest gap between tokens %s, bound %s", longest, bound)
	if longest > bound {
		t.Errorf("the longest gap between tokens was %s, want at most %s", longest, bound)
	}
	report(t, history.checkWhole())
}

// TestResumeAtAnotherEntry kills the entry in the middle of an answer; the
// caller resumes at another from the last event it has.
func TestResumeAtAnotherEntry(t *testing.T) {
	t.Parallel()
	cluster := start(t, plan{centres: []string{"ne"}, entries: 2, engines: 2, width: 2, groups: 1, tokenInterval: 10 * time.Millisecond})
	history := &history{}
	asked := prompt{content: "minutes", seed: 9, tokens: 120}
	first := chat(context.Background(), cluster.entries[0].listen, asked, func(count int) {
		if count == 40 {
			cluster.entries[0].kill()
		}
	})
	history.answer(asked, 0, first)
	if first.whole || len(first.tokens) < 40 {
		t.Fatalf("the first entry was to die in the middle: %d tokens, whole %t", len(first.tokens), first.whole)
	}
	asked.lastID = first.lastID
	second := chat(context.Background(), cluster.entries[1].listen, asked, nil)
	history.answer(asked, len(first.tokens), second)
	if !second.whole {
		t.Errorf("the resumed answer is not whole: %+v", second)
	}
	report(t, history.checkWhole())
	other := asked
	other.content = "other minutes"
	if refused := chat(context.Background(), cluster.entries[1].listen, other, nil); refused.status != 400 {
		t.Errorf("another request resumed with this id got status %d, want 400", refused.status)
	}
}

// TestOnePoisonousPrompt sends a prompt that crashes its engine again and again
// through all entries, beside innocent ones.
func TestOnePoisonousPrompt(t *testing.T) {
	t.Parallel()
	const groups = 5
	cluster := start(t, plan{centres: []string{"ne"}, entries: 2, engines: groups, width: 1, groups: groups, tokenInterval: 5 * time.Millisecond})
	for _, engine := range cluster.engines {
		cluster.fault(engine.own, standin.EngineFaults{CrashPrompt: "venom"})
	}
	history := &history{}
	var innocents sync.WaitGroup
	ctx := context.Background()
	for i := range 6 {
		innocents.Go(func() {
			for round := range 10 {
				asked := prompt{content: fmt.Sprintf("innocent %d %d", i, round), seed: uint64(i), tokens: 60}
				reply := chat(ctx, cluster.entries[i%2].listen, asked, nil)
				history.answer(asked, 0, reply)
				if !reply.whole {
					t.Errorf("innocent %d %d: status %d, cut %t, %s", i, round, reply.status, reply.cut, reply.body)
				}
			}
		})
	}
	last := reply{}
	for i := range 6 {
		last = chat(ctx, cluster.entries[i%2].listen, prompt{content: "venom", seed: 1, tokens: 5}, nil)
		time.Sleep(100 * time.Millisecond)
	}
	innocents.Wait()
	dead := 0
	for _, engine := range cluster.engines {
		select {
		case <-engine.done:
			dead++
		default:
		}
	}
	t.Logf("%d of %d groups died, the last try got status %d", dead, groups, last.status)
	if dead > 2 {
		t.Errorf("%d groups died of one prompt, want at most 2", dead)
	}
	if last.status != 422 {
		t.Errorf("the last try got status %d, want 422", last.status)
	}
	report(t, history.checkWhole())
}
