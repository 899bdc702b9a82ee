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
	// history records the requests of callers and their responses for the checkers.
	history struct {
		mu      sync.Mutex
		answers []chatRecord
		actions []actionRecord
		keys    map[string]bool // idempotency keys under which an action was sent
	}

	// chatRecord is a chat request and its response.
	chatRecord struct {
		request chatRequest
		offset  int // of the first token requested; above zero after a resume
		reply   chatResponse
	}

	// actionRecord is an attempt at an action and its response.
	actionRecord struct {
		key      string
		sent     time.Time
		received time.Time
		outcome  outcome
	}
)

func (history *history) recordChat(request chatRequest, offset int, reply chatResponse) {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.answers = append(history.answers, chatRecord{request, offset, reply})
}

// sendAction sends an action, declares the first attempt under its key, and records
// the attempt.
func (history *history) sendAction(ctx context.Context, listen, key, body string) outcome {
	sent := time.Now()
	outcome := sendAction(ctx, listen, key, body, history.isFirstAttempt(key))
	history.mu.Lock()
	defer history.mu.Unlock()
	history.actions = append(history.actions, actionRecord{key, sent, time.Now(), outcome})
	return outcome
}

func (history *history) isFirstAttempt(key string) bool {
	history.mu.Lock()
	defer history.mu.Unlock()
	if history.keys == nil {
		history.keys = map[string]bool{}
	}
	first := !history.keys[key]
	history.keys[key] = true
	return first
}

// checkAnswers finds wrong tokens, and answers that were delivered as complete
// although tokens are missing or the usage chunk has another count.
func (history *history) checkAnswers() []string {
	history.mu.Lock()
	defer history.mu.Unlock()
	var violations []string
	for _, answer := range history.answers {
		for i, token := range answer.reply.tokens {
			if token != answer.request.expectedToken(answer.offset+i) {
				violations = append(violations, fmt.Sprintf("prompt %q: wrong token %d: %q", answer.request.content, answer.offset+i, token))
				break
			}
		}
		complete := answer.offset+len(answer.reply.tokens) == answer.request.tokens && answer.reply.usageTokens == answer.request.tokens
		if answer.reply.complete && !complete {
			violations = append(violations, fmt.Sprintf("prompt %q: incomplete answer delivered as complete: %d tokens from offset %d, usage says %d, want %d",
				answer.request.content, len(answer.reply.tokens), answer.offset, answer.reply.usageTokens, answer.request.tokens))
		}
	}
	return violations
}

// checkActions finds actions that were recorded more than once, actions that were
// reported as done and are not recorded, and actions that were reported as not
// run although they were recorded before the response, or were recorded later
// without another attempt of the caller.
func (history *history) checkActions(records map[string][]time.Time) []string {
	history.mu.Lock()
	defer history.mu.Unlock()
	var violations []string
	for key, times := range records {
		if len(times) > 1 {
			violations = append(violations, fmt.Sprintf("action %s was recorded %d times", key, len(times)))
		}
	}
	for _, action := range history.actions {
		times := records[action.key]
		switch {
		case action.outcome.done() && len(times) == 0:
			violations = append(violations, fmt.Sprintf("action %s was reported as done, but is not recorded", action.key))
		case action.outcome.notRun() && len(times) > 0 && !history.mayHaveRun(action.key, times[0]):
			violations = append(violations, fmt.Sprintf("action %s was reported as not run, but is recorded", action.key))
		case action.outcome.notRun() && len(times) > 0 && times[0].Before(action.received):
			violations = append(violations, fmt.Sprintf("action %s was reported as not run after it was recorded", action.key))
		}
	}
	return violations
}

// mayHaveRun reports whether an attempt that was sent before the given time, and
// not reported as not run, can have led to a record at that time.
func (history *history) mayHaveRun(key string, at time.Time) bool {
	return slices.ContainsFunc(history.actions, func(attempt actionRecord) bool {
		return attempt.key == key && !attempt.outcome.notRun() && attempt.sent.Before(at)
	})
}

func (outcome outcome) done() bool {
	return outcome.Outcome == "done" || outcome.status == 201 && strings.HasPrefix(outcome.body, "recorded ") ||
		outcome.status == 200 && strings.HasPrefix(outcome.body, "recorded ")
}

func (outcome outcome) notRun() bool { return outcome.Outcome == "not-run" }

func reportViolations(t *testing.T, violations []string) {
	t.Helper()
	for _, violation := range violations {
		t.Error(violation)
	}
}

func TestCheckersFindViolations(t *testing.T) {
	request := chatRequest{content: "ridge", seed: 7, tokens: 2}
	expected := []string{request.expectedToken(0), request.expectedToken(1)}
	second := func(n int) time.Time { return time.Unix(int64(n), 0) }
	done, notRun, unanswered := outcome{Outcome: "done"}, outcome{Outcome: "not-run"}, outcome{}
	recorded := func(times ...time.Time) map[string][]time.Time { return map[string][]time.Time{"k": times} }
	for _, test := range []struct {
		name    string
		history *history
		records map[string][]time.Time
		want    int
	}{
		{"complete", &history{answers: []chatRecord{{request, 0, chatResponse{tokens: expected, complete: true, usageTokens: 2}}}}, nil, 0},
		{"ended by an error event", &history{answers: []chatRecord{{request, 0, chatResponse{tokens: expected[:1], failed: true}}}}, nil, 0},
		{"token missing", &history{answers: []chatRecord{{request, 0, chatResponse{tokens: expected[:1], complete: true, usageTokens: 2}}}}, nil, 1},
		{"wrong token", &history{answers: []chatRecord{{request, 0, chatResponse{tokens: []string{"x", expected[1]}, complete: true, usageTokens: 2}}}}, nil, 1},
		{"repeated token", &history{answers: []chatRecord{{request, 0, chatResponse{tokens: []string{expected[0], expected[0]}, complete: true, usageTokens: 2}}}}, nil, 1},
		{"done once", &history{actions: []actionRecord{{"k", second(1), second(3), done}}}, recorded(second(2)), 0},
		{"recorded twice", &history{}, recorded(second(2), second(3)), 1},
		{"done and not recorded", &history{actions: []actionRecord{{"k", second(1), second(3), done}}}, nil, 1},
		{"not run, recorded before", &history{actions: []actionRecord{{"k", second(1), second(3), notRun}}}, recorded(second(2)), 1},
		{"not run, recorded later", &history{actions: []actionRecord{{"k", second(1), second(2), notRun}}}, recorded(second(3)), 1},
		{"not run, then run", &history{actions: []actionRecord{{"k", second(1), second(2), notRun}, {"k", second(3), second(5), done}}}, recorded(second(4)), 0},
		{"run by an attempt without a response, then reported as not run", &history{actions: []actionRecord{{"k", second(1), second(2), unanswered}, {"k", second(4), second(5), notRun}}}, recorded(second(3)), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			violations := append(test.history.checkAnswers(), test.history.checkActions(test.records)...)
			if len(violations) != test.want {
				t.Errorf("got violations %q, want %d", violations, test.want)
			}
		})
	}
}
