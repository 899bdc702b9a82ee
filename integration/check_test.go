package integration

import (
	"fmt"
	"strings"
	"sync"
	"testing"
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

	acted struct {
		key     string
		outcome outcome
	}
)

func (history *history) answer(prompt prompt, from int, reply reply) {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.answers = append(history.answers, answered{prompt, from, reply})
}

func (history *history) action(key string, outcome outcome) {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.actions = append(history.actions, acted{key, outcome})
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

// checkOnce finds actions that were recorded more than once, and actions whose
// last word was not run or done against what was recorded.
func (history *history) checkOnce(records map[string]int) []string {
	history.mu.Lock()
	defer history.mu.Unlock()
	var broken []string
	for key, count := range records {
		if count > 1 {
			broken = append(broken, fmt.Sprintf("action %s was recorded %d times", key, count))
		}
	}
	done := map[string]bool{}
	for _, action := range history.actions {
		done[action.key] = done[action.key] || action.outcome.done()
	}
	for _, action := range history.actions {
		if action.outcome.done() && records[action.key] == 0 {
			broken = append(broken, fmt.Sprintf("action %s was told done and not recorded", action.key))
		}
		if action.outcome.notRun() && records[action.key] > 0 && !done[action.key] {
			broken = append(broken, fmt.Sprintf("action %s was told not run and was recorded", action.key))
		}
	}
	return broken
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
	for _, test := range []struct {
		name    string
		history *history
		records map[string]int
		want    int
	}{
		{"whole", &history{answers: []answered{{asked, 0, reply{tokens: good, whole: true, count: 2}}}}, nil, 0},
		{"cut and said so", &history{answers: []answered{{asked, 0, reply{tokens: good[:1], cut: true}}}}, nil, 0},
		{"short", &history{answers: []answered{{asked, 0, reply{tokens: good[:1], whole: true, count: 2}}}}, nil, 1},
		{"another's token", &history{answers: []answered{{asked, 0, reply{tokens: []string{"x", good[1]}, whole: true, count: 2}}}}, nil, 1},
		{"repeated token", &history{answers: []answered{{asked, 0, reply{tokens: []string{good[0], good[0]}, whole: true, count: 2}}}}, nil, 1},
		{"done once", &history{actions: []acted{{"k", outcome{status: 201, body: "recorded k: x"}}}}, map[string]int{"k": 1}, 0},
		{"twice", &history{}, map[string]int{"k": 2}, 1},
		{"done and not recorded", &history{actions: []acted{{"k", outcome{Outcome: "done"}}}}, nil, 1},
		{"false not run", &history{actions: []acted{{"k", outcome{Outcome: "not-run"}}}}, map[string]int{"k": 1}, 1},
		{"not run, then run", &history{actions: []acted{{"k", outcome{Outcome: "not-run"}}, {"k", outcome{Outcome: "done"}}}}, map[string]int{"k": 1}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			broken := append(test.history.checkWhole(), test.history.checkOnce(test.records)...)
			if len(broken) != test.want {
				t.Errorf("got %q, want %d findings", broken, test.want)
			}
		})
	}
}
