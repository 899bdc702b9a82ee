package integration

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

type (
	// history records what callers sent and were told, for the checkers.
	history struct {
		mu      sync.Mutex
		answers []answered
		actions []acted
	}

	answered struct {
		prompt prompt
		from   int // offset of the first token asked for
		reply  reply
	}

	// acted is one try of an action.
	acted struct {
		key     string
		sent    time.Time
		told    time.Time
		outcome outcome
	}
)

func (history *history) answer(prompt prompt, from int, reply reply) {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.answers = append(history.answers, answered{prompt, from, reply})
}

// act sends an action and records what it was told.
func (history *history) act(ctx context.Context, listen, key, body string) outcome {
	sent := time.Now()
	outcome := act(ctx, listen, key, body)
	history.mu.Lock()
	defer history.mu.Unlock()
	history.actions = append(history.actions, acted{key, sent, time.Now(), outcome})
	return outcome
}

// checkWhole finds answers that were delivered as whole but are not what their
// request should give, and delivered tokens that are wrong.
func (history *history) checkWhole() []string {
	history.mu.Lock()
	defer history.mu.Unlock()
	var broken []string
	for _, answer := range history.answers {
		for i, token := range answer.reply.tokens {
			if token != answer.prompt.want(answer.from+i) {
				broken = append(broken, fmt.Sprintf("prompt %q: token %d is %q", answer.prompt.content, answer.from+i, token))
				break
			}
		}
		complete := answer.from+len(answer.reply.tokens) == answer.prompt.tokens && answer.reply.count == answer.prompt.tokens
		if answer.reply.whole && !complete {
			broken = append(broken, fmt.Sprintf("prompt %q: %d tokens from %d, counted %d, were delivered as the whole of %d",
				answer.prompt.content, len(answer.reply.tokens), answer.from, answer.reply.count, answer.prompt.tokens))
		}
	}
	return broken
}

// checkOnce finds actions that were recorded more than once, that were told done
// and are not recorded, and that were told not run though they had been recorded
// by then or were recorded later without another try of the caller.
func (history *history) checkOnce(records map[string][]time.Time) []string {
	history.mu.Lock()
	defer history.mu.Unlock()
	var broken []string
	for key, times := range records {
		if len(times) > 1 {
			broken = append(broken, fmt.Sprintf("action %s was recorded %d times", key, len(times)))
		}
	}
	for _, action := range history.actions {
		times := records[action.key]
		switch {
		case action.outcome.done() && len(times) == 0:
			broken = append(broken, fmt.Sprintf("action %s was told done and not recorded", action.key))
		case action.outcome.notRun() && len(times) > 0 && !history.explained(action.key, times[0]):
			broken = append(broken, fmt.Sprintf("action %s was told not run and was recorded", action.key))
		case action.outcome.notRun() && len(times) > 0 && times[0].Before(action.told):
			broken = append(broken, fmt.Sprintf("action %s was told not run after it was recorded", action.key))
		}
	}
	return broken
}

// explained tells whether a try that was not told not run can have led to a
// record at the given time.
func (history *history) explained(key string, at time.Time) bool {
	return slices.ContainsFunc(history.actions, func(try acted) bool {
		return try.key == key && !try.outcome.notRun() && try.sent.Before(at)
	})
}

func (outcome outcome) done() bool {
	return outcome.Outcome == "done" || outcome.status == 201 && strings.HasPrefix(outcome.body, "recorded ") ||
		outcome.status == 200 && strings.HasPrefix(outcome.body, "recorded ")
}

func (outcome outcome) notRun() bool { return outcome.Outcome == "not-run" }

func report(t *testing.T, broken []string) {
	t.Helper()
	for _, line := range broken {
		t.Error(line)
	}
}

func TestCheckersFindWhatTheyAreFor(t *testing.T) {
	asked := prompt{content: "ridge", seed: 7, tokens: 2}
	good := []string{asked.want(0), asked.want(1)}
	second := func(n int) time.Time { return time.Unix(int64(n), 0) }
	done, notRun, lost := outcome{Outcome: "done"}, outcome{Outcome: "not-run"}, outcome{}
	recorded := func(times ...time.Time) map[string][]time.Time { return map[string][]time.Time{"k": times} }
	for _, test := range []struct {
		name    string
		history *history
		records map[string][]time.Time
		want    int
	}{
		{"whole", &history{answers: []answered{{asked, 0, reply{tokens: good, whole: true, count: 2}}}}, nil, 0},
		{"cut and said so", &history{answers: []answered{{asked, 0, reply{tokens: good[:1], cut: true}}}}, nil, 0},
		{"short", &history{answers: []answered{{asked, 0, reply{tokens: good[:1], whole: true, count: 2}}}}, nil, 1},
		{"another's token", &history{answers: []answered{{asked, 0, reply{tokens: []string{"x", good[1]}, whole: true, count: 2}}}}, nil, 1},
		{"repeated token", &history{answers: []answered{{asked, 0, reply{tokens: []string{good[0], good[0]}, whole: true, count: 2}}}}, nil, 1},
		{"done once", &history{actions: []acted{{"k", second(1), second(3), done}}}, recorded(second(2)), 0},
		{"twice", &history{}, recorded(second(2), second(3)), 1},
		{"done and not recorded", &history{actions: []acted{{"k", second(1), second(3), done}}}, nil, 1},
		{"not run, recorded before", &history{actions: []acted{{"k", second(1), second(3), notRun}}}, recorded(second(2)), 1},
		{"not run, recorded later", &history{actions: []acted{{"k", second(1), second(2), notRun}}}, recorded(second(3)), 1},
		{"not run, then run", &history{actions: []acted{{"k", second(1), second(2), notRun}, {"k", second(3), second(5), done}}}, recorded(second(4)), 0},
		{"run by a try that was lost, then told not run", &history{actions: []acted{{"k", second(1), second(2), lost}, {"k", second(4), second(5), notRun}}}, recorded(second(3)), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			broken := append(test.history.checkWhole(), test.history.checkOnce(test.records)...)
			if len(broken) != test.want {
				t.Errorf("got %q, want %d findings", broken, test.want)
			}
		})
	}
}
